package slot

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
)

//go:generate stringer -type=Outcome -linecomment

// Outcome is the result of a request on its target. OutcomeFailed means that the target
// gave no usable response in time, or one with a server error, OutcomeShed that it
// rejected the request without running it, OutcomeConnectionLost that the connection was
// lost after the request had been sent, OutcomeRefused that the request could not be
// sent, and OutcomeAborted that this instance aborted the request itself.
type Outcome uint8

// The outcomes. The comment after each constant is its text form.
const (
	OutcomeResponded      Outcome = iota // answered
	OutcomeFailed                        // failed
	OutcomeShed                          // shed
	OutcomeConnectionLost                // died
	OutcomeAborted                       // cut
	OutcomeRefused                       // refused
)

// Parameters of the choice of targets. An ejected target receives no new requests for a
// time.
const (
	// warmUpTime is the time after which all slots of a new target are in use.
	warmUpTime = 10 * time.Second
	// firstEjection is the duration of the first ejection of a failing target. Each
	// further one is twice as long, up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = time.Minute
	// ejectFailureRate is the smoothed fraction of failed requests above which a target
	// is ejected.
	ejectFailureRate = 0.5
	// minEjectSamples is the minimum number of outcomes recorded before a target is
	// ejected for its failure rate.
	minEjectSamples = 5
	// smoothing is the weight of the newest outcome in the moving averages of latency
	// and failures.
	smoothing = 0.2
	// leavePause is how long a target receives no new requests after it has reported
	// that it is leaving.
	leavePause = 30 * time.Second
	// refusePause is how long a target to which a request could not be sent receives no
	// new requests.
	refusePause = time.Second
	// shedPause is how long a target that shed a request receives no new requests.
	shedPause = 100 * time.Millisecond
)

type target struct {
	lacewingramp.Target

	ownedSlots   int
	inflight     int
	addedAt      time.Time
	removed      bool
	samples      int
	failureRate  float64
	latency      float64
	ejections    int
	ejectedUntil time.Time
}

func (t *target) countOwned(usable ShardSet) {
	t.ownedSlots = 0
	for i := range t.Slots {
		if usable[shardOf(t.Name, i)] {
			t.ownedSlots++
		}
	}
}

// usable reports whether the target may receive new requests if it has a free slot.
func (t *target) usable(now time.Time) bool {
	return !t.Leaving && !t.removed && !now.Before(t.ejectedUntil)
}

// capacity returns how many requests of this instance the target may run at a time: the
// slots that the instance owns, or fewer while the target warms up. The usable fraction
// of the slots rises linearly from a quarter to all of them.
func (t *target) capacity(now time.Time) int {
	age := now.Sub(t.addedAt)
	if age >= warmUpTime {
		return t.ownedSlots
	}
	fraction := 0.25 + 0.75*float64(age)/float64(warmUpTime)
	return min(t.ownedSlots, max(1, int(math.Ceil(fraction*float64(t.ownedSlots)))))
}

// cost rates the target in comparison with others: the one with the lowest cost is
// preferred. Latency and failure rate are those that this instance measured itself.
func (t *target) cost(now time.Time) float64 {
	load := float64(t.inflight+1) / float64(max(1, t.capacity(now)))
	return load * (1 + t.latency) * (1 + 4*t.failureRate)
}

// record updates the target's latency, failure rate and ejection with an outcome. A
// request that was aborted by this instance says nothing about the target.
func (t *target) record(now time.Time, g Grant, o Outcome, ejectable bool) {
	switch o {
	case OutcomeAborted:
		return
	case OutcomeShed:
		t.ejectedUntil = later(t.ejectedUntil, now.Add(shedPause))
		return
	case OutcomeRefused:
		t.ejectedUntil = later(t.ejectedUntil, now.Add(refusePause))
		return
	case OutcomeConnectionLost:
		t.recordFailure(now, 1, ejectable)
		t.eject(now, ejectable)
	case OutcomeFailed:
		t.recordFailure(now, 1, ejectable)
	default:
		t.latency += smoothing * (now.Sub(g.Started).Seconds() - t.latency)
		t.recordFailure(now, 0, ejectable)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *target) recordFailure(now time.Time, failed float64, ejectable bool) {
	t.samples++
	t.failureRate += smoothing * (failed - t.failureRate)
	if failed == 0 && t.failureRate < smoothing {
		t.ejections = 0
	}
	if t.samples >= minEjectSamples && t.failureRate > ejectFailureRate {
		t.eject(now, ejectable)
	}
}

func (t *target) eject(now time.Time, ejectable bool) {
	if !ejectable || now.Before(t.ejectedUntil) {
		return
	}
	d := min(firstEjection<<min(t.ejections, 5), maxEjection)
	t.ejections++
	t.ejectedUntil = now.Add(d)
	t.samples = 0
	t.failureRate = 0
}

// ejectable reports whether at least half of the service's targets stay in use if t is
// ejected.
func (p *Pool) ejectable(t *target) bool {
	s := p.service(t.Service)
	ejected := 1
	for _, o := range s.targets {
		if o != t && !o.ejectedUntil.IsZero() && o.ejectedUntil.After(t.ejectedUntil) {
			ejected++
		}
	}
	return ejected*2 <= len(s.targets)
}

// pick chooses the better of two random targets with a free slot.
func (p *Pool) pick(now time.Time, s *service, r Request) *target {
	n := 0
	var first, second *target
	var avoided *target
	for _, t := range s.targets {
		if !t.usable(now) || t.inflight >= t.capacity(now) {
			continue
		}
		if r.Version != "" && t.Version != r.Version {
			continue
		}
		if t.Name == r.Avoid {
			avoided = t
			continue
		}
		n++
		first, second = p.sample(n, t, first, second)
	}
	if first == nil {
		return avoided
	}
	if second == nil || first.cost(now) <= second.cost(now) {
		return first
	}
	return second
}

// sample does one step of reservoir sampling: it returns two of the n targets seen so
// far, chosen at random. newest is the last of them, first and second are the result of
// the previous step.
func (p *Pool) sample(n int, newest, first, second *target) (a, b *target) {
	if n == 1 {
		return newest, nil
	}
	if n == 2 {
		return first, newest
	}
	switch p.random.IntN(n) {
	case 0:
		return newest, second
	case 1:
		return first, newest
	default:
		return first, second
	}
}
