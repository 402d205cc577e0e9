package instance

import (
	"encoding/json"
	"time"

	"lacewingramp.example/lacewingramp"
)

// handleOutcomes spreads the ends of rollouts at once and writes them down.
func (i *Instance) handleOutcomes(all []lacewingramp.Outcome) {
	for _, o := range all {
		i.Log.Warn().Str("rollout", o.Rollout).Str("state", o.State).Str("reason", o.Reason).Msg("rollout decided")
	}
	i.mu.Lock()
	i.unsavedOutcomes = append(i.unsavedOutcomes, all...)
	i.mu.Unlock()
	i.startTask("spread", func() { i.exchangeDigests(i.Timer.Now()) })
	i.startTask("outcomes", i.saveOutcomes)
}

func outcomeKey(o lacewingramp.Outcome) string {
	return lacewingramp.KeyRollouts + o.Rollout + "@" + o.Start.UTC().Format(time.RFC3339)
}

// saveOutcomes writes each outcome once. A rollback replaces another outcome,
// nothing replaces a rollback. What the store does not take is tried again.
func (i *Instance) saveOutcomes() {
	i.mu.Lock()
	all := i.unsavedOutcomes
	i.unsavedOutcomes = nil
	i.mu.Unlock()
	for _, o := range all {
		if !i.saveOutcome(o) {
			i.mu.Lock()
			i.unsavedOutcomes = append(i.unsavedOutcomes, o)
			i.mu.Unlock()
		}
	}
}

func (i *Instance) saveOutcome(o lacewingramp.Outcome) bool {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	item, err := i.Store.Get(ctx, outcomeKey(o))
	if err != nil {
		i.faults.Store.Add(1)
		return false
	}
	if item.Revision > 0 {
		var old lacewingramp.Outcome
		if json.Unmarshal(item.Value, &old) == nil {
			i.State.Lock()
			i.State.Rollouts.ApplyOutcome(old)
			i.State.Unlock()
			if old.State == o.State || o.State != "rolledback" {
				return true
			}
		}
	}
	value, err := json.Marshal(o)
	if err != nil {
		return true
	}
	_, err = i.Store.CompareAndSwap(ctx, outcomeKey(o), value, item.Revision, 0)
	if err != nil {
		i.faults.Store.Add(1)
	}
	return err == nil
}

// readOutcomes takes in what was decided before this instance started, and
// tries again to write down what the store has not taken.
func (i *Instance) readOutcomes() {
	x := i.State.Index()
	if x == nil || len(x.Table.Rollouts) == 0 {
		return
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	items, err := i.Store.Range(ctx, lacewingramp.KeyRollouts)
	if err != nil {
		i.faults.Store.Add(1)
		return
	}
	i.State.Lock()
	for _, item := range items {
		var o lacewingramp.Outcome
		if json.Unmarshal(item.Value, &o) == nil {
			i.State.Rollouts.ApplyOutcome(o)
		}
	}
	i.State.Unlock()
	i.startTask("outcomes", i.saveOutcomes)
}
