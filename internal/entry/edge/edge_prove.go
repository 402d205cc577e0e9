package edge

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// minRelayedTimeLeft is the minimum time to the deadline for another attempt of a relayed
// request. A refusal that arrives at the relaying instance after the deadline would be taken
// for a lost request.
const minRelayedTimeLeft = 80 * time.Millisecond

// resetMemory is for how long all requests to a service have new connections proven after one of
// its targets has closed a new connection. A proof costs a round trip.
const resetMemory = 10 * time.Second

// minTimeLeft returns the minimum time to the deadline for another attempt of a request. The
// caller must hold e.mu.
func (e *Edge) minTimeLeft(j *job) time.Duration {
	if j.relayed && e.placer.LoadAware(j.service) {
		return minRelayedTimeLeft
	}
	return minTimeLeft
}

// proof returns the request that proves a connection to a target before a request is
// written on it, nil for none. A connection that is reset after the request was written
// leaves in doubt whether it has run. A proof takes a round trip and a slot, so there is
// one only while resets have to be expected: a target of the service has recently closed a
// new connection, all targets so far have refused the request, or it is not idempotent and
// the target may be full.
func (e *Edge) proof(j *job, t *lacewingramp.Target) *message.Request {
	if j.route.Idempotent && j.mayHaveRun {
		return nil
	}
	expected := j.attempts > 0 || e.resetRecently(j.service) || (!j.route.Idempotent && e.mayBeFull(t))
	if !expected {
		return nil
	}
	path := e.healthPath(t.Service)
	if path == "" {
		return nil
	}
	return &message.Request{Method: http.MethodGet, URI: path, Host: t.Address}
}

// mayBeFull reports whether all slots of a target may be occupied, as far as is known. A target
// accepts fewer connections while requests wait there.
func (e *Edge) mayBeFull(t *lacewingramp.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate, ok := e.placer.Estimate(e.Timer.Now(), t.Name)
	return !ok || !estimate.Reported || estimate.Requests > float64(t.Slots)
}

// loadAware reports whether a service is load-aware.
func (e *Edge) loadAware(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placer.LoadAware(service)
}

// recordConnection records whether a target of a service has closed a new connection.
func (e *Edge) recordConnection(service string, r exchange.Result) {
	refused := r.ConnectionRefused && !errors.Is(r.Err, exchange.ErrNotProven)
	closed := refused || (r.ConnectionOpened && r.ConnectionBroken)
	if !closed {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetAt[service] = e.Timer.Now()
}

// resetRecently reports whether a target of a service has recently closed a new connection.
func (e *Edge) resetRecently(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.resetAt[service]
	return ok && e.Timer.Now().Sub(at) < resetMemory
}
