package reach_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/steer/reach"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

var _ = ginkgo.Describe("an instance that may be cut off from all targets", func() {
	var m reach.Monitor
	failed := reach.Result{}
	unconnected := reach.Result{OpenedConnection: true}
	responded := reach.Result{Responded: true}
	connected := reach.Result{Responded: true, OpenedConnection: true}

	ginkgo.BeforeEach(func() { m = reach.Monitor{} })

	ginkgo.It("checks after a failed attempt, unless a later one got a response", func() {
		first, second := m.Start(at(0)), m.Start(at(10))
		m.End(first, failed)
		gomega.Expect(m.CheckDue(at(20))).To(gomega.BeTrue())
		m.End(second, responded)
		gomega.Expect(m.CheckDue(at(20))).To(gomega.BeFalse())
	})

	ginkgo.It("does not take a response on an old connection for a proof that new ones can be opened", func() {
		first, second, third := m.Start(at(0)), m.Start(at(10)), m.Start(at(20))
		m.End(first, unconnected)
		m.End(second, responded)
		gomega.Expect(m.CheckDue(at(30))).To(gomega.BeTrue())
		m.End(third, connected)
		gomega.Expect(m.CheckDue(at(30))).To(gomega.BeFalse())
	})

	ginkgo.It("checks when nothing responds for a second", func() {
		m.Start(at(0))
		gomega.Expect(m.CheckDue(at(900))).To(gomega.BeFalse())
		gomega.Expect(m.CheckDue(at(1100))).To(gomega.BeTrue())
		m.End(m.Start(at(500)), responded)
		gomega.Expect(m.CheckDue(at(1100))).To(gomega.BeFalse())
	})

	ginkgo.It("does not check again for an attempt that was already waiting when a check got a response", func() {
		m.Start(at(0))
		m.CheckStarted(at(1100))
		gomega.Expect(m.CheckEnded(at(1200), true)).To(gomega.BeFalse())
		gomega.Expect(m.CheckDue(at(5000))).To(gomega.BeFalse())
		m.Start(at(4000))
		gomega.Expect(m.CheckDue(at(5100))).To(gomega.BeTrue())
	})

	ginkgo.It("draws no conclusion from attempts that the instance ended itself", func() {
		m.End(m.Start(at(0)), reach.Result{Cancelled: true})
		gomega.Expect(m.CheckDue(at(10))).To(gomega.BeFalse())
	})

	ginkgo.It("is cut off from a check without a response until one with a response", func() {
		m.End(m.Start(at(0)), unconnected)
		m.CheckStarted(at(5))
		gomega.Expect(m.CheckDue(at(10))).To(gomega.BeFalse())
		gomega.Expect(m.CheckEnded(at(500), false)).To(gomega.BeTrue())
		gomega.Expect(m.CutOff()).To(gomega.BeTrue())
		gomega.Expect(m.CheckDue(at(900))).To(gomega.BeFalse())
		gomega.Expect(m.CheckDue(at(1000))).To(gomega.BeTrue())
		gomega.Expect(m.CheckEnded(at(1100), false)).To(gomega.BeFalse())
		gomega.Expect(m.CheckEnded(at(1700), true)).To(gomega.BeTrue())
		gomega.Expect(m.CutOff()).To(gomega.BeFalse())
		gomega.Expect(m.CheckDue(at(9000))).To(gomega.BeFalse())
	})

	ginkgo.It("waits for slow targets if one has responded since the check began, or if it is cut off", func() {
		before := m.Start(at(0))
		m.End(m.Start(at(0)), unconnected)
		m.CheckStarted(at(5))
		m.End(before, responded)
		gomega.Expect(m.MayBeSlow()).To(gomega.BeFalse())
		m.End(m.Start(at(10)), responded)
		gomega.Expect(m.MayBeSlow()).To(gomega.BeTrue())
		m.CheckEnded(at(500), false)
		m.CheckStarted(at(1000))
		gomega.Expect(m.MayBeSlow()).To(gomega.BeTrue())
	})
})
