// Package window counts events in sliding windows, as the bounds of limits are
// stated.
//
// # Usage
//
//	if window.Most(starts, 5*time.Second) > allowed {
//		// The limit was broken.
//	}
package window

import "time"

// Most is the largest number of moments, in order of time, in any window of
// length d.
func Most(moments []time.Time, d time.Duration) int {
	most, first := 0, 0
	for i, t := range moments {
		for t.Sub(moments[first]) >= d {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
