package placement

import "time"

// targetState is what the choice by completion time needs to know of a target: the requests of all
// instances there with the variance of their estimate, how many it takes well, and the time of work
// relative to the usual.
type targetState struct {
	requests float64
	limit    float64
	factor   float64
	variance float64
}

// stateOf returns the state of a target. Everything that the choice by completion time knows of the load
// of targets comes from here.
func (p *Placer) stateOf(now time.Time, t *target) targetState {
	return targetState{
		requests: t.capacity.Requests(now),
		variance: t.capacity.Variance(now),
		limit:    t.capacity.Limit(now, t.Slots),
		factor:   t.capacity.WorkFactor(now),
	}
}
