package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// rateTimeConstant is the time constant of the average rate of events.
	rateTimeConstant = time.Second
	// minRate is the rate, per second, at which requests are taken to end if none has ended
	// recently: one per heartbeat period, which may show free targets.
	minRate = 4.0
	// maxReturnFraction is the maximum part of the time that a caller has left after which
	// it should return, as callers wait no longer.
	maxReturnFraction = 1.0 / 3
	// durationWeight is the weight of the latest request in the average duration.
	durationWeight = 0.1
	// minRetryAfter is the minimum time after which a caller should return.
	minRetryAfter = 20 * time.Millisecond
	// retrySpread is the part by which each time varies, so that callers of several
	// instances do not return together.
	retrySpread = 0.1
)

// rate is the average number of events per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) perSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/rateTimeConstant.Seconds())
}

func (r *rate) add(now time.Time) {
	r.value = r.perSecond(now) + 1/rateTimeConstant.Seconds()
	r.at = now
}

// gap returns the expected time between two ends of requests. While more requests run than
// usual, more will end than have ended lately.
func (q *Queue) gap(now time.Time) time.Duration {
	perSecond := max(minRate, q.ends.perSecond(now))
	if q.duration > 0 {
		perSecond = max(perSecond, float64(q.running)/q.duration.Seconds())
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// RetryAfter returns when the caller of a refused request should return: after the expected
// wait, and after the callers of its class and of more urgent ones that were refused
// before.
func (q *Queue) RetryAfter(now time.Time, r Request) time.Duration {
	r.Class = clampClass(r.Class)
	class := r.Class
	limit := max(0, fraction(r.CallerUntil.Sub(now), maxReturnFraction))
	due := now.Add(q.expectedWait(now, q.ahead(&r), r.RoomIn))
	for c := range class + 1 {
		if next := q.returns[c].Add(q.gap(now)); next.After(due) {
			due = next
		}
	}
	if latest := now.Add(limit); due.After(latest) {
		due = latest
	}
	if due.After(q.returns[class]) {
		q.returns[class] = due
	}
	after := fraction(due.Sub(now), 1-retrySpread+2*retrySpread*q.random())
	return min(limit, max(minRetryAfter, after))
}

func (q *Queue) random() float64 {
	if q.Random == nil {
		return rand.Float64()
	}
	return q.Random.Float64()
}
