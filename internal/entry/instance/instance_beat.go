package instance

import (
	"context"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/roster"
	"lacewingramp.example/lacewingramp/internal/steer/region"
)

// sparesMost is how many subjects a digest offers quota of.
const sparesMost = 32

// digest says what this instance tells another.
func (i *Instance) digest(now time.Time, domain string) *lacewingramp.Digest {
	i.State.Lock()
	defer i.State.Unlock()
	d := &lacewingramp.Digest{
		Endpoint:       i.State.Self,
		SinceConfirmed: now.Sub(i.State.Confirmed),
		Claims:         claims(i.State.Claims),
		CrashCounts:    i.State.Guard.CrashCounts(now),
		Relayed:        i.State.Roster.Relay(now, domain),
		Evidence:       i.State.Rollouts.Evidence(),
		Outcomes:       i.State.Rollouts.Outcomes(),
	}
	if x := i.State.Index(); x != nil {
		d.Revision = x.Table.Revision
	}
	if i.State.Known && domain == i.State.Self.Domain {
		h := i.State.Holding
		d.Part = &lacewingramp.Part{Customers: h.Part.Customers, Caps: h.Part.Caps, Region: h.Part.Region, Split: h.Split}
	}
	if !i.State.Self.Leaving {
		d.Rooms = i.State.Pool.Rooms(now)
	}
	if !i.State.Quota.Suspended(now) {
		d.Spares = busiest(i.State.Quota.Spares(now, isCustomer))
	}
	return d
}

func isCustomer(s lacewingramp.Subject) bool {
	return s.Kind == lacewingramp.SubjectCustomer
}

func claims(all map[int]int64) []lacewingramp.Claim {
	list := make([]lacewingramp.Claim, 0, len(all))
	for s, e := range all {
		list = append(list, lacewingramp.Claim{Shard: s, Epoch: e})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Shard < list[b].Shard })
	return list
}

// busiest keeps the offers that are worth most.
func busiest(all []lacewingramp.Spare) []lacewingramp.Spare {
	sort.Slice(all, func(a, b int) bool {
		if all[a].Tokens != all[b].Tokens {
			return all[a].Tokens > all[b].Tokens
		}
		return all[a].Subject.Name < all[b].Subject.Name
	})
	return all[:min(len(all), sparesMost)]
}

// beat exchanges digests with every contact.
func (i *Instance) beat(now time.Time) {
	i.State.Lock()
	contacts := i.State.Roster.Contacts(now)
	i.State.Unlock()
	for _, e := range contacts {
		i.once("beat "+e.Peer, func() { i.beatOne(e) })
	}
	i.steer(now)
}

func (i *Instance) beatOne(e lacewingramp.Endpoint) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	sent := i.Timer.Now()
	d, err := i.Peer.ExchangeDigests(ctx, e.Peer, i.digest(sent, e.Domain))
	if err != nil {
		i.probe(e)
		return
	}
	i.hear(sent, d)
}

// probe finds out over a fresh connection whether a silent instance is there.
func (i *Instance) probe(e lacewingramp.Endpoint) {
	if e.Name == "" {
		return
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	gone, err := i.Peer.CheckConnection(ctx, e.Peer, e.Name)
	if err == nil && !gone {
		return
	}
	i.State.Lock()
	defer i.State.Unlock()
	i.State.Roster.Missed(e.Name, gone)
}

// hear takes in a digest. sent is a moment before the digest was made, or
// zero where none is known.
func (i *Instance) hear(sent time.Time, d *lacewingramp.Digest) {
	now := i.Timer.Now()
	i.State.Lock()
	i.State.Roster.Record(now, d)
	i.State.Guard.Merge(now, d.CrashCounts)
	i.State.Quota.Record(d.Name, d.Spares)
	i.State.Rollouts.Record(d.Evidence, d.Outcomes)
	for _, o := range d.Relayed {
		i.State.Rollouts.Record(o.Digest.Evidence, o.Digest.Outcomes)
	}
	revision := int64(0)
	if x := i.State.Index(); x != nil {
		revision = x.Table.Revision
	}
	i.State.Unlock()
	if d.Revision > revision {
		i.fetchFrom(d.Endpoint)
	}
	if d.Revision == revision && !sent.IsZero() {
		i.confirmed(sent.Add(-d.SinceConfirmed))
	}
}

// steer gives the look-ups the instances and loads that are known.
func (i *Instance) steer(now time.Time) {
	i.State.Lock()
	defer i.State.Unlock()
	var all []lacewingramp.Endpoint
	if !i.State.Self.Leaving {
		all = append(all, i.State.Self)
	}
	sums := make(map[loadKey]*region.Load)
	addLoads(sums, i.State.Self.Domain, i.State.Pool.Rooms(now))
	for _, m := range i.State.Roster.Members() {
		if !usable(now, m) {
			continue
		}
		all = append(all, m.Digest.Endpoint)
		addLoads(sums, m.Digest.Domain, m.Digest.Rooms)
	}
	i.State.Guide.Instances(all)
	loads := make([]region.Load, 0, len(sums))
	for _, l := range sums {
		loads = append(loads, *l)
	}
	i.State.Guide.Observe(now, loads)
}

func usable(now time.Time, m *roster.Member) bool {
	return m.Live(now) && !m.Digest.Leaving && m.Digest.Caller != ""
}

type loadKey struct {
	domain  string
	service string
}

func addLoads(sums map[loadKey]*region.Load, domain string, rooms []lacewingramp.ServiceCapacity) {
	for _, r := range rooms {
		k := loadKey{domain: domain, service: r.Service}
		l, ok := sums[k]
		if !ok {
			l = &region.Load{Domain: domain, Service: r.Service}
			sums[k] = l
		}
		l.Slots += r.Slots
		l.Used += r.Slots - r.Free
		l.Waiting += r.Waiting
	}
}

// NotifyCrash tells the other instances at once that a target died.
func (i *Instance) NotifyCrash() {
	i.once("died", func() { i.beat(i.Timer.Now()) })
}

// ServeExchangeDigests answers a heartbeat.
func (i *Instance) ServeExchangeDigests(_ context.Context, d *lacewingramp.Digest) (*lacewingramp.Digest, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	i.hear(time.Time{}, d)
	return i.digest(i.Timer.Now(), d.Domain), nil
}

// ServeTable answers with the Table in force.
func (i *Instance) ServeTable(context.Context) (*lacewingramp.Table, error) {
	x := i.State.Index()
	if x == nil {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseTable, "no table in force yet")
	}
	return x.Table, nil
}

// ServeName answers with the instance's name.
func (i *Instance) ServeName(context.Context) string {
	return i.State.Self.Name
}

// ServeForward runs a request for another instance.
func (i *Instance) ServeForward(ctx context.Context, c *lacewingramp.Carry) (*lacewingramp.Answer, error) {
	return i.Carrier.ServePeer(ctx, c), nil
}
