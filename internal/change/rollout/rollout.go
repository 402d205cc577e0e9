// Package rollout moves a service's traffic to a new version, or takes it
// back, by what is seen of both versions over the same time.
//
// Every instance counts what its requests meet, per route and version. The
// counters only rise and are exchanged with every heartbeat, so that all
// instances see the same evidence a moment later and decide alike without
// agreement. A rollback is acted on at once, never undone, and spread as a set
// that only grows. A decision is written to the store once.
//
// A version under test gets at most the Table's share until there is enough
// evidence on every route, then a share that grows so as to be whole before
// the deadline. Too little evidence, or too late, is a rollback.
//
// # Usage
//
//	m := rollout.NewManager("uy1-a")
//	m.Configure(now, table)
//	prefer, fallback := m.Choose(now, "recipes")
//	m.Observe(now, "recipe", "recipes-2", failed, took)
//	m.Hear(peer, evidence, outcomes)
//	for _, o := range m.Tick(now) {
//		// Write the outcome o to the store.
//	}
//
// A Manager is not safe for use by more than one goroutine.
package rollout

import (
	_ "embed" // the state chart is part of the program
	"math"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/chart"
)

//go:embed rollout.json
var chartFile []byte

var states = chart.MustParse(chartFile)

// Names of the chart's states.
const (
	StatePlanned    chart.State = "planned"
	StateCanary     chart.State = "canary"
	StateRamp       chart.State = "ramp"
	StateDone       chart.State = "done"
	StateRolledBack chart.State = "rolledback"
)

// Times of a rollout as parts of the time from its start to its deadline.
const (
	rampFrom  = 0.25
	rampUntil = 0.8
	doneAt    = 0.92
	// evidenceBy is when a canary without enough evidence is taken back.
	evidenceBy = 0.6
)

// Evidence that a canary needs before its share grows.
const (
	evidenceLeast = 60
	routeLeast    = 20
	// routePart is the part of the service's requests from which on a route
	// must have been seen.
	routePart = 0.02
	// routeFactor is how often a small route must have been seen, as a part of
	// what evidenceLeast requests bring it on the average.
	routeFactor = 0.5
)

// Manager decides on the rollouts of a Table.
type Manager struct {
	// SlowFactor is how many times the old version's usual time is slow, 0 for
	// the default.
	SlowFactor float64

	instance string
	current  map[string]string
	rollouts map[string]*rollout
	outcomes map[string]lacewingramp.Outcome
	order    []string
}

// rollout is what an instance knows of one rollout.
type rollout struct {
	row        lacewingramp.Rollout
	slowFactor float64

	old      string
	state    chart.State
	reason   string
	rampAt   time.Time
	credit   float64
	routes   map[string]*route
	evidence map[evidenceKey]lacewingramp.Evidence
}

// evidenceKey finds what one instance has seen of one version on one route.
type evidenceKey struct {
	instance string
	route    string
	version  string
}

// NewManager returns the Manager of an instance. The name must differ between
// two lives of an instance.
func NewManager(instance string) *Manager {
	return &Manager{
		instance: instance,
		current:  make(map[string]string),
		rollouts: make(map[string]*rollout),
		outcomes: make(map[string]lacewingramp.Outcome),
	}
}

// id tells a rollout from an earlier one of the same name.
func id(name string, start time.Time) string {
	return name + "@" + start.UTC().Format(time.RFC3339)
}

// Configure takes a Table into force. A service's version is that of its
// first version row until a rollout is done.
func (m *Manager) Configure(t *lacewingramp.Table) {
	m.current = make(map[string]string)
	for _, v := range t.Versions {
		if _, ok := m.current[v.Service]; !ok {
			m.current[v.Service] = v.Name
		}
	}
	rows := append([]lacewingramp.Rollout(nil), t.Rollouts...)
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].Start.Before(rows[j].Start) })
	known := m.rollouts
	m.rollouts = make(map[string]*rollout)
	m.order = m.order[:0]
	for _, row := range rows {
		k := id(row.Name, row.Start)
		r, ok := known[k]
		if !ok {
			r = &rollout{slowFactor: m.SlowFactor, state: states.Initial, routes: make(map[string]*route), evidence: make(map[evidenceKey]lacewingramp.Evidence)}
		}
		r.row = row
		m.rollouts[k] = r
		m.order = append(m.order, k)
	}
	m.settle()
}

// settle applies the outcomes that are known and works out each service's
// version.
func (m *Manager) settle() {
	current := make(map[string]string, len(m.current))
	for s, v := range m.current {
		current[s] = v
	}
	for _, k := range m.order {
		r := m.rollouts[k]
		if o, ok := m.outcomes[k]; ok {
			r.state, r.reason = chart.State(o.State), o.Reason
		}
		r.old = current[r.row.Service]
		if r.state == StateDone {
			current[r.row.Service] = r.row.Version
		}
	}
}

// active returns the rollout of a service that is under way.
func (m *Manager) active(service string) *rollout {
	for _, k := range m.order {
		r := m.rollouts[k]
		if r.row.Service == service && (r.state == StateCanary || r.state == StateRamp) {
			return r
		}
	}
	return nil
}

// version returns the version that a service is on.
func (m *Manager) version(service string) string {
	v := m.current[service]
	for _, k := range m.order {
		if r := m.rollouts[k]; r.row.Service == service && r.state == StateDone {
			v = r.row.Version
		}
	}
	return v
}

// Choose says which version the next request of a service should run on, and
// which it may run on where that has no free slot. Over all instances the
// version under test gets at most its share, as every instance counts down
// from nothing.
func (m *Manager) Choose(now time.Time, service string) (prefer, fallback string) {
	r := m.active(service)
	if r == nil {
		v := m.version(service)
		return v, v
	}
	r.credit += r.share(now)
	if r.credit < 1 {
		return r.old, r.old
	}
	r.credit--
	return r.row.Version, r.old
}

// window is the time from a rollout's start to its deadline.
func (r *rollout) window() time.Duration {
	return r.row.Deadline.Sub(r.row.Start)
}

// at returns the moment when a part of the window has passed.
func (r *rollout) at(part float64) time.Time {
	return r.row.Start.Add(time.Duration(part * float64(r.window())))
}

// share is the part of the service's requests that the new version may get.
func (r *rollout) share(now time.Time) float64 {
	switch r.state {
	case StateCanary:
		return r.row.Share
	case StateRamp:
		return r.rampShare(now)
	default:
		return 0
	}
}

// shareLeast is where a ramp begins if the Table's share is smaller.
const shareLeast = 0.001

func (r *rollout) rampShare(now time.Time) float64 {
	from := r.at(rampFrom)
	if r.rampAt.After(from) {
		from = r.rampAt
	}
	part := now.Sub(from).Seconds() / math.Max(1e-9, r.at(rampUntil).Sub(from).Seconds())
	least := math.Max(shareLeast, r.row.Share)
	return math.Min(1, least*math.Pow(1/least, math.Max(0, part)))
}

// event moves a rollout on, where the chart says so.
func (r *rollout) event(now time.Time, e chart.Event, reason string) bool {
	next, ok := states.Next(r.state, e)
	if !ok {
		return false
	}
	if next == StateRamp {
		r.rampAt = now
	}
	r.state, r.reason = next, reason
	return true
}

// Tick decides on every rollout and returns the outcomes that are new.
func (m *Manager) Tick(now time.Time) []lacewingramp.Outcome {
	var all []lacewingramp.Outcome
	for _, k := range m.order {
		r := m.rollouts[k]
		if states.Final(r.state) {
			continue
		}
		r.judge(now)
		if !states.Final(r.state) {
			continue
		}
		o := lacewingramp.Outcome{
			Rollout: r.row.Name, Start: r.row.Start, State: string(r.state), Reason: r.reason, Moment: now,
		}
		m.outcomes[k] = o
		all = append(all, o)
	}
	if len(all) > 0 {
		m.settle()
	}
	return all
}

func (r *rollout) judge(now time.Time) {
	if r.row.Cancelled {
		r.event(now, "cancel", "cancelled by an operator")
		return
	}
	if r.state == StatePlanned && !now.Before(r.row.Start) {
		r.event(now, "start", "")
	}
	if reason, bad := r.fault(); bad {
		r.event(now, "fault", reason)
		return
	}
	switch {
	case !now.Before(r.row.Deadline):
		r.event(now, "late", "not done by its deadline")
	case r.state == StateCanary && r.enough():
		r.event(now, "evidence", "")
	case r.state == StateCanary && !now.Before(r.at(evidenceBy)):
		r.event(now, "late", "too little evidence")
	case r.state == StateRamp && !now.Before(r.at(doneAt)) && r.rampShare(now) >= 1:
		r.event(now, "full", "")
	}
}

// Resume takes a rollout on from its ramp, which began at rampAt as other
// instances have seen enough of the new version. It changes nothing in any
// state but those before the ramp.
func (m *Manager) Resume(name string, start, rampAt time.Time) {
	r, ok := m.rollouts[id(name, start)]
	if !ok || (r.state != StatePlanned && r.state != StateCanary) {
		return
	}
	r.event(rampAt, "start", "")
	r.event(rampAt, "evidence", "")
}

// Outcomes lists every decision that is known, for the next heartbeat.
func (m *Manager) Outcomes() []lacewingramp.Outcome {
	var all []lacewingramp.Outcome
	for _, k := range m.order {
		if o, ok := m.outcomes[k]; ok {
			all = append(all, o)
		}
	}
	return all
}

// Decide takes in a decision of another instance or of the store. A rollback
// goes before anything else, and the first decision otherwise stands.
func (m *Manager) Decide(o lacewingramp.Outcome) {
	k := id(o.Rollout, o.Start)
	if old, ok := m.outcomes[k]; ok && (old.State == o.State || o.State != string(StateRolledBack)) {
		return
	}
	m.outcomes[k] = o
	m.settle()
}

// Status is what operators read of a rollout.
type Status struct {
	Rollout string      `json:"rollout"`
	Service string      `json:"service"`
	Version string      `json:"version"`
	State   chart.State `json:"state"`
	Share   float64     `json:"share"`
	Reason  string      `json:"reason,omitempty"`
	Seen    int64       `json:"seen"`
	// RampAt is when the new version had passed its first test.
	RampAt time.Time `json:"-"`
}

// Statuses lists the rollouts in order of their start.
func (m *Manager) Statuses(now time.Time) []Status {
	var all []Status
	for _, k := range m.order {
		r := m.rollouts[k]
		s := Status{
			Rollout: r.row.Name, Service: r.row.Service, Version: r.row.Version,
			State: r.state, Share: r.share(now), Reason: r.reason, RampAt: r.rampAt,
		}
		if r.state == StateDone {
			s.Share = 1
		}
		for key, e := range r.evidence {
			if key.version == r.row.Version {
				s.Seen += e.Count
			}
		}
		all = append(all, s)
	}
	return all
}
