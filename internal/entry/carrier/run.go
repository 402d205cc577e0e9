package carrier

import (
	"context"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/call/poison"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// triesMost is how many targets of a domain a request is sent to.
const triesMost = 3

// running is a request on a target, for the caps on what runs at a time.
type running struct {
	end time.Time
}

// runNow runs a request on a free slot of this instance.
func (c *Carrier) runNow(ctx context.Context, j *job) (*lacewingramp.Answer, error) {
	return c.tries(ctx, j, c.acquire)
}

// runQueued runs a request on the first slot that its turn brings.
func (c *Carrier) runQueued(ctx context.Context, j *job) (*lacewingramp.Answer, error) {
	return c.tries(ctx, j, func(ctx context.Context, j *job, r slot.Request) (slot.Grant, error) {
		g, err := c.acquire(ctx, j, r)
		if err == nil || lacewingramp.RefusalOf(err).Cause != lacewingramp.CauseSlots {
			return g, err
		}
		return c.enqueue(ctx, j, r)
	})
}

type acquirer func(context.Context, *job, slot.Request) (slot.Grant, error)

// tries runs a request on one target, and on another while its verdict and
// the budget allow it.
func (c *Carrier) tries(ctx context.Context, j *job, acquire acquirer) (*lacewingramp.Answer, error) {
	avoid := ""
	c.budget(j).earn()
	for try := 1; ; try++ {
		r := c.request(j, avoid)
		g, err := acquire(ctx, j, r)
		if err != nil {
			return nil, err
		}
		last := try >= triesMost
		result, err := c.attempt(ctx, j, g, last)
		if err == nil {
			return result.Answer, nil
		}
		if last || !c.mayRetry(ctx, j, result, err, try) {
			return nil, err
		}
		c.stats.Retries.Add(1)
		avoid = g.Target.Name
	}
}

// mayRetry reports whether a request may be sent to another target.
func (c *Carrier) mayRetry(ctx context.Context, j *job, r attempt.Result, err error, try int) bool {
	if ctx.Err() != nil || r.Outcome == slot.OutcomeDied || r.Outcome == slot.OutcomeCut {
		return false
	}
	if !notRun(err) && (!j.route.Idempotent || try > 1) {
		return false
	}
	return c.budget(j).take()
}

func (c *Carrier) request(j *job, avoid string) slot.Request {
	r := slot.Request{
		Ticket:   slot.Ticket(c.tickets.Add(1)),
		Service:  j.route.Service,
		Customer: j.Customer,
		Weight:   1,
		Patient:  j.route.Patient,
		Deadline: j.end,
		Avoid:    avoid,
	}
	if j.customer != nil && j.customer.Weight > 0 {
		r.Weight = j.customer.Weight
	}
	return r
}

// acquire takes a free slot under the region's caps.
func (c *Carrier) acquire(_ context.Context, j *job, r slot.Request) (slot.Grant, error) {
	c.State.Lock()
	defer c.State.Unlock()
	now := c.Timer.Now()
	if c.State.Quota.Suspended(now) {
		return slot.Grant{}, lacewingramp.NewRefusal(lacewingramp.CauseSuspended, "slots not confirmed after a pause")
	}
	if err := c.admit(now, j); err != nil {
		return slot.Grant{}, err
	}
	r.Version, r.Fallback = c.Chooser.Choose(now, j.route.Service)
	g, ok := c.State.Pool.Acquire(now, r)
	if !ok {
		return slot.Grant{}, lacewingramp.NewRefusal(lacewingramp.CauseSlots, "no free slot")
	}
	return c.started(now, j, g)
}

// started counts a granted request against the region's caps.
func (c *Carrier) started(now time.Time, j *job, g slot.Grant) (slot.Grant, error) {
	if err := c.start(now, j); err != nil {
		c.wake(c.State.Pool.Release(now, g, slot.OutcomeCut))
		return slot.Grant{}, err
	}
	if c.running == nil {
		c.running = make(map[slot.Ticket]running)
	}
	c.running[g.Ticket] = running{end: j.end}
	c.noteWorst(now, j.index)
	return g, nil
}

// enqueue waits for a slot until the deadline.
func (c *Carrier) enqueue(ctx context.Context, j *job, r slot.Request) (slot.Grant, error) {
	ready := make(chan slot.Grant, 1)
	c.State.Lock()
	if c.waiting == nil {
		c.waiting = make(map[slot.Ticket]chan slot.Grant)
	}
	_, r.Version = c.Chooser.Choose(c.Timer.Now(), j.route.Service)
	ok := c.State.Pool.Enqueue(c.Timer.Now(), r)
	if ok {
		c.waiting[r.Ticket] = ready
	}
	c.State.Unlock()
	if !ok {
		return slot.Grant{}, lacewingramp.NewRefusal(lacewingramp.CauseSlots, "too many requests of the customer wait")
	}
	c.stats.Queued.Add(1)
	select {
	case g := <-ready:
		c.State.Lock()
		defer c.State.Unlock()
		return c.started(c.Timer.Now(), j, g)
	case <-ctx.Done():
		return slot.Grant{}, c.abandon(r, ready)
	}
}

// abandon takes a request out of the queue, or gives back the slot that it
// was granted in the meantime.
func (c *Carrier) abandon(r slot.Request, ready chan slot.Grant) error {
	c.State.Lock()
	defer c.State.Unlock()
	if !c.State.Pool.Cancel(r) {
		select {
		case g := <-ready:
			c.wake(c.State.Pool.Release(c.Timer.Now(), g, slot.OutcomeCut))
		default:
		}
	}
	delete(c.waiting, r.Ticket)
	return lacewingramp.NewRefusal(lacewingramp.CauseDeadline, "no free slot in time")
}

// wake tells waiting requests that they have a slot. It needs the lock.
func (c *Carrier) wake(grants []slot.Grant) {
	for _, g := range grants {
		ready, ok := c.waiting[g.Ticket]
		if !ok {
			c.wake(c.State.Pool.Release(c.Timer.Now(), g, slot.OutcomeCut))
			continue
		}
		delete(c.waiting, g.Ticket)
		ready <- g
	}
}

// Wake tells waiting requests that they have a slot. It needs the State's
// lock.
func (c *Carrier) Wake(grants []slot.Grant) {
	c.wake(grants)
}

// attempt sends a request to the target of its slot.
func (c *Carrier) attempt(ctx context.Context, j *job, g slot.Grant, last bool) (attempt.Result, error) {
	if !c.enter(j) {
		c.release(g, slot.OutcomeCut)
		return attempt.Result{Outcome: slot.OutcomeCut}, lacewingramp.NewRefusal(lacewingramp.CausePoison, "targets died under this request")
	}
	ctx, cancel := c.attemptTime(ctx, j, last)
	defer cancel()
	c.stats.Attempts.Add(1)
	begun := c.Timer.Now()
	result, err := c.Calls.Do(ctx, g.Target, j.Carry, j.route.Idempotent)
	c.leave(j, result.Outcome == slot.OutcomeDied)
	if result.Leaving {
		c.State.Lock()
		c.State.Pool.Leave(c.Timer.Now(), g.Target.Name)
		c.State.Unlock()
	}
	c.releaseAfter(ctx, g, result.Outcome, err)
	if result.Outcome != slot.OutcomeCut {
		failed := result.Outcome == slot.OutcomeFailed || result.Outcome == slot.OutcomeDied
		took := c.Timer.Now().Sub(begun)
		c.State.Lock()
		c.Chooser.Observe(j.route.Name, j.route.Service, g.Target.Version, failed, took)
		c.State.Unlock()
	}
	return result, err
}

// attemptTime gives an idempotent request only half of its time for a try, so
// that one on a connection gone silent leaves time for another.
func (c *Carrier) attemptTime(ctx context.Context, j *job, last bool) (context.Context, context.CancelFunc) {
	if !j.route.Idempotent || last {
		return context.WithCancel(ctx)
	}
	left := j.end.Sub(c.Timer.Now())
	return context.WithTimeout(ctx, left/2)
}

func (c *Carrier) enter(j *job) bool {
	if j.print == 0 {
		j.print = poison.Fingerprint(j.Carry)
	}
	c.State.Lock()
	defer c.State.Unlock()
	return c.State.Guard.Admit(c.Timer.Now(), j.print)
}

func (c *Carrier) leave(j *job, died bool) {
	c.State.Lock()
	c.State.Guard.Finish(c.Timer.Now(), j.print, died)
	c.State.Unlock()
	if died {
		c.stats.Deaths.Add(1)
		c.Deaths.NotifyCrash()
	}
}

// cancelTime is how long a slot stays taken after its request was cancelled: the
// target still runs it until it has noticed.
const cancelTime = 250 * time.Millisecond

// releaseAfter frees a slot, at once or, where the target may still run its
// request, when that has been cancelled for a while.
func (c *Carrier) releaseAfter(ctx context.Context, g slot.Grant, o slot.Outcome, err error) {
	if err == nil || ctx.Err() == nil || notRun(err) {
		c.release(g, o)
		return
	}
	c.Timer.After(cancelTime, func(time.Time) { c.release(g, o) })
}

func (c *Carrier) release(g slot.Grant, o slot.Outcome) {
	c.State.Lock()
	defer c.State.Unlock()
	delete(c.running, g.Ticket)
	c.wake(c.State.Pool.Release(c.Timer.Now(), g, o))
}
