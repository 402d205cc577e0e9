package quota

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Policy of lending and borrowing.
const (
	// keepFactor is how many times its own demand a lender keeps.
	keepFactor = 1.2
	// keepAhead is the time whose own demand a lender keeps as tokens.
	keepAhead = 200 * time.Millisecond
	// askFactor is how many times its demand a borrower asks for.
	askFactor = 1.2
	// askAhead is the time whose demand a borrower keeps as tokens.
	askAhead = 400 * time.Millisecond
	// renewAhead is how long before its end a loan counts as gone when the
	// need is worked out.
	renewAhead = 700 * time.Millisecond
	// returnBelow is the demand, as a part of its borrowed rate, under which
	// a borrower brings a loan back.
	returnBelow = 0.5
)

// spare returns what the instance could lend of a subject now.
func (b *Book) spare(now time.Time, s lacewingramp.Subject, k *bucket) (rate, burst lacewingramp.Units, tokens float64) {
	k.expire(now)
	kept := b.kept(s)
	need := lacewingramp.UnitsOf(k.demand*keepFactor, k.limit.Rate)
	rate = without(k.own.Rate, max(kept, need))
	tokens = k.level - math.Max(float64(k.waiting), k.demand*keepAhead.Seconds())
	reserve := lacewingramp.UnitsOf(math.Max(1, k.demand*keepAhead.Seconds()), k.limit.Burst)
	burst = without(k.own.Burst, max(kept, reserve))
	return rate, burst, math.Max(0, math.Min(tokens, burst.Of(k.limit.Burst)))
}

func without(u, less lacewingramp.Units) lacewingramp.Units {
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
		rate, _, tokens := b.spare(now, s, k)
		if rate > 0 || tokens >= 1 {
			all = append(all, lacewingramp.Spare{Subject: s, Rate: rate.Of(k.limit.Rate), Tokens: tokens})
		}
	}
	return all
}

// Lend answers an Ask out of what the instance can spare. The loan is split
// off before the answer leaves. An Ask that comes twice gets one loan.
func (b *Book) Lend(now time.Time, ask lacewingramp.Ask) lacewingramp.Loan {
	loan := lacewingramp.Loan{ID: ask.ID, Subject: ask.Subject, Term: Term}
	k, ok := b.buckets[ask.Subject]
	if !ok || b.Suspended(now) {
		return loan
	}
	for _, l := range k.lent {
		if l.id == ask.ID {
			return loan
		}
	}
	rate, burst, tokens := b.spare(now, ask.Subject, k)
	rate = min(rate, lacewingramp.UnitsOf(ask.Rate, k.limit.Rate))
	tokens = math.Min(tokens, ask.Tokens)
	want := lacewingramp.UnitsOf(math.Max(tokens, ask.Rate*askAhead.Seconds()), k.limit.Burst)
	burst = min(burst, want+1)
	if burst == 0 || (rate == 0 && tokens < 1) {
		return loan
	}
	loan.Parcel = k.split(rate, burst, tokens)
	k.lent = append(k.lent, lent{
		id: ask.ID, parcel: lacewingramp.Parcel{Rate: rate, Burst: burst}, until: now.Add(Term + Margin),
	})
	return loan
}

// TakeBack accepts a Return. One of a loan that is over, or that comes twice,
// counts for nothing.
func (b *Book) TakeBack(now time.Time, r lacewingramp.Return) {
	k, ok := b.buckets[r.Subject]
	if !ok {
		return
	}
	k.expire(now)
	for i, l := range k.lent {
		if l.id != r.ID {
			continue
		}
		p := l.parcel
		p.Level = math.Min(math.Max(0, r.Level), p.Burst.Of(k.limit.Burst))
		k.lent = append(k.lent[:i], k.lent[i+1:]...)
		k.rejoin(p)
		return
	}
}
