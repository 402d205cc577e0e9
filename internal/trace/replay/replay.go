// Package replay drives the quota of one instance through a recorded trace on
// the trace's own clock, and compares what happens with what the trace states.
//
// A trace is JSON lines, one call each: at, the moment in nanoseconds; call;
// args; and want, the stated outcome. The first line names the instance. The
// entry command records one with --trace, from then on in order of the calls.
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

// maxLine is the longest line of a trace.
const maxLine = 4 << 20

// Line is one call of a trace. The first line of a trace has only a name.
type Line struct {
	Name string      `json:"name,omitempty"`
	At   int64       `json:"at,omitempty"`
	Call *quota.Call `json:"call,omitempty"`
	Args quota.Args  `json:"args,omitzero"`
	Want quota.Want  `json:"want,omitzero"`
}

// Check reports a line that is neither a first line nor a call.
func (l *Line) Check() error {
	if (l.Name == "") == (l.Call == nil) {
		return errors.New("want a name or a call")
	}
	if l.Args.Shard < 0 || l.Args.Shard >= quota.Shards {
		return fmt.Errorf("shard %d: want 0 to %d", l.Args.Shard, quota.Shards-1)
	}
	return nil
}

// Difference is an outcome that is not the stated one.
type Difference struct {
	Line int
	Call quota.Call
	Want string
	Got  string
}

// String returns the difference in one line.
func (d Difference) String() string {
	return fmt.Sprintf("line %d: %s: want %s, got %s", d.Line, d.Call, d.Want, d.Got)
}

// Result is what a replay has found. Admitted counts tokens by subject.
type Result struct {
	Calls       int
	Admitted    map[string]float64
	Differences []Difference
}

// Run replays a trace.
func Run(r io.Reader) (*Result, error) {
	p := &player{result: &Result{Admitted: make(map[string]float64)}}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 || s.Bytes()[0] == '#' {
			continue
		}
		if err := p.line(n, s.Bytes()); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	return p.result, s.Err()
}

type player struct {
	book   *quota.Book
	result *Result
	got    quota.Want
}

func (p *player) line(n int, raw []byte) error {
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		return err
	}
	if err := l.Check(); err != nil {
		return err
	}
	if l.Call == nil {
		p.book = quota.NewBook(l.Name)
		p.book.Trace(func(_ time.Time, _ quota.Call, _ quota.Args, got quota.Want) { p.got = got })
		return nil
	}
	if p.book == nil {
		return errors.New("want a first line with a name")
	}
	p.got = quota.Want{}
	if err := p.call(time.Unix(0, l.At), *l.Call, l.Args); err != nil {
		return err
	}
	p.compare(n, l)
	return nil
}

func (p *player) compare(n int, l Line) {
	p.result.Calls++
	if l.Args.Subject != nil && p.got.Done {
		p.result.Admitted[l.Args.Subject.String()] += max(1, l.Args.Count)
	}
	want, _ := json.Marshal(l.Want)
	got, _ := json.Marshal(p.got)
	if !same(want, got) {
		p.result.Differences = append(p.result.Differences, Difference{Line: n, Call: *l.Call, Want: string(want), Got: string(got)})
	}
}

var errArgs = errors.New("an argument is missing")

// call makes one call. Its outcome reaches the player through the tracer.
func (p *player) call(now time.Time, c quota.Call, a quota.Args) error {
	switch c {
	case quota.CallConfigure:
		p.book.Configure(now, a.Configured())
	case quota.CallTick:
		p.book.Tick(now)
	case quota.CallDrop:
		p.book.Drop(now, a.Shard)
	case quota.CallForfeit:
		p.book.Forfeit(now, a.Shard)
	case quota.CallReturns:
		p.book.Returns(now)
	case quota.CallPeers:
		p.book.Peers(a.Names, a.Others)
	case quota.CallHear:
		p.book.Record(a.Name, a.Spares)
	case quota.CallLeave:
		p.book.Leave()
	default:
		return p.callWith(now, c, a)
	}
	return nil
}

func (p *player) callWith(now time.Time, c quota.Call, a quota.Args) error {
	switch {
	case c == quota.CallHold && a.Load != nil:
		p.book.Hold(now, a.Shard, *a.Load)
	case c == quota.CallConfirm && a.Moment != nil:
		p.book.Confirm(now, *a.Moment, held(a.Held))
	case c == quota.CallTake && a.Subject != nil:
		_ = p.book.TakeMany(now, *a.Subject, a.Count)
	case c == quota.CallRetry && a.Subject != nil:
		_ = p.book.Retry(now, *a.Subject)
	case c == quota.CallWait && a.Subject != nil:
		p.book.Wait(*a.Subject, int(a.Count))
	case c == quota.CallAsk && a.Need != nil:
		p.book.Ask(now, *a.Need)
	default:
		return p.callLoan(now, c, a)
	}
	return nil
}

func (p *player) callLoan(now time.Time, c quota.Call, a quota.Args) error {
	switch {
	case c == quota.CallLend && a.Ask != nil:
		p.book.Lend(now, *a.Ask)
	case c == quota.CallBorrow && a.Loan != nil:
		p.book.Borrow(now, a.Name, *a.Loan)
	case c == quota.CallBack && a.Return != nil:
		p.book.TakeBack(now, *a.Return)
	case c == quota.CallRecall && a.Extend != nil:
		p.book.Recall(now, *a.Extend)
	case c == quota.CallExtend && a.Extend != nil:
		p.book.Extend(now, *a.Extend)
	case c == quota.CallExtended && a.Extend != nil && a.Extended != nil && a.Moment != nil:
		p.book.Extended(now, *a.Moment, *a.Extend, *a.Extended)
	default:
		return errArgs
	}
	return nil
}

func held(all []int) [quota.Shards]bool {
	var h [quota.Shards]bool
	for _, n := range all {
		if n >= 0 && n < quota.Shards {
			h[n] = true
		}
	}
	return h
}

// Recorder writes a trace. It is safe for use by many goroutines. Moments are
// counted on the monotonic clock from the first one.
type Recorder struct {
	mu    sync.Mutex
	out   *json.Encoder
	first time.Time
}

// Record begins a trace of an instance's Book, which must be new.
func Record(w io.Writer, name string, b *quota.Book) *Recorder {
	r := &Recorder{out: json.NewEncoder(w)}
	_ = r.out.Encode(Line{Name: name})
	b.Trace(r.note)
	return r
}

func (r *Recorder) note(now time.Time, c quota.Call, a quota.Args, w quota.Want) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := Line{Call: &c, Args: a, Want: w}
	if !now.IsZero() {
		l.At = r.moment(now).UnixNano()
	}
	if a.Moment != nil {
		m := r.moment(*a.Moment)
		l.Args.Moment = &m
	}
	_ = r.out.Encode(l)
}

func (r *Recorder) moment(t time.Time) time.Time {
	if r.first.IsZero() {
		r.first = t
	}
	return time.Unix(0, r.first.UnixNano()).Add(t.Sub(r.first)).UTC()
}
