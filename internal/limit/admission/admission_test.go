package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/limit/admission"
)

var start = time.Unix(1_800_000_000, 0)

// source is a source of requests in a simulation.
type source struct {
	name     string
	class    int
	perSec   float64
	deadline time.Duration

	arrived, served, refused int
}

// simulation runs a Queue on a clock in steps of 1 ms. Room for one request appears at a rate.
type simulation struct {
	queue   admission.Queue
	random  *rand.Rand
	now     time.Time
	room    float64
	perSec  float64
	waiters map[*admission.Waiter]*source
	// maxWait is the longest that a request has waited until it got room.
	maxWait time.Duration
}

const simulationStep = time.Millisecond

func newSimulation(roomPerSecond float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), now: start, perSec: roomPerSecond, waiters: make(map[*admission.Waiter]*source)}
	s.queue.Random = s.random
	return s
}

// run lets the sources send requests for a time.
func (s *simulation) run(d time.Duration, sources ...*source) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simulationStep) {
		before := int(s.room)
		s.room = min(3, s.room+s.perSec*simulationStep.Seconds())
		if int(s.room) > before {
			s.queue.Ended(s.now, 100*time.Millisecond)
			s.queue.Wake(s.now)
			s.serveWoken()
		}
		for _, i := range s.random.Perm(len(sources)) {
			if s.random.Float64() < sources[i].perSec*simulationStep.Seconds() {
				s.arrive(sources[i])
			}
		}
		for w := range s.waiters {
			if !s.now.Before(w.Until) {
				s.queue.Leave(s.now, w, false)
				s.drop(w)
			}
		}
	}
}

func (s *simulation) drop(w *admission.Waiter) {
	s.waiters[w].refused++
	delete(s.waiters, w)
}

func (s *simulation) arrive(o *source) {
	o.arrived++
	if !s.queue.Defers(s.now, o.class, false) && s.room >= 1 {
		s.admit(o)
		return
	}
	deadline := s.now.Add(o.deadline)
	w, _ := s.queue.Offer(s.now, admission.Request{
		Class: o.class, Customer: o.name, Weight: 1, Deadline: deadline, Timeout: o.deadline, CallerUntil: deadline,
	})
	if w == nil {
		o.refused++
		return
	}
	s.waiters[w] = o
	s.queue.Wake(s.now)
	s.serveWoken()
}

func (s *simulation) admit(o *source) {
	s.room--
	o.served++
	s.queue.Admit(s.now, o.class, 1)
}

// fraction returns the fraction of the requests of a source that got room.
func (o *source) fraction() float64 {
	return float64(o.served) / float64(max(1, o.arrived))
}

// serveWoken lets the requests that were woken choose until none is.
func (s *simulation) serveWoken() {
	for again := true; again; {
		again = false
		for w, o := range s.waiters {
			select {
			case <-w.Ready:
			default:
				continue
			}
			again = true
			switch {
			case w.Displaced():
				s.drop(w)
			case s.room >= 1:
				s.admit(o)
				s.maxWait = max(s.maxWait, s.now.Sub(w.QueuedAt))
				s.queue.Leave(s.now, w, true)
				delete(s.waiters, w)
			default:
				s.queue.Return(s.now, w)
			}
		}
	}
}

var _ = ginkgo.Describe("admission", func() {
	// Load: audits of class 2 at 2.4 times what fits, beside queries of class 0 that take
	// most of the room (deployment B, bursts of audits).
	ginkgo.It("serves urgent requests in a burst of others, and some of these", func() {
		s := newSimulation(100)
		urgent := &source{name: "a", class: 0, perSec: 80, deadline: 1500 * time.Millisecond}
		audits := &source{name: "b", class: 2, perSec: 240, deadline: 4 * time.Second}
		s.run(20*time.Second, urgent, audits)
		gomega.Expect(urgent.fraction()).To(gomega.BeNumerically(">", 0.97))
		gomega.Expect(float64(audits.served)).To(gomega.BeNumerically(">", 0.05*float64(urgent.served)))
		gomega.Expect(s.maxWait).To(gomega.BeNumerically("<=", 2*time.Second))
	})

	// Load: queries of class 0 alone take all room.
	ginkgo.It("guarantees a less urgent class a share beside more urgent requests than fit", func() {
		s := newSimulation(100)
		urgent := &source{name: "a", class: 0, perSec: 200, deadline: 1500 * time.Millisecond}
		audits := &source{name: "b", class: 2, perSec: 50, deadline: 4 * time.Second}
		s.run(20*time.Second, urgent, audits)
		gomega.Expect(audits.served).To(gomega.BeNumerically("~", 0.09*100*20, 60))
		gomega.Expect(urgent.served).To(gomega.BeNumerically(">", 1700))
	})

	// Load: a customer with many waiting requests beside one with a few.
	ginkgo.It("refuses no customer because another one has filled the queue", func() {
		var q admission.Queue
		for range 400 {
			q.Ended(start, 100*time.Millisecond)
		}
		request := func(customer string) admission.Request {
			return admission.Request{Class: 1, Customer: customer, Weight: 1, Deadline: start.Add(3 * time.Second), Timeout: 3 * time.Second, CallerUntil: start.Add(3 * time.Second)}
		}
		var many []*admission.Waiter
		for range 500 {
			if w, _ := q.Offer(start, request("many")); w != nil {
				many = append(many, w)
			}
		}
		gomega.Expect(len(many)).To(gomega.BeNumerically("<=", 128))
		w, refusal := q.Offer(start, request("few"))
		gomega.Expect(w).NotTo(gomega.BeNil())
		gomega.Expect(refusal.Ahead).To(gomega.BeNumerically("<=", 1))
		gomega.Expect(q.Waiting(1)).To(gomega.BeNumerically("<=", 128))
		q.Wake(start)
		q.Leave(start, many[0], true)
		gomega.Eventually(w.Ready).Should(gomega.Receive())
	})

	// Load: a thousand callers that are refused at the same moment.
	ginkgo.It("spreads the return of callers that are refused at once, the urgent ones first", func() {
		var q admission.Queue
		q.Random = rand.New(rand.NewPCG(1, 1))
		for range 200 {
			q.Ended(start, 100*time.Millisecond)
		}
		var after [3][]time.Duration
		for i := range 300 {
			class := i % 3
			a := q.RetryAfter(start, admission.Request{Class: class, CallerUntil: start.Add(6 * time.Second), Deadline: start.Add(6 * time.Second)})
			gomega.Expect(a).To(gomega.BeNumerically("<=", 2*time.Second))
			after[class] = append(after[class], a)
		}
		for c := range after {
			slices.Sort(after[c])
		}
		gomega.Expect(after[0][50]).To(gomega.BeNumerically("<", after[2][50]))
		all := slices.Concat(after[0], after[1], after[2])
		for t := time.Duration(0); t < 1800*time.Millisecond; t += 100 * time.Millisecond {
			n := 0
			for _, a := range all {
				if a >= t && a < t+100*time.Millisecond {
					n++
				}
			}
			gomega.Expect(n).To(gomega.BeNumerically("<=", 70), fmt.Sprint("at ", t))
		}
	})

	// Load: a fleet of targets that shrinks to nothing in an instant.
	ginkgo.It("refuses at once what a shrunken fleet cannot serve in time", func() {
		s := newSimulation(200)
		o := &source{name: "a", class: 1, perSec: 150, deadline: 1500 * time.Millisecond}
		s.run(5*time.Second, o)
		gomega.Expect(o.fraction()).To(gomega.BeNumerically(">", 0.98))
		s.perSec = 20
		s.run(3*time.Second, o)
		before := *o
		s.run(5*time.Second, o)
		gomega.Expect(o.served - before.served).To(gomega.BeNumerically(">", 85))
		gomega.Expect(len(s.waiters)).To(gomega.BeNumerically("<", 30))
	})

	ginkgo.It("refuses a request whose deadline is too short to wait and run", func() {
		var q admission.Queue
		for range 10 {
			q.Ended(start, 100*time.Millisecond)
		}
		request := admission.Request{Deadline: start.Add(300 * time.Millisecond), Timeout: 2 * time.Second, CallerUntil: start.Add(300 * time.Millisecond)}
		w, refusal := q.Offer(start, request)
		gomega.Expect(w).To(gomega.BeNil())
		gomega.Expect(refusal.RetryAfter).To(gomega.BeNumerically("<=", 100*time.Millisecond))
		request.Expected = 50 * time.Millisecond
		w, _ = q.Offer(start, request)
		gomega.Expect(w).NotTo(gomega.BeNil())
		request.RoomIn = time.Second
		w, _ = q.Offer(start, request)
		gomega.Expect(w).To(gomega.BeNil())
	})

	ginkgo.It("lets a caller that has returned go before new ones of its class, and urgent ones before both", func() {
		var q admission.Queue
		for range 100 {
			q.Ended(start, 100*time.Millisecond)
		}
		request := func(class int, returned bool) admission.Request {
			return admission.Request{Class: class, Returned: returned, Deadline: start.Add(2 * time.Second), Timeout: 2 * time.Second, CallerUntil: start.Add(2 * time.Second)}
		}
		isNew, _ := q.Offer(start, request(1, false))
		returned, _ := q.Offer(start, request(1, true))
		gomega.Expect(q.Defers(start, 1, false)).To(gomega.BeTrue())
		gomega.Expect(q.Defers(start, 1, true)).To(gomega.BeFalse())
		urgent, _ := q.Offer(start, request(0, false))
		gomega.Expect(q.Defers(start, 1, true)).To(gomega.BeTrue())
		q.Wake(start)
		for _, w := range []*admission.Waiter{urgent, returned, isNew} {
			gomega.Expect(w.Ready).To(gomega.Receive())
			q.Leave(start, w, true)
		}
		gomega.Expect(q.Defers(start, 2, false)).To(gomega.BeFalse())
	})

	// Guards against room that is lost with a caller that leaves as it is woken, and
	// against a place that is lost when there was no room after all.
	ginkgo.It("passes the room on from a caller that leaves, and keeps the place of one that found none", func() {
		var q admission.Queue
		for range 100 {
			q.Ended(start, 100*time.Millisecond)
		}
		var waiters []*admission.Waiter
		for i := range 3 {
			deadline := start.Add(2*time.Second + time.Duration(i)*time.Millisecond)
			w, _ := q.Offer(start, admission.Request{Deadline: deadline, Timeout: 2 * time.Second, CallerUntil: deadline})
			waiters = append(waiters, w)
		}
		q.Wake(start)
		gomega.Expect(waiters[0].Ready).To(gomega.Receive())
		q.Leave(start, waiters[0], false)
		gomega.Expect(waiters[1].Ready).To(gomega.Receive())
		q.Return(start, waiters[1])
		gomega.Expect(waiters[2].Ready).To(gomega.Receive())
		q.Return(start, waiters[2])
		q.Wake(start)
		gomega.Expect(waiters[1].Ready).To(gomega.Receive())
		gomega.Expect(q.Waiting(0)).To(gomega.Equal(2))
	})

	ginkgo.It("bounds the memory of waiting requests, and displaces less urgent ones", func() {
		var q admission.Queue
		for range 1000 {
			q.Ended(start, 100*time.Millisecond)
		}
		request := func(class int) admission.Request {
			return admission.Request{Class: class, Bytes: 360 << 10, Deadline: start.Add(3 * time.Second), Timeout: 3 * time.Second, CallerUntil: start.Add(3 * time.Second)}
		}
		var last *admission.Waiter
		n := 0
		for range 50 {
			if w, _ := q.Offer(start, request(1)); w != nil {
				last = w
				n++
			}
		}
		gomega.Expect(n).To(gomega.Equal((4 << 20) / (360 << 10)))
		w, _ := q.Offer(start, request(0))
		gomega.Expect(w).NotTo(gomega.BeNil())
		gomega.Expect(last.Displaced()).To(gomega.BeTrue())
		gomega.Expect(last.Ready).To(gomega.Receive())
	})

	ginkgo.It("keeps the last room of a target for urgent requests while there are any", func() {
		var q admission.Queue
		gomega.Expect(q.KeepsRoom(start, 2, 3)).To(gomega.BeFalse())
		q.Defers(start, 0, false)
		gomega.Expect(q.KeepsRoom(start, 2, 3)).To(gomega.BeTrue())
		gomega.Expect(q.KeepsRoom(start, 2, 1)).To(gomega.BeFalse())
		gomega.Expect(q.KeepsRoom(start, 0, 3)).To(gomega.BeFalse())
		for range 11 {
			q.Admit(start, 0, 3)
		}
		gomega.Expect(q.KeepsRoom(start, 2, 3)).To(gomega.BeFalse())
		q.Admit(start, 2, 3)
		gomega.Expect(q.KeepsRoom(start, 2, 3)).To(gomega.BeTrue())
		gomega.Expect(q.KeepsRoom(start.Add(3*time.Second), 2, 3)).To(gomega.BeFalse())
	})

	ginkgo.It("recognizes a caller that returns about when it was told, once", func() {
		var r admission.Returns
		key := admission.ReturnKey("c", "checkout", "/a", "o1")
		gomega.Expect(r.Returned(start, key)).To(gomega.BeFalse())
		r.Refused(start, key, 500*time.Millisecond)
		gomega.Expect(r.Returned(start.Add(100*time.Millisecond), key)).To(gomega.BeFalse())
		gomega.Expect(r.Returned(start.Add(520*time.Millisecond), admission.ReturnKey("c", "checkout", "/a", "o2"))).To(gomega.BeFalse())
		gomega.Expect(r.Returned(start.Add(520*time.Millisecond), key)).To(gomega.BeTrue())
		gomega.Expect(r.Returned(start.Add(520*time.Millisecond), key)).To(gomega.BeFalse())
	})

	ginkgo.It("takes nothing out of bounds from a clock that steps or figures that are wrong", func() {
		var q admission.Queue
		q.Ended(start, 100*time.Millisecond)
		q.Ended(start.Add(-time.Hour), -time.Second)
		q.Ended(start, 1<<62)
		for _, class := range []int{-5, 1 << 30} {
			w, refusal := q.Offer(start.Add(-time.Hour), admission.Request{Class: class, Deadline: start.Add(-2 * time.Hour), RoomIn: 1 << 62, Expected: -1})
			gomega.Expect(w).To(gomega.BeNil())
			gomega.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">=", 0))
		}
	})

	// Guards against a decision that costs callers time: the limit is 1 us.
	ginkgo.It("decides without allocating", func() {
		var q admission.Queue
		var r admission.Returns
		gomega.Expect(testing.AllocsPerRun(1000, func() { decide(&q, &r) })).To(gomega.BeZero())
		gomega.Expect(testing.AllocsPerRun(1000, func() { wait(&q) })).To(gomega.BeNumerically("<=", 4))
	})
})

// decide makes the decisions on a request that gets room.
func decide(q *admission.Queue, r *admission.Returns) {
	returned := r.Returned(start, admission.ReturnKey("customer", "route", "/path/of/it", "object-17"))
	if !q.Defers(start, 1, returned) && !q.KeepsRoom(start, 1, 1) {
		q.Admit(start, 1, 1)
	}
	q.Ended(start, 100*time.Millisecond)
	q.Wake(start)
}

// wait makes the decisions on a request that waits.
func wait(q *admission.Queue) {
	w, _ := q.Offer(start, admission.Request{Customer: "c", Class: 1, Deadline: start.Add(4 * time.Second), Timeout: 4 * time.Second, CallerUntil: start.Add(4 * time.Second)})
	if w == nil {
		return
	}
	q.Leave(start, w, false)
}

func BenchmarkAdmit(b *testing.B) {
	var q admission.Queue
	var r admission.Returns
	b.ReportAllocs()
	for b.Loop() {
		decide(&q, &r)
	}
}

// BenchmarkWait lets a request wait and leave while the queue holds 100 others of 8 customers.
func BenchmarkWait(b *testing.B) {
	q := fullQueue()
	b.ReportAllocs()
	for b.Loop() {
		wait(q)
	}
}

// BenchmarkWake wakes the next one of 100 waiting requests, which finds no room.
func BenchmarkWake(b *testing.B) {
	q := fullQueue()
	w, _ := q.Offer(start, admission.Request{Customer: "c", Returned: true, Deadline: start.Add(4 * time.Second), Timeout: 4 * time.Second, CallerUntil: start.Add(4 * time.Second)})
	b.ReportAllocs()
	for b.Loop() {
		q.Wake(start)
		q.Return(start, w)
	}
}

func fullQueue() *admission.Queue {
	q := &admission.Queue{}
	for range 1000 {
		q.Ended(start, 100*time.Millisecond)
	}
	for i := range 100 {
		q.Offer(start, admission.Request{Customer: fmt.Sprint("c", i%8), Class: 1 + i%2, Deadline: start.Add(4 * time.Second), Timeout: 4 * time.Second, CallerUntil: start.Add(4 * time.Second)})
	}
	return q
}

func BenchmarkRefuse(b *testing.B) {
	var q admission.Queue
	b.ReportAllocs()
	for b.Loop() {
		q.Offer(start, admission.Request{Customer: "c", Class: 1, Deadline: start.Add(time.Millisecond), Timeout: time.Second, CallerUntil: start.Add(time.Second)})
	}
}
