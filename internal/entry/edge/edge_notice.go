package edge

import (
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/routing"
)

// apply acts on changes of the store, in order. The caller holds the lock.
func (e *Edge) apply(changes []lacewingramp.Change) {
	now := e.Timer.Now()
	listed := false
	for _, c := range changes {
		n, err := e.Reader.Read(c)
		if err != nil {
			e.Log.Warn().Err(err).Str("key", c.Key).Int64("revision", c.Revision).Msg("passed over a key that can not be read")
			e.unreadable(now, c)
			continue
		}
		e.notice(now, &n)
		listed = listed || n.Instance != nil
	}
	if listed {
		e.setKeepers(now)
	}
}

// unreadable drops the target of a listing that can not be read.
func (e *Edge) unreadable(now time.Time, c lacewingramp.Change) {
	c.Deleted = true
	n, err := e.Reader.Read(c)
	if err == nil && n.Listing != nil {
		e.removeTarget(now, n.Listing.Name, n.Revision)
	}
}

func (e *Edge) notice(now time.Time, n *lacewingramp.Notice) {
	switch {
	case n.Table != nil:
		e.takeTable(now, n)
	case n.Listing != nil:
		e.takeListing(now, n)
	case n.Evacuation != nil:
		e.place.Evacuate(now, n.Evacuation.Domain, !n.Removed)
		e.Log.Info().Str("domain", n.Evacuation.Domain).Bool("over", n.Removed).Int64("revision", n.Revision).Msg("evacuation")
	case n.Instance != nil:
		e.takeInstance(now, n)
	case n.Order != nil, n.Start != nil, n.Result != nil:
		e.takeRollout(now, n)
	}
}

func (e *Edge) takeTable(now time.Time, n *lacewingramp.Notice) {
	if n.Removed {
		e.Log.Error().Int64("revision", n.Revision).Msg("the table has been removed, the last one stays in force")
		return
	}
	old := e.routes.Load()
	if old != nil && old.Table.Revision >= n.Table.Revision {
		return
	}
	m := routing.New(n.Table)
	e.place.Configure(n.Table.Services)
	e.quota.Configure(now, m.Limits())
	e.pool.Configure(now, m.Limits())
	clear(e.dry)
	e.routes.Store(m)
	if old == nil {
		close(e.tabled)
	}
	e.ready.Store(true)
	e.Log.Info().Int64("table", n.Table.Revision).Int64("revision", n.Revision).Int("routes", len(n.Table.Routes)).
		Int("customers", len(n.Table.Customers)).Msg("table in force")
}

func (e *Edge) takeListing(now time.Time, n *lacewingramp.Notice) {
	name := n.Listing.Name
	if n.Removed {
		if until, ok := e.lapseEnd(now); ok {
			e.lapsed[name] = until
			e.Log.Info().Str("target", name).Int64("revision", n.Revision).Dur("kept", until.Sub(now)).
				Msg("a listing ended while the store was away")
			return
		}
		e.removeTarget(now, name, n.Revision)
		return
	}
	delete(e.lapsed, name)
	known, ok := e.place.Target(name)
	if left := e.place.Update(now, *n.Listing); left != "" {
		e.client.Drop(left)
	}
	if !ok || known.Leaving != n.Listing.Leaving || known.Born != n.Listing.Born {
		e.Log.Info().Str("target", name).Str("service", n.Listing.Service).Str("version", n.Listing.Version).
			Str("domain", n.Listing.Domain).Bool("leaving", n.Listing.Leaving).Dur("cold", n.Listing.Cold).
			Int64("revision", n.Revision).Msg("target listed")
		e.setRollouts(now)
	}
}

// lapseEnd returns until when a listing that ends now may come back, if it may
// have ended because the store was away and not because its target has left.
func (e *Edge) lapseEnd(now time.Time) (time.Time, bool) {
	until := e.store.dark.Add(lapseTime)
	if !now.Before(until) {
		return time.Time{}, false
	}
	if latest := now.Add(lapseMost); until.After(latest) {
		until = latest
	}
	return until, true
}

func (e *Edge) removeTarget(now time.Time, name string, revision int64) {
	if _, ok := e.place.Target(name); !ok {
		return
	}
	e.client.Drop(e.place.Remove(name))
	e.Log.Info().Str("target", name).Int64("revision", revision).Msg("target gone")
	e.setRollouts(now)
}

// sweepLapsed drops the targets whose listings have not come back in time
// after the store has.
func (e *Edge) sweepLapsed(now time.Time) {
	for name, until := range e.lapsed {
		if e.store.lost && len(e.roll.Direct(now)) == 0 {
			e.lapsed[name] = now.Add(lapseTime)
			continue
		}
		if now.After(until) {
			delete(e.lapsed, name)
			e.removeTarget(now, name, e.mirror.Revision())
		}
	}
}

func (e *Edge) takeInstance(now time.Time, n *lacewingramp.Notice) {
	name := n.Key[len(lacewingramp.KeyInstances):]
	if name == e.Name {
		e.listed = !n.Removed
	}
	if n.Removed {
		e.roll.Unlist(name)
		return
	}
	if err := n.Instance.Check(); err != nil {
		e.Log.Warn().Err(err).Str("key", n.Key).Msg("passed over an instance that can not be reached")
		return
	}
	e.roll.List(now, *n.Instance)
	e.setMembers(now)
	e.quota.Tick(now)
}
