package placement

import "time"

const (
	// Callers that found all targets full return in the fraction roomFraction of the time until
	// room is expected: who returns later is refused again less often, but answered later.
	// The delays are spread by the fraction returnSpread up and down, so that callers do not return
	// all at once.
	minReturnAfter = 20 * time.Millisecond
	maxReturnAfter = 500 * time.Millisecond
	roomFraction   = 0.1
	returnSpread   = 0.5
	// If it is not known when room is expected, they return after minUnknownReturn plus a random
	// part of unknownReturnJitter.
	minUnknownReturn    = 150 * time.Millisecond
	unknownReturnJitter = 350 * time.Millisecond
)

// ReturnAfter returns the delay after which a caller that found all targets full may retry.
// roomIn is that of the Choice, and random is from 0 to 1.
func ReturnAfter(roomIn time.Duration, random float64) time.Duration {
	if roomIn <= 0 {
		return minUnknownReturn + fractionOf(unknownReturnJitter, random)
	}
	return min(max(fractionOf(roomIn, roomFraction*(1+returnSpread*(2*random-1))), minReturnAfter), maxReturnAfter)
}

// roomIn returns the expected time until one of several full targets ends a request, 0 if not
// known. A target with n requests, each of which takes a time, ends n in that time.
func roomIn(now time.Time, full []ranked) time.Duration {
	rate := 0.0
	for _, t := range full {
		if t.throttle.duration > 0 {
			rate += max(t.estimatedRequests(now), float64(t.Slots), 1) / t.throttle.duration.Seconds()
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}
