package instance

import (
	"context"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
	"lacewingramp.example/lacewingramp/internal/peer/roster"
	"lacewingramp.example/lacewingramp/internal/steer/resolver"
)

// maxSpares is the maximum number of subjects whose spare quota a digest offers.
const maxSpares = 32

// buildDigest returns the digest that this instance sends to an instance of domain.
func (i *Instance) buildDigest(now time.Time, domain string) *lacewingramp.Digest {
	i.State.Lock()
	defer i.State.Unlock()
	d := &lacewingramp.Digest{
		Endpoint:       i.State.Self,
		SinceConfirmed: now.Sub(i.State.TableConfirmedAt),
		Claims:         sortedClaims(i.State.Claims),
		CrashCounts:    i.State.Guard.CrashCounts(now),
		Relayed:        i.State.Roster.DigestsToRelay(now, domain),
		RolloutStats:   append(i.State.Rollouts.RolloutStats(), i.State.Rollouts.EndedStats(i.isLive(now))...),
		Outcomes:       i.State.Rollouts.Outcomes(now),
	}
	if tableIndex := i.State.Index(); tableIndex != nil {
		d.Revision = tableIndex.Table.Revision
	}
	if i.State.AssignmentKnown && domain == i.State.Self.Domain {
		a := i.State.Assignment
		d.DomainShares = &lacewingramp.DomainShares{Customers: a.DomainShares.Customers, Caps: a.DomainShares.Caps, Region: a.DomainShares.Region, Split: a.Split}
	}
	if !i.State.Self.Leaving {
		d.Capacities = i.State.Pool.Capacities(now)
	}
	if !i.State.Quota.Suspended(now) {
		d.Spares = largestSpares(i.State.Quota.Spares(now, isCustomer))
	}
	return d
}

// isLive returns whether an instance is live, by name. The caller must hold the State's lock.
func (i *Instance) isLive(now time.Time) func(name string) bool {
	return func(name string) bool {
		m, ok := i.State.Roster.Find(name)
		return ok && m.Live(now)
	}
}

func isCustomer(s lacewingramp.Subject) bool {
	return s.Kind == lacewingramp.SubjectCustomer
}

func sortedClaims(all map[int]int64) []lacewingramp.ShardClaim {
	list := make([]lacewingramp.ShardClaim, 0, len(all))
	for s, e := range all {
		list = append(list, lacewingramp.ShardClaim{Shard: s, Epoch: e})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Shard < list[b].Shard })
	return list
}

// largestSpares returns the maxSpares offers with the most tokens.
func largestSpares(all []lacewingramp.SpareQuota) []lacewingramp.SpareQuota {
	sort.Slice(all, func(a, b int) bool {
		if all[a].Tokens != all[b].Tokens {
			return all[a].Tokens > all[b].Tokens
		}
		return all[a].Subject.Name < all[b].Subject.Name
	})
	return all[:min(len(all), maxSpares)]
}

// exchangeDigests starts an exchange of digests with every instance that the Roster
// selects, and updates the Resolver.
func (i *Instance) exchangeDigests(now time.Time) {
	i.State.Lock()
	contacts := i.State.Roster.Contacts(now)
	i.State.Unlock()
	for _, e := range contacts {
		i.startTask("exchange digest "+e.Peer, func() { i.exchangeDigestWith(e) })
	}
	i.updateResolver(now)
}

func (i *Instance) exchangeDigestWith(e lacewingramp.Endpoint) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	sentAt := i.Timer.Now()
	d, err := i.Peer.ExchangeDigests(ctx, e.Peer, i.buildDigest(sentAt, e.Domain))
	if err != nil {
		i.probePeer(e)
		return
	}
	i.applyDigest(sentAt, d)
}

// probePeer checks over a new connection whether an instance that did not answer still
// runs at its address. If the connection fails or another instance answers there, it
// records this in the Roster.
func (i *Instance) probePeer(e lacewingramp.Endpoint) {
	if e.Name == "" {
		return
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	replaced, err := i.Peer.CheckConnection(ctx, e.Peer, e.Name)
	if err == nil && !replaced {
		return
	}
	i.State.Lock()
	defer i.State.Unlock()
	i.State.Roster.RecordFailure(e.Name, replaced)
}

// applyDigest applies a received digest. sentAt is a time before the digest was made, or
// zero if none is known.
func (i *Instance) applyDigest(sentAt time.Time, d *lacewingramp.Digest) {
	now := i.Timer.Now()
	i.State.Lock()
	i.State.Roster.Record(now, d)
	i.State.Guard.Merge(now, d.CrashCounts)
	i.State.Quota.Record(d.Name, d.Spares)
	adopted := i.State.Rollouts.Record(d.RolloutStats, d.Outcomes)
	for _, relayed := range d.Relayed {
		adopted = append(adopted, i.State.Rollouts.Record(relayed.Digest.RolloutStats, relayed.Digest.Outcomes)...)
	}
	revision := int64(0)
	if tableIndex := i.State.Index(); tableIndex != nil {
		revision = tableIndex.Table.Revision
	}
	i.State.Unlock()
	rollout.LogAdoptions(&i.Log, adopted, d.Name)
	if d.Revision > revision {
		i.fetchTableFromPeer(d.Endpoint)
	}
	if d.Revision == revision && !sentAt.IsZero() {
		i.recordConfirmation(sentAt.Add(-d.SinceConfirmed))
	}
}

// updateResolver passes the available instances and the load of each domain to the
// Resolver, which answers lookups.
func (i *Instance) updateResolver(now time.Time) {
	i.State.Lock()
	defer i.State.Unlock()
	var available []lacewingramp.Endpoint
	if !i.State.Self.Leaving {
		available = append(available, i.State.Self)
	}
	totals := make(map[loadKey]*resolver.Load)
	addLoads(totals, i.State.Self.Domain, i.State.Pool.Capacities(now))
	for _, m := range i.State.Roster.Members() {
		if !servesCallers(now, m) {
			continue
		}
		available = append(available, m.Digest.Endpoint)
		addLoads(totals, m.Digest.Domain, m.Digest.Capacities)
	}
	i.State.Resolver.SetInstances(available)
	loads := make([]resolver.Load, 0, len(totals))
	for _, l := range totals {
		loads = append(loads, *l)
	}
	i.State.Resolver.Observe(now, loads)
}

func servesCallers(now time.Time, m *roster.Member) bool {
	return m.Live(now) && !m.Digest.Leaving && m.Digest.Caller != ""
}

type loadKey struct {
	domain  string
	service string
}

func addLoads(totals map[loadKey]*resolver.Load, domain string, capacities []lacewingramp.ServiceCapacity) {
	for _, c := range capacities {
		k := loadKey{domain: domain, service: c.Service}
		l, ok := totals[k]
		if !ok {
			l = &resolver.Load{Domain: domain, Service: c.Service}
			totals[k] = l
		}
		l.Slots += c.Slots
		l.Used += c.Slots - c.Free
		l.Waiting += c.Waiting
	}
}

// NotifyCrash notifies the other instances immediately that a target crashed.
func (i *Instance) NotifyCrash() {
	i.startTask("notify of crash", func() { i.exchangeDigests(i.Timer.Now()) })
}

// ServeExchangeDigests applies the digest of another instance and returns this one's.
func (i *Instance) ServeExchangeDigests(_ context.Context, d *lacewingramp.Digest) (*lacewingramp.Digest, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	i.applyDigest(time.Time{}, d)
	return i.buildDigest(i.Timer.Now(), d.Domain), nil
}

// ServeTable returns the Table in force.
func (i *Instance) ServeTable(context.Context) (*lacewingramp.Table, error) {
	tableIndex := i.State.Index()
	if tableIndex == nil {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseTable, "no table in force yet")
	}
	return tableIndex.Table, nil
}

// ServeName returns the instance's name.
func (i *Instance) ServeName(context.Context) string {
	return i.State.Self.Name
}

// ServeForwardRequest runs a request that another instance forwards.
func (i *Instance) ServeForwardRequest(ctx context.Context, r *lacewingramp.ForwardRequest) (*lacewingramp.Response, error) {
	return i.Dispatcher.ServeForwarded(ctx, r), nil
}
