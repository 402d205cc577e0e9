package instance

import (
	"encoding/json"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
)

// handleOutcomes sends the outcomes of rollouts to the other instances immediately and
// writes them to the store.
func (i *Instance) handleOutcomes(all []lacewingramp.RolloutOutcome) {
	for _, o := range all {
		i.Log.Warn().Str("rollout", o.Rollout).Str("state", o.State).Str("reason", o.Reason).Msg("rollout decided")
	}
	i.mu.Lock()
	i.unsavedOutcomes = append(i.unsavedOutcomes, all...)
	i.mu.Unlock()
	i.startTask("exchange digests", func() { i.exchangeDigests(i.Timer.Now()) })
	i.startTask("save outcomes", i.saveOutcomes)
}

// logAdoptions logs outcomes that come from a peer or from the store.
func (i *Instance) logAdoptions(adopted []rollout.Adoption, source string) {
	for _, a := range adopted {
		i.Log.Info().EmbedObject(a).Str("from", source).Msg("rollout outcome adopted")
	}
}

func outcomeKey(o lacewingramp.RolloutOutcome) string {
	return lacewingramp.KeyRollouts + o.Rollout + "@" + o.Start.UTC().Format(time.RFC3339)
}

// saveOutcomes writes each outcome to the store once. A rollback replaces any other
// outcome, and nothing replaces a rollback. Outcomes that could not be written are kept
// and tried again by readOutcomes.
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

func (i *Instance) saveOutcome(o lacewingramp.RolloutOutcome) bool {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	item, err := i.Store.Get(ctx, outcomeKey(o))
	if err != nil {
		i.faults.Store.Add(1)
		return false
	}
	if item.Revision > 0 {
		var saved lacewingramp.RolloutOutcome
		if json.Unmarshal(item.Value, &saved) == nil {
			i.State.Lock()
			adopted := i.State.Rollouts.Record(nil, []lacewingramp.RolloutOutcome{saved})
			i.State.Unlock()
			i.logAdoptions(adopted, "store")
			if saved.State == o.State || o.State != "rolledback" {
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

// readOutcomes applies the outcomes in the store, so that an instance learns of those
// from before its start, and tries again to write the outcomes that are not saved yet.
func (i *Instance) readOutcomes() {
	tableIndex := i.State.Index()
	if tableIndex == nil || len(tableIndex.Table.Rollouts) == 0 {
		return
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	items, err := i.Store.Range(ctx, lacewingramp.KeyRollouts)
	if err != nil {
		i.faults.Store.Add(1)
		return
	}
	var outcomes []lacewingramp.RolloutOutcome
	for _, item := range items {
		var o lacewingramp.RolloutOutcome
		if json.Unmarshal(item.Value, &o) == nil {
			outcomes = append(outcomes, o)
		}
	}
	i.State.Lock()
	adopted := i.State.Rollouts.Record(nil, outcomes)
	i.State.Unlock()
	i.logAdoptions(adopted, "store")
	i.startTask("save outcomes", i.saveOutcomes)
}
