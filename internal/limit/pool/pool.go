// Package pool manages the pooled fraction of customers' limits: the tokens that
// are not divided among the instances. In a large fleet each instance's own
// share is small. Without a pool, an instance that has used its tokens would refuse
// requests although other instances have unused tokens.
//
// Each customer's pool is kept by one instance, its keeper, which is found by
// rendezvous hashing over the instances that the store lists, as far as the
// requesting instance knows them. Two instances may hand out tokens of the same
// pool while a change of that list propagates, or while a part of the fleet has
// been cut off from the store for longer than a lease. A pool starts empty at a
// new keeper.
//
// # Usage
//
//	k := &pool.Keeper{Self: name}
//	k.Configure(now, limits)
//	k.SetInstances(now, names)
//	if k.KeeperOf(customer) == k.Self {
//		wait, ok := k.TakeToken(now, customer)
//	}
//
// A Keeper is not safe for use by more than one goroutine.
package pool

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/bucket"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

// halfPooledInstances is the number of instances at which half of every limit is
// in its pool. The pooled fraction grows with the number of instances: the share of
// each gets smaller and less useful, while a token request to the keeper costs the same.
const halfPooledInstances = 60

// Fraction returns the fraction of every limit that is in its pool.
func Fraction(instances int) float64 {
	return float64(instances) / float64(instances+halfPooledInstances)
}

// rendezvousPrefix precedes a customer's name in the rendezvous key that selects the
// keeper of its pool.
const rendezvousPrefix = "pool "

// Keeper keeps the pools that are assigned to one instance, as the buckets in kept.
// Its zero value keeps none.
type Keeper struct {
	// Self is the name of this instance.
	Self string

	limits    map[string]lacewingramp.Limit
	instances []string
	// keepers maps each customer to the instance that keeps its pool.
	keepers map[string]string
	kept    map[string]*bucket.Bucket
	// pooledFraction is the fraction of every limit that is in its pool.
	pooledFraction float64
}

// Configure puts limits into force.
func (k *Keeper) Configure(now time.Time, limits map[string]lacewingramp.Limit) {
	k.limits = limits
	k.reassign(now)
}

// SetInstances sets the instances that the store lists.
func (k *Keeper) SetInstances(now time.Time, names []string) {
	k.instances, k.pooledFraction = names, Fraction(len(names))
	k.reassign(now)
}

// reassign recomputes the keepers. It creates the pools that this instance keeps
// from now on and drops those that it no longer keeps. A pool that it goes on
// keeping is first filled at its old rate.
func (k *Keeper) reassign(now time.Time) {
	kept := make(map[string]*bucket.Bucket)
	k.keepers = make(map[string]string, len(k.limits))
	for name, l := range k.limits {
		k.keepers[name] = rendezvous.Owner(rendezvousPrefix+name, k.instances)
		if k.keepers[name] != k.Self {
			continue
		}
		b, ok := k.kept[name]
		if !ok {
			b = &bucket.Bucket{FilledAt: now}
		}
		b.Fill(now)
		b.Rate, b.Capacity = l.Rate*k.pooledFraction, math.Max(1, l.Burst*k.pooledFraction)
		kept[name] = b
	}
	k.kept = kept
}

// KeeperOf returns the name of the instance that keeps a customer's pool. It is
// empty if the store lists no instance or the customer has no limit.
func (k *Keeper) KeeperOf(customer string) string {
	return k.keepers[customer]
}

// TakeToken takes one token from a customer's pool. If the pool has none, it returns
// the time until it has one, or 0 if this instance does not keep the pool.
func (k *Keeper) TakeToken(now time.Time, customer string) (wait time.Duration, ok bool) {
	b, kept := k.kept[customer]
	if !kept {
		return 0, false
	}
	b.Fill(now)
	if b.Take(0) {
		return 0, true
	}
	return b.Wait(), false
}
