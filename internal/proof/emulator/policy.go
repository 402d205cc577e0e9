package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// TargetInfo describes a target to a policy.
type TargetInfo struct {
	Name   string
	Region int
}

// Topology describes the deployment to a policy. Slots is the maximum number of
// requests that each target processes concurrently.
type Topology struct {
	Regions            int
	InstancesPerRegion int
	Slots              int
	InterRegionLatency time.Duration
	// BoundFractions is that of the Scenario.
	BoundFractions []float64
	Targets        []TargetInfo
}

// Request is what an instance knows of a request. BoundTo is the only region whose targets
// may serve it, negative if all may. Tried holds the targets that it was sent to already.
type Request struct {
	Object  string
	BoundTo int
	Tried   []string
	// Attempt numbers the attempts of all requests.
	Attempt int
	// Route is the kind of the request, "" if the scenario has only one. Objective is the
	// time left to its latency objective and Remaining that to its timeout.
	Route     string
	Objective time.Duration
	Remaining time.Duration
}

// Response is what an instance learns from a target's response, Took after it sent the request.
// Running and Waiting are the numbers of requests that the target processed and had queued when
// it responded. Removed is set if the target has stopped permanently. If Cancelled is set, the
// instance has cancelled the request and there was no response.
type Response struct {
	Target    string
	Took      time.Duration
	Cancelled bool
	// Processed is false if the target did not process the request.
	Processed bool
	Removed   bool
	Running   int
	Waiting   int
	// Attempt and Route are those of the Request.
	Attempt int
	Route   string
	// WorkPercent is how long the target said that processing takes, 0 if it did not.
	WorkPercent int
}

// Policy chooses a target for each request. One Policy serves all instances, but may base
// the choice for an instance only on the responses to that instance. instance is the index
// of an instance; those of the first region come first. The simulation calls Init once
// before the first request, Done for each response, and RemoveTarget when a target has
// stopped permanently.
type Policy interface {
	Name() string
	Init(top Topology, random *rand.Rand)
	// Choose returns the name of a target, or "" to refuse the request.
	Choose(now time.Time, instance int, r Request) string
	// ReturnAfter returns when the caller of a request that Choose has just refused retries. random
	// is from 0 to 1.
	ReturnAfter(random float64) time.Duration
	Done(now time.Time, instance int, r Response)
	RemoveTarget(target string)
}

// Policies returns the policy of lacewingramp, followed by simpler ones to compare it
// with.
func Policies() []Policy {
	return []Policy{
		&PlacementPolicy{},
		&PlacementPolicy{NoneReserved: true},
		&PlacementPolicy{NothingReported: true},
		&rankedPolicy{name: "random", rank: randomOrder},
		&rankedPolicy{name: "least in flight", rank: leastInFlightFirst},
		&rankedPolicy{name: "nearest, least in flight", rank: sameRegionFirst},
		&rankedPolicy{name: "hash, unbounded", rank: hashOrder},
		&rankedPolicy{name: "hash, at most 2 in flight", rank: hashOrder, maxInFlight: 2},
	}
}

// PlacementPolicy is the policy of lacewingramp, with a placement.Placer for each
// instance.
type PlacementPolicy struct {
	// NoneReserved is set if no slots are reserved for requests that are bound to a region.
	NoneReserved bool
	// NothingReported is set if instances do not tell each other of slow targets.
	NothingReported bool
	// ByCompletion is set if targets are chosen by the expected completion of requests.
	ByCompletion bool
	// CallersUnknown is set if instances do not know where callers are, so that all regions have the
	// same constant preference for their own targets.
	CallersUnknown bool

	placers []*placement.Placer
	// heartbeatAt is when the instances have last told each other of slow targets, and
	// heartbeats how often.
	heartbeatAt time.Time
	heartbeats  int
	// received is the number of requests from the callers of each region since then.
	received map[string]float64
	// perRegion is the number of instances in each region.
	perRegion int
	// choices holds the choices of the attempts in progress.
	choices map[int]placement.Choice
	// roomIn is that of the latest choice.
	roomIn time.Duration
}

const service = "s"

// Name returns the policy's name.
func (p *PlacementPolicy) Name() string {
	switch {
	case p.ByCompletion:
		return "lacewingramp, by completion"
	case p.NoneReserved:
		return "lacewingramp, none reserved"
	case p.NothingReported:
		return "lacewingramp, nothing reported"
	case p.CallersUnknown:
		return "lacewingramp, callers unknown"
	default:
		return "lacewingramp"
	}
}

// Init creates a Placer for each instance.
func (p *PlacementPolicy) Init(top Topology, _ *rand.Rand) {
	p.placers, p.heartbeatAt, p.received = nil, time.Time{}, make(map[string]float64)
	p.perRegion = top.InstancesPerRegion
	p.choices = make(map[int]placement.Choice)
	regions := make(map[string]string)
	for i := range top.Regions {
		regions[domainName(i)] = regionName(i)
	}
	var instances []lacewingramp.Endpoint
	for i := range top.Regions * top.InstancesPerRegion {
		instances = append(instances, lacewingramp.Endpoint{Name: fmt.Sprint(i), Domain: domainName(i / top.InstancesPerRegion)})
	}
	for i := range instances {
		placer := &placement.Placer{Self: fmt.Sprint(i), Regions: regions, HomeRegion: regionName(i / top.InstancesPerRegion)}
		placer.SetRoutes([]lacewingramp.Route{{Upload: p.ByCompletion}})
		placer.Configure([]lacewingramp.Service{{Name: service}})
		if !p.CallersUnknown {
			placer.SetInstances(instances, len(instances))
		}
		if !p.NoneReserved {
			placer.SetCustomers(customers(top.BoundFractions))
		}
		for _, t := range top.Targets {
			placer.Update(startTime, lacewingramp.TargetRegistration{Target: lacewingramp.Target{
				Name: t.Name, Service: service, Domain: domainName(t.Region), Slots: top.Slots,
			}})
		}
		p.placers = append(p.placers, placer)
	}
}

const (
	heartbeatPeriod = 250 * time.Millisecond
	// heartbeatRound is the number of heartbeats in which each instance has sent one to every
	// other.
	heartbeatRound = 8
	// domainCount is the number of failure domains in which the instances run.
	domainCount = 9
)

// exchangeHeartbeats lets each instance tell some of the others which targets it suspects to be
// slow, once in each heartbeatPeriod.
func (p *PlacementPolicy) exchangeHeartbeats(now time.Time) {
	if p.NothingReported || now.Sub(p.heartbeatAt) < heartbeatPeriod {
		return
	}
	elapsed := now.Sub(p.heartbeatAt)
	p.heartbeatAt = now
	p.heartbeats++
	p.exchangeRates(now, elapsed)
	for i, sender := range p.placers {
		slow := sender.SlowTargets(now)
		region, others := sender.TargetLoads(now)
		for j, receiver := range p.placers {
			if i != j && i/p.perRegion == j/p.perRegion {
				receiver.RecordTargetLoads(now, region, domainName(i/p.perRegion))
			} else if (i+j)%heartbeatRound == p.heartbeats%heartbeatRound {
				receiver.RecordTargetLoads(now, others, domainName(i/p.perRegion))
			}
			if i == j || (i+j)%heartbeatRound != p.heartbeats%heartbeatRound {
				continue
			}
			for _, s := range slow {
				receiver.MarkSlow(now, s, senderDomain(i))
			}
		}
	}
}

// exchangeRates tells each instance the rates of the requests that callers have sent since a time.
func (p *PlacementPolicy) exchangeRates(now time.Time, elapsed time.Duration) {
	for region := range p.received {
		p.received[region] /= elapsed.Seconds()
	}
	for _, placer := range p.placers {
		if !p.CallersUnknown {
			placer.RecordCallers(now, p.received)
		}
	}
	p.received = make(map[string]float64)
}

// senderDomain returns the failure domain of an instance. There are several in a region.
func senderDomain(instance int) string { return fmt.Sprint(instance % domainCount) }

// customers returns the customers of a table of which the given fractions of all requests are
// bound to regions.
func customers(boundFractions []float64) []lacewingramp.Customer {
	free := lacewingramp.Customer{Name: "free", Rate: 1}
	var all []lacewingramp.Customer
	for region, f := range boundFractions {
		all = append(all, lacewingramp.Customer{Name: regionName(region), Rate: f, Regions: lacewingramp.NameList{regionName(region)}})
		free.Rate -= f
	}
	return append(all, free)
}

func domainName(region int) string { return fmt.Sprint("d", region) }
func regionName(region int) string { return fmt.Sprint("r", region) }

// Choose returns the choice of the instance's Placer.
func (p *PlacementPolicy) Choose(now time.Time, instance int, r Request) string {
	p.exchangeHeartbeats(now)
	if len(r.Tried) == 0 {
		p.received[regionName(instance/p.perRegion)]++
	}
	q := placement.Query{Service: service, Object: r.Object, Tried: r.Tried, Route: r.Route, Objective: r.Objective, Remaining: r.Remaining}
	if r.BoundTo >= 0 {
		q.CustomerRegions = lacewingramp.NameList{regionName(r.BoundTo)}
	}
	c := p.placers[instance].Choose(now, q)
	p.roomIn = c.RoomIn
	if c.Target == nil {
		return ""
	}
	if p.ByCompletion {
		p.choices[r.Attempt] = c
	}
	return c.Target.Name
}

// ReturnAfter returns the delay that instances tell callers. The emulator has no admission queue, so
// those of load-aware services retry as if room was not expected.
func (p *PlacementPolicy) ReturnAfter(random float64) time.Duration {
	if p.ByCompletion {
		return placement.ReturnAfter(0, random)
	}
	return placement.ReturnAfter(p.roomIn, random)
}

// Done reports a response to the instance's Placer.
func (p *PlacementPolicy) Done(now time.Time, instance int, r Response) {
	c := p.choices[r.Attempt]
	delete(p.choices, r.Attempt)
	report := placement.Report{Target: r.Target, ChosenAt: now.Add(-r.Took), Took: r.Took, Route: r.Route, RankingPosition: c.RankingPosition, Load: c.Load}
	if r.Cancelled {
		report.TimedOut = true
		p.placers[instance].Done(now, report)
		return
	}
	report.Ran, report.Shed, report.Unreachable = r.Processed, !r.Processed, r.Removed && !r.Processed
	report.TargetLoad = &lacewingramp.TargetLoad{Running: r.Running, Waiting: r.Waiting}
	if p.ByCompletion {
		report.TargetLoad.WorkPercent = r.WorkPercent
	}
	p.placers[instance].Done(now, report)
}

// RemoveTarget removes a target from the Placers of all instances.
func (p *PlacementPolicy) RemoveTarget(target string) {
	for _, placer := range p.placers {
		placer.Remove(target)
	}
}

// rankedPolicy is a simple policy. rank sorts the targets in order of preference. The
// policy chooses the first one that the request was not sent to yet and that has fewer
// than maxInFlight requests of the instance in flight.
type rankedPolicy struct {
	name string
	rank func(p *rankedPolicy, instance int, object string) []TargetInfo
	// maxInFlight is the maximum number of requests that an instance has in flight
	// at a target, 0 for no limit.
	maxInFlight int

	topology Topology
	random   *rand.Rand
	inFlight []map[string]int
}

func (p *rankedPolicy) Name() string { return p.name }

func (p *rankedPolicy) Init(top Topology, r *rand.Rand) {
	p.topology, p.random = top, r
	p.inFlight = make([]map[string]int, top.Regions*top.InstancesPerRegion)
	for i := range p.inFlight {
		p.inFlight[i] = make(map[string]int)
	}
}

func (p *rankedPolicy) Choose(_ time.Time, instance int, r Request) string {
	for _, t := range p.rank(p, instance, r.Object) {
		if r.BoundTo >= 0 && r.BoundTo != t.Region {
			continue
		}
		if slices.Contains(r.Tried, t.Name) || (p.maxInFlight > 0 && p.inFlight[instance][t.Name] >= p.maxInFlight) {
			continue
		}
		p.inFlight[instance][t.Name]++
		return t.Name
	}
	return ""
}

// ReturnAfter returns a delay that does not depend on the load.
func (p *rankedPolicy) ReturnAfter(random float64) time.Duration {
	return placement.ReturnAfter(0, random)
}

func (p *rankedPolicy) Done(_ time.Time, instance int, r Response) {
	p.inFlight[instance][r.Target]--
}

func (p *rankedPolicy) RemoveTarget(target string) {
	p.topology.Targets = slices.DeleteFunc(slices.Clone(p.topology.Targets), func(t TargetInfo) bool { return t.Name == target })
}

func randomOrder(p *rankedPolicy, _ int, _ string) []TargetInfo {
	all := slices.Clone(p.topology.Targets)
	p.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func leastInFlightFirst(p *rankedPolicy, instance int, object string) []TargetInfo {
	all := randomOrder(p, instance, object)
	slices.SortStableFunc(all, func(a, b TargetInfo) int { return p.inFlight[instance][a.Name] - p.inFlight[instance][b.Name] })
	return all
}

func sameRegionFirst(p *rankedPolicy, instance int, object string) []TargetInfo {
	all := leastInFlightFirst(p, instance, object)
	ownRegion := instance / p.topology.InstancesPerRegion
	slices.SortStableFunc(all, func(a, b TargetInfo) int { return regionSortKey(a, ownRegion) - regionSortKey(b, ownRegion) })
	return all
}

func regionSortKey(t TargetInfo, region int) int {
	if t.Region == region {
		return 0
	}
	return 1
}

func hashOrder(p *rankedPolicy, _ int, object string) []TargetInfo {
	all := slices.Clone(p.topology.Targets)
	slices.SortFunc(all, func(a, b TargetInfo) int {
		if xxhash.Sum64String(object+a.Name) > xxhash.Sum64String(object+b.Name) {
			return -1
		}
		return 1
	})
	return all
}
