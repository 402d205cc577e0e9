package emulator_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/proof/emulator"
)

// minArrivals is the minimum number of requests of a region that arrive in a window for their
// regions to be compared with those of the window before.
const minArrivals = 20

// shiftOf returns by which fraction the regions of targets differ between two windows.
func shiftOf(before, after []int) (shift float64) {
	for i := range before {
		shift += max(0, fraction(after[i], sum(after))-fraction(before[i], sum(before)))
	}
	return shift
}

func sum(list []int) (total int) {
	for _, n := range list {
		total += n
	}
	return total
}

var _ = ginkgo.Describe("callers that stop, some of them bound to a full region", func() {
	// Guards against requests that arrive late in one region only: most of what a region's
	// callers have under way then runs elsewhere from one moment to the next.
	ginkgo.It("have few requests under way, or have them in all regions", func() {
		for seed := uint64(1); seed <= 5; seed++ {
			s := emulator.BoundScenario()
			arrivals := emulator.Simulate(s, &emulator.PlacementPolicy{}, seed).Arrivals
			end := int(s.LoadDuration / emulator.WindowLength)
			for region := range s.Targets {
				before, after := arrivals[end-1][region], arrivals[end][region]
				if sum(after) >= minArrivals {
					gomega.Expect(shiftOf(before, after)).To(gomega.BeNumerically("<", maxShift), "seed %d, region %d: %v, then %v", seed, region, before, after)
				}
			}
		}
	})
})
