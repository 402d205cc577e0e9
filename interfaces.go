package lacewingramp

import "time"

// Borrower borrows quota for a subject that has queued requests.
type Borrower interface {
	// BorrowQuota starts to borrow in the background, unless that is already in
	// progress for the subject.
	BorrowQuota(s Subject)
}

// Chooser selects the version of a service that a request runs on.
type Chooser interface {
	// Choose returns the preferred version for a request, and the version to use
	// if the preferred one has no free slot.
	Choose(now time.Time, service string) (prefer, fallback string)
	// Observe records whether a request on a version failed, and its duration.
	Observe(route, service, version string, failed bool, took time.Duration)
}

// Deaths notifies peers that a target crashed while it ran a request.
type Deaths interface {
	// NotifyCrash notifies peers immediately, not at the next regular exchange.
	NotifyCrash()
}

// Counter counts completed requests.
type Counter interface {
	Count(customer, route string, verdict Verdict, cause Cause, took time.Duration)
}
