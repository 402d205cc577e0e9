package placement

import (
	"maps"
	"math"
	"time"
)

// Objects that may run in any region are divided among the regions by weights, by which the scores
// of the regions' targets are multiplied. Each region gets as many of the objects of its own
// callers as its part of all targets allows, relative to its part of all callers: a request to
// another region takes longer, and arrives later. What is left goes to the others. A region that has
// more requests than the others all the same gets fewer objects. All instances of a region need the
// same weights, so these follow from what all of them know without asking: the table, the
// registrations, and from heartbeats the rates of callers and the load of targets.

const (
	// unknownHomeWeight is the weight of the own region if nothing is known of its callers, and
	// maxHomeWeight that of one with targets for all of them.
	unknownHomeWeight = 4.0
	maxHomeWeight     = 24.0
	// A region's part of the targets counts relative to ampleUse divided by the use of all regions, in
	// requests per slot: with few requests everywhere a region runs more of its callers' than its part,
	// with many it needs room for their waves. It counts minRoom to maxRoom times.
	ampleUse = 0.9
	minRoom  = 1 / 1.2
	maxRoom  = 1.25
	// callersTimeConstant is the time constant in which the rates of callers are averaged. Targets
	// remember the objects that they are usually sent, so waves of the load must not move these.
	callersTimeConstant = 2 * time.Minute
	// instancesEvidence is the time for which the parts of the instances count as if they were those
	// of the callers.
	instancesEvidence = 10 * time.Second
	// callersKnownAfter is how long after its start an instance has heard of nearly all others. Until
	// then it knows mostly those of its own region.
	callersKnownAfter = 4 * time.Second
	// minCallersRate is the rate of all callers, in requests per second, from which it counts.
	minCallersRate = 10.0
	// A region with more requests per slot than the others have, by more than useMargin, has a lower
	// weight: minUseWeight times if it has more by useMargin + useRange. Below roomyUse it has room
	// in any case.
	roomyUse     = 0.5
	useMargin    = 0.3
	useRange     = 0.6
	minUseWeight = 1.0 / 24
	// useTimeConstant is the time constant in which the use of a region is averaged, and
	// totalUseTimeConstant that for all regions together.
	useTimeConstant      = 3 * time.Second
	totalUseTimeConstant = 10 * time.Second
	// maxUseAge is the age from which a target's report does not count, and minUseKnown the
	// fraction of a region's slots for which there must be reports.
	maxUseAge   = 3 * time.Second
	minUseKnown = 0.5
	// divisionPeriod is the time between two steps of a division, and maxDivisionStep the maximum
	// fraction of the objects of a region's callers that one step moves to other regions: each is
	// unknown to its new target. A step below minDivisionStep is left out.
	divisionPeriod  = time.Second
	maxDivisionStep = 0.02
	minDivisionStep = 0.003
	// divisionStart is how long a division changes without a limit, until an instance that has just
	// started knows all targets. The use of regions is not known until then.
	divisionStart = 2 * time.Second
)

// division is how the objects of a service that may run in any region are divided among the
// regions, for the callers of the own region: the weight of each region, and its use, in requests
// per slot, as far as that is known. home is the part of the own region's weight that follows from
// targets and callers, and totalUse the use of all regions together, 0 if it is not known.
type division struct {
	startedAt time.Time
	steppedAt time.Time
	home      float64
	totalUse  float64
	weights   map[string]float64
	use       map[string]float64
}

// regionWeights returns the weights of the regions for a service.
func (p *Placer) regionWeights(now time.Time, service string) map[string]float64 {
	d, ok := p.divisions[service]
	if !ok {
		d = &division{startedAt: now}
		if p.divisions == nil {
			p.divisions = make(map[string]*division)
		}
		p.divisions[service] = d
	}
	if !ok || now.Sub(d.steppedAt) >= divisionPeriod {
		p.stepDivision(now, d, service)
	}
	return d.weights
}

// stepDivision moves a division towards what the table, the registrations and the use of the
// regions ask for.
func (p *Placer) stepDivision(now time.Time, d *division, service string) {
	slots, total := p.slotsByRegion(service)
	d.recordUse(now, p.useByRegion(now, service))
	d.recordTotalUse(now, slots)
	d.steppedAt = now
	starts := now.Sub(d.startedAt) <= divisionStart
	home := p.homeWeight(d, slots[p.HomeRegion], total)
	wanted := make(map[string]float64, len(slots))
	for region, own := range slots {
		weight := p.reservedWeight(region, own, total)
		if region == p.HomeRegion {
			weight *= home
		}
		if !starts {
			weight *= d.useWeight(region, slots)
		}
		wanted[region] = weight
	}
	if starts {
		d.home, d.weights = home, wanted
		return
	}
	d.weights = limitedStep(d.atHome(p.HomeRegion, home), wanted, slots)
	d.home = home
}

// atHome returns the current weights with another home. Targets that are lost leave their room to
// others at once, and rates of callers are slow averages, so this part changes without a limit.
func (d *division) atHome(region string, home float64) map[string]float64 {
	if home == d.home {
		return d.weights
	}
	weights := maps.Clone(d.weights)
	if weight, ok := weights[region]; ok {
		weights[region] = weight * home / d.home
	}
	return weights
}

// homeWeight returns the weight of the own region by its slots, the total, its callers and the use of
// all regions.
func (p *Placer) homeWeight(d *division, slots, total float64) float64 {
	callers := p.callerFractions()[p.HomeRegion]
	if callers <= 0 || callers >= 1 || slots == 0 || slots >= total {
		return unknownHomeWeight
	}
	share := slots / total / callers * d.room()
	if share >= 1 {
		return maxHomeWeight
	}
	return min(max(share/(1-share)*(total-slots)/slots, 1), maxHomeWeight)
}

// callerFractions returns the fraction of all callers' requests that each region has: that of the
// instances until rates are known.
func (p *Placer) callerFractions() map[string]float64 {
	if p.callers.fractions != nil {
		return p.callers.fractions
	}
	fractions := make(map[string]float64)
	for _, i := range p.instances {
		fractions[p.Regions[i.Domain]] += 1 / float64(len(p.instances))
	}
	return fractions
}

// callers is the part of all callers' requests that each region usually has, nil until it is known,
// and when it was recorded first and last.
type callers struct {
	fractions  map[string]float64
	since      time.Time
	recordedAt time.Time
}

// RecordCallers records the rates of the requests that callers send to the instances of each
// region, in requests per second. It ignores those of the first seconds after the start.
func (p *Placer) RecordCallers(now time.Time, rates map[string]float64) {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	if total < minCallersRate || now.Sub(p.StartedAt) < callersKnownAfter {
		return
	}
	c := &p.callers
	if c.fractions == nil {
		c.fractions, c.since, c.recordedAt = p.callerFractions(), now, now
	}
	known := min(instancesEvidence+now.Sub(c.since), callersTimeConstant)
	left := math.Exp(-max(0, now.Sub(c.recordedAt)).Seconds() / known.Seconds())
	next := make(map[string]float64, len(rates))
	for region, before := range c.fractions {
		next[region] = left * before
	}
	for region, rate := range rates {
		next[region] += (1 - left) * rate / total
	}
	c.fractions, c.recordedAt = next, now
}

// useWeight returns the part of its weight that a region keeps at its use.
func (d *division) useWeight(region string, slots map[string]float64) float64 {
	use, known := d.use[region]
	others, othersKnown := d.useOfOthers(region, slots)
	if !known || !othersKnown {
		return 1
	}
	excess := (use - max(others, roomyUse) - useMargin) / useRange
	return math.Pow(minUseWeight, min(max(excess, 0), 1))
}

// useOfOthers returns the use of all regions but one, false if none is known.
func (d *division) useOfOthers(region string, slots map[string]float64) (use float64, known bool) {
	sum, total := 0.0, 0.0
	for other, u := range d.use {
		if other != region {
			sum += u * slots[other]
			total += slots[other]
		}
	}
	return sum / max(1, total), total > 0
}

// room returns how many times a region's part of the targets counts.
func (d *division) room() float64 {
	if d.totalUse == 0 {
		return 1
	}
	return min(max(ampleUse/d.totalUse, minRoom), maxRoom)
}

// recordTotalUse adds the latest use of all regions together to its average.
func (d *division) recordTotalUse(now time.Time, slots map[string]float64) {
	use, known := d.useOfOthers("", slots)
	switch {
	case !known:
		d.totalUse = 0
	case d.totalUse == 0:
		d.totalUse = use
	default:
		left := math.Exp(-now.Sub(d.steppedAt).Seconds() / totalUseTimeConstant.Seconds())
		d.totalUse = use + left*(d.totalUse-use)
	}
}

// recordUse adds the latest use of the regions to its averages. A region that is missing is not
// known any more.
func (d *division) recordUse(now time.Time, latest map[string]float64) {
	left := math.Exp(-now.Sub(d.steppedAt).Seconds() / useTimeConstant.Seconds())
	for region, u := range latest {
		if before, ok := d.use[region]; ok {
			latest[region] = u + left*(before-u)
		}
	}
	d.use = latest
}

// useByRegion returns the requests per slot at the targets of a service, by region, of the regions
// in which enough targets have reported lately.
func (p *Placer) useByRegion(now time.Time, service string) map[string]float64 {
	requests, known, slots := make(map[string]float64), make(map[string]float64), make(map[string]float64)
	for _, t := range p.services[service] {
		if p.leaving(t) || p.evacuated[t.Domain] {
			continue
		}
		n := float64(max(1, t.Slots))
		slots[t.region] += n
		if age, reported := t.capacity.ReportAge(now); reported && age <= maxUseAge {
			known[t.region] += n
			requests[t.region] += t.capacity.Requests(now)
		}
	}
	use := make(map[string]float64, len(slots))
	for region, n := range known {
		if n >= minUseKnown*slots[region] {
			use[region] = requests[region] / n
		}
	}
	return use
}

// limitedStep returns weights on the way from the previous ones to the wanted ones, so that no more
// than maxDivisionStep of the objects move to another region.
func limitedStep(previous, wanted, slots map[string]float64) map[string]float64 {
	at := shares(previous, slots)
	distance := moved(at, shares(wanted, slots))
	if distance <= maxDivisionStep {
		if distance < minDivisionStep {
			return previous
		}
		return wanted
	}
	const halvings = 12
	low, high := 0.0, 1.0
	for range halvings {
		middle := (low + high) / 2
		if moved(at, shares(between(previous, wanted, middle), slots)) > maxDivisionStep {
			high = middle
		} else {
			low = middle
		}
	}
	return between(previous, wanted, low)
}

// between returns the weights at a fraction of the way, on a logarithmic scale. A region without a
// previous weight has the wanted one at once.
func between(previous, wanted map[string]float64, fraction float64) map[string]float64 {
	weights := make(map[string]float64, len(wanted))
	for region, to := range wanted {
		from, ok := previous[region]
		if !ok {
			from = to
		}
		weights[region] = from * math.Pow(to/from, fraction)
	}
	return weights
}

// weightOf returns the weight of a region, 1 if it has none yet, as one that has just come back.
func weightOf(weights map[string]float64, region string) float64 {
	if weight, ok := weights[region]; ok {
		return weight
	}
	return 1
}

// shares returns the fraction of the objects that each region has by its weight and its slots.
func shares(weights, slots map[string]float64) map[string]float64 {
	all, total := make(map[string]float64, len(slots)), 0.0
	for region, n := range slots {
		weight := weightOf(weights, region)
		all[region] = weight * n
		total += weight * n
	}
	for region := range all {
		all[region] /= total
	}
	return all
}

// moved returns the fraction of the objects that are in other regions by the second shares.
func moved(before, after map[string]float64) (fraction float64) {
	for region, share := range after {
		fraction += max(0, share-before[region])
	}
	return fraction
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
