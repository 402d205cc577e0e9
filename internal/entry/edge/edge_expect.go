package edge

import (
	"time"

	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// setExpectations sets what the choice by completion time needs to know of a request. The
// time since it was received counts towards its objective.
func (j *job) setExpectations(now time.Time, q *placement.Query) {
	q.Route = j.route.Name
	q.Remaining = j.deadline.Sub(now)
	if objective := time.Duration(j.route.LatencyObjective); objective > 0 {
		q.Objective = max(1, objective-now.Sub(j.receivedAt))
	}
	if j.request != nil {
		q.Body = len(j.request.Body)
	}
}
