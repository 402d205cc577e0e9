package quota

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// Refusals returned by Take. They are allocated once, so that refusing a request does not
// allocate memory.
var (
	errNoTokens     = lacewingramp.NewRefusal(lacewingramp.CauseRate, "no quota left")
	errSuspended    = lacewingramp.NewRefusal(lacewingramp.CauseSuspended, "quota not confirmed after a pause")
	errUnknownLimit = lacewingramp.NewRefusal(lacewingramp.CauseTable, "no such limit")
)

// Take takes one token of subject. The error, if any, is a *lacewingramp.Refusal with the
// verdict NotRun.
func (b *Ledger) Take(now time.Time, subject lacewingramp.Subject) error {
	return b.TakeMany(now, subject, 1)
}

// TakeMany takes n tokens of subject, or none if fewer are available.
func (b *Ledger) TakeMany(now time.Time, subject lacewingramp.Subject, n float64) error {
	k, ok := b.buckets[subject]
	if !ok {
		return errUnknownLimit
	}
	k.offered += n
	err := b.takeTokens(now, k, n)
	if b.tracer != nil {
		b.traceTake(now, CallTake, subject, n, err)
	}
	return err
}

// TakeAgain takes one token for a request that Take has already refused. It does not count
// the request as demand again.
func (b *Ledger) TakeAgain(now time.Time, subject lacewingramp.Subject) error {
	k, ok := b.buckets[subject]
	if !ok {
		return errUnknownLimit
	}
	err := b.takeTokens(now, k, 1)
	if b.tracer != nil {
		b.traceTake(now, CallTakeAgain, subject, 1, err)
	}
	return err
}

func (b *Ledger) takeTokens(now time.Time, k *bucket, n float64) error {
	if b.Suspended(now) {
		return errSuspended
	}
	k.accrue(now)
	if k.level < n {
		return errNoTokens
	}
	k.level -= n
	return nil
}

// AddWaiting adds n to the number of requests of subject that are queued for quota. n is -1
// when a request leaves the queue.
func (b *Ledger) AddWaiting(subject lacewingramp.Subject, n int) {
	if b.tracer != nil {
		b.traceTake(time.Time{}, CallAddWaiting, subject, float64(n), nil)
	}
	if k, ok := b.buckets[subject]; ok {
		k.waiting = max(0, k.waiting+n)
	}
}

// TimeToToken returns the time until a token is available, provided that no tokens are taken
// or borrowed meanwhile. It returns false if no token will become available.
func (b *Ledger) TimeToToken(now time.Time, subject lacewingramp.Subject) (time.Duration, bool) {
	k, ok := b.buckets[subject]
	if !ok {
		return 0, false
	}
	k.accrue(now)
	if k.level >= 1 {
		return 0, true
	}
	if k.capacity() < 1 || k.tokensPerSecond() <= 0 {
		return 0, false
	}
	return time.Duration((1 - k.level) / k.tokensPerSecond() * float64(time.Second)), true
}

// SubjectState is the state of one limit at an instance: its own allocation, the available
// tokens, the demand in requests per second and the number of loans in each direction.
type SubjectState struct {
	Subject  lacewingramp.Subject    `json:"subject"`
	Own      lacewingramp.Allocation `json:"own"`
	Balance  float64                 `json:"level"`
	Demand   float64                 `json:"demand"`
	Lent     int                     `json:"lent"`
	Borrowed int                     `json:"borrowed"`
}

// SubjectState returns the state of the limit of subject.
func (b *Ledger) SubjectState(subject lacewingramp.Subject) SubjectState {
	k, ok := b.buckets[subject]
	if !ok {
		return SubjectState{Subject: subject}
	}
	return SubjectState{
		Subject: subject, Own: k.own, Balance: k.level, Demand: k.demand,
		Lent: len(k.lent), Borrowed: len(k.borrowed),
	}
}
