package quota

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Tracer is told of every call that can change a Book, with its result.
type Tracer func(now time.Time, call Call, args Args, want Want)

//go:generate stringer -type=Call -linecomment

// Call names a call of a Book in a trace.
type Call uint8

// The calls.
const (
	CallConfigure Call = iota // configure
	CallHold                  // hold
	CallDrop                  // drop
	CallForfeit               // forfeit
	CallTick                  // tick
	CallConfirm               // confirm
	CallTake                  // take
	CallRetry                 // retry
	CallWait                  // wait
	CallAsk                   // ask
	CallLend                  // lend
	CallBorrow                // borrow
	CallReturns               // returns
	CallBack                  // back
	CallExtend                // extend
	CallExtended              // extended
	CallPeers                 // peers
	CallHear                  // hear
	CallLeave                 // leave
	CallRecall                // recall
	callEnd                   // end
)

// MarshalText returns the call's name.
func (c Call) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText reads a call's name and fails on any other text.
func (c *Call) UnmarshalText(text []byte) error {
	for d := CallConfigure; d < callEnd; d++ {
		if d.String() == string(text) {
			*c = d
			return nil
		}
	}
	return &lacewingramp.InvalidValueError{Kind: "call", Name: string(text)}
}

// Sized is a limit with its subject.
type Sized struct {
	Subject lacewingramp.Subject `json:"subject"`
	Limit   lacewingramp.Limit   `json:"limit"`
	Cap     bool                 `json:"cap,omitempty"`
}

// Args are the arguments of a call, those that it has.
type Args struct {
	Name     string                 `json:"name,omitempty"`
	Limits   []Sized                `json:"limits,omitempty"`
	Part     *Part                  `json:"part,omitempty"`
	Shard    int                    `json:"shard,omitempty"`
	Load     *Load                  `json:"load,omitempty"`
	Held     []int                  `json:"held,omitempty"`
	Moment   *time.Time             `json:"moment,omitempty"`
	Subject  *lacewingramp.Subject  `json:"subject,omitempty"`
	Count    float64                `json:"count,omitempty"`
	Need     *Need                  `json:"need,omitempty"`
	Ask      *lacewingramp.Ask      `json:"ask,omitempty"`
	Loan     *lacewingramp.Loan     `json:"loan,omitempty"`
	Return   *lacewingramp.Return   `json:"return,omitempty"`
	Extend   *lacewingramp.Extend   `json:"extend,omitempty"`
	Extended *lacewingramp.Extended `json:"extended,omitempty"`
	Names    []string               `json:"names,omitempty"`
	Others   []string               `json:"others,omitempty"`
	Spares   []lacewingramp.Spare   `json:"spares,omitempty"`
}

// Want is the result of a call, what it has of one. Units and tokens of a
// loan are those of the lender.
type Want struct {
	Done     bool                   `json:"done,omitempty"`
	Cause    string                 `json:"cause,omitempty"`
	Load     *Load                  `json:"load,omitempty"`
	Loan     *lacewingramp.Loan     `json:"loan,omitempty"`
	Givings  []Giving               `json:"givings,omitempty"`
	Extended *lacewingramp.Extended `json:"extended,omitempty"`
}

// Trace has every later call told to t.
func (b *Book) Trace(t Tracer) {
	b.tracer = t
}

func (b *Book) trace(now time.Time, call Call, args Args, want Want) {
	if b.tracer != nil {
		b.tracer(now, call, args, want)
	}
}

// sized lists the limits of a configuration in order of their subjects.
func (c Config) sized() []Sized {
	all := make([]Sized, 0, len(c.Limits))
	for s, l := range c.Limits {
		all = append(all, Sized{Subject: s, Limit: l, Cap: c.Caps[s.Name] && s.Kind == lacewingramp.SubjectCap})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Subject.String() < all[j].Subject.String() })
	return all
}

// Configured is the configuration that a trace's arguments stand for.
func (a Args) Configured() Config {
	c := Config{Limits: make(map[lacewingramp.Subject]lacewingramp.Limit), Caps: make(map[string]bool)}
	for _, s := range a.Limits {
		c.Limits[s.Subject] = s.Limit
		if s.Cap {
			c.Caps[s.Subject.Name] = true
		}
	}
	if a.Part != nil {
		c.Part = *a.Part
	}
	return c
}

// traceTake stands by itself, so that a request costs no allocation while
// nothing is traced.
func (b *Book) traceTake(now time.Time, call Call, s lacewingramp.Subject, count float64, err error) {
	want := Want{Done: err == nil}
	if err != nil {
		want.Cause = lacewingramp.RefusalOf(err).Cause.String()
	}
	b.trace(now, call, Args{Subject: &s, Count: count}, want)
}
