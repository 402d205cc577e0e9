// Package capacity estimates how much each target takes well: how long work takes there, how
// many requests of the whole fleet it has, and how many of them it should have.
//
// A Target receives the load that the target reports, to this instance or to a peer, and what
// this instance sees of its own requests. Bad figures, reports out of order and clocks that
// step move no estimate out of its bounds.
//
// # Usage
//
//	var t capacity.Target
//	t.Report(now, 0, load)
//	t.Ran(now, work, usual)
//	wait := t.Requests(now) / float64(slots) * usual * t.WorkFactor(now)
//
// A Target is not safe for concurrent use.
package capacity

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
)

const (
	// maxReportAge is the age from which a report is ignored.
	maxReportAge = 3 * time.Second
	// maxFigure is the highest number of requests or slots that is believed.
	maxFigure = 4096
	// driftTime is the time constant with which the requests of other instances are assumed to
	// return to their average after a report.
	driftTime = 1500 * time.Millisecond
	// averageTime is the time constant of the slow averages, which span many phases.
	averageTime = 10 * time.Second
	// maxAverageStep is the longest time that one value counts for in a slow average.
	maxAverageStep = 2 * time.Second
	// errorWeight is the weight of the latest report in the mean error.
	errorWeight = 0.05
)

// Target holds what is known of one target. The zero value knows nothing.
type Target struct {
	own history
	// reportedAt is when the target sent the latest report. running and others are the requests
	// that it ran then and those of other instances that it had.
	reportedAt  time.Time
	running     int
	others      float64
	usualOthers average
	// spread is the average of the squared distances of others from their average.
	spread    average
	meanError float64
	work      workFactor
	limit     limit
}

// Report records a load that the target has reported an age ago.
func (t *Target) Report(now time.Time, age time.Duration, load lacewingramp.TargetLoad) {
	if !valid(load) || age > maxReportAge {
		return
	}
	at := now.Add(-max(0, age))
	steppedBack := t.reportedAt.After(now)
	if at.Before(t.reportedAt) && !steppedBack {
		return
	}
	predicted, known := t.Requests(now), !t.reportedAt.IsZero()
	total := float64(load.Running + load.Waiting)
	t.others = max(0, total-float64(t.own.at(at)))
	t.usualOthers.add(at, t.others)
	distance := t.others - t.usualOthers.value
	t.spread.add(at, distance*distance)
	t.reportedAt, t.running = at, load.Running
	if known {
		t.meanError += errorWeight * (math.Abs(t.Requests(now)-predicted) - t.meanError)
	}
	t.work.reported(at, load.WorkPercent)
	t.limit.reported(load)
	if load.WorkPercent > 0 && !t.work.hasRun(now) {
		t.limit.observe(at, load.Running, boundFactor(float64(load.WorkPercent)/percent))
	}
	if total < t.limit.value(t.limit.slots) {
		t.limit.good(now)
	}
}

func valid(load lacewingramp.TargetLoad) bool {
	for _, n := range [...]int{load.Running, load.Waiting, load.Slots} {
		if n < 0 || n > maxFigure {
			return false
		}
	}
	return load.WorkPercent >= 0
}

// Sent records that this instance has sent a request to the target.
func (t *Target) Sent(now time.Time) {
	t.own.add(now, 1)
}

// Ended records the end of a request that this instance has sent.
func (t *Target) Ended(now time.Time) {
	t.own.add(now, -1)
}

// Requests returns the estimated number of requests of all instances at the target, running and
// waiting.
func (t *Target) Requests(now time.Time) float64 {
	own := float64(t.own.inflight)
	if t.reportedAt.IsZero() {
		return own
	}
	usual := t.usualOthers.value
	return own + max(0, usual+(t.others-usual)*remaining(now.Sub(t.reportedAt), driftTime))
}

// Variance returns the variance of the estimated number of requests: it is 0 at a report and grows
// to that of the target's slow average as the report ages.
func (t *Target) Variance(now time.Time) float64 {
	left := remaining(now.Sub(t.reportedAt), driftTime)
	return t.spread.value * (1 - left*left)
}

// ReportAge returns how long ago the target sent the latest known report, and false if there is
// none.
func (t *Target) ReportAge(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(t.reportedAt)), !t.reportedAt.IsZero()
}

// MeanError returns by how many requests the estimate differs from a new report, on the average
// of the latest ones.
func (t *Target) MeanError() float64 {
	return t.meanError
}

// average is a moving average in which each value counts for the time since the one before.
type average struct {
	value float64
	at    time.Time
}

func (a *average) add(at time.Time, v float64) {
	if a.at.IsZero() {
		a.value, a.at = v, at
		return
	}
	step := min(max(0, at.Sub(a.at)), maxAverageStep)
	a.value += (v - a.value) * (1 - remaining(step, averageTime))
	a.at = at
}

// remaining returns the fraction of a deviation that remains after a time: e to the power
// of -x, within 0.012, by the first terms of the series of e to the power of x. A choice
// makes hundreds of estimates, and math.Exp takes most of their time.
func remaining(after, timeConstant time.Duration) float64 {
	if after <= 0 {
		return 1
	}
	x := float64(after) / float64(timeConstant)
	return 1 / (1 + x*(1+x*(1.0/2+x*(1.0/6+x/24))))
}
