package edge

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

const (
	// takeoverDelay is how long the responsible instance has to write a record
	// before all others try.
	takeoverDelay       = 1500 * time.Millisecond
	rolloutWriteTimeout = 2 * time.Second
)

// order is an operator's order to move a service to a version, with its progress.
// startAt and rampAt are zero until its Start record tells them. writing is set while
// this instance writes a record.
type order struct {
	lacewingramp.RolloutOrder
	revision int64
	seenAt   time.Time
	// baseVersion is the version that the order replaces.
	baseVersion string
	startAt     time.Time
	rampAt      time.Time
	result      *lacewingramp.RolloutStatus
	// pending is the write that the store needs next, and pendingSince is when that
	// was first noticed.
	pending      write
	pendingSince time.Time
	writing      bool
}

// write is a record to be written: its store key and its value. The value is a string
// so that two writes can be compared.
type write struct {
	key   string
	value string
}

// rolloutName returns a name that differs for every order of a service.
func (o *order) rolloutName() string {
	return o.Service + "@" + strconv.FormatInt(o.revision, 10)
}

// applyRollout applies a changed order, Start or Result.
func (e *Edge) applyRollout(now time.Time, n *lacewingramp.StoreEvent) {
	switch {
	case n.RolloutOrder != nil && n.Removed:
		delete(e.orders, n.RolloutOrder.Service)
	case n.RolloutOrder != nil:
		e.applyOrder(now, n)
	case n.RolloutStart != nil && !n.Removed:
		if o, ok := e.orders[n.RolloutStart.Service]; ok && o.revision == n.RolloutStart.Revision {
			o.startAt, o.rampAt = n.RolloutStart.StartedAt, n.RolloutStart.RampStartedAt
		}
	case n.RolloutStatus != nil && !n.Removed:
		e.applyResult(n)
	}
	e.configureRollouts(now)
}

func (e *Edge) applyOrder(now time.Time, n *lacewingramp.StoreEvent) {
	o := &order{RolloutOrder: *n.RolloutOrder, revision: n.Revision, seenAt: now}
	if before, ok := e.orders[o.Service]; ok {
		o.baseVersion = before.baseVersion
		if e.rolloutStatus(before).State == rollout.StateDone {
			o.baseVersion = before.Version
		}
	}
	e.orders[o.Service] = o
	e.Log.Info().Str("service", o.Service).Str("version", o.Version).Dur("allowed", o.MaxDuration).
		Int64("revision", n.Revision).Msg("rollout ordered")
	e.loadRecords(o)
}

// loadRecords reads an order's Start and Result from the mirror, because a snapshot
// may contain them before the order.
func (e *Edge) loadRecords(o *order) {
	if key, _, err := e.DocumentEncoder.RolloutStart(lacewingramp.RolloutStart{Service: o.Service}); err == nil {
		if n, ok := e.readMirror(key); ok && n.RolloutStart != nil && n.RolloutStart.Revision == o.revision {
			o.startAt, o.rampAt = n.RolloutStart.StartedAt, n.RolloutStart.RampStartedAt
		}
	}
	if key, _, err := e.DocumentEncoder.RolloutStatus(lacewingramp.RolloutStatus{Service: o.Service}); err == nil {
		if n, ok := e.readMirror(key); ok && n.RolloutStatus != nil {
			e.applyResult(&n)
		}
	}
}

func (e *Edge) readMirror(key string) (lacewingramp.StoreEvent, bool) {
	i, ok := e.mirror.Item(key)
	if !ok {
		return lacewingramp.StoreEvent{}, false
	}
	n, err := e.EventDecoder.Decode(lacewingramp.Change{Item: i})
	return n, err == nil
}

// applyResult stores a result with its order, unless it belongs to an earlier order.
func (e *Edge) applyResult(n *lacewingramp.StoreEvent) {
	o, ok := e.orders[n.RolloutStatus.Service]
	if !ok || n.Revision < o.revision || n.RolloutStatus.Version != o.Version {
		return
	}
	o.result = n.RolloutStatus
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
			Name: o.rolloutName(), Service: s, Version: o.Version, MaxTestFraction: e.MaxCanaryShare * canaryFraction,
			Start: o.startAt, Deadline: o.startAt.Add(o.MaxDuration - deadlineMargin),
		})
	}
	e.rollouts.Configure(t)
	for _, s := range names {
		o := e.orders[s]
		if !o.rampAt.IsZero() {
			e.rollouts.ResumeRamp(o.rolloutName(), o.startAt, o.rampAt)
		}
		e.adoptResult(now, o)
	}
}

// deadlineMargin is how long before the operator's deadline a rollout ends. It allows
// for the delay before the order was received and for the write of the result.
const deadlineMargin = 2 * time.Second

// canaryFraction is the fraction of ExposeShare that a version under test gets at
// first.
const canaryFraction = 1.0

// slowFactor is the latency factor above which a new version counts as slow. Targets
// take more than three times as long for objects that they have not handled before.
const slowFactor = 3.5

// setBaseVersion sets an unknown base version to the one that most targets of the
// service have, the new version excluded.
func (e *Edge) setBaseVersion(o *order) {
	if o.baseVersion != "" {
		return
	}
	counts := make(map[string]int)
	for _, name := range e.placer.Names() {
		if l, ok := e.placer.Target(name); ok && l.Service == o.Service && l.Version != o.Version {
			counts[l.Version]++
		}
	}
	maxCount := 0
	for v, n := range counts {
		if n > maxCount || (n == maxCount && v < o.baseVersion) {
			o.baseVersion, maxCount = v, n
		}
	}
}

// adoptResult applies the final state that the store holds for an order.
func (e *Edge) adoptResult(now time.Time, o *order) {
	if o.result == nil || o.startAt.IsZero() || o.result.State == lacewingramp.StatusRunning {
		return
	}
	e.rollouts.ApplyOutcome(lacewingramp.Outcome{
		Rollout: o.rolloutName(), Start: o.startAt, State: o.result.State, Reason: "as the store has it", DecidedAt: now,
	})
}

// rolloutStatus returns the state of an order's rollout on this instance.
func (e *Edge) rolloutStatus(o *order) rollout.Status {
	for _, s := range e.rollouts.Statuses(e.Timer.Now()) {
		if s.Rollout == o.rolloutName() {
			return s
		}
	}
	return rollout.Status{State: rollout.StatePlanned}
}

// chooseVersions returns the preferred and the fallback version for a service's next
// request. Both are empty, which allows any version, if the service has no order.
func (e *Edge) chooseVersions(now time.Time, service string) (prefer, fallback string) {
	o, ok := e.orders[service]
	if !ok {
		return "", ""
	}
	if o.startAt.IsZero() {
		return o.baseVersion, o.baseVersion
	}
	return e.rollouts.Choose(now, service)
}

// tickRollouts advances the rollouts and writes the records that the store lacks.
func (e *Edge) tickRollouts(ctx context.Context, now time.Time) {
	for _, o := range e.rollouts.Tick(now) {
		e.Log.Info().Str("rollout", o.Rollout).Str("state", o.State).Str("reason", o.Reason).Msg("rollout decided")
	}
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
			go e.write(ctx, o, w)
		}
	}
}

// pendingWrite returns the write of the next record that the store lacks of an order:
// its start, the start of its ramp, or its state. It is empty if none is missing.
func (e *Edge) pendingWrite(o *order) (write, error) {
	s := e.rolloutStatus(o)
	switch {
	case o.startAt.IsZero():
		return startWrite(e.DocumentEncoder, o, lacewingramp.RolloutStart{StartedAt: o.seenAt.UTC()})
	case s.State == rollout.StateDone:
		return resultWrite(e.DocumentEncoder, o, lacewingramp.StatusDone)
	case s.State == rollout.StateRolledBack:
		return resultWrite(e.DocumentEncoder, o, lacewingramp.StatusRolledBack)
	case o.result == nil:
		return resultWrite(e.DocumentEncoder, o, lacewingramp.StatusRunning)
	case s.State == rollout.StateRamp && o.rampAt.IsZero():
		return startWrite(e.DocumentEncoder, o, lacewingramp.RolloutStart{StartedAt: o.startAt, RampStartedAt: s.RampStarted.UTC()})
	default:
		return write{}, nil
	}
}

func startWrite(w lacewingramp.DocumentEncoder, o *order, s lacewingramp.RolloutStart) (write, error) {
	s.Service, s.Revision = o.Service, o.revision
	key, value, err := w.RolloutStart(s)
	return write{key: key, value: string(value)}, err
}

// resultWrite returns the write of the Result record for a state. It is empty if the
// store already has a final state, because the first final state is kept.
func resultWrite(w lacewingramp.DocumentEncoder, o *order, state string) (write, error) {
	if o.result != nil && o.result.State != lacewingramp.StatusRunning {
		return write{}, nil
	}
	key, value, err := w.RolloutStatus(lacewingramp.RolloutStatus{Service: o.Service, Version: o.Version, State: state})
	return write{key: key, value: string(value)}, err
}

// shouldWrite reports whether this instance writes the pending record of an order.
// One live instance is responsible for it; after takeoverDelay every instance tries.
func (e *Edge) shouldWrite(now time.Time, o *order) bool {
	if now.Sub(o.pendingSince) > takeoverDelay {
		return true
	}
	names := []string{e.Name}
	for _, m := range e.peers.Alive(now) {
		names = append(names, m.Name)
	}
	return rendezvous.Owner(o.rolloutName(), names) == e.Name
}

// write writes a record if its key is unchanged since the mirror read it. After
// a conflict or an unclear result, the mirror shows whether to write again.
func (e *Edge) write(ctx context.Context, o *order, w write) {
	writeCtx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	e.mu.Lock()
	known, _ := e.mirror.Item(w.key)
	e.mu.Unlock()
	_, err := e.Store.CompareAndSwap(writeCtx, w.key, []byte(w.value), known.Revision, 0)
	if err != nil && !errors.Is(err, lacewingramp.ErrConflict) {
		e.Log.Warn().Err(err).Str("key", w.key).Msg("could not write a rollout record")
	}
	e.Log.Info().Str("key", w.key).Bool("written", err == nil).Str("value", w.value).Msg("rollout written")
	// Wait until the mirror has received the write before writing again.
	e.Timer.After(heartbeat.Period, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		o.writing = false
	})
}
