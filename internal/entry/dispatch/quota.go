package dispatch

import (
	"context"
	"errors"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Parameters of waiting for quota.
const (
	// maxTokenWait is the maximum time that a request waits for quota.
	maxTokenWait = time.Second
	// remainingDivisor limits the wait: a request waits at most the time left until its
	// deadline, divided by remainingDivisor.
	remainingDivisor = 2
	// minQueueLimit is how many requests of one customer may wait. More may wait if
	// the customer's rate yields more tokens within maxTokenWait.
	minQueueLimit = 64
	// maxPollInterval is the maximum time after which the request at the head of a
	// queue tries again.
	maxPollInterval = 20 * time.Millisecond
)

// tokenQueue is a FIFO queue of the requests that wait for quota of one subject.
// Each waiter receives a value on its channel in waiters when it reaches the head of
// the queue. The head receives a value on borrowed when quota has been borrowed.
type tokenQueue struct {
	waiters  []chan struct{}
	borrowed chan struct{}
}

// takeCustomerToken takes a token of the customer's limit. If there is none, it
// starts to borrow quota and waits until a token was borrowed or has accrued.
func (d *Dispatcher) takeCustomerToken(ctx context.Context, req *request) error {
	subject := lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: req.customer.Name}
	err := d.takeToken(subject)
	if err == nil || !isRateRefusal(err) {
		return err
	}
	q, turn, ok := d.joinQueue(subject, max(minQueueLimit, int(req.customer.Rate*maxTokenWait.Seconds())))
	if !ok {
		return err
	}
	d.stats.WaitedForQuota.Add(1)
	d.QuotaBorrower.BorrowQuota(subject)
	defer d.leaveQueue(subject, turn)
	timeout := min(maxTokenWait, req.deadline.Sub(d.Timer.Now())/remainingDivisor)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.awaitToken(ctx, subject, q, turn)
}

func isRateRefusal(err error) bool {
	var r *lacewingramp.Refusal
	return errors.As(err, &r) && r.Cause == lacewingramp.CauseRate
}

// takeToken takes a token without waiting and counts it as demand.
func (d *Dispatcher) takeToken(s lacewingramp.Subject) error {
	d.State.Lock()
	defer d.State.Unlock()
	return d.State.Quota.Take(d.Timer.Now(), s)
}

func (d *Dispatcher) joinQueue(s lacewingramp.Subject, limit int) (*tokenQueue, chan struct{}, bool) {
	d.State.Lock()
	defer d.State.Unlock()
	if d.tokenQueues == nil {
		d.tokenQueues = make(map[lacewingramp.Subject]*tokenQueue)
	}
	q, ok := d.tokenQueues[s]
	if !ok {
		q = &tokenQueue{borrowed: make(chan struct{}, 1)}
		d.tokenQueues[s] = q
	}
	if len(q.waiters) >= limit {
		return nil, nil, false
	}
	turn := make(chan struct{}, 1)
	q.waiters = append(q.waiters, turn)
	if len(q.waiters) == 1 {
		turn <- struct{}{}
	}
	d.State.Quota.AddWaiting(s, 1)
	return q, turn, true
}

// leaveQueue removes a request from the queue of a subject. If it was the head, it
// notifies the next one.
func (d *Dispatcher) leaveQueue(s lacewingramp.Subject, turn chan struct{}) {
	d.State.Lock()
	defer d.State.Unlock()
	d.State.Quota.AddWaiting(s, -1)
	q := d.tokenQueues[s]
	for i, w := range q.waiters {
		if w != turn {
			continue
		}
		q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
		if i == 0 && len(q.waiters) > 0 {
			q.waiters[0] <- struct{}{}
		}
		return
	}
}

// awaitToken waits until the request is at the head of the queue, and then until it
// gets a token. Its attempts do not count as demand again.
func (d *Dispatcher) awaitToken(ctx context.Context, s lacewingramp.Subject, q *tokenQueue, turn chan struct{}) error {
	select {
	case <-turn:
	case <-ctx.Done():
		return d.retryToken(s)
	}
	for {
		err := d.retryToken(s)
		if err == nil || !isRateRefusal(err) {
			return err
		}
		select {
		case <-q.borrowed:
		case <-time.After(d.pollInterval(s)):
		case <-ctx.Done():
			return err
		}
	}
}

func (d *Dispatcher) retryToken(s lacewingramp.Subject) error {
	d.State.Lock()
	defer d.State.Unlock()
	return d.State.Quota.TakeAgain(d.Timer.Now(), s)
}

// pollInterval returns the time until the head of the queue should try again: the
// time until a token accrues, between 1 ms and maxPollInterval.
func (d *Dispatcher) pollInterval(s lacewingramp.Subject) time.Duration {
	d.State.Lock()
	defer d.State.Unlock()
	wait, ok := d.State.Quota.TimeToToken(d.Timer.Now(), s)
	if !ok || wait > maxPollInterval {
		return maxPollInterval
	}
	return max(wait, time.Millisecond)
}

// NotifyBorrowed notifies the request at the head of a subject's queue that quota was
// borrowed. It needs the State's lock.
func (d *Dispatcher) NotifyBorrowed(s lacewingramp.Subject) {
	q, ok := d.tokenQueues[s]
	if !ok {
		return
	}
	select {
	case q.borrowed <- struct{}{}:
	default:
	}
}
