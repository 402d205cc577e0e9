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
	// ProcessingTime is the mean processing time of a request for an object that the
	// target has not cached. CacheHitSavings is the fraction of this time that is saved
	// if the object is cached.
	ProcessingTime  time.Duration
	CacheHitSavings float64
	// LatencyObjective is the latency up to which a response is in time, Timeout the
	// latency beyond which it has failed. Responses between the two are late.
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
}

// Result counts the outcomes of the callers' requests. Each request has exactly one
// outcome: InTime if it was answered within the latency objective, Late if within the
// timeout, Failed if after it, and Refused if it was refused and its retry too.
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
	targets      []*target
	result       Result
	windowCounts [][2]int
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
}

// request is a request of a caller. sentAt is when the caller sent it first. tried
// holds the targets that it was sent to since the caller sent it last. retried is set
// if the caller sends it for the second time, after a refusal.
type request struct {
	object   string
	region   int
	instance int
	sentAt   time.Time
	tried    []string
	retried  bool
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
	p.Init(sim.topology(), sim.random)
	sim.windowCounts = make([][2]int, int(s.LoadDuration/WindowLength)+1)
	for region := range s.Targets {
		sim.scheduleArrival(region)
	}
	if s.RemovedTargets > 0 {
		sim.at(s.RemovedAt, sim.removeTargets)
	}
	sim.run()
	return sim.summarize()
}

// topology returns the description of the deployment for a policy.
func (sim *simulation) topology() Topology {
	top := Topology{Regions: len(sim.Targets), InstancesPerRegion: sim.InstancesPerRegion, Slots: sim.Slots, InterRegionLatency: sim.InterRegionLatency}
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
			object: fmt.Sprintf("%d-%d", region, sim.random.IntN(sim.ObjectsPerRegion)), region: region,
			instance: region*sim.InstancesPerRegion + sim.random.IntN(sim.InstancesPerRegion), sentAt: sim.now,
		})
		sim.scheduleArrival(region)
	})
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
		name = sim.policy.Choose(sim.now, r.instance, r.object, r.tried)
	}
	if name == "" {
		sim.refuse(r)
		return
	}
	r.tried = append(r.tried, name)
	t := sim.find(name)
	sim.after(sim.latency(r, t), func() { sim.receive(r, t) })
}

func (sim *simulation) find(name string) *target {
	for _, t := range sim.targets {
		if t.name == name {
			return t
		}
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
		sim.result.Refused++
		return
	}
	r.retried = true
	r.tried = nil
	sim.after(minRetryDelay+time.Duration(sim.random.Float64()*float64(retryDelaySpread)), func() { sim.dispatch(r) })
}

// receive processes, queues or refuses a request that has reached its target.
func (sim *simulation) receive(r *request, t *target) {
	switch {
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
	processing := float64(sim.ProcessingTime) * (1 + maxProcessingDeviation*(2*sim.random.Float64()-1))
	if t.useObject(r.object, sim.CacheSize) {
		processing *= 1 - sim.CacheHitSavings
		sim.result.CacheHits++
	}
	sim.result.Processed++
	sim.after(time.Duration(processing), func() {
		t.running--
		sim.respond(r, t, true)
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			sim.process(next, t)
		}
	})
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
	running, waiting := t.running, len(t.waiting)
	sim.after(sim.latency(r, t), func() {
		sim.policy.Done(sim.now, r.instance, Response{Target: t.name, Processed: processed, Removed: t.removed, Running: running, Waiting: waiting})
		if !processed {
			sim.dispatch(r)
			return
		}
		sim.recordResponse(r, t)
	})
}

func (sim *simulation) recordResponse(r *request, t *target) {
	if r.region != t.region {
		sim.result.CrossRegion++
	}
	latency := sim.now.Sub(r.sentAt)
	window := &sim.windowCounts[int(r.sentAt.Sub(startTime)/WindowLength)]
	window[0]++
	switch {
	case latency <= sim.LatencyObjective:
		sim.result.InTime++
		window[1]++
	case latency <= sim.Timeout:
		sim.result.Late++
	default:
		sim.result.Failed++
	}
}

func (sim *simulation) summarize() Result {
	for _, c := range sim.windowCounts {
		if c[0] > 0 {
			sim.result.InTimeRatios = append(sim.result.InTimeRatios, float64(c[1])/float64(c[0]))
		}
	}
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
