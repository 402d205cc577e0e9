package edge

import (
	"context"
	"net/http"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/call/poison"
	"lacewingramp.example/lacewingramp/internal/limit/admission"
)

// Delays after which a refused caller may retry, by cause.
const (
	// noTableRetryAfter applies while the instance has no table.
	noTableRetryAfter = 300 * time.Millisecond
	// minRateRetryAfter is the minimum delay for a customer over its rate.
	minRateRetryAfter = 500 * time.Millisecond
	// poisonRetryAfter applies to requests that crash their targets.
	poisonRetryAfter = time.Second
)

// maxTableWait is how long after the start of the instance requests wait for the first
// table. Reading all keys takes some tenths of a second, so an instance that still has
// no table after maxTableWait may not get one soon.
const maxTableWait = time.Second

// job is a caller's request, from its arrival until its response.
//
// tried names the targets chosen so far. failedConnects counts those of them that could
// not be reached or were no longer allowed once connected, and attempts counts the
// others. rank is the position of the last chosen target in the ranking of the targets
// for the request's object. allFull is set if no target was chosen because all were full.
// tokenRequests counts the tokens of targets that the request has waited for.
type job struct {
	request       *message.Request
	headers       lacewingramp.CallerHeaders
	tableRevision int64
	route         *lacewingramp.Route
	customer      *lacewingramp.Customer
	service       string
	fingerprint   uint64
	receivedAt    time.Time
	deadline      time.Time

	tried          []string
	rank           int
	attempts       int
	failedConnects int
	// refusedConnects counts the targets that closed the connection before the request was
	// written.
	refusedConnects int
	tokenRequests   int
	// relayed is set if another instance has relayed the request to this one, and
	// triedRelays once this one has tried to relay it.
	relayed     bool
	triedRelays bool
	// leaving is the last target of the request that has said that it is leaving, nil if
	// none has.
	leaving *lacewingramp.LeavingTarget
	// mayHaveRun is set once a target may have started to run the request.
	mayHaveRun bool
	// fallback is the error response of a target, relayed if no other target sends a
	// better one.
	fallback *message.Response
	allFull  bool
	// returned is set if the caller was refused before and has returned. noRoom is set if
	// the latest choice found no target with room, deferred if it let others go first, and
	// roomIn is the time until one has, 0 if not known. waiter is set while the request
	// waits for room, and room describes the latest wait or refusal.
	returned bool
	noRoom   bool
	deferred bool
	roomIn   time.Duration
	waiter   *admission.Waiter
	room     roomReport
	// received holds the responses of targets and of other instances.
	received []*message.Response
	// pauseLeft is the time to the end of the first pause of a target, if no other target
	// could be chosen.
	pauseLeft time.Duration
}

func (j *job) customerName() string {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}

func (j *job) customerRegions() lacewingramp.NameList {
	if j.customer == nil {
		return nil
	}
	return j.customer.Regions
}

// object returns the object that the request should reach a target for that knows it, ""
// if there is none.
func (j *job) object() string {
	if !j.route.Affinity {
		return ""
	}
	return j.headers.Object
}

// handle returns the response to a caller's request.
func (e *Edge) handle(ctx context.Context, r *message.Request, receivedAt time.Time) *message.Response {
	e.arrivals.Add(1)
	j := &job{request: r, receivedAt: receivedAt}
	e.awaitTable(ctx)
	if resp := e.admit(ctx, j); resp != nil {
		return resp
	}
	return e.runUntilDeadline(ctx, j)
}

// runUntilDeadline runs an admitted request, and releases all responses to it but the one that
// it returns.
func (e *Edge) runUntilDeadline(ctx context.Context, j *job) *message.Response {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	resp := e.run(ctx, j)
	for _, r := range j.received {
		if r != resp {
			r.Release()
		}
	}
	return resp
}

// admit checks whether a request may run and returns the refusal if not.
func (e *Edge) admit(ctx context.Context, j *job) *message.Response {
	if resp := e.resolve(j); resp != nil {
		return resp
	}
	if wait, err := e.takeQuota(ctx, j); err != nil {
		return e.refuse(j, http.StatusTooManyRequests, lacewingramp.CauseRate, e.rateRetryAfter(j, wait), "over the customer's rate: "+err.Error())
	}
	return e.guard(j)
}

// resolve finds the route, the customer and the deadline of a request, and returns the
// refusal if it has none.
func (e *Edge) resolve(j *job) *message.Response {
	headers, err := e.HeaderCodec.CallerHeaders(j.request.Header)
	j.headers = headers
	if err != nil {
		return e.reject(j, http.StatusBadRequest, lacewingramp.CauseNone, err.Error())
	}
	m := e.routes.Load()
	if m == nil {
		return e.refuse(j, http.StatusServiceUnavailable, lacewingramp.CauseTable, noTableRetryAfter, "no table is in force yet")
	}
	j.tableRevision = m.Table.Revision
	route, ok := m.Route(j.request.Host, j.request.Path)
	if !ok {
		return e.reject(j, http.StatusNotFound, lacewingramp.CauseRoute, "no route")
	}
	j.route = route
	if customer, ok := m.Customer(headers.Key); ok {
		j.customer = customer
	} else if !route.AllowAnonymous {
		return e.reject(j, http.StatusUnauthorized, lacewingramp.CauseKey, "unknown key")
	}
	timeout := time.Duration(route.Deadline)
	if headers.Timeout > 0 {
		timeout = min(timeout, headers.Timeout)
	}
	j.deadline = j.receivedAt.Add(timeout)
	return nil
}

// awaitTable holds a request until the first table is in force, for at most
// maxTableWait after the start of the instance.
func (e *Edge) awaitTable(ctx context.Context) {
	if e.routes.Load() != nil {
		return
	}
	left := e.startedAt.Add(maxTableWait).Sub(e.Timer.Now())
	if left <= 0 {
		return
	}
	await(ctx, e.tableLoaded, left)
}

// guard refuses requests that crash their targets, and chooses the service of the request.
// The instance that relayed a request has counted it for the retry budget.
func (e *Edge) guard(j *job) *message.Response {
	j.fingerprint = poison.Fingerprint(&lacewingramp.ForwardRequest{
		Customer: j.customerName(), Route: j.route.Name, Method: j.request.Method, URI: j.request.URI, Body: j.request.Body,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Timer.Now()
	if !e.poisonGuard.Admit(now, j.fingerprint) {
		e.refundQuotaLocked(j)
		return e.refuse(j, http.StatusServiceUnavailable, lacewingramp.CausePoison, poisonRetryAfter, "such requests have crashed their targets")
	}
	j.service = e.service(j.route)
	if !j.relayed {
		e.retryBudget.CountRequest(now, j.service)
	}
	return nil
}

// refundQuota returns the quota of a request that has not run. The quota of a relayed
// request was taken by the instance that relayed it.
func (e *Edge) refundQuota(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refundQuotaLocked(j)
}

func (e *Edge) refundQuotaLocked(j *job) {
	if !j.relayed {
		e.quota.Refund(j.customerName())
	}
}
