package placement

import (
	"math/rand/v2"
	"time"

	"lacewingramp.example/lacewingramp"
)

// The groups of targets that Spread takes from in turn.
const (
	ownDomain = iota
	ownRegion
	otherRegions
	spreadGroups
)

// Spread returns up to maxCount targets that may be sent requests: in turn one of a failure
// domain, one of the others in the instance's region and one of other regions, as long as
// there are any, each time at random and of a domain that has none among them yet. Whatever
// part of the network an instance is separated from, it can reach some of them.
func (p *Placer) Spread(now time.Time, domain string, maxCount int) (spread []lacewingramp.Target) {
	groups := p.spreadGroups(now, domain)
	for taken := range maxCount {
		for _, g := range groups {
			if taken < len(g) {
				spread = append(spread, g[taken])
			}
		}
	}
	return spread[:min(maxCount, len(spread))]
}

// spreadGroups returns the targets that may be sent requests in the groups that Spread takes
// from, each in the order to take them.
func (p *Placer) spreadGroups(now time.Time, domain string) (groups [spreadGroups][]lacewingramp.Target) {
	names := p.Names()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, n := range names {
		t := p.targets[n]
		group := otherRegions
		switch {
		case !p.MayServe(now, &t.Target):
			continue
		case t.Domain == domain:
			group = ownDomain
		case t.region == p.HomeRegion:
			group = ownRegion
		}
		groups[group] = append(groups[group], t.Target)
	}
	for i, g := range groups {
		groups[i] = distinctDomainsFirst(g)
	}
	return groups
}

// distinctDomainsFirst returns targets with the first one of each failure domain before all
// others.
func distinctDomainsFirst(targets []lacewingramp.Target) []lacewingramp.Target {
	domains := make(map[string]bool)
	var first, others []lacewingramp.Target
	for _, t := range targets {
		if domains[t.Domain] {
			others = append(others, t)
			continue
		}
		domains[t.Domain] = true
		first = append(first, t)
	}
	return append(first, others...)
}
