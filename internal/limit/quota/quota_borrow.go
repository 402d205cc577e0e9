package quota

import (
	"math"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Policy of borrowing.
const (
	// askFactor is how many times its demand a borrower asks for.
	askFactor = 1.2
	// askAhead is the time whose demand a borrower keeps as tokens.
	askAhead = 400 * time.Millisecond
	// extendAhead is how long before its end a loan is extended.
	extendAhead = time.Second
	// goneAhead is how long before its end a loan counts as gone when the
	// need is worked out.
	goneAhead = 300 * time.Millisecond
	// returnBelow is the demand, as a part of the rate that is left without
	// it, under which a borrower brings a loan back.
	returnBelow = 0.5
	// thinInstance is the burst, in tokens, under which an instance's own part
	// is too small to be of use by itself, and thinDomain that of a domain.
	thinInstance = 8
	thinDomain   = 6
	// returnAhead is how long before its end a loan of tokens goes back, so
	// that the tokens are not lost.
	returnAhead = 300 * time.Millisecond
	// stockLeast is the tokens of askAhead's demand under which none are
	// fetched ahead.
	stockLeast = 0.5
	// activeTime is how long a subject counts as in use after it was asked
	// for.
	activeTime = 10 * time.Second
	// activeDemand is the demand, in requests a second, of a subject in use.
	activeDemand = 0.01
)

// gathering says how far a small limit is gathered at one instance.
type gathering uint8

const (
	gatherNot gathering = iota
	gatherDomain
	gatherFleet
)

// gathering says whether the instance's own part, or the whole domain's, is
// too small to be of use by itself. It depends on the Table alone, so that
// all instances of a domain agree.
func (b *Book) gathering(s lacewingramp.Subject, k *bucket) gathering {
	shard := b.shardUnits(s).Of(k.limit.Burst)
	switch {
	case shard*Shards < thinDomain:
		return gatherFleet
	case shard*Shards/float64(len(b.siblings)+1) < thinInstance:
		return gatherDomain
	default:
		return gatherNot
	}
}

func (k *bucket) active(now time.Time) bool {
	return k.waiting > 0 || k.demand > activeDemand || now.Sub(k.asked) < activeTime
}

// Need is what an instance lacks of one limit: Rate in tokens a second and
// Tokens at once. With All set it is the domain's home of a small limit and
// gathers all that its siblings have.
type Need struct {
	Subject lacewingramp.Subject `json:"subject"`
	Rate    float64              `json:"rate"`
	Tokens  float64              `json:"tokens"`
	All     bool                 `json:"all,omitempty"`
}

// Needs lists the subjects that the instance should borrow: those whose
// requests wait, and those whose demand will outrun what it has.
func (b *Book) Needs(now time.Time) []Need {
	var all []Need
	for s, k := range b.buckets {
		if n, ok := b.need(now, s, k); ok {
			all = append(all, n)
		}
	}
	return all
}

// NeedOf returns what the instance lacks of one subject.
func (b *Book) NeedOf(now time.Time, s lacewingramp.Subject) (Need, bool) {
	k, ok := b.buckets[s]
	if !ok {
		return Need{}, false
	}
	return b.need(now, s, k)
}

func (b *Book) need(now time.Time, s lacewingramp.Subject, k *bucket) (Need, bool) {
	k.accrue(now)
	n := Need{Subject: s, All: b.gathers(now, s, k)}
	demand, waiting := k.total(now)
	demand = math.Min(demand, k.limit.Rate)
	rate := k.own.Rate
	for _, l := range k.borrowed {
		if l.until.Sub(now) > goneAhead {
			rate += l.parcel.Rate
		}
	}
	stock := demand * askAhead.Seconds()
	if stock < stockLeast || b.gathering(s, k) != gatherNot {
		stock = 0
	}
	n.Rate = math.Max(0, demand*askFactor-rate.Of(k.limit.Rate))
	n.Tokens = math.Ceil(math.Max(0, float64(waiting)+stock-k.level))
	lacks := waiting > 0 || k.level < stock
	if !n.All && (!lacks || n.Rate == 0 && n.Tokens == 0) {
		return n, false
	}
	n.Tokens = math.Max(1, n.Tokens)
	return n, true
}

// gathers reports whether the instance is the home of a small limit that is
// in use and has not been gathered yet.
func (b *Book) gathers(now time.Time, s lacewingramp.Subject, k *bucket) bool {
	from := 0
	switch b.gathering(s, k) {
	case gatherDomain:
		from = len(b.siblings)
	case gatherFleet:
		from = len(b.siblings) + len(b.others)
	default:
	}
	if from == 0 || !k.active(now) || b.home(s, k) != b.name {
		return false
	}
	return k.loansOfAll(now) < from || b.left(s, k)
}

// loansOfAll counts the loans by which others have given all that they had.
func (k *bucket) loansOfAll(now time.Time) int {
	n := 0
	for _, l := range k.borrowed {
		if l.all && l.until.Sub(now) > goneAhead {
			n++
		}
	}
	return n
}

// left reports whether an instance that could give has something of a small
// limit, because a part came back to it after it had given all.
func (b *Book) left(s lacewingramp.Subject, k *bucket) bool {
	lists := [][]string{b.siblings}
	if b.gathering(s, k) == gatherFleet {
		lists = append(lists, b.others)
	}
	for _, names := range lists {
		for _, n := range names {
			if k.rivals[n].Rate > 0 {
				return true
			}
		}
	}
	return false
}

// Ask turns a part of a need into a message. The term of a loan that answers
// it begins at now.
func (b *Book) Ask(now time.Time, n Need) lacewingramp.Ask {
	b.seq++
	id := lacewingramp.LoanID{Borrower: b.name, Serial: b.seq}
	b.asked[id] = asking{subject: n.Subject, sent: now, all: n.All}
	ask := lacewingramp.Ask{ID: id, Subject: n.Subject, Rate: n.Rate, Tokens: n.Tokens, All: n.All}
	if k, ok := b.buckets[n.Subject]; ok {
		ask.Demand, ask.Waiting = k.demand, k.waiting
	}
	if b.tracer != nil {
		b.trace(now, CallAsk, Args{Need: &n}, Want{})
	}
	return ask
}

// Borrow takes a loan into use. One that answers no open Ask, comes twice or
// comes after its term is not used.
func (b *Book) Borrow(now time.Time, lender string, loan lacewingramp.Loan) bool {
	done := b.borrow(now, lender, loan)
	if b.tracer != nil {
		b.trace(now, CallBorrow, Args{Name: lender, Loan: &loan}, Want{Done: done})
	}
	return done
}

func (b *Book) borrow(now time.Time, lender string, loan lacewingramp.Loan) bool {
	a, ok := b.asked[loan.ID]
	if !ok || a.subject != loan.Subject || loan.Parcel.Check() != nil {
		return false
	}
	delete(b.asked, loan.ID)
	k, ok := b.buckets[loan.Subject]
	until := a.sent.Add(loan.Term)
	if !ok || loan.Parcel.Empty() || !now.Before(until) {
		return false
	}
	k.accrue(now)
	k.borrowed = append(k.borrowed, borrowed{id: loan.ID, lender: lender, parcel: loan.Parcel, until: until, all: a.all && loan.All})
	k.rate += loan.Parcel.Rate
	k.burst += loan.Parcel.Burst
	k.level += loan.Parcel.Level
	k.clamp()
	return true
}

// Giving is a Return with the lender it goes to.
type Giving struct {
	Lender string              `json:"lender"`
	Return lacewingramp.Return `json:"return"`
}

// Returns ends the loans that are no longer needed and lists what to send
// back. After it they are not used, whether or not the message arrives.
func (b *Book) Returns(now time.Time) []Giving {
	var all []Giving
	for s, k := range b.buckets {
		k.accrue(now)
		if len(k.borrowed) == 0 {
			continue
		}
		thin, home := b.gathering(s, k) != gatherNot, b.home(s, k) == b.name
		for i := 0; i < len(k.borrowed); {
			l := k.borrowed[i]
			if k.keeps(now, l, thin, home) {
				i++
				continue
			}
			k.borrowed = append(k.borrowed[:i], k.borrowed[i+1:]...)
			all = append(all, Giving{Lender: l.lender, Return: lacewingramp.Return{ID: l.id, Subject: s, UnusedTokens: k.part(l)}})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Return.Subject.Name < all[j].Return.Subject.Name })
	if b.tracer != nil {
		b.trace(now, CallReturns, Args{}, Want{Givings: all})
	}
	return all
}

// part ends the use of a loan and returns the tokens that go back with it.
func (k *bucket) part(l borrowed) float64 {
	keep := (k.own.Burst + k.burst - l.parcel.Burst).Of(k.limit.Burst)
	back := math.Min(math.Max(0, k.level-keep), l.parcel.Burst.Of(k.limit.Burst))
	if k.demand < activeDemand || l.parcel.Rate == 0 {
		back = math.Min(k.level, l.parcel.Burst.Of(k.limit.Burst))
	}
	k.level -= back
	k.rate -= l.parcel.Rate
	k.burst -= l.parcel.Burst
	k.clamp()
	return back
}

// keeps reports whether a loan is still of use: one of tokens alone while
// requests wait or tokens are left, one of rate while demand asks for it. The
// tokens of a small limit go back at once, as others may wait for them.
func (k *bucket) keeps(now time.Time, l borrowed, thin, home bool) bool {
	if k.passedOn(l.id) {
		return true
	}
	if l.all {
		return k.active(now) && home
	}
	if thin && l.parcel.Rate == 0 {
		return k.waiting > 0 && k.level >= 1
	}
	if _, waiting := k.total(now); waiting > 0 {
		return true
	}
	if l.parcel.Rate == 0 {
		return k.level >= 1 && k.demand > activeDemand && l.until.Sub(now) > returnAhead
	}
	left := (k.own.Rate + k.rate - l.parcel.Rate).Of(k.limit.Rate)
	demand, _ := k.total(now)
	return demand >= returnBelow*left && demand > activeDemand
}

// Renewal is a loan that should be extended, with its lender.
type Renewal struct {
	Lender string
	Extend lacewingramp.Extend
}

// Renewals lists the loans that end soon and are still needed.
func (b *Book) Renewals(now time.Time) []Renewal {
	var all []Renewal
	for s, k := range b.buckets {
		k.accrue(now)
		for _, l := range k.borrowed {
			if l.parcel.Rate > 0 && l.until.Sub(now) < extendAhead {
				all = append(all, Renewal{Lender: l.lender, Extend: lacewingramp.Extend{ID: l.id, Subject: s}})
			}
		}
	}
	return all
}

// Extended takes the answer to an Extend that was sent at a moment. A loan
// that has ended meanwhile stays ended.
func (b *Book) Extended(now, sent time.Time, e lacewingramp.Extend, x lacewingramp.Extended) {
	k, ok := b.buckets[e.Subject]
	if !ok || !x.Granted {
		return
	}
	b.trace(now, CallExtended, Args{Moment: &sent, Extend: &e, Extended: &x}, Want{})
	k.accrue(now)
	for i := range k.borrowed {
		if l := &k.borrowed[i]; l.id == e.ID && sent.Add(x.Term).After(l.until) {
			l.until = sent.Add(x.Term)
		}
	}
}
