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
	OutcomeAnswered       Outcome = iota // answered
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

func (k *target) countOwned(usable ShardSet) {
	k.ownedSlots = 0
	for i := range k.Slots {
		if usable[shardOf(k.Name, i)] {
			k.ownedSlots++
		}
	}
}

// usable reports whether the target may receive new requests if it has a free slot.
func (k *target) usable(now time.Time) bool {
	return !k.Leaving && !k.removed && !now.Before(k.ejectedUntil)
}

// capacity returns how many requests of this instance the target may run at a time: the
// slots that the instance owns, or fewer while the target warms up. The usable fraction
// of the slots rises linearly from a quarter to all of them.
func (k *target) capacity(now time.Time) int {
	age := now.Sub(k.addedAt)
	if age >= warmUpTime {
		return k.ownedSlots
	}
	fraction := 0.25 + 0.75*float64(age)/float64(warmUpTime)
	return min(k.ownedSlots, max(1, int(math.Ceil(fraction*float64(k.ownedSlots)))))
}

// cost rates the target in comparison with others: the one with the lowest cost is
// preferred. Latency and failure rate are those that this instance measured itself.
func (k *target) cost(now time.Time) float64 {
	load := float64(k.inflight+1) / float64(max(1, k.capacity(now)))
	return load * (1 + k.latency) * (1 + 4*k.failureRate)
}

// record updates the target's latency, failure rate and ejection with an outcome. A
// request that was aborted by this instance says nothing about the target.
func (k *target) record(now time.Time, g Grant, o Outcome, ejectable bool) {
	switch o {
	case OutcomeAborted:
		return
	case OutcomeShed:
		k.ejectedUntil = later(k.ejectedUntil, now.Add(shedPause))
		return
	case OutcomeRefused:
		k.ejectedUntil = later(k.ejectedUntil, now.Add(refusePause))
		return
	case OutcomeConnectionLost:
		k.recordFailure(now, 1, ejectable)
		k.eject(now, ejectable)
	case OutcomeFailed:
		k.recordFailure(now, 1, ejectable)
	default:
		k.latency += smoothing * (now.Sub(g.Started).Seconds() - k.latency)
		k.recordFailure(now, 0, ejectable)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (k *target) recordFailure(now time.Time, failed float64, ejectable bool) {
	k.samples++
	k.failureRate += smoothing * (failed - k.failureRate)
	if failed == 0 && k.failureRate < smoothing {
		k.ejections = 0
	}
	if k.samples >= minEjectSamples && k.failureRate > ejectFailureRate {
		k.eject(now, ejectable)
	}
}

func (k *target) eject(now time.Time, ejectable bool) {
	if !ejectable || now.Before(k.ejectedUntil) {
		return
	}
	d := min(firstEjection<<min(k.ejections, 5), maxEjection)
	k.ejections++
	k.ejectedUntil = now.Add(d)
	k.samples = 0
	k.failureRate = 0
}

// ejectable reports whether at least half of the service's targets stay in use if k is
// ejected.
func (p *Pool) ejectable(k *target) bool {
	s := p.service(k.Service)
	ejected := 1
	for _, o := range s.targets {
		if o != k && !o.ejectedUntil.IsZero() && o.ejectedUntil.After(k.ejectedUntil) {
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
	for _, k := range s.targets {
		if !k.usable(now) || k.inflight >= k.capacity(now) {
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

// sample does one step of reservoir sampling: it returns two of the n targets seen so
// far, chosen at random. k is the newest of them, first and second are the result of the
// previous step.
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
