package lacewingramp

import "time"

// Borrower borrows quota for a subject that has queued requests.
type Borrower interface {
	// BorrowQuota starts borrowing in the background, unless it is in progress already.
	BorrowQuota(s Subject)
}

// Chooser selects the version of a service that a request runs on.
type Chooser interface {
	// Choose returns the preferred version for a request, and the version to use
	// if the preferred one has no free slot.
	Choose(now time.Time, service string) (prefer, fallback string)
	// Observe records the outcome and the duration of a request on a version.
	Observe(route, service, version string, failed bool, took time.Duration)
}

// Deaths notifies peers that a target crashed while running a request.
type Deaths interface {
	// NotifyCrash sends the notification immediately.
	NotifyCrash()
}

// Counter counts completed requests.
type Counter interface {
	Count(customer, route string, verdict Verdict, cause Cause, took time.Duration)
}
