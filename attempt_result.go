package lacewingramp

import "time"

// AttemptResult is the result of an attempt to run a request on a target that may have
// run it, as evidence on the version of the target.
type AttemptResult struct {
	Route   string
	Service string
	Version string
	Target  string
	// StartMillis is that of the target's registration.
	StartMillis int64
	// Region is the region of the target.
	Region string
	// Object is the object that the request is for, "" if it names none.
	Object string
	// Load is the estimated number of requests per slot of the target while it had the
	// request.
	Load float64
	// WarmingUp is set if the target was cold.
	WarmingUp bool
	// Failed is set if there was no whole response or a server error.
	Failed bool
	// Unfinished is set if the attempt was ended before there was a response, because the
	// time was over or the caller had left. A response would have taken longer than Took.
	Unfinished bool
	EndedAt    time.Time
	Took       time.Duration
}
