package quota

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// Refusals that Take returns. They are shared, so that a refusal costs no
// allocation.
var (
	errEmpty  = lacewingramp.NewRefusal(lacewingramp.CauseRate, "no quota left")
	errPaused = lacewingramp.NewRefusal(lacewingramp.CauseSuspended, "quota not confirmed after a pause")
	errAbsent = lacewingramp.NewRefusal(lacewingramp.CauseTable, "no such limit")
)

// Take spends one token of subject. Its error is a *lacewingramp.Refusal
// whose verdict is NotRun.
func (b *Book) Take(now time.Time, subject lacewingramp.Subject) error {
	return b.TakeMany(now, subject, 1)
}

// TakeMany spends n tokens of subject at once, or none.
func (b *Book) TakeMany(now time.Time, subject lacewingramp.Subject, n float64) error {
	k, ok := b.buckets[subject]
	if !ok {
		return errAbsent
	}
	k.offered += n
	err := b.spend(now, k, n)
	if b.tracer != nil {
		b.traceTake(now, CallTake, subject, n, err)
	}
	return err
}

// Retry spends one token for a request that Take has refused before, without
// counting it as new demand.
func (b *Book) Retry(now time.Time, subject lacewingramp.Subject) error {
	k, ok := b.buckets[subject]
	if !ok {
		return errAbsent
	}
	err := b.spend(now, k, 1)
	if b.tracer != nil {
		b.traceTake(now, CallRetry, subject, 1, err)
	}
	return err
}

func (b *Book) spend(now time.Time, k *bucket, n float64) error {
	if b.Suspended(now) {
		return errPaused
	}
	k.accrue(now)
	if k.level < n {
		return errEmpty
	}
	k.level -= n
	return nil
}

// Wait tells the Book that a request of subject waits for quota, or with -1
// that it no longer does.
func (b *Book) Wait(subject lacewingramp.Subject, n int) {
	if b.tracer != nil {
		b.traceTake(time.Time{}, CallWait, subject, float64(n), nil)
	}
	if k, ok := b.buckets[subject]; ok {
		k.waiting = max(0, k.waiting+n)
	}
}

// Refill returns how long it takes until a token is there, if nothing else
// is taken or borrowed. It returns false where none will come.
func (b *Book) Refill(now time.Time, subject lacewingramp.Subject) (time.Duration, bool) {
	k, ok := b.buckets[subject]
	if !ok {
		return 0, false
	}
	k.accrue(now)
	if k.level >= 1 {
		return 0, true
	}
	if k.capacity() < 1 || k.perSecond() <= 0 {
		return 0, false
	}
	return time.Duration((1 - k.level) / k.perSecond() * float64(time.Second)), true
}

// Stock is what an instance has of one limit.
type Stock struct {
	Subject  lacewingramp.Subject `json:"subject"`
	Own      lacewingramp.Parcel  `json:"own"`
	Level    float64              `json:"level"`
	Demand   float64              `json:"demand"`
	Lent     int                  `json:"lent"`
	Borrowed int                  `json:"borrowed"`
}

// Stock returns what the instance has of subject.
func (b *Book) Stock(subject lacewingramp.Subject) Stock {
	k, ok := b.buckets[subject]
	if !ok {
		return Stock{Subject: subject}
	}
	return Stock{
		Subject: subject, Own: k.own, Level: k.level, Demand: k.demand,
		Lent: len(k.lent), Borrowed: len(k.borrowed),
	}
}
