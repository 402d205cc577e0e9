package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

const (
	// coldMargin covers the time that a registration takes to reach this instance.
	coldMargin = 300 * time.Millisecond
	// coldBurst is the maximum number of requests sent to a cold target at once.
	coldBurst = 2.0
	// startupUncertainty is how long after its start an instance does not know which
	// targets are cold: a registration that it reads at its start may be that old.
	startupUncertainty = 2 * time.Second
)

// markCold treats a target as just started.
func (p *Placer) markCold(now time.Time, t *target) {
	warmup := time.Duration(p.settings[t.Service].Warmup)
	if until := now.Add(warmup + coldMargin); warmup > 0 && until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// setCold records how long a target says that it stays cold.
func (t *target) setCold(now time.Time, warmupRemaining time.Duration) {
	if warmupRemaining > 0 {
		t.coldUntil = now.Add(warmupRemaining + coldMargin)
	}
}

// takeColdToken takes a token for one request to a cold target. Only the instance
// that owns the target's cold rate gets tokens.
func (p *Placer) takeColdToken(now time.Time, t *target) bool {
	rate := p.settings[t.Service].ColdRate
	if rate <= 0 {
		return true
	}
	if owner := rendezvous.Owner(t.Name, p.instances); owner != p.Self && owner != "" {
		return false
	}
	if t.coldTokensAt.IsZero() {
		t.coldTokens = 1
	} else {
		t.coldTokens = math.Min(coldBurst, t.coldTokens+rate*now.Sub(t.coldTokensAt).Seconds())
	}
	t.coldTokensAt = now
	if t.coldTokens < 1 {
		return false
	}
	t.coldTokens--
	return true
}

// takeToken takes the token that a request to a cold target needs, and succeeds
// without one if the target is warm. Shortly after its start an instance knows
// neither which targets are cold nor which instance owns their rates.
func (p *Placer) takeToken(now time.Time, t *target, cold bool) bool {
	switch {
	case now.Sub(p.StartedAt) < startupUncertainty && (cold || !t.confirmed):
		return p.takeStartupToken(now, t)
	case cold:
		return p.takeColdToken(now, t)
	default:
		return true
	}
}

// mayBeCold reports whether a target may be cold without this instance knowing.
// That can be so shortly after the instance's start, as the target may have become
// cold after its registration was written.
func (p *Placer) mayBeCold(now time.Time, t *target) bool {
	return now.Sub(p.StartedAt) < startupUncertainty && !t.confirmed && !now.Before(t.coldUntil) && p.settings[t.Service].ColdRate > 0
}

// RecordProbe records a target's response to a probe.
func (p *Placer) RecordProbe(now time.Time, r Report) {
	t, ok := p.targets[r.Target]
	if !ok {
		return
	}
	t.confirmed = true
	t.coldUntil = time.Time{}
	t.setCold(now, r.WarmupRemaining)
	if r.TargetLoad != nil {
		t.load, t.loadAt, t.inflightAtLoad = *r.TargetLoad, now, t.inflight
	}
}

// RecordProbeFailure records that a target gave no usable response to a probe in
// time. Whether it is cold remains unknown.
func (p *Placer) RecordProbeFailure(name string) {
	if t, ok := p.targets[name]; ok {
		t.probeFailed = true
	}
}

// takeStartupToken takes a token for one request to a target that may be cold,
// while it is not known which instance owns the target's cold rate. Each instance
// uses an equal share of that rate. The initial numbers of tokens differ between
// instances, so that they do not all send at the same moment.
func (p *Placer) takeStartupToken(now time.Time, t *target) bool {
	rate := p.settings[t.Service].ColdRate
	if rate <= 0 {
		return true
	}
	ownRate := rate / float64(max(1, p.maxInstances))
	if t.coldTokensAt.IsZero() {
		const unit = 1 << 53
		t.coldTokens = math.Min(1, ownRate) * float64(mix(xxhash.Sum64String(p.Self)^t.hash)>>11) / unit
		t.coldTokensAt = p.StartedAt
	}
	t.coldTokens = math.Min(1, t.coldTokens+ownRate*now.Sub(t.coldTokensAt).Seconds())
	t.coldTokensAt = now
	if t.coldTokens < 1 {
		return false
	}
	t.coldTokens--
	return true
}
