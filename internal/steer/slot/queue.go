package slot

import (
	"time"
)

// maxPatientWait is the time after which a queued request of a patient route is no
// longer served after the normal ones, but in turn with them.
const maxPatientWait = 2 * time.Second

// maxQueuedPerCustomer is the maximum number of queued requests of one customer for one
// service.
const maxQueuedPerCustomer = 1024

// queue is a weighted fair queue of the requests for one service. The next request is
// taken from the customer with the smallest virtual finish time, which increases by
// 1/weight with each request taken.
type queue struct {
	customers   map[string]*customerQueue
	virtualTime float64
	count       int
}

type customerQueue struct {
	virtualFinish float64
	normal        []queuedRequest
	patient       []queuedRequest
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
	l, ok := q.customers[customer]
	if !ok {
		l = &customerQueue{}
		q.customers[customer] = l
	}
	return l
}

func (q *queue) push(now time.Time, r Request) bool {
	l := q.customerQueue(r.Customer)
	if len(l.normal)+len(l.patient) >= maxQueuedPerCustomer {
		return false
	}
	if len(l.normal)+len(l.patient) == 0 {
		l.virtualFinish = max(l.virtualFinish, q.virtualTime)
	}
	if r.Patient {
		l.patient = append(l.patient, queuedRequest{request: r, queuedAt: now})
	} else {
		l.normal = append(l.normal, queuedRequest{request: r, queuedAt: now})
	}
	q.count++
	return true
}

// peek returns the next request without removing it. It first removes requests whose
// deadline has passed.
func (q *queue) peek(now time.Time) (Request, bool) {
	l, patient := q.next(now)
	if l == nil {
		return Request{}, false
	}
	if patient {
		return l.patient[0].request, true
	}
	return l.normal[0].request, true
}

// pop removes the request that peek returns.
func (q *queue) pop(now time.Time) {
	l, patient := q.next(now)
	if l == nil {
		return
	}
	var r Request
	if patient {
		r = l.patient[0].request
		l.patient = l.patient[1:]
	} else {
		r = l.normal[0].request
		l.normal = l.normal[1:]
	}
	q.count--
	q.virtualTime = max(q.virtualTime, l.virtualFinish)
	l.virtualFinish += 1 / max(r.Weight, minWeight)
}

const minWeight = 0.01

// next returns the queue of the customer to serve next, and whether to take its first
// patient request. Normal requests and patient ones that have waited for
// maxPatientWait come first. If there are none, all patient requests are considered.
func (q *queue) next(now time.Time) (best *customerQueue, patient bool) {
	for _, allPatient := range []bool{false, true} {
		bestName := ""
		for n, l := range q.customers {
			q.expire(now, l)
			ready, isPatient := l.ready(now, allPatient)
			if !ready {
				continue
			}
			if best == nil || l.virtualFinish < best.virtualFinish || (l.virtualFinish == best.virtualFinish && n < bestName) {
				best, patient, bestName = l, isPatient, n
			}
		}
		if best != nil {
			return best, patient
		}
	}
	return nil, false
}

func (l *customerQueue) ready(now time.Time, allPatient bool) (ready, patient bool) {
	if len(l.patient) > 0 && (allPatient || now.Sub(l.patient[0].queuedAt) >= maxPatientWait) {
		if len(l.normal) == 0 || l.patient[0].queuedAt.Before(l.normal[0].queuedAt) {
			return true, true
		}
	}
	return len(l.normal) > 0, false
}

// expire removes requests from the head of a customer's queue whose deadline has
// passed. Their callers need no notification: each has a timer of its own.
func (q *queue) expire(now time.Time, l *customerQueue) {
	before := len(l.normal) + len(l.patient)
	l.normal = unexpired(now, l.normal)
	l.patient = unexpired(now, l.patient)
	q.count -= before - len(l.normal) - len(l.patient)
}

func unexpired(now time.Time, list []queuedRequest) []queuedRequest {
	for len(list) > 0 && !now.Before(list[0].request.Deadline) {
		list = list[1:]
	}
	return list
}

// remove deletes a queued request and reports whether it was still queued.
func (q *queue) remove(customer string, t Ticket) bool {
	l := q.customerQueue(customer)
	for _, list := range []*[]queuedRequest{&l.normal, &l.patient} {
		for i, w := range *list {
			if w.request.Ticket == t {
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
