package placement

import "time"

// maxOver is by how many requests the estimate of a target may be above its limit, as it is a mean.
const maxOver = 0.5

// targetState is what the choice by completion time needs to know of a target: the requests
// of all instances there with the variance of their estimate, how many it gets at most, and
// the time of work relative to the usual.
type targetState struct {
	requests float64
	limit    float64
	factor   float64
	variance float64
}

// stateOf returns the state of a target with a rank for an object. Everything that the
// choice by completion time knows of the load of targets comes from here.
func (p *Placer) stateOf(now time.Time, t *target, rank int) targetState {
	return targetState{
		requests: t.capacity.Requests(now),
		variance: t.capacity.Variance(now),
		limit:    maxUtilizationByRank[min(rank, len(maxUtilizationByRank)-1)] * float64(max(1, t.Slots)),
		factor:   t.capacity.WorkFactor(now),
	}
}

// over returns by how many requests a target would be above its limit with another one, 0
// if it would not. The estimate is a mean, so half a request does not count.
func (s targetState) over() float64 {
	over := s.requests + 1 - s.limit
	if over <= maxOver {
		return 0
	}
	return over
}
