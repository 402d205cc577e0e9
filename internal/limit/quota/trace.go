package quota

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Tracer is called for every call that can change a Ledger, with its arguments and outcome.
type Tracer func(now time.Time, call Call, args Args, want Want)

//go:generate stringer -type=Call -linecomment

// Call identifies a method of a Ledger in a trace.
type Call uint8

// The traced calls.
const (
	CallConfigure      Call = iota // configure
	CallHold                       // hold
	CallDrop                       // drop
	CallForfeit                    // forfeit
	CallTick                       // tick
	CallConfirm                    // confirm
	CallTake                       // take
	CallTakeAgain                  // retry
	CallAddWaiting                 // wait
	CallLoanRequest                // ask
	CallLend                       // lend
	CallBorrow                     // borrow
	CallReturnRequests             // returns
	CallTakeBack                   // back
	CallExtend                     // extend
	CallLoanExtension              // extended
	CallSetPeers                   // peers
	CallRecord                     // hear
	CallLeave                      // leave
	CallRecall                     // recall
	callEnd                        // end
)

// MarshalText returns the name of the call.
func (c Call) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText parses the name of a call. It returns an error for an unknown name.
func (c *Call) UnmarshalText(text []byte) error {
	for d := CallConfigure; d < callEnd; d++ {
		if d.String() == string(text) {
			*c = d
			return nil
		}
	}
	return &lacewingramp.InvalidValueError{Kind: "call", Name: string(text)}
}

// SubjectLimit is a limit with its subject. Cap is set for a cap of the domain's own region.
type SubjectLimit struct {
	Subject lacewingramp.Subject `json:"subject"`
	Limit   lacewingramp.Limit   `json:"limit"`
	Cap     bool                 `json:"cap,omitempty"`
}

// Args has the arguments of a call. Fields that the call does not use are empty.
type Args struct {
	Name          string                      `json:"name,omitempty"`
	Limits        []SubjectLimit              `json:"limits,omitempty"`
	DomainShares  *DomainShares               `json:"part,omitempty"`
	Shard         int                         `json:"shard,omitempty"`
	ShardState    *ShardState                 `json:"load,omitempty"`
	Held          []int                       `json:"held,omitempty"`
	Time          *time.Time                  `json:"moment,omitempty"`
	Subject       *lacewingramp.Subject       `json:"subject,omitempty"`
	Count         float64                     `json:"count,omitempty"`
	Need          *Need                       `json:"need,omitempty"`
	LoanRequest   *lacewingramp.LoanRequest   `json:"ask,omitempty"`
	Loan          *lacewingramp.Loan          `json:"loan,omitempty"`
	LoanReturn    *lacewingramp.LoanReturn    `json:"return,omitempty"`
	Extend        *lacewingramp.Extend        `json:"extend,omitempty"`
	LoanExtension *lacewingramp.LoanExtension `json:"extended,omitempty"`
	Siblings      []string                    `json:"names,omitempty"`
	Remotes       []string                    `json:"others,omitempty"`
	Spares        []lacewingramp.SpareQuota   `json:"spares,omitempty"`
}

// Want is the outcome of a call. Fields that the call does not use are empty. Loan is
// the loan that Lend returned.
type Want struct {
	Done          bool                        `json:"done,omitempty"`
	Cause         string                      `json:"cause,omitempty"`
	ShardState    *ShardState                 `json:"load,omitempty"`
	Loan          *lacewingramp.Loan          `json:"loan,omitempty"`
	LoanReturns   []ReturnRequest             `json:"givings,omitempty"`
	LoanExtension *lacewingramp.LoanExtension `json:"extended,omitempty"`
}

// Trace makes the Ledger report every subsequent call to t.
func (b *Ledger) Trace(t Tracer) {
	b.tracer = t
}

func (b *Ledger) trace(now time.Time, call Call, args Args, want Want) {
	if b.tracer != nil {
		b.tracer(now, call, args, want)
	}
}

// limitList returns the limits of a configuration, sorted by subject.
func (c Config) limitList() []SubjectLimit {
	all := make([]SubjectLimit, 0, len(c.Limits))
	for s, l := range c.Limits {
		all = append(all, SubjectLimit{Subject: s, Limit: l, Cap: c.Caps[s.Name] && s.Kind == lacewingramp.SubjectCap})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Subject.String() < all[j].Subject.String() })
	return all
}

// Configured returns the configuration in the arguments of a traced Configure.
func (a Args) Configured() Config {
	c := Config{Limits: make(map[lacewingramp.Subject]lacewingramp.Limit), Caps: make(map[string]bool)}
	for _, s := range a.Limits {
		c.Limits[s.Subject] = s.Limit
		if s.Cap {
			c.Caps[s.Subject.Name] = true
		}
	}
	if a.DomainShares != nil {
		c.DomainShares = *a.DomainShares
	}
	return c
}

// traceTake is separate from its callers so that a request does not allocate memory while
// there is no tracer.
func (b *Ledger) traceTake(now time.Time, call Call, s lacewingramp.Subject, count float64, err error) {
	want := Want{Done: err == nil}
	if err != nil {
		want.Cause = lacewingramp.RefusalOf(err).Cause.String()
	}
	b.trace(now, call, Args{Subject: &s, Count: count}, want)
}
