package carrier

import (
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/index"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// admit refuses a request that the region's caps leave no room for. It needs
// the lock, and changes nothing.
func (c *Carrier) admit(now time.Time, j *job) error {
	for _, s := range j.index.Caps(c.State.Region) {
		if err := c.admitCap(now, j, s); err != nil {
			return err
		}
	}
	return nil
}

// admitCap holds a request against one cap. A request that could still run
// when the cap begins counts already, so that the load is under the cap from
// its first moment.
func (c *Carrier) admitCap(now time.Time, j *job, s index.ScheduledCap) error {
	w, ok := s.Schedule.Touches(now, j.end)
	if !ok {
		return nil
	}
	if s.Cap.Inflight > 0 && c.within(w.Start) >= c.allowed(s.Cap) {
		return lacewingramp.NewRefusal(lacewingramp.CauseCap, s.Cap.Name)
	}
	if s.Cap.Rate > 0 && s.Schedule.Holds(now) {
		if d, ok := c.State.Quota.Refill(now, s.Subject); !ok || d > 0 {
			return lacewingramp.NewRefusal(lacewingramp.CauseCap, s.Cap.Name)
		}
	}
	return nil
}

// within counts the running requests that may still run at start.
func (c *Carrier) within(start time.Time) int {
	n := 0
	for _, r := range c.running {
		if r.end.After(start) {
			n++
		}
	}
	return n
}

// allowed is this instance's part of a cap on what runs at a time: that of
// the shards it holds, rounded down.
func (c *Carrier) allowed(p lacewingramp.Cap) int {
	if c.State.Quota.Suspended(c.Timer.Now()) {
		return 0
	}
	part := c.State.Quota.Part().Caps / quota.Shards * lacewingramp.LimitFraction(len(c.State.Quota.Held()))
	return int(part.Of(float64(p.Inflight)))
}

// start spends what a starting request takes of the region's caps. It needs
// the lock.
func (c *Carrier) start(now time.Time, j *job) error {
	if err := c.admit(now, j); err != nil {
		return err
	}
	for _, s := range j.index.Caps(c.State.Region) {
		if s.Cap.Rate <= 0 || !s.Schedule.Holds(now) {
			continue
		}
		if err := c.State.Quota.Take(now, s.Subject); err != nil {
			return lacewingramp.NewRefusal(lacewingramp.CauseCap, s.Cap.Name)
		}
	}
	return nil
}

// CapUse is what runs against one cap at this instance.
type CapUse struct {
	Name    string
	Holds   bool
	Allowed int
	Running int
	Worst   int
}

// Caps lists what runs against the region's caps. It needs the State's lock.
func (c *Carrier) Caps(now time.Time) []CapUse {
	x := c.State.Index()
	if x == nil {
		return nil
	}
	var all []CapUse
	for _, s := range x.Caps(c.State.Region) {
		all = append(all, CapUse{
			Name: s.Cap.Name, Holds: s.Schedule.Holds(now), Allowed: c.allowed(s.Cap),
			Running: len(c.running), Worst: c.worst[s.Cap.Name],
		})
	}
	return all
}

// noteWorst keeps the most that has run at a time while a cap held.
func (c *Carrier) noteWorst(now time.Time, x *index.Index) {
	for _, s := range x.Caps(c.State.Region) {
		if !s.Schedule.Holds(now) {
			continue
		}
		if c.worst == nil {
			c.worst = make(map[string]int)
		}
		c.worst[s.Cap.Name] = max(c.worst[s.Cap.Name], len(c.running))
	}
}
