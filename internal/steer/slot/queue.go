package slot

import (
	"time"
)

// patienceLimit is how long a patient request waits behind the others before
// it counts as one of them.
const patienceLimit = 2 * time.Second

// queueMost is how many requests of one customer wait for a service.
const queueMost = 1024

// queue is fair between customers: the next request is that of the customer
// whose virtual finish time is the smallest. A customer's finish time moves by
// 1/weight with each of its requests that runs.
type queue struct {
	customers map[string]*line
	clock     float64
	count     int
}

type line struct {
	finish  float64
	eager   []waiting
	patient []waiting
}

type waiting struct {
	request Request
	since   time.Time
}

func (q *queue) length() int {
	return q.count
}

func (q *queue) line(customer string) *line {
	if q.customers == nil {
		q.customers = make(map[string]*line)
	}
	l, ok := q.customers[customer]
	if !ok {
		l = &line{}
		q.customers[customer] = l
	}
	return l
}

func (q *queue) push(now time.Time, r Request) bool {
	l := q.line(r.Customer)
	if len(l.eager)+len(l.patient) >= queueMost {
		return false
	}
	if len(l.eager)+len(l.patient) == 0 {
		l.finish = max(l.finish, q.clock)
	}
	if r.Patient {
		l.patient = append(l.patient, waiting{request: r, since: now})
	} else {
		l.eager = append(l.eager, waiting{request: r, since: now})
	}
	q.count++
	return true
}

// peek returns the request that is next, after it has dropped those whose
// deadline has passed.
func (q *queue) peek(now time.Time) (Request, bool) {
	l, patient := q.next(now)
	if l == nil {
		return Request{}, false
	}
	if patient {
		return l.patient[0].request, true
	}
	return l.eager[0].request, true
}

// pop removes the request that peek has returned.
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
		r = l.eager[0].request
		l.eager = l.eager[1:]
	}
	q.count--
	q.clock = max(q.clock, l.finish)
	l.finish += 1 / max(r.Weight, minWeight)
}

const minWeight = 0.01

// next finds the customer whose turn it is: first among eager requests and
// patient ones that have waited long enough, then among the patient ones.
func (q *queue) next(now time.Time) (best *line, patient bool) {
	for _, want := range []bool{false, true} {
		name := ""
		for n, l := range q.customers {
			q.expire(now, l)
			ready, isPatient := l.ready(now, want)
			if !ready {
				continue
			}
			if best == nil || l.finish < best.finish || (l.finish == best.finish && n < name) {
				best, patient, name = l, isPatient, n
			}
		}
		if best != nil {
			return best, patient
		}
	}
	return nil, false
}

func (l *line) ready(now time.Time, any bool) (ready, patient bool) {
	if len(l.patient) > 0 && (any || now.Sub(l.patient[0].since) >= patienceLimit) {
		if len(l.eager) == 0 || l.patient[0].since.Before(l.eager[0].since) {
			return true, true
		}
	}
	return len(l.eager) > 0, false
}

// expire drops requests whose deadline has passed. Their callers have given
// up by their own timers.
func (q *queue) expire(now time.Time, l *line) {
	before := len(l.eager) + len(l.patient)
	l.eager = unexpired(now, l.eager)
	l.patient = unexpired(now, l.patient)
	q.count -= before - len(l.eager) - len(l.patient)
}

func unexpired(now time.Time, list []waiting) []waiting {
	for len(list) > 0 && !now.Before(list[0].request.Deadline) {
		list = list[1:]
	}
	return list
}

// remove takes a waiting request out and reports whether it was still there.
func (q *queue) remove(customer string, t Ticket) bool {
	l := q.line(customer)
	for _, list := range []*[]waiting{&l.eager, &l.patient} {
		for i, w := range *list {
			if w.request.Ticket == t {
				*list = append(append([]waiting(nil), (*list)[:i]...), (*list)[i+1:]...)
				q.count--
				return true
			}
		}
	}
	return false
}

// Enqueue lets a request wait for a slot. It returns false where too many of
// its customer wait already.
func (p *Pool) Enqueue(now time.Time, r Request) bool {
	return p.service(r.Service).queue.push(now, r)
}

// Cancel takes a waiting request out. It returns false where the request has
// been granted a slot, which is then to be released.
func (p *Pool) Cancel(r Request) bool {
	return p.service(r.Service).queue.remove(r.Customer, r.Ticket)
}
