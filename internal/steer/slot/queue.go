package slot

import (
	"time"
)

// maxDeferrableWait is the time after which a queued request of a deferrable route no
// longer waits for all normal requests, but takes its turn among those of its customer
// in the order of arrival.
const maxDeferrableWait = 2 * time.Second

// maxQueuedPerCustomer is the maximum number of queued requests of one customer for one
// service.
const maxQueuedPerCustomer = 1024

// queue is a weighted fair queue of the requests for one service. The next request is
// taken from the customer with the smallest virtual finish time, which increases by
// 1/weight with each request taken. A customer that had no queued requests starts at
// the current virtual time, so that it gains nothing from the time without requests.
type queue struct {
	customers   map[string]*customerQueue
	virtualTime float64
	count       int
}

type customerQueue struct {
	virtualFinish float64
	normal        []queuedRequest
	deferrable    []queuedRequest
}

type queuedRequest struct {
	request  Request
	queuedAt time.Time
}

func (q *queue) length() int {
	return q.count
}

func (q *queue) customerQueue(customer string) *customerQueue {
	if q.customers == nil {
		q.customers = make(map[string]*customerQueue)
	}
	c, ok := q.customers[customer]
	if !ok {
		c = &customerQueue{}
		q.customers[customer] = c
	}
	return c
}

func (q *queue) push(now time.Time, r Request) bool {
	c := q.customerQueue(r.Customer)
	if len(c.normal)+len(c.deferrable) >= maxQueuedPerCustomer {
		return false
	}
	if len(c.normal)+len(c.deferrable) == 0 {
		c.virtualFinish = max(c.virtualFinish, q.virtualTime)
	}
	if r.Deferrable {
		c.deferrable = append(c.deferrable, queuedRequest{request: r, queuedAt: now})
	} else {
		c.normal = append(c.normal, queuedRequest{request: r, queuedAt: now})
	}
	q.count++
	return true
}

// peek returns the next request without removing it. It first removes requests whose
// deadline has passed.
func (q *queue) peek(now time.Time) (Request, bool) {
	c, deferrable := q.next(now)
	if c == nil {
		return Request{}, false
	}
	if deferrable {
		return c.deferrable[0].request, true
	}
	return c.normal[0].request, true
}

// pop removes the request that peek returns.
func (q *queue) pop(now time.Time) {
	c, deferrable := q.next(now)
	if c == nil {
		return
	}
	var r Request
	if deferrable {
		r = c.deferrable[0].request
		c.deferrable = c.deferrable[1:]
	} else {
		r = c.normal[0].request
		c.normal = c.normal[1:]
	}
	q.count--
	q.virtualTime = max(q.virtualTime, c.virtualFinish)
	c.virtualFinish += 1 / max(r.Weight, minWeight)
}

const minWeight = 0.01

// next returns the queue of the customer to serve next, and whether to take its first
// deferrable request rather than its first normal one. Only normal requests and
// deferrable ones that have waited for maxDeferrableWait are considered, and the other
// deferrable requests if there are none.
func (q *queue) next(now time.Time) (best *customerQueue, deferrable bool) {
	for _, allDeferrable := range []bool{false, true} {
		bestName := ""
		for name, c := range q.customers {
			q.expire(now, c)
			ready, isDeferrable := c.ready(now, allDeferrable)
			if !ready {
				continue
			}
			if best == nil || c.virtualFinish < best.virtualFinish || (c.virtualFinish == best.virtualFinish && name < bestName) {
				best, deferrable, bestName = c, isDeferrable, name
			}
		}
		if best != nil {
			return best, deferrable
		}
	}
	return nil, false
}

func (c *customerQueue) ready(now time.Time, allDeferrable bool) (ready, deferrable bool) {
	if len(c.deferrable) > 0 && (allDeferrable || now.Sub(c.deferrable[0].queuedAt) >= maxDeferrableWait) {
		if len(c.normal) == 0 || c.deferrable[0].queuedAt.Before(c.normal[0].queuedAt) {
			return true, true
		}
	}
	return len(c.normal) > 0, false
}

// expire removes the requests at the head of a customer's queue whose deadline has
// passed. They need no notification, because the code that waits for each of them has
// a timer of its own.
func (q *queue) expire(now time.Time, c *customerQueue) {
	before := len(c.normal) + len(c.deferrable)
	c.normal = unexpired(now, c.normal)
	c.deferrable = unexpired(now, c.deferrable)
	q.count -= before - len(c.normal) - len(c.deferrable)
}

func unexpired(now time.Time, list []queuedRequest) []queuedRequest {
	for len(list) > 0 && !now.Before(list[0].request.Deadline) {
		list = list[1:]
	}
	return list
}

// remove deletes a queued request and reports whether it was still queued.
func (q *queue) remove(customer string, t Ticket) bool {
	c := q.customerQueue(customer)
	for _, list := range []*[]queuedRequest{&c.normal, &c.deferrable} {
		for i, r := range *list {
			if r.request.Ticket == t {
				*list = append(append([]queuedRequest(nil), (*list)[:i]...), (*list)[i+1:]...)
				q.count--
				return true
			}
		}
	}
	return false
}

// Enqueue queues a request for a slot. It returns false if the customer already has the
// maximum number of requests queued for the service.
func (p *Pool) Enqueue(now time.Time, r Request) bool {
	return p.service(r.Service).queue.push(now, r)
}

// Cancel removes a request from its queue. It returns false if the request is no longer
// queued. If it was granted a slot, the caller must release that slot.
func (p *Pool) Cancel(r Request) bool {
	return p.service(r.Service).queue.remove(r.Customer, r.Ticket)
}
