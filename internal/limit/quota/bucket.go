package quota

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Demand is averaged over the time in which about demandSamples requests arrive, but at
// least minDemandWindow and at most maxDemandWindow.
const (
	demandSamples   = 12
	minDemandWindow = 200 * time.Millisecond
	maxDemandWindow = 2 * time.Second
)

// bucket is the quota that an instance has of one limit. Its own allocation and the borrowed
// ones share one level of tokens.
//
// debt is quota that the instance no longer owns but that is still lent to other instances;
// it is deducted from the loans when they end. borrowedRate and borrowedBurst are the sums
// over the borrowed loans. offered is the number of tokens requested since demandUpdated, and
// waiting the number of queued requests.
//
// The last three fields are used only for limits that are too small to be divided:
// lastRequest is when another instance last requested a loan, reportedDemands the demand
// that instances sent with their requests, and peerSpares the last reports of the other
// instances, both by instance name.
type bucket struct {
	limit           lacewingramp.Limit
	own             lacewingramp.Allocation
	debt            lacewingramp.Allocation
	level           float64
	accruedAt       time.Time
	lent            []lent
	borrowed        []borrowed
	borrowedRate    lacewingramp.LimitFraction
	borrowedBurst   lacewingramp.LimitFraction
	offered         float64
	demand          float64
	demandUpdated   time.Time
	waiting         int
	lastRequest     time.Time
	reportedDemands map[string]reportedDemand
	peerSpares      map[string]lacewingramp.SpareQuota
}

// reportedDemand is the demand for a small limit that another instance sent with its last
// request for a loan.
type reportedDemand struct {
	demand     float64
	waiting    int
	receivedAt time.Time
}

// reportedDemandTTL is how long a reportedDemand is used.
const reportedDemandTTL = time.Second

// totalDemand returns the demand and the number of queued requests, including those of the
// instances for which this one collects the limit.
func (k *bucket) totalDemand(now time.Time) (demand float64, waiting int) {
	demand, waiting = k.demand, k.waiting
	for n, w := range k.reportedDemands {
		if now.Sub(w.receivedAt) > reportedDemandTTL {
			delete(k.reportedDemands, n)
			continue
		}
		demand += w.demand
		waiting += w.waiting
	}
	return demand, waiting
}

// lent is a loan that the instance has made, or the part of it that came from one source.
type lent struct {
	id         lacewingramp.LoanID
	allocation lacewingramp.Allocation
	until      time.Time
	// fixedTerm is set on a loan that must not be extended, because a part of it was
	// handed over with a shard or because it was made of other loans.
	fixedTerm bool
	// source is the borrowed loan that the allocation was taken out of, or the zero value
	// if it was taken out of the instance's own quota.
	source lacewingramp.LoanID
}

// borrowed is a loan that the instance has received. all is set if the lender lent
// everything that it had.
type borrowed struct {
	id         lacewingramp.LoanID
	lender     string
	allocation lacewingramp.Allocation
	until      time.Time
	all        bool
}

func (k *bucket) tokensPerSecond() float64 {
	return (k.own.Rate + k.borrowedRate).Of(k.limit.Rate)
}

func (k *bucket) capacity() float64 {
	return (k.own.Burst + k.borrowedBurst).Of(k.limit.Burst)
}

// accrue updates the level to now and removes the borrowed loans that have expired.
func (k *bucket) accrue(now time.Time) {
	if len(k.borrowed) > 0 {
		k.expireBorrowed(now)
	}
	k.addTokens(now)
}

func (k *bucket) addTokens(now time.Time) {
	d := now.Sub(k.accruedAt)
	if d <= 0 {
		return
	}
	k.accruedAt = now
	k.level = math.Min(k.level+k.tokensPerSecond()*d.Seconds(), k.capacity())
}

func (k *bucket) clamp() {
	k.level = math.Max(0, math.Min(k.level, k.capacity()))
}

// expireBorrowed removes the borrowed loans that have expired. Each adds tokens at its rate
// up to the end of its own term.
func (k *bucket) expireBorrowed(now time.Time) {
	kept := k.borrowed[:0]
	for _, l := range k.borrowed {
		if now.Before(l.until) {
			kept = append(kept, l)
			continue
		}
		k.addTokens(l.until)
		k.borrowedRate -= l.allocation.Rate
		k.borrowedBurst -= l.allocation.Burst
		k.clamp()
	}
	k.borrowed = kept
}

// expireLoans takes expired loans back from borrowers and removes expired borrowed loans.
func (k *bucket) expireLoans(now time.Time) {
	k.accrue(now)
	if len(k.lent) == 0 {
		return
	}
	var expired []lent
	kept := k.lent[:0]
	for _, l := range k.lent {
		if now.Before(l.until) {
			kept = append(kept, l)
			continue
		}
		expired = append(expired, l)
	}
	k.lent = kept
	for _, l := range expired {
		k.restoreAllocation(l, 0)
	}
}

// addOwn adds an allocation to the instance's own quota, after deducting the debt.
func (k *bucket) addOwn(p lacewingramp.Allocation) {
	rate := min(p.Rate, k.debt.Rate)
	burst := min(p.Burst, k.debt.Burst)
	k.debt.Rate -= rate
	k.debt.Burst -= burst
	k.own.Rate += p.Rate - rate
	k.own.Burst += p.Burst - burst
	k.level += p.Balance
	k.clamp()
}

func (k *bucket) addShare(u lacewingramp.LimitFraction) {
	k.addOwn(lacewingramp.Allocation{Rate: u, Burst: u})
}

// removeShare reduces the instance's own quota. If it is too small, the rest becomes debt,
// which is deducted from the loans when they end.
func (k *bucket) removeShare(rate, burst lacewingramp.LimitFraction) {
	r := min(rate, k.own.Rate)
	b := min(burst, k.own.Burst)
	k.own.Rate -= r
	k.own.Burst -= b
	k.debt.Rate += rate - r
	k.debt.Burst += burst - b
	k.clamp()
}

// splitAllocation removes an allocation from the instance's own quota. It contains the
// requested tokens, but no more than are available and fit into its burst.
func (k *bucket) splitAllocation(rate, burst lacewingramp.LimitFraction, tokens float64) lacewingramp.Allocation {
	p := lacewingramp.Allocation{Rate: rate, Burst: burst}
	p.Balance = math.Max(0, math.Min(tokens, math.Min(k.level, burst.Of(k.limit.Burst))))
	k.own.Rate -= rate
	k.own.Burst -= burst
	k.level -= p.Balance
	k.clamp()
	return p
}

// demandWindow returns the time in seconds over which a demand is averaged.
func demandWindow(demand float64) float64 {
	window := demandSamples / math.Max(1, demand)
	return math.Min(maxDemandWindow.Seconds(), math.Max(minDemandWindow.Seconds(), window))
}

// updateDemand adds the tokens requested since the last call to the moving average of the
// demand.
func (k *bucket) updateDemand(now time.Time) {
	d := now.Sub(k.demandUpdated)
	if k.demandUpdated.IsZero() || d <= 0 {
		k.demandUpdated = now
		return
	}
	current := k.offered / d.Seconds()
	window := demandWindow(math.Max(k.demand, current))
	k.demand += (1 - math.Exp(-d.Seconds()/window)) * (current - k.demand)
	k.offered = 0
	k.demandUpdated = now
}
