package edge

import (
	"context"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
)

// configureRollouts updates the rollout manager from the orders and the targets.
func (e *Edge) configureRollouts(now time.Time) {
	t := &lacewingramp.Table{}
	names := make([]string, 0, len(e.orders))
	for s := range e.orders {
		names = append(names, s)
	}
	sort.Strings(names)
	for _, s := range names {
		o := e.orders[s]
		e.setBaseVersion(o)
		t.Versions = append(t.Versions, lacewingramp.Version{Name: o.baseVersion, Service: s})
		if o.startAt.IsZero() {
			continue
		}
		t.Rollouts = append(t.Rollouts, lacewingramp.Rollout{
			Name: o.rolloutName(), Service: s, Version: o.Version, CanaryFraction: e.MaxCanaryFraction,
			Start: o.startAt, Deadline: o.startAt.Add(o.MaxDuration - deadlineMargin),
		})
	}
	e.rollouts.Configure(t)
	for _, s := range names {
		o := e.orders[s]
		if !o.startAt.IsZero() {
			e.rollouts.SetStart(o.rolloutName(), o.startAt, o.startTime())
		}
		if !o.rampAt.IsZero() {
			e.rollouts.ResumeRamp(o.rolloutName(), o.startAt, o.rampAt)
		}
		e.adoptStatus(now, o)
		e.setStandIn(o)
	}
}

// deadlineMargin is how long before the operator's deadline a rollout ends. It allows
// for the delay before the order was received and for the write of the final status.
const deadlineMargin = 2 * time.Second

// adoptStatus applies the final state that the store holds for an order.
func (e *Edge) adoptStatus(now time.Time, o *order) {
	if o.storedStatus == nil || o.startAt.IsZero() || o.storedStatus.State == lacewingramp.StatusRunning {
		return
	}
	a, changed := e.rollouts.ApplyRecord(lacewingramp.RolloutOutcome{
		Rollout: o.rolloutName(), Start: o.startAt, State: o.storedStatus.State, Reason: "as the store has it", DecidedAt: now,
	})
	if changed {
		rollout.LogAdoptions(&e.Log, []rollout.Adoption{a}, "store")
	}
}

// localStatus returns the status of an order's rollout as this instance knows it. The
// store may not hold it yet.
func (e *Edge) localStatus(o *order) rollout.Status {
	for _, s := range e.rollouts.Statuses(e.Timer.Now()) {
		if s.Rollout == o.rolloutName() {
			return s
		}
	}
	return rollout.Status{State: rollout.StatePlanned}
}

// tickRollouts advances the rollouts and writes the records that the store lacks.
func (e *Edge) tickRollouts(ctx context.Context, now time.Time) {
	for _, d := range e.advanceRollouts(now) {
		go e.write(ctx, d)
	}
}

// advanceRollouts advances the rollouts. It returns the records that this instance has to
// write now, and marks their orders as being written.
func (e *Edge) advanceRollouts(now time.Time) (due []dueWrite) {
	for _, o := range e.rollouts.Tick(now, e.store.freshness.Complete().At) {
		e.Log.Info().Str("rollout", o.Rollout).Str("state", o.State).Str("reason", o.Reason).Msg("rollout decided")
	}
	e.logProgress(now)
	for _, o := range e.orders {
		w, err := e.pendingWrite(o)
		if err != nil {
			e.Log.Error().Err(err).Str("service", o.Service).Msg("could not encode a rollout record")
			continue
		}
		if w != o.pending {
			o.pending, o.pendingSince = w, now
		}
		if w.key != "" && !o.writing && e.shouldWrite(now, o) {
			o.writing = true
			known, _ := e.mirror.KeyValue(w.key)
			due = append(due, dueWrite{order: o, write: w, base: known.Revision})
		}
	}
	return due
}

// progressInterval is the time between two log lines on the progress of a rollout that
// stays in its state.
const progressInterval = 2 * time.Second

// logProgress logs the state of each rollout and what its decision is based on, when the
// state changes and every progressInterval until the rollout has ended.
func (e *Edge) logProgress(now time.Time) {
	for _, s := range e.rollouts.Statuses(now) {
		o, ok := e.orders[s.Service]
		if !ok || o.rolloutName() != s.Rollout {
			continue
		}
		ended := s.State == rollout.StateDone || s.State == rollout.StateRolledBack
		if s.State == o.loggedState && (ended || now.Sub(o.loggedAt) < progressInterval) {
			continue
		}
		o.loggedState, o.loggedAt = s.State, now
		e.Log.Info().Str("service", s.Service).Str("version", s.Version).Str("state", string(s.State)).Float64("share", s.Share).
			Object("new", versionCounts(s.New)).Object("old", versionCounts(s.Old)).Msg("rollout in progress")
	}
}

// versionCounts are the counts of one version as an object of a log line.
type versionCounts rollout.VersionCounts

// MarshalZerologObject adds the counts to a log line.
func (c versionCounts) MarshalZerologObject(event *zerolog.Event) {
	event.Int64("requests", c.Requests).Int64("failures", c.Failures).Int64("compared", c.Compared).Int64("slow", c.Slow).
		Int64("loaded", c.Loaded).Int64("unfinished", c.Unfinished)
}
