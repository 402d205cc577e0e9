package dispatch

import (
	"context"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/call/poison"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// maxAttempts is the maximum number of targets of a domain that a request is sent to.
const maxAttempts = 3

// running is a request that has a slot, as counted by the caps on concurrent
// requests.
type running struct {
	deadline time.Time
}

// runNow runs a request if this instance has a free slot.
func (c *Dispatcher) runNow(ctx context.Context, req *request) (*lacewingramp.Response, error) {
	return c.runAttempts(ctx, req, c.acquire)
}

// runQueued runs a request, and queues it first if this instance has no free slot.
func (c *Dispatcher) runQueued(ctx context.Context, req *request) (*lacewingramp.Response, error) {
	return c.runAttempts(ctx, req, func(ctx context.Context, req *request, slotReq slot.Request) (slot.Grant, error) {
		g, err := c.acquire(ctx, req, slotReq)
		if err == nil || lacewingramp.RefusalOf(err).Cause != lacewingramp.CauseSlots {
			return g, err
		}
		return c.enqueue(ctx, req, slotReq)
	})
}

type acquireFunc func(context.Context, *request, slot.Request) (slot.Grant, error)

// runAttempts sends a request to a target, and to another one as long as mayRetry
// allows it, up to maxAttempts targets.
func (c *Dispatcher) runAttempts(ctx context.Context, req *request, acquire acquireFunc) (*lacewingramp.Response, error) {
	avoid := ""
	c.retryBudget(req).deposit()
	for try := 1; ; try++ {
		slotReq := c.slotRequest(req, avoid)
		g, err := acquire(ctx, req, slotReq)
		if err != nil {
			return nil, err
		}
		last := try >= maxAttempts
		result, err := c.attempt(ctx, req, g, last)
		if err == nil {
			return result.Response, nil
		}
		if last || !c.mayRetry(ctx, req, result, err, try) {
			return nil, err
		}
		c.stats.Retries.Add(1)
		avoid = g.Target.Name
	}
}

// mayRetry reports whether a request may be sent to another target after an attempt
// failed with err, and if so, takes a retry from the budget. It never allows a retry
// if the target crashed or this instance ended the attempt itself.
func (c *Dispatcher) mayRetry(ctx context.Context, req *request, r attempt.Result, err error, try int) bool {
	if ctx.Err() != nil || r.Outcome == slot.OutcomeConnectionLost || r.Outcome == slot.OutcomeAborted {
		return false
	}
	if !isNotRun(err) && (!req.route.Idempotent || try > 1) {
		return false
	}
	return c.retryBudget(req).withdraw()
}

func (c *Dispatcher) slotRequest(req *request, avoid string) slot.Request {
	r := slot.Request{
		Ticket:     slot.Ticket(c.lastTicket.Add(1)),
		Service:    req.route.Service,
		Customer:   req.Customer,
		Weight:     1,
		Deferrable: req.route.Deferrable,
		Deadline:   req.deadline,
		Avoid:      avoid,
	}
	if req.customer != nil && req.customer.Weight > 0 {
		r.Weight = req.customer.Weight
	}
	return r
}

// acquire takes a free slot if the region's caps allow it.
func (c *Dispatcher) acquire(_ context.Context, req *request, slotReq slot.Request) (slot.Grant, error) {
	c.State.Lock()
	defer c.State.Unlock()
	now := c.Timer.Now()
	if c.State.Quota.Suspended(now) {
		return slot.Grant{}, lacewingramp.NewRefusal(lacewingramp.CauseSuspended, "slots not confirmed after a pause")
	}
	if err := c.checkCaps(now, req); err != nil {
		return slot.Grant{}, err
	}
	slotReq.Version, slotReq.Fallback = c.VersionChooser.Choose(now, req.route.Service)
	g, ok := c.State.Pool.Acquire(now, slotReq)
	if !ok {
		return slot.Grant{}, lacewingramp.NewRefusal(lacewingramp.CauseSlots, "no free slot")
	}
	return c.startRunning(now, req, g)
}

// startRunning counts a request with a granted slot against the region's caps. If
// they do not allow it, the slot is released. It needs the State's lock.
func (c *Dispatcher) startRunning(now time.Time, req *request, g slot.Grant) (slot.Grant, error) {
	if err := c.takeCapTokens(now, req); err != nil {
		c.deliverGrants(c.State.Pool.Release(now, g, slot.OutcomeAborted))
		return slot.Grant{}, err
	}
	if c.running == nil {
		c.running = make(map[slot.Ticket]running)
	}
	c.running[g.Ticket] = running{deadline: req.deadline}
	c.updatePeaks(now, req.index)
	return g, nil
}

// enqueue waits in the queue until a slot is granted or ctx is done.
func (c *Dispatcher) enqueue(ctx context.Context, req *request, slotReq slot.Request) (slot.Grant, error) {
	ready := make(chan slot.Grant, 1)
	c.State.Lock()
	if c.queued == nil {
		c.queued = make(map[slot.Ticket]chan slot.Grant)
	}
	_, slotReq.Version = c.VersionChooser.Choose(c.Timer.Now(), req.route.Service)
	ok := c.State.Pool.Enqueue(c.Timer.Now(), slotReq)
	if ok {
		c.queued[slotReq.Ticket] = ready
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
		return c.startRunning(c.Timer.Now(), req, g)
	case <-ctx.Done():
		return slot.Grant{}, c.cancelQueued(slotReq, ready)
	}
}

// cancelQueued removes a request from the queue. If the request has been granted a
// slot in the meantime, it releases the slot.
func (c *Dispatcher) cancelQueued(slotReq slot.Request, ready chan slot.Grant) error {
	c.State.Lock()
	defer c.State.Unlock()
	if !c.State.Pool.Cancel(slotReq) {
		select {
		case g := <-ready:
			c.deliverGrants(c.State.Pool.Release(c.Timer.Now(), g, slot.OutcomeAborted))
		default:
		}
	}
	delete(c.queued, slotReq.Ticket)
	return lacewingramp.NewRefusal(lacewingramp.CauseDeadline, "no free slot in time")
}

// deliverGrants hands granted slots to the queued requests. The slot of a request
// that no longer waits is released. It needs the State's lock.
func (c *Dispatcher) deliverGrants(grants []slot.Grant) {
	for _, g := range grants {
		ready, ok := c.queued[g.Ticket]
		if !ok {
			c.deliverGrants(c.State.Pool.Release(c.Timer.Now(), g, slot.OutcomeAborted))
			continue
		}
		delete(c.queued, g.Ticket)
		ready <- g
	}
}

// DeliverGrants hands granted slots to the queued requests. It needs the State's lock.
func (c *Dispatcher) DeliverGrants(grants []slot.Grant) {
	c.deliverGrants(grants)
}

// attempt sends a request to the target of its slot and releases the slot.
func (c *Dispatcher) attempt(ctx context.Context, req *request, g slot.Grant, last bool) (attempt.Result, error) {
	if !c.guardAdmit(req) {
		c.release(g, slot.OutcomeAborted)
		return attempt.Result{Outcome: slot.OutcomeAborted}, lacewingramp.NewRefusal(lacewingramp.CausePoison, "targets died under this request")
	}
	ctx, cancel := c.attemptContext(ctx, req, last)
	defer cancel()
	c.stats.Attempts.Add(1)
	startedAt := c.Timer.Now()
	result, err := c.TargetClient.Do(ctx, g.Target, req.ForwardRequest, req.route.Idempotent)
	c.guardFinish(req, result.Outcome == slot.OutcomeConnectionLost)
	if result.Leaving {
		c.State.Lock()
		c.State.Pool.Leave(c.Timer.Now(), g.Target.Name)
		c.State.Unlock()
	}
	c.releaseAfter(ctx, g, result.Outcome, err)
	if result.Outcome != slot.OutcomeAborted {
		failed := result.Outcome == slot.OutcomeFailed || result.Outcome == slot.OutcomeConnectionLost
		took := c.Timer.Now().Sub(startedAt)
		c.State.Lock()
		c.VersionChooser.Observe(req.route.Name, req.route.Service, g.Target.Version, failed, took)
		c.State.Unlock()
	}
	return result, err
}

// attemptContext returns the context of an attempt. An attempt of an idempotent
// request, unless it is the last, gets only half of the time that is left, so that
// there is time for a retry if the connection is dead without notice.
func (c *Dispatcher) attemptContext(ctx context.Context, req *request, last bool) (context.Context, context.CancelFunc) {
	if !req.route.Idempotent || last {
		return context.WithCancel(ctx)
	}
	remaining := req.deadline.Sub(c.Timer.Now())
	return context.WithTimeout(ctx, remaining/2)
}

func (c *Dispatcher) guardAdmit(req *request) bool {
	if req.fingerprint == 0 {
		req.fingerprint = poison.Fingerprint(req.ForwardRequest)
	}
	c.State.Lock()
	defer c.State.Unlock()
	return c.State.Guard.Admit(c.Timer.Now(), req.fingerprint)
}

func (c *Dispatcher) guardFinish(req *request, crashed bool) {
	c.State.Lock()
	c.State.Guard.Finish(c.Timer.Now(), req.fingerprint, crashed)
	c.State.Unlock()
	if crashed {
		c.stats.Crashes.Add(1)
		c.Crashes.NotifyCrash()
	}
}

// cancelDelay is how long the slot of a cancelled request stays occupied, because
// the target still runs the request until it notices the cancellation.
const cancelDelay = 250 * time.Millisecond

// releaseAfter releases a slot after an attempt: immediately, or cancelDelay later if
// the attempt was cancelled or timed out and the target may still run the request.
func (c *Dispatcher) releaseAfter(ctx context.Context, g slot.Grant, o slot.Outcome, err error) {
	if err == nil || ctx.Err() == nil || isNotRun(err) {
		c.release(g, o)
		return
	}
	c.Timer.After(cancelDelay, func(time.Time) { c.release(g, o) })
}

func (c *Dispatcher) release(g slot.Grant, o slot.Outcome) {
	c.State.Lock()
	defer c.State.Unlock()
	delete(c.running, g.Ticket)
	c.deliverGrants(c.State.Pool.Release(c.Timer.Now(), g, o))
}
