package quota

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Demand is averaged over the time in which about demandSamples requests
// come, within these bounds.
const (
	demandSamples = 12
	demandFastest = 200 * time.Millisecond
	demandSlowest = 2 * time.Second
)

// bucket is all that an instance has of one limit: its own parcels and the
// borrowed ones, joined into one level.
type bucket struct {
	limit    lacewingramp.Limit
	own      lacewingramp.Parcel
	owed     lacewingramp.Parcel
	level    float64
	at       time.Time
	lent     []lent
	borrowed []borrowed
	rate     lacewingramp.LimitFraction
	burst    lacewingramp.LimitFraction
	offered  float64
	demand   float64
	measured time.Time
	waiting  int
	asked    time.Time
	wants    map[string]want
	rivals   map[string]lacewingramp.Spare
}

// want is what a sibling has last said that it needs of a small limit.
type want struct {
	demand  float64
	waiting int
	at      time.Time
}

// wantTime is how long a sibling's word on its need counts.
const wantTime = time.Second

// total is the demand and the waiting requests of the instance and of the
// siblings for whom it gathers the limit.
func (k *bucket) total(now time.Time) (demand float64, waiting int) {
	demand, waiting = k.demand, k.waiting
	for n, w := range k.wants {
		if now.Sub(w.at) > wantTime {
			delete(k.wants, n)
			continue
		}
		demand += w.demand
		waiting += w.waiting
	}
	return demand, waiting
}

type lent struct {
	id     lacewingramp.LoanID
	parcel lacewingramp.Parcel
	until  time.Time
	// parted is set on a loan that is not to be extended: a part of it has
	// gone with a shard, or it is made of other loans.
	parted bool
	// source is the borrowed loan that the parcel was taken out of, zero
	// where it is the instance's own.
	source lacewingramp.LoanID
}

type borrowed struct {
	id     lacewingramp.LoanID
	lender string
	parcel lacewingramp.Parcel
	until  time.Time
	all    bool
}

func (k *bucket) perSecond() float64 {
	return (k.own.Rate + k.rate).Of(k.limit.Rate)
}

func (k *bucket) capacity() float64 {
	return (k.own.Burst + k.burst).Of(k.limit.Burst)
}

// accrue brings the level up to now.
func (k *bucket) accrue(now time.Time) {
	if len(k.borrowed) > 0 {
		k.expireBorrowed(now)
	}
	k.flow(now)
}

func (k *bucket) flow(now time.Time) {
	d := now.Sub(k.at)
	if d <= 0 {
		return
	}
	k.at = now
	k.level = math.Min(k.level+k.perSecond()*d.Seconds(), k.capacity())
}

func (k *bucket) clamp() {
	k.level = math.Max(0, math.Min(k.level, k.capacity()))
}

// expireBorrowed ends the loans whose term has passed, each at its own time.
func (k *bucket) expireBorrowed(now time.Time) {
	kept := k.borrowed[:0]
	for _, l := range k.borrowed {
		if now.Before(l.until) {
			kept = append(kept, l)
			continue
		}
		k.flow(l.until)
		k.rate -= l.parcel.Rate
		k.burst -= l.parcel.Burst
		k.clamp()
	}
	k.borrowed = kept
}

// expire takes back the loans that are over, and ends the borrowed ones.
func (k *bucket) expire(now time.Time) {
	k.accrue(now)
	if len(k.lent) == 0 {
		return
	}
	var over []lent
	kept := k.lent[:0]
	for _, l := range k.lent {
		if now.Before(l.until) {
			kept = append(kept, l)
			continue
		}
		over = append(over, l)
	}
	k.lent = kept
	for _, l := range over {
		k.reattach(l, 0)
	}
}

// rejoin adds a parcel to what the instance owns, less what it owes.
func (k *bucket) rejoin(p lacewingramp.Parcel) {
	rate := min(p.Rate, k.owed.Rate)
	burst := min(p.Burst, k.owed.Burst)
	k.owed.Rate -= rate
	k.owed.Burst -= burst
	k.own.Rate += p.Rate - rate
	k.own.Burst += p.Burst - burst
	k.level += p.Level
	k.clamp()
}

func (k *bucket) gain(u lacewingramp.LimitFraction) {
	k.rejoin(lacewingramp.Parcel{Rate: u, Burst: u})
}

// lose gives up units, from loans as they come back where the instance's own
// do not suffice.
func (k *bucket) lose(rate, burst lacewingramp.LimitFraction) {
	r := min(rate, k.own.Rate)
	b := min(burst, k.own.Burst)
	k.own.Rate -= r
	k.own.Burst -= b
	k.owed.Rate += rate - r
	k.owed.Burst += burst - b
	k.clamp()
}

// split takes a parcel off the instance's own part, with as much of the level
// as asked for and no more than the parcel can hold.
func (k *bucket) split(rate, burst lacewingramp.LimitFraction, tokens float64) lacewingramp.Parcel {
	p := lacewingramp.Parcel{Rate: rate, Burst: burst}
	p.Level = math.Max(0, math.Min(tokens, math.Min(k.level, burst.Of(k.limit.Burst))))
	k.own.Rate -= rate
	k.own.Burst -= burst
	k.level -= p.Level
	k.clamp()
	return p
}

// averageTime is the time in seconds over which a demand is averaged.
func averageTime(demand float64) float64 {
	over := demandSamples / math.Max(1, demand)
	return math.Min(demandSlowest.Seconds(), math.Max(demandFastest.Seconds(), over))
}

// measure folds what was offered since the last call into the demand.
func (k *bucket) measure(now time.Time) {
	d := now.Sub(k.measured)
	if k.measured.IsZero() || d <= 0 {
		k.measured = now
		return
	}
	current := k.offered / d.Seconds()
	over := averageTime(math.Max(k.demand, current))
	k.demand += (1 - math.Exp(-d.Seconds()/over)) * (current - k.demand)
	k.offered = 0
	k.measured = now
}
