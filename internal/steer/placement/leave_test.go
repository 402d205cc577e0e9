package placement_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

var _ = ginkgo.Describe("a target that says that it is leaving", func() {
	const objects = 200
	var p *placement.Placer
	ginkgo.BeforeEach(func() { p = newPlacer("self", 6, 4) })
	leaving := func(i int, startMillis int64) lacewingramp.LeavingTarget {
		return lacewingramp.LeavingTarget{Target: fmt.Sprintf("t%d", i), StartMillis: startMillis}
	}
	// chosen returns how often each target is chosen for a request.
	chosen := func() map[string]int {
		count := make(map[string]int)
		for i := range objects {
			c := p.Choose(start, query(fmt.Sprint(i)))
			gomega.Expect(c.Target).NotTo(gomega.BeNil())
			count[c.Target.Name]++
			p.Cancel(c.Target.Name)
		}
		return count
	}

	// Guards against requests to a target that has said that it is leaving (DRAIN).
	ginkgo.It("gets nothing new, and the others serve its objects", func() {
		before := p.Choose(start, query("1"))
		gomega.Expect(p.MarkLeaving(start, lacewingramp.LeavingTarget{Target: before.Target.Name, StartMillis: before.StartMillis})).To(gomega.BeTrue())
		gomega.Expect(p.MayServe(start, before.Target)).To(gomega.BeFalse())
		gomega.Expect(chosen()).NotTo(gomega.HaveKey(before.Target.Name))
		p.Done(start, placement.Report{Target: before.Target.Name, Ran: true})
		gomega.Expect(p.MarkLeaving(start, lacewingramp.LeavingTarget{Target: before.Target.Name, StartMillis: before.StartMillis})).To(gomega.BeFalse())
	})

	ginkgo.It("stays without requests whatever its registration says while its incarnation lives", func() {
		p.MarkLeaving(start, leaving(0, 1))
		ready := registration(0, "a", 8)
		p.Update(start.Add(time.Second), ready)
		gomega.Expect(chosen()).NotTo(gomega.HaveKey("t0"))
		p.Remove("t0")
		p.Update(start.Add(2*time.Second), ready)
		gomega.Expect(chosen()).NotTo(gomega.HaveKey("t0"))
	})

	ginkgo.It("gets requests as a new incarnation, whose predecessor's word comes late", func() {
		p.MarkLeaving(start, leaving(0, 1))
		again := registration(0, "a", 4)
		again.StartMillis = 2
		p.Update(start.Add(time.Second), again)
		gomega.Expect(chosen()).To(gomega.HaveKey("t0"))
		gomega.Expect(p.MarkLeaving(start, leaving(0, 1))).To(gomega.BeFalse())
		gomega.Expect(chosen()).To(gomega.HaveKey("t0"))
	})

	ginkgo.It("is known to leave before its incarnation is registered here", func() {
		gomega.Expect(p.MarkLeaving(start, leaving(0, 2))).To(gomega.BeTrue())
		gomega.Expect(chosen()).To(gomega.HaveKey("t0"))
		again := registration(0, "a", 4)
		again.StartMillis = 2
		p.Update(start, again)
		gomega.Expect(chosen()).NotTo(gomega.HaveKey("t0"))
	})

	ginkgo.It("is a new incarnation when it registers without a start time", func() {
		unknown := registration(0, "a", 4)
		unknown.StartMillis = 0
		p.Remove("t0")
		p.Update(start, unknown)
		p.MarkLeaving(start, leaving(0, 0))
		gomega.Expect(chosen()).NotTo(gomega.HaveKey("t0"))
		p.Update(start, unknown)
		gomega.Expect(chosen()).To(gomega.HaveKey("t0"))
	})

	ginkgo.It("is named to peers in turn, a few at a time, until its registration says it", func() {
		const targets, maxNamed, rounds = 40, 8, 12
		p = newPlacer("self", targets, 4)
		for i := range targets {
			p.MarkLeaving(start.Add(time.Duration(i)), leaving(i, 1))
		}
		named := make(map[string]bool)
		for range rounds {
			list := p.LeavingTargets(start)
			gomega.Expect(len(list)).To(gomega.BeNumerically("<=", maxNamed))
			for _, l := range list {
				named[l.Target] = true
			}
		}
		gomega.Expect(named).To(gomega.HaveLen(targets))
		for i := range targets {
			draining := registration(i, "a", 4)
			draining.Leaving = true
			p.Update(start, draining)
		}
		gomega.Expect(p.LeavingTargets(start)).To(gomega.BeEmpty())
	})
})
