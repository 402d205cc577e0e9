package edge

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
)

const (
	// registrationTTL is the lease time of the instance's registration, in seconds.
	registrationTTL = 10
	// leaseRenewInterval allows for two failed renewals within registrationTTL.
	leaseRenewInterval = 3 * time.Second
	registerTimeout    = 2 * time.Second
)

// tick runs the periodic work of the instance and sends its heartbeats.
//
// Peers in the same region get the demand of this instance, and peers in other regions
// get the summed demand of its region.
func (e *Edge) tick(ctx context.Context, now time.Time) {
	e.mu.Lock()
	e.recordTick(now)
	for _, name := range e.peers.Sweep(now) {
		e.quota.RemovePeer(name)
	}
	for _, region := range e.Regions {
		if !e.peers.ActiveInRegion(now, region) {
			e.quota.RemovePeer(regionPrefix + region)
		}
	}
	e.updateInstances(now)
	e.updateRequestRate()
	e.recordCallers(now)
	e.quota.Tick(now)
	e.updateFollowAddress(now)
	if e.reach.CheckDue(now) {
		e.checkReach()
	}
	e.removeExpired(now)
	e.settleReverted(now)
	e.tickRollouts(ctx, now)
	e.wakeWaiting(now)
	e.logRegions(now)
	ownRegion, otherRegions := e.peers.NextRound()
	regional := e.newHeartbeat(now)
	interRegion := *regional
	regional.Demand = e.quota.Encode(e.quota.Demand(now))
	region, instances := e.quota.Sum(now, e.regionPeers(now))
	interRegion.Demand, interRegion.Sum = e.quota.Encode(region), instances
	regional.TargetLoads, interRegion.TargetLoads = e.placer.TargetLoads(now)
	e.Meter.EstimateError(e.placer.EstimateError(now))
	e.mu.Unlock()
	e.client.Sweep(now)
	e.relayClient.Sweep(now)
	e.logOmitted()
	if err := errors.Join(e.socket.Send(&lacewingramp.Datagram{Heartbeat: regional}, ownRegion), e.socket.Send(&lacewingramp.Datagram{Heartbeat: &interRegion}, otherRegions)); err != nil {
		e.Log.Error().Err(err).Msg("could not send a heartbeat")
	}
	e.tickUsage(false)
	e.catchUp(ctx, now)
	e.checkStore(ctx, now)
}

// callersPeriod is the time between two records of the rates of callers.
const callersPeriod = time.Second

// recordCallers passes the rates of the requests that callers send to the instances of each
// region to the target placement.
func (e *Edge) recordCallers(now time.Time) {
	if now.Sub(e.callersRecordedAt) < callersPeriod {
		return
	}
	e.callersRecordedAt = now
	rates := map[string]float64{e.Region: e.requestRate}
	byName := e.peers.RequestRates(now)
	for _, p := range e.peers.Alive(now) {
		rates[e.Regions[p.Domain]] += byName[p.Name]
	}
	e.placer.RecordCallers(now, rates)
}

// updateInstances passes the live instances to the target placement and the quota.
func (e *Edge) updateInstances(now time.Time) {
	live := []lacewingramp.Endpoint{e.self}
	for _, p := range e.peers.Alive(now) {
		if !p.Leaving {
			live = append(live, p)
		}
	}
	maxInstances := e.peers.FleetSize(now)
	e.placer.SetInstances(live, maxInstances)
	e.quota.SetInstanceCount(maxInstances)
}

func (e *Edge) newHeartbeat(now time.Time) *lacewingramp.Heartbeat {
	self := e.self
	self.Leaving = e.stopping.Load()
	return &lacewingramp.Heartbeat{
		Endpoint: self, Ready: e.Ready(), Revision: e.mirror.Position().Revision, Epoch: e.mirror.Position().Epoch,
		ReachesStore: !e.store.lost, WatchesStore: e.watches(now), CutOff: e.reach.CutOff(), RequestRate: float32(e.requestRate),
		CrashCounts: e.poisonGuard.HeartbeatCounts(now), RolloutStats: e.rolloutStats(now), Outcomes: e.rollouts.Outcomes(now),
		Confirmation: e.latestConfirmation(now), LeavingTargets: e.placer.LeavingTargets(now), SlowTargets: e.placer.SlowTargets(now),
		UsageDuty: e.usageDuty(),
	}
}

// regionPeers returns the names of the live peers in this instance's region.
func (e *Edge) regionPeers(now time.Time) []string {
	var all []string
	for _, p := range e.peers.Alive(now) {
		if e.peers.SameRegion(p) {
			all = append(all, p.Name)
		}
	}
	return all
}

// regionPrefix marks the names under which the summed demand of a region is kept.
const regionPrefix = "region "

// handleDatagram handles a datagram from a peer.
func (e *Edge) handleDatagram(d *lacewingramp.Datagram, from string) {
	switch {
	case d.Heartbeat != nil:
		e.handleHeartbeat(d.Heartbeat)
		e.handleUsage(d)
	case d.TokenRequest != nil:
		e.handleTokenRequest(d.TokenRequest, from)
	case d.TokenReply != nil:
		e.handleTokenReply(d.TokenReply)
	case d.TargetTokenRequest != nil:
		e.handleTargetTokenRequest(d.TargetTokenRequest, from)
	}
}

// handleHeartbeat handles a heartbeat from a peer.
func (e *Edge) handleHeartbeat(h *lacewingramp.Heartbeat) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	regained := e.peers.Record(now, h)
	if regained || h.Endpoint.Leaving {
		e.lookupCache = lookupCache{}
	}
	if regained {
		e.Log.Info().Str("peer", h.Endpoint.Name).Int64("revision", h.Revision).Msg("heard an instance that was silent")
	}
	if h.Endpoint.Name == e.Name {
		return
	}
	e.recordConfirmation(now, h)
	for _, l := range h.LeavingTargets {
		e.markLeaving(now, l, "", h.Endpoint.Name)
	}
	for _, s := range h.SlowTargets {
		e.placer.MarkSlow(now, s, h.Endpoint.Domain)
	}
	e.placer.RecordTargetLoads(now, h.TargetLoads, h.Endpoint.Domain)
	e.handleDemand(h)
	e.poisonGuard.Merge(now, h.CrashCounts)
	adopted := e.rollouts.Record(h.RolloutStats, h.Outcomes)
	rollout.LogAdoptions(&e.Log, adopted, h.Endpoint.Name)
	if len(adopted) > 0 {
		e.configureRollouts(now)
	}
}

// handleDemand records the demand of a peer or of another region. While the sender's
// table has different customers, the demand cannot be decoded and the previous value is
// kept.
func (e *Edge) handleDemand(h *lacewingramp.Heartbeat) {
	d, ok := e.quota.Decode(h.Demand)
	switch {
	case !ok:
	case e.peers.SameRegion(h.Endpoint):
		e.quota.RecordPeer(h.Endpoint.Name, 1, d)
	default:
		e.quota.RecordPeer(regionPrefix+e.Regions[h.Endpoint.Domain], max(1, h.Sum), d)
	}
}

// register keeps this instance registered in the store until ctx ends, and then
// unregisters it.
func (e *Edge) register(ctx context.Context) {
	var lease lacewingramp.LeaseID
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		var err error
		lease, err = e.renewRegistration(ctx, lease)
		e.recordStoreCall(err)
		if err != nil {
			sleep(ctx, backoff)
			backoff = min(leaseRenewInterval, 2*backoff)
			continue
		}
		backoff = minStoreBackoff
		if _, restored := await(ctx, e.restored, leaseRenewInterval); restored && !e.hasRegistration(lease) {
			// The store may have granted the ID of the lost lease again.
			e.Log.Warn().Msg("the restored store has lost this instance's registration")
			lease = 0
		}
	}
	if lease != 0 {
		e.unregister(lease)
	}
}

// recordStoreCall updates the store's availability from the result of a registration
// call. It ignores the result if this instance watches the store.
func (e *Edge) recordStoreCall(err error) {
	e.mu.Lock()
	watches := e.store.followAddress == ""
	e.mu.Unlock()
	switch {
	case watches || errors.Is(err, context.Canceled):
	case err != nil:
		e.recordStoreFailure(err)
	default:
		e.recordStoreResponse()
	}
}

// renewRegistration renews the lease of the registration, or registers the instance
// again if it has no valid lease.
func (e *Edge) renewRegistration(ctx context.Context, lease lacewingramp.LeaseID) (lacewingramp.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if lease != 0 {
		err := e.Store.RenewLease(ctx, lease)
		if !errors.Is(err, lacewingramp.ErrLeaseExpired) {
			return lease, err
		}
		e.Log.Warn().Msg("the lease of this instance's registration has expired")
	}
	lease, err := e.Store.GrantLease(ctx, registrationTTL)
	if err != nil {
		return 0, err
	}
	key, value, err := e.DocumentEncoder.Instance(e.self)
	if err != nil {
		return 0, err
	}
	if _, err := e.Store.Put(ctx, key, value, lease); err != nil {
		return 0, err
	}
	e.Log.Info().Int64("lease", int64(lease)).Msg("registered this instance")
	return lease, nil
}

// unregister removes the registration of this instance when it stops.
func (e *Edge) unregister(lease lacewingramp.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	if err := e.Store.RevokeLease(ctx, lease); err != nil {
		e.Log.Warn().Err(err).Msg("could not remove this instance's registration, its lease will expire")
	}
}

// unregisterTimeout is short because the process is about to exit.
const unregisterTimeout = 200 * time.Millisecond
