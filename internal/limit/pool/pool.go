// Package pool keeps the common part of customers' limits: what is left when
// every instance has its own part. In a large fleet those parts are small, and
// a request that comes to the wrong instance would be refused while tokens lie
// unused elsewhere.
//
// Each customer's pool is kept by one instance, by rendezvous hashing over the
// instances that the store lists, as far as the one that asks knows. Two deal out
// of the same pool while news of a listing is on its way, or where a part of the
// fleet has been cut off from the store for longer than a lease. A pool that
// changes hands starts empty.
//
// # Usage
//
//	var k pool.Keeper
//	k.Configure(now, limits)
//	k.Members(now, names)
//	if owner := k.Owner(customer); owner == self {
//		wait, ok := k.Deal(now, customer)
//	}
//
// A Keeper is not safe for use by more than one goroutine.
package pool

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/bucket"
	"lacewingramp.example/lacewingramp/internal/peer/duty"
)

// halfPooled is the number of instances at which half of every limit is in its
// pool: the more there are, the less is worth a part of each, and the way to the
// keeper costs the same.
const halfPooled = 60

// Part is the part of every limit that is in its pool.
func Part(instances int) float64 {
	return float64(instances) / float64(instances+halfPooled)
}

// dutyPrefix stands before a customer in the name of the duty to keep its pool.
const dutyPrefix = "pool "

// Keeper keeps the pools that fall to one instance. Its zero value keeps none.
type Keeper struct {
	// Self is the name of this instance.
	Self string

	limits  map[string]lacewingramp.Limit
	members []string
	// owners names the keeper of each customer's pool.
	owners map[string]string
	kept   map[string]*bucket.Bucket
	// part is the part of every limit that is in its pool.
	part float64
}

// Configure takes limits into force.
func (k *Keeper) Configure(now time.Time, limits map[string]lacewingramp.Limit) {
	k.limits = limits
	k.claim(now)
}

// Members takes in which instances the store lists.
func (k *Keeper) Members(now time.Time, names []string) {
	k.members, k.part = names, Part(len(names))
	k.claim(now)
}

// claim begins the pools that this instance keeps from now on, and drops those
// that it keeps no longer. One that it has kept is filled by its old rate first.
func (k *Keeper) claim(now time.Time) {
	kept := make(map[string]*bucket.Bucket)
	k.owners = make(map[string]string, len(k.limits))
	for name, l := range k.limits {
		k.owners[name] = duty.Owner(dutyPrefix+name, k.members)
		if k.owners[name] != k.Self {
			continue
		}
		b, ok := k.kept[name]
		if !ok {
			b = &bucket.Bucket{FilledAt: now}
		}
		b.Fill(now)
		b.Rate, b.Capacity = l.Rate*k.part, math.Max(1, l.Burst*k.part)
		kept[name] = b
	}
	k.kept = kept
}

// Owner names the instance that keeps a customer's pool, or none where the
// store lists none or the customer has no limit.
func (k *Keeper) Owner(customer string) string {
	return k.owners[customer]
}

// Deal asks for one token of a pool that this instance keeps. Where there is
// none, it returns after what time there will be one.
func (k *Keeper) Deal(now time.Time, customer string) (wait time.Duration, ok bool) {
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
