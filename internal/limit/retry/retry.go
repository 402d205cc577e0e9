// Package retry limits retries to a fraction of the requests, per service and
// over all instances together.
//
// Each instance may retry a fixed fraction of its own requests in the last
// window, and has its share of a small extra allowance. No messages are needed,
// and the total over all instances stays within the limit whatever the instances
// know of each other.
//
// # Usage
//
//	b := &retry.Budget{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
//	b.CountRequest(now, service)
//	if b.Take(now, service, instances) {
//		// Send the request to another target.
//	}
//
// A Budget is not safe for use by more than one goroutine.
package retry

import "time"

const (
	// intervals is the number of intervals in which a window is counted.
	intervals = 10
	// reservedRatio is the fraction of the budget that is left unused. It makes up
	// for the errors that arise as windows are counted in whole intervals and as the
	// number of instances changes.
	reservedRatio = 0.25
)

// Budget limits retries. Only its exported fields need to be set.
type Budget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of additional retries per window, over all instances.
	Extra float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration

	counters map[string]*counter
}

// counter counts the requests and retries of one service in the intervals of the
// window.
type counter struct {
	requests [intervals]float64
	retries  [intervals]float64
	interval int64
}

func (b *Budget) counter(now time.Time, service string) *counter {
	if b.counters == nil {
		b.counters = make(map[string]*counter)
	}
	c, ok := b.counters[service]
	if !ok {
		c = &counter{}
		b.counters[service] = c
	}
	c.advance(now.UnixNano() / max(1, int64(b.Window)/intervals))
	return c
}

// advance moves on to an interval and clears those that have left the window.
func (c *counter) advance(interval int64) {
	if interval-c.interval >= intervals {
		c.requests, c.retries = [intervals]float64{}, [intervals]float64{}
		c.interval = interval
	}
	for c.interval < interval {
		c.interval++
		c.requests[c.interval%intervals] = 0
		c.retries[c.interval%intervals] = 0
	}
}

// CountRequest counts a caller's request to a service.
func (b *Budget) CountRequest(now time.Time, service string) {
	c := b.counter(now, service)
	c.requests[c.interval%intervals]++
}

// Take reports whether a request may be retried, and if so counts the retry
// against the budget. The extra allowance is divided by the number of instances.
func (b *Budget) Take(now time.Time, service string, instances int) bool {
	c := b.counter(now, service)
	var requests, retries float64
	for i := range intervals {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	maxRetries := (b.Ratio*requests + b.Extra/float64(max(1, instances))) * (1 - reservedRatio)
	if retries+1 > maxRetries {
		return false
	}
	c.retries[c.interval%intervals]++
	return true
}
