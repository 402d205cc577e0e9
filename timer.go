package lacewingramp

import "time"

// Timer is the time service that parts subscribe to.
//
// The wall implementation follows the machine's monotonic clock, the manual
// one is advanced by a test or a trace.
type Timer interface {
	// Now returns the current time of the service.
	Now() time.Time
	// Every calls f once a period until stop is called.
	Every(period time.Duration, f func(now time.Time)) (stop func())
	// After calls f once when d has passed, unless stop is called before.
	After(d time.Duration, f func(now time.Time)) (stop func())
}
