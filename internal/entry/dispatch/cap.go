package dispatch

import (
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/index"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// checkCaps returns a refusal if one of the region's caps does not allow the
// request to start. It takes no tokens. It needs the State's lock.
func (d *Dispatcher) checkCaps(now time.Time, req *request) error {
	for _, s := range req.index.Caps(d.State.Region) {
		if err := d.checkCap(now, req, s); err != nil {
			return err
		}
	}
	return nil
}

// checkCap checks a request against one cap. The inflight limit of a cap that comes
// into force before the request's deadline already applies, so that it is not
// exceeded when the cap comes into force.
func (d *Dispatcher) checkCap(now time.Time, req *request, s index.ScheduledCap) error {
	w, ok := s.Schedule.FirstOverlap(now, req.deadline)
	if !ok {
		return nil
	}
	if s.Cap.Inflight > 0 && d.runningAfter(w.Start) >= d.allowedInflight(s.Cap) {
		return lacewingramp.NewRefusal(lacewingramp.CauseCap, s.Cap.Name)
	}
	if s.Cap.Rate > 0 && s.Schedule.InForce(now) {
		if wait, ok := d.State.Quota.TimeToToken(now, s.Subject); !ok || wait > 0 {
			return lacewingramp.NewRefusal(lacewingramp.CauseCap, s.Cap.Name)
		}
	}
	return nil
}

// runningAfter returns the number of running requests whose deadline is after start.
func (d *Dispatcher) runningAfter(start time.Time) int {
	n := 0
	for _, r := range d.running {
		if r.deadline.After(start) {
			n++
		}
	}
	return n
}

// allowedInflight returns this instance's share of a cap on concurrent requests,
// rounded down: the domain's share of the caps, in proportion to the shards that the
// instance holds. It is 0 while the quota is suspended.
func (d *Dispatcher) allowedInflight(limit lacewingramp.Cap) int {
	if d.State.Quota.Suspended(d.Timer.Now()) {
		return 0
	}
	share := d.State.Quota.DomainShares().Caps / quota.Shards * lacewingramp.LimitFraction(len(d.State.Quota.HeldShards()))
	return int(share.Of(float64(limit.Inflight)))
}

// takeCapTokens checks the region's caps and takes a token of each rate cap that is
// in force. It needs the State's lock.
func (d *Dispatcher) takeCapTokens(now time.Time, req *request) error {
	if err := d.checkCaps(now, req); err != nil {
		return err
	}
	for _, s := range req.index.Caps(d.State.Region) {
		if s.Cap.Rate <= 0 || !s.Schedule.InForce(now) {
			continue
		}
		if err := d.State.Quota.Take(now, s.Subject); err != nil {
			return lacewingramp.NewRefusal(lacewingramp.CauseCap, s.Cap.Name)
		}
	}
	return nil
}

// CapUsage is the use of one cap at this instance. InForce is set while the cap is in
// force. Allowed is the instance's share of the cap on concurrent requests, Running
// the number of requests that run now, and PeakRunning the highest number that ran
// concurrently while the cap was in force.
type CapUsage struct {
	Name        string
	InForce     bool
	Allowed     int
	Running     int
	PeakRunning int
}

// Caps returns the use of each of the region's caps. It needs the State's lock.
func (d *Dispatcher) Caps(now time.Time) []CapUsage {
	tableIndex := d.State.Index()
	if tableIndex == nil {
		return nil
	}
	var all []CapUsage
	for _, s := range tableIndex.Caps(d.State.Region) {
		all = append(all, CapUsage{
			Name: s.Cap.Name, InForce: s.Schedule.InForce(now), Allowed: d.allowedInflight(s.Cap),
			Running: len(d.running), PeakRunning: d.peakRunning[s.Cap.Name],
		})
	}
	return all
}

// updatePeaks updates peakRunning for the caps that are in force.
func (d *Dispatcher) updatePeaks(now time.Time, tableIndex *index.Index) {
	for _, s := range tableIndex.Caps(d.State.Region) {
		if !s.Schedule.InForce(now) {
			continue
		}
		if d.peakRunning == nil {
			d.peakRunning = make(map[string]int)
		}
		d.peakRunning[s.Cap.Name] = max(d.peakRunning[s.Cap.Name], len(d.running))
	}
}
