package placement

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// An instance of a large deployment hears from a target only once in seconds. Instances therefore
// pass on what targets have reported to them, in heartbeats. Reports that an
// instance has from its peers are not passed on.

const (
	// ownReports is the number of latest own reports from which those of a heartbeat are taken.
	ownReports = 64
	// maxSharedAge is the age from which a report is not passed on.
	maxSharedAge = 2 * time.Second
	// A heartbeat carries sharedLoads reports divided by the number of instances, within
	// bounds. At 300 instances and 48 heartbeats a second, an instance's traffic is then
	// below 8 KB/s. In smaller fleets each instance gets more responses.
	sharedLoads    = 1500
	minSharedLoads = 4
	maxSharedLoads = 20
	// Heartbeats to other regions carry that of the fraction 1/otherRegionsPart.
	otherRegionsPart = 4
	// otherRegionDelay is the usual delay of a message between regions.
	otherRegionDelay = 30 * time.Millisecond
	// resumeTime is how long after a pause of the process messages may have been received
	// during it, so that their reports are older than they say.
	resumeTime = 250 * time.Millisecond
)

// sharing holds what is exchanged with other instances on the load of targets.
type sharing struct {
	// byHash holds the targets by the low 32 bits of their hashes, nil for hashes of several ones.
	byHash map[uint32]*target
	// own holds the latest reports of targets to this instance. count is their number up to now.
	own   [ownReports]ownReport
	count int
}

// ownReport is a report of a target to this instance.
type ownReport struct {
	target *target
	sentAt time.Time
	load   lacewingramp.TargetLoad
	number int
}

func (s *sharing) add(t *target) {
	if s.byHash == nil {
		s.byHash = make(map[uint32]*target)
	}
	key := uint32(t.hash)
	if _, ok := s.byHash[key]; ok {
		s.byHash[key] = nil
		return
	}
	s.byHash[key] = t
}

func (s *sharing) remove(t *target) {
	if s.byHash[uint32(t.hash)] == t {
		delete(s.byHash, uint32(t.hash))
	}
	for i := range s.own {
		if s.own[i].target == t {
			s.own[i] = ownReport{}
		}
	}
}

// record keeps a report for the next heartbeats.
func (s *sharing) record(t *target, sentAt time.Time, load lacewingramp.TargetLoad) {
	s.count++
	t.ownReport = s.count
	s.own[s.count%ownReports] = ownReport{target: t, sentAt: sentAt, load: load, number: s.count}
}

// recordCapacity records what the outcome of a request shows of a target's capacity.
func (p *Placer) recordCapacity(now time.Time, t *target, r Report) {
	if r.AddressTaken || r.Unreachable || r.ChosenAt.Before(p.resumedAt) {
		return
	}
	p.recordLoad(now, t, r.TargetLoad)
	if !p.LoadAware(t.Service) {
		return
	}
	switch {
	case r.Shed && r.RetryAfter == 0 && r.TargetLoad == nil:
		age := p.delayFrom(t)
		p.sharing.record(t, now.Add(-age), t.capacity.Full(now, age, t.Slots))
	case r.Shed && r.RetryAfter == 0 && r.TargetLoad.Running >= t.Slots:
		t.capacity.Overloaded(now)
	case r.TimedOut && r.Took >= fractionOf(t.throttle.duration, minTimeFraction):
		t.capacity.Overloaded(now)
	}
}

// recordLoad records a load that a target has reported to this instance, nil if none.
func (p *Placer) recordLoad(now time.Time, t *target, load *lacewingramp.TargetLoad) {
	if load == nil {
		return
	}
	p.recordWorkReport(t, load)
	l := *load
	if l.Slots == 0 {
		l.Slots = t.Slots
	}
	age := p.delayFrom(t)
	t.capacity.Report(now, age, l)
	p.sharing.record(t, now.Add(-age), l)
}

// delayFrom returns the usual delay of a message from a target.
func (p *Placer) delayFrom(t *target) time.Duration {
	if t.region == p.HomeRegion {
		return 0
	}
	return otherRegionDelay
}

// TargetLoads returns what the next heartbeats to instances of this region and of others carry: the
// newest report of each of the targets that have reported last to this instance.
func (p *Placer) TargetLoads(now time.Time) (region, others lacewingramp.TargetLoads) {
	number := min(max(sharedLoads/max(1, p.maxInstances), minSharedLoads), maxSharedLoads)
	s := &p.sharing
	for i := s.count; i > max(0, s.count-ownReports) && region.Len() < number; i-- {
		r := &s.own[i%ownReports]
		if r.target == nil || r.number != r.target.ownReport || now.Sub(r.sentAt) > maxSharedAge {
			continue
		}
		e := lacewingramp.SharedLoad{
			Hash: uint32(r.target.hash), Requests: r.load.Running + r.load.Waiting, WorkPercent: r.load.WorkPercent, Age: now.Sub(r.sentAt),
		}
		region = region.Append(e)
		if others.Len() < number/otherRegionsPart {
			others = others.Append(e)
		}
	}
	return region, others
}

// RecordTargetLoads records reports of targets that an instance of a failure domain has passed on.
func (p *Placer) RecordTargetLoads(now time.Time, loads lacewingramp.TargetLoads, domain string) {
	if !p.resumedAt.IsZero() && now.Sub(p.resumedAt) < resumeTime {
		return
	}
	delay := time.Duration(0)
	if p.Regions[domain] != p.HomeRegion {
		delay = otherRegionDelay
	}
	for i := range loads.Len() {
		e := loads.At(i)
		t := p.sharing.byHash[e.Hash]
		if t == nil {
			continue
		}
		running := min(e.Requests, max(1, t.Slots))
		load := lacewingramp.TargetLoad{Running: running, Waiting: e.Requests - running, Slots: t.Slots, WorkPercent: e.WorkPercent}
		p.recordWorkReport(t, &load)
		t.capacity.Report(now, e.Age+delay, load)
	}
}

// Estimate is what is estimated of a target. ReportAge is the age of the latest report, and
// Reported is false if there is none. Limit is not used in choices.
type Estimate struct {
	Reported   bool
	Requests   float64
	WorkFactor float64
	Limit      float64
	ReportAge  time.Duration
}

// Estimate returns what is estimated of a target, and false if it is not known.
func (p *Placer) Estimate(now time.Time, name string) (e Estimate, ok bool) {
	t, ok := p.targets[name]
	if !ok {
		return e, false
	}
	e = Estimate{Requests: t.capacity.Requests(now), WorkFactor: t.capacity.WorkFactor(now), Limit: t.capacity.Limit(now, t.Slots)}
	e.ReportAge, e.Reported = t.capacity.ReportAge(now)
	return e, true
}

// EstimateError returns by how many requests the estimate of a target's requests differs from a new
// report, on the average of the load-aware targets that have reported, 0 if there are none.
func (p *Placer) EstimateError(now time.Time) float64 {
	sum, count := 0.0, 0
	for _, t := range p.targets {
		if _, known := t.capacity.ReportAge(now); known {
			sum += t.capacity.MeanError()
			count++
		}
	}
	return sum / float64(max(1, count))
}
