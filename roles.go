package lacewingramp

import "time"

// Borrower fetches quota for a subject whose requests wait.
type Borrower interface {
	// Need starts to borrow, unless that is under way already.
	Need(s Subject)
}

// Chooser says which version of a service a request should run on.
type Chooser interface {
	// Choose returns the version that a request should run on, and the one it
	// may run on where that has no free slot.
	Choose(now time.Time, service string) (prefer, fallback string)
	// Observe tells what became of a request on a version.
	Observe(route, service, version string, failed bool, took time.Duration)
}

// Deaths spreads the news that a target died under a request.
type Deaths interface {
	// Died tells the other instances at once.
	Died()
}

// Counter is told of every request that has ended.
type Counter interface {
	Count(customer, route string, verdict Verdict, cause Cause, took time.Duration)
}
