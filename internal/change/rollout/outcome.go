package rollout

import (
	"time"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/chart"
)

// The outcome of a rollout that is first written to the store is its record, and stands: on
// "done", operators stop the targets of the old version. What an instance decides before it
// knows the record holds for itself only, and until then:
//
//   - A rollback is in force at once, as it keeps a bad version away whoever else can be
//     reached. Peers are told of it, unless another instance may have recorded "done" by then.
//   - "Done" is a proposal, and taken back if evidence against the version comes. The version
//     keeps at most its share of the requests.
//   - Lack of evidence is no decision: only an instance that knows that the store had no
//     outcome at the deadline finds that a rollout was not done by then. Until it knows, it
//     sends nothing to the new version.

// Adoption is an outcome that this instance has taken over from another one or from the
// store, and the state of the rollout that it replaced.
type Adoption struct {
	lacewingramp.RolloutOutcome
	Replaced chart.State
}

// MarshalZerologObject adds the outcome to a log line.
func (a Adoption) MarshalZerologObject(event *zerolog.Event) {
	event.Str("rollout", a.Rollout).Str("state", a.State).Bool("recorded", a.Recorded).Str("replaced", string(a.Replaced)).
		Str("reason", a.Reason).Time("decided", a.DecidedAt)
}

// LogAdoptions logs outcomes that come from a peer, by name, or from the store.
func LogAdoptions(log *zerolog.Logger, adopted []Adoption, source string) {
	for _, a := range adopted {
		log.Info().EmbedObject(a).Str("from", source).Msg("rollout outcome adopted")
	}
}

// ApplyRecord applies the outcome that the store has for a rollout. It returns false if that
// is known.
func (m *Manager) ApplyRecord(o lacewingramp.RolloutOutcome) (Adoption, bool) {
	o.Recorded = true
	known := m.outcomes[rolloutID(o.Rollout, o.Start)]
	if !isOutcome(o.State) || known.Recorded && known.State == o.State {
		return Adoption{}, false
	}
	return m.adopt(o), true
}

// applyOutcome applies an outcome that another instance has reported. It returns false if it
// changes nothing: a record replaces what was decided by an instance, and a rollback replaces
// a proposal.
func (m *Manager) applyOutcome(o lacewingramp.RolloutOutcome) (Adoption, bool) {
	known := m.outcomes[rolloutID(o.Rollout, o.Start)]
	rollback := chart.State(o.State) == StateRolledBack
	switch {
	case known.Recorded || !isOutcome(o.State):
		return Adoption{}, false
	case !o.Recorded && (!rollback || known.State == o.State):
		return Adoption{}, false
	}
	return m.adopt(o), true
}

func isOutcome(state string) bool {
	s := chart.State(state)
	return s == StateDone || s == StateRolledBack
}

func (m *Manager) adopt(o lacewingramp.RolloutOutcome) Adoption {
	k := rolloutID(o.Rollout, o.Start)
	a := Adoption{RolloutOutcome: o}
	if r, ok := m.rollouts[k]; ok {
		a.Replaced = r.state
	}
	m.outcomes[k] = o
	m.applyOutcomes()
	return a
}

// applyOutcomes applies the known outcomes and determines the old version of each
// rollout.
func (m *Manager) applyOutcomes() {
	versions := make(map[string]string, len(m.versions))
	for s, v := range m.versions {
		versions[s] = v
	}
	for _, k := range m.order {
		r := m.rollouts[k]
		if o, ok := m.outcomes[k]; ok && (o.Recorded || chart.State(o.State) == StateRolledBack) {
			r.state, r.reason = chart.State(o.State), o.Reason
		}
		r.old = versions[r.row.Service]
		if r.state == StateDone {
			versions[r.row.Service] = r.row.Version
		}
	}
}

// Outcomes returns the outcomes for the next heartbeat: those that are recorded, and
// rollbacks for as long as no other instance may have recorded "done". Instances of earlier
// programs let each rollback that they hear of replace what is recorded.
func (m *Manager) Outcomes(now time.Time) []lacewingramp.RolloutOutcome {
	var all []lacewingramp.RolloutOutcome
	for _, k := range m.order {
		o, ok := m.outcomes[k]
		if !ok {
			continue
		}
		rollback := chart.State(o.State) == StateRolledBack
		if o.Recorded || rollback && now.Before(m.rollouts[k].timeAt(earliestDone)) {
			all = append(all, o)
		}
	}
	return all
}

// Unrecorded returns the outcomes that this instance has decided on, or taken over from
// another one, and does not know to be recorded.
func (m *Manager) Unrecorded() []lacewingramp.RolloutOutcome {
	var all []lacewingramp.RolloutOutcome
	for _, k := range m.order {
		if o, ok := m.outcomes[k]; ok && !o.Recorded {
			all = append(all, o)
		}
	}
	return all
}

// AwaitsRecord reports whether a rollout is decided on by this instance, in doubt or without an
// outcome in time, so that the store has to be asked for what is recorded.
func (m *Manager) AwaitsRecord(now time.Time) bool {
	for _, k := range m.order {
		r := m.rollouts[k]
		inTime := !r.inDoubt && now.Before(r.deadline) && (r.state != StateCanary || now.Before(r.timeAt(canaryDeadline)))
		o, decided := m.outcomes[k]
		if !o.Recorded && (decided || !inTime) {
			return true
		}
	}
	return false
}
