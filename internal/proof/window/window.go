// Package window counts events in sliding windows. Tests use it to check rate limits,
// which bound the number of requests in every window of a given length.
//
// # Usage
//
//	if window.MaxCount(starts, 5*time.Second) > allowed {
//		// The limit was exceeded.
//	}
package window

import "time"

// MaxCount returns the largest number of times that a window of the given length
// contains. The times must be sorted. A window includes its start but not its end.
func MaxCount(times []time.Time, length time.Duration) int {
	maxCount, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= length {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}
