package carrier

import (
	"context"
	"errors"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Policy of waiting for quota.
const (
	// waitMost is how long a request waits for quota.
	waitMost = time.Second
	// waitPart is the part of the time left that it waits at most.
	waitPart = 2
	// waitersLeast is how many requests of one customer may wait. More may
	// where the customer's rate brings more within waitMost.
	waitersLeast = 64
	// waitPoll is how often the first in line looks again.
	waitPoll = 20 * time.Millisecond
)

// line is the requests of one subject that wait for quota, first come first.
// came is told when quota has been borrowed.
type line struct {
	waiters []chan struct{}
	came    chan struct{}
}

// spend takes a token of the customer's limit, and waits for one to be
// borrowed or to accrue where there is none.
func (c *Carrier) spend(ctx context.Context, j *job) error {
	subject := lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: j.customer.Name}
	err := c.take(subject)
	if err == nil || !isRate(err) {
		return err
	}
	l, turn, ok := c.join(subject, max(waitersLeast, int(j.customer.Rate*waitMost.Seconds())))
	if !ok {
		return err
	}
	c.stats.Waited.Add(1)
	c.Borrower.BorrowQuota(subject)
	defer c.part(subject, turn)
	most := min(waitMost, j.end.Sub(c.Timer.Now())/waitPart)
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return c.await(ctx, subject, l, turn)
}

func isRate(err error) bool {
	var r *lacewingramp.Refusal
	return errors.As(err, &r) && r.Cause == lacewingramp.CauseRate
}

// take spends a token at once, if there is one.
func (c *Carrier) take(s lacewingramp.Subject) error {
	c.State.Lock()
	defer c.State.Unlock()
	return c.State.Quota.Take(c.Timer.Now(), s)
}

func (c *Carrier) join(s lacewingramp.Subject, most int) (*line, chan struct{}, bool) {
	c.State.Lock()
	defer c.State.Unlock()
	if c.lines == nil {
		c.lines = make(map[lacewingramp.Subject]*line)
	}
	l, ok := c.lines[s]
	if !ok {
		l = &line{came: make(chan struct{}, 1)}
		c.lines[s] = l
	}
	if len(l.waiters) >= most {
		return nil, nil, false
	}
	turn := make(chan struct{}, 1)
	l.waiters = append(l.waiters, turn)
	if len(l.waiters) == 1 {
		turn <- struct{}{}
	}
	c.State.Quota.Wait(s, 1)
	return l, turn, true
}

// part leaves the line and tells the next one that it is the first.
func (c *Carrier) part(s lacewingramp.Subject, turn chan struct{}) {
	c.State.Lock()
	defer c.State.Unlock()
	c.State.Quota.Wait(s, -1)
	l := c.lines[s]
	for i, w := range l.waiters {
		if w != turn {
			continue
		}
		l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
		if i == 0 && len(l.waiters) > 0 {
			l.waiters[0] <- struct{}{}
		}
		return
	}
}

// await waits for the request's turn and then for a token.
func (c *Carrier) await(ctx context.Context, s lacewingramp.Subject, l *line, turn chan struct{}) error {
	select {
	case <-turn:
	case <-ctx.Done():
		return c.retry(s)
	}
	for {
		err := c.retry(s)
		if err == nil || !isRate(err) {
			return err
		}
		select {
		case <-l.came:
		case <-time.After(c.pause(s)):
		case <-ctx.Done():
			return err
		}
	}
}

func (c *Carrier) retry(s lacewingramp.Subject) error {
	c.State.Lock()
	defer c.State.Unlock()
	return c.State.Quota.Retry(c.Timer.Now(), s)
}

// pause is how long the first in line sleeps before it looks again.
func (c *Carrier) pause(s lacewingramp.Subject) time.Duration {
	c.State.Lock()
	defer c.State.Unlock()
	d, ok := c.State.Quota.Refill(c.Timer.Now(), s)
	if !ok || d > waitPoll {
		return waitPoll
	}
	return max(d, time.Millisecond)
}

// Came tells the first request in line that quota of a subject has come in.
// It needs the State's lock.
func (c *Carrier) Came(s lacewingramp.Subject) {
	l, ok := c.lines[s]
	if !ok {
		return
	}
	select {
	case l.came <- struct{}{}:
	default:
	}
}
