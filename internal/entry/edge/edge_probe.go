package edge

import (
	"context"
	"net/http"
	"slices"
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
	// probesMost is how many targets one instance asks at its start. Where there
	// are more, it asks those of its own region, up to regionProbesMost, and the
	// others are left to prove themselves by their listings.
	probesMost       = 64
	regionProbesMost = 256
)

// probeUncertain asks the targets that may be cold whether they are. A process
// that takes the place of another does not know, as listings may be old.
func (e *Edge) probeUncertain(now time.Time) {
	m := e.routes.Load()
	if m == nil {
		return
	}
	for _, t := range e.toProbe(e.place.Uncertain(now)) {
		s, ok := m.Service(t.Service)
		if !ok || s.Health == "" || e.probed[t.Name] {
			continue
		}
		e.probed[t.Name] = true
		go e.probe(t, s.Health)
	}
}

// toProbe picks the targets that are asked.
func (e *Edge) toProbe(all []lacewingramp.Target) []lacewingramp.Target {
	if len(all) <= probesMost {
		return all
	}
	near := slices.DeleteFunc(all, func(t lacewingramp.Target) bool { return e.Regions[t.Domain] != e.Region })
	return near[:min(len(near), regionProbesMost)]
}

// probe takes in a target's answer to a health check. Without one the target
// stays uncertain.
func (e *Edge) probe(t lacewingramp.Target, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r := e.client.Do(ctx, exchange.Order{
		Address: t.Address,
		Request: &message.Request{Method: http.MethodGet, URI: path, Host: t.Address},
	})
	ok := r.Answer != nil && r.Answer.Status == http.StatusOK && r.Sign.Target == t.Name
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok {
		e.place.Probed(e.Timer.Now(), placement.Report{Target: t.Name, Cold: r.Sign.Cold, Load: r.Sign.Load})
	}
	e.Log.Info().Str("target", t.Name).Bool("well", ok).Dur("cold", r.Sign.Cold).AnErr("error", r.Err).Msg("asked a target for its health")
}
