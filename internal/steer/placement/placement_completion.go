package placement

import (
	"time"

	"lacewingramp.example/lacewingramp/internal/steer/completion"
)

const (
	// maxConsidered is how many usable targets of a ranking are looked at, those at their limit
	// included.
	maxConsidered = 20
	// meanWorkWeight is the weight of the latest response in the mean work of a service.
	meanWorkWeight = 0.05
	// maxMeanRatio bounds the weight of a single response in the mean.
	maxMeanRatio = 4
	// bodyBandwidth is the bandwidth, in bytes per second, with which a body is sent to another
	// region: that of the links of small instances, 10 Mbit/s.
	bodyBandwidth = 10e6 / 8
	// unnamedWarmth is the probability that a target is warm for a request without an object.
	unnamedWarmth = 0.5
)

// completions holds what a Placer has learned for the choice by completion time. version counts the
// changes of targets and weights that change rankings.
type completions struct {
	version  int
	rankings map[objectKey]*objectRanking
	services map[string]*serviceWork
}

// serviceWork is what is known of the requests of a service. mean is the mean work of all
// routes. regions holds the regions of its targets by index. weights and weightsAt are the
// weights of regions that the rankings are based on.
type serviceWork struct {
	routes    map[string]*routeWork
	mean      time.Duration
	warmth    completion.Warmth
	movement  completion.Regions
	regions   []string
	weights   map[string]float64
	weightsAt time.Time
}

// routeWork is what is known of the requests of a route.
type routeWork struct {
	work   completion.Work
	delays completion.Delays
}

func (p *Placer) serviceWorkOf(service string) *serviceWork {
	s, ok := p.completions.services[service]
	if !ok {
		if p.completions.services == nil {
			p.completions.services = make(map[string]*serviceWork)
		}
		s = &serviceWork{routes: make(map[string]*routeWork)}
		p.completions.services[service] = s
	}
	return s
}

func (s *serviceWork) routeOf(name string) *routeWork {
	r, ok := s.routes[name]
	if !ok {
		r = &routeWork{}
		s.routes[name] = r
	}
	return r
}

// regionIndex returns the index of a region.
func (s *serviceWork) regionIndex(region string) int {
	for i, r := range s.regions {
		if r == region {
			return i
		}
	}
	s.regions = append(s.regions, region)
	return len(s.regions) - 1
}

// chooseByCompletion picks a target by the expected completion of the request. It returns
// false as long as the work of the route is not known.
func (p *Placer) chooseByCompletion(now time.Time, q *Query) (Choice, bool) {
	s := p.serviceWorkOf(q.Service)
	route, ok := s.routes[q.Route]
	if !ok || !route.work.Estimate().Known() || len(p.services[q.Service]) > maxRankedTargets {
		return Choice{}, false
	}
	w := selection{
		maxWarm: targetsPerObject,
		now:     now, service: s, route: route, targets: p.services[q.Service],
		request: completion.Request{Work: route.work.Estimate(), Mean: s.mean, Objective: q.Objective, Remaining: q.Remaining, Named: q.Object != ""},
	}
	w.bodyTime = time.Duration(float64(q.Body) / bodyBandwidth * float64(time.Second))
	for i := range min(len(s.regions), len(w.delays)) {
		w.delays[i] = w.delay(p.HomeRegion, s.regions[i])
	}
	if q.bound() {
		// The targets of few regions have to be warm for all objects of the customer.
		w.maxWarm = 1
	}
	if q.Object == "" {
		w.first = int(p.rankingKey("") % uint64(max(1, len(w.targets))))
	} else {
		w.ranking = p.rankingOf(now, q, s)
	}
	c := p.takeBest(&w, q)
	if c.Target == nil && w.usable == 0 {
		return p.noneUsable(now, q), true
	}
	return c, true
}

// selection is the state of one choice. The targets are considered in the order of the ranking,
// or from the index first on if there is none. next is the position of the next one, and
// usable the number of usable targets that were considered. indices holds their indices.
type selection struct {
	now      time.Time
	service  *serviceWork
	route    *routeWork
	targets  []*target
	ranking  *objectRanking
	first    int
	next     int
	full     bool
	request  completion.Request
	search   completion.Search
	bodyTime time.Duration
	delays   [completion.MaxRegions]time.Duration
	usable   int
	// warm is the number of warm targets that were considered, and maxWarm that after which
	// no others are.
	warm    int
	maxWarm int
	indices [maxConsidered]int
}

// delay returns the network delay to a region, with the time to send the body to another one.
func (w *selection) delay(home, region string) time.Duration {
	d := w.route.delays.To(home, region)
	if region != home {
		d += w.bodyTime
	}
	return d
}

// delayTo returns the network delay to a target.
func (w *selection) delayTo(home string, t *target, region int) time.Duration {
	if region < len(w.delays) && w.delays[region] > 0 {
		return w.delays[region]
	}
	return w.delay(home, t.region)
}

// index returns the index of the target at a position.
func (w *selection) index(position int) int {
	if w.ranking != nil {
		return int(w.ranking.order[position])
	}
	return (w.first + position) % len(w.targets)
}

// advance considers further targets until one of a region need not be compared with later ones.
func (p *Placer) advance(w *selection, q *Query, region int) {
	for !w.full && w.next < len(w.targets) && !w.search.HasPrompt(region) {
		i := w.index(w.next)
		w.next++
		if p.usable(w.now, w.targets[i], q) {
			w.full = !p.consider(w, i, len(q.Tried))
		}
	}
}

// consider adds a target to the candidates, if it is not at its limit. It reports whether
// more should be considered.
func (p *Placer) consider(w *selection, index, tried int) bool {
	t, rank := w.targets[index], w.usable
	w.indices[rank] = index
	w.usable++
	state := p.stateOf(w.now, t, rank)
	region := w.service.regionIndex(t.region)
	c := completion.Candidate{
		Index: rank, Region: region, Slots: t.Slots, Requests: state.requests, Variance: state.variance, Factor: state.factor,
		Warmth: w.warmthAt(t, rank+tried), Delay: w.delayTo(p.HomeRegion, t, region),
		Doubtful: (t.failureRatio > 0 && t.failing(w.now)) || p.slow(w.now, t), Over: state.over(),
	}
	if !t.allowsAnother(w.now) {
		c.Over = max(c.Over, 1)
	}
	if w.ranking != nil && !c.Doubtful && !t.cold(w.now) {
		w.warm++
	}
	return w.search.Add(&w.request, w.request.Estimate(c)) && w.usable < maxConsidered && w.warm < w.maxWarm
}

// warmthAt returns the probability that a target is warm for the object.
func (w *selection) warmthAt(t *target, rank int) float64 {
	switch {
	case w.ranking == nil:
		return unnamedWarmth
	case t.cold(w.now):
		return 0
	case w.ranking.sentLately(w.now, t):
		return completion.LatelyWarmth
	}
	return w.service.warmth.At(rank)
}

// takeBest picks the best candidate that has a token for the request if its rate is limited.
func (p *Placer) takeBest(w *selection, q *Query) Choice {
	wantedRegion, unbounded := completion.AnyRegion, completion.AnyRegion
	p.advance(w, q, wantedRegion)
	if best, ok := w.search.Best(completion.AnyRegion); ok && len(q.Tried) == 0 {
		unbounded = best.Region
		wantedRegion = w.service.movement.Want(w.now, unbounded)
	}
	for {
		best, ok := p.bestOf(w, q, wantedRegion)
		if !ok {
			return Choice{Full: true, RoomIn: w.search.RoomIn()}
		}
		t := w.targets[w.indices[best.Index]]
		c, ok := p.take(w.now, q, best.Index, t)
		if !ok {
			w.search.Remove(best.Index)
			continue
		}
		c.Target, c.StartMillis, c.Expected = t.chosen, t.StartMillis, best.Expected
		if best.Region == wantedRegion && wantedRegion != unbounded && c.Reason != Bound {
			c.Reason = Held
		}
		if !c.NeedsProbe && !c.NeedsToken {
			w.service.movement.Sent(best.Region)
			if w.ranking != nil {
				w.ranking.recordSent(w.now, t)
			}
		}
		return c
	}
}

// bestOf returns the best candidate of a region if it suits the request, otherwise the best
// one of all.
func (p *Placer) bestOf(w *selection, q *Query, region int) (completion.Estimated, bool) {
	if region != completion.AnyRegion {
		p.advance(w, q, region)
		if best, ok := w.search.Best(region); ok && best.Suitable() {
			return best, true
		}
	}
	p.advance(w, q, completion.AnyRegion)
	return w.search.Best(completion.AnyRegion)
}

// recordWork learns the work of a route from a response of a target that had a free slot.
func (p *Placer) recordWork(now time.Time, t *target, r Report) {
	if !p.LoadAware(t.Service) && (r.TargetLoad == nil || r.TargetLoad.WorkPercent <= 0) {
		return
	}
	if !r.Ran || r.Failed || r.TimedOut || r.Took <= 0 || t.cold(now) || now.Add(-r.Took).Before(p.resumedAt) {
		return
	}
	if r.Load > 1 || (r.TargetLoad != nil && r.TargetLoad.Waiting > 0) {
		return
	}
	s := p.serviceWorkOf(t.Service)
	route := s.routeOf(r.Route)
	factor := t.capacity.WorkFactor(now)
	work := time.Duration(float64(r.Took-route.delays.To(p.HomeRegion, t.region)) / factor)
	if work <= 0 {
		return
	}
	route.delays.Add(t.region, r.Took)
	route.work.Add(work)
	estimate := route.work.Estimate()
	if !estimate.Known() {
		return
	}
	t.capacity.Ran(now, time.Duration(float64(work)*factor), estimate.Nearest(work))
	s.warmth.Add(r.RankingPosition, estimate.IsWarm(work))
	if s.mean == 0 {
		s.mean = estimate.Warm
	}
	s.mean += fractionOf(min(work, maxMeanRatio*s.mean)-s.mean, meanWorkWeight)
}
