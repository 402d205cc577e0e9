package instance

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/assignment"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// holdingUpdate modifies a Holding before it is written back. It returns false if there
// is nothing to write.
type holdingUpdate func(h *assignment.Assignment) bool

func (i *Instance) holdingKey() string {
	return lacewingramp.KeyHoldings + i.State.Self.Domain
}

func (i *Instance) readHolding() (assignment.Assignment, int64, bool) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	item, err := i.Store.Get(ctx, i.holdingKey())
	if err != nil {
		i.faults.Store.Add(1)
		return assignment.Assignment{}, 0, false
	}
	var h assignment.Assignment
	if item.Revision > 0 {
		if err := json.Unmarshal(item.Value, &h); err != nil || h.Check() != nil {
			i.Log.Error().Str("key", item.Key).Msg("ignored an invalid holding in the store")
			return assignment.Assignment{}, 0, false
		}
	}
	return h, item.Revision, true
}

// updateHolding updates the domain's key by compare-and-swap. On a conflict it reads
// the key again and retries, up to maxAttempts times, until the write succeeds or
// update has nothing left to write. If the store's response is lost,
// compareAndSwapHolding determines the outcome by reading the edit id back.
func (i *Instance) updateHolding(update holdingUpdate) bool {
	const maxAttempts = 5
	for range maxAttempts {
		h, revision, ok := i.readHolding()
		if !ok || revision == 0 || !update(&h) {
			return false
		}
		written, conflict := i.compareAndSwapHolding(h, revision)
		if written {
			i.applyHolding(h)
			return true
		}
		if !conflict {
			return false
		}
	}
	return false
}

func (i *Instance) compareAndSwapHolding(h assignment.Assignment, base int64) (written, conflict bool) {
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
	current, _, ok := i.readHolding()
	return ok && current.Edit == h.Edit, false
}

// createHolding creates the domain's key, with this instance as the holder of every
// shard. The domain gets its part of the limits only if the keys of all other domains
// have been lowered to the Table's split already. Otherwise applySplit assigns it later.
func (i *Instance) createHolding() {
	t := i.State.Index().Table
	others, ok := i.readAllHoldings()
	if !ok {
		return
	}
	part, inTable := assignment.Split(t)[i.State.Self.Domain]
	if !inTable {
		return
	}
	h := assignment.Assignment{Domain: i.State.Self.Domain, DomainShares: quota.DomainShares{Region: part.Region}}
	if assignment.MayGrow(t.Split, h.Domain, others) {
		h.DomainShares, h.Split = part, t.Split
	}
	for n := range h.Shards {
		h.Shards[n] = assignment.Shard{Holder: i.State.Self.Name, Epoch: 1}
	}
	h.Endpoints = []lacewingramp.Endpoint{i.State.Self}
	if written, _ := i.compareAndSwapHolding(h, 0); !written {
		return
	}
	i.applyHolding(h)
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	for n := range h.Shards {
		i.Dispatcher.DeliverGrants(i.State.Hold(now, n, 1, lacewingramp.ShardTransfer{}))
	}
}

func (i *Instance) readAllHoldings() ([]assignment.Assignment, bool) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	items, err := i.Store.Range(ctx, lacewingramp.KeyHoldings)
	if err != nil {
		i.faults.Store.Add(1)
		return nil, false
	}
	all := make([]assignment.Assignment, 0, len(items))
	for _, item := range items {
		var h assignment.Assignment
		if json.Unmarshal(item.Value, &h) == nil {
			all = append(all, h)
		}
	}
	return all, true
}

// applyHolding stores the value of the domain's key and forfeits the shards that it no
// longer assigns to this instance.
func (i *Instance) applyHolding(h assignment.Assignment) {
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	i.State.Assignment = h
	i.State.AssignmentKnown = true
	i.State.Reconfigure(now)
	i.State.Roster.RecordRegistrations(now, h.Endpoints)
	i.forfeitShards(now, i.lostShards(h))
}

// lostShards returns the shards that this instance claims and that h records for another
// holder, or for none, with the same or a newer epoch. It needs the State's lock.
func (i *Instance) lostShards(h assignment.Assignment) []int {
	var all []int
	for n, s := range h.Shards {
		if e, ok := i.State.Claims[n]; ok && s.Holder != i.State.Self.Name && s.Epoch >= e {
			all = append(all, n)
		}
	}
	return all
}

// forfeitShards drops shards that another instance has taken over. It needs the State's
// lock.
func (i *Instance) forfeitShards(now time.Time, shards []int) {
	for _, n := range shards {
		i.State.Quota.Forfeit(now, n)
		i.State.Forfeit(n)
		i.faults.ForfeitedShards.Add(1)
	}
}

// recordClaims writes this instance's claims to the domain's key. A claim that is added
// in the meantime is written by the next rebalance.
func (i *Instance) recordClaims() {
	i.updateHolding(i.addClaims)
}

// addClaims adds this instance's claims that are newer than h to it, and reports whether
// there were any.
func (i *Instance) addClaims(h *assignment.Assignment) bool {
	i.State.Lock()
	defer i.State.Unlock()
	self := i.State.Self
	changed := false
	for n, e := range i.State.Claims {
		if e > h.Shards[n].Epoch {
			h.Shards[n] = assignment.Shard{Holder: self.Name, Epoch: e}
			changed = true
		}
	}
	if changed {
		h.Endpoints = holderEndpoints(h, self)
	}
	return changed
}

// holderEndpoints returns the endpoints of self and of the other holders in h.
func holderEndpoints(h *assignment.Assignment, self lacewingramp.Endpoint) []lacewingramp.Endpoint {
	kept := []lacewingramp.Endpoint{self}
	for _, e := range h.Endpoints {
		if e.Name != self.Name && slices.ContainsFunc(h.Shards[:], func(s assignment.Shard) bool { return s.Holder == e.Name }) {
			kept = append(kept, e)
		}
	}
	return kept
}
