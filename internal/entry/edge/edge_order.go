package edge

import (
	"maps"
	"strconv"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/chart"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
)

// maxOrderDelay is how long an order usually takes at most to reach all instances. If
// the time since a start differs by more from that since the order was seen, the clocks
// of two machines differ.
const maxOrderDelay = 500 * time.Millisecond

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
