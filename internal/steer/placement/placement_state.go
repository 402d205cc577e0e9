package placement

import "time"

const (
	// maxWorkReportAge is how long the work time that a target reported is used. A phase in which
	// work takes longer lasts some 600 ms.
	maxWorkReportAge = 600 * time.Millisecond
	minWorkFactor    = 0.25
	maxWorkFactor    = 16
	// maxRequestsPerSlot is how many requests per slot a target gets.
	maxRequestsPerSlot = 2.0
	workFactorPercent  = 100
	// maxOver is by how many requests the estimate of a target may be above its limit.
	maxOver = 0.5
)

// targetState is what the choice by completion time needs to know of a target: the requests of all
// instances there, how many it takes well, and the time of work relative to the usual.
type targetState struct {
	requests float64
	limit    float64
	factor   float64
	variance float64
}

// stateOf returns the state of a target. Everything that the choice by completion time knows of the load
// of targets comes from here.
func (p *Placer) stateOf(now time.Time, t *target) targetState {
	requests, variance := t.expectedRequests(now)
	return targetState{
		requests: requests,
		variance: variance,
		limit:    maxRequestsPerSlot * float64(max(1, t.Slots)),
		factor:   t.reportedWorkFactor(now),
	}
}

// expectedRequests returns the expected number of requests of all instances at a target and the
// variance of that: those of others return to their average after a report.
func (t *target) expectedRequests(now time.Time) (requests, variance float64) {
	own := float64(t.inflight)
	if t.loadAt.IsZero() {
		return own, 0
	}
	usual := max(0, t.averageUtilization*float64(max(1, t.Slots))-own)
	reported := float64(max(0, t.load.Running+t.load.Waiting-t.inflightAtLoad))
	left := float64(loadTimeConstant) / float64(loadTimeConstant+max(0, now.Sub(t.loadAt)))
	others := usual + (reported-usual)*left
	return own + others, others * (1 - left)
}

// reportedWorkFactor returns the time of work relative to the usual that the target reported lately, 1
// if it has not.
func (t *target) reportedWorkFactor(now time.Time) float64 {
	if t.load.WorkPercent <= 0 || now.Sub(t.loadAt) > maxWorkReportAge {
		return 1
	}
	return min(max(float64(t.load.WorkPercent)/workFactorPercent, minWorkFactor), maxWorkFactor)
}

// over returns by how many requests a target would be above its limit with another one, 0 if it would not. The estimate is
// a mean, so half a request does not count.
func (s targetState) over() float64 {
	over := s.requests + 1 - s.limit
	if over <= maxOver {
		return 0
	}
	return over
}
