package slot

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
)

//go:generate stringer -type=Outcome -linecomment

// Outcome is what became of a request on its target.
type Outcome uint8

// The outcomes.
const (
	OutcomeAnswered Outcome = iota // answered
	OutcomeFailed                  // failed
	OutcomeShed                    // shed
	OutcomeDied                    // died
	OutcomeCut                     // cut
	OutcomeRefused                 // refused
)

// Policy of target choice.
const (
	// warmTime is how long a new target takes to get all of its slots.
	warmTime = 10 * time.Second
	// ejectTime is the first ejection of a failing target. Each further one
	// is twice as long, up to ejectMost.
	ejectTime = 2 * time.Second
	ejectMost = time.Minute
	// ejectFailures is the smoothed part of failures that ejects a target.
	ejectFailures = 0.5
	// ejectSamples is how many outcomes are seen before that.
	ejectSamples = 5
	// smoothing is the weight of the newest outcome.
	smoothing = 0.2
	// leaveTime is how long a target that says it leaves gets nothing new.
	leaveTime = 30 * time.Second
	// refusePause is how long a target that refuses connections gets nothing
	// new.
	refusePause = time.Second
	// shedPause is how long a target that sheds load gets nothing new.
	shedPause = 100 * time.Millisecond
)

type target struct {
	lacewingramp.Target

	owned     int
	inflight  int
	born      time.Time
	gone      bool
	samples   int
	failures  float64
	latency   float64
	ejections int
	ejected   time.Time
}

func (k *target) own(usable Held) {
	k.owned = 0
	for i := range k.Slots {
		if usable[shardOf(k.Name, i)] {
			k.owned++
		}
	}
}

// usable reports whether the target may get a new request at all.
func (k *target) usable(now time.Time) bool {
	return !k.Leaving && !k.gone && !now.Before(k.ejected)
}

// room is how many requests the target may run now: all of its slots that
// are owned, or fewer while it warms up.
func (k *target) room(now time.Time) int {
	age := now.Sub(k.born)
	if age >= warmTime {
		return k.owned
	}
	part := 0.25 + 0.75*float64(age)/float64(warmTime)
	return min(k.owned, max(1, int(math.Ceil(part*float64(k.owned)))))
}

// cost orders targets: the smaller, the better. Latency and failures are this
// instance's own measurements.
func (k *target) cost(now time.Time) float64 {
	load := float64(k.inflight+1) / float64(max(1, k.room(now)))
	return load * (1 + k.latency) * (1 + 4*k.failures)
}

// record folds an outcome into the target's measurements.
func (k *target) record(now time.Time, g Grant, o Outcome, ejectable bool) {
	switch o {
	case OutcomeCut:
		return
	case OutcomeShed:
		k.ejected = later(k.ejected, now.Add(shedPause))
		return
	case OutcomeRefused:
		k.ejected = later(k.ejected, now.Add(refusePause))
		return
	case OutcomeDied:
		k.fail(now, 1, ejectable)
		k.eject(now, ejectable)
	case OutcomeFailed:
		k.fail(now, 1, ejectable)
	default:
		k.latency += smoothing * (now.Sub(g.Started).Seconds() - k.latency)
		k.fail(now, 0, ejectable)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (k *target) fail(now time.Time, failed float64, ejectable bool) {
	k.samples++
	k.failures += smoothing * (failed - k.failures)
	if failed == 0 && k.failures < smoothing {
		k.ejections = 0
	}
	if k.samples >= ejectSamples && k.failures > ejectFailures {
		k.eject(now, ejectable)
	}
}

func (k *target) eject(now time.Time, ejectable bool) {
	if !ejectable || now.Before(k.ejected) {
		return
	}
	d := min(ejectTime<<min(k.ejections, 5), ejectMost)
	k.ejections++
	k.ejected = now.Add(d)
	k.samples = 0
	k.failures = 0
}

// ejectable reports whether a target may be ejected: at least half of its
// service's targets stay.
func (p *Pool) ejectable(k *target) bool {
	s := p.service(k.Service)
	out := 1
	for _, o := range s.targets {
		if o != k && !o.ejected.IsZero() && o.ejected.After(k.ejected) {
			out++
		}
	}
	return out*2 <= len(s.targets)
}

// pick chooses the better of two random targets with a free slot.
func (p *Pool) pick(now time.Time, s *service, r Request) *target {
	n := 0
	var first, second *target
	var avoided *target
	for _, k := range s.targets {
		if !k.usable(now) || k.inflight >= k.room(now) {
			continue
		}
		if r.Version != "" && k.Version != r.Version {
			continue
		}
		if k.Name == r.Avoid {
			avoided = k
			continue
		}
		n++
		first, second = p.sample(n, k, first, second)
	}
	if first == nil {
		return avoided
	}
	if second == nil || first.cost(now) <= second.cost(now) {
		return first
	}
	return second
}

// sample keeps two of the n targets seen so far, each with the same chance.
func (p *Pool) sample(n int, k, first, second *target) (a, b *target) {
	if n == 1 {
		return k, nil
	}
	if n == 2 {
		return first, k
	}
	switch p.random.IntN(n) {
	case 0:
		return k, second
	case 1:
		return first, k
	default:
		return first, second
	}
}
