package edge

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// logPause logs and counts the pause that a target has asked for in its refusal of a
// request. The caller must hold e.mu.
func (e *Edge) logPause(now time.Time, j *job, t *lacewingramp.Target, h lacewingramp.ResponseHeaders) {
	if h.WrongTarget {
		return
	}
	if h.RetryAfter > 0 {
		e.Meter.TargetPause()
	}
	if (h.RetryAfter == 0 && !h.InvalidRetryAfter) || !e.loglimit.Allow(now, "pause") {
		return
	}
	if h.InvalidRetryAfter {
		e.Log.Warn().Str("id", j.headers.ID).Str("target", t.Name).Msg("ignored the pause that a target asks for, as it cannot be understood")
		return
	}
	e.Log.Info().Str("request", j.headers.ID).Str("paused", t.Name).Dur("for", h.RetryAfter).Str("service", t.Service).
		Msg("a target asked for a pause")
}
