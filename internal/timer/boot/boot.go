// Package boot provides the wall-clock time of the program's start, continued by a clock
// that nobody sets and that also runs while the machine is suspended (CLOCK_BOOTTIME).
//
// # Usage
//
//	c := boot.New()
//	now := c.Now()
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a clock that continues from the wall-clock time at which it was created.
type Clock struct {
	wall    time.Time
	elapsed time.Duration
}

// New returns a Clock that starts at the current wall-clock time.
func New() *Clock {
	return &Clock{wall: time.Now().Round(0), elapsed: sinceBoot()}
}

// Now returns the time at the start plus the time that has passed since, without a reading of
// the monotonic clock.
func (c *Clock) Now() time.Time {
	return c.wall.Add(sinceBoot() - c.elapsed)
}

// sinceBoot reads CLOCK_BOOTTIME. Where it is missing, it reads the wall clock.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
