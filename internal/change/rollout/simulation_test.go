package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lacewingramp.example/lacewingramp"
)

var start = time.Unix(1_800_000_000, 0)

// behaviour describes how a new version responds. failureRate is its additional
// failure rate and timeFactor multiplies its response times. Both are functions of the
// route, of progress, the fraction of the rollout's window that has passed, and of the
// version's share of the requests.
type behaviour struct {
	name        string
	bad         bool
	failureRate func(route int, progress, share float64) float64
	timeFactor  func(route int, progress, share float64) float64
}

func noFailures(int, float64, float64) float64 { return 0 }

func normalTime(int, float64, float64) float64 { return 1 }

// behaviours returns good versions and every kind of bad one, with random rates,
// factors and times of onset.
func behaviours(r *rand.Rand) []behaviour {
	rate := 0.15 + 0.85*r.Float64()
	factor := 2.5 + 3*r.Float64()
	onset := 0.1 + 0.6*r.Float64()
	route := r.IntN(3)
	return []behaviour{
		{name: "good", failureRate: noFailures, timeFactor: normalTime},
		{name: "good, a little slower", failureRate: noFailures, timeFactor: func(int, float64, float64) float64 { return 1.1 }},
		{name: "good, cold at first", failureRate: noFailures, timeFactor: func(_ int, progress, _ float64) float64 { return 1 + 4*math.Exp(-progress*200) }},
		{name: "fails at once", bad: true, failureRate: func(int, float64, float64) float64 { return rate }, timeFactor: normalTime},
		{name: "fails later", bad: true, failureRate: func(_ int, progress, _ float64) float64 { return valueIf(progress > onset, rate) }, timeFactor: normalTime},
		{name: "fails under load", bad: true, failureRate: func(_ int, _, share float64) float64 { return valueIf(share > 0.3, rate) }, timeFactor: normalTime},
		{name: "fails on one route", bad: true, failureRate: func(n int, _, _ float64) float64 { return valueIf(n == route, rate) }, timeFactor: normalTime},
		{name: "slow at once", bad: true, failureRate: noFailures, timeFactor: func(int, float64, float64) float64 { return factor }},
		{name: "slow later", bad: true, failureRate: noFailures, timeFactor: func(_ int, progress, _ float64) float64 { return 1 + valueIf(progress > onset, factor-1) }},
		{name: "slow on one route", bad: true, failureRate: noFailures, timeFactor: func(n int, _, _ float64) float64 { return 1 + valueIf(n == route, factor-1) }},
	}
}

func valueIf(condition bool, v float64) float64 {
	if condition {
		return v
	}
	return 0
}

// simulation is one rollout on a small fleet whose instances exchange their stats.
// rate is in requests a second, isolated is the index of an instance that takes no
// part in the exchange, or -1, and lateRequests counts requests on the new version
// that were started after a rollback should have reached every instance.
type simulation struct {
	random         *rand.Rand
	managers       []*Manager
	behaviour      behaviour
	rate           float64
	window         time.Duration
	share          float64
	isolated       int
	requests       int64
	newRequests    int64
	faultyRequests int64
	lateRequests   int64
	rolledBackAt   time.Time
	// record is the outcome that was first written to the store, nil for none.
	record         *lacewingramp.RolloutOutcome
	maxFaultyShare float64
}

const (
	service         = "recipes"
	baseFailureRate = 0.003
	baseTime        = 0.02
	timeSpread      = 0.35
	routes          = 3
	simulationStep  = 100 * time.Millisecond
	exchangePeriod  = 500 * time.Millisecond
	instances       = 8
	targets         = 4
)

func newSimulation(seed uint64, b behaviour, rate float64, window time.Duration) *simulation {
	x := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), behaviour: b, rate: rate, window: window, share: 0.05, isolated: -1,
	}
	for i := range instances {
		m := NewManager(fmt.Sprintf("i%d", i))
		m.Configure(x.table())
		x.managers = append(x.managers, m)
	}
	return x
}

func (x *simulation) table() *lacewingramp.Table {
	return &lacewingramp.Table{
		Versions: []lacewingramp.Version{{Name: "v1", Service: service}, {Name: "v2", Service: service}},
		Rollouts: []lacewingramp.Rollout{{
			Name: "move", Service: service, Version: "v2", CanaryFraction: x.share, Start: start, Deadline: start.Add(x.window),
		}},
	}
}

// run simulates the rollout up to its deadline and returns the state that it ended
// in at each instance.
func (x *simulation) run() []string {
	for now := start; now.Before(start.Add(x.window + time.Second)); now = now.Add(simulationStep) {
		for i, m := range x.managers {
			for range x.poisson(x.rate / instances * simulationStep.Seconds()) {
				x.request(now, m)
			}
			x.tick(now, i, m)
		}
		if now.Sub(start)%exchangePeriod == 0 {
			x.exchange(now)
		}
	}
	var states []string
	for _, m := range x.managers {
		states = append(states, string(m.Statuses(start.Add(x.window))[0].State))
	}
	return states
}

// tick evaluates the rollout at an instance, which reads and writes the store unless it is
// isolated.
func (x *simulation) tick(now time.Time, i int, m *Manager) {
	recordsAt := now
	if i == x.isolated {
		recordsAt = time.Time{}
	}
	for _, o := range m.Tick(now, recordsAt) {
		if x.rolledBackAt.IsZero() && o.State == string(StateRolledBack) {
			x.rolledBackAt = now
		}
		if x.record == nil && i != x.isolated {
			x.record = &o
		}
	}
	if x.record != nil && i != x.isolated {
		m.ApplyRecord(*x.record)
	}
}

func (x *simulation) exchange(now time.Time) {
	for i, from := range x.managers {
		for j, to := range x.managers {
			if i != j && i != x.isolated && j != x.isolated {
				to.Record(from.RolloutStats(), from.Outcomes(now))
			}
		}
	}
}

func (x *simulation) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := x.random.Float64(); u > p; n++ {
		u *= x.random.Float64()
	}
	return n
}

func (x *simulation) request(now time.Time, m *Manager) {
	n := x.random.IntN(routes)
	version, _ := m.Choose(now, service, "")
	m.RecordSent(now, service, version)
	x.requests++
	progress := now.Sub(start).Seconds() / x.window.Seconds()
	failureRate, factor := baseFailureRate, 1.0
	if version == "v2" {
		x.newRequests++
		share := 1.0
		if r := m.active(service); r != nil {
			share = r.share(now)
		}
		f, s := x.behaviour.failureRate(n, progress, share), x.behaviour.timeFactor(n, progress, share)
		failureRate, factor = failureRate+f, s
		if f > 0 || s > 2 {
			x.faultyRequests++
		}
		if !x.rolledBackAt.IsZero() && now.Sub(x.rolledBackAt) > exchangePeriod {
			x.lateRequests++
		}
	}
	if x.rolledBackAt.IsZero() && x.requests > 400 {
		x.maxFaultyShare = math.Max(x.maxFaultyShare, float64(x.faultyRequests)/float64(x.requests))
	}
	took := baseTime * factor * math.Exp(timeSpread*x.random.NormFloat64())
	m.Observe(lacewingramp.AttemptResult{
		Route: fmt.Sprintf("r%d", n), Service: service, Version: version, Target: fmt.Sprint(version, "-", x.random.IntN(targets)),
		Failed: x.random.Float64() < failureRate, EndedAt: now, Took: time.Duration(took * float64(time.Second)),
	})
}

func allIn(states []string, state string) bool {
	for _, e := range states {
		if e != state {
			return false
		}
	}
	return true
}
