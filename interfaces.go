package lacewingramp

import "time"

// QuotaBorrower borrows quota for a subject that has queued requests.
type QuotaBorrower interface {
	// BorrowQuota starts to borrow in the background, unless that is already in
	// progress for the subject.
	BorrowQuota(s Subject)
}

// VersionChooser selects the version of a service that a request runs on.
type VersionChooser interface {
	// Choose returns the preferred version for a request, and the version to use
	// if the preferred one has no free slot. object is "" if the request names none.
	Choose(now time.Time, service, object string) (prefer, fallback string)
	// RecordSent counts a request that is sent to a target of a version.
	RecordSent(now time.Time, service, version string)
	// Observe records the result of an attempt on a version.
	Observe(result AttemptResult)
}

// Crashes notifies peers that a target crashed while it ran a request.
type Crashes interface {
	// NotifyCrash notifies peers immediately, not at the next regular exchange.
	NotifyCrash()
}

// RequestCounter counts completed requests.
type RequestCounter interface {
	Count(customer, route string, verdict Verdict, cause Cause, took time.Duration)
}
