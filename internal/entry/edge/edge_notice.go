package edge

import (
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/routing"
)

// apply applies changes of the store in order. The caller must hold e.mu.
func (e *Edge) apply(changes []lacewingramp.Change) {
	now := e.Timer.Now()
	instancesChanged := false
	for _, c := range changes {
		n, err := e.EventDecoder.Decode(c)
		if err != nil {
			e.Log.Warn().Err(err).Str("key", c.Key).Int64("revision", c.Revision).Msg("ignored a key that cannot be decoded")
			e.dropUnreadable(now, c)
			continue
		}
		e.applyNotice(now, &n)
		instancesChanged = instancesChanged || n.Instance != nil
	}
	if instancesChanged {
		e.updatePoolMembers(now)
	}
}

// dropUnreadable removes the target whose listing cannot be decoded.
func (e *Edge) dropUnreadable(now time.Time, c lacewingramp.Change) {
	c.Deleted = true
	n, err := e.EventDecoder.Decode(c)
	if err == nil && n.TargetRegistration != nil {
		e.removeTarget(now, n.TargetRegistration.Name, n.Revision)
	}
}

func (e *Edge) applyNotice(now time.Time, n *lacewingramp.StoreEvent) {
	switch {
	case n.Table != nil:
		e.applyTable(now, n)
	case n.TargetRegistration != nil:
		e.applyListing(now, n)
	case n.Evacuation != nil:
		e.placer.Evacuate(now, n.Evacuation.Domain, !n.Removed)
		e.Log.Info().Str("domain", n.Evacuation.Domain).Bool("over", n.Removed).Int64("revision", n.Revision).Msg("evacuation")
	case n.Instance != nil:
		e.applyInstance(now, n)
	case n.RolloutOrder != nil, n.RolloutStart != nil, n.RolloutStatus != nil:
		e.applyRollout(now, n)
	}
}

func (e *Edge) applyTable(now time.Time, n *lacewingramp.StoreEvent) {
	if n.Removed {
		e.Log.Error().Int64("revision", n.Revision).Msg("the table was deleted, the last one stays in force")
		return
	}
	old := e.routes.Load()
	if old != nil && old.Table.Revision >= n.Table.Revision {
		return
	}
	m := routing.New(n.Table)
	e.placer.Configure(n.Table.Services)
	e.quota.Configure(now, m.Limits())
	e.pool.Configure(now, m.Limits())
	clear(e.poolBackoff)
	e.routes.Store(m)
	if old == nil {
		close(e.tableLoaded)
	}
	e.ready.Store(true)
	e.Log.Info().Int64("table", n.Table.Revision).Int64("revision", n.Revision).Int("routes", len(n.Table.Routes)).
		Int("customers", len(n.Table.Customers)).Msg("table in force")
}

func (e *Edge) applyListing(now time.Time, n *lacewingramp.StoreEvent) {
	name := n.TargetRegistration.Name
	if n.Removed {
		if until, ok := e.relistDeadline(now); ok {
			e.expired[name] = until
			e.Log.Info().Str("target", name).Int64("revision", n.Revision).Dur("kept", until.Sub(now)).
				Msg("kept a target whose listing expired during a store outage")
			return
		}
		e.removeTarget(now, name, n.Revision)
		return
	}
	delete(e.expired, name)
	known, ok := e.placer.Target(name)
	if oldAddress := e.placer.Update(now, *n.TargetRegistration); oldAddress != "" {
		e.client.CloseIdle(oldAddress)
	}
	if !ok || known.Leaving != n.TargetRegistration.Leaving || known.StartMillis != n.TargetRegistration.StartMillis {
		e.Log.Info().Str("target", name).Str("service", n.TargetRegistration.Service).Str("version", n.TargetRegistration.Version).
			Str("domain", n.TargetRegistration.Domain).Bool("leaving", n.TargetRegistration.Leaving).Dur("cold", n.TargetRegistration.Cold).
			Int64("revision", n.Revision).Msg("target listed")
		e.configureRollouts(now)
	}
}

// relistDeadline returns the time until which the target of a listing that ends now is
// kept, or false if there was no recent store outage, in which case the target is gone.
func (e *Edge) relistDeadline(now time.Time) (time.Time, bool) {
	until := e.store.lastOutage.Add(relistGrace)
	if !now.Before(until) {
		return time.Time{}, false
	}
	if latest := now.Add(maxRelistGrace); until.After(latest) {
		until = latest
	}
	return until, true
}

func (e *Edge) removeTarget(now time.Time, name string, revision int64) {
	if _, ok := e.placer.Target(name); !ok {
		return
	}
	e.client.CloseIdle(e.placer.Remove(name))
	e.Log.Info().Str("target", name).Int64("revision", revision).Msg("target gone")
	e.configureRollouts(now)
}

// removeExpired removes the targets that have not listed themselves again in time after
// a store outage. As long as the outage lasts, it extends their time.
func (e *Edge) removeExpired(now time.Time) {
	for name, until := range e.expired {
		if e.store.lost && len(e.peers.ReachingStore(now)) == 0 {
			e.expired[name] = now.Add(relistGrace)
			continue
		}
		if now.After(until) {
			delete(e.expired, name)
			e.removeTarget(now, name, e.mirror.Revision())
		}
	}
}

func (e *Edge) applyInstance(now time.Time, n *lacewingramp.StoreEvent) {
	name := n.Key[len(lacewingramp.KeyInstances):]
	if name == e.Name {
		e.listed = !n.Removed
	}
	if n.Removed {
		e.peers.MarkUnlisted(name)
		return
	}
	if err := n.Instance.Check(); err != nil {
		e.Log.Warn().Err(err).Str("key", n.Key).Msg("ignored an incomplete instance listing")
		return
	}
	e.peers.MarkListed(now, *n.Instance)
	e.updateMembers(now)
	e.quota.Tick(now)
}
