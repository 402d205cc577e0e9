package dispatch

import (
	"context"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/roster"
)

// maxCandidates is the maximum number of other instances that one search for a slot
// forwards a request to.
const maxCandidates = 3

// place runs a request on the first free slot that it finds: one of this instance,
// or one of another instance of this domain or a near one. If there is none, the
// request waits in a queue.
func (d *Dispatcher) place(ctx context.Context, req *request) *lacewingramp.Response {
	resp, err := d.runNow(ctx, req)
	if err == nil || !isNotRun(err) {
		return responseOrRefusal(req, resp, err)
	}
	if req.FailFast || isFinal(err) {
		return refusalResponse(req.ID, err)
	}
	if req.Hops < lacewingramp.MaxHops {
		resp, forwardErr := d.forwardToFreeSlot(ctx, req)
		if forwardErr == nil || !isNotRun(forwardErr) {
			return responseOrRefusal(req, resp, forwardErr)
		}
	}
	resp, err = d.waitForSlot(ctx, req)
	return responseOrRefusal(req, resp, err)
}

func responseOrRefusal(req *request, resp *lacewingramp.Response, err error) *lacewingramp.Response {
	if err != nil {
		return refusalResponse(req.ID, err)
	}
	return resp
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
func (d *Dispatcher) forwardToFreeSlot(ctx context.Context, req *request) (*lacewingramp.Response, error) {
	err := error(lacewingramp.NewRefusal(lacewingramp.CauseSlots, "no free slot"))
	for _, e := range d.candidates(req, true) {
		var resp *lacewingramp.Response
		resp, err = d.forward(ctx, req, e, func(r *lacewingramp.ForwardRequest) { r.FailFast = true })
		if err == nil || !isNotRun(err) {
			return resp, err
		}
	}
	return nil, err
}

// waitForSlot queues a request at this instance if it has slots of the service. If it
// has none, or the request was refused there without having run, it forwards the
// request to other instances, which may queue it.
func (d *Dispatcher) waitForSlot(ctx context.Context, req *request) (*lacewingramp.Response, error) {
	d.State.Lock()
	capacity := d.State.Pool.CapacityOf(d.Timer.Now(), req.route.Service)
	d.State.Unlock()
	if capacity.Slots > 0 {
		resp, err := d.runQueued(ctx, req)
		if err == nil || !isNotRun(err) || isFinal(err) {
			return resp, err
		}
	}
	err := error(lacewingramp.NewRefusal(lacewingramp.CauseSlots, "no target can be reached"))
	if req.Hops >= lacewingramp.MaxHops-1 {
		return nil, err
	}
	for _, e := range d.candidates(req, false) {
		var resp *lacewingramp.Response
		resp, err = d.forward(ctx, req, e, func(*lacewingramp.ForwardRequest) {})
		if err == nil || !isNotRun(err) || isFinal(err) {
			return resp, err
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
func (d *Dispatcher) candidates(req *request, freeOnly bool) []lacewingramp.Endpoint {
	d.State.Lock()
	now := d.Timer.Now()
	distance := make(map[string]int)
	for i, domain := range d.State.Resolver.DomainsByDistance(d.State.Self.Domain) {
		distance[domain] = i
	}
	var all []candidate
	for _, m := range d.State.Roster.Members() {
		if cand, ok := d.candidate(now, req, m, freeOnly); ok {
			cand.distance = distance[cand.endpoint.Domain]
			all = append(all, cand)
		}
	}
	d.State.Unlock()
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

func (d *Dispatcher) candidate(now time.Time, req *request, m *roster.Member, freeOnly bool) (candidate, bool) {
	if !m.Live(now) || m.Digest.Leaving {
		return candidate{}, false
	}
	for _, reported := range m.Digest.Capacities {
		if reported.Service != req.route.Service || reported.Slots == 0 {
			continue
		}
		if freeOnly && reported.Free == 0 && m.Digest.Domain != d.State.Self.Domain {
			return candidate{}, false
		}
		return candidate{endpoint: m.Digest.Endpoint, capacity: reported}, true
	}
	return candidate{}, false
}
