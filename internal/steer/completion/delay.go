package completion

import "time"

const (
	// homeDelay is the network delay both ways in the own region, and awayDelay that to another
	// one until it is learned.
	homeDelay = time.Millisecond
	awayDelay = 60 * time.Millisecond
	maxDelay  = 400 * time.Millisecond
	// The shortest of delayBatch responses is a sample of a delay.
	delayBatch = 8
	// delayWeight is the weight of the latest sample.
	delayWeight = 0.2
)

// Delays learns the network delay to each region, both ways: the shortest responses of a
// region take longer than those of the own one by the delay. The zero value knows none.
// Each route has one.
type Delays struct {
	regions map[string]*shortest
}

// shortest is the average of the shortest response of each batch.
type shortest struct {
	count   int
	batch   time.Duration
	average time.Duration
}

// Add adds how long a response of a target with a free slot took.
func (d *Delays) Add(region string, took time.Duration) {
	s, ok := d.regions[region]
	if !ok {
		if d.regions == nil {
			d.regions = make(map[string]*shortest)
		}
		s = &shortest{}
		d.regions[region] = s
	}
	if s.count%delayBatch == 0 || took < s.batch {
		s.batch = took
	}
	if s.count++; s.count%delayBatch != 0 {
		return
	}
	if s.average == 0 {
		s.average = s.batch
	}
	s.average += time.Duration(delayWeight * float64(s.batch-s.average))
}

// To returns the delay to a region.
func (d *Delays) To(home, region string) time.Duration {
	if region == home {
		return homeDelay
	}
	own, other := d.regions[home], d.regions[region]
	if own == nil || other == nil || own.average == 0 || other.average == 0 {
		return awayDelay
	}
	return min(max(other.average-own.average+homeDelay, homeDelay), maxDelay)
}
