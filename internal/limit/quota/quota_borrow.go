package quota

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Need is what an instance lacks of one limit: Rate in tokens a second and
// Tokens at once.
type Need struct {
	Subject lacewingramp.Subject
	Rate    float64
	Tokens  float64
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
	demand := math.Min(k.demand, k.limit.Rate)
	rate := k.own.Rate
	for _, l := range k.borrowed {
		if l.until.Sub(now) > renewAhead {
			rate += l.parcel.Rate
		}
	}
	n := Need{Subject: s}
	n.Rate = math.Max(0, demand*askFactor-rate.Of(k.limit.Rate))
	n.Tokens = math.Max(0, float64(k.waiting)+demand*askAhead.Seconds()-k.level)
	if n.Tokens < 1 && k.waiting == 0 {
		n.Tokens = 0
	}
	if n.Rate == 0 && n.Tokens == 0 {
		return n, false
	}
	n.Tokens = math.Max(1, math.Ceil(n.Tokens))
	return n, k.waiting > 0 || k.level < demand*askAhead.Seconds()
}

// Ask turns a part of a need into a message. The term of a loan that answers
// it begins at now.
func (b *Book) Ask(now time.Time, n Need) lacewingramp.Ask {
	b.seq++
	id := lacewingramp.LoanID{Borrower: b.name, Serial: b.seq}
	b.asked[id] = asking{subject: n.Subject, sent: now}
	return lacewingramp.Ask{ID: id, Subject: n.Subject, Rate: n.Rate, Tokens: n.Tokens}
}

// Borrow takes a loan into use. One that answers no open Ask, comes twice or
// comes after its term is not used.
func (b *Book) Borrow(now time.Time, lender string, loan lacewingramp.Loan) bool {
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
	k.borrowed = append(k.borrowed, borrowed{id: loan.ID, lender: lender, parcel: loan.Parcel, until: until})
	k.rate += loan.Parcel.Rate
	k.burst += loan.Parcel.Burst
	k.level += loan.Parcel.Level
	k.clamp()
	return true
}

// Giving is a Return with the lender it goes to.
type Giving struct {
	Lender string
	Return lacewingramp.Return
}

// Returns ends the loans that demand no longer asks for and lists what to
// send back. After it the loan is not used, whether or not it arrives.
func (b *Book) Returns(now time.Time) []Giving {
	var all []Giving
	for s, k := range b.buckets {
		k.accrue(now)
		if len(k.borrowed) == 0 || k.waiting > 0 || !k.idle() {
			continue
		}
		l := k.borrowed[0]
		k.borrowed = append(k.borrowed[:0], k.borrowed[1:]...)
		back := math.Min(k.level, l.parcel.Burst.Of(k.limit.Burst))
		k.level -= back
		k.rate -= l.parcel.Rate
		k.burst -= l.parcel.Burst
		k.clamp()
		all = append(all, Giving{
			Lender: l.lender,
			Return: lacewingramp.Return{ID: l.id, Subject: s, Level: back},
		})
	}
	return all
}

// idle reports whether demand stays well under the rate that is here without
// the oldest loan.
func (k *bucket) idle() bool {
	left := k.own.Rate + k.rate - k.borrowed[0].parcel.Rate
	return k.demand < returnBelow*left.Of(k.limit.Rate) || (k.demand*askAhead.Seconds() < 1 && k.demand < 1)
}
