package lacewingramp

import "time"

// Timer is a clock with timers.
//
// The implementation in internal/timer/wall uses the machine's monotonic clock. The
// one in internal/timer/manual is advanced by tests and traces.
type Timer interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls f once per period until stop is called.
	Every(period time.Duration, f func(now time.Time)) (stop func())
	// After calls f once after d, unless stop is called first.
	After(d time.Duration, f func(now time.Time)) (stop func())
}
