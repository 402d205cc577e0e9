package carrier

import (
	"context"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/roster"
)

// hastyMost is how many other instances are asked for a free slot.
const hastyMost = 3

// place finds a slot for a request: one of this instance, one of a sibling in
// the domain, one of a near domain with room, and at last a place in a queue.
func (c *Carrier) place(ctx context.Context, j *job) *lacewingramp.Answer {
	a, err := c.runNow(ctx, j)
	if err == nil || !notRun(err) {
		return result(j, a, err)
	}
	if j.FailFast || isFinal(err) {
		return refused(j.ID, err)
	}
	if j.Hops < lacewingramp.MaxHops {
		a, spillErr := c.spill(ctx, j)
		if spillErr == nil || !notRun(spillErr) {
			return result(j, a, spillErr)
		}
	}
	a, err = c.settle(ctx, j)
	return result(j, a, err)
}

func result(j *job, a *lacewingramp.Answer, err error) *lacewingramp.Answer {
	if err != nil {
		return refused(j.ID, err)
	}
	return a
}

// isFinal reports a refusal that another instance would only repeat.
func isFinal(err error) bool {
	switch lacewingramp.RefusalOf(err).Cause {
	case lacewingramp.CausePoison, lacewingramp.CauseDeadline, lacewingramp.CauseRoute:
		return true
	default:
		return false
	}
}

// spill asks other instances with room for a slot, without a place in their
// queues.
func (c *Carrier) spill(ctx context.Context, j *job) (*lacewingramp.Answer, error) {
	err := error(lacewingramp.NewRefusal(lacewingramp.CauseSlots, "no free slot"))
	for _, e := range c.options(j, true) {
		var a *lacewingramp.Answer
		a, err = c.forward(ctx, j, e, func(r *lacewingramp.Carry) { r.FailFast = true })
		if err == nil || !notRun(err) {
			return a, err
		}
	}
	return nil, err
}

// settle lets a request wait: in this instance's queue if it has slots of the
// service, else in that of the best other one.
func (c *Carrier) settle(ctx context.Context, j *job) (*lacewingramp.Answer, error) {
	c.State.Lock()
	room := c.State.Pool.RoomOf(c.Timer.Now(), j.route.Service)
	c.State.Unlock()
	if room.Slots > 0 {
		a, err := c.runQueued(ctx, j)
		if err == nil || !notRun(err) || isFinal(err) {
			return a, err
		}
	}
	err := error(lacewingramp.NewRefusal(lacewingramp.CauseSlots, "no target can be reached"))
	if j.Hops >= lacewingramp.MaxHops-1 {
		return nil, err
	}
	for _, e := range c.options(j, false) {
		var a *lacewingramp.Answer
		a, err = c.forward(ctx, j, e, func(*lacewingramp.Carry) {})
		if err == nil || !notRun(err) || isFinal(err) {
			return a, err
		}
	}
	return nil, err
}

type option struct {
	endpoint lacewingramp.Endpoint
	near     int
	room     lacewingramp.ServiceCapacity
}

// options lists the instances that may have a slot, the nearest domain first
// and within it the one with most room. With free set only those that report
// a free slot are named.
func (c *Carrier) options(j *job, free bool) []lacewingramp.Endpoint {
	c.State.Lock()
	now := c.Timer.Now()
	near := make(map[string]int)
	for i, d := range c.State.Guide.Near(c.State.Self.Domain) {
		near[d] = i
	}
	var all []option
	for _, m := range c.State.Roster.Members() {
		if o, ok := c.option(now, j, m, free); ok {
			o.near = near[o.endpoint.Domain]
			all = append(all, o)
		}
	}
	c.State.Unlock()
	sort.SliceStable(all, func(a, b int) bool {
		if all[a].near != all[b].near {
			return all[a].near < all[b].near
		}
		return all[a].room.Free-all[a].room.Waiting > all[b].room.Free-all[b].room.Waiting
	})
	var list []lacewingramp.Endpoint
	for _, o := range all[:min(len(all), hastyMost)] {
		list = append(list, o.endpoint)
	}
	return list
}

func (c *Carrier) option(now time.Time, j *job, m *roster.Member, free bool) (option, bool) {
	if !m.Live(now) || m.Digest.Leaving {
		return option{}, false
	}
	for _, r := range m.Digest.Rooms {
		if r.Service != j.route.Service || r.Slots == 0 {
			continue
		}
		if free && r.Free == 0 && m.Digest.Domain != c.State.Self.Domain {
			return option{}, false
		}
		return option{endpoint: m.Digest.Endpoint, room: r}, true
	}
	return option{}, false
}
