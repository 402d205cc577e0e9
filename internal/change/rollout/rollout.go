// Package rollout moves a service's traffic to a new version, or rolls it back if
// the new version does worse than the old one over the same time.
//
// Every instance counts requests, failures and slow responses per route and version.
// The counts only rise and are exchanged with every heartbeat, so that all
// instances soon have the same counts and mostly reach the same decision. What counts is
// the record: the outcome that was first written to the store. It replaces whatever an
// instance has decided. Until an instance knows of a record, its rollback is in force for
// itself, and "done" is only a proposal: see outcome.go.
//
// The evidence is the failures and slow responses of both versions over the same time. A
// response is compared with those of the old version to like requests: see latency.go. It
// counts by groups of targets, as a version is faulty on all its targets and not on a few.
// An attempt that ended without a response counts as slow once it took longer than a slow
// response.
//
// Until the rollout is done, the new version gets at most the share of the requests that
// the Table sets: see share.go. A rollout whose new version runs too few requests for too
// long, or that is not done by its deadline, is rolled back.
//
// # Usage
//
//	m := rollout.NewManager("uy1-a")
//	m.Configure(table)
//	prefer, fallback := m.Choose(now, "recipes", "object-17")
//	m.RecordSent(now, "recipes", "recipes-2")
//	m.Observe(lacewingramp.AttemptResult{Route: "recipe", Service: "recipes", Version: "recipes-2", Took: took, EndedAt: now})
//	m.Record(stats, outcomes)
//	for _, o := range m.Tick(now, recordsAt) {
//		// Write the outcome o to the store, unless that has one, and apply what it has then:
//		m.ApplyRecord(recorded)
//	}
//
// A Manager is not safe for concurrent use.
package rollout

import (
	_ "embed" // the state chart is part of the program
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/chart"
)

//go:embed rollout.json
var chartFile []byte

var stateChart = chart.MustParse(chartFile)

// The states of a rollout, as named in rollout.json.
const (
	StatePlanned    chart.State = "planned"
	StateCanary     chart.State = "canary"
	StateRamp       chart.State = "ramp"
	StateDone       chart.State = lacewingramp.StatusDone
	StateRolledBack chart.State = lacewingramp.StatusRolledBack
)

const (
	// evidenceDelay is how long after its start, or after a cut, an instance may not have the
	// others' evidence yet.
	evidenceDelay = 2 * time.Second
	// maxRecordsAge is the maximum time for which an instance that is not cut off may not know
	// the outcomes in the store.
	maxRecordsAge = 2 * time.Second
)

// Manager carries out the rollouts of a Table at one instance. versions maps each
// service to its version before any rollout. rollouts and outcomes are keyed by
// rolloutID, and order lists the keys of rollouts by start.
type Manager struct {
	instance string
	versions map[string]string
	rollouts map[string]*rollout
	outcomes map[string]lacewingramp.RolloutOutcome
	order    []string
	// firstTick is when this instance began to evaluate rollouts, and inTouchSince since when it
	// has known the outcomes in the store at every tick.
	firstTick    time.Time
	inTouchSince time.Time
}

// rollout is the state of one rollout at this instance. row is its row in the Table,
// and old the version that the service had before it. start and deadline are those of the row
// by this instance's clock. rampStarted is when it left the canary state for the ramp state,
// or zero. all and routes are the evidence of all instances,
// together and by route, and evaluatedAt when it was last evaluated. statsByKey holds the
// latest stats of each instance.
type rollout struct {
	row         lacewingramp.Rollout
	old         string
	start       time.Time
	deadline    time.Time
	state       chart.State
	reason      string
	rampStarted time.Time
	pace        pace
	latencies   latencies
	// oldLoad is the moving average of the load of the old version's targets.
	oldLoad     float64
	all         route
	routes      map[string]*route
	evaluatedAt time.Time
	// inDoubt is set after the canary's time if only few responses could be compared and too
	// many of them were slow.
	inDoubt    bool
	statsByKey map[statsKey]lacewingramp.RolloutStats
	// unfinished counts this instance's attempts that ended without a response, by
	// version.
	unfinished map[string]int64
}

// statsKey identifies the RolloutStats of one instance for one version and route.
type statsKey struct {
	instance string
	route    string
	version  string
}

// NewManager returns the Manager of an instance. The name must be a new one each
// time the instance is started, as counts start again from 0.
func NewManager(instance string) *Manager {
	return &Manager{
		instance: instance,
		versions: make(map[string]string),
		rollouts: make(map[string]*rollout),
		outcomes: make(map[string]lacewingramp.RolloutOutcome),
	}
}

// rolloutID returns the id of a rollout, which differs from that of an earlier
// rollout of the same name.
func rolloutID(name string, start time.Time) string {
	return name + "@" + start.UTC().Format(time.RFC3339)
}

// Configure replaces the rollouts by those of a Table and keeps the state of those
// that it has already. A service is on the version of its first Version row until
// a rollout is done.
func (m *Manager) Configure(t *lacewingramp.Table) {
	m.versions = make(map[string]string)
	for _, v := range t.Versions {
		if _, ok := m.versions[v.Service]; !ok {
			m.versions[v.Service] = v.Name
		}
	}
	rows := append([]lacewingramp.Rollout(nil), t.Rollouts...)
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].Start.Before(rows[j].Start) })
	known := m.rollouts
	m.rollouts = make(map[string]*rollout)
	m.order = m.order[:0]
	for _, row := range rows {
		k := rolloutID(row.Name, row.Start)
		r, ok := known[k]
		if !ok {
			r = &rollout{
				state: stateChart.Initial, start: row.Start, routes: make(map[string]*route),
				statsByKey: make(map[statsKey]lacewingramp.RolloutStats), unfinished: make(map[string]int64),
			}
		}
		r.row = row
		r.deadline = r.start.Add(r.window())
		m.rollouts[k] = r
		m.order = append(m.order, k)
	}
	m.applyOutcomes()
}

// SetStart sets when a rollout started by this instance's clock, if that differs from the
// clock by which the start in the Table was set.
func (m *Manager) SetStart(name string, start, own time.Time) {
	if r, ok := m.rollouts[rolloutID(name, start)]; ok {
		r.start, r.deadline = own, own.Add(r.window())
	}
}

// active returns the first rollout of a service that is in its canary or ramp
// state, or nil.
func (m *Manager) active(service string) *rollout {
	for _, k := range m.order {
		r := m.rollouts[k]
		if r.row.Service == service && (r.state == StateCanary || r.state == StateRamp) {
			return r
		}
	}
	return nil
}

// version returns the version that a service is on when no rollout is under way.
func (m *Manager) version(service string) string {
	v := m.versions[service]
	for _, k := range m.order {
		if r := m.rollouts[k]; r.row.Service == service && r.state == StateDone {
			v = r.row.Version
		}
	}
	return v
}

// transition changes the state as the state chart defines for an event. It returns
// false if the state does not accept the event.
func (r *rollout) transition(now time.Time, e chart.Event, reason string) bool {
	next, ok := stateChart.Next(r.state, e)
	if !ok {
		return false
	}
	if next == StateRamp {
		r.rampStarted = now
	}
	r.state, r.reason = next, reason
	return true
}

// Tick evaluates every rollout that has not ended and returns the outcomes that this instance
// has now decided on, to be written to the store. recordsAt is a time up to which this
// instance knows all outcomes in the store, zero for none.
func (m *Manager) Tick(now, recordsAt time.Time) []lacewingramp.RolloutOutcome {
	if m.firstTick.IsZero() {
		m.firstTick, m.inTouchSince = now, now
	}
	if now.Sub(recordsAt) > maxRecordsAge {
		m.inTouchSince = now
	}
	hasEvidence := now.Sub(m.inTouchSince) >= evidenceDelay
	var all []lacewingramp.RolloutOutcome
	for _, k := range m.order {
		r := m.rollouts[k]
		if stateChart.Final(r.state) {
			continue
		}
		decided := r.evaluate(now, recordsAt, hasEvidence, chart.State(m.outcomes[k].State))
		if decided == StateDone && now.Sub(m.firstTick) < evidenceDelay {
			decided = ""
		}
		if decided == "" {
			delete(m.outcomes, k)
			continue
		}
		if m.outcomes[k].State == string(decided) {
			continue
		}
		o := lacewingramp.RolloutOutcome{
			Rollout: r.row.Name, Start: r.row.Start, State: string(decided), Reason: r.reason, DecidedAt: now,
		}
		m.outcomes[k] = o
		all = append(all, o)
	}
	if len(all) > 0 {
		m.applyOutcomes()
	}
	return all
}

// evaluate advances a rollout. It returns the outcome that this instance decides on, or "".
// hasEvidence is set if it is likely to have all evidence of the others. proposed is StateDone
// if it has decided on that before, which it takes back if evidence against the new version
// comes until the deadline.
func (r *rollout) evaluate(now, recordsAt time.Time, hasEvidence bool, proposed chart.State) chart.State {
	r.fade(now)
	if r.row.Cancelled {
		return r.rollBack(now, "cancel", "cancelled by an operator")
	}
	if r.state == StatePlanned && !now.Before(r.start) {
		r.transition(now, "start", "")
	}
	if reason, bad := r.findFault(); bad {
		return r.rollBack(now, "fault", reason)
	}
	canaryEnded := !now.Before(r.timeAt(canaryDeadline))
	r.inDoubt = canaryEnded && r.doubtfulCanary()
	if r.state == StateCanary && r.enoughRequests() && !r.inDoubt && (canaryEnded || r.compared() >= minCompared) {
		r.transition(now, "evidence", "")
	}
	// Lack of evidence counts if the store had no outcome when the canary's time was over.
	evidenceLacks := hasEvidence && !recordsAt.Before(r.timeAt(canaryDeadline))
	switch {
	case !now.Before(r.deadline) && proposed == StateDone:
		return StateDone
	case r.inDoubt && evidenceLacks:
		return r.rollBack(now, "fault", r.all.reason(slowFault, "all routes")+", too few to go on")
	case r.isLate(recordsAt):
		return r.rollBack(now, "late", "not done by its deadline")
	case r.state == StateCanary && evidenceLacks:
		return r.rollBack(now, "late", "too little evidence")
	case r.state == StateRamp && !now.Before(r.timeAt(earliestDone)) && now.Before(r.deadline) && r.mayBeDone(now):
		return StateDone
	}
	return ""
}

func (r *rollout) rollBack(now time.Time, e chart.Event, reason string) chart.State {
	r.transition(now, e, reason)
	return r.state
}

// isLate reports whether a rollout was not done by its deadline: the store had no outcome of
// it then. An instance that has not heard from the store since cannot know, as another one
// may have finished the rollout.
func (r *rollout) isLate(recordsAt time.Time) bool {
	return !recordsAt.Before(r.deadline)
}

// mayBeDone reports whether there is enough evidence and none against the new version.
func (r *rollout) mayBeDone(now time.Time) bool {
	total := r.all.new.total()
	return total.compared >= minDoneCompared && total.loaded >= minDoneLoaded && !r.doubtfulAtEnd() && !r.failsMore() && !r.failsUnderLoad() && !r.suspected(now)
}

// ResumeRamp moves a rollout to its ramp state, to which other instances moved it at
// rampAt because of their counts. It changes nothing if the rollout is in that state or
// a later one.
func (m *Manager) ResumeRamp(name string, start, rampAt time.Time) {
	r, ok := m.rollouts[rolloutID(name, start)]
	if !ok || (r.state != StatePlanned && r.state != StateCanary) {
		return
	}
	r.transition(rampAt, "start", "")
	r.transition(rampAt, "evidence", "")
}

// Status is the state of a rollout as shown to operators. Requests is the number of
// requests that have run on the new version, at all instances together.
type Status struct {
	Rollout  string      `json:"rollout"`
	Service  string      `json:"service"`
	Version  string      `json:"version"`
	State    chart.State `json:"state"`
	Share    float64     `json:"share"`
	Reason   string      `json:"reason,omitempty"`
	Requests int64       `json:"seen"`
	// Decided is the outcome that this instance has decided on or knows from the store, ""
	// for none. State differs from it while StateDone is not recorded yet.
	Decided chart.State `json:"-"`
	// RampStarted is when the ramp began, or zero.
	RampStarted time.Time `json:"-"`
	// Old and New are the counts of the old and of the new version.
	Old VersionCounts `json:"-"`
	New VersionCounts `json:"-"`
}

// VersionCounts are the numbers of attempts on one version during a rollout, at all
// instances together. Compared and Loaded are those of TargetGroup. Unfinished is this
// instance's own number of those that ended without a response.
type VersionCounts struct {
	Requests   int64
	Failures   int64
	Compared   int64
	Slow       int64
	Loaded     int64
	Unfinished int64
}

func (c *VersionCounts) add(s lacewingramp.RolloutStats) {
	c.Requests += s.RequestCount
	c.Failures += s.Failures
	c.Slow += s.Slow
	for _, g := range s.Groups {
		c.Compared += g.Compared
		c.Loaded += g.Loaded
	}
}

// Statuses returns the status of each rollout, ordered by start.
func (m *Manager) Statuses(now time.Time) []Status {
	var all []Status
	for _, k := range m.order {
		r := m.rollouts[k]
		s := Status{
			Rollout: r.row.Name, Service: r.row.Service, Version: r.row.Version,
			State: r.state, Share: r.share(now), Reason: r.reason, RampStarted: r.rampStarted,
			Decided: chart.State(m.outcomes[k].State),
		}
		if r.state == StateDone {
			s.Share = 1
		}
		s.Old.Unfinished, s.New.Unfinished = r.unfinished[r.old], r.unfinished[r.row.Version]
		for key, e := range r.statsByKey {
			if key.version == r.row.Version {
				s.New.add(e)
			} else {
				s.Old.add(e)
			}
		}
		s.Requests = s.New.Requests
		all = append(all, s)
	}
	return all
}
