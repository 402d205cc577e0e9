package dispatch

import "sync/atomic"

// Stats contains counters since the instance started: attempts to run a request
// on a target, retries among them, requests forwarded to other instances, requests
// queued for a slot, requests that waited for quota, and attempts during which the
// target crashed.
type Stats struct {
	Attempts       atomic.Int64
	Retries        atomic.Int64
	Hops           atomic.Int64
	Queued         atomic.Int64
	WaitedForQuota atomic.Int64
	Crashes        atomic.Int64
}

// Stats returns the counters.
func (d *Dispatcher) Stats() *Stats {
	return &d.stats
}
