package edge

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// After the store was restored from a backup, the operators, targets and instances write
// again what it has lost. Until then the state that was known before stays in force.
const (
	// rewriteTimeout is how long a key that is missing has to be written again.
	rewriteTimeout = 2200 * time.Millisecond
	// outdatedTimeout is how long a key with an outdated value has to be written again.
	// It is longer than it takes the store to remove the registration of a target that
	// had left.
	outdatedTimeout = 10 * time.Second
)

// handleRestored prepares for the changes that a restored store makes. The caller must
// hold e.mu.
func (e *Edge) handleRestored(before, after lacewingramp.Position) {
	now := e.Timer.Now()
	e.Log.Warn().Int64("revision", before.Revision).Int64("restored", after.Revision).Int64("epoch", after.Epoch).
		Msg("the store was restored from a backup")
	for key, until := range e.reverted {
		if earliest := now.Add(rewriteTimeout); until.Before(earliest) {
			e.reverted[key] = earliest
		}
	}
	select {
	case e.restored <- struct{}{}:
	default:
	}
}

// keepReverted keeps the known state of a key in force although the store has returned
// to an earlier one. It reports false for records that instances write, which they write
// again once they know that these are lost.
func (e *Edge) keepReverted(now time.Time, event *lacewingramp.StoreEvent) bool {
	if event.RolloutStart != nil || event.RolloutStatus != nil {
		return false
	}
	if event.RolloutOrder != nil {
		e.markOrderReverted(event.RolloutOrder.Service)
	}
	timeout := outdatedTimeout
	if event.Removed {
		timeout = rewriteTimeout
	}
	e.reverted[event.Key] = now.Add(timeout)
	e.Log.Info().Str("key", event.Key).Bool("missing", event.Removed).Int64("revision", event.Revision).Dur("kept", timeout).
		Msg("kept a state that the restored store has lost")
	return true
}

// settleReverted applies the store's state of the keys that were not written again in
// time.
func (e *Edge) settleReverted(now time.Time) {
	for key, until := range e.reverted {
		if !now.After(until) {
			continue
		}
		c := lacewingramp.Change{Deleted: true}
		c.Key, c.Revision = key, e.mirror.Position().Revision
		if keyValue, ok := e.mirror.KeyValue(key); ok {
			c = lacewingramp.Change{KeyValue: keyValue}
		}
		e.Log.Info().Str("key", key).Bool("missing", c.Deleted).Int64("revision", c.Revision).Msg("a lost state was not written again in time")
		e.apply([]lacewingramp.Change{c})
	}
}

// hasRegistration reports whether the store holds this instance's registration under a
// lease.
func (e *Edge) hasRegistration(lease lacewingramp.LeaseID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	keyValue, ok := e.mirror.KeyValue(lacewingramp.KeyInstances + e.Name)
	return ok && keyValue.Lease == lease
}
