package quota

import (
	"os"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// knownRedVariable is the environment variable that enables the tests listed in KNOWN-RED.txt.
const knownRedVariable = "LACEWINGRAMP_RED"

// minFairness is the required success rate of the worst-served customer, divided by the
// median customer's.
const minFairness = 0.999

var _ = ginkgo.Describe("the policy of loans", func() {
	for _, deployment := range []string{"bank", "kavach"} {
		for _, c := range scenarios {
			play := func(baseline string) *simulation {
				s := newSimulation(1, instancesPerDomain, deployments[deployment])
				s.baseline = baseline
				c.play(s)
				return s
			}

			ginkgo.It("keeps every limit and refuses less than an equal split: "+deployment+" "+c.name, func() {
				s := play("")
				gomega.Expect(s.excess).To(gomega.BeNumerically("<=", 1e-6))
				gomega.Expect(s.wrongfulPPM()).To(gomega.BeNumerically("<", play("equal").wrongfulPPM()))
			})

			ginkgo.It("refuses nothing inside a customer's rate: "+deployment+" "+c.name, func() {
				if os.Getenv(knownRedVariable) == "" {
					ginkgo.Skip("listed in KNOWN-RED.txt")
				}
				s := play("")
				gomega.Expect(s.wrongfulPPM()).To(gomega.BeZero())
				gomega.Expect(s.fairness()).To(gomega.BeNumerically(">=", minFairness))
			})
		}
	}
})
