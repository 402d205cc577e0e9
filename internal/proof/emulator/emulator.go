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

// Scenario describes a deployment and its load. Slots is the maximum number of
// requests that a target processes concurrently, MaxQueued the maximum number that
// wait there. Callers send requests for LoadDuration. The simulation then continues
// until all of them have ended.
type Scenario struct {
	Name        string
	Description string
	// Targets is the number of targets in each region.
	Targets []int
	// InstancesPerRegion is the same for all regions.
	InstancesPerRegion int
	Slots              int
	MaxQueued          int
	// CacheSize is the number of objects that a target caches.
	CacheSize int
	// ObjectsPerRegion is the number of objects that a region's callers request.
	ObjectsPerRegion int
	// RequestRate is the number of requests a second from each region's callers.
	RequestRate float64
	// BoundFractions holds, for each region, the fraction of all requests that only its
	// targets may serve. It may be shorter than Targets.
	BoundFractions []float64
	// ProcessingTime is the mean processing time of a request for an object that the
	// target has not cached. CacheHitSavings is the fraction of this time that is saved
	// if the object is cached.
	ProcessingTime  time.Duration
	CacheHitSavings float64
	// LatencyObjective is the latency up to which a response is in time. Timeout is the
	// latency at which an instance cancels a request, which has then failed. Responses
	// between the two are late. A target drops a request that is cancelled.
	LatencyObjective time.Duration
	Timeout          time.Duration
	// InterRegionLatency is the one-way network latency between two regions.
	InterRegionLatency time.Duration
	LoadDuration       time.Duration
	// During an outage, from OutageFrom until OutageUntil, no instance accepts
	// requests. There is no outage if OutageUntil is 0.
	OutageFrom  time.Duration
	OutageUntil time.Duration
	// RemovedTargets is the number of targets that stop permanently at RemovedAt.
	RemovedTargets int
	RemovedAt      time.Duration
	// SlowTargets is the number of targets, spread over all regions, that process a request
	// SlowFactor times as long from SlowFrom until SlowUntil.
	SlowTargets int
	SlowFactor  float64
	SlowFrom    time.Duration
	SlowUntil   time.Duration

	// Kinds replaces ObjectsPerRegion, RequestRate, ProcessingTime, LatencyObjective and Timeout
	// if it is not empty. CallerFractions holds the fraction of the requests from each region. Their rates rise
	// and fall in turn by the fraction WaveAmplitude, unless WavePeriod is 0, and fall to the fraction
	// LoadDropTo at LoadDropAt, unless that is 0.
	// Only the requests that callers send from CountFrom on are counted, as no target has cached an object at first.
	Kinds           []Kind
	CountFrom       time.Duration
	CallerFractions []float64
	WavePeriod      time.Duration
	WaveAmplitude   float64
	LoadDropAt      time.Duration
	LoadDropTo      float64
	Noise           Noise
}

// Result counts the outcomes of the callers' requests. Each request has exactly one
// outcome: InTime if it was answered within the latency objective, Late if within the
// timeout, Failed if it was cancelled then, and Refused if it was refused and its retry too.
type Result struct {
	Requests int
	InTime   int
	Late     int
	Refused  int
	Failed   int
	// CrossRegion is the number of requests that a target in another region answered.
	CrossRegion int
	// CacheHits is the number of requests whose target had cached their object.
	// Processed is the number of all requests that a target processed.
	CacheHits int
	Processed int
	// InTimeRatios has an element for each window of 2 s (WindowLength): of the
	// answered requests that were sent in the window, the fraction that was answered
	// in time. Windows without answered requests are left out.
	InTimeRatios []float64
	// MaxRegionShift is the largest change, from one window to the next, of the fraction of a
	// region's answered requests that each region answered, for scenarios with several kinds.
	MaxRegionShift float64
}

// WindowLength is the length of the windows of Result.InTimeRatios.
const WindowLength = 2 * time.Second

const (
	sameRegionLatency = 200 * time.Microsecond
	// maxProcessingDeviation is the maximum deviation of a request's processing time
	// from the mean, in both directions, as a fraction of the mean.
	maxProcessingDeviation = 0.15
	// maxAttempts is the maximum number of targets that an instance sends a request to
	// before it refuses the request.
	maxAttempts = 2
	// A caller whose request was refused retries after minRetryDelay plus a random
	// fraction of retryDelaySpread.
	minRetryDelay    = 150 * time.Millisecond
	retryDelaySpread = 350 * time.Millisecond
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
	sim.after(sim.latency(r, t), func() { sim.receive(r, t) })
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
	sim.after(minRetryDelay+time.Duration(sim.random.Float64()*float64(retryDelaySpread)), func() { sim.dispatch(r) })
}

// receive processes, queues or refuses a request that has reached its target.
func (sim *simulation) receive(r *request, t *target) {
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

// event is a call of f at a point in virtual time.
type event struct {
	at       time.Time
	sequence int
	f        func()
}

// events is a heap of events ordered by time. Events at the same time are ordered by
// sequence, the order in which they were scheduled.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

// Pop removes the last element, as heap.Interface requires.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
