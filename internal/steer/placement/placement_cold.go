package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp/internal/limit/bucket"
)

const (
	// coldMargin covers the time that a registration takes to reach this instance.
	coldMargin = 300 * time.Millisecond
	// startupUncertainty is how long after its start an instance does not know which
	// targets are cold: a registration that it reads at its start may be that old.
	startupUncertainty = 2 * time.Second
)

// warmupEnd returns until when a target that started at a time is cold, or zero if its
// service needs no warm-up.
func (p *Placer) warmupEnd(startedAt time.Time, t *target) time.Time {
	warmup := time.Duration(p.settings[t.Service].Warmup)
	if warmup <= 0 {
		return time.Time{}
	}
	return startedAt.Add(warmup + coldMargin)
}

// markCold treats a target as just started.
func (p *Placer) markCold(now time.Time, t *target) {
	if until := p.warmupEnd(now, t); until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// suspend sends no request to a target for a while that could not be reached, and treats
// it as just started afterwards.
func (p *Placer) suspend(now time.Time, t *target) {
	t.suspension = min(maxSuspension, max(minSuspension, 2*t.suspension))
	t.suspendedUntil = now.Add(t.suspension)
	t.assumedColdUntil = p.warmupEnd(t.suspendedUntil, t)
	t.unreachableAt = now
}

// ForgetUnreachable ends the effects of all failures to reach a target since a time. They
// were not the targets' if this instance was cut off from all of them.
func (p *Placer) ForgetUnreachable(since time.Time) {
	for _, t := range p.targets {
		if !t.unreachableAt.Before(since) {
			t.suspension, t.suspendedUntil, t.assumedColdUntil = 0, time.Time{}, time.Time{}
		}
		if !t.throttle.decreasedAt.Before(since) {
			t.throttle = concurrencyLimit{duration: t.throttle.duration}
		}
	}
}

// setCold records how long a target says that it stays cold.
func (t *target) setCold(now time.Time, warmupRemaining time.Duration) {
	if warmupRemaining > 0 {
		t.coldUntil = now.Add(warmupRemaining + coldMargin)
	}
}

// mayBeCold reports whether a target may be cold without this instance knowing.
// That can be so shortly after the instance's start, as the target may have become
// cold after its registration was written.
func (p *Placer) mayBeCold(now time.Time, t *target) bool {
	return now.Sub(p.StartedAt) < startupUncertainty && !t.confirmed && !t.cold(now) && p.settings[t.Service].ColdRate > 0
}

// RecordProbe records a target's response to a probe.
func (p *Placer) RecordProbe(now time.Time, r Report) {
	t, ok := p.targets[r.Target]
	if !ok {
		return
	}
	t.confirmed = true
	t.coldUntil, t.assumedColdUntil = time.Time{}, time.Time{}
	t.setCold(now, r.WarmupRemaining)
	t.recordLimit(now, r)
	p.recordLoad(now, t, r.TargetLoad)
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
	if t.bucket.FilledAt.IsZero() {
		const unit = 1 << 53
		level := math.Min(1, rate/float64(max(1, p.maxInstances))) * float64(mix(xxhash.Sum64String(p.Self)^t.hash)>>11) / unit
		t.bucket = bucket.Bucket{Level: level, FilledAt: p.StartedAt}
	}
	t.bucket.Rate, t.bucket.Capacity = rate/float64(max(1, p.maxInstances)), 1
	t.bucket.Fill(now)
	return t.bucket.Take(0)
}
