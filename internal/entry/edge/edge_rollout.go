package edge

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/chart"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

const (
	// takeoverStep is how long each instance has to write a record before the next one
	// tries as well, and takeoverDelay how long until all do.
	takeoverStep        = 400 * time.Millisecond
	takeoverDelay       = 1500 * time.Millisecond
	rolloutWriteTimeout = 2 * time.Second
	// maxOrderDelay is how long an order usually takes at most to reach all instances. If
	// the time since a start differs by more from that since the order was seen, the clocks
	// of two machines differ.
	maxOrderDelay = 500 * time.Millisecond
)

// order is a rollout order, with the progress of its rollout. startAt and rampAt are
// zero until they are known from the order's RolloutStart record, and startStored is set
// while the store has that record. storedStatus is the order's RolloutStatus record, nil
// if the store has none. reverted is set if a restored store has lost the order. writing
// is set while this instance writes a record.
type order struct {
	lacewingramp.RolloutOrder
	revision    int64
	reverted    bool
	startStored bool
	// seenAt is when this instance saw the order, and seenFresh is set if that was
	// when it was given.
	seenAt    time.Time
	seenFresh bool
	// baseVersion is the version that the order replaces, and rejected holds the versions
	// that earlier orders did not bring in force.
	baseVersion string
	rejected    map[string]bool
	// standIn is the version that runs all requests while no target has the version that is
	// in force, "" if some target has.
	standIn      string
	startAt      time.Time
	rampAt       time.Time
	storedStatus *lacewingramp.RolloutStatus
	// pending is the write that the store needs next, and pendingSince is when that
	// was first noticed.
	pending      write
	pendingSince time.Time
	writing      bool
	// loggedState is the state in the last log line on the rollout's progress, and
	// loggedAt the time of that line.
	loggedState chart.State
	loggedAt    time.Time
}

// write is a record to be written: its store key and its value. The value is a string
// so that two writes can be compared.
type write struct {
	key   string
	value string
}

// rolloutName returns a name that differs for every started order of a service. It does
// not depend on the order's revision, which changes if a restored store has lost the
// order and it is written again.
func (o *order) rolloutName() string {
	return o.Service + "@" + strconv.FormatInt(o.startAt.UnixNano(), 10)
}

// startTime returns when the rollout of an order started, by this instance's clock. It does
// not move with later steps of that clock.
func (o *order) startTime() time.Time {
	difference := o.startAt.Sub(o.seenAt)
	if o.seenFresh && difference.Abs() > maxOrderDelay {
		return o.seenAt
	}
	return o.seenAt.Add(difference)
}

// applyRollout applies a changed RolloutOrder, RolloutStart or RolloutStatus record.
func (e *Edge) applyRollout(now time.Time, event *lacewingramp.StoreEvent) {
	switch {
	case event.RolloutOrder != nil && event.Removed:
		delete(e.orders, event.RolloutOrder.Service)
	case event.RolloutOrder != nil:
		e.applyOrder(now, event)
	case event.RolloutStart != nil:
		e.applyStart(event)
	case event.RolloutStatus != nil:
		e.applyStatus(event)
	}
	e.configureRollouts(now)
}

// markOrderReverted records that a restored store has lost the order of a service.
func (e *Edge) markOrderReverted(service string) {
	if o, ok := e.orders[service]; ok {
		o.reverted = true
	}
}

func (e *Edge) applyOrder(now time.Time, event *lacewingramp.StoreEvent) {
	o := &order{RolloutOrder: *event.RolloutOrder, revision: event.Revision, seenAt: now}
	previous, ok := e.orders[o.Service]
	if ok && previous.reverted && previous.RolloutOrder == o.RolloutOrder {
		e.resumeOrder(previous, event.Revision)
		return
	}
	o.seenFresh = now.Sub(e.store.completeBefore) <= maxUnconfirmed
	if ok {
		o.follow(previous, e.localStatus(previous).State)
	}
	e.orders[o.Service] = o
	e.Log.Info().Str("service", o.Service).Str("version", o.Version).Dur("allowed", o.MaxDuration).
		Int64("revision", event.Revision).Msg("rollout ordered")
	e.loadRecords(o)
}

// follow sets the versions that an order starts from, after the previous order of the service
// has ended in a state.
func (o *order) follow(previous *order, state chart.State) {
	o.baseVersion, o.rejected = previous.baseVersion, maps.Clone(previous.rejected)
	switch state {
	case rollout.StateDone:
		o.baseVersion = previous.Version
		delete(o.rejected, previous.Version)
	case rollout.StateRolledBack:
		if o.rejected == nil {
			o.rejected = make(map[string]bool)
		}
		o.rejected[previous.Version] = true
	}
}

// resumeOrder continues the rollout of an order that a restored store had lost and that
// is in the store again, at a new revision.
func (e *Edge) resumeOrder(o *order, revision int64) {
	o.revision, o.reverted = revision, false
	o.startStored, o.storedStatus = false, nil
	e.Log.Info().Str("service", o.Service).Str("version", o.Version).Int64("revision", revision).Msg("rollout ordered again after the store was restored")
	e.loadRecords(o)
}

// applyStart applies a RolloutStart record, unless it belongs to an earlier order. The
// start of a rollout stays known if the record is lost.
func (e *Edge) applyStart(event *lacewingramp.StoreEvent) {
	o, ok := e.orders[event.RolloutStart.Service]
	switch {
	case !ok:
	case event.Removed || o.revision != event.RolloutStart.Revision:
		o.startStored = false
	default:
		o.startAt, o.rampAt, o.startStored = event.RolloutStart.StartedAt, event.RolloutStart.RampStartedAt, true
	}
}

// loadRecords reads an order's RolloutStart and RolloutStatus records from the mirror,
// because a snapshot may contain them before the order.
func (e *Edge) loadRecords(o *order) {
	if key, _, err := e.DocumentEncoder.RolloutStart(lacewingramp.RolloutStart{Service: o.Service}); err == nil {
		if event, ok := e.readMirror(key); ok && event.RolloutStart != nil {
			e.applyStart(&event)
		}
	}
	if key, _, err := e.DocumentEncoder.RolloutStatus(lacewingramp.RolloutStatus{Service: o.Service}); err == nil {
		if event, ok := e.readMirror(key); ok && event.RolloutStatus != nil {
			e.applyStatus(&event)
		}
	}
}

func (e *Edge) readMirror(key string) (lacewingramp.StoreEvent, bool) {
	keyValue, ok := e.mirror.KeyValue(key)
	if !ok {
		return lacewingramp.StoreEvent{}, false
	}
	event, err := e.EventDecoder.Decode(lacewingramp.Change{KeyValue: keyValue})
	return event, err == nil
}

// applyStatus sets the storedStatus of an order from a RolloutStatus record, unless the
// record belongs to an earlier order.
func (e *Edge) applyStatus(event *lacewingramp.StoreEvent) {
	o, ok := e.orders[event.RolloutStatus.Service]
	if !ok {
		return
	}
	if event.Removed || event.Reverted {
		o.storedStatus = nil
	}
	if event.Removed || event.Revision < o.revision || event.RolloutStatus.Version != o.Version {
		return
	}
	o.storedStatus = event.RolloutStatus
}

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
			Name: o.rolloutName(), Service: s, Version: o.Version, CanaryFraction: e.MaxCanaryFraction * canaryFraction,
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

// setStandIn sets the stand-in of an order: the base version if the rollout is done and no
// target has the new version any more.
func (e *Edge) setStandIn(o *order) {
	gone := e.localStatus(o).State == rollout.StateDone && e.placer.VersionTargets(o.Service, o.Version) == 0
	version := ""
	if gone && e.placer.VersionTargets(o.Service, o.baseVersion) > 0 {
		version = o.baseVersion
	}
	if version != o.standIn {
		e.Log.Warn().Str("service", o.Service).Str("version", o.Version).Str("in", version).Msg("stand-in of a version without targets")
	}
	o.standIn = version
}

// deadlineMargin is how long before the operator's deadline a rollout ends. It allows
// for the delay before the order was received and for the write of the final status.
const deadlineMargin = 2 * time.Second

// canaryFraction is the fraction of MaxCanaryFraction that a new version may get as a
// canary.
const canaryFraction = 1.0

// setBaseVersion sets the base version to the one that most targets of the service have, the
// new version and the rejected ones excluded, if it is unknown or no target has it any more.
// An instance that has missed the outcome of an earlier order does not know what that left.
func (e *Edge) setBaseVersion(o *order) {
	if o.baseVersion != "" && e.placer.VersionTargets(o.Service, o.baseVersion) > 0 {
		return
	}
	before, maxCount := o.baseVersion, 0
	for v, n := range e.placer.Versions(o.Service) {
		if v == o.Version || o.rejected[v] {
			continue
		}
		if n > maxCount || (n == maxCount && v < o.baseVersion) {
			o.baseVersion, maxCount = v, n
		}
	}
	if before != "" && before != o.baseVersion {
		e.Log.Warn().Str("service", o.Service).Str("replaced", before).Str("version", o.baseVersion).Msg("the old version of a rollout has no target left")
	}
}

// adoptStatus applies the final state that the store holds for an order.
func (e *Edge) adoptStatus(now time.Time, o *order) {
	if o.storedStatus == nil || o.startAt.IsZero() || o.storedStatus.State == lacewingramp.StatusRunning {
		return
	}
	a, changed := e.rollouts.ApplyRecord(lacewingramp.RolloutOutcome{
		Rollout: o.rolloutName(), Start: o.startAt, State: o.storedStatus.State, Reason: "as the store has it", DecidedAt: now,
	})
	if changed {
		e.logAdoption(a, "store")
	}
}

// logAdoption logs an outcome that comes from a peer or from the store.
func (e *Edge) logAdoption(a rollout.Adoption, source string) {
	e.Log.Info().EmbedObject(a).Str("from", source).Msg("rollout outcome adopted")
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

// chooseVersions returns the preferred and the fallback version for the next attempt of a
// request. Both are empty, which allows any version, if the service has no order. A request
// is tried again on the fallback version only.
func (e *Edge) chooseVersions(now time.Time, j *job) (prefer, fallback string) {
	o, ok := e.orders[j.service]
	if !ok {
		return "", ""
	}
	switch {
	case o.standIn != "":
		return o.standIn, o.standIn
	case o.startAt.IsZero():
		return o.baseVersion, o.baseVersion
	}
	prefer, fallback = e.rollouts.Choose(now, j.service, j.object())
	if len(j.tried) > 0 {
		return fallback, fallback
	}
	return prefer, fallback
}

// tickRollouts advances the rollouts and writes the records that the store lacks.
func (e *Edge) tickRollouts(ctx context.Context, now time.Time) {
	for _, o := range e.advanceRollouts(now) {
		go e.write(ctx, o, o.pending)
	}
}

// advanceRollouts advances the rollouts. It returns the orders of which this instance has to
// write the pending record now, and marks these as being written.
func (e *Edge) advanceRollouts(now time.Time) (due []*order) {
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
			due = append(due, o)
		}
	}
	return due
}

// pendingWrite returns the write of the next record that the store lacks for an order:
// its start, the start of its ramp, or its status. It is empty if none is missing.
func (e *Edge) pendingWrite(o *order) (write, error) {
	s := e.localStatus(o)
	switch {
	case o.startAt.IsZero():
		return startWrite(e.DocumentEncoder, o, lacewingramp.RolloutStart{StartedAt: o.seenAt.UTC()})
	case !o.startStored:
		return startWrite(e.DocumentEncoder, o, lacewingramp.RolloutStart{StartedAt: o.startAt, RampStartedAt: o.rampAt})
	case s.Decided == rollout.StateDone:
		return statusWrite(e.DocumentEncoder, o, lacewingramp.StatusDone)
	case s.Decided == rollout.StateRolledBack:
		return statusWrite(e.DocumentEncoder, o, lacewingramp.StatusRolledBack)
	case o.storedStatus == nil:
		return statusWrite(e.DocumentEncoder, o, lacewingramp.StatusRunning)
	case s.State == rollout.StateRamp && o.rampAt.IsZero():
		return startWrite(e.DocumentEncoder, o, lacewingramp.RolloutStart{StartedAt: o.startAt, RampStartedAt: s.RampStarted.UTC()})
	default:
		return write{}, nil
	}
}

func startWrite(encoder lacewingramp.DocumentEncoder, o *order, s lacewingramp.RolloutStart) (write, error) {
	s.Service, s.Revision = o.Service, o.revision
	key, value, err := encoder.RolloutStart(s)
	return write{key: key, value: string(value)}, err
}

// statusWrite returns the write of the RolloutStatus record for a state. It is empty if
// the store already has a final state, because the first final state is kept.
func statusWrite(encoder lacewingramp.DocumentEncoder, o *order, state string) (write, error) {
	if o.storedStatus != nil && o.storedStatus.State != lacewingramp.StatusRunning {
		return write{}, nil
	}
	key, value, err := encoder.RolloutStatus(lacewingramp.RolloutStatus{Service: o.Service, Version: o.Version, State: state})
	return write{key: key, value: string(value)}, err
}

// shouldWrite reports whether this instance writes the pending record of an order. The live
// instances take their turn by rendezvous hashing, as the first ones may not know that a
// record is due.
func (e *Edge) shouldWrite(now time.Time, o *order) bool {
	waited := now.Sub(o.pendingSince)
	if waited > takeoverDelay {
		return true
	}
	names := []string{e.Name}
	for _, p := range e.peers.Alive(now) {
		names = append(names, p.Name)
	}
	turn := slices.Index(rendezvous.Order(o.rolloutName(), names), e.Name)
	return waited >= time.Duration(turn)*takeoverStep
}

// write writes a record, unless its key has changed in the store since the revision in
// the mirror. After a conflict or an unknown outcome, the mirror shows whether to write
// again.
func (e *Edge) write(ctx context.Context, o *order, w write) {
	writeCtx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	e.mu.Lock()
	known, _ := e.mirror.KeyValue(w.key)
	e.mu.Unlock()
	_, err := e.Store.CompareAndSwap(writeCtx, w.key, []byte(w.value), known.Revision, 0)
	if err != nil && !errors.Is(err, lacewingramp.ErrConflict) {
		e.Log.Warn().Err(err).Str("key", w.key).Msg("could not write a rollout record")
	}
	e.Log.Info().Str("key", w.key).Bool("written", err == nil).Str("value", w.value).Msg("rollout written")
	e.endWrite(o)
}

// endWrite ends a write after the mirror has had time to receive it.
func (e *Edge) endWrite(o *order) {
	e.Timer.After(heartbeat.Period, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		o.writing = false
	})
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
