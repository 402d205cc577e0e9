package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp/internal/peer/duty"
)

const (
	// coldMargin covers the time that a listing takes to get here.
	coldMargin = 300 * time.Millisecond
	// coldBurst is how many requests a cold target may get at once.
	coldBurst = 2.0
	// uncertain is how long after its start an instance does not know which
	// targets are cold: a listing may be that old.
	uncertain = 2 * time.Second
)

// chill takes a target as just started.
func (p *Placer) chill(now time.Time, t *target) {
	warmup := time.Duration(p.settings[t.Service].Warmup)
	if until := now.Add(warmup + coldMargin); warmup > 0 && until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// setCold takes in how long a target says that it stays cold.
func (t *target) setCold(now time.Time, cold time.Duration) {
	if cold > 0 {
		t.coldUntil = now.Add(cold + coldMargin)
	}
}

// takeCold asks for one start at a cold target, which one instance keeps the
// rate of.
func (p *Placer) takeCold(now time.Time, t *target) bool {
	rate := p.settings[t.Service].Coldrate
	if rate <= 0 {
		return true
	}
	if owner := duty.Owner(t.Name, p.members); owner != p.Self && owner != "" {
		return false
	}
	if t.tokensAt.IsZero() {
		t.tokens = 1
	} else {
		t.tokens = math.Min(coldBurst, t.tokens+rate*now.Sub(t.tokensAt).Seconds())
	}
	t.tokensAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// mayStart asks for one start at a target that is or may be cold. In the time
// after its start an instance knows neither which targets are cold nor which
// instance keeps their rate.
func (p *Placer) mayStart(now time.Time, t *target, cold bool) bool {
	switch {
	case now.Sub(p.Begun) < uncertain && (cold || !t.known):
		return p.takeUncertain(now, t)
	case cold:
		return p.takeCold(now, t)
	default:
		return true
	}
}

// doubtful reports whether a target may have become cold before this instance's
// start, unseen: its listing may be older than that.
func (p *Placer) doubtful(now time.Time, t *target) bool {
	return now.Sub(p.Begun) < uncertain && !t.known && !now.Before(t.coldUntil) && p.settings[t.Service].Coldrate > 0
}

// Probed takes in what a target said of itself when it was asked.
func (p *Placer) Probed(now time.Time, r Report) {
	t, ok := p.targets[r.Target]
	if !ok {
		return
	}
	t.known = true
	t.coldUntil = time.Time{}
	t.setCold(now, r.Cold)
	if r.Load != nil {
		t.load, t.loadAt, t.loadOwn = *r.Load, now, t.inflight
	}
}

// Silent takes in that a target did not answer in time when it was asked. It
// stays uncertain.
func (p *Placer) Silent(name string) {
	if t, ok := p.targets[name]; ok {
		t.silent = true
	}
}

// takeUncertain asks for one start at a target that may be cold, while any
// instance may send there: each uses its part of the cold rate. The first
// tokens differ from instance to instance, so that they do not all start at
// the same moment.
func (p *Placer) takeUncertain(now time.Time, t *target) bool {
	rate := p.settings[t.Service].Coldrate
	if rate <= 0 {
		return true
	}
	part := rate / float64(max(1, p.most))
	if t.tokensAt.IsZero() {
		const unit = 1 << 53
		t.tokens = math.Min(1, part) * float64(mix(xxhash.Sum64String(p.Self)^t.hash)>>11) / unit
		t.tokensAt = p.Begun
	}
	t.tokens = math.Min(1, t.tokens+part*now.Sub(t.tokensAt).Seconds())
	t.tokensAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
