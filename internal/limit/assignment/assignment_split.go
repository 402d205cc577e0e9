package assignment

import (
	"sort"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// Split divides the limits among the failure domains in proportion to their weights. It
// returns the shares by domain. It is a pure function of the Table, so that instances
// compute the same shares without coordination. The shares of customers' limits add up to
// at most lacewingramp.WholeLimit over all domains, and the shares of caps over the domains
// of each region.
func Split(t *lacewingramp.Table) map[string]quota.DomainShares {
	domains := append([]lacewingramp.Domain(nil), t.Domains...)
	sort.Slice(domains, func(i, j int) bool { return domains[i].Name < domains[j].Name })
	var total float64
	regionTotal := make(map[string]float64)
	for _, d := range domains {
		total += d.Weight
		regionTotal[d.Region] += d.Weight
	}
	shares := make(map[string]quota.DomainShares, len(domains))
	for _, d := range domains {
		shares[d.Name] = quota.DomainShares{
			Customers: fractionOf(d.Weight, total),
			Caps:      fractionOf(d.Weight, regionTotal[d.Region]),
			Region:    d.Region,
		}
	}
	return shares
}

// splitScale is the denominator of the fractions, which are rounded down so that their
// sum is at most lacewingramp.WholeLimit.
const splitScale = 1 << 20

func fractionOf(weight, total float64) lacewingramp.LimitFraction {
	if total <= 0 {
		return 0
	}
	return lacewingramp.LimitFraction(weight/total*splitScale) * (lacewingramp.WholeLimit / splitScale)
}

// MinShares returns the shares that a domain may use immediately after the weights have
// changed: the minimum of its shares in the old and the new split.
func MinShares(old, next quota.DomainShares) quota.DomainShares {
	if old.Region != next.Region {
		return quota.DomainShares{Customers: min(old.Customers, next.Customers), Region: next.Region}
	}
	return quota.DomainShares{
		Customers: min(old.Customers, next.Customers),
		Caps:      min(old.Caps, next.Caps),
		Region:    next.Region,
	}
}

// MayGrow reports whether a domain may use its complete shares of the split at revision.
// This requires that the key of every other domain is at exactly this split, so that
// no domain uses more than its shares of it. A domain whose key is at a later split may
// have skipped this one and use more, and a domain whose key is at an earlier split
// uses its old shares. In both cases the domain must wait.
func MayGrow(revision int64, domain string, assignments []Assignment) bool {
	for _, a := range assignments {
		if a.Domain != domain && a.Split != revision {
			return false
		}
	}
	return true
}
