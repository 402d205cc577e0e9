package quota

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// RecallRequest is a request to return a loan early, with the borrower that it is sent to.
type RecallRequest struct {
	Borrower string
	Extend   lacewingramp.Extend
}

// RecallRequests returns the requests to send to the borrowers of the instance's outstanding
// loans, except those that have a fixed term. They are sent before the instance hands over
// its shards, because a shard without outstanding loans is handed over with all of its
// tokens.
func (b *Ledger) RecallRequests(now time.Time) []RecallRequest {
	var all []RecallRequest
	for s, k := range b.buckets {
		k.expireLoans(now)
		for _, l := range k.lent {
			if !l.fixedTerm {
				all = append(all, RecallRequest{Borrower: l.id.Borrower, Extend: lacewingramp.Extend{ID: l.id, Subject: s}})
			}
		}
	}
	return all
}

// ReturnRecalled ends a borrowed loan immediately and returns the LoanReturn to send to its lender.
// It returns false if the loan is unknown or if a part of it is lent to another instance.
func (b *Ledger) ReturnRecalled(now time.Time, e lacewingramp.Extend) (lacewingramp.LoanReturn, bool) {
	r, ok := b.recall(now, e)
	if b.tracer != nil {
		b.traceRecall(now, e, r, ok)
	}
	return r, ok
}

func (b *Ledger) traceRecall(now time.Time, e lacewingramp.Extend, r lacewingramp.LoanReturn, ok bool) {
	want := Want{Done: ok}
	if ok {
		want.LoanReturns = []ReturnRequest{{LoanReturn: r}}
	}
	b.trace(now, CallRecall, Args{Extend: &e}, want)
}

func (b *Ledger) recall(now time.Time, e lacewingramp.Extend) (lacewingramp.LoanReturn, bool) {
	k, ok := b.buckets[e.Subject]
	if !ok {
		return lacewingramp.LoanReturn{}, false
	}
	k.accrue(now)
	if k.hasSubloans(e.ID) {
		return lacewingramp.LoanReturn{}, false
	}
	for i, l := range k.borrowed {
		if l.id != e.ID {
			continue
		}
		k.borrowed = append(k.borrowed[:i], k.borrowed[i+1:]...)
		return lacewingramp.LoanReturn{ID: e.ID, Subject: e.Subject, UnusedTokens: k.endBorrowed(l)}, true
	}
	return lacewingramp.LoanReturn{}, false
}
