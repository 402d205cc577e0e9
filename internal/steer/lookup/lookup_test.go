package lookup_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/lookup"
)

const (
	large = 800
	small = 100
)

// region returns the instances of a region, with some large ones among the small
// ones.
func region(largeCount, smallCount int) []lacewingramp.Endpoint {
	var all []lacewingramp.Endpoint
	for i := range largeCount + smallCount {
		e := lacewingramp.Endpoint{Name: fmt.Sprintf("edge-%d", i), Domain: "a", Capacity: small}
		if i%(1+smallCount/max(1, largeCount)) == 0 && i/(1+smallCount/max(1, largeCount)) < largeCount {
			e.Capacity = large
		}
		all = append(all, e)
	}
	return all
}

func countByCapacity(all []lacewingramp.Endpoint) map[int]int {
	n := make(map[int]int)
	for _, e := range all {
		n[e.Capacity]++
	}
	return n
}

// Models a region whose machines differ in size.
var _ = ginkgo.Describe("the instances that a lookup returns", func() {
	ginkgo.It("are the largest ones if those can handle the load of the region", func() {
		gomega.Expect(countByCapacity(lookup.Pick(region(6, 21), 700))).To(gomega.Equal(map[int]int{large: lookup.MinPicked}))
	})

	ginkgo.It("are more when there are no large ones, and none is overloaded", func() {
		picked := lookup.Pick(region(0, 25), 700)
		gomega.Expect(len(picked)).To(gomega.BeNumerically(">=", 14))
		gomega.Expect(700.0 / float64(len(picked))).To(gomega.BeNumerically("<=", small/2))
	})

	ginkgo.It("are all of a small region, and do not depend on the order of the input", func() {
		all := region(0, 3)
		gomega.Expect(lookup.Pick(all, 1e6)).To(gomega.HaveLen(3))
		gomega.Expect(lookup.Pick(nil, 10)).To(gomega.BeEmpty())
		few := lookup.Pick(region(2, 20), 10)
		reversed := region(2, 20)
		for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
			reversed[i], reversed[j] = reversed[j], reversed[i]
		}
		gomega.Expect(lookup.Pick(reversed, 10)).To(gomega.Equal(few))
	})

	ginkgo.It("vary, so that callers of a large region spread over all picked instances", func() {
		all := region(0, 540)
		seen := make(map[string]int)
		const responses = 2000
		allPicked := lookup.Pick(all, 20_000)
		for range responses {
			picked := lookup.Sample(allPicked)
			gomega.Expect(picked).To(gomega.HaveLen(lookup.MaxResponseSize))
			for _, e := range picked {
				seen[e.Name]++
			}
		}
		gomega.Expect(len(seen)).To(gomega.BeNumerically(">=", 400))
		for _, n := range seen {
			gomega.Expect(n).To(gomega.BeNumerically("<", 2*responses*lookup.MaxResponseSize/400))
		}
	})

	ginkgo.It("are all instances if no capacity is known", func() {
		all := region(0, 9)
		for i := range all {
			all[i].Capacity = 0
		}
		gomega.Expect(lookup.Pick(all, 50)).To(gomega.HaveLen(9))
	})
})
