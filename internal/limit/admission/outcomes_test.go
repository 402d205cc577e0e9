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
