package admission_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/limit/admission"
)

// Load: a customer whose targets are all full beside others that get room. Guards against its
// requests being held until their time is nearly up, when it is known that others like them were
// refused.
var _ = ginkgo.It("a customer whose requests wait in vain has only one of them wait, until one gets room", func() {
	var q admission.Queue
	for range 100 {
		q.Ended(start, 10*time.Millisecond)
	}
	offer := func(customer string) *admission.Waiter {
		deadline := start.Add(2 * time.Second)
		w, _ := q.Offer(start, admission.Request{Customer: customer, Weight: 1, Deadline: deadline, Timeout: 2 * time.Second, CallerUntil: deadline})
		return w
	}
	for range 20 {
		q.Leave(start, offer("bound"), false)
		q.Leave(start, offer("free"), true)
	}
	probe := offer("bound")
	gomega.Expect(probe).NotTo(gomega.BeNil())
	gomega.Expect(offer("bound")).To(gomega.BeNil())
	gomega.Expect(offer("free")).NotTo(gomega.BeNil())
	gomega.Expect(offer("free")).NotTo(gomega.BeNil())
	for range 20 {
		q.Leave(start, probe, true)
		probe = offer("bound")
	}
	gomega.Expect(offer("bound")).NotTo(gomega.BeNil())
})

// Load: a customer whose targets are all full, and urgent requests of others that fill the
// queue. Guards against a displaced request that counts as waiting forever, so that its
// customer never waits again.
var _ = ginkgo.It("a customer whose waiting request is displaced may have another one wait", func() {
	var q admission.Queue
	for range 1000 {
		q.Ended(start, 10*time.Millisecond)
	}
	deadline := start.Add(2 * time.Second)
	offer := func(customer string, class int) *admission.Waiter {
		w, _ := q.Offer(start, admission.Request{
			Class: class, Customer: customer, Weight: 1, Deadline: deadline, Timeout: 2 * time.Second, CallerUntil: deadline,
		})
		return w
	}
	for range 20 {
		q.Leave(start, offer("bound", 1), false)
	}
	displaced := offer("bound", 1)
	gomega.Expect(offer("bound", 1)).To(gomega.BeNil())
	var urgent []*admission.Waiter
	for !displaced.Displaced() {
		w := offer("urgent", 0)
		gomega.Expect(w).NotTo(gomega.BeNil())
		urgent = append(urgent, w)
	}
	q.Leave(start, displaced, false)
	for _, w := range urgent {
		q.Leave(start, w, true)
	}
	gomega.Expect(offer("bound", 1)).NotTo(gomega.BeNil())
})
