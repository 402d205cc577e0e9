package edge

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// An instance that reaches no target relays the requests of its callers to instances that
// do. It has taken the customer's quota and counted the request for the retry budget; the
// other instance does the rest.

// Headers between instances, in canonical form. headerRelayed holds a RelayedRequest as
// JSON, and headerRelayOutcome a RelayOutcome, which every response to one has.
// headerRelayLeaving holds a LeavingTarget as JSON, if the target of the request has said
// that it is leaving.
const (
	headerRelayed      = "Lacewingramp-Relayed"
	headerRelayOutcome = "Lacewingramp-Relay-Outcome"
	headerRelayLeaving = "Lacewingramp-Relay-Leaving"
)

// maxRelays is the number of instances that a request is relayed to, one after the other,
// before the instance tries to serve it itself.
const maxRelays = 2

// shouldRelay reports whether a request should be relayed to another instance now: if this
// one is cut off, or if it could not reach any of the targets that it tried.
func (e *Edge) shouldRelay(j *job) bool {
	if j.relayed || j.triedRelays {
		return false
	}
	if j.mayHaveRun && !j.route.Idempotent || j.attempts >= j.route.AttemptLimit {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reach.CutOff() || j.failedConnects >= maxFailedConnects
}

// relay relays a request to other instances until one runs or refuses it. It returns nil
// if none could be reached.
func (e *Edge) relay(ctx context.Context, j *job) *message.Response {
	j.triedRelays = true
	for _, p := range e.relays(j) {
		if ctx.Err() != nil {
			break
		}
		r := e.relayTo(ctx, j, p)
		outcome := relayOutcome(r)
		e.Meter.Relayed(outcome)
		e.logRelay(j, p, outcome, r)
		switch {
		case outcome == lacewingramp.RelayUnavailable || outcome == lacewingramp.RelayUnreachable:
			continue
		case outcome == lacewingramp.RelayLost:
			// The other instance may have used all attempts that were left.
			j.attempts = j.route.AttemptLimit
			j.mayHaveRun = true
			return e.finish(ctx, j)
		case j.mayHaveRun && outcome != lacewingramp.RelayResponded:
			// What the other instance says holds only of its own attempts.
			return e.finish(ctx, j)
		default:
			return e.finishRelayed(j, outcome, r.Response)
		}
	}
	return nil
}

// relays returns the instances that a request may be relayed to, those of this region
// first. They have to be in a region that the route and the customer allow, as the
// request's body is sent there.
func (e *Edge) relays(j *job) []lacewingramp.Endpoint {
	e.mu.Lock()
	serving := e.peers.Serving(e.Timer.Now(), false)
	e.mu.Unlock()
	rand.Shuffle(len(serving), func(i, k int) { serving[i], serving[k] = serving[k], serving[i] })
	var near, far []lacewingramp.Endpoint
	for _, p := range serving {
		region := e.Regions[p.Domain]
		switch {
		case p.Relay == "" || !j.route.Regions.Allows(region) || !j.customerRegions().Allows(region):
		case region == e.Region:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	near = append(near, far...)
	return near[:min(maxRelays, len(near))]
}

// relayTo relays a request to one instance and returns the result.
func (e *Edge) relayTo(ctx context.Context, j *job, p lacewingramp.Endpoint) exchange.Result {
	value, err := json.Marshal(lacewingramp.RelayedRequest{
		Revision: j.tableRevision, Remaining: max(0, j.deadline.Sub(e.Timer.Now())), Attempts: j.attempts, Tried: j.tried,
	})
	if err != nil {
		return exchange.Result{Verdict: lacewingramp.NotRun, Err: err}
	}
	h := maps.Clone(j.request.Header)
	message.RemoveHopByHopHeaders(h)
	h[headerRelayed] = []string{string(value)}
	// A peer that has not read the request whole does not know its ID.
	r := e.relayClient.Do(ctx, exchange.TargetRequest{
		Address: p.Relay, Request: j.request, Header: h, ID: j.headers.ID, NonIdempotent: !j.route.Idempotent, AllowMissingID: true,
	})
	j.received = append(j.received, r.Response)
	e.recordRelayLeaving(j, p.Name, r.Response)
	return r
}

// relayOutcome returns the outcome of a relayed request.
func relayOutcome(r exchange.Result) lacewingramp.RelayOutcome {
	switch {
	case r.Response == nil && r.Verdict == lacewingramp.NotRun:
		return lacewingramp.RelayUnreachable
	case r.Response == nil:
		return lacewingramp.RelayLost
	}
	text := r.Response.Header.Get(headerRelayOutcome)
	if text == "" {
		// The other instance could not read the request.
		return lacewingramp.RelayUnavailable
	}
	outcome, err := lacewingramp.ParseRelayOutcome(text)
	if err != nil {
		// A later version of the program may have more outcomes.
		return lacewingramp.RelayMayHaveRun
	}
	return outcome
}

// setRelayOutcome tells the instance that has relayed a request the outcome. It replaces
// what a target's response says of one.
func (j *job) setRelayOutcome(resp *message.Response, outcome lacewingramp.RelayOutcome) {
	if !j.relayed {
		return
	}
	resp.Header[headerRelayOutcome] = []string{outcome.String()}
	delete(resp.Header, headerRelayLeaving)
	if j.leaving == nil {
		return
	}
	if value, err := json.Marshal(j.leaving); err == nil {
		resp.Header[headerRelayLeaving] = []string{string(value)}
	}
}

// finishRelayed returns the response of another instance for the caller.
func (e *Edge) finishRelayed(j *job, outcome lacewingramp.RelayOutcome, resp *message.Response) *message.Response {
	delete(resp.Header, headerRelayOutcome)
	message.RemoveHopByHopHeaders(resp.Header)
	resp.Close = false
	cause := lacewingramp.CausePeer
	switch outcome {
	case lacewingramp.RelayResponded:
		cause = lacewingramp.CauseNone
	case lacewingramp.RelayNotRun:
		e.refundQuota(j)
	}
	e.Meter.Request(resp.Status, cause, e.Timer.Now().Sub(j.receivedAt))
	return resp
}

func (e *Edge) logRelay(j *job, p lacewingramp.Endpoint, outcome lacewingramp.RelayOutcome, r exchange.Result) {
	now := e.Timer.Now()
	if !e.loglimit.Allow(now, "relay") {
		return
	}
	e.Log.Info().Str("id", j.headers.ID).Str("peer", p.Name).Str("outcome", outcome.String()).AnErr("error", r.Err).
		Int("status", statusOf(r.Response)).Dur("took", now.Sub(j.receivedAt)).Msg("relayed a request to another instance")
}

// handleRelayed returns the response to a request that another instance has relayed.
func (e *Edge) handleRelayed(ctx context.Context, r *message.Request, receivedAt time.Time) *message.Response {
	e.arrivals.Add(1)
	j := &job{request: r, receivedAt: receivedAt, relayed: true}
	var relayed lacewingramp.RelayedRequest
	err := json.Unmarshal([]byte(r.Header.Get(headerRelayed)), &relayed)
	if err == nil {
		err = relayed.Check()
	}
	if err != nil {
		e.Log.Warn().Err(err).Msg("refused a relayed request that cannot be decoded")
		return e.newResponse(j, http.StatusServiceUnavailable, lacewingramp.RelayUnavailable)
	}
	delete(r.Header, headerRelayed)
	if !e.mayRunRelayed(&relayed) {
		return e.newResponse(j, http.StatusServiceUnavailable, lacewingramp.RelayUnavailable)
	}
	if resp := e.resolve(j); resp != nil {
		return resp
	}
	j.attempts, j.tried = relayed.Attempts, relayed.Tried
	if until := receivedAt.Add(relayed.Remaining); until.Before(j.deadline) {
		j.deadline = until
	}
	if resp := e.guard(j); resp != nil {
		return resp
	}
	return e.runUntilDeadline(ctx, j)
}

// mayRunRelayed reports whether this instance can run relayed requests: it is not stopping,
// reaches targets, and has no older table than the sender, whose callers may have seen the
// newer one in force.
func (e *Edge) mayRunRelayed(r *lacewingramp.RelayedRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.routes.Load()
	return m != nil && e.Ready() && !e.reach.CutOff() && m.Table.Revision >= r.Revision
}

// relayBounds returns the bounds for relayed requests, whose headers are longer than those
// of callers and whose connections are kept by other instances.
func (e *Edge) relayBounds() lacewingramp.Bounds {
	b := e.bounds()
	b.Header += maxRelayedHeader
	b.IdleTimeout = lacewingramp.Duration(relayIdleTimeout)
	return b
}

const (
	// maxRelayedHeader is how much longer the headers of a relayed request may be, in
	// bytes.
	maxRelayedHeader = 8 << 10
	// relayIdleTimeout is longer than instances keep idle connections.
	relayIdleTimeout = 30 * time.Second
)
