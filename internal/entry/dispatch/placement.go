package dispatch

import (
	"context"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/roster"
)

// maxCandidates is the maximum number of other instances that one search for a slot
// asks.
const maxCandidates = 3

// place runs a request on the first free slot that it finds: one of this instance,
// or one of another instance of this domain or a near one. If there is none, the
// request waits in a queue.
func (c *Dispatcher) place(ctx context.Context, req *request) *lacewingramp.Response {
	a, err := c.runNow(ctx, req)
	if err == nil || !isNotRun(err) {
		return responseOrRefusal(req, a, err)
	}
	if req.FailFast || isFinal(err) {
		return refusalResponse(req.ID, err)
	}
	if req.Hops < lacewingramp.MaxHops {
		a, forwardErr := c.forwardToFreeSlot(ctx, req)
		if forwardErr == nil || !isNotRun(forwardErr) {
			return responseOrRefusal(req, a, forwardErr)
		}
	}
	a, err = c.waitForSlot(ctx, req)
	return responseOrRefusal(req, a, err)
}

func responseOrRefusal(req *request, a *lacewingramp.Response, err error) *lacewingramp.Response {
	if err != nil {
		return refusalResponse(req.ID, err)
	}
	return a
}

// isFinal reports whether other instances would refuse the request for the same
// cause.
func isFinal(err error) bool {
	switch lacewingramp.RefusalOf(err).Cause {
	case lacewingramp.CausePoison, lacewingramp.CauseDeadline, lacewingramp.CauseRoute:
		return true
	default:
		return false
	}
}

// forwardToFreeSlot forwards a request to other instances that may have a free slot,
// until one of them runs it or may have run it. They refuse it rather than queue it.
func (c *Dispatcher) forwardToFreeSlot(ctx context.Context, req *request) (*lacewingramp.Response, error) {
	err := error(lacewingramp.NewRefusal(lacewingramp.CauseSlots, "no free slot"))
	for _, e := range c.candidates(req, true) {
		var a *lacewingramp.Response
		a, err = c.forward(ctx, req, e, func(r *lacewingramp.ForwardRequest) { r.FailFast = true })
		if err == nil || !isNotRun(err) {
			return a, err
		}
	}
	return nil, err
}

// waitForSlot queues a request at this instance if it has slots of the service. If it
// has none, or the request was refused there without having run, it forwards the
// request to other instances, which may queue it.
func (c *Dispatcher) waitForSlot(ctx context.Context, req *request) (*lacewingramp.Response, error) {
	c.State.Lock()
	capacity := c.State.Pool.CapacityOf(c.Timer.Now(), req.route.Service)
	c.State.Unlock()
	if capacity.Slots > 0 {
		a, err := c.runQueued(ctx, req)
		if err == nil || !isNotRun(err) || isFinal(err) {
			return a, err
		}
	}
	err := error(lacewingramp.NewRefusal(lacewingramp.CauseSlots, "no target can be reached"))
	if req.Hops >= lacewingramp.MaxHops-1 {
		return nil, err
	}
	for _, e := range c.candidates(req, false) {
		var a *lacewingramp.Response
		a, err = c.forward(ctx, req, e, func(*lacewingramp.ForwardRequest) {})
		if err == nil || !isNotRun(err) || isFinal(err) {
			return a, err
		}
	}
	return nil, err
}

// candidate is an instance that may have a slot. distance is the rank of its domain
// by distance from this instance's domain.
type candidate struct {
	endpoint lacewingramp.Endpoint
	distance int
	capacity lacewingramp.ServiceCapacity
}

// candidates returns at most maxCandidates instances that may have a slot, sorted by
// the distance of their domain and then by their free slots minus queued requests.
// With freeOnly set, an instance of another domain must report a free slot.
func (c *Dispatcher) candidates(req *request, freeOnly bool) []lacewingramp.Endpoint {
	c.State.Lock()
	now := c.Timer.Now()
	distance := make(map[string]int)
	for i, d := range c.State.Resolver.DomainsByDistance(c.State.Self.Domain) {
		distance[d] = i
	}
	var all []candidate
	for _, m := range c.State.Roster.Members() {
		if cand, ok := c.candidate(now, req, m, freeOnly); ok {
			cand.distance = distance[cand.endpoint.Domain]
			all = append(all, cand)
		}
	}
	c.State.Unlock()
	sort.SliceStable(all, func(a, b int) bool {
		if all[a].distance != all[b].distance {
			return all[a].distance < all[b].distance
		}
		return all[a].capacity.Free-all[a].capacity.Waiting > all[b].capacity.Free-all[b].capacity.Waiting
	})
	var endpoints []lacewingramp.Endpoint
	for _, cand := range all[:min(len(all), maxCandidates)] {
		endpoints = append(endpoints, cand.endpoint)
	}
	return endpoints
}

func (c *Dispatcher) candidate(now time.Time, req *request, m *roster.Member, freeOnly bool) (candidate, bool) {
	if !m.Live(now) || m.Digest.Leaving {
		return candidate{}, false
	}
	for _, r := range m.Digest.Capacities {
		if r.Service != req.route.Service || r.Slots == 0 {
			continue
		}
		if freeOnly && r.Free == 0 && m.Digest.Domain != c.State.Self.Domain {
			return candidate{}, false
		}
		return candidate{endpoint: m.Digest.Endpoint, capacity: r}, true
	}
	return candidate{}, false
}
