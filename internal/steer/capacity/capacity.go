// Package capacity estimates how much each target takes well: how long work takes there, how
// many requests of the whole fleet it has, and how many of them it should have.
//
// # Usage
//
//	var t capacity.Target
//	t.Report(now, 0, load)
//	t.Ran(now, work, usual)
//	wait := t.Requests(now) / float64(slots) * usual * t.WorkFactor(now)
package capacity

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// Target holds what is known of one target. The zero value knows nothing.
type Target struct{}

// Report records a load that the target has reported an age ago.
func (t *Target) Report(now time.Time, age time.Duration, load lacewingramp.TargetLoad) {}

// Sent records that this instance has sent a request to the target, and Ended that it has ended.
func (t *Target) Sent(now time.Time) {}

// Ended records the end of a request that this instance has sent.
func (t *Target) Ended(now time.Time) {}

// Ran records how long the work of a request took, without the wait before it, and how long it
// usually takes at a target of the service.
func (t *Target) Ran(now time.Time, work, usual time.Duration) {}

// Overloaded records that the target has shed a request, or that one has timed out there.
func (t *Target) Overloaded(now time.Time) {}

// WorkFactor returns how long work takes, relative to what is usual.
func (t *Target) WorkFactor(now time.Time) float64 { return 1 }

// Requests returns the estimated number of requests of all instances at the target, running and
// waiting.
func (t *Target) Requests(now time.Time) float64 { return 0 }

// Limit returns how many concurrent requests of all instances the target takes well.
func (t *Target) Limit(now time.Time, slots int) float64 { return float64(slots) }
