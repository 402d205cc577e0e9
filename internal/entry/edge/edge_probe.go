package edge

import (
	"context"
	"net/http"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

const (
	// probeTimeout limits a probe. A busy target responds late, and until then it is
	// unknown whether it is cold.
	probeTimeout = time.Second
	// maxProbeWait is how long a request waits for a probe before it is sent to another
	// target. It covers the round trip to another region.
	maxProbeWait = 150 * time.Millisecond
)

// probe is a health check in progress, sent to a target that may be cold before it gets
// requests. A cold target is one that is slow because it started recently. done is
// closed when the check ends.
type probe struct {
	done chan struct{}
}

// awaitProbe waits for a probe that shows whether a target is cold, for at most
// maxProbeWait. An instance that has just started cannot tell this from the
// registrations, which may be out of date. Concurrent requests wait for the same probe.
func (e *Edge) awaitProbe(ctx context.Context, t *lacewingramp.Target) {
	p := e.startProbe(t)
	if _, ok := await(ctx, p.done, maxProbeWait); ok || ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placer.RecordProbeFailure(t.Name)
}

// startProbe returns the probe of a target that is in progress, and starts one if there
// is none.
func (e *Edge) startProbe(t *lacewingramp.Target) *probe {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := e.probes[t.Name]; ok {
		return p
	}
	p := &probe{done: make(chan struct{})}
	e.probes[t.Name] = p
	go func() {
		e.probe(t)
		close(p.done)
	}()
	return p
}

// probe probes a target and records the result. Without a valid response it stays
// unknown whether the target is cold.
func (e *Edge) probe(t *lacewingramp.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	incarnation := e.incarnation(t.Name)
	var r exchange.Result
	if path := e.healthPath(t.Service); path != "" {
		r = e.client.Do(ctx, exchange.TargetRequest{
			Address: t.Address,
			Request: &message.Request{Method: http.MethodGet, URI: path, Host: t.Address},
		})
	}
	defer r.Response.Release()
	ok := r.Response != nil && r.Response.Status == http.StatusOK && r.ResponseHeaders.Target == t.Name
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.probes, t.Name)
	if ok && r.ResponseHeaders.Leaving {
		e.markLeaving(e.Timer.Now(), incarnation, "", "")
	}
	if ok {
		e.placer.RecordProbe(e.Timer.Now(), placement.Report{Target: t.Name, WarmupRemaining: r.ResponseHeaders.WarmupRemaining, TargetLoad: r.ResponseHeaders.TargetLoad})
	} else {
		e.placer.RecordProbeFailure(t.Name)
	}
	e.Log.Info().Str("target", t.Name).Bool("well", ok).Dur("cold", r.ResponseHeaders.WarmupRemaining).AnErr("error", r.Err).Msg("probed a target")
}

// healthPath returns the health check path of a service, or "" if it has none.
func (e *Edge) healthPath(service string) string {
	m := e.routes.Load()
	if m == nil {
		return ""
	}
	s, ok := m.Service(service)
	if !ok {
		return ""
	}
	return s.HealthCheckPath
}
