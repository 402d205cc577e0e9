package edge

import (
	"cmp"
	"slices"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

// maxFollowers is the maximum number of instances of the same region that follow one
// instance. Each follower is sent every change in full.
const maxFollowers = 6

// peerToFollow returns the address of the peer that self follows, or "" if self
// watches the store. candidates are the instances that can reach the store.
//
// The candidates of a region form a tree in which those with more capacity are closer to
// the root, as the others have slow links. Two roots of different regions watch the
// store, or two instances if there is only one region. The roots of the other regions
// follow the first of those two.
//
// An instance only follows one that comes before it in an order that is the same for all
// instances. That excludes cycles, even if they know of different candidates. An instance
// that cannot reach the store keeps its place in this order, as its followers may not know
// yet. If it is one of the two that others expect to watch the store, it follows the other.
// If no instance of its region can reach the store, it follows any other candidate.
func peerToFollow(self lacewingramp.Endpoint, candidates []lacewingramp.Endpoint, regions map[string]string) string {
	if len(candidates) == 0 {
		return ""
	}
	reaching := candidates
	lost := !slices.ContainsFunc(candidates, func(p lacewingramp.Endpoint) bool { return p.Name == self.Name })
	if lost {
		candidates = append(slices.Clone(candidates), self)
	}
	ranked := rankForFollowing(candidates)
	watchers := watchersOf(ranked, regions)
	if i := slices.IndexFunc(watchers, func(p lacewingramp.Endpoint) bool { return p.Name == self.Name }); i >= 0 {
		if lost {
			return watchers[1-i].Peer
		}
		return ""
	}
	region := slices.DeleteFunc(ranked, func(p lacewingramp.Endpoint) bool { return regions[p.Domain] != regions[self.Domain] })
	position := slices.IndexFunc(region, func(p lacewingramp.Endpoint) bool { return p.Name == self.Name })
	switch {
	case lost && len(region) == 1:
		return anyOf(reaching, self.Name).Peer
	case position == 0:
		return watchers[0].Peer
	default:
		return region[(position-1)/maxFollowers].Peer
	}
}

// anyOf returns one of the candidates, another one for different names.
func anyOf(candidates []lacewingramp.Endpoint, name string) lacewingramp.Endpoint {
	names := lacewingramp.EndpointNames(candidates)
	return candidates[slices.Index(names, rendezvous.Owner(name, names))]
}

// watchersOf returns the instances that watch the store: the first one, and the first of
// another region, or the second one if there is only one region.
func watchersOf(ranked []lacewingramp.Endpoint, regions map[string]string) []lacewingramp.Endpoint {
	if len(ranked) == 1 {
		return ranked[:1:1]
	}
	second := slices.IndexFunc(ranked, func(p lacewingramp.Endpoint) bool { return regions[p.Domain] != regions[ranked[0].Domain] })
	return []lacewingramp.Endpoint{ranked[0], ranked[max(1, second)]}
}

// watcherKey is the hash key by which all instances agree on who watches the store.
// It has to be the same in all versions of the program that run together.
const watcherKey = "watch the store"

// rankForFollowing returns the candidates with the largest capacity first, and in the
// order of watcherKey where capacities are equal.
func rankForFollowing(candidates []lacewingramp.Endpoint) []lacewingramp.Endpoint {
	byName := make(map[string]lacewingramp.Endpoint, len(candidates))
	for _, p := range candidates {
		byName[p.Name] = p
	}
	ranked := make([]lacewingramp.Endpoint, 0, len(candidates))
	for _, name := range rendezvous.Order(watcherKey, lacewingramp.EndpointNames(candidates)) {
		ranked = append(ranked, byName[name])
	}
	slices.SortStableFunc(ranked, func(a, b lacewingramp.Endpoint) int { return cmp.Compare(b.Capacity, a.Capacity) })
	return ranked
}
