package placement

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/capacity"
)

const (
	// maxLoadAge is how long the load that a target reported is used.
	maxLoadAge = 1500 * time.Millisecond
	// loadTimeConstant is the time constant with which the load from other
	// instances is assumed to decay after a report.
	loadTimeConstant = 400 * time.Millisecond
	// failureTimeConstant is the time constant with which a target's failure ratio
	// decays.
	failureTimeConstant = 2 * time.Second
	// maxFailureRatio is the ratio of failures to requests above which a target is
	// avoided.
	maxFailureRatio = 0.25
	// outcomeWeight is the weight of the latest outcome in a failure ratio.
	outcomeWeight = 0.2
	// minSuspension and maxSuspension bound how long no request is sent to a target
	// that could not be reached.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 4 * time.Second
)

// target is this instance's view of one target. inflight is the number of this
// instance's requests at the target, and inflightAtLoad the number of those that
// load includes. addressTaken says that another target responds at the address.
type target struct {
	lacewingramp.TargetRegistration
	// chosen is the copy of the registered target that choices by completion time refer to. It is
	// replaced with each registration and never changed.
	chosen    *lacewingramp.Target
	region    string
	hash      uint64
	inflight  int
	suspicion suspicion
	throttle  concurrencyLimit
	capacity  capacity.Target
	// ownReport is the number of the latest report to this instance, see sharing.
	ownReport int

	load           lacewingramp.TargetLoad
	loadAt         time.Time
	inflightAtLoad int

	// averageUtilization is a moving average of the utilization that the target
	// reported.
	averageUtilization   float64
	averageUtilizationAt time.Time
	// movedAt is when an object was last moved to another target.
	movedAt time.Time

	failureRatio   float64
	failureRatioAt time.Time
	suspendedUntil time.Time
	suspension     time.Duration
	// coldUntil is until when the target is cold, as far as is known. assumedColdUntil is
	// until when it is treated as cold because it could not be reached at unreachableAt.
	coldUntil        time.Time
	assumedColdUntil time.Time
	unreachableAt    time.Time
	// confirmed says that the registration was written after this instance's start,
	// or that the target has responded to a probe.
	confirmed bool
	// probeFailed says that the target gave no usable response to a probe.
	probeFailed  bool
	addressTaken bool
	rateState
}

// cold reports whether a target is cold or treated as cold.
func (t *target) cold(now time.Time) bool {
	return now.Before(t.coldUntil) || now.Before(t.assumedColdUntil)
}

// begin counts a request as in flight.
func (t *target) begin(now time.Time) {
	t.inflight++
	t.throttle.lastBeganAt = now
	t.capacity.Sent(now)
}

// end ends a request that was in flight. A zero time stands for that of the latest change.
func (t *target) end(now time.Time) {
	if t.inflight > 0 {
		t.capacity.Ended(now)
	}
	t.inflight = max(0, t.inflight-1)
}

// estimatedRequests estimates the number of requests at a target from all
// instances, from the reports that any of them has had.
func (t *target) estimatedRequests(now time.Time) float64 {
	own := float64(t.inflight)
	if age, known := t.capacity.ReportAge(now); known && age <= maxLoadAge {
		return max(own, t.capacity.Requests(now))
	}
	age := now.Sub(t.loadAt)
	if t.loadAt.IsZero() || age > maxLoadAge {
		return own
	}
	others := float64(max(0, t.load.Running+t.load.Waiting-t.inflightAtLoad))
	return own + others*math.Exp(-age.Seconds()/loadTimeConstant.Seconds())
}

func (t *target) utilization(now time.Time) float64 {
	return t.estimatedRequests(now) / float64(max(1, t.Slots))
}

// excess returns by how many requests per slot a target would be over its slots with one more
// request, 0 if it has a free slot.
func (t *target) excess(now time.Time) float64 {
	slots := float64(max(1, t.Slots))
	return max(0, (t.estimatedRequests(now)+1)/slots-1)
}

func (t *target) failing(now time.Time) bool {
	return t.failureRatio*math.Exp(-now.Sub(t.failureRatioAt).Seconds()/failureTimeConstant.Seconds()) > maxFailureRatio
}
