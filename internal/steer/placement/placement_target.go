package placement

import (
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
)

const (
	// loadFresh is how long a target's word on its load counts.
	loadFresh = 1500 * time.Millisecond
	// loadFade is how fast the load of other instances is taken to pass.
	loadFade = 400 * time.Millisecond
	// failureFade is how fast failures of a target are forgotten.
	failureFade = 2 * time.Second
	// failureMost is the part of failures above which a target is avoided.
	failureMost = 0.25
	// failureWeight is the part of the last outcome in a target's failures.
	failureWeight = 0.2
	// suspendFirst and suspendMost bound how long a target that could not be
	// reached is left alone.
	suspendFirst = 500 * time.Millisecond
	suspendMost  = 4 * time.Second
	// ownLeast is how many requests an instance may have at any target.
	ownLeast = 2
)

// target is what this instance knows of one target.
type target struct {
	lacewingramp.Listing
	region   string
	hash     uint64
	inflight int

	load    lacewingramp.Load
	loadAt  time.Time
	loadOwn int

	// pressure is how full the target has been lately.
	pressure   float64
	pressureAt time.Time
	// relieved is when an object was last moved away.
	relieved time.Time

	failures  float64
	failureAt time.Time
	suspended time.Time
	suspend   time.Duration
	coldUntil time.Time
	// known says that the listing was written after this instance's start.
	known bool
	// silent says that the target did not answer when it was asked.
	silent   bool
	tokens   float64
	tokensAt time.Time
	gone     bool
}

// ownMost is how many requests this instance has at a target at a time, as it
// does not know all that the others send there.
func (t *target) ownMost() int {
	return max(ownLeast, t.Slots)
}

// busy estimates how many requests a target has from all instances.
func (t *target) busy(now time.Time) float64 {
	own := float64(t.inflight)
	age := now.Sub(t.loadAt)
	if t.loadAt.IsZero() || age > loadFresh {
		return own
	}
	others := float64(max(0, t.load.Running+t.load.Waiting-t.loadOwn))
	return own + others*math.Exp(-age.Seconds()/loadFade.Seconds())
}

func (t *target) fill(now time.Time) float64 {
	return t.busy(now) / float64(max(1, t.Slots))
}

func (t *target) failing(now time.Time) bool {
	return t.failures*math.Exp(-now.Sub(t.failureAt).Seconds()/failureFade.Seconds()) > failureMost
}
