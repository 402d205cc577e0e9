package admission

import (
	"slices"
	"time"
)

// minWeight is the minimum weight of a customer.
const minWeight = 0.01

// maxIdleCustomers is the number of customers above which those without waiting requests are
// forgotten.
const maxIdleCustomers = 32

// level holds the waiting requests of one class, of callers that have returned or of new ones. The
// next request is that of the customer with the smallest virtual finish time, which increases by
// 1/weight with each request that gets room. A customer that had no waiting requests starts
// at the current virtual time, so that it gains nothing from the time without requests.
type level struct {
	customers   []*customerQueue
	virtualTime float64
	count       int
}

// customerQueue holds the waiting requests of one customer, the earliest deadline first.
type customerQueue struct {
	name          string
	virtualFinish float64
	waiters       []*Waiter
}

func (l *level) customer(name string) *customerQueue {
	for _, c := range l.customers {
		if c.name == name {
			return c
		}
	}
	c := &customerQueue{name: name, virtualFinish: l.virtualTime}
	l.customers = append(l.customers, c)
	return c
}

func (l *level) push(w *Waiter) {
	c := l.customer(w.Customer)
	if len(c.waiters) == 0 {
		c.virtualFinish = max(c.virtualFinish, l.virtualTime)
	}
	i, _ := slices.BinarySearchFunc(c.waiters, w, func(a, b *Waiter) int {
		if a.Deadline.After(b.Deadline) {
			return 1
		}
		return -1
	})
	c.waiters = slices.Insert(c.waiters, i, w)
	l.count++
}

// remove removes a request. A customer that has no other stays, with its virtual finish
// time, unless there are too many.
func (l *level) remove(w *Waiter) {
	for i, c := range l.customers {
		if c.name != w.Customer {
			continue
		}
		k := slices.Index(c.waiters, w)
		if k < 0 {
			return
		}
		c.waiters = slices.Delete(c.waiters, k, k+1)
		l.count--
		if len(c.waiters) == 0 && len(l.customers) > maxIdleCustomers {
			l.customers = slices.Delete(l.customers, i, i+1)
		}
		return
	}
}

// served records that a request got room.
func (l *level) served(w *Waiter) {
	c := l.customer(w.Customer)
	l.virtualTime = max(l.virtualTime, c.virtualFinish)
	c.virtualFinish += 1 / max(w.Weight, minWeight)
}

// next returns the next request that has not tried in a round, nil if there is none.
func (l *level) next(now time.Time, round uint64) *Waiter {
	if l.count == 0 {
		return nil
	}
	var best *Waiter
	finish := 0.0
	for _, c := range l.customers {
		if best != nil && c.virtualFinish >= finish {
			continue
		}
		if w := c.next(now, round); w != nil {
			best, finish = w, c.virtualFinish
		}
	}
	return best
}

func (c *customerQueue) next(now time.Time, round uint64) *Waiter {
	for _, w := range c.waiters {
		if !w.trying && w.round != round && now.Before(w.Until) {
			return w
		}
	}
	return nil
}

// waitingOf returns the number of waiting requests of a customer.
func (l *level) waitingOf(customer string) int {
	for _, c := range l.customers {
		if c.name == customer {
			return len(c.waiters)
		}
	}
	return 0
}

// ahead returns the number of waiting requests that go before another one of a customer:
// those of the customer, and as many and one more of each other one.
func (l *level) ahead(customer string) (n int) {
	if l.count == 0 {
		return 0
	}
	own := l.waitingOf(customer)
	n = own
	for _, c := range l.customers {
		if c.name != customer {
			n += min(len(c.waiters), own+1)
		}
	}
	return n
}

// last returns the request with the latest deadline of the customer that has the most, nil if
// that has not more than a minimum, or all its requests choose at the moment.
func (l *level) last(moreThan int) *Waiter {
	var most *customerQueue
	for _, c := range l.customers {
		if len(c.waiters) > moreThan && (most == nil || len(c.waiters) > len(most.waiters)) {
			most = c
		}
	}
	if most == nil {
		return nil
	}
	for i := len(most.waiters) - 1; i >= 0; i-- {
		if !most.waiters[i].trying {
			return most.waiters[i]
		}
	}
	return nil
}
