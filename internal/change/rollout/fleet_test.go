package rollout

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingramp.example/lacewingramp"
)

// fleet simulates one rollout by event: instances in regions that send requests for objects
// to targets of the old and the new version. A target has slots and a queue, and handles a
// request faster for an object that it has handled before. Instances exchange their stats
// with a delay. Attempts end unfinished at the request's deadline.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	managers []*Manager
	targets  map[string][]*fleetTarget
	events   fleetEvents
	scenario fleetScenario

	// sent counts the requests sent since the start of the rollout, by version.
	sent           map[string]int64
	sentAtDecision map[string]int64
	decidedAt      time.Duration
	decided        string
	// record is the outcome that was first written to the store, nil for none.
	record *lacewingramp.RolloutOutcome

	sequence   int
	routeNames []string
}

// fleetScenario describes a rollout and its load. factor returns how many times longer than
// usual a target takes for a request, and failed whether its response is a failure.
type fleetScenario struct {
	// rate is in requests a second of the service, orderedAt when the rollout starts
	// after the start of traffic.
	rate      float64
	orderedAt time.Duration
	factor    func(f *fleet, t *fleetTarget) float64
	failed    func(f *fleet, t *fleetTarget) bool
}

// fleetTarget is a target of a fleet. busyUntil holds, for each slot, when it is free.
type fleetTarget struct {
	name      string
	version   string
	region    int
	busyUntil []time.Duration
	handled   map[string]bool
}

const (
	oldVersion = "v1"
	newVersion = "v2"

	fleetRegions       = 3
	fleetTargets       = 12
	fleetSlots         = 3
	fleetObjects       = 39
	fleetShare         = 0.1
	fleetWindow        = 14 * time.Second
	fleetDeadline      = time.Second
	fleetWork          = 240 * time.Millisecond
	fleetRepeatedWork  = 72 * time.Millisecond
	fleetSpread        = 0.15
	fleetRegionLatency = 70 * time.Millisecond
	fleetExchange      = 250 * time.Millisecond
	// fleetSlack is how many requests a bad version may get beyond its share.
	fleetSlack = 50
)

// fleetEvent is a call at a simulated time.
type fleetEvent struct {
	at       time.Duration
	sequence int
	call     func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int { return len(e) }
func (e fleetEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)   { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(seed uint64, s fleetScenario) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 11)), scenario: s, targets: make(map[string][]*fleetTarget), sent: make(map[string]int64),
		routeNames: []string{"read", "read", "read", "read", "list"},
	}
	for _, version := range []string{oldVersion, newVersion} {
		for i := range fleetTargets {
			f.targets[version] = append(f.targets[version], &fleetTarget{
				name: fmt.Sprint(version, "-", i), version: version, region: i % fleetRegions,
				busyUntil: make([]time.Duration, fleetSlots), handled: make(map[string]bool),
			})
		}
	}
	for i := range instances {
		m := NewManager(fmt.Sprint("i", i))
		m.Configure(f.table())
		f.managers = append(f.managers, m)
	}
	return f
}

func (f *fleet) table() *lacewingramp.Table {
	begin := start.Add(f.scenario.orderedAt)
	return &lacewingramp.Table{
		Versions: []lacewingramp.Version{{Name: oldVersion, Service: service}, {Name: newVersion, Service: service}},
		Rollouts: []lacewingramp.Rollout{{
			Name: "move", Service: service, Version: newVersion, CanaryFraction: fleetShare, Start: begin, Deadline: begin.Add(fleetWindow),
		}},
	}
}

// at schedules a call.
func (f *fleet) at(t time.Duration, call func()) {
	f.sequence++
	heap.Push(&f.events, fleetEvent{at: t, sequence: f.sequence, call: call})
}

// run plays the rollout to its deadline and returns the state that all instances have, or
// "mixed".
func (f *fleet) run() string {
	end := f.scenario.orderedAt + fleetWindow + fleetExchange
	f.at(0, f.arrive)
	for i := range f.managers {
		f.at(time.Duration(i)*fleetExchange/instances, func() { f.tick(i) })
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(fleetEvent)
		if e.at > end {
			break
		}
		f.now = e.at
		e.call()
	}
	state := string(f.managers[0].Statuses(f.time())[0].State)
	for _, m := range f.managers {
		if string(m.Statuses(f.time())[0].State) != state {
			return "mixed"
		}
	}
	return state
}

func (f *fleet) time() time.Time {
	return start.Add(f.now)
}

// window returns the fraction of the rollout's time that has passed.
func (f *fleet) window() float64 {
	return (f.now - f.scenario.orderedAt).Seconds() / fleetWindow.Seconds()
}

// tick evaluates the rollout at an instance and sends its stats to the others, which have
// them one exchange later at the latest.
func (f *fleet) tick(i int) {
	m := f.managers[i]
	for _, o := range m.Tick(f.time(), f.time()) {
		f.write(o)
		if f.decided != string(StateRolledBack) {
			f.decided, f.decidedAt = o.State, f.now
			f.sentAtDecision = maps.Clone(f.sent)
		}
	}
	reports, outcomes := m.RolloutStats(), m.Outcomes(f.time())
	f.at(f.now+fleetRegionLatency/2, func() {
		for j, other := range f.managers {
			if j != i {
				other.Record(reports, outcomes)
			}
		}
	})
	f.at(f.now+fleetExchange, func() { f.tick(i) })
}

// write writes an outcome to the store, which tells all instances.
func (f *fleet) write(o lacewingramp.RolloutOutcome) {
	if f.record != nil {
		return
	}
	f.record = &o
	f.at(f.now+fleetRegionLatency, func() {
		for _, m := range f.managers {
			m.ApplyRecord(o)
		}
	})
}

// arrive sends one request from a random instance and schedules the next one.
func (f *fleet) arrive() {
	i := f.random.IntN(instances)
	object := fmt.Sprint("o", f.random.IntN(fleetObjects))
	prefer, fallback := f.managers[i].Choose(f.time(), service, object)
	key := object
	if f.managers[i].Concentrates(f.time(), service) && prefer == newVersion {
		key = "rollout"
	}
	t := f.place(i%fleetRegions, prefer, key)
	if t == nil {
		t = f.place(i%fleetRegions, fallback, object)
	}
	if t != nil {
		f.send(i, t, f.routeNames[f.random.IntN(len(f.routeNames))], object)
	}
	f.at(f.now+time.Duration(f.random.ExpFloat64()/f.scenario.rate*float64(time.Second)), f.arrive)
}

// place returns the first of an object's two targets of a version that has a free slot or a
// short queue, or nil. The order of targets is the same for all instances of a region.
func (f *fleet) place(region int, version, object string) *fleetTarget {
	ranked := slices.Clone(f.targets[version])
	score := func(t *fleetTarget) float64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(t.name + "/" + object))
		s := -1 / math.Log((float64(mixBits(h.Sum64())>>11)+0.5)/(1<<53))
		if t.region == region {
			s *= 4
		}
		return s
	}
	slices.SortFunc(ranked, func(a, b *fleetTarget) int { return -compareFloats(score(a), score(b)) })
	for _, t := range ranked[:2] {
		if f.wait(t) < fleetWork {
			return t
		}
	}
	return nil
}

func mixBits(h uint64) uint64 {
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>29
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// wait returns how long a request would wait for a slot of a target.
func (f *fleet) wait(t *fleetTarget) time.Duration {
	return max(0, slices.Min(t.busyUntil)-f.now)
}

// send lets a target run a request and passes the result to the instance.
func (f *fleet) send(i int, t *fleetTarget, routeName, object string) {
	if f.now >= f.scenario.orderedAt {
		f.sent[t.version]++
	}
	f.managers[i].RecordSent(f.time(), service, t.version)
	work := fleetWork
	if t.handled[object] {
		work = fleetRepeatedWork
	}
	t.handled[object] = true
	factor := f.scenario.factor(f, t)
	took := time.Duration(float64(work) * factor * math.Exp(fleetSpread*f.random.NormFloat64()))
	failed := f.scenario.failed(f, t)
	running := 1
	for _, until := range t.busyUntil {
		if until > f.now {
			running++
		}
	}
	load := float64(running)/fleetSlots + f.wait(t).Seconds()/fleetRepeatedWork.Seconds()
	slot := slices.Index(t.busyUntil, slices.Min(t.busyUntil))
	done := max(f.now, t.busyUntil[slot]) + took
	t.busyUntil[slot] = min(done, f.now+fleetDeadline)
	latency := time.Duration(0)
	if t.region != i%fleetRegions {
		latency = fleetRegionLatency
	}
	result := lacewingramp.AttemptResult{
		Route: routeName, Service: service, Version: t.version, Target: t.name, Region: fmt.Sprint("r", t.region), Object: object,
		Load: load, Failed: failed, Took: done - f.now + latency,
	}
	if result.Took >= fleetDeadline {
		result.Took, result.Failed, result.Unfinished = fleetDeadline, false, true
	}
	f.at(f.now+result.Took, func() {
		result.EndedAt = f.time()
		f.managers[i].Observe(result)
	})
}

// allowed returns how many requests a bad version may get.
func (f *fleet) allowed() int64 {
	return int64(fleetShare*float64(f.sent[oldVersion]+f.sent[newVersion])) + fleetSlack
}
