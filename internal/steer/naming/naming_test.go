package naming_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/naming"
)

const (
	large = 800
	small = 100
)

// region returns the instances of a region: some large ones among small ones.
func region(larges, smalls int) []lacewingramp.Endpoint {
	var all []lacewingramp.Endpoint
	for i := range larges + smalls {
		e := lacewingramp.Endpoint{Name: fmt.Sprintf("edge-%d", i), Domain: "a", Room: small}
		if i%(1+smalls/max(1, larges)) == 0 && i/(1+smalls/max(1, larges)) < larges {
			e.Room = large
		}
		all = append(all, e)
	}
	return all
}

func rooms(all []lacewingramp.Endpoint) map[int]int {
	n := make(map[int]int)
	for _, e := range all {
		n[e.Room]++
	}
	return n
}

// The load of a region with machines of unlike size.
var _ = ginkgo.Describe("the instances that a look-up names", func() {
	ginkgo.It("are the largest, where those can carry the region", func() {
		gomega.Expect(rooms(naming.Pick(region(6, 21), 700))).To(gomega.Equal(map[int]int{large: naming.Least}))
	})

	ginkgo.It("are more when the large ones are gone, none with more than it can carry", func() {
		picked := naming.Pick(region(0, 25), 700)
		gomega.Expect(len(picked)).To(gomega.BeNumerically(">=", 14))
		gomega.Expect(700.0 / float64(len(picked))).To(gomega.BeNumerically("<=", small/2))
	})

	ginkgo.It("are all of a small region, and the same ones in any order", func() {
		all := region(0, 3)
		gomega.Expect(naming.Pick(all, 1e6)).To(gomega.HaveLen(3))
		gomega.Expect(naming.Pick(nil, 10)).To(gomega.BeEmpty())
		few := naming.Pick(region(2, 20), 10)
		turned := region(2, 20)
		for i, j := 0, len(turned)-1; i < j; i, j = i+1, j-1 {
			turned[i], turned[j] = turned[j], turned[i]
		}
		gomega.Expect(naming.Pick(turned, 10)).To(gomega.Equal(few))
	})

	ginkgo.It("spread the callers of a large region over all that are needed", func() {
		all := region(0, 540)
		seen := make(map[string]int)
		const answers = 2000
		needed := naming.Pick(all, 20_000)
		for range answers {
			picked := naming.Some(needed)
			gomega.Expect(picked).To(gomega.HaveLen(naming.Most))
			for _, e := range picked {
				seen[e.Name]++
			}
		}
		gomega.Expect(len(seen)).To(gomega.BeNumerically(">=", 400))
		for _, n := range seen {
			gomega.Expect(n).To(gomega.BeNumerically("<", 2*answers*naming.Most/400))
		}
	})

	ginkgo.It("of which nothing is known are all that there are", func() {
		all := region(0, 9)
		for i := range all {
			all[i].Room = 0
		}
		gomega.Expect(naming.Pick(all, 50)).To(gomega.HaveLen(9))
	})
})
