// Package lookup selects the instances that a lookup returns.
//
// Callers spread evenly over the instances that a lookup returns. A few large
// instances serve them better than many small ones: their connections to targets
// stay open from one request to the next, and their shares of customers' limits
// are larger. Lookups therefore return the largest instances, as many as can
// handle the requests of the region with capacity to spare for the loss of some
// and for a burst.
//
// # Usage
//
//	picked := lookup.Pick(serving, rate) // periodically
//	response := lookup.Sample(picked)    // for every lookup
package lookup

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

const (
	// MinPicked is the minimum number of instances that are picked, if there are as
	// many: the loss of one affects at most a quarter of the callers' connections.
	MinPicked = 4
	// MaxResponseSize is the maximum number of instances in one response.
	MaxResponseSize = 16
	// minCapacityRatio is the minimum ratio of the capacity of the picked instances
	// to the request rate of their region.
	minCapacityRatio = 2.0
)

// Pick returns the instances of a region that lookups should return, the
// largest first, given all its instances and its request rate per second.
func Pick(all []lacewingramp.Endpoint, rate float64) []lacewingramp.Endpoint {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b lacewingramp.Endpoint) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(nameHash(a), nameHash(b)), cmp.Compare(a.Name, b.Name))
	})
	return all[:sufficientCount(all, rate)]
}

// Sample returns the instances for one response: all that were picked, or a random
// sample of MaxResponseSize if there are more.
func Sample[T any](picked []T) []T {
	if len(picked) <= MaxResponseSize {
		return picked
	}
	sample := make([]T, 0, MaxResponseSize)
	for _, i := range rand.Perm(len(picked))[:MaxResponseSize] {
		sample = append(sample, picked[i])
	}
	return sample
}

// nameHash returns the key that orders instances of equal capacity, so that those of
// one failure domain are not adjacent.
func nameHash(e lacewingramp.Endpoint) uint64 {
	return xxhash.Sum64String(e.Name)
}

// sufficientCount returns how many instances, from the first on, are enough to handle
// a rate that is spread evenly over them, with minCapacityRatio to spare. It assumes
// that all is sorted by capacity, the largest first.
func sufficientCount(all []lacewingramp.Endpoint, rate float64) int {
	for n := min(MinPicked, len(all)); n < len(all); n++ {
		if float64(all[n-1].Capacity)*float64(n) >= minCapacityRatio*rate {
			return n
		}
	}
	return len(all)
}
