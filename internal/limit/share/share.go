// Package share enforces customers' rate limits over all instances together:
// each instance uses a share of a limit that corresponds to its share of the
// demand.
//
// Instances report their demand to each other with every heartbeat. An instance
// that is no longer heard from keeps the share that it had until it is known to
// be gone, so that the two sides of a partition stay within the limit together.
// Tokens accrue in proportion to the share. A new instance starts with only a small
// fraction of its share's tokens, so that joining the fleet does not create many.
//
// # Usage
//
//	var r share.RateLimiter
//	r.Configure(now, limits)
//	r.RecordPeer(peer, 1, demand)
//	if !r.Take(now, customer) {
//		wait := r.Wait(customer)
//	}
//
// A RateLimiter is not safe for use by more than one goroutine.
package share

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/bucket"
)

const (
	// demandTimeConstant is the time constant of the moving average of demand.
	demandTimeConstant = 3 * time.Second
	// maxBaselineDemand is the demand, in requests a second, that is added for every
	// instance, so that one without demand can serve its first request. Over all
	// instances together it is at most maxBaselineRatio of a limit.
	maxBaselineDemand = 0.3
	maxBaselineRatio  = 0.1
	// initialFillTime sets the initial level of a new bucket: the tokens that accrue
	// in this time.
	initialFillTime = 200 * time.Millisecond
	// maxOverdraftRatio is the maximum ratio of the total demand to the limit at
	// which a bucket may be overdrawn, as other instances have unused tokens then.
	maxOverdraftRatio = 0.8
	// For every instancesPerRound instances, a change of demand is assumed to take
	// one more round of heartbeats to reach all instances.
	instancesPerRound = 20
	// minTwoRoundInstances is the minimum number of instances at which at least two
	// rounds are assumed, as one round may leave out instances of other regions.
	minTwoRoundInstances = 8
	// minCapacity is the minimum capacity of a bucket, so that every instance can
	// admit one request, however small its share.
	minCapacity = 1.0
)

// Demand is the rate of requests that an instance's callers send for each
// customer, in requests a second, whether they are admitted or not.
type Demand map[string]float64

// group is the total demand of size instances.
type group struct {
	demand Demand
	size   int
}

// RateLimiter holds one instance's shares of all limits. Its zero value is ready to
// use.
type RateLimiter struct {
	customers     map[string]*customerLimit
	customerIndex customerIndex
	limits        map[string]lacewingramp.Limit
	// pooledFraction is the fraction of every limit that is in the customers' pools.
	pooledFraction float64
	peers          map[string]group
	maxInstances   int
}

// SetInstanceCount sets the maximum number of instances that may exist. Those that
// have not been heard from are assumed to have the same demand as this one.
func (r *RateLimiter) SetInstanceCount(count int) {
	r.maxInstances = count
}

// SetPooledFraction sets the fraction of every limit that is in the customers' pools
// and thus not divided among the instances.
func (r *RateLimiter) SetPooledFraction(now time.Time, fraction float64) {
	if fraction == r.pooledFraction {
		return
	}
	r.pooledFraction = fraction
	r.Configure(now, r.limits)
}

// customerLimit is one customer's limit at this instance. Its demand is as of
// demandAt.
type customerLimit struct {
	bucket.Bucket
	limit    lacewingramp.Limit
	share    float64
	demand   float64
	demandAt time.Time
	// recentDemand holds the demand at the latest ticks, the newest last.
	recentDemand []float64
}

// Configure puts limits into force. A customer that had a limit before keeps its
// tokens, up to the new capacity.
func (r *RateLimiter) Configure(now time.Time, limits map[string]lacewingramp.Limit) {
	previous := r.customers
	r.customerIndex, r.limits = newCustomerIndex(limits), limits
	r.customers = make(map[string]*customerLimit, len(limits))
	for name, l := range limits {
		l.Rate *= 1 - r.pooledFraction
		l.Burst *= 1 - r.pooledFraction
		c, ok := previous[name]
		if !ok {
			c = &customerLimit{Bucket: bucket.Bucket{FilledAt: now}, limit: l, demandAt: now}
			c.share = r.share(name, c)
			c.Level = math.Min(l.Burst, l.Rate*initialFillTime.Seconds()) * c.share
		}
		c.Fill(now)
		c.limit = l
		c.updateBucket()
		c.Level = math.Min(c.Level, c.Capacity)
		r.customers[name] = c
	}
}

// updateBucket sets the bucket's rate and capacity from the limit and this
// instance's share.
func (c *customerLimit) updateBucket() {
	c.Rate = c.limit.Rate * c.share
	c.Capacity = math.Max(minCapacity, c.limit.Burst*c.share)
}

// currentDemand returns the demand after its decay since demandAt.
func (c *customerLimit) currentDemand(now time.Time) float64 {
	return c.demand * math.Exp(-now.Sub(c.demandAt).Seconds()/demandTimeConstant.Seconds())
}

// Take takes a token for one request of a customer. A customer without a limit
// is always admitted.
func (r *RateLimiter) Take(now time.Time, customer string) bool {
	c, ok := r.customers[customer]
	if !ok {
		return true
	}
	c.demand = c.currentDemand(now) + 1/demandTimeConstant.Seconds()
	c.demandAt = now
	c.Fill(now)
	return c.Take(r.minLevel(now, customer, c))
}

// minLevel returns the level below which a bucket must not fall. An overdraft is
// allowed while the demand at all instances together is clearly below the limit,
// as other instances have unused tokens then.
func (r *RateLimiter) minLevel(now time.Time, customer string, c *customerLimit) float64 {
	total := c.currentDemand(now)
	for _, g := range r.peers {
		total += g.demand[customer]
	}
	if total > maxOverdraftRatio*c.limit.Rate {
		return 0
	}
	return -c.Capacity
}

// Refund returns the token of a request that did not run.
func (r *RateLimiter) Refund(customer string) {
	if c, ok := r.customers[customer]; ok {
		c.Level = math.Min(c.Capacity, c.Level+1)
	}
}

// Wait returns the time until there is a token for the customer.
func (r *RateLimiter) Wait(customer string) time.Duration {
	c, ok := r.customers[customer]
	if !ok {
		return 0
	}
	return c.Wait()
}

// Demand returns this instance's demand for the next heartbeat. It leaves out customers
// whose demand is below the baseline.
func (r *RateLimiter) Demand(now time.Time) Demand {
	all := make(Demand)
	for name, c := range r.customers {
		if d := c.currentDemand(now); d >= r.baselineDemand(c) {
			all[name] = d
		}
	}
	return all
}

// RecordPeer records the demand of another instance, or the total demand of a group
// of size instances under one name.
func (r *RateLimiter) RecordPeer(name string, size int, d Demand) {
	if r.peers == nil {
		r.peers = make(map[string]group)
	}
	r.peers[name] = group{demand: d, size: size}
}

// Sum returns the total demand of this instance and the named others, and the
// number of instances that it covers. Names without recorded demand are skipped.
func (r *RateLimiter) Sum(now time.Time, names []string) (Demand, int) {
	all, size := r.Demand(now), 1
	for _, n := range names {
		g, ok := r.peers[n]
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

// RemovePeer removes a peer that is known to be gone.
func (r *RateLimiter) RemovePeer(peer string) {
	delete(r.peers, peer)
}

// Tick recomputes the shares. A bucket whose share shrinks gives up tokens in
// proportion.
func (r *RateLimiter) Tick(now time.Time) {
	for name, c := range r.customers {
		c.Fill(now)
		old := c.share
		c.recentDemand = append(c.recentDemand, c.currentDemand(now))
		if excess := len(c.recentDemand) - r.rounds(); excess > 0 {
			c.recentDemand = c.recentDemand[excess:]
		}
		c.share = r.shareAt(now, name, c)
		c.updateBucket()
		if c.share < old && c.Level > 0 {
			// An overdraft is not reduced: those tokens have been used.
			c.Level *= c.share / old
		}
	}
}

// rounds returns the number of rounds of heartbeats after which a change of demand
// is assumed to be known to all instances.
func (r *RateLimiter) rounds() int {
	rounds := 1 + r.maxInstances/instancesPerRound
	if r.maxInstances >= minTwoRoundInstances {
		rounds = max(2, rounds)
	}
	return rounds
}

// minRecentDemand returns the minimum demand over the time that a change takes
// to reach all instances. When demand rises everywhere at once, an instance
// knows its own demand before that of the others and would take too large a
// share.
func (c *customerLimit) minRecentDemand(now time.Time) float64 {
	lowest := c.currentDemand(now)
	for _, d := range c.recentDemand {
		lowest = min(lowest, d)
	}
	return lowest
}

func (r *RateLimiter) share(name string, c *customerLimit) float64 {
	return r.shareAt(c.FilledAt, name, c)
}

func (r *RateLimiter) shareAt(now time.Time, name string, c *customerLimit) float64 {
	baselineDemand := r.baselineDemand(c)
	own := c.minRecentDemand(now) + baselineDemand
	sum := own
	unknown := r.maxInstances - 1
	for _, g := range r.peers {
		sum += g.demand[name] + baselineDemand*float64(g.size)
		unknown -= g.size
	}
	if unknown > 0 {
		sum += float64(unknown) * own
	}
	return own / sum
}

// baselineDemand returns the demand that is added for every instance.
func (r *RateLimiter) baselineDemand(c *customerLimit) float64 {
	return math.Min(maxBaselineDemand, maxBaselineRatio*c.limit.Rate/float64(max(1, r.maxInstances)))
}
