package quota

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// Recalling is a loan that its lender would like back, with its borrower.
type Recalling struct {
	Borrower string
	Extend   lacewingramp.Extend
}

// Recalls lists the loans that are out of the instance's own part, for a
// hand-over: a shard that is whole takes its tokens along.
func (b *Book) Recalls(now time.Time) []Recalling {
	var all []Recalling
	for s, k := range b.buckets {
		k.expire(now)
		for _, l := range k.lent {
			if !l.parted {
				all = append(all, Recalling{Borrower: l.id.Borrower, Extend: lacewingramp.Extend{ID: l.id, Subject: s}})
			}
		}
	}
	return all
}

// Recall ends a borrowed loan at once and returns what goes back with it. A
// loan of which a part is lent on, or that is not known, is not ended.
func (b *Book) Recall(now time.Time, e lacewingramp.Extend) (lacewingramp.Return, bool) {
	r, ok := b.recall(now, e)
	if b.tracer != nil {
		b.traceRecall(now, e, r, ok)
	}
	return r, ok
}

func (b *Book) traceRecall(now time.Time, e lacewingramp.Extend, r lacewingramp.Return, ok bool) {
	want := Want{Done: ok}
	if ok {
		want.Givings = []Giving{{Return: r}}
	}
	b.trace(now, CallRecall, Args{Extend: &e}, want)
}

func (b *Book) recall(now time.Time, e lacewingramp.Extend) (lacewingramp.Return, bool) {
	k, ok := b.buckets[e.Subject]
	if !ok {
		return lacewingramp.Return{}, false
	}
	k.accrue(now)
	if k.passedOn(e.ID) {
		return lacewingramp.Return{}, false
	}
	for i, l := range k.borrowed {
		if l.id != e.ID {
			continue
		}
		k.borrowed = append(k.borrowed[:i], k.borrowed[i+1:]...)
		return lacewingramp.Return{ID: e.ID, Subject: e.Subject, UnusedTokens: k.part(l)}, true
	}
	return lacewingramp.Return{}, false
}
