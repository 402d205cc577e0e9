// Package dispatch processes a request from the check of its customer's limit to
// the response of a target. It enforces the limits, keeps the request's idempotency
// record, selects an instance with a free slot and sends the request to a target.
//
// The result is either a response or a Refusal whose verdict states whether the
// request may have run. A request is retried on another target if the verdict is
// NotRun. An idempotent request is also retried if its first attempt may have run.
// Retries are limited by a retry budget, and a request is never retried if a target
// crashed while running it.
//
// # Usage
//
//	resp := dispatcher.Serve(ctx, request)
//	if resp.Refusal != nil {
//		// Report the verdict to the caller.
//	}
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/config/index"
	"lacewingramp.example/lacewingramp/internal/entry/state"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// Dispatcher processes requests. The exported fields must be set before its first use.
//
// The maps are protected by the lock of State, except retryBudgets, which needs
// none. queued contains the channels on which queued requests receive their slot,
// and running the requests that have one. tokenQueues contains the requests that wait
// for quota. inProgress contains, for each idempotency key whose first request is
// running, a channel that is closed when that request ends. peakRunning is the highest
// number of concurrent requests seen while a cap was in force, by cap, and averageBytes
// the moving average of the sizes of response bodies, by route.
type Dispatcher struct {
	State          *state.State
	Timer          lacewingramp.Timer
	Peer           lacewingramp.Peer
	TargetClient   *attempt.Caller
	QuotaBorrower  lacewingramp.QuotaBorrower
	VersionChooser lacewingramp.VersionChooser
	Crashes        lacewingramp.Crashes

	lastTicket   atomic.Uint64
	retryBudgets sync.Map
	queued       map[slot.Ticket]chan slot.Grant
	tokenQueues  map[lacewingramp.Subject]*tokenQueue
	running      map[slot.Ticket]running
	inProgress   map[string]chan struct{}
	peakRunning  map[string]int
	averageBytes map[string]float64
	stats        Stats
}

// request is a request with its route and customer in the Table. index is the index
// of the Table that was in force when the request arrived. customer is nil for an
// anonymous request. fingerprint is 0 until the first attempt.
type request struct {
	*lacewingramp.ForwardRequest

	route       *lacewingramp.Route
	customer    *lacewingramp.Customer
	index       *index.Index
	deadline    time.Time
	fingerprint uint64
}

func refusalResponse(id string, err error) *lacewingramp.Response {
	return &lacewingramp.Response{ID: id, Refusal: lacewingramp.RefusalOf(err)}
}

// request looks up the route and the customer of a request in the Table in force.
func (d *Dispatcher) request(r *lacewingramp.ForwardRequest) (*request, error) {
	tableIndex := d.State.Index()
	if tableIndex == nil {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseTable, "no table in force yet")
	}
	route, ok := tableIndex.Route(r.Route)
	if !ok {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseRoute, "unknown route "+r.Route)
	}
	req := &request{ForwardRequest: r, route: route, index: tableIndex, deadline: d.Timer.Now().Add(r.Remaining)}
	if cust, ok := tableIndex.CustomerByName(r.Customer); ok {
		req.customer = cust
	} else if !route.AllowAnonymous {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseKey, "unknown customer")
	}
	return req, nil
}

// Serve processes a request from a caller whose key has been checked.
func (d *Dispatcher) Serve(ctx context.Context, r *lacewingramp.ForwardRequest) *lacewingramp.Response {
	req, err := d.request(r)
	if err != nil {
		return refusalResponse(r.ID, err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	if req.customer != nil {
		if err := d.takeCustomerToken(ctx, req); err != nil {
			return refusalResponse(r.ID, err)
		}
	}
	if r.IdempotencyKey != "" && !req.route.Idempotent {
		return d.serveAtMostOnce(ctx, req)
	}
	return d.place(ctx, req)
}

// ServeForwarded processes a request that another instance forwarded. That instance has
// already enforced the customer's limit.
func (d *Dispatcher) ServeForwarded(ctx context.Context, r *lacewingramp.ForwardRequest) *lacewingramp.Response {
	req, err := d.request(r)
	if err != nil {
		return refusalResponse(r.ID, err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	if r.KeepRecord {
		return d.runWithRecord(ctx, req)
	}
	return d.place(ctx, req)
}

// forward sends a copy of a request to another instance, after change has modified the
// copy. It returns a Refusal in the response as an error.
func (d *Dispatcher) forward(ctx context.Context, req *request, to lacewingramp.Endpoint, change func(*lacewingramp.ForwardRequest)) (*lacewingramp.Response, error) {
	r := *req.ForwardRequest
	r.Hops++
	r.KeepRecord = false
	r.Remaining = req.deadline.Sub(d.Timer.Now())
	if r.Remaining <= 0 {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseDeadline, "no time left")
	}
	change(&r)
	charge, err := d.chargeLink(req, to)
	if err != nil {
		return nil, err
	}
	d.stats.Hops.Add(1)
	resp, err := d.Peer.ForwardRequest(ctx, to.Peer, &r)
	if err != nil {
		return nil, err
	}
	d.settleCharge(charge, resp)
	if resp.ID != req.ID {
		return nil, &lacewingramp.Refusal{
			Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CausePeer, Detail: "the answer belongs to another request",
		}
	}
	if resp.Refusal != nil {
		return nil, resp.Refusal
	}
	return resp, nil
}
