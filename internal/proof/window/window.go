// Package window counts events in sliding windows. Tests check rate limits with it,
// which bound the number of requests in any window of a given length.
//
// # Usage
//
//	if window.MaxCount(starts, 5*time.Second) > allowed {
//		// The limit was exceeded.
//	}
package window

import "time"

// MaxCount returns the maximum number of times in any window of the given length. The
// times must be sorted. A window does not include its end.
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
