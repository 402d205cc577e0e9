package edge_test

import (
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against requests to a target that has said in a response that it is leaving, while
// its registration says that it is ready (the users' rule DRAIN).
var _ = ginkgo.Describe("a target that says in its responses that it is leaving", func() {
	var d *deployment
	startInstances := func(count int) {
		d = newDeployment(4)
		d.store.put("table/now", testTable(1))
		for range count {
			gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
		}
		d.awaitPeers(count)
	}
	// runsAfter returns how many requests the first target gets of many that an instance
	// serves.
	runsAfter := func(instance int) int32 {
		before := d.targets[0].runs.Load()
		for i := range 40 {
			gomega.Expect(d.request(instance, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
		}
		return d.targets[0].runs.Load() - before
	}
	// announce lets the first target say that it is leaving, in a response at an instance.
	announce := func(instance int) {
		gomega.Expect(runsAfter(instance)).To(gomega.BeNumerically(">", 0))
		d.targets[0].leaving.Store("1")
		gomega.Expect(runsAfter(instance)).To(gomega.Equal(int32(1)))
	}

	ginkgo.It("gets nothing more from an instance that is cut off from the store and has no peers", func() {
		startInstances(1)
		d.store.down.Store(true)
		announce(0)
		gomega.Expect(runsAfter(0)).To(gomega.BeZero())
	})

	ginkgo.It("gets nothing more from instances that have it from a peer", func() {
		startInstances(3)
		announce(0)
		for _, i := range []int{1, 2} {
			gomega.Eventually(func() int32 { return runsAfter(i) }, 10*time.Second).Should(gomega.BeZero())
		}
	})

	ginkgo.It("gets nothing more from an instance that has relayed the request to a peer", func() {
		startInstances(2)
		d.cutOff(0)
		d.targets[0].leaving.Store("1")
		gomega.Eventually(func() int32 { return runsAfter(0) }, 10*time.Second).Should(gomega.BeZero())
		d.dialers[0].set(cutNone)
		d.stops[1]()
		gomega.Eventually(func() bool { return d.edges[0].CutOff() }, 10*time.Second).Should(gomega.BeFalse())
		gomega.Expect(runsAfter(0)).To(gomega.BeZero())
	})

	ginkgo.It("gets requests again as a new incarnation under the same name", func() {
		startInstances(1)
		announce(0)
		d.targets[0].leaving.Store("")
		again := d.registration(0, d.addresses[0])
		d.store.put("target/t0", again)
		gomega.Consistently(func() int32 { return runsAfter(0) }, time.Second).Should(gomega.BeZero())
		again.StartMillis = 2
		d.store.put("target/t0", again)
		gomega.Eventually(func() int32 { return runsAfter(0) }, 10*time.Second).Should(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("finishes what it runs", func() {
		startInstances(1)
		for _, t := range d.targets {
			t.mode.Store(modeSilence)
			t.leaving.Store("1")
		}
		done := make(chan response, 1)
		go func() { done <- d.request(0, "/order/1", "andes-key", "1") }()
		gomega.Eventually(d.runs, 5*time.Second).Should(gomega.Equal(int32(1)))
		d.mode(modeWell)
		// Others learn that the target is leaving, while the first one runs.
		for i := range 40 {
			gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
		}
		for _, t := range d.targets {
			t.release()
		}
		var r response
		gomega.Eventually(done, 5*time.Second).Should(gomega.Receive(&r))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
	})

	ginkgo.It("is used as before if what it says cannot be understood", func() {
		startInstances(1)
		d.targets[0].leaving.Store("perhaps")
		gomega.Expect(runsAfter(0)).To(gomega.BeNumerically(">", 0))
		gomega.Expect(runsAfter(0)).To(gomega.BeNumerically(">", 0))
	})
})
