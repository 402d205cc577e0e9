package edge

import (
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/routing"
)

// apply applies changes of the store's keys in order. The caller must hold e.mu.
func (e *Edge) apply(changes []lacewingramp.Change) {
	now := e.Timer.Now()
	instancesChanged := false
	for _, c := range changes {
		if e.usageChanged(c) {
			continue
		}
		event, err := e.EventDecoder.Decode(c)
		if err != nil {
			if e.loglimit.Allow(now, "undecodable") {
				e.Log.Warn().Err(err).Str("key", c.Key).Int64("revision", c.Revision).Msg("ignored a key that cannot be decoded")
			}
			delete(e.reverted, c.Key)
			e.removeUndecodableTarget(now, c)
			continue
		}
		if event.Reverted && e.keepReverted(now, &event) {
			continue
		}
		delete(e.reverted, c.Key)
		e.applyEvent(now, &event)
		instancesChanged = instancesChanged || event.Instance != nil
	}
	if instancesChanged {
		e.updatePoolKeepers(now)
	}
}

// removeUndecodableTarget removes a target whose registration cannot be decoded. It
// decodes the change as a deletion, which only needs the key, to get the target's name.
func (e *Edge) removeUndecodableTarget(now time.Time, c lacewingramp.Change) {
	c.Deleted = true
	event, err := e.EventDecoder.Decode(c)
	if err == nil && event.TargetRegistration != nil {
		e.removeTarget(now, event.TargetRegistration.Name, event.Revision)
	}
}

func (e *Edge) applyEvent(now time.Time, event *lacewingramp.StoreEvent) {
	switch {
	case event.Table != nil:
		e.applyTable(now, event)
	case event.TargetRegistration != nil:
		e.applyTargetRegistration(now, event)
	case event.Evacuation != nil:
		e.placer.Evacuate(now, event.Evacuation.Domain, !event.Removed)
		e.Log.Info().Str("domain", event.Evacuation.Domain).Bool("over", event.Removed).Int64("revision", event.Revision).Msg("evacuation")
	case event.Instance != nil:
		e.applyInstance(now, event)
	case event.RolloutOrder != nil, event.RolloutStart != nil, event.RolloutStatus != nil:
		e.applyRollout(now, event)
	}
}

func (e *Edge) applyTable(now time.Time, event *lacewingramp.StoreEvent) {
	if event.Removed {
		e.Log.Error().Int64("revision", event.Revision).Msg("the table was deleted, the last one stays in force")
		return
	}
	old := e.routes.Load()
	if old != nil && old.Table.Revision >= event.Table.Revision {
		return
	}
	m := routing.New(event.Table)
	e.placer.Configure(event.Table.Services)
	e.placer.SetRoutes(event.Table.Routes)
	e.placer.SetCustomers(event.Table.Customers)
	e.quota.Configure(now, m.Limits())
	e.pool.Configure(now, m.Limits())
	clear(e.poolBackoff)
	e.routes.Store(m)
	e.setUsageNames(event.Table)
	if old == nil {
		close(e.tableLoaded)
	}
	e.ready.Store(true)
	e.Log.Info().Int64("table", event.Table.Revision).Int64("revision", event.Revision).Int("routes", len(event.Table.Routes)).
		Int("customers", len(event.Table.Customers)).Msg("table in force")
}

func (e *Edge) applyTargetRegistration(now time.Time, event *lacewingramp.StoreEvent) {
	name := event.TargetRegistration.Name
	if event.Removed {
		if until, ok := e.reregisterDeadline(now); ok {
			e.expired[name] = until
			e.Log.Info().Str("target", name).Int64("revision", event.Revision).Dur("kept", until.Sub(now)).
				Msg("kept a target whose registration expired during a store outage")
			return
		}
		e.removeTarget(now, name, event.Revision)
		return
	}
	delete(e.expired, name)
	known, ok := e.placer.Registration(name)
	if oldAddress := e.placer.Update(now, *event.TargetRegistration); oldAddress != "" {
		e.client.CloseIdle(oldAddress)
	}
	if !ok || known.Leaving != event.TargetRegistration.Leaving || known.StartMillis != event.TargetRegistration.StartMillis {
		e.Log.Info().Str("target", name).Str("service", event.TargetRegistration.Service).Str("version", event.TargetRegistration.Version).
			Str("domain", event.TargetRegistration.Domain).Bool("leaving", event.TargetRegistration.Leaving).Dur("cold", event.TargetRegistration.WarmupRemaining).
			Int64("revision", event.Revision).Msg("target registered")
		e.configureRollouts(now)
	}
}

// reregisterDeadline returns the time until which the target of a registration that ends
// now is kept. It returns false if there was no recent store outage, in which case the
// target is gone.
func (e *Edge) reregisterDeadline(now time.Time) (time.Time, bool) {
	until := e.store.lastOutage.Add(reregisterGrace)
	if !now.Before(until) {
		return time.Time{}, false
	}
	if latest := now.Add(maxReregisterGrace); until.After(latest) {
		until = latest
	}
	return until, true
}

func (e *Edge) removeTarget(now time.Time, name string, revision int64) {
	if _, ok := e.placer.Registration(name); !ok {
		return
	}
	e.client.CloseIdle(e.placer.Remove(name))
	e.Log.Info().Str("target", name).Int64("revision", revision).Msg("target gone")
	e.configureRollouts(now)
}

// removeExpired removes the targets that have not registered again in time after a store
// outage. As long as the outage lasts, it extends their time.
func (e *Edge) removeExpired(now time.Time) {
	for name, until := range e.expired {
		if e.store.lost && len(e.peers.ReachingStore(now)) == 0 {
			e.expired[name] = now.Add(reregisterGrace)
			continue
		}
		if now.After(until) {
			delete(e.expired, name)
			e.removeTarget(now, name, e.mirror.Position().Revision)
		}
	}
}

func (e *Edge) applyInstance(now time.Time, event *lacewingramp.StoreEvent) {
	name := event.Key[len(lacewingramp.KeyInstances):]
	if name == e.Name {
		e.registered = !event.Removed
	}
	if event.Removed {
		e.peers.MarkUnregistered(name)
		return
	}
	if err := event.Instance.Check(); err != nil {
		e.Log.Warn().Err(err).Str("key", event.Key).Msg("ignored an incomplete instance registration")
		return
	}
	e.peers.MarkRegistered(now, *event.Instance)
	e.updateInstances(now)
	e.quota.Tick(now)
}
