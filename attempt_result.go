package lacewingramp

import "time"

// AttemptResult is the result of an attempt to run a request on a target that may have
// run it, as evidence on the version of the target.
type AttemptResult struct {
	Route   string
	Service string
	Version string
	Target  string
	// Region is the region of the target.
	Region string
	// Object is the object that the request is for, "" if it names none.
	Object string
	// Busy is set if all slots of the target seemed to be in use when the request was
	// sent, WarmingUp if the target was cold. Either is slow in any version.
	Busy      bool
	WarmingUp bool
	// Failed is set if there was no whole response or a server error.
	Failed bool
	// Unfinished is set if the attempt was ended before there was a response, because the
	// time was over or the caller had left. A response would have taken longer than Took.
	Unfinished bool
	Took       time.Duration
}
