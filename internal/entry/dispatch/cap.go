package dispatch

import (
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/index"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// checkCaps returns a refusal if one of the region's caps does not allow the
// request to start. It takes no tokens. It needs the State's lock.
func (c *Dispatcher) checkCaps(now time.Time, req *request) error {
	for _, s := range req.index.Caps(c.State.Region) {
		if err := c.checkCap(now, req, s); err != nil {
			return err
		}
	}
	return nil
}

// checkCap checks a request against one cap. The inflight limit of a cap that comes
// into force before the request's deadline already applies, so that it is not
// exceeded when the cap comes into force.
func (c *Dispatcher) checkCap(now time.Time, req *request, s index.ScheduledCap) error {
	w, ok := s.Schedule.FirstOverlap(now, req.deadline)
	if !ok {
		return nil
	}
	if s.Cap.Inflight > 0 && c.runningAfter(w.Start) >= c.allowedInflight(s.Cap) {
		return lacewingramp.NewRefusal(lacewingramp.CauseCap, s.Cap.Name)
	}
	if s.Cap.Rate > 0 && s.Schedule.InForce(now) {
		if d, ok := c.State.Quota.TimeToToken(now, s.Subject); !ok || d > 0 {
			return lacewingramp.NewRefusal(lacewingramp.CauseCap, s.Cap.Name)
		}
	}
	return nil
}

// runningAfter returns the number of running requests whose deadline is after start.
func (c *Dispatcher) runningAfter(start time.Time) int {
	n := 0
	for _, r := range c.running {
		if r.deadline.After(start) {
			n++
		}
	}
	return n
}

// allowedInflight returns this instance's share of a cap on concurrent requests,
// rounded down. It is the share of the shards that the instance holds, and 0 while
// the quota is suspended.
func (c *Dispatcher) allowedInflight(limit lacewingramp.Cap) int {
	if c.State.Quota.Suspended(c.Timer.Now()) {
		return 0
	}
	share := c.State.Quota.DomainShares().Caps / quota.Shards * lacewingramp.LimitFraction(len(c.State.Quota.HeldShards()))
	return int(share.Of(float64(limit.Inflight)))
}

// takeCapTokens checks the region's caps and takes a token of each rate cap that is
// in force. It needs the State's lock.
func (c *Dispatcher) takeCapTokens(now time.Time, req *request) error {
	if err := c.checkCaps(now, req); err != nil {
		return err
	}
	for _, s := range req.index.Caps(c.State.Region) {
		if s.Cap.Rate <= 0 || !s.Schedule.InForce(now) {
			continue
		}
		if err := c.State.Quota.Take(now, s.Subject); err != nil {
			return lacewingramp.NewRefusal(lacewingramp.CauseCap, s.Cap.Name)
		}
	}
	return nil
}

// CapUsage is the use of one cap at this instance. Holds is set while the cap is in
// force. Allowed is the instance's share of the cap on concurrent requests, Running
// the number of requests that run now, and Worst the highest number that ran
// concurrently while the cap was in force.
type CapUsage struct {
	Name        string
	InForce     bool
	Allowed     int
	Running     int
	PeakRunning int
}

// Caps returns the use of each of the region's caps. It needs the State's lock.
func (c *Dispatcher) Caps(now time.Time) []CapUsage {
	x := c.State.Index()
	if x == nil {
		return nil
	}
	var all []CapUsage
	for _, s := range x.Caps(c.State.Region) {
		all = append(all, CapUsage{
			Name: s.Cap.Name, InForce: s.Schedule.InForce(now), Allowed: c.allowedInflight(s.Cap),
			Running: len(c.running), PeakRunning: c.peakRunning[s.Cap.Name],
		})
	}
	return all
}

// updatePeaks updates peakRunning for the caps that are in force.
func (c *Dispatcher) updatePeaks(now time.Time, x *index.Index) {
	for _, s := range x.Caps(c.State.Region) {
		if !s.Schedule.InForce(now) {
			continue
		}
		if c.peakRunning == nil {
			c.peakRunning = make(map[string]int)
		}
		c.peakRunning[s.Cap.Name] = max(c.peakRunning[s.Cap.Name], len(c.running))
	}
}
