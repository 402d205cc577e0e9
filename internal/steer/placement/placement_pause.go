package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A target that refuses a request may say for how long it wants nothing more from this
// instance. After that pause it is on trial: it gets one request at a time until it has
// run one. A pause holds for one incarnation of the target.

const (
	// maxPause bounds the pause that a target can ask for.
	maxPause = 5 * time.Minute
	// Instances return to a target at different times within returnFraction of its pause,
	// at most maxReturnSpread after its end.
	returnFraction  = 0.25
	maxReturnSpread = 2 * time.Second
	// pauseRetention is how long the pause of a target is remembered that is no longer
	// registered, as it may register again.
	pauseRetention = time.Hour
)

// pause is the pause that an incarnation of a target has asked for.
type pause struct {
	startMillis int64
	until       time.Time
}

// pauseOf returns the pause of a target, or false if it has none and is not on trial.
func (p *Placer) pauseOf(t *target) (pause, bool) {
	found, ok := p.pauses[t.Name]
	return found, ok && found.startMillis == t.StartMillis
}

// paused reports whether a target wants nothing from this instance now.
func (p *Placer) paused(now time.Time, t *target) bool {
	found, ok := p.pauseOf(t)
	return ok && now.Before(found.until)
}

// onTrial reports whether a target gets only one request at a time, as its pause is over
// and it has run none since.
func (p *Placer) onTrial(now time.Time, t *target) bool {
	found, ok := p.pauseOf(t)
	return ok && !now.Before(found.until)
}

// recordPause records the pause that a refusal asks for, and ends the trial of a target
// that has run a request.
func (p *Placer) recordPause(now time.Time, t *target, r Report) {
	known, ok := p.pauseOf(t)
	switch {
	case r.RetryAfter > 0:
		until := now.Add(min(r.RetryAfter, maxPause) + p.returnDelay(t, min(r.RetryAfter, maxPause)))
		if ok && known.until.After(until) {
			return
		}
		p.setPause(now, t, until)
	case ok && r.Ran && !r.SentAt.Before(known.until):
		delete(p.pauses, t.Name)
	}
}

func (p *Placer) setPause(now time.Time, t *target, until time.Time) {
	if p.pauses == nil {
		p.pauses = make(map[string]pause)
	}
	for name, old := range p.pauses {
		if now.Sub(old.until) > pauseRetention {
			delete(p.pauses, name)
		}
	}
	p.pauses[t.Name] = pause{startMillis: t.StartMillis, until: until}
}

// returnDelay returns how long after the end of a pause this instance returns to a target.
func (p *Placer) returnDelay(t *target, d time.Duration) time.Duration {
	const parts = 1 << 10
	spread := min(time.Duration(float64(d)*returnFraction), maxReturnSpread)
	return spread * time.Duration(mix(xxhash.Sum64String(p.Self)^t.hash)%parts) / parts
}

// noneUsable returns the choice for a request that no target can get now. If some would get
// it but for a pause, it tells when the first of these ends.
func (p *Placer) noneUsable(now time.Time, q *Query) Choice {
	var c Choice
	for _, t := range p.services[q.Service] {
		if !p.eligible(now, t, q) {
			continue
		}
		if !p.paused(now, t) {
			c.Full = true
			continue
		}
		found, _ := p.pauseOf(t)
		if left := found.until.Sub(now); c.RetryAfter == 0 || left < c.RetryAfter {
			c.RetryAfter = left
		}
	}
	return c
}
