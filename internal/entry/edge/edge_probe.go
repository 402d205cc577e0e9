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
	// probeTimeout bounds a health check: a target that is busy answers late,
	// and counts as uncertain meanwhile.
	probeTimeout = time.Second
	// probePatience is how long requests wait for a health check before they go
	// elsewhere: it covers the way to another region and back.
	probePatience = 150 * time.Millisecond
)

// probe is a health check under way. Done is closed when it is over.
type probe struct {
	done chan struct{}
}

// confirm asks a target whether it is cold, for a request that is to go there,
// and returns when it has answered or should not be waited for any longer. A
// process that takes the place of another does not know, as listings may be
// old. Requests that come meanwhile wait for the same answer.
func (e *Edge) confirm(ctx context.Context, t *lacewingramp.Target) {
	p := e.probing(t)
	if _, ok := await(ctx, p.done, probePatience); ok || ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.place.Silent(t.Name)
}

// probing returns the health check of a target that is under way, or starts one.
func (e *Edge) probing(t *lacewingramp.Target) *probe {
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

// probe takes in a target's answer to a health check. Without one the target
// stays uncertain.
func (e *Edge) probe(t *lacewingramp.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var r exchange.Result
	if path := e.healthPath(t.Service); path != "" {
		r = e.client.Do(ctx, exchange.Order{
			Address: t.Address,
			Request: &message.Request{Method: http.MethodGet, URI: path, Host: t.Address},
		})
	}
	ok := r.Answer != nil && r.Answer.Status == http.StatusOK && r.Sign.Target == t.Name
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.probes, t.Name)
	if ok {
		e.place.Probed(e.Timer.Now(), placement.Report{Target: t.Name, Cold: r.Sign.Cold, Load: r.Sign.Load})
	} else {
		e.place.Silent(t.Name)
	}
	e.Log.Info().Str("target", t.Name).Bool("well", ok).Dur("cold", r.Sign.Cold).AnErr("error", r.Err).Msg("asked a target for its health")
}

// healthPath returns the path of a service's health checks, if it has any.
func (e *Edge) healthPath(service string) string {
	m := e.routes.Load()
	if m == nil {
		return ""
	}
	s, ok := m.Service(service)
	if !ok {
		return ""
	}
	return s.Health
}
