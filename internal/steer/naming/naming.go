// Package naming picks the instances that a look-up names.
//
// Callers spread evenly over what a look-up names. Few large instances serve
// them better than many small ones: their connections to targets stay open from
// one request to the next, and their parts of customers' limits are larger. So
// the largest are named, as many as can carry what the region is asked with
// enough to spare for the loss of some and for a burst.
//
// # Usage
//
//	picked := naming.Pick(serving, rate) // now and then
//	answer := naming.Some(picked)        // for every look-up
package naming

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

const (
	// Least is how many instances are named at least, if there are as many: the
	// loss of one takes no more than a quarter of the callers' connections.
	Least = 4
	// Most is how many are named in one answer.
	Most = 16
	// spare is how many times what it is asked a region's named instances can
	// carry.
	spare = 2.0
)

// Pick returns the instances to name, out of those of a region that is asked
// for rate requests a second, the largest first.
func Pick(all []lacewingramp.Endpoint, rate float64) []lacewingramp.Endpoint {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b lacewingramp.Endpoint) int {
		return cmp.Or(cmp.Compare(b.Room, a.Room), cmp.Compare(hash(a), hash(b)), cmp.Compare(a.Name, b.Name))
	})
	return all[:enough(all, rate)]
}

// Some returns what one answer names of what was picked: all, or where an answer
// does not hold as many, some of them at random.
func Some[T any](picked []T) []T {
	if len(picked) <= Most {
		return picked
	}
	some := make([]T, 0, Most)
	for _, i := range rand.Perm(len(picked))[:Most] {
		some = append(some, picked[i])
	}
	return some
}

// hash orders instances of equal size: a failure domain's do not stand together.
func hash(e lacewingramp.Endpoint) uint64 {
	return xxhash.Sum64String(e.Name)
}

// enough returns how many of the first instances can carry a rate that is
// spread evenly over them.
func enough(all []lacewingramp.Endpoint, rate float64) int {
	for n := min(Least, len(all)); n < len(all); n++ {
		if float64(all[n-1].Room)*float64(n) >= spare*rate {
			return n
		}
	}
	return len(all)
}
