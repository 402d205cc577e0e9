// Package emulator simulates callers, instances and targets in virtual time, without
// a network. It compares policies of target selection under load.
//
// A target has a number of slots, a queue, and a cache of the objects that it used
// most recently; it processes requests for a cached object faster. Callers request
// objects of their own region and retry once after a refusal. Instances know of the
// targets' load only from responses, which arrive with the network's latency. The
// policy of lacewingramp is the one that instances run, package steer/placement.
//
// # Usage
//
//	result := emulator.Simulate(emulator.Scenarios()[0], emulator.Policies()[0], 1)
//	fmt.Println(result.InTime, result.Late, result.Refused)
package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	sameRegionLatency = 200 * time.Microsecond
	// maxProcessingDeviation is the maximum deviation of a request's processing time
	// from the mean, in both directions, as a fraction of the mean.
	maxProcessingDeviation = 0.15
	// maxAttempts is the maximum number of targets that an instance sends a request to
	// before it refuses the request.
	maxAttempts = 2
	// Requests that are sent during an outage are sent again after it, each with a
	// random delay of at most maxOutageRetryDelay.
	maxOutageRetryDelay = 500 * time.Millisecond
)

var startTime = time.Unix(1_800_000_000, 0)

// simulation is the state of one run of Simulate. after(d, f) schedules a call of f at
// d after the current time, at(d, f) at d after the start of the simulation. sequence
// is the number of events scheduled so far. windowCounts holds, for each window, the
// number of answered requests and how many of them were answered in time.
type simulation struct {
	Scenario
	policy       Policy
	random       *rand.Rand
	now          time.Time
	events       events
	sequence     int
	attempts     int
	targets      []*target
	byName       map[string]*target
	result       Result
	windowCounts [][2]int
	// shifts holds, for each window and region of callers, the number of requests that each
	// region answered.
	shifts [][][]int
	// arrivals holds the same for the requests that arrived at targets, by the window of their
	// arrival.
	arrivals [][][]int
	// idle holds, for each instance and target, since when its idle connections are idle, the one
	// that was used last at the end.
	idle map[connectionKey][]time.Time
}

// target is a simulated target. useCount is the number of requests that it has begun
// to process. lastUsed holds its cached objects, each with the value of useCount at
// the object's last use.
type target struct {
	name     string
	region   int
	lastUsed map[string]int
	useCount int
	running  int
	waiting  []*request
	removed  bool
	// mayBeSlow is set for the targets that are slow for a while.
	mayBeSlow bool
	// noisy is set while the target is slow by Scenario.Noise.
	noisy bool
}

// drop removes a waiting request.
func (t *target) drop(r *request) {
	t.waiting = slices.DeleteFunc(t.waiting, func(o *request) bool { return o == r })
}

// unbound is the boundTo of a request that targets of all regions may serve.
const unbound = -1

// request is a request of a caller. boundTo is the only region whose targets may serve it.
// sentAt is when the caller sent it first. tried holds the targets that it was sent to since the
// caller sent it last, and chosenAt is when the last of them was chosen. retried is set if the
// caller sends it for the second time, after a refusal. ended is set once it has been answered or
// cancelled, and running while a target processes it.
type request struct {
	object  string
	kind    *Kind
	region  int
	boundTo int
	// attempt numbers the attempts of all requests.
	attempt  int
	instance int
	sentAt   time.Time
	tried    []string
	chosenAt time.Time
	retried  bool
	running  bool
	ended    bool
}

// Simulate simulates a scenario under a policy. The same seed gives the same result.
func Simulate(s Scenario, p Policy, seed uint64) Result {
	sim := &simulation{Scenario: s, policy: p, random: rand.New(rand.NewPCG(seed, seed)), now: startTime}
	for region, n := range s.Targets {
		for range n {
			sim.targets = append(sim.targets, &target{
				name: fmt.Sprintf("t%d", len(sim.targets)), region: region, lastUsed: make(map[string]int),
			})
		}
	}
	sim.byName = make(map[string]*target, len(sim.targets))
	for _, t := range sim.targets {
		sim.byName[t.name] = t
	}
	for i := range s.SlowTargets {
		sim.targets[i*len(sim.targets)/s.SlowTargets].mayBeSlow = true
	}
	p.Init(sim.topology(), sim.random)
	sim.windowCounts = make([][2]int, int(s.LoadDuration/WindowLength)+1)
	if len(s.Kinds) > 0 {
		sim.scheduleKinds()
	} else {
		for region := range s.Targets {
			sim.scheduleArrival(region)
		}
	}
	if s.RemovedTargets > 0 {
		sim.at(s.RemovedAt, sim.removeTargets)
	}
	sim.run()
	return sim.summarize()
}

// topology returns the description of the deployment for a policy.
func (sim *simulation) topology() Topology {
	top := Topology{Regions: len(sim.Targets), InstancesPerRegion: sim.InstancesPerRegion, Slots: sim.Slots, InterRegionLatency: sim.InterRegionLatency, BoundFractions: sim.BoundFractions}
	for _, t := range sim.targets {
		top.Targets = append(top.Targets, TargetInfo{Name: t.name, Region: t.region})
	}
	return top
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now.Add(d), sequence: sim.sequence, f: f})
}

func (sim *simulation) at(d time.Duration, f func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: startTime.Add(d), sequence: sim.sequence, f: f})
}

func (sim *simulation) run() {
	for sim.events.Len() > 0 {
		e, ok := heap.Pop(&sim.events).(event)
		if !ok {
			return
		}
		sim.now = e.at
		e.f()
	}
}

// scheduleArrival schedules the next request from a region. When that request arrives,
// the one after it is scheduled. The arrivals are a Poisson process.
func (sim *simulation) scheduleArrival(region int) {
	interval := time.Duration(sim.random.ExpFloat64() / sim.RequestRate * float64(time.Second))
	if sim.now.Add(interval).Sub(startTime) >= sim.LoadDuration {
		return
	}
	sim.after(interval, func() {
		sim.result.Requests++
		sim.dispatch(&request{
			object: fmt.Sprintf("%d-%d", region, sim.random.IntN(sim.ObjectsPerRegion)), region: region, boundTo: sim.drawBound(),
			instance: region*sim.InstancesPerRegion + sim.random.IntN(sim.InstancesPerRegion), sentAt: sim.now,
		})
		sim.scheduleArrival(region)
	})
}

// drawBound draws the region whose targets alone may serve a request.
func (sim *simulation) drawBound() int {
	if len(sim.BoundFractions) == 0 {
		return unbound
	}
	drawn := sim.random.Float64()
	for region, f := range sim.BoundFractions {
		if drawn < f {
			return region
		}
		drawn -= f
	}
	return unbound
}

// removeTargets permanently stops the last targets of the list.
func (sim *simulation) removeTargets() {
	for i := range sim.RemovedTargets {
		t := sim.targets[len(sim.targets)-1-i]
		t.removed = true
		sim.policy.RemoveTarget(t.name)
	}
}

func (sim *simulation) dispatch(r *request) {
	elapsed := sim.now.Sub(startTime)
	if elapsed >= sim.OutageFrom && elapsed < sim.OutageUntil {
		sim.at(sim.OutageUntil+time.Duration(sim.random.Float64()*float64(maxOutageRetryDelay)), func() { sim.dispatch(r) })
		return
	}
	name := ""
	if len(r.tried) < maxAttempts {
		name = sim.policy.Choose(sim.now, r.instance, sim.describe(r))
	}
	if name == "" {
		sim.refuse(r)
		return
	}
	r.tried, r.chosenAt = append(r.tried, name), sim.now
	t := sim.find(name)
	attempt := len(r.tried)
	retried := r.retried
	sim.at(r.sentAt.Add(sim.timeoutOf(r)).Sub(startTime), func() {
		if !r.ended && r.retried == retried && len(r.tried) == attempt {
			sim.cancel(r, t)
		}
	})
	arrival := sim.connect(r, t)
	sim.recordUnderWay(r, t, arrival)
	sim.after(arrival, func() { sim.receive(r, t) })
}

// cancel ends a request at its timeout. The target drops it when it learns of that.
func (sim *simulation) cancel(r *request, t *target) {
	r.ended = true
	sim.count(r, &sim.result.Failed)
	sim.policy.Done(sim.now, r.instance, Response{Target: t.name, Attempt: r.attempt, Route: routeOf(r), Cancelled: true, Took: sim.now.Sub(r.chosenAt)})
	sim.after(sim.latency(r, t), func() {
		if r.running {
			r.running = false
			sim.release(t)
		}
		t.drop(r)
	})
}

func (sim *simulation) find(name string) *target {
	if t, ok := sim.byName[name]; ok {
		return t
	}
	panic("policy chose an unknown target: " + name)
}

func (sim *simulation) latency(r *request, t *target) time.Duration {
	if r.region == t.region {
		return sameRegionLatency
	}
	return sim.InterRegionLatency
}

// refuse refuses a request. The caller retries it if it has not done so before.
func (sim *simulation) refuse(r *request) {
	if r.retried {
		r.ended = true
		sim.count(r, &sim.result.Refused)
		return
	}
	r.retried = true
	r.tried = nil
	sim.after(sim.policy.ReturnAfter(sim.random.Float64()), func() { sim.dispatch(r) })
}

// receive processes, queues or refuses a request that has reached its target.
func (sim *simulation) receive(r *request, t *target) {
	sim.recordArrival(r, t)
	switch {
	case r.ended:
	case t.removed:
		sim.respond(r, t, false)
	case t.running < sim.Slots:
		sim.process(r, t)
	case len(t.waiting) < sim.MaxQueued:
		t.waiting = append(t.waiting, r)
	default:
		sim.respond(r, t, false)
	}
}

func (sim *simulation) process(r *request, t *target) {
	t.running++
	r.running = true
	processing := sim.processingTime(r, t) * (1 + maxProcessingDeviation*(2*sim.random.Float64()-1))
	if t.useObject(r.object, sim.CacheSize) {
		processing *= 1 - sim.CacheHitSavings
		sim.count(r, &sim.result.CacheHits)
	}
	elapsed := sim.now.Sub(startTime)
	if t.mayBeSlow && elapsed >= sim.SlowFrom && elapsed < sim.SlowUntil {
		processing *= sim.SlowFactor
	}
	sim.count(r, &sim.result.Processed)
	sim.after(time.Duration(processing), func() {
		if !r.running {
			return
		}
		r.running = false
		sim.release(t)
		sim.respond(r, t, true)
	})
}

// release frees a slot of a target for the next waiting request.
func (sim *simulation) release(t *target) {
	t.running--
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		sim.process(next, t)
	}
}

// useObject reports whether the target has cached an object, and caches it as the
// most recently used one. A full cache evicts the least recently used object.
func (t *target) useObject(object string, cacheSize int) bool {
	t.useCount++
	_, ok := t.lastUsed[object]
	t.lastUsed[object] = t.useCount
	if len(t.lastUsed) > cacheSize {
		leastRecent, minUse := "", math.MaxInt
		for o, use := range t.lastUsed {
			if use < minUse {
				leastRecent, minUse = o, use
			}
		}
		delete(t.lastUsed, leastRecent)
	}
	return ok
}

// respond sends a target's response to the instance, with the target's current load.
// If the target did not process the request, the instance tries another target.
func (sim *simulation) respond(r *request, t *target, processed bool) {
	running, waiting, percent := t.running, len(t.waiting), sim.workPercent(t)
	sim.after(sim.latency(r, t), func() {
		if r.ended {
			return
		}
		sim.disconnect(r, t)
		sim.policy.Done(sim.now, r.instance, Response{
			Target: t.name, Processed: processed, Removed: t.removed, Took: sim.now.Sub(r.chosenAt), Running: running, Waiting: waiting,
			Attempt: r.attempt, Route: routeOf(r), WorkPercent: percent,
		})
		if !processed {
			sim.dispatch(r)
			return
		}
		sim.recordResponse(r, t)
	})
}

func (sim *simulation) recordResponse(r *request, t *target) {
	r.ended = true
	if r.region != t.region {
		sim.count(r, &sim.result.CrossRegion)
	}
	sim.recordRegion(r, t)
	latency := sim.now.Sub(r.sentAt)
	window := &sim.windowCounts[int(r.sentAt.Sub(startTime)/WindowLength)]
	window[0]++
	if latency <= sim.objectiveOf(r) {
		sim.count(r, &sim.result.InTime)
		window[1]++
		return
	}
	sim.count(r, &sim.result.Late)
}

func (sim *simulation) summarize() Result {
	for w, c := range sim.windowCounts {
		if c[0] > 0 && time.Duration(w)*WindowLength >= sim.CountFrom {
			sim.result.InTimeRatios = append(sim.result.InTimeRatios, float64(c[1])/float64(c[0]))
		}
	}
	sim.summarizeRegions()
	return sim.result
}
