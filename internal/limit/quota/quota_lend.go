package quota

import (
	"math"
	"slices"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Policy of lending.
const (
	// keepFactor is how many times its own demand a lender keeps.
	keepFactor = 1.2
	// keepAhead is the time whose own demand a lender keeps as tokens.
	keepAhead = 200 * time.Millisecond
	// loanAhead is the time whose asked rate a loan can hold as tokens.
	loanAhead = 400 * time.Millisecond
)

// spare returns what the instance could lend of a subject now.
func (b *Book) spare(now time.Time, k *bucket) (rate, burst lacewingramp.LimitFraction, tokens float64) {
	k.expire(now)
	demand, _ := k.total(now)
	rate = without(k.own.Rate, lacewingramp.FractionOf(demand*keepFactor, k.limit.Rate))
	keep := math.Max(float64(k.waiting), k.demand*keepAhead.Seconds())
	burst = without(k.own.Burst, lacewingramp.FractionOf(keep, k.limit.Burst))
	tokens = math.Max(0, math.Min(k.level-keep, burst.Of(k.limit.Burst)))
	return rate, burst, tokens
}

func without(u, less lacewingramp.LimitFraction) lacewingramp.LimitFraction {
	if u < less {
		return 0
	}
	return u - less
}

// Spares lists the subjects of which the instance has quota to lend, for the
// subjects that wanted returns true for.
func (b *Book) Spares(now time.Time, wanted func(lacewingramp.Subject) bool) []lacewingramp.Spare {
	var all []lacewingramp.Spare
	for s, k := range b.buckets {
		if !wanted(s) {
			continue
		}
		rate, _, tokens := b.spare(now, k)
		if b.gathering(s, k) != gatherNot {
			tokens = math.Max(tokens, math.Floor(k.level-float64(k.waiting)))
			rate = k.own.Rate
		}
		p := lacewingramp.Spare{Subject: s, Rate: coarse(rate.Of(k.limit.Rate)), Tokens: coarse(tokens)}
		if b.gathering(s, k) == gatherFleet && k.active(now) {
			p.Demand, p.Collecting = coarse(k.demand), k.hasGathered()
		}
		if p.Rate > 0 || p.Tokens >= 1 || p.Demand > 0 {
			all = append(all, p)
		}
	}
	return all
}

// coarse rounds a reported number up to an eighth, which takes few bytes.
func coarse(v float64) float64 {
	return math.Ceil(v*coarseness) / coarseness
}

const coarseness = 8

// Lend answers an Ask out of what the instance can spare. The loan is split
// off before the answer leaves. An Ask that comes twice gets one loan.
func (b *Book) Lend(now time.Time, ask lacewingramp.Ask) lacewingramp.Loan {
	loan := b.lend(now, ask)
	if b.tracer != nil {
		b.trace(now, CallLend, Args{Ask: &ask}, Want{Loan: &loan})
	}
	return loan
}

func (b *Book) lend(now time.Time, ask lacewingramp.Ask) lacewingramp.Loan {
	loan := lacewingramp.Loan{ID: ask.ID, Subject: ask.Subject, Term: Term}
	k, ok := b.buckets[ask.Subject]
	if !ok || b.Suspended(now) || k.lends(ask.ID) {
		return loan
	}
	k.expire(now)
	if b.gathersFor(ask, k) {
		k.heed(now, ask)
	}
	rate, burst, tokens := b.portion(now, k, ask)
	if rate == 0 && tokens < 1 && !ask.All && b.gathering(ask.Subject, k) != gatherNot {
		return b.sublend(now, k, ask)
	}
	if burst == 0 || (rate == 0 && tokens < 1) {
		return loan
	}
	loan.Parcel = k.split(rate, burst, tokens)
	loan.All = b.yields(ask, k)
	k.lent = append(k.lent, lent{
		id: ask.ID, parcel: lacewingramp.Parcel{Rate: rate, Burst: burst}, until: now.Add(Term + Margin),
	})
	return loan
}

// gathersFor reports whether the instance may have to gather a small limit
// for the one that asks.
func (b *Book) gathersFor(ask lacewingramp.Ask, k *bucket) bool {
	switch b.gathering(ask.Subject, k) {
	case gatherFleet:
		return true
	case gatherDomain:
		return slices.Contains(b.siblings, ask.ID.Borrower)
	default:
		return false
	}
}

// heed notes what a sibling needs.
func (k *bucket) heed(now time.Time, ask lacewingramp.Ask) {
	k.asked = now
	if ask.All {
		return
	}
	if k.wants == nil {
		k.wants = make(map[string]want)
	}
	k.wants[ask.ID.Borrower] = want{demand: ask.Demand, waiting: ask.Waiting, at: now}
}

func (k *bucket) lends(id lacewingramp.LoanID) bool {
	for _, l := range k.lent {
		if l.id == id {
			return true
		}
	}
	return false
}

// portion is what an Ask gets: all there is where the domain gathers a small
// limit at one instance, else what can be spared.
func (b *Book) portion(now time.Time, k *bucket, ask lacewingramp.Ask) (rate, burst lacewingramp.LimitFraction, tokens float64) {
	if b.yields(ask, k) {
		return k.own.Rate, k.own.Burst, k.level
	}
	rate, burst, tokens = b.spare(now, k)
	rate = min(rate, lacewingramp.FractionOf(ask.Rate, k.limit.Rate))
	tokens = math.Min(tokens, ask.Tokens)
	want := lacewingramp.FractionOf(math.Max(tokens, ask.Rate*loanAhead.Seconds()), k.limit.Burst)
	return rate, min(burst, want+1), tokens
}

// yields reports whether an Ask is that of the home of a small limit, which
// gets all that there is.
func (b *Book) yields(ask lacewingramp.Ask, k *bucket) bool {
	return ask.All && b.home(ask.Subject, k) == ask.ID.Borrower
}

// sublend lends whole tokens out of all that has been gathered at this
// instance. The loan ends before any loan that it is made of.
func (b *Book) sublend(now time.Time, k *bucket, ask lacewingramp.Ask) lacewingramp.Loan {
	loan := lacewingramp.Loan{ID: ask.ID, Subject: ask.Subject, Term: Term}
	tokens := math.Floor(math.Min(ask.Tokens, k.level-float64(k.waiting)))
	if tokens < 1 {
		return loan
	}
	want := lacewingramp.FractionOf(tokens, k.limit.Burst) + 1
	own := min(want, k.own.Burst)
	parts := []lent{{id: ask.ID, parcel: lacewingramp.Parcel{Burst: own}, parted: true}}
	got := own
	for i := range k.borrowed {
		l := &k.borrowed[i]
		left := l.until.Sub(now) - Margin
		take := min(want-got, l.parcel.Burst)
		if take == 0 || left < subTerm {
			continue
		}
		loan.Term = min(loan.Term, left)
		parts = append(parts, lent{id: ask.ID, source: l.id, parcel: lacewingramp.Parcel{Burst: take}, parted: true})
		got += take
	}
	if got < want {
		return lacewingramp.Loan{ID: ask.ID, Subject: ask.Subject}
	}
	loan.Parcel = lacewingramp.Parcel{Burst: got, Level: tokens}
	k.detach(parts, now.Add(loan.Term+Margin))
	k.level -= tokens
	k.clamp()
	return loan
}

// subTerm is the shortest loan that is made of other loans.
const subTerm = 400 * time.Millisecond

// detach takes the parts of a loan out of what they are made of.
func (k *bucket) detach(parts []lent, until time.Time) {
	for _, p := range parts {
		p.until = until
		if p.source == (lacewingramp.LoanID{}) {
			k.own.Burst -= p.parcel.Burst
		} else if l := k.loan(p.source); l != nil {
			l.parcel.Burst -= p.parcel.Burst
			k.burst -= p.parcel.Burst
		}
		k.lent = append(k.lent, p)
	}
}

// loan finds a borrowed loan.
func (k *bucket) loan(id lacewingramp.LoanID) *borrowed {
	for i := range k.borrowed {
		if k.borrowed[i].id == id {
			return &k.borrowed[i]
		}
	}
	return nil
}

// reattach brings a lent parcel back to where it came from. Where that was a
// loan that has ended, the parcel is no longer this instance's.
func (k *bucket) reattach(l lent, level float64) {
	if l.source == (lacewingramp.LoanID{}) {
		l.parcel.Level = level
		k.rejoin(l.parcel)
		return
	}
	if from := k.loan(l.source); from != nil {
		from.parcel.Burst += l.parcel.Burst
		k.burst += l.parcel.Burst
		k.level += level
		k.clamp()
	}
}

// passedOn reports whether a part of a borrowed loan is lent on.
func (k *bucket) passedOn(id lacewingramp.LoanID) bool {
	for _, l := range k.lent {
		if l.source == id {
			return true
		}
	}
	return false
}

// TakeBack accepts a Return. One of a loan that is over, or that comes twice,
// counts for nothing.
func (b *Book) TakeBack(now time.Time, r lacewingramp.Return) {
	k, ok := b.buckets[r.Subject]
	if !ok {
		return
	}
	b.trace(now, CallBack, Args{Return: &r}, Want{})
	k.expire(now)
	level := math.Max(0, r.UnusedTokens)
	kept := k.lent[:0]
	var back []lent
	for _, l := range k.lent {
		if l.id == r.ID {
			back = append(back, l)
			continue
		}
		kept = append(kept, l)
	}
	k.lent = kept
	for _, l := range back {
		part := math.Min(level, l.parcel.Burst.Of(k.limit.Burst))
		level -= part
		k.reattach(l, part)
	}
}

// Extend lets a loan run for another term, unless the instance needs it
// itself. A loan of which a part has gone with a shard is not extended.
func (b *Book) Extend(now time.Time, e lacewingramp.Extend) lacewingramp.Extended {
	x := b.extend(now, e)
	if b.tracer != nil {
		b.trace(now, CallExtend, Args{Extend: &e}, Want{Extended: &x})
	}
	return x
}

func (b *Book) extend(now time.Time, e lacewingramp.Extend) lacewingramp.Extended {
	k, ok := b.buckets[e.Subject]
	if !ok || b.Suspended(now) {
		return lacewingramp.Extended{}
	}
	k.expire(now)
	if k.owed.Rate > 0 || k.owed.Burst > 0 || b.wants(k, e) {
		return lacewingramp.Extended{}
	}
	for i := range k.lent {
		if l := &k.lent[i]; l.id == e.ID && !l.parted {
			l.until = now.Add(Term + Margin)
			return lacewingramp.Extended{Granted: true, Term: Term}
		}
	}
	return lacewingramp.Extended{}
}

// wants reports whether the instance needs a loan back. What a small limit's
// home has gathered stays there.
func (b *Book) wants(k *bucket, e lacewingramp.Extend) bool {
	if b.gathering(e.Subject, k) != gatherNot && (b.home(e.Subject, k) == e.ID.Borrower || k.demand == 0) {
		return false
	}
	return k.waiting > 0 || k.demand > k.own.Rate.Of(k.limit.Rate)
}
