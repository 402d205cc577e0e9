package holding

import (
	"sort"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// Split divides every limit among the failure domains by their weights. It is
// a pure function of the Table, so that no agreement is needed. The parts of
// all domains add up to at most Whole.
func Split(t *lacewingramp.Table) map[string]quota.Part {
	domains := append([]lacewingramp.Domain(nil), t.Domains...)
	sort.Slice(domains, func(i, j int) bool { return domains[i].Name < domains[j].Name })
	var all float64
	region := make(map[string]float64)
	for _, d := range domains {
		all += d.Weight
		region[d.Region] += d.Weight
	}
	parts := make(map[string]quota.Part, len(domains))
	for _, d := range domains {
		parts[d.Name] = quota.Part{
			Customers: part(d.Weight, all),
			Caps:      part(d.Weight, region[d.Region]),
			Region:    d.Region,
		}
	}
	return parts
}

// splitScale keeps the sum of rounded parts under Whole.
const splitScale = 1 << 20

func part(weight, all float64) lacewingramp.LimitFraction {
	if all <= 0 {
		return 0
	}
	return lacewingramp.LimitFraction(weight/all*splitScale) * (lacewingramp.WholeLimit / splitScale)
}

// Shrink returns the part that a domain may use at once when the weights
// change: what the old and the new split both allow.
func Shrink(old, next quota.Part) quota.Part {
	if old.Region != next.Region {
		return quota.Part{Customers: min(old.Customers, next.Customers), Region: next.Region}
	}
	return quota.Part{
		Customers: min(old.Customers, next.Customers),
		Caps:      min(old.Caps, next.Caps),
		Region:    next.Region,
	}
}

// MayGrow reports whether a domain may take its whole part of the split of
// revision: the key of every other domain is at that very split, and so has
// come down to it. A key that is ahead may have skipped this split and kept
// more; one that stays behind keeps its old part. In both cases the others
// wait.
func MayGrow(revision int64, domain string, all []Holding) bool {
	for _, h := range all {
		if h.Domain != domain && h.Split != revision {
			return false
		}
	}
	return true
}
