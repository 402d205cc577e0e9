package dispatch

import (
	"context"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/call/poison"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// maxAttempts is the maximum number of attempts that one call of runAttempts makes.
const maxAttempts = 3

// running is a request that has a slot, as counted by the caps on concurrent
// requests.
type running struct {
	deadline time.Time
}

// runNow runs a request if this instance has a free slot.
func (d *Dispatcher) runNow(ctx context.Context, req *request) (*lacewingramp.Response, error) {
	return d.runAttempts(ctx, req, d.acquire)
}

// runQueued runs a request, and queues it first if this instance has no free slot.
func (d *Dispatcher) runQueued(ctx context.Context, req *request) (*lacewingramp.Response, error) {
	return d.runAttempts(ctx, req, func(ctx context.Context, req *request, slotReq slot.Request) (slot.Grant, error) {
		g, err := d.acquire(ctx, req, slotReq)
		if err == nil || lacewingramp.RefusalOf(err).Cause != lacewingramp.CauseSlots {
			return g, err
		}
		return d.enqueue(ctx, req, slotReq)
	})
}

type acquireFunc func(context.Context, *request, slot.Request) (slot.Grant, error)

// runAttempts sends a request to a target. After a failure it sends the request again,
// to another target if one has a free slot, as long as mayRetry allows it and up to
// maxAttempts attempts in total.
func (d *Dispatcher) runAttempts(ctx context.Context, req *request, acquire acquireFunc) (*lacewingramp.Response, error) {
	avoid := ""
	d.retryBudget(req).deposit()
	for try := 1; ; try++ {
		slotReq := d.slotRequest(req, avoid)
		g, err := acquire(ctx, req, slotReq)
		if err != nil {
			return nil, err
		}
		last := try >= maxAttempts
		result, err := d.attempt(ctx, req, g, last)
		if err == nil {
			return result.Response, nil
		}
		if last || !d.mayRetry(ctx, req, result, err, try) {
			return nil, err
		}
		d.stats.Retries.Add(1)
		avoid = g.Target.Name
	}
}

// mayRetry reports whether a request may be sent to another target after an attempt
// failed with err, and if so, takes a retry from the budget. If the request may have
// run, it allows a retry only if the route is idempotent and this was the first attempt.
// It never allows a retry if the target crashed or this instance ended the attempt
// itself.
func (d *Dispatcher) mayRetry(ctx context.Context, req *request, r attempt.Result, err error, try int) bool {
	if ctx.Err() != nil || r.Outcome == slot.OutcomeConnectionLost || r.Outcome == slot.OutcomeAborted {
		return false
	}
	if !isNotRun(err) && (!req.route.Idempotent || try > 1) {
		return false
	}
	return d.retryBudget(req).withdraw()
}

func (d *Dispatcher) slotRequest(req *request, avoid string) slot.Request {
	r := slot.Request{
		Ticket:     slot.Ticket(d.lastTicket.Add(1)),
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
func (d *Dispatcher) acquire(_ context.Context, req *request, slotReq slot.Request) (slot.Grant, error) {
	d.State.Lock()
	defer d.State.Unlock()
	now := d.Timer.Now()
	if d.State.Quota.Suspended(now) {
		return slot.Grant{}, lacewingramp.NewRefusal(lacewingramp.CauseSuspended, "slots not confirmed after a pause")
	}
	if err := d.checkCaps(now, req); err != nil {
		return slot.Grant{}, err
	}
	slotReq.Version, slotReq.Fallback = d.VersionChooser.Choose(now, req.route.Service, "")
	g, ok := d.State.Pool.Acquire(now, slotReq)
	if !ok {
		return slot.Grant{}, lacewingramp.NewRefusal(lacewingramp.CauseSlots, "no free slot")
	}
	return d.startRunning(now, req, g)
}

// startRunning counts a request with a granted slot against the region's caps. If
// they do not allow it, the slot is released. It needs the State's lock.
func (d *Dispatcher) startRunning(now time.Time, req *request, g slot.Grant) (slot.Grant, error) {
	if err := d.takeCapTokens(now, req); err != nil {
		d.deliverGrants(d.State.Pool.Release(now, g, slot.OutcomeAborted))
		return slot.Grant{}, err
	}
	if d.running == nil {
		d.running = make(map[slot.Ticket]running)
	}
	d.running[g.Ticket] = running{deadline: req.deadline}
	d.updatePeaks(now, req.index)
	return g, nil
}

// enqueue waits in the queue until a slot is granted or ctx is done.
func (d *Dispatcher) enqueue(ctx context.Context, req *request, slotReq slot.Request) (slot.Grant, error) {
	ready := make(chan slot.Grant, 1)
	d.State.Lock()
	if d.queued == nil {
		d.queued = make(map[slot.Ticket]chan slot.Grant)
	}
	_, slotReq.Version = d.VersionChooser.Choose(d.Timer.Now(), req.route.Service, "")
	ok := d.State.Pool.Enqueue(d.Timer.Now(), slotReq)
	if ok {
		d.queued[slotReq.Ticket] = ready
	}
	d.State.Unlock()
	if !ok {
		return slot.Grant{}, lacewingramp.NewRefusal(lacewingramp.CauseSlots, "too many requests of the customer wait")
	}
	d.stats.Queued.Add(1)
	select {
	case g := <-ready:
		d.State.Lock()
		defer d.State.Unlock()
		return d.startRunning(d.Timer.Now(), req, g)
	case <-ctx.Done():
		return slot.Grant{}, d.cancelQueued(slotReq, ready)
	}
}

// cancelQueued removes a request from the queue. If the request has been granted a
// slot in the meantime, it releases the slot.
func (d *Dispatcher) cancelQueued(slotReq slot.Request, ready chan slot.Grant) error {
	d.State.Lock()
	defer d.State.Unlock()
	if !d.State.Pool.Cancel(slotReq) {
		select {
		case g := <-ready:
			d.deliverGrants(d.State.Pool.Release(d.Timer.Now(), g, slot.OutcomeAborted))
		default:
		}
	}
	delete(d.queued, slotReq.Ticket)
	return lacewingramp.NewRefusal(lacewingramp.CauseDeadline, "no free slot in time")
}

// deliverGrants hands granted slots to the queued requests. The slot of a request
// that no longer waits is released. It needs the State's lock.
func (d *Dispatcher) deliverGrants(grants []slot.Grant) {
	for _, g := range grants {
		ready, ok := d.queued[g.Ticket]
		if !ok {
			d.deliverGrants(d.State.Pool.Release(d.Timer.Now(), g, slot.OutcomeAborted))
			continue
		}
		delete(d.queued, g.Ticket)
		ready <- g
	}
}

// DeliverGrants hands granted slots to the queued requests. It needs the State's lock.
func (d *Dispatcher) DeliverGrants(grants []slot.Grant) {
	d.deliverGrants(grants)
}

// attempt sends a request to the target of its slot and releases the slot.
func (d *Dispatcher) attempt(ctx context.Context, req *request, g slot.Grant, last bool) (attempt.Result, error) {
	if !d.guardAdmit(req) {
		d.release(g, slot.OutcomeAborted)
		return attempt.Result{Outcome: slot.OutcomeAborted}, lacewingramp.NewRefusal(lacewingramp.CausePoison, "targets died under this request")
	}
	ctx, cancel := d.attemptContext(ctx, req, last)
	defer cancel()
	d.stats.Attempts.Add(1)
	startedAt := d.Timer.Now()
	d.State.Lock()
	d.VersionChooser.RecordSent(startedAt, req.route.Service, g.Target.Version)
	d.State.Unlock()
	result, err := d.TargetClient.Do(ctx, g.Target, req.ForwardRequest, req.route.Idempotent)
	d.guardFinish(req, result.Outcome == slot.OutcomeConnectionLost)
	if result.Leaving {
		d.State.Lock()
		d.State.Pool.RecordLeaving(d.Timer.Now(), g.Target.Name)
		d.State.Unlock()
	}
	d.releaseAfter(ctx, g, result.Outcome, err)
	if result.Outcome != slot.OutcomeAborted {
		failed := result.Outcome == slot.OutcomeFailed || result.Outcome == slot.OutcomeConnectionLost
		endedAt := d.Timer.Now()
		d.State.Lock()
		d.VersionChooser.Observe(lacewingramp.AttemptResult{
			Route: req.route.Name, Service: req.route.Service, Version: g.Target.Version, Target: g.Target.Name,
			Failed: failed, EndedAt: endedAt, Took: endedAt.Sub(startedAt),
		})
		d.State.Unlock()
	}
	return result, err
}

// attemptContext returns the context of an attempt. An attempt of an idempotent
// request, unless it is the last, gets only half of the time that is left, so that
// there is time for a retry if the connection is broken but reports no error.
func (d *Dispatcher) attemptContext(ctx context.Context, req *request, last bool) (context.Context, context.CancelFunc) {
	if !req.route.Idempotent || last {
		return context.WithCancel(ctx)
	}
	remaining := req.deadline.Sub(d.Timer.Now())
	return context.WithTimeout(ctx, remaining/2)
}

func (d *Dispatcher) guardAdmit(req *request) bool {
	if req.fingerprint == 0 {
		req.fingerprint = poison.Fingerprint(req.ForwardRequest)
	}
	d.State.Lock()
	defer d.State.Unlock()
	return d.State.Guard.Admit(d.Timer.Now(), req.fingerprint)
}

func (d *Dispatcher) guardFinish(req *request, crashed bool) {
	d.State.Lock()
	d.State.Guard.Finish(d.Timer.Now(), req.fingerprint, crashed)
	d.State.Unlock()
	if crashed {
		d.stats.Crashes.Add(1)
		d.Crashes.NotifyCrash()
	}
}

// cancelDelay is how long the slot of a cancelled request stays occupied, because
// the target still runs the request until it notices the cancellation.
const cancelDelay = 250 * time.Millisecond

// releaseAfter releases a slot after an attempt: immediately, or cancelDelay later if
// the attempt was cancelled or timed out and the target may still run the request.
func (d *Dispatcher) releaseAfter(ctx context.Context, g slot.Grant, o slot.Outcome, err error) {
	if err == nil || ctx.Err() == nil || isNotRun(err) {
		d.release(g, o)
		return
	}
	d.Timer.After(cancelDelay, func(time.Time) { d.release(g, o) })
}

func (d *Dispatcher) release(g slot.Grant, o slot.Outcome) {
	d.State.Lock()
	defer d.State.Unlock()
	delete(d.running, g.Ticket)
	d.deliverGrants(d.State.Pool.Release(d.Timer.Now(), g, o))
}
