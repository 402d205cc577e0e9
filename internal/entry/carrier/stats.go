package carrier

import "sync/atomic"

// Stats counts what the carrier has done since its start.
type Stats struct {
	Attempts atomic.Int64
	Retries  atomic.Int64
	Hops     atomic.Int64
	Queued   atomic.Int64
	Waited   atomic.Int64
	Deaths   atomic.Int64
}

// Stats returns the carrier's counters.
func (c *Carrier) Stats() *Stats {
	return &c.stats
}
