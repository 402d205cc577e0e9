package rollout

import (
	"slices"
	"time"

	"lacewingramp.example/lacewingramp"
)

// A response is compared with the old version's responses of the same time and population:
// on the same route, from targets of the same region that were neither cold nor busy, for
// objects that this instance has sent to the same target before, or, if it has sent no object
// twice, for new ones. Responses of busy targets are compared for the old version only, less
// the time that they may have waited for a slot, as slow targets are busy.
const (
	// slowFactor is the ratio to the old version's median latency above which a response
	// counts as slow.
	slowFactor = 1.75
	// maxIdleLoad is the maximum number of requests per slot of a target that is not busy.
	maxIdleLoad = 0.7
	// maxFirstFactor is how many times longer a target may take for an object that this
	// instance has not sent there before.
	maxFirstFactor = 3.6
	// minSlowTime is the minimum time of a response that counts as slow. Shorter
	// times depend on the network and on the instance's own load.
	minSlowTime = 20 * time.Millisecond
	// maxSamples is the number of latest responses that a median is taken over, and
	// minSamples the minimum.
	maxSamples = 64
	minSamples = 3
	// maxSampleAge is how long a response is used for comparison.
	maxSampleAge = 10 * time.Second
	// startupTime is how long a target may be slow after its start.
	startupTime = 4 * time.Second
	// warmupTime is how long after this instance's first response from a target those to
	// requests without an object are not compared.
	warmupTime = 2 * time.Second
	// knownTime is how long an object that was sent to a target counts as known there,
	// twice that at most.
	knownTime = 10 * time.Second
	// maxKnown bounds the memory for known objects and targets: a new set is begun when one
	// has as many.
	maxKnown = 4096
)

// speed is the result of comparing a response.
type speed uint8

const (
	unknownSpeed speed = iota
	usual
	slow
)

// population is what responses have in common that are compared with each other.
type population struct {
	route  string
	region string
	// known is set if the instance had sent the object to the target before.
	known bool
}

// placed is an object at one run of a target.
type placed struct {
	target      string
	startMillis int64
	object      string
}

// latencies holds the old version's latest latencies at one instance, and which objects the
// instance has sent to which target. Its zero value is ready for use.
type latencies struct {
	samples map[population][]sample
	// known and older are the placed objects of this and of the previous knownTime.
	known      map[placed]struct{}
	older      map[placed]struct{}
	knownSince time.Time
	// first is when the target first responded to a request without an object.
	first map[placed]time.Time
}

// sample is the latency of one response.
type sample struct {
	endedAt time.Time
	took    time.Duration
}

// compare returns how fast a response was, and records it if the old version sent it. A
// failure that came fast tells nothing of the latency.
func (l *latencies) compare(a *lacewingramp.AttemptResult, old bool) speed {
	known := l.isKnown(a)
	responded := !a.Failed && !a.Unfinished
	if responded {
		l.markKnown(a)
	}
	busy := a.Load > maxIdleLoad
	if a.WarmingUp || justStarted(a) || (busy && !old) || (a.Object == "" && !known) {
		return unknownSpeed
	}
	p := population{route: a.Route, region: a.Region, known: known}
	median, ok := l.reference(p, a.EndedAt)
	if old && !busy && responded {
		l.record(p, sample{endedAt: a.EndedAt, took: a.Took})
	}
	if !ok {
		return unknownSpeed
	}
	result := rate(a, known, median)
	if a.Failed && result != slow {
		return unknownSpeed
	}
	return result
}

// justStarted reports whether the request was sent to a target that had started shortly
// before, by the target's word.
func justStarted(a *lacewingramp.AttemptResult) bool {
	return a.EndedAt.Add(-a.Took).Sub(time.UnixMilli(a.StartMillis)) < startupTime
}

// reference returns the median that a response is compared with. For an object that was not
// known it is that of known objects, or else of others that were not known.
func (l *latencies) reference(p population, now time.Time) (time.Duration, bool) {
	knownObjects := population{route: p.route, region: p.region, known: true}
	if median, ok := l.median(knownObjects, now); ok || p.known {
		return median, ok
	}
	return l.median(p, now)
}

// rate rates the latency of a response by the median of its population. If the object was
// not known, the target may have had to load it.
func rate(a *lacewingramp.AttemptResult, known bool, median time.Duration) speed {
	limit := slowFactor * median.Seconds() * max(1, a.Load)
	took := a.Took.Seconds()
	switch {
	case a.Took < minSlowTime || took <= limit:
		return usual
	case known || took > maxFirstFactor*limit:
		return slow
	default:
		return unknownSpeed
	}
}

// isKnown reports whether this instance has had a response from the target for the object
// before, or its first one warmupTime ago if the request has no object.
func (l *latencies) isKnown(a *lacewingramp.AttemptResult) bool {
	key := placed{target: a.Target, startMillis: a.StartMillis, object: a.Object}
	if a.Object == "" {
		first, ok := l.first[key]
		return ok && a.EndedAt.Sub(first) >= warmupTime
	}
	if _, ok := l.known[key]; ok {
		return true
	}
	_, ok := l.older[key]
	return ok
}

func (l *latencies) markKnown(a *lacewingramp.AttemptResult) {
	key := placed{target: a.Target, startMillis: a.StartMillis, object: a.Object}
	if a.Object == "" {
		if l.first == nil || len(l.first) >= maxKnown {
			l.first = make(map[placed]time.Time)
		}
		if _, ok := l.first[key]; !ok {
			l.first[key] = a.EndedAt
		}
		return
	}
	if l.known == nil || len(l.known) >= maxKnown || a.EndedAt.Sub(l.knownSince) > knownTime {
		l.known, l.older, l.knownSince = make(map[placed]struct{}), l.known, a.EndedAt
	}
	l.known[key] = struct{}{}
}

// record adds a sample to a population.
func (l *latencies) record(p population, s sample) {
	if l.samples == nil {
		l.samples = make(map[population][]sample)
	}
	l.samples[p] = append(l.samples[p], s)
	l.samples[p] = l.samples[p][max(0, len(l.samples[p])-maxSamples):]
}

// median returns the median latency of a population, or false if there are too few samples.
func (l *latencies) median(p population, now time.Time) (time.Duration, bool) {
	var recent []time.Duration
	for _, s := range l.samples[p] {
		if now.Sub(s.endedAt) <= maxSampleAge {
			recent = append(recent, s.took)
		}
	}
	if len(recent) < minSamples {
		return 0, false
	}
	slices.Sort(recent)
	return recent[len(recent)/2], true
}
