package placement

import "lacewingramp.example/lacewingramp"

// minReservedWeight is the minimum weight that a reservation leaves a region. It is above 0, so that
// the targets of a region that is reserved as a whole are still ranked.
const minReservedWeight = 1.0 / 64

// SetCustomers sets the customers of the table in force. Some are bound to regions. Slots are
// reserved for them there: the objects of all others are kept out of a region by as much as the
// bound customers need of it. Instances agree on that without messages, as it depends only on
// the table and the registrations.
func (p *Placer) SetCustomers(customers []lacewingramp.Customer) {
	p.boundFractions = boundFractions(customers)
}

// boundFractions returns, for each region, the fraction of all requests that are bound to it,
// if every customer sends in proportion to its rate. One without a limit counts as the mean of
// the others, and one that several regions are allowed to counts for each of them in part.
func boundFractions(customers []lacewingramp.Customer) map[string]float64 {
	limits, limited := 0.0, 0
	for _, c := range customers {
		if c.Rate > 0 {
			limits += c.Rate
			limited++
		}
	}
	mean := limits / float64(max(1, limited))
	if limited == 0 {
		mean = 1
	}
	fractions := make(map[string]float64)
	for _, c := range customers {
		rate := c.Rate
		if rate <= 0 {
			rate = mean
		}
		for _, region := range c.Regions {
			fractions[region] += rate / (mean * float64(len(customers)*len(c.Regions)))
		}
	}
	return fractions
}

// reservedWeight returns the weight of a region for the objects that may run in any region: what the
// customers that are bound to the region leave of it.
func (p *Placer) reservedWeight(region string, slots, total float64) float64 {
	return max(minReservedWeight, 1-p.boundFractions[region]*total/slots)
}
