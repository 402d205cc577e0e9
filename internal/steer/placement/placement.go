// Package placement chooses the target that runs a request.
//
// A request may name an object, by an affinity key. All instances of a region rank
// the targets of a service identically for an object, by weighted rendezvous hashing
// and without exchanging messages. An object's requests therefore reach a target that
// has handled it recently, and a target that joins or leaves affects few objects. A
// request goes to the highest-ranked target with free capacity, judged by this
// instance's requests in flight there and by the load that the target last reported.
//
// A target that has just started is cold and takes few requests a second, and a target
// may name a limit in its responses. Either rate is for all instances together: one of
// them owns it, and the others request a token from it for each request. An instance that
// has just started does not know the owner of a cold target's rate yet and uses an equal
// share of it. A target that could not be reached is suspended for a while and treated
// as cold afterwards. One that refuses a request may ask for a pause, and one that says
// that it is leaving gets nothing new.
//
// # Usage
//
//	p := placement.Placer{Self: name}
//	p.Configure(services)
//	p.Update(now, registration)
//	choice := p.Choose(now, placement.Query{Service: "recipes", Object: "17"})
//	switch {
//	case choice.Target == nil:
//		// Refuse. choice.Full tells whether there are usable targets, all full, and
//		// choice.RetryAfter when the first one ends its pause if all others pause.
//	case choice.NeedsProbe:
//		// Probe the target to learn whether it is cold, then choose again.
//	case choice.NeedsToken:
//		// Request a token from the owner of the target's rate, then choose again.
//	}
//	...
//	p.Done(now, placement.Report{Target: choice.Target.Name, TargetLoad: load})
//
// A Placer is not safe for use by more than one goroutine.
package placement

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/rotation"
)

// Query describes a request that needs a target. An empty Version allows every
// version. Object is empty if no target is preferred. Tried names the targets
// that the request was already sent to. NoTokenRequests is set if the request may not
// wait for tokens any more.
type Query struct {
	Service string
	Version string
	Object  string
	// RouteRegions and CustomerRegions are the regions that the route and the
	// customer allow. A target's region must be allowed by both.
	RouteRegions    lacewingramp.NameList
	CustomerRegions lacewingramp.NameList
	Tried           []string
	NoTokenRequests bool
	// Route is the name of the route, Objective the time in which the caller wants the
	// response, and Remaining the time to the deadline. They are used for load-aware
	// services only.
	Route     string
	Objective time.Duration
	Remaining time.Duration
	// Body is the size of the request's body in bytes.
	Body int
}

// Choice is the result of Placer.Choose. If Target is nil, Full tells whether there
// are usable targets, all of them full, or none at all. RankingPosition is the
// target's index, from 0, in the order in which Choose tried the targets. StartMillis is
// that of the target's registration. RetryAfter is the time to the end of the first pause
// of a target, if no other one is usable. WarmingUp says that the target is cold. Load is the
// estimated number of requests per slot at the target, this one included.
//
// NeedsProbe says that the request has not been counted as in flight yet: the caller must
// probe the target, to learn whether it is cold, and then call Choose again. NeedsToken
// says the same of a token: the caller must request it from the owner of the target's
// rate, call RecordToken with the reply, and then call Choose again.
type Choice struct {
	Target          *lacewingramp.Target
	ChosenAt        time.Time
	Full            bool
	RankingPosition int
	StartMillis     int64
	RetryAfter      time.Duration
	WarmingUp       bool
	Load            float64
	NeedsProbe      bool
	NeedsToken      bool
	// Expected is the expected time to the end of the request at the target. If Target is
	// nil, RoomIn is the expected time until a target could end the request before its
	// deadline, or until one ends another request if the service is not load-aware. Both are 0
	// if not known.
	Expected time.Duration
	RoomIn   time.Duration
	// Region is the target's region, and Reason why it was chosen.
	Region string
	Reason Reason
}

// Report describes the outcome of a request on a target. TargetLoad is the load that
// the target reported, nil if none, and WarmupRemaining is how long it says that it
// stays cold. RateLimit, InvalidRateLimit and RetryAfter are those of the ResponseHeaders.
type Report struct {
	Target string
	// StartMillis is that of the Choice.
	StartMillis int64
	// ChosenAt is that of the Choice. SentAt is when the request was sent, Took the time from
	// then to its end, and Ran says that the target ran it and responded.
	ChosenAt time.Time
	SentAt   time.Time
	Took     time.Duration
	Ran      bool
	// TimedOut says that the request reached its deadline, at this instance or at the target.
	TimedOut bool
	// Route is that of the Query, RankingPosition and Load those of the Choice.
	Route           string
	RankingPosition int
	Load            float64
	// Unreachable says that the target could not be connected to, Failed that
	// it sent no response or a server error.
	Unreachable bool
	Failed      bool
	// Shed says that the target refused the request for lack of capacity.
	Shed bool
	// AddressTaken says that another target responds at the address.
	AddressTaken    bool
	TargetLoad      *lacewingramp.TargetLoad
	WarmupRemaining time.Duration

	RateLimit        *float64
	InvalidRateLimit bool
	RetryAfter       time.Duration
}

// Placer tracks the targets of all services. The zero value has no targets.
type Placer struct {
	// Self is the name of this instance.
	Self string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// HomeRegion is the region of this instance.
	HomeRegion string
	// StartedAt is when this instance started.
	StartedAt time.Time

	targets   map[string]*target
	services  map[string][]*target
	settings  map[string]lacewingramp.Service
	evacuated map[string]bool
	// boundFractions maps regions to the fraction of all requests that are bound to them,
	// and divisions maps services to how the others are divided among the regions. longest
	// holds the longest usual durations of services' requests.
	boundFractions map[string]float64
	longest        map[string]*longestUsual
	// resumedAt is when the latest pause of the process ended.
	resumedAt time.Time
	divisions map[string]*division
	callers   callers
	// unnamed counts the requests without an object.
	unnamed uint64
	// moves maps each object that was moved away from its highest-ranked target to
	// the name of the target that it was moved to, the second-ranked one at the time.
	moves map[objectKey]string
	// departures holds the targets that have said that they are leaving, by name.
	// departureRotation selects those of the next heartbeat, and
	// suspicionRotation the targets that are suspected to be slow.
	departures        map[string]departure
	departureRotation rotation.Rotation
	suspicionRotation rotation.Rotation
	// pauses holds the pauses of targets, by name.
	pauses       map[string]pause
	instances    []lacewingramp.Endpoint
	maxInstances int
	// instanceVersion counts the changes of instances.
	instanceVersion int
	// uploads is set if the table has a route for uploads.
	uploads bool
	// workReported holds the services with a target that has reported how long work takes.
	workReported map[string]bool
	// sharing holds what is exchanged with other instances on the load of targets.
	sharing sharing
	// completions is what is known for the choice by expected completion time.
	completions completions
}

// Configure sets the services' settings.
func (p *Placer) Configure(services []lacewingramp.Service) {
	p.settings = make(map[string]lacewingramp.Service, len(services))
	for _, s := range services {
		p.settings[s.Name] = s
	}
}

// SetInstances sets all live instances, in any order, and the maximum number that may
// exist: those that this instance has lost may still run, and not all are known shortly
// after its start.
func (p *Placer) SetInstances(live []lacewingramp.Endpoint, maxInstances int) {
	p.maxInstances = maxInstances
	if slices.Equal(live, p.instances) {
		return
	}
	p.instances = live
	p.instanceVersion++
}

// Update records a target's registration. If the target has been restarted, has
// moved or belongs to another service now, its state is discarded and the address
// that it had is returned.
func (p *Placer) Update(now time.Time, r lacewingramp.TargetRegistration) (oldAddress string) {
	if p.targets == nil {
		p.targets = make(map[string]*target)
	}
	p.endDeparture(r.Name, r.StartMillis)
	t, ok := p.targets[r.Name]
	if ok && (t.StartMillis != r.StartMillis || t.Address != r.Address || t.Service != r.Service) {
		oldAddress = t.Address
		p.drop(t)
		ok = false
	}
	if !ok {
		t = &target{hash: xxhash.Sum64String(r.Name)}
		p.targets[r.Name] = t
		t.TargetRegistration = r
		p.add(t)
	}
	t.confirmed = t.confirmed || (ok && t.TargetRegistration != r)
	if ok && (t.Slots != r.Slots || t.Domain != r.Domain) {
		p.completions.version++
	}
	t.TargetRegistration = r
	chosen := r.Target
	t.chosen = &chosen
	if region := p.Regions[r.Domain]; region != t.region {
		t.region, t.ownerVersion = region, 0
	}
	t.addressTaken = false
	t.setCold(now, r.WarmupRemaining)
	return oldAddress
}

func (p *Placer) add(t *target) {
	if p.services == nil {
		p.services = make(map[string][]*target)
	}
	p.services[t.Service] = append(p.services[t.Service], t)
	p.sharing.add(t)
	p.completions.version++
}

func (p *Placer) drop(t *target) {
	delete(p.targets, t.Name)
	p.sharing.remove(t)
	list := p.services[t.Service]
	remaining := make([]*target, 0, len(list))
	for _, o := range list {
		if o != t {
			remaining = append(remaining, o)
		}
	}
	p.services[t.Service] = remaining
	p.completions.version++
}

// Remove removes a target and returns its address, which is empty if the target
// is unknown.
func (p *Placer) Remove(name string) (address string) {
	t, ok := p.targets[name]
	if !ok {
		return ""
	}
	p.drop(t)
	return t.Address
}

// Evacuate starts or ends the evacuation of a failure domain. When it ends, the
// domain's targets are treated as cold.
func (p *Placer) Evacuate(now time.Time, domain string, on bool) {
	if p.evacuated == nil {
		p.evacuated = make(map[string]bool)
	}
	if p.evacuated[domain] && !on {
		for _, t := range p.targets {
			if t.Domain == domain {
				p.markCold(now, t)
			}
		}
	}
	p.evacuated[domain] = on
}

// Registration returns the latest registration of a target.
func (p *Placer) Registration(name string) (lacewingramp.TargetRegistration, bool) {
	t, ok := p.targets[name]
	if !ok {
		return lacewingramp.TargetRegistration{}, false
	}
	return t.TargetRegistration, true
}

// MayServe reports whether a target that was chosen earlier may still be sent a
// request.
func (p *Placer) MayServe(now time.Time, chosen *lacewingramp.Target) bool {
	t, ok := p.targets[chosen.Name]
	return ok && t.Address == chosen.Address && !p.leaving(t) && !t.addressTaken && !p.evacuated[t.Domain] && !p.paused(now, t)
}

// Choose picks a target with free capacity and counts the request as in flight
// there until Done or Cancel is called. It does not count a request whose Choice has
// NeedsProbe or NeedsToken set.
func (p *Placer) Choose(now time.Time, q Query) Choice {
	if p.LoadAware(q.Service) {
		if c, ok := p.chooseByCompletion(now, &q); ok {
			return c
		}
	}
	all := p.order(now, &q)
	if len(all) == 0 {
		return p.noneUsable(now, &q)
	}
	all = p.candidates(now, &q, all)
	moved := p.applyMoves(now, &q, all)
	if c, ok := p.firstFitting(now, &q, all, func(i int, t *target) bool {
		return t.fits(now, maxUtilizationByRank[min(i, len(maxUtilizationByRank)-1)]) && !t.failing(now) && !p.slow(now, t)
	}); ok {
		if moved && c.Reason == Preferred {
			c.Reason = Moved
		}
		return c
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].utilization(now) < all[j].utilization(now) })
	if c, ok := p.firstFitting(now, &q, all, func(_ int, t *target) bool {
		return t.fits(now, maxFallbackUtilization)
	}); ok {
		return c
	}
	return Choice{Full: true, RoomIn: roomIn(now, all)}
}

// Cancel releases a Choice that was not used.
func (p *Placer) Cancel(name string) {
	if t, ok := p.targets[name]; ok {
		t.end(time.Time{})
	}
}

// Done ends a request on a target and records what it revealed of the target.
func (p *Placer) Done(now time.Time, r Report) {
	t, ok := p.targets[r.Target]
	if !ok {
		return
	}
	t.end(now)
	p.recordCapacity(now, t, r)
	p.recordDuration(now, t, r)
	p.recordWork(now, t, r)
	p.adjustConcurrency(now, t, r)
	t.addressTaken = t.addressTaken || r.AddressTaken
	if r.TargetLoad != nil {
		p.recordWorkReport(t, r.TargetLoad)
		t.load, t.loadAt, t.inflightAtLoad = *r.TargetLoad, now, t.inflight
		t.recordUtilization(now, float64(r.TargetLoad.Running+r.TargetLoad.Waiting)/float64(max(1, t.Slots)))
	}
	t.setCold(now, r.WarmupRemaining)
	t.recordLimit(now, r)
	if r.StartMillis == t.StartMillis && !r.AddressTaken {
		p.recordPause(now, t, r)
	}
	if r.Shed {
		t.load.Running, t.load.Waiting = t.Slots, t.Slots
		t.loadAt, t.inflightAtLoad = now, t.inflight
	}
	if r.Unreachable {
		p.suspend(now, t)
		return
	}
	t.suspension = 0
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	decayed := t.failureRatio * math.Exp(-now.Sub(t.failureRatioAt).Seconds()/failureTimeConstant.Seconds())
	t.failureRatio = decayed + outcomeWeight*(failed-decayed)
	t.failureRatioAt = now
}
