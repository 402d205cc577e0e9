package quota

import (
	"math"
	"slices"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Constants of the lending policy.
const (
	// lenderRateFactor is the rate that a lender keeps, as a multiple of its demand.
	lenderRateFactor = 1.2
	// lenderReserve determines how many tokens a lender keeps: those that its own demand
	// uses in this time.
	lenderReserve = 200 * time.Millisecond
	// loanReserve is the time for which a loan's burst can hold the tokens that accrue at
	// the requested rate.
	loanReserve = 400 * time.Millisecond
)

// lendable returns the quota of a subject that the instance can lend now.
func (b *Ledger) lendable(now time.Time, k *bucket) (rate, burst lacewingramp.LimitFraction, tokens float64) {
	k.expireLoans(now)
	demand, _ := k.totalDemand(now)
	rate = saturatingSubtract(k.own.Rate, lacewingramp.FractionOf(demand*lenderRateFactor, k.limit.Rate))
	keep := math.Max(float64(k.waiting), k.demand*lenderReserve.Seconds())
	burst = saturatingSubtract(k.own.Burst, lacewingramp.FractionOf(keep, k.limit.Burst))
	tokens = math.Max(0, math.Min(k.level-keep, burst.Of(k.limit.Burst)))
	return rate, burst, tokens
}

func saturatingSubtract(u, less lacewingramp.LimitFraction) lacewingramp.LimitFraction {
	if u < less {
		return 0
	}
	return u - less
}

// Spares returns the quota that the instance can lend, and its demand for limits that are
// collected over the fleet. It covers the subjects for which wanted returns true.
func (b *Ledger) Spares(now time.Time, wanted func(lacewingramp.Subject) bool) []lacewingramp.SpareQuota {
	var all []lacewingramp.SpareQuota
	for s, k := range b.buckets {
		if !wanted(s) {
			continue
		}
		rate, _, tokens := b.lendable(now, k)
		if b.collectScope(s, k) != collectNone {
			tokens = math.Max(tokens, math.Floor(k.level-float64(k.waiting)))
			rate = k.own.Rate
		}
		p := lacewingramp.SpareQuota{Subject: s, Rate: roundUp(rate.Of(k.limit.Rate)), Tokens: roundUp(tokens)}
		if b.collectScope(s, k) == collectFleet && k.active(now) {
			p.Demand, p.Collecting = roundUp(k.demand), k.hasCollected()
		}
		if p.Rate > 0 || p.Tokens >= 1 || p.Demand > 0 {
			all = append(all, p)
		}
	}
	return all
}

// roundUp rounds a reported number up to a multiple of an eighth, which takes fewer bytes
// in a message.
func roundUp(v float64) float64 {
	return math.Ceil(v*roundingSteps) / roundingSteps
}

const roundingSteps = 8

// Lend returns the reply to a LoanRequest: a loan of quota that the instance can spare, or an
// empty loan. The quota is split off before the reply is sent. The reply to a duplicate
// request is an empty loan.
func (b *Ledger) Lend(now time.Time, request lacewingramp.LoanRequest) lacewingramp.Loan {
	loan := b.lend(now, request)
	if b.tracer != nil {
		b.trace(now, CallLend, Args{LoanRequest: &request}, Want{Loan: &loan})
	}
	return loan
}

func (b *Ledger) lend(now time.Time, request lacewingramp.LoanRequest) lacewingramp.Loan {
	loan := lacewingramp.Loan{ID: request.ID, Subject: request.Subject, Term: Term}
	k, ok := b.buckets[request.Subject]
	if !ok || b.Suspended(now) || k.hasLent(request.ID) {
		return loan
	}
	k.expireLoans(now)
	if b.mayCollectFor(request, k) {
		k.recordRequest(now, request)
	}
	rate, burst, tokens := b.loanAmounts(now, k, request)
	if rate == 0 && tokens < 1 && !request.All && b.collectScope(request.Subject, k) != collectNone {
		return b.lendCollected(now, k, request)
	}
	if burst == 0 || (rate == 0 && tokens < 1) {
		return loan
	}
	loan.Allocation = k.splitAllocation(rate, burst, tokens)
	loan.All = b.lendsEverything(request, k)
	k.lent = append(k.lent, lent{
		id: request.ID, allocation: lacewingramp.Allocation{Rate: rate, Burst: burst}, until: now.Add(Term + ReclaimMargin),
	})
	return loan
}

// mayCollectFor reports whether the limit is small enough that this instance may be the
// collector for the borrower.
func (b *Ledger) mayCollectFor(request lacewingramp.LoanRequest, k *bucket) bool {
	switch b.collectScope(request.Subject, k) {
	case collectFleet:
		return true
	case collectDomain:
		return slices.Contains(b.siblings, request.ID.Borrower)
	default:
		return false
	}
}

// recordRequest records that another instance requested quota. It also records the demand of
// that instance, unless the instance requested everything as the collector.
func (k *bucket) recordRequest(now time.Time, request lacewingramp.LoanRequest) {
	k.lastRequest = now
	if request.All {
		return
	}
	if k.reportedDemands == nil {
		k.reportedDemands = make(map[string]reportedDemand)
	}
	k.reportedDemands[request.ID.Borrower] = reportedDemand{demand: request.Demand, waiting: request.Waiting, receivedAt: now}
}

func (k *bucket) hasLent(id lacewingramp.LoanID) bool {
	for _, l := range k.lent {
		if l.id == id {
			return true
		}
	}
	return false
}

// loanAmounts returns the size of the requested loan: everything that this instance has if
// the borrower collects a small limit, otherwise at most what can be spared.
func (b *Ledger) loanAmounts(now time.Time, k *bucket, request lacewingramp.LoanRequest) (rate, burst lacewingramp.LimitFraction, tokens float64) {
	if b.lendsEverything(request, k) {
		return k.own.Rate, k.own.Burst, k.level
	}
	rate, burst, tokens = b.lendable(now, k)
	rate = min(rate, lacewingramp.FractionOf(request.Rate, k.limit.Rate))
	tokens = math.Min(tokens, request.Tokens)
	needed := lacewingramp.FractionOf(math.Max(tokens, request.Rate*loanReserve.Seconds()), k.limit.Burst)
	return rate, min(burst, needed+1), tokens
}

// lendsEverything reports whether a request comes from the collector of a small limit, which
// gets everything that this instance has.
func (b *Ledger) lendsEverything(request lacewingramp.LoanRequest, k *bucket) bool {
	return request.All && b.collector(request.Subject, k) == request.ID.Borrower
}

// lendCollected lends whole tokens out of the quota collected at this instance, which is
// partly borrowed itself. The loan expires before any loan that it is made of.
func (b *Ledger) lendCollected(now time.Time, k *bucket, request lacewingramp.LoanRequest) lacewingramp.Loan {
	loan := lacewingramp.Loan{ID: request.ID, Subject: request.Subject, Term: Term}
	tokens := math.Floor(math.Min(request.Tokens, k.level-float64(k.waiting)))
	if tokens < 1 {
		return loan
	}
	needed := lacewingramp.FractionOf(tokens, k.limit.Burst) + 1
	own := min(needed, k.own.Burst)
	parts := []lent{{id: request.ID, allocation: lacewingramp.Allocation{Burst: own}, fixedTerm: true}}
	got := own
	for i := range k.borrowed {
		l := &k.borrowed[i]
		left := l.until.Sub(now) - ReclaimMargin
		take := min(needed-got, l.allocation.Burst)
		if take == 0 || left < minSubloanTerm {
			continue
		}
		loan.Term = min(loan.Term, left)
		parts = append(parts, lent{id: request.ID, source: l.id, allocation: lacewingramp.Allocation{Burst: take}, fixedTerm: true})
		got += take
	}
	if got < needed {
		return lacewingramp.Loan{ID: request.ID, Subject: request.Subject}
	}
	loan.Allocation = lacewingramp.Allocation{Burst: got, Balance: tokens}
	k.deductParts(parts, now.Add(loan.Term+ReclaimMargin))
	k.level -= tokens
	k.clamp()
	return loan
}

// minSubloanTerm is the shortest term of a loan that is made of other loans.
const minSubloanTerm = 400 * time.Millisecond

// deductParts deducts the parts of a new loan from their sources and records them as lent.
func (k *bucket) deductParts(parts []lent, until time.Time) {
	for _, p := range parts {
		p.until = until
		if p.source == (lacewingramp.LoanID{}) {
			k.own.Burst -= p.allocation.Burst
		} else if l := k.borrowedLoan(p.source); l != nil {
			l.allocation.Burst -= p.allocation.Burst
			k.borrowedBurst -= p.allocation.Burst
		}
		k.lent = append(k.lent, p)
	}
}

// borrowedLoan returns the borrowed loan with the ID, or nil.
func (k *bucket) borrowedLoan(id lacewingramp.LoanID) *borrowed {
	for i := range k.borrowed {
		if k.borrowed[i].id == id {
			return &k.borrowed[i]
		}
	}
	return nil
}

// restoreAllocation adds a lent allocation back to its source. If the source is a borrowed
// loan that has ended, the allocation is dropped, because it belongs to the lender of that
// loan again.
func (k *bucket) restoreAllocation(l lent, level float64) {
	if l.source == (lacewingramp.LoanID{}) {
		l.allocation.Balance = level
		k.addOwn(l.allocation)
		return
	}
	if from := k.borrowedLoan(l.source); from != nil {
		from.allocation.Burst += l.allocation.Burst
		k.borrowedBurst += l.allocation.Burst
		k.level += level
		k.clamp()
	}
}

// hasSubloans reports whether a part of a borrowed loan is lent to another instance.
func (k *bucket) hasSubloans(id lacewingramp.LoanID) bool {
	for _, l := range k.lent {
		if l.source == id {
			return true
		}
	}
	return false
}

// TakeBack takes a returned loan back. It ignores a LoanReturn of an unknown or expired loan
// and a duplicate.
func (b *Ledger) TakeBack(now time.Time, r lacewingramp.LoanReturn) {
	k, ok := b.buckets[r.Subject]
	if !ok {
		return
	}
	b.trace(now, CallTakeBack, Args{LoanReturn: &r}, Want{})
	k.expireLoans(now)
	unused := math.Max(0, r.UnusedTokens)
	kept := k.lent[:0]
	var returned []lent
	for _, l := range k.lent {
		if l.id == r.ID {
			returned = append(returned, l)
			continue
		}
		kept = append(kept, l)
	}
	k.lent = kept
	for _, l := range returned {
		tokens := math.Min(unused, l.allocation.Burst.Of(k.limit.Burst))
		unused -= tokens
		k.restoreAllocation(l, tokens)
	}
}

// Extend extends a loan by another term, unless the instance needs the quota itself or has
// debt. A loan is not extended either if a part of it was handed over with a shard or if it
// was made of other loans.
func (b *Ledger) Extend(now time.Time, e lacewingramp.Extend) lacewingramp.LoanExtension {
	x := b.extend(now, e)
	if b.tracer != nil {
		b.trace(now, CallExtend, Args{Extend: &e}, Want{LoanExtension: &x})
	}
	return x
}

func (b *Ledger) extend(now time.Time, e lacewingramp.Extend) lacewingramp.LoanExtension {
	k, ok := b.buckets[e.Subject]
	if !ok || b.Suspended(now) {
		return lacewingramp.LoanExtension{}
	}
	k.expireLoans(now)
	if k.debt.Rate > 0 || k.debt.Burst > 0 || b.needsBack(k, e) {
		return lacewingramp.LoanExtension{}
	}
	for i := range k.lent {
		if l := &k.lent[i]; l.id == e.ID && !l.fixedTerm {
			l.until = now.Add(Term + ReclaimMargin)
			return lacewingramp.LoanExtension{Granted: true, Term: Term}
		}
	}
	return lacewingramp.LoanExtension{}
}

// needsBack reports whether the instance needs the quota of a loan itself. For a small limit
// it returns false if the borrower is the collector or if the instance has no demand.
func (b *Ledger) needsBack(k *bucket, e lacewingramp.Extend) bool {
	if b.collectScope(e.Subject, k) != collectNone && (b.collector(e.Subject, k) == e.ID.Borrower || k.demand == 0) {
		return false
	}
	return k.waiting > 0 || k.demand > k.own.Rate.Of(k.limit.Rate)
}
