package edge

import (
	"context"
	"net/http"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/call/poison"
)

// Waits before a refused caller may come back, by what it was refused for.
const (
	// tableRetry is for an instance without a table.
	tableRetry = 300 * time.Millisecond
	// quotaRetry is the shortest for a customer over its rate.
	quotaRetry = 500 * time.Millisecond
	// poisonRetry is for a request that crashes its targets.
	poisonRetry = time.Second
)

// startTime is how long after its start an instance is about to have a table: it
// takes some tenths of a second to read all keys. One that has none by then may
// not get one soon.
const startTime = time.Second

// job is one request on its way.
type job struct {
	request  *message.Request
	call     lacewingramp.Call
	table    int64
	route    *lacewingramp.Route
	customer *lacewingramp.Customer
	service  string
	print    uint64
	begun    time.Time
	deadline time.Time

	tried       []string
	rank        int
	sent        int
	unreachable int
	// mayHaveRun is set once a target may have started the request.
	mayHaveRun bool
	// fallback is a target's answer that another target could better.
	fallback *message.Answer
	full     bool
}

func (j *job) customerName() string {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}

func (j *job) customerRegions() lacewingramp.Names {
	if j.customer == nil {
		return nil
	}
	return j.customer.Regions
}

// handle answers one request of a caller.
func (e *Edge) handle(ctx context.Context, r *message.Request, begun time.Time) *message.Answer {
	e.asked.Add(1)
	j := &job{request: r, begun: begun}
	e.awaitTable(ctx)
	if a := e.admit(ctx, j); a != nil {
		return a
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	return e.run(ctx, j)
}

// admit finds out whether a request may run, and returns the answer if not.
func (e *Edge) admit(ctx context.Context, j *job) *message.Answer {
	call, err := e.Wire.Call(j.request.Header)
	j.call = call
	if err != nil {
		return e.reject(j, http.StatusBadRequest, lacewingramp.CauseNone, err.Error())
	}
	m := e.routes.Load()
	if m == nil {
		return e.refuse(j, http.StatusServiceUnavailable, lacewingramp.CauseTable, tableRetry, "no table is in force yet")
	}
	j.table = m.Table.Revision
	route, ok := m.Route(j.request.Host, j.request.Path)
	if !ok {
		return e.reject(j, http.StatusNotFound, lacewingramp.CauseRoute, "no route")
	}
	j.route = route
	if customer, ok := m.Customer(call.Key); ok {
		j.customer = customer
	} else if !route.Open {
		return e.reject(j, http.StatusUnauthorized, lacewingramp.CauseKey, "unknown key")
	}
	patience := time.Duration(route.Deadline)
	if call.Patience > 0 {
		patience = min(patience, call.Patience)
	}
	j.deadline = j.begun.Add(patience)
	return e.take(ctx, j)
}

// awaitTable holds a request that comes while the instance starts, as long as
// it is about to have a table.
func (e *Edge) awaitTable(ctx context.Context) {
	if e.routes.Load() != nil {
		return
	}
	left := e.begun.Add(startTime).Sub(e.Timer.Now())
	if left <= 0 {
		return
	}
	await(ctx, e.tabled, left)
}

// take takes the request's quota and checks it against those that crash their
// targets.
func (e *Edge) take(ctx context.Context, j *job) *message.Answer {
	j.print = poison.Print(&lacewingramp.Carry{
		Customer: j.customerName(), Route: j.route.Name, Method: j.request.Method, URI: j.request.URI, Body: j.request.Body,
	})
	if wait, err := e.takeQuota(ctx, j.customerName()); err != nil {
		return e.refuse(j, http.StatusTooManyRequests, lacewingramp.CauseRate, wait, "over the customer's rate: "+err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	if !e.ward.Enter(now, j.print) {
		e.quota.Refund(j.customerName())
		return e.refuse(j, http.StatusServiceUnavailable, lacewingramp.CausePoison, poisonRetry, "such requests have crashed their targets")
	}
	j.service = e.service(j.route)
	e.budget.Count(now, j.service)
	return nil
}
