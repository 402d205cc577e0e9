package edge

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// logSlow logs that the response to a request, or the lack of one, has made a target suspected to
// be slow, or has refuted that. The caller must hold e.mu.
func (e *Edge) logSlow(now time.Time, id string, t *lacewingramp.Target, wasSlow bool) {
	slow := e.placer.Slow(now, t.Name)
	if slow == wasSlow || !e.loglimit.Allow(now, "slow") {
		return
	}
	e.Log.Info().Str("request", id).Str("target", t.Name).Str("service", t.Service).Bool("slow", slow).
		Msg("a target's suspected slowness changed")
}
