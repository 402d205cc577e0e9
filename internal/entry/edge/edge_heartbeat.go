package edge

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
)

const (
	// listingTTL is how long the store lists an instance that does not renew,
	// in seconds.
	listingTTL = 10
	// renewPeriod leaves room for two failures in listingTTL.
	renewPeriod     = 3 * time.Second
	registerTimeout = 2 * time.Second
)

// beat sends a heartbeat and does what is due with it.
func (e *Edge) beat(ctx context.Context, now time.Time) {
	e.mu.Lock()
	for _, name := range e.roll.Sweep(now) {
		e.quota.Forget(name)
	}
	for _, region := range e.Regions {
		if !e.roll.Inhabited(now, region) {
			e.quota.Forget(regionMark + region)
		}
	}
	e.setMembers(now)
	e.setRate()
	e.quota.Tick(now)
	e.setFollowed(now)
	e.sweepLapsed(now)
	e.tickRollouts(ctx, now)
	own, others := e.roll.Turn()
	near := e.heartbeat(now)
	far := *near
	near.Demand = e.quota.Encode(e.quota.Demand(now))
	region, size := e.quota.Sum(now, e.nearNames(now))
	far.Demand, far.Sum = e.quota.Encode(region), size
	e.mu.Unlock()
	e.client.Sweep(now)
	e.logOmitted()
	if err := errors.Join(e.socket.Send(&lacewingramp.Datagram{Heartbeat: near}, own), e.socket.Send(&lacewingramp.Datagram{Heartbeat: &far}, others)); err != nil {
		e.Log.Error().Err(err).Msg("could not send a heartbeat")
	}
	e.catchUp(ctx, now)
}

// setMembers tells the placement and the quota which instances are alive.
func (e *Edge) setMembers(now time.Time) {
	names := []string{e.Name}
	for _, m := range e.roll.Alive(now) {
		if !m.Leaving {
			names = append(names, m.Name)
		}
	}
	most := e.roll.Count(now)
	e.place.Members(names, most)
	e.quota.Instances(most)
}

func (e *Edge) heartbeat(now time.Time) *lacewingramp.Heartbeat {
	self := e.self
	self.Leaving = e.ending.Load()
	return &lacewingramp.Heartbeat{
		Endpoint: self, Ready: e.Ready(), Revision: e.mirror.Revision(),
		Direct: !e.store.lost, Watches: e.watches(now), Rate: float32(e.rate),
		Marks: e.ward.Told(now), Evidence: e.rollouts.Evidence(), Outcomes: e.rollouts.Outcomes(),
	}
}

// nearNames lists the other instances of the region that are alive.
func (e *Edge) nearNames(now time.Time) []string {
	var all []string
	for _, m := range e.roll.Alive(now) {
		if e.roll.Near(m) {
			all = append(all, m.Name)
		}
	}
	return all
}

// regionMark stands before the name of a region whose demand counts as one.
const regionMark = "region "

// receive takes in a datagram of another instance.
func (e *Edge) receive(d *lacewingramp.Datagram, from string) {
	switch {
	case d.Heartbeat != nil:
		e.hear(d.Heartbeat)
	case d.Draw != nil:
		e.deal(d.Draw, from)
	case d.Drawn != nil:
		e.takeDrawn(d.Drawn)
	}
}

// hear takes in another instance's heartbeat.
func (e *Edge) hear(h *lacewingramp.Heartbeat) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	regained := e.roll.Hear(now, h)
	if regained || h.Endpoint.Leaving {
		e.choices = choices{}
	}
	if regained {
		e.Log.Info().Str("peer", h.Endpoint.Name).Int64("revision", h.Revision).Msg("heard an instance that was silent")
	}
	if h.Endpoint.Name == e.Name {
		return
	}
	e.hearDemand(h)
	e.ward.Merge(now, h.Marks)
	e.rollouts.Hear(h.Evidence, h.Outcomes)
}

// hearDemand takes in what the callers of another instance, or of another
// region, ask. While the two have tables with other customers, the last that
// was heard stays.
func (e *Edge) hearDemand(h *lacewingramp.Heartbeat) {
	d, ok := e.quota.Decode(h.Demand)
	switch {
	case !ok:
	case e.roll.Near(h.Endpoint):
		e.quota.Hear(h.Endpoint.Name, 1, d)
	default:
		e.quota.Hear(regionMark+e.Regions[h.Endpoint.Domain], max(1, h.Sum), d)
	}
}

// register keeps this instance listed in the store until ctx ends.
func (e *Edge) register(ctx context.Context) {
	var lease lacewingramp.LeaseID
	pause := retryFirst
	for ctx.Err() == nil {
		var err error
		lease, err = e.keepListed(ctx, lease)
		e.noteStore(err)
		if err != nil {
			sleep(ctx, pause)
			pause = min(renewPeriod, 2*pause)
			continue
		}
		pause = retryFirst
		sleep(ctx, renewPeriod)
	}
	if lease != 0 {
		e.unlist(lease)
	}
}

// noteStore takes in whether the store has answered, where this instance does
// not watch it.
func (e *Edge) noteStore(err error) {
	e.mu.Lock()
	watches := e.store.follows == ""
	e.mu.Unlock()
	switch {
	case watches || errors.Is(err, context.Canceled):
	case err != nil:
		e.storeLost(err)
	default:
		e.storeBack()
	}
}

// keepListed renews the lease of the listing, or lists the instance anew.
func (e *Edge) keepListed(ctx context.Context, lease lacewingramp.LeaseID) (lacewingramp.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if lease != 0 {
		err := e.Store.Renew(ctx, lease)
		if !errors.Is(err, lacewingramp.ErrNoLease) {
			return lease, err
		}
		e.Log.Warn().Msg("the lease of this instance's listing has ended")
	}
	lease, err := e.Store.Grant(ctx, listingTTL)
	if err != nil {
		return 0, err
	}
	key, value, err := e.Writer.Instance(e.self)
	if err != nil {
		return 0, err
	}
	if _, err := e.Store.Put(ctx, key, value, lease); err != nil {
		return 0, err
	}
	e.Log.Info().Int64("lease", int64(lease)).Msg("listed this instance")
	return lease, nil
}

// unlist ends the listing of an instance that stops.
func (e *Edge) unlist(lease lacewingramp.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), unlistTimeout)
	defer cancel()
	if err := e.Store.End(ctx, lease); err != nil {
		e.Log.Warn().Err(err).Msg("could not end this instance's listing, it ends by itself")
	}
}

// unlistTimeout is short, as the process is about to end.
const unlistTimeout = 200 * time.Millisecond
