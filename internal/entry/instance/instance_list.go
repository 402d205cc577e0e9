package instance

import (
	"encoding/json"
	"errors"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Periods of the platform's list.
const (
	listTTL     = 90 * time.Second
	renewPeriod = 30 * time.Second
	// rareList is how often an instance reads the list that does not speak
	// for its domain.
	rareList = time.Minute
)

// list reads the platform's list of instances and keeps this one on it.
func (i *Instance) list(now time.Time) {
	i.once("list", func() {
		i.mu.Lock()
		due := now.Sub(i.listed) >= rareList
		i.mu.Unlock()
		if due || i.speaks(now) {
			i.readList()
			i.readOutcomes()
		}
		if now.Sub(i.renewedAt()) >= renewPeriod {
			i.register()
		}
	})
}

func (i *Instance) readList() {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	items, err := i.Store.Range(ctx, lacewingramp.KeyInstances)
	if err != nil {
		i.faults.Store.Add(1)
		return
	}
	all := make([]lacewingramp.Endpoint, 0, len(items))
	for _, item := range items {
		var e lacewingramp.Endpoint
		if json.Unmarshal(item.Value, &e) == nil && e.Check() == nil {
			all = append(all, e)
		}
	}
	now := i.Timer.Now()
	i.State.Lock()
	i.State.Roster.List(now, all)
	i.State.Unlock()
	i.mu.Lock()
	i.listed = now
	i.mu.Unlock()
}

func (i *Instance) renewedAt() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.renewed
}

// register puts this instance on the list under a lease, or renews it. A
// lease that lapsed while the process stood still is opened anew.
func (i *Instance) register() {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	i.mu.Lock()
	id := i.lease
	i.mu.Unlock()
	if id != 0 {
		err := i.Store.RenewLease(ctx, id)
		if err == nil {
			i.registered(id)
			return
		}
		i.faults.Store.Add(1)
		if !errors.Is(err, lacewingramp.ErrLeaseExpired) {
			return
		}
	}
	id, err := i.Store.GrantLease(ctx, int64(listTTL/time.Second))
	if err != nil {
		i.faults.Store.Add(1)
		return
	}
	if i.publish(id) {
		i.registered(id)
	}
}

func (i *Instance) registered(id lacewingramp.LeaseID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lease = id
	i.renewed = i.Timer.Now()
}

func (i *Instance) listKey() string {
	return lacewingramp.KeyInstances + i.State.Self.Name
}

// publish writes this instance's entry of the list.
func (i *Instance) publish(id lacewingramp.LeaseID) bool {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	i.State.Lock()
	value, err := json.Marshal(i.State.Self)
	i.State.Unlock()
	if err != nil {
		return false
	}
	base, err := i.Store.Revision(ctx, i.listKey())
	if err != nil {
		i.faults.Store.Add(1)
		return false
	}
	if _, err := i.Store.CompareAndSwap(ctx, i.listKey(), value, base, id); err != nil {
		i.faults.Store.Add(1)
		return errors.Is(err, lacewingramp.ErrUnknownOutcome)
	}
	return true
}
