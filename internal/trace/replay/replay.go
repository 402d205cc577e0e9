// Package replay records the calls to the quota.Ledger of an instance as a trace, and
// replays a trace: it makes the same calls to a new Ledger at the times of the trace
// and compares the outcomes with those in the trace.
//
// A trace is a sequence of JSON lines. The first line has the name of the instance.
// Each other line is a call: at is its time in nanoseconds since the Unix epoch, call
// its name, args its arguments and want its expected outcome. Empty lines and lines
// that begin with # are skipped. The entry command records a trace with --trace, in the
// order of the calls.
//
// # Usage
//
//	result, err := replay.Run(file)
//	for _, d := range result.Differences {
//		fmt.Println(d)
//	}
package replay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// maxLineBytes is the maximum length of a line of a trace in bytes.
const maxLineBytes = 4 << 20

// Line is a line of a trace. The first line has only Name, the name of the instance;
// the others have a Call with its arguments and its expected outcome, Want.
type Line struct {
	Name string      `json:"name,omitempty"`
	At   int64       `json:"at,omitempty"`
	Call *quota.Call `json:"call,omitempty"`
	Args quota.Args  `json:"args,omitzero"`
	Want quota.Want  `json:"want,omitzero"`
}

// Check returns an error if the line does not have exactly one of a name and a call, or
// if its shard does not exist.
func (l *Line) Check() error {
	if (l.Name == "") == (l.Call == nil) {
		return errors.New("line must have either a name or a call")
	}
	if l.Args.Shard < 0 || l.Args.Shard >= quota.Shards {
		return fmt.Errorf("shard %d out of range 0 to %d", l.Args.Shard, quota.Shards-1)
	}
	return nil
}

// Difference describes a call whose outcome, Got, differs from the expected one, Want.
// Both are JSON.
type Difference struct {
	Line int
	Call quota.Call
	Want string
	Got  string
}

// String formats the difference as one line of text.
func (d Difference) String() string {
	return fmt.Sprintf("line %d: %s: want %s, got %s", d.Line, d.Call, d.Want, d.Got)
}

// Result is the result of a replay. Calls is the number of calls, and AdmittedTokens the
// number of tokens that calls with a subject obtained, by subject.
type Result struct {
	Calls          int
	AdmittedTokens map[string]float64
	Differences    []Difference
}

// Run replays a trace. It stops with an error at a line that is not valid.
func Run(r io.Reader) (*Result, error) {
	p := &replayer{result: &Result{AdmittedTokens: make(map[string]float64)}}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 || s.Bytes()[0] == '#' {
			continue
		}
		if err := p.replayLine(n, s.Bytes()); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	return p.result, s.Err()
}

type replayer struct {
	ledger *quota.Ledger
	result *Result
	got    quota.Want
}

func (p *replayer) replayLine(n int, raw []byte) error {
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		return err
	}
	if err := l.Check(); err != nil {
		return err
	}
	if l.Call == nil {
		p.ledger = quota.NewLedger(l.Name)
		p.ledger.Trace(func(_ time.Time, _ quota.Call, _ quota.Args, got quota.Want) { p.got = got })
		return nil
	}
	if p.ledger == nil {
		return errors.New("the first call must follow a line with the name of the instance")
	}
	p.got = quota.Want{}
	if err := p.applyCall(time.Unix(0, l.At), *l.Call, l.Args); err != nil {
		return err
	}
	p.compareOutcome(n, l)
	return nil
}

func (p *replayer) compareOutcome(n int, l Line) {
	p.result.Calls++
	if l.Args.Subject != nil && p.got.Done {
		p.result.AdmittedTokens[l.Args.Subject.String()] += max(1, l.Args.Count)
	}
	want, _ := json.Marshal(l.Want)
	got, _ := json.Marshal(p.got)
	if !equalJSON(want, got) {
		p.result.Differences = append(p.result.Differences, Difference{Line: n, Call: *l.Call, Want: string(want), Got: string(got)})
	}
}

var errMissingArgument = errors.New("an argument that the call requires is missing")

// applyCall makes one call. The outcome is stored in p.got by the tracer that
// replayLine has set.
func (p *replayer) applyCall(now time.Time, c quota.Call, a quota.Args) error {
	switch c {
	case quota.CallConfigure:
		p.ledger.Configure(now, a.Configured())
	case quota.CallTick:
		p.ledger.Tick(now)
	case quota.CallDrop:
		p.ledger.Drop(now, a.Shard)
	case quota.CallForfeit:
		p.ledger.Forfeit(now, a.Shard)
	case quota.CallReturnRequests:
		p.ledger.ReturnRequests(now)
	case quota.CallSetPeers:
		p.ledger.SetPeers(a.Siblings, a.Remotes)
	case quota.CallRecord:
		p.ledger.Record(a.Name, a.Spares)
	case quota.CallLeave:
		p.ledger.Leave()
	default:
		return p.applyCallWithArgs(now, c, a)
	}
	return nil
}

func (p *replayer) applyCallWithArgs(now time.Time, c quota.Call, a quota.Args) error {
	switch {
	case c == quota.CallHold && a.ShardState != nil:
		p.ledger.Hold(now, a.Shard, *a.ShardState)
	case c == quota.CallConfirm && a.Time != nil:
		p.ledger.Confirm(now, *a.Time, shardSet(a.Held))
	case c == quota.CallTake && a.Subject != nil:
		_ = p.ledger.TakeMany(now, *a.Subject, a.Count)
	case c == quota.CallTakeAgain && a.Subject != nil:
		_ = p.ledger.TakeAgain(now, *a.Subject)
	case c == quota.CallAddWaiting && a.Subject != nil:
		p.ledger.AddWaiting(*a.Subject, int(a.Count))
	case c == quota.CallLoanRequest && a.Need != nil:
		p.ledger.LoanRequest(now, *a.Need)
	default:
		return p.applyLoanCall(now, c, a)
	}
	return nil
}

func (p *replayer) applyLoanCall(now time.Time, c quota.Call, a quota.Args) error {
	switch {
	case c == quota.CallLend && a.LoanRequest != nil:
		p.ledger.Lend(now, *a.LoanRequest)
	case c == quota.CallBorrow && a.Loan != nil:
		p.ledger.Borrow(now, a.Name, *a.Loan)
	case c == quota.CallTakeBack && a.LoanReturn != nil:
		p.ledger.TakeBack(now, *a.LoanReturn)
	case c == quota.CallRecall && a.Extend != nil:
		p.ledger.ReturnRecalled(now, *a.Extend)
	case c == quota.CallExtend && a.Extend != nil:
		p.ledger.Extend(now, *a.Extend)
	case c == quota.CallLoanExtension && a.Extend != nil && a.LoanExtension != nil && a.Time != nil:
		p.ledger.LoanExtension(now, *a.Time, *a.Extend, *a.LoanExtension)
	default:
		return errMissingArgument
	}
	return nil
}

func shardSet(shards []int) [quota.Shards]bool {
	var h [quota.Shards]bool
	for _, n := range shards {
		if n >= 0 && n < quota.Shards {
			h[n] = true
		}
	}
	return h
}

// Recorder writes a trace. It is safe for concurrent use. The first time in the trace
// is that of the system clock. Later ones are computed from it by the monotonic clock,
// so that adjustments of the system clock do not appear in the trace.
type Recorder struct {
	mu        sync.Mutex
	out       *json.Encoder
	firstTime time.Time
}

// StartRecording starts to record the calls to the Ledger of the instance with the given
// name. The Ledger must be new, because a replay starts with a new one.
func StartRecording(w io.Writer, name string, b *quota.Ledger) *Recorder {
	r := &Recorder{out: json.NewEncoder(w)}
	_ = r.out.Encode(Line{Name: name})
	b.Trace(r.recordCall)
	return r
}

func (r *Recorder) recordCall(now time.Time, c quota.Call, a quota.Args, w quota.Want) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := Line{Call: &c, Args: a, Want: w}
	if !now.IsZero() {
		l.At = r.traceTime(now).UnixNano()
	}
	if a.Time != nil {
		m := r.traceTime(*a.Time)
		l.Args.Time = &m
	}
	_ = r.out.Encode(l)
}

func (r *Recorder) traceTime(t time.Time) time.Time {
	if r.firstTime.IsZero() {
		r.firstTime = t
	}
	return time.Unix(0, r.firstTime.UnixNano()).Add(t.Sub(r.firstTime)).UTC()
}
