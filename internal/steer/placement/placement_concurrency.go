package placement

import "time"

// The concurrency limit of a target is how many requests this instance may have in flight there.
// A target whose queue is so long that requests time out does work whose result nobody takes.
// Its limit decreases with each timeout and increases again with each response, so that the
// instances together send what it can finish, without knowing of each other.

const (
	// minInflightLimit is the minimum number of concurrent requests that an instance may have
	// at a target that answers in time.
	minInflightLimit = 2
	// A timeout multiplies the limit by limitDecrease. A response adds limitIncrease, or that
	// part of it that makes limitIncrease for as many responses as the limit allows at a time.
	limitDecrease = 0.6
	limitIncrease = 0.2
	// minConcurrency is the minimum limit. One below 1 is the fraction of the time in which one
	// request may be in flight.
	minConcurrency = 0.25
	// minTimeFraction is the fraction of the average duration, which includes waits for slots,
	// that a request must have had for its timeout to count.
	minTimeFraction = 0.5
	// durationWeight is the weight of the latest response in the average duration.
	durationWeight = 0.2
)

// concurrencyLimit is the limit of one target. value is 0 as long as there has been no timeout.
type concurrencyLimit struct {
	value       float64
	decreasedAt time.Time
	lastBeganAt time.Time
	// duration is the average duration of requests that were answered.
	duration time.Duration
}

// maxInflight returns the maximum number of concurrent requests from this instance while the
// target answers in time. There is one because the instance does not know all the requests that
// others send to the target.
func (t *target) maxInflight() float64 {
	return float64(max(minInflightLimit, t.Slots))
}

// concurrency returns the current limit.
func (t *target) concurrency() float64 {
	if t.throttle.value == 0 {
		return t.maxInflight()
	}
	return t.throttle.value
}

// allowsAnother reports whether the limit allows one more request in flight.
func (t *target) allowsAnother(now time.Time) bool {
	l := t.concurrency()
	if l >= 1 {
		return float64(t.inflight+1) <= l
	}
	return t.inflight == 0 && now.Sub(t.throttle.lastBeganAt) >= fractionOf(t.throttle.duration, 1/l)
}

// adjustConcurrency adjusts the limit to the outcome of a request. Requests that were sent before
// the latest decrease, or before the process was paused, or that had much less time than others take,
// do not decrease it.
func (p *Placer) adjustConcurrency(now time.Time, t *target, r Report) {
	l := &t.throttle
	switch {
	case r.TimedOut:
		if r.ChosenAt.Before(l.decreasedAt) || r.ChosenAt.Before(p.resumedAt) || r.Took < fractionOf(l.duration, minTimeFraction) {
			return
		}
		l.value, l.decreasedAt = max(minConcurrency, t.concurrency()*limitDecrease), now
	case r.Ran:
		l.value = min(t.maxInflight(), t.concurrency()+limitIncrease/max(1, t.concurrency()))
		if l.duration == 0 {
			l.duration = r.Took
		}
		l.duration += fractionOf(r.Took-l.duration, durationWeight)
	}
}

// fits reports whether a target has capacity for a request: its utilization is below a maximum,
// and its limit allows another one.
func (t *target) fits(now time.Time, maxUtilization float64) bool {
	return t.allowsAnother(now) && t.utilization(now) < maxUtilization
}
