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

// assignmentUpdate modifies an Assignment before it is written back. It returns false if
// there is nothing to write.
type assignmentUpdate func(a *assignment.Assignment) bool

func (i *Instance) assignmentKey() string {
	return lacewingramp.KeyAssignments + i.State.Self.Domain
}

func (i *Instance) readAssignment() (assignment.Assignment, int64, bool) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	item, err := i.Store.Get(ctx, i.assignmentKey())
	if err != nil {
		i.faults.Store.Add(1)
		return assignment.Assignment{}, 0, false
	}
	var a assignment.Assignment
	if item.Revision > 0 {
		if err := json.Unmarshal(item.Value, &a); err != nil || a.Check() != nil {
			i.Log.Error().Str("key", item.Key).Msg("ignored an invalid shard assignment in the store")
			return assignment.Assignment{}, 0, false
		}
	}
	return a, item.Revision, true
}

// updateAssignment updates the domain's key, which contains the domain's Assignment in
// the store, by compare-and-swap. On a conflict it reads the key again and retries, with
// up to maxAttempts attempts in total, until the write succeeds or update has nothing
// left to write. If the store's response is lost, compareAndSwapAssignment determines
// the outcome by reading the WriteID back.
func (i *Instance) updateAssignment(update assignmentUpdate) bool {
	const maxAttempts = 5
	for range maxAttempts {
		a, revision, ok := i.readAssignment()
		if !ok || revision == 0 || !update(&a) {
			return false
		}
		written, conflict := i.compareAndSwapAssignment(a, revision)
		if written {
			i.applyAssignment(a)
			return true
		}
		if !conflict {
			return false
		}
	}
	return false
}

func (i *Instance) compareAndSwapAssignment(a assignment.Assignment, base int64) (written, conflict bool) {
	a.WriteID = rand.Text()
	value, err := json.Marshal(a)
	if err != nil {
		return false, false
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	_, err = i.Store.CompareAndSwap(ctx, i.assignmentKey(), value, base, 0)
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
	current, _, ok := i.readAssignment()
	return ok && current.WriteID == a.WriteID, false
}

// createAssignment creates the domain's key, with this instance as the holder of every
// shard. The domain gets its share of the limits only if the shares in the keys of all
// other domains have been lowered to the Table's split already. Otherwise applySplit
// assigns it later.
func (i *Instance) createAssignment() {
	t := i.State.Index().Table
	others, ok := i.readAllAssignments()
	if !ok {
		return
	}
	shares, inTable := assignment.Split(t)[i.State.Self.Domain]
	if !inTable {
		return
	}
	a := assignment.Assignment{Domain: i.State.Self.Domain, DomainShares: quota.DomainShares{Region: shares.Region}}
	if assignment.MayGrow(t.Split, a.Domain, others) {
		a.DomainShares, a.Split = shares, t.Split
	}
	for n := range a.Shards {
		a.Shards[n] = assignment.Shard{Holder: i.State.Self.Name, Epoch: 1}
	}
	a.HolderEndpoints = []lacewingramp.Endpoint{i.State.Self}
	if written, _ := i.compareAndSwapAssignment(a, 0); !written {
		return
	}
	i.applyAssignment(a)
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	for n := range a.Shards {
		i.Dispatcher.DeliverGrants(i.State.Hold(now, n, 1, lacewingramp.ShardTransfer{}))
	}
}

func (i *Instance) readAllAssignments() ([]assignment.Assignment, bool) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	items, err := i.Store.Range(ctx, lacewingramp.KeyAssignments)
	if err != nil {
		i.faults.Store.Add(1)
		return nil, false
	}
	all := make([]assignment.Assignment, 0, len(items))
	for _, item := range items {
		var a assignment.Assignment
		if json.Unmarshal(item.Value, &a) == nil {
			all = append(all, a)
		}
	}
	return all, true
}

// applyAssignment puts the value of the domain's key in State and forfeits the shards
// that it no longer assigns to this instance.
func (i *Instance) applyAssignment(a assignment.Assignment) {
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	i.State.Assignment = a
	i.State.AssignmentKnown = true
	i.State.Reconfigure(now)
	i.State.Roster.RecordListed(now, a.HolderEndpoints)
	i.forfeitShards(now, i.lostShards(a))
}

// lostShards returns the shards that this instance claims and that a records for another
// holder, or for none, with the same or a newer epoch. It needs the State's lock.
func (i *Instance) lostShards(a assignment.Assignment) []int {
	var all []int
	for n, s := range a.Shards {
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
	i.updateAssignment(i.addClaims)
}

// addClaims adds this instance's claims that are newer than a to it, and reports whether
// there were any.
func (i *Instance) addClaims(a *assignment.Assignment) bool {
	i.State.Lock()
	defer i.State.Unlock()
	self := i.State.Self
	changed := false
	for n, e := range i.State.Claims {
		if e > a.Shards[n].Epoch {
			a.Shards[n] = assignment.Shard{Holder: self.Name, Epoch: e}
			changed = true
		}
	}
	if changed {
		a.HolderEndpoints = holderEndpoints(a, self)
	}
	return changed
}

// holderEndpoints returns the endpoints of self and of the other holders in a.
func holderEndpoints(a *assignment.Assignment, self lacewingramp.Endpoint) []lacewingramp.Endpoint {
	kept := []lacewingramp.Endpoint{self}
	for _, e := range a.HolderEndpoints {
		if e.Name != self.Name && slices.ContainsFunc(a.Shards[:], func(s assignment.Shard) bool { return s.Holder == e.Name }) {
			kept = append(kept, e)
		}
	}
	return kept
}
