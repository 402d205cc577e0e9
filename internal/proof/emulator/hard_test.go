package emulator_test

import (
	"os"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/proof/emulator"
)

// maxShift is by how much the regions in which a region's requests run may change from one
// window of 2 s to the next when only the load changes.
const maxShift = 0.15

// simulateHard returns the results of the choice by completion time and of the former one.
func simulateHard(scenario string) (byCompletion, former emulator.Result) {
	for _, s := range emulator.HardScenarios() {
		if s.Name == scenario {
			policies := emulator.HardPolicies()
			return emulator.Simulate(s, policies[0], 1), emulator.Simulate(s, policies[1], 1)
		}
	}
	ginkgo.Fail("no such scenario")
	return byCompletion, former
}

// skipKnownRed skips a test that KNOWN-RED.txt lists, unless LACEWINGRAMP_RED is set.
func skipKnownRed() {
	if os.Getenv("LACEWINGRAMP_RED") == "" {
		ginkgo.Skip("listed in KNOWN-RED.txt")
	}
}

var _ = ginkgo.Describe("a hard load", func() {
	ginkgo.It("counts one outcome for each request", func() {
		for _, s := range emulator.HardScenarios() {
			r := emulator.Simulate(s, emulator.HardPolicies()[0], 2)
			gomega.Expect(r.InTime+r.Late+r.Refused+r.Failed).To(gomega.Equal(r.Requests), s.Name)
		}
	})

	// Load: some objects have more requests than one or two targets run.
	ginkgo.It("with hot objects is served in time clearly more often than by the former choice", func() {
		skipKnownRed()
		r, former := simulateHard("desk-hot")
		gomega.Expect(fraction(r.InTime, r.Requests)).To(gomega.BeNumerically(">", fraction(former.InTime, former.Requests)+0.03))
	})

	// Load: 2.2 times the audits for 6 s, each of which occupies a target for long, beside uploads.
	ginkgo.It("with a burst of audits is served in time more often than by the former choice", func() {
		r, former := simulateHard("vault-burst")
		gomega.Expect(fraction(r.InTime, r.Requests)).To(gomega.BeNumerically(">", fraction(former.InTime, former.Requests)+0.02))
	})

	ginkgo.It("with a burst of audits is seldom refused", func() {
		skipKnownRed()
		r, _ := simulateHard("vault-burst")
		gomega.Expect(fraction(r.Refused+r.Failed, r.Requests)).To(gomega.BeNumerically("<", 0.01))
	})

	// Load: 15% of the targets take 2.5 times as long for 600 ms. The instances of this
	// test do not tell each other of the loads of targets.
	ginkgo.It("with targets that are slow in turn is served in time as often as by the former choice", func() {
		r, former := simulateHard("noisy")
		gomega.Expect(fraction(r.InTime, r.Requests)).To(gomega.BeNumerically(">", fraction(former.InTime, former.Requests)-0.01))
	})

	// Load: the loads of regions rise and fall in turn, or fall to a third at once.
	ginkgo.It("does not move more than a part of the requests between regions within 2 s", func() {
		for _, name := range []string{"desk-turns", "desk-heavy", "desk-drop"} {
			r, former := simulateHard(name)
			gomega.Expect(r.MaxRegionShift).To(gomega.BeNumerically("<", maxShift), name)
			gomega.Expect(fraction(r.InTime, r.Requests)).To(gomega.BeNumerically(">", fraction(former.InTime, former.Requests)-0.01), name)
		}
	})
})
