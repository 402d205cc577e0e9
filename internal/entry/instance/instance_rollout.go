package instance

import (
	"encoding/json"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
)

// outcomesRetryDelay is the minimum time between two reads of outcomes that are waited for.
const outcomesRetryDelay = time.Second

// handleOutcomes writes the outcomes that this instance has decided on to the store, and
// tells the other instances of them immediately.
func (i *Instance) handleOutcomes(all []lacewingramp.RolloutOutcome) {
	for _, o := range all {
		i.Log.Warn().Str("rollout", o.Rollout).Str("state", o.State).Str("reason", o.Reason).Msg("rollout decided")
	}
	i.startTask("exchange digests", func() { i.exchangeDigests(i.Timer.Now()) })
	i.startTask("save outcomes", i.saveOutcomes)
}

func outcomeKey(o lacewingramp.RolloutOutcome) string {
	return lacewingramp.KeyRollouts + o.Rollout + "@" + o.Start.UTC().Format(time.RFC3339)
}

// saveOutcomes writes each outcome that is not recorded to the store, unless that has one.
// Those that could not be written are tried again by readOutcomes.
func (i *Instance) saveOutcomes() {
	i.State.Lock()
	all := i.State.Rollouts.Unrecorded()
	i.State.Unlock()
	for _, o := range all {
		if record, ok := i.saveOutcome(o); ok {
			i.applyRecords([]lacewingramp.RolloutOutcome{record})
		}
	}
}

// saveOutcome writes an outcome to the store and returns the one that the store has then. It
// returns false if that is unknown.
func (i *Instance) saveOutcome(o lacewingramp.RolloutOutcome) (record lacewingramp.RolloutOutcome, ok bool) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	item, err := i.Store.Get(ctx, outcomeKey(o))
	if err != nil {
		i.faults.Store.Add(1)
		return record, false
	}
	if item.Revision > 0 {
		if record, ok = i.decodeOutcome(item); ok {
			return record, true
		}
	}
	value, err := json.Marshal(o)
	if err != nil {
		i.Log.Error().Err(err).Str("rollout", o.Rollout).Msg("could not encode the outcome of a rollout")
		return record, false
	}
	if _, err = i.Store.CompareAndSwap(ctx, outcomeKey(o), value, item.Revision, 0); err != nil {
		i.faults.Store.Add(1)
		return record, false
	}
	return o, true
}

func (i *Instance) decodeOutcome(item lacewingramp.KeyValue) (o lacewingramp.RolloutOutcome, ok bool) {
	if err := json.Unmarshal(item.Value, &o); err != nil {
		i.Log.Error().Err(err).Str("key", item.Key).Msg("ignored an outcome in the store that cannot be decoded")
		return o, false
	}
	return o, true
}

// applyRecords applies outcomes that the store has.
func (i *Instance) applyRecords(records []lacewingramp.RolloutOutcome) {
	var adopted []rollout.Adoption
	i.State.Lock()
	for _, o := range records {
		if a, ok := i.State.Rollouts.ApplyRecord(o); ok {
			adopted = append(adopted, a)
		}
	}
	i.State.Unlock()
	rollout.LogAdoptions(&i.Log, adopted, "store")
}

// readOutcomes applies the outcomes in the store, so that an instance learns of those
// that it has not decided itself, and tries again to write the outcomes that are not saved yet.
func (i *Instance) readOutcomes() {
	tableIndex := i.State.Index()
	if tableIndex == nil || len(tableIndex.Table.Rollouts) == 0 {
		return
	}
	requestedAt := i.Timer.Now()
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	items, err := i.Store.Range(ctx, lacewingramp.KeyRollouts)
	if err != nil {
		i.faults.Store.Add(1)
		return
	}
	var records []lacewingramp.RolloutOutcome
	for _, item := range items {
		if o, ok := i.decodeOutcome(item); ok {
			records = append(records, o)
		}
	}
	i.applyRecords(records)
	i.mu.Lock()
	i.outcomesReadAt = requestedAt
	i.mu.Unlock()
	i.startTask("save outcomes", i.saveOutcomes)
}

// awaitRecords reads the outcomes in the store if a rollout has passed its deadline and none
// is known.
func (i *Instance) awaitRecords(now time.Time) {
	i.mu.Lock()
	due := now.Sub(i.outcomesRequestedAt) >= outcomesRetryDelay
	if due {
		i.outcomesRequestedAt = now
	}
	i.mu.Unlock()
	if due {
		i.startTask("read outcomes", i.readOutcomes)
	}
}

// outcomesReadTime returns a time up to which this instance knows the outcomes in the store.
func (i *Instance) outcomesReadTime() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.outcomesReadAt
}
