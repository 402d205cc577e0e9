// Package share holds customers' rates over all instances together: each
// instance uses the part of a limit that its part of the demand is worth.
//
// Instances tell each other their demand with every heartbeat. An instance
// that is not heard any more keeps the part that it had when it was last heard
// until it is known to be gone, so that two sides of a partition stay within
// the limit together. Tokens grow with the part, they are never made by
// joining: a new instance starts with a small fraction of its part.
//
// # Usage
//
//	var b share.Book
//	b.Configure(now, limits)
//	b.Hear(peer, 1, demand)
//	if !b.Take(now, customer) {
//		wait := b.Wait(customer)
//	}
//
// A Book is not safe for use by more than one goroutine.
package share

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/bucket"
)

const (
	// demandTime is over how long demand is averaged.
	demandTime = 3 * time.Second
	// demandLeast is counted for every instance, in requests a second, so that
	// one without demand can serve the first request, but for all instances
	// together not more than leastPart of a limit.
	demandLeast = 0.3
	leastPart   = 0.1
	// startTime is how much of its rate a new bucket holds.
	startTime = 200 * time.Millisecond
	// calmPart is the part of a limit below which the demand of all instances
	// leaves tokens unused.
	calmPart = 0.8
	// instancesARound is by how many instances the rounds grow by one that news
	// of demand need to reach all.
	instancesARound = 20
	// regionsApart is from how many instances on those of other regions are not
	// all told in one round.
	regionsApart = 8
	// burstLeast lets one request pass wherever there is a limit at all.
	burstLeast = 1.0
)

// Demand is what an instance's callers ask of a customer's limit, in requests
// a second, whether they get it or not.
type Demand map[string]float64

// group is the demand of some instances together.
type group struct {
	demand Demand
	size   int
}

// Book holds one instance's parts of all limits. Its zero value is ready.
type Book struct {
	accounts map[string]*account
	order    order
	limits   map[string]lacewingramp.Limit
	// pooled is the part of every limit that is not divided here.
	pooled    float64
	peers     map[string]group
	instances int
}

// Instances takes in how many instances there may be. Those that have not been
// heard yet are taken to have the demand of this one.
func (b *Book) Instances(n int) {
	b.instances = n
}

// Pool takes in which part of every limit is in the customers' pools, and not
// divided here.
func (b *Book) Pool(now time.Time, part float64) {
	if part == b.pooled {
		return
	}
	b.pooled = part
	b.Configure(now, b.limits)
}

// account is one customer's limit at this instance.
type account struct {
	bucket.Bucket
	limit  lacewingramp.Limit
	part   float64
	demand float64
	seen   time.Time
	// recent is the demand at the last ticks, the newest last.
	recent []float64
}

// Configure takes limits into force. A limit that stays keeps its tokens, as
// far as they fit.
func (b *Book) Configure(now time.Time, limits map[string]lacewingramp.Limit) {
	known := b.accounts
	b.order, b.limits = newOrder(limits), limits
	b.accounts = make(map[string]*account, len(limits))
	for name, l := range limits {
		l.Rate *= 1 - b.pooled
		l.Burst *= 1 - b.pooled
		a, ok := known[name]
		if !ok {
			a = &account{Bucket: bucket.Bucket{FilledAt: now}, limit: l, seen: now}
			a.part = b.part(name, a)
			a.Level = math.Min(l.Burst, l.Rate*startTime.Seconds()) * a.part
		}
		a.Fill(now)
		a.limit = l
		a.size()
		a.Level = math.Min(a.Level, a.Capacity)
		b.accounts[name] = a
	}
}

// size brings the bucket in line with the limit and this instance's part.
func (a *account) size() {
	a.Rate = a.limit.Rate * a.part
	a.Capacity = math.Max(burstLeast, a.limit.Burst*a.part)
}

// wanted returns the account's demand as it has faded by now.
func (a *account) wanted(now time.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.seen).Seconds()/demandTime.Seconds())
}

// Take asks for one request of a customer. A customer without a limit always
// gets it.
func (b *Book) Take(now time.Time, customer string) bool {
	a, ok := b.accounts[customer]
	if !ok {
		return true
	}
	a.demand = a.wanted(now) + 1/demandTime.Seconds()
	a.seen = now
	a.Fill(now)
	return a.Take(b.floor(now, customer, a))
}

// floor is how far a bucket may be overdrawn: while all instances together
// are asked for clearly less than the limit, tokens lie unused at others.
func (b *Book) floor(now time.Time, customer string, a *account) float64 {
	all := a.wanted(now)
	for _, g := range b.peers {
		all += g.demand[customer]
	}
	if all > calmPart*a.limit.Rate {
		return 0
	}
	return -a.Capacity
}

// Refund gives back what was taken for a request that has not run.
func (b *Book) Refund(customer string) {
	if a, ok := b.accounts[customer]; ok {
		a.Level = math.Min(a.Capacity, a.Level+1)
	}
}

// Wait returns how long it takes until there is a token for the customer.
func (b *Book) Wait(customer string) time.Duration {
	a, ok := b.accounts[customer]
	if !ok {
		return 0
	}
	return a.Wait()
}

// Demand returns what this instance's callers ask, for the next heartbeat.
func (b *Book) Demand(now time.Time) Demand {
	all := make(Demand)
	for name, a := range b.accounts {
		if d := a.wanted(now); d >= b.least(a) {
			all[name] = d
		}
	}
	return all
}

// Hear takes in the demand of another instance, or of several together under
// one name.
func (b *Book) Hear(name string, size int, d Demand) {
	if b.peers == nil {
		b.peers = make(map[string]group)
	}
	b.peers[name] = group{demand: d, size: size}
}

// Sum returns the demand of this instance and of some others together, and how
// many they are.
func (b *Book) Sum(now time.Time, names []string) (Demand, int) {
	all, size := b.Demand(now), 1
	for _, n := range names {
		g, ok := b.peers[n]
		if !ok {
			continue
		}
		size += g.size
		for customer, d := range g.demand {
			all[customer] += d
		}
	}
	return all, size
}

// Forget drops an instance that is known to be gone.
func (b *Book) Forget(peer string) {
	delete(b.peers, peer)
}

// Tick works out the parts anew. Tokens change hands with them.
func (b *Book) Tick(now time.Time) {
	for name, a := range b.accounts {
		a.Fill(now)
		old := a.part
		a.recent = append(a.recent, a.wanted(now))
		if over := len(a.recent) - b.rounds(); over > 0 {
			a.recent = a.recent[over:]
		}
		a.part = b.partAt(now, name, a)
		a.size()
		if a.part < old && a.Level > 0 {
			// An overdraft stays: it was used.
			a.Level *= a.part / old
		}
	}
}

// rounds is how many rounds of heartbeats it takes until all instances have
// heard of a change.
func (b *Book) rounds() int {
	rounds := 1 + b.instances/instancesARound
	if b.instances >= regionsApart {
		rounds = max(2, rounds)
	}
	return rounds
}

// settled returns the least demand of the time in which news are under way.
// Where demand rises everywhere at once, an instance knows its own before that
// of the others, and would take too large a part.
func (a *account) settled(now time.Time) float64 {
	least := a.wanted(now)
	for _, d := range a.recent {
		least = min(least, d)
	}
	return least
}

func (b *Book) part(name string, a *account) float64 {
	return b.partAt(a.FilledAt, name, a)
}

func (b *Book) partAt(now time.Time, name string, a *account) float64 {
	least := b.least(a)
	own := a.settled(now) + least
	sum := own
	unheard := b.instances - 1
	for _, g := range b.peers {
		sum += g.demand[name] + least*float64(g.size)
		unheard -= g.size
	}
	if unheard > 0 {
		sum += float64(unheard) * own
	}
	return own / sum
}

// least returns the demand that is counted for every instance.
func (b *Book) least(a *account) float64 {
	return math.Min(demandLeast, leastPart*a.limit.Rate/float64(max(1, b.instances)))
}
