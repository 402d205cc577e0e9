package instance

import (
	"encoding/json"
	"errors"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Times to live and periods of the registrations in the store.
const (
	registrationTTL  = 90 * time.Second
	leaseRenewPeriod = 30 * time.Second
	// maxRegistrationsAge is the age at which an instance that does not represent its
	// domain reads the registrations again.
	maxRegistrationsAge = time.Minute
)

// syncRegistrations reads the registrations of all instances and the outcomes of
// rollouts from the store, and renews the registration of this instance.
func (i *Instance) syncRegistrations(now time.Time) {
	i.startTask("sync registrations", func() {
		i.mu.Lock()
		outdated := now.Sub(i.registrationsReadAt) >= maxRegistrationsAge
		i.mu.Unlock()
		if outdated || i.representsDomain(now) {
			i.readRegistrations()
			i.readOutcomes()
		}
		if now.Sub(i.lastLeaseRenewal()) >= leaseRenewPeriod {
			i.register()
		}
	})
}

func (i *Instance) readRegistrations() {
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
	i.State.Roster.RecordListed(now, all)
	i.State.Unlock()
	i.mu.Lock()
	i.registrationsReadAt = now
	i.mu.Unlock()
}

func (i *Instance) lastLeaseRenewal() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaseRenewedAt
}

// register registers this instance under a lease, or renews the lease. If the lease has
// expired, for example while the process was paused, it registers under a new one.
func (i *Instance) register() {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	i.mu.Lock()
	id := i.lease
	i.mu.Unlock()
	if id != 0 {
		err := i.Store.RenewLease(ctx, id)
		if err == nil {
			i.recordLease(id)
			return
		}
		i.faults.Store.Add(1)
		if !errors.Is(err, lacewingramp.ErrLeaseExpired) {
			return
		}
	}
	id, err := i.Store.GrantLease(ctx, int64(registrationTTL/time.Second))
	if err != nil {
		i.faults.Store.Add(1)
		return
	}
	if i.writeRegistration(id) {
		i.recordLease(id)
	}
}

func (i *Instance) recordLease(id lacewingramp.LeaseID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lease = id
	i.leaseRenewedAt = i.Timer.Now()
}

func (i *Instance) registrationKey() string {
	return lacewingramp.KeyInstances + i.State.Self.Name
}

// writeRegistration writes this instance's registration to the store.
func (i *Instance) writeRegistration(id lacewingramp.LeaseID) bool {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	i.State.Lock()
	value, err := json.Marshal(i.State.Self)
	i.State.Unlock()
	if err != nil {
		return false
	}
	base, err := i.Store.Revision(ctx, i.registrationKey())
	if err != nil {
		i.faults.Store.Add(1)
		return false
	}
	if _, err := i.Store.CompareAndSwap(ctx, i.registrationKey(), value, base, id); err != nil {
		i.faults.Store.Add(1)
		return errors.Is(err, lacewingramp.ErrUnknownOutcome)
	}
	return true
}
