package instance

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/holding"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// change alters a Holding before it is written back. It returns false where
// there is nothing to write.
type change func(h *holding.Holding) bool

func (i *Instance) holdingKey() string {
	return lacewingramp.KeyHoldings + i.State.Self.Domain
}

func (i *Instance) readHolding() (holding.Holding, int64, bool) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	item, err := i.Store.Get(ctx, i.holdingKey())
	if err != nil {
		i.faults.Store.Add(1)
		return holding.Holding{}, 0, false
	}
	var h holding.Holding
	if item.Revision > 0 {
		if err := json.Unmarshal(item.Value, &h); err != nil || h.Check() != nil {
			i.Log.Error().Str("key", item.Key).Msg("holding can not be read")
			return holding.Holding{}, 0, false
		}
	}
	return h, item.Revision, true
}

// writeHolding changes the domain's key by compare-and-swap until it has won
// or there is nothing left to change. An answer that was lost is settled by
// reading the edit back.
func (i *Instance) writeHolding(f change) bool {
	const tries = 5
	for range tries {
		h, revision, ok := i.readHolding()
		if !ok || revision == 0 || !f(&h) {
			return false
		}
		done, again := i.swapHolding(h, revision)
		if done {
			i.learn(h)
			return true
		}
		if !again {
			return false
		}
	}
	return false
}

func (i *Instance) swapHolding(h holding.Holding, base int64) (done, again bool) {
	h.Edit = rand.Text()
	value, err := json.Marshal(h)
	if err != nil {
		return false, false
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	_, err = i.Store.CompareAndSwap(ctx, i.holdingKey(), value, base, 0)
	if err == nil {
		return true, false
	}
	if errors.Is(err, lacewingramp.ErrConflict) {
		return false, true
	}
	i.faults.Store.Add(1)
	if !errors.Is(err, lacewingramp.ErrUnknownOutcome) {
		return false, false
	}
	now, _, ok := i.readHolding()
	return ok && now.Edit == h.Edit, false
}

// create writes the domain's key for the first time, with every shard at this
// instance. The domain has a part only once all others have come down to the
// split.
func (i *Instance) create() {
	t := i.State.Index().Table
	others, ok := i.allHoldings()
	if !ok {
		return
	}
	part, known := holding.Split(t)[i.State.Self.Domain]
	if !known {
		return
	}
	h := holding.Holding{Domain: i.State.Self.Domain, Part: quota.Part{Region: part.Region}}
	if holding.MayGrow(t.Split, h.Domain, others) {
		h.Part, h.Split = part, t.Split
	}
	for n := range h.Shards {
		h.Shards[n] = holding.Shard{Holder: i.State.Self.Name, Epoch: 1}
	}
	h.Endpoints = []lacewingramp.Endpoint{i.State.Self}
	if done, _ := i.swapHolding(h, 0); !done {
		return
	}
	i.learn(h)
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	for n := range h.Shards {
		i.Carrier.Wake(i.State.Hold(now, n, 1, lacewingramp.ShardTransfer{}))
	}
}

func (i *Instance) allHoldings() ([]holding.Holding, bool) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	items, err := i.Store.Range(ctx, lacewingramp.KeyHoldings)
	if err != nil {
		i.faults.Store.Add(1)
		return nil, false
	}
	all := make([]holding.Holding, 0, len(items))
	for _, item := range items {
		var h holding.Holding
		if json.Unmarshal(item.Value, &h) == nil {
			all = append(all, h)
		}
	}
	return all, true
}

// learn takes in the domain's key. Shards that it shows in other hands under
// a newer epoch are no longer this instance's.
func (i *Instance) learn(h holding.Holding) {
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	i.State.Holding = h
	i.State.Known = true
	i.State.Reconfigure(now)
	i.State.Roster.List(now, h.Endpoints)
	i.forfeit(now, i.lost(h))
}

// lost lists the shards that this instance has lost to another.
func (i *Instance) lost(h holding.Holding) []int {
	var all []int
	for n, s := range h.Shards {
		if e, ok := i.State.Claims[n]; ok && s.Holder != i.State.Self.Name && s.Epoch >= e {
			all = append(all, n)
		}
	}
	return all
}

// forfeit drops shards that another instance has taken. It needs the lock.
func (i *Instance) forfeit(now time.Time, shards []int) {
	for _, n := range shards {
		i.State.Quota.Forfeit(now, n)
		i.State.Forfeit(n)
		i.faults.Forfeits.Add(1)
	}
}

// recordClaims writes this instance's claims into the key. One that comes up
// meanwhile is written by the next plan.
func (i *Instance) recordClaims() {
	i.writeHolding(i.record)
}

// record writes every newer claim of this instance into the key.
func (i *Instance) record(h *holding.Holding) bool {
	i.State.Lock()
	defer i.State.Unlock()
	self := i.State.Self
	changed := false
	for n, e := range i.State.Claims {
		if e > h.Shards[n].Epoch {
			h.Shards[n] = holding.Shard{Holder: self.Name, Epoch: e}
			changed = true
		}
	}
	if changed {
		h.Endpoints = endpoints(h, self)
	}
	return changed
}

// endpoints keeps how the holders are reached.
func endpoints(h *holding.Holding, self lacewingramp.Endpoint) []lacewingramp.Endpoint {
	kept := []lacewingramp.Endpoint{self}
	for _, e := range h.Endpoints {
		if e.Name != self.Name && slices.ContainsFunc(h.Shards[:], func(s holding.Shard) bool { return s.Holder == e.Name }) {
			kept = append(kept, e)
		}
	}
	return kept
}
