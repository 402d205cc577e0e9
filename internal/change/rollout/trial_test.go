package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lacewingramp.example/lacewingramp"
)

var start = time.Unix(1_800_000_000, 0)

// behaviour is how a version answers: failures and times as functions of the
// time since the rollout's start and of the version's share of traffic.
type behaviour struct {
	name string
	bad  bool
	fail func(route int, at, share float64) float64
	slow func(route int, at, share float64) float64
}

func zero(int, float64, float64) float64 { return 0 }

func one(int, float64, float64) float64 { return 1 }

// behaviours are good versions and every kind of bad one.
func behaviours(r *rand.Rand) []behaviour {
	p := 0.15 + 0.85*r.Float64()
	times := 2.5 + 3*r.Float64()
	later := 0.1 + 0.6*r.Float64()
	route := r.IntN(3)
	return []behaviour{
		{name: "good", fail: zero, slow: one},
		{name: "good, a little slower", fail: zero, slow: func(int, float64, float64) float64 { return 1.1 }},
		{name: "good, cold at first", fail: zero, slow: func(_ int, at, _ float64) float64 { return 1 + 4*math.Exp(-at*200) }},
		{name: "fails at once", bad: true, fail: func(int, float64, float64) float64 { return p }, slow: one},
		{name: "fails later", bad: true, fail: func(_ int, at, _ float64) float64 { return step(at > later, p) }, slow: one},
		{name: "fails under load", bad: true, fail: func(_ int, _, share float64) float64 { return step(share > 0.3, p) }, slow: one},
		{name: "fails on one route", bad: true, fail: func(n int, _, _ float64) float64 { return step(n == route, p) }, slow: one},
		{name: "slow at once", bad: true, fail: zero, slow: func(int, float64, float64) float64 { return times }},
		{name: "slow later", bad: true, fail: zero, slow: func(_ int, at, _ float64) float64 { return 1 + step(at > later, times-1) }},
		{name: "slow on one route", bad: true, fail: zero, slow: func(n int, _, _ float64) float64 { return 1 + step(n == route, times-1) }},
	}
}

func step(on bool, v float64) float64 {
	if on {
		return v
	}
	return 0
}

// experiment is one rollout on a small fleet with exchange of evidence.
type experiment struct {
	random    *rand.Rand
	managers  []*Manager
	behaviour behaviour
	rate      float64
	window    time.Duration
	share     float64
	cut       int
	total     int64
	fresh     int64
	faults    int64
	after     int64
	decided   time.Time
	worst     float64
}

const (
	service   = "recipes"
	baseFail  = 0.003
	baseTime  = 0.02
	spread    = 0.35
	routes    = 3
	expStep   = 100 * time.Millisecond
	expBeat   = 500 * time.Millisecond
	instances = 8
)

func newExperiment(seed uint64, b behaviour, rate float64, window time.Duration) *experiment {
	x := &experiment{
		random: rand.New(rand.NewPCG(seed, 7)), behaviour: b, rate: rate, window: window, share: 0.05, cut: -1,
	}
	for i := range instances {
		m := NewManager(fmt.Sprintf("i%d", i))
		m.Configure(x.table())
		x.managers = append(x.managers, m)
	}
	return x
}

func (x *experiment) table() *lacewingramp.Table {
	return &lacewingramp.Table{
		Versions: []lacewingramp.Version{{Name: "v1", Service: service}, {Name: "v2", Service: service}},
		Rollouts: []lacewingramp.Rollout{{
			Name: "move", Service: service, Version: "v2", Share: x.share, Start: start, Deadline: start.Add(x.window),
		}},
	}
}

// run plays the rollout to its deadline and returns the state it ended in at
// every instance.
func (x *experiment) run() []string {
	for now := start; now.Before(start.Add(x.window + time.Second)); now = now.Add(expStep) {
		for _, m := range x.managers {
			for range x.poisson(x.rate / instances * expStep.Seconds()) {
				x.request(now, m)
			}
			for _, o := range m.Tick(now) {
				if x.decided.IsZero() && o.State == string(StateRolledBack) {
					x.decided = now
				}
			}
		}
		if now.Sub(start)%expBeat == 0 {
			x.exchange()
		}
	}
	var ends []string
	for _, m := range x.managers {
		ends = append(ends, string(m.Statuses(start.Add(x.window))[0].State))
	}
	return ends
}

func (x *experiment) exchange() {
	for i, from := range x.managers {
		for j, to := range x.managers {
			if i != j && i != x.cut && j != x.cut {
				to.Hear(from.Evidence(), from.Outcomes())
			}
		}
	}
}

func (x *experiment) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := x.random.Float64(); u > p; n++ {
		u *= x.random.Float64()
	}
	return n
}

func (x *experiment) request(now time.Time, m *Manager) {
	n := x.random.IntN(routes)
	version, _ := m.Choose(now, service)
	x.total++
	at := now.Sub(start).Seconds() / x.window.Seconds()
	fail, times := baseFail, 1.0
	if version == "v2" {
		x.fresh++
		share := 1.0
		if r := m.active(service); r != nil {
			share = r.share(now)
		}
		f, s := x.behaviour.fail(n, at, share), x.behaviour.slow(n, at, share)
		fail, times = fail+f, s
		if f > 0 || s > 2 {
			x.faults++
		}
		if !x.decided.IsZero() && now.Sub(x.decided) > expBeat {
			x.after++
		}
	}
	if x.decided.IsZero() && x.total > 400 {
		x.worst = math.Max(x.worst, float64(x.faults)/float64(x.total))
	}
	took := baseTime * times * math.Exp(spread*x.random.NormFloat64())
	m.Observe(fmt.Sprintf("r%d", n), service, version, x.random.Float64() < fail, time.Duration(took*float64(time.Second)))
}

func all(ends []string, state string) bool {
	for _, e := range ends {
		if e != state {
			return false
		}
	}
	return true
}
