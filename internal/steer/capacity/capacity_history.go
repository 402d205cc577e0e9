package capacity

import "time"

// historyLength is the number of latest changes that a history holds. Reports of peers are up
// to some 100 ms old, in which an instance of a large fleet sends a target at most a few requests.
const historyLength = 8

// history holds this instance's number of requests in flight at a target, now and at the latest
// changes.
type history struct {
	inflight int
	// start is the time of the first change, to which the times of the others relate.
	start   time.Time
	changes [historyLength]change
	// count is the number of changes up to now.
	count int
}

// change holds the number of requests in flight after a change.
type change struct {
	after    time.Duration
	inflight int
}

// add changes the number of requests in flight. A zero time stands for that of the latest change.
func (h *history) add(now time.Time, n int) {
	h.inflight = max(0, h.inflight+n)
	c := change{inflight: h.inflight}
	switch {
	case h.count == 0:
		h.start = now
	case now.IsZero():
		c.after = h.changes[(h.count-1)%historyLength].after
	default:
		c.after = now.Sub(h.start)
	}
	h.changes[h.count%historyLength] = c
	h.count++
}

// at returns the number of requests that were in flight at a time, or after the earliest change
// that is known, if that was later.
func (h *history) at(then time.Time) int {
	if h.count == 0 {
		return 0
	}
	after, first := then.Sub(h.start), max(0, h.count-historyLength)
	for i := h.count - 1; i >= first; i-- {
		if c := h.changes[i%historyLength]; c.after <= after {
			return c.inflight
		}
	}
	if first == 0 {
		return 0
	}
	return h.changes[first%historyLength].inflight
}
