package emulator_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/proof/emulator"
)

func fraction(n, of int) float64 { return float64(n) / float64(of) }

func simulate(scenario, policy string) emulator.Result {
	for _, s := range append(emulator.Scenarios(), emulator.LargeScenarios()...) {
		for _, p := range emulator.Policies() {
			if s.Name == scenario && p.Name() == policy {
				return emulator.Simulate(s, p, 1)
			}
		}
	}
	ginkgo.Fail("no such scenario or policy")
	return emulator.Result{}
}

// benefit returns the mean benefit of a request to its caller. A late response has a
// fifth of the benefit of one in time, a refused or failed request none.
func benefit(r emulator.Result) float64 {
	return (float64(r.InTime) + 0.2*float64(r.Late)) / float64(r.Requests)
}

var _ = ginkgo.Describe("a simulated load", func() {
	ginkgo.It("counts exactly one outcome for every request", func() {
		for _, s := range emulator.Scenarios() {
			for _, p := range emulator.Policies() {
				r := emulator.Simulate(s, p, 2)
				gomega.Expect(r.InTime+r.Late+r.Refused+r.Failed).To(gomega.Equal(r.Requests), s.Name+" "+p.Name())
			}
		}
	})

	ginkgo.It("gives the same result for the same seed", func() {
		gomega.Expect(simulate("bank-busy", "lacewingramp")).To(gomega.Equal(simulate("bank-busy", "lacewingramp")))
	})

	ginkgo.It("ranks the simple policies in the same order as the users' benchmark", func() {
		random, leastInFlight := benefit(simulate("bank-calm", "random")), benefit(simulate("bank-calm", "least in flight"))
		hash := benefit(simulate("bank-calm", "hash, at most 2 in flight"))
		gomega.Expect(hash).To(gomega.BeNumerically(">", leastInFlight))
		gomega.Expect(leastInFlight).To(gomega.BeNumerically(">=", random-0.02))
		gomega.Expect(hash).To(gomega.BeNumerically(">", random+0.1))
	})

	ginkgo.It("is served by the policy of lacewingramp at least as well as by any simple one", func() {
		for _, s := range emulator.Scenarios() {
			lacewingramp := benefit(simulate(s.Name, "lacewingramp"))
			for _, p := range emulator.Policies()[1:] {
				gomega.Expect(lacewingramp).To(gomega.BeNumerically(">=", benefit(simulate(s.Name, p.Name()))-0.02), s.Name+" "+p.Name())
			}
		}
	})

	ginkgo.It("is served in time again after an outage, although all callers retry at once", func() {
		r := simulate("kavach-outage", "lacewingramp")
		lastRatios := r.InTimeRatios[len(r.InTimeRatios)-6:]
		for _, ratio := range lastRatios {
			gomega.Expect(ratio).To(gomega.BeNumerically(">=", 0.9))
		}
		gomega.Expect(fraction(r.Refused+r.Failed, r.Requests)).To(gomega.BeNumerically("<=", 0.05))
	})

	ginkgo.It("of a large deployment is served at least as well as if each object had one target", func() {
		for _, s := range emulator.LargeScenarios() {
			gomega.Expect(benefit(simulate(s.Name, "lacewingramp"))).To(gomega.BeNumerically(">=", benefit(simulate(s.Name, "hash, unbounded"))-0.02), s.Name)
		}
	})

	// Pattern: a region with few targets to which customers with many requests are bound. Slots
	// for these were also taken by others, and 9 of 100 requests were cancelled.
	ginkgo.It("is answered if customers are bound to a region with few targets", func() {
		reserved, shared := simulate("bulb-bound", "lacewingramp"), simulate("bulb-bound", "lacewingramp, none reserved")
		gomega.Expect(reserved.Refused + reserved.Failed).To(gomega.BeNumerically("<", 2*(shared.Refused+shared.Failed)/3))
		gomega.Expect(benefit(reserved)).To(gomega.BeNumerically(">", benefit(shared)))
	})

	// Pattern: two of five targets turn slow for a while, and each instance sees few responses of
	// each of them.
	ginkgo.It("is answered if targets turn slow, as instances tell each other", func() {
		told, alone := simulate("large-slow", "lacewingramp"), simulate("large-slow", "lacewingramp, nothing reported")
		gomega.Expect(told.Refused + told.Failed).To(gomega.BeNumerically("<", alone.Refused+alone.Failed))
		gomega.Expect(benefit(told)).To(gomega.BeNumerically(">", benefit(alone)))
	})

	// Pattern: customers that are bound to a region need more than its targets can run. Nearly all
	// of their requests were cut while the targets worked on them.
	ginkgo.It("gets what its targets can run, although more is asked of them", func() {
		r := simulate("crowded", "lacewingramp")
		const (
			boundRate  = 0.2 * 3 * 80
			couldRun   = 2 * 9 / 0.69
			mustGoDown = 0.2 * (1 - 2.0/3*couldRun/boundRate)
		)
		gomega.Expect(fraction(r.Refused+r.Failed, r.Requests)).To(gomega.BeNumerically("<=", mustGoDown))
	})
})
