package placement

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

const (
	// minRegionWeight is the minimum weight of a region. It is above 0, so that the targets
	// of a region that is reserved as a whole are still ranked.
	minRegionWeight = 1.0 / 64
	// reservationPeriod is the time between two steps of a reservation, and
	// maxReservationStep the maximum fraction of the objects of a region's callers that one
	// step moves into or out of the region. A table that changes a customer's rate must not
	// move many objects at once, as each is unknown to its new target.
	reservationPeriod  = time.Second
	maxReservationStep = 0.03
	// reservationStart is how long a reservation changes without a limit, until an instance
	// that has just started knows all targets.
	reservationStart = 2 * time.Second
)

// reservation is how much of each region is left for the objects of a service that may run in
// any region: the weight by which the scores of the region's targets are multiplied. A region
// without a weight has weight 1.
type reservation struct {
	startedAt time.Time
	steppedAt time.Time
	weights   map[string]float64
}

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

// regionWeights returns the weights of the regions for a service.
func (p *Placer) regionWeights(now time.Time, service string) map[string]float64 {
	r, ok := p.reservations[service]
	if !ok {
		r = &reservation{startedAt: now}
		if p.reservations == nil {
			p.reservations = make(map[string]*reservation)
		}
		p.reservations[service] = r
	}
	if !ok || now.Sub(r.steppedAt) >= reservationPeriod {
		p.stepReservation(now, r, service)
	}
	return r.weights
}

// stepReservation moves a reservation towards what the table and the registrations ask for.
func (p *Placer) stepReservation(now time.Time, r *reservation, service string) {
	slots, total := p.slotsByRegion(service)
	weights := make(map[string]float64)
	for region, own := range slots {
		fraction, bound := p.boundFractions[region]
		previous, known := r.weights[region]
		if !bound && !known {
			continue
		}
		wanted := max(minRegionWeight, 1-fraction*total/own)
		if known && now.Sub(r.startedAt) > reservationStart {
			wanted = limitedWeight(previous, wanted, homeWeight*own, total-own)
		}
		weights[region] = wanted
	}
	r.steppedAt, r.weights = now, weights
}

// limitedWeight returns the weight nearest to the wanted one that moves no more than
// maxReservationStep of the objects of a region's callers. own and others are the slots in the
// region and in all others, as they count for these callers.
func limitedWeight(previous, wanted, own, others float64) float64 {
	if others <= 0 {
		return wanted
	}
	share := func(weight float64) float64 { return own * weight / (own*weight + others) }
	at := share(previous)
	to := min(max(share(wanted), at-maxReservationStep), at+maxReservationStep)
	to = min(max(to, 0), share(1))
	return max(minRegionWeight, to*others/(own*(1-to)))
}

// slotsByRegion returns the slots of a service's targets that may be used, by region and in
// all.
func (p *Placer) slotsByRegion(service string) (slots map[string]float64, total float64) {
	slots = make(map[string]float64)
	for _, t := range p.services[service] {
		if p.leaving(t) || p.evacuated[t.Domain] {
			continue
		}
		n := float64(max(1, t.Slots))
		slots[t.region] += n
		total += n
	}
	return slots, total
}
