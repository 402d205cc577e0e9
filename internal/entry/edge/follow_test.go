package edge

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

var _ = ginkgo.Describe("the peer to follow", func() {
	regions := map[string]string{"a": "north", "b": "south", "c": "west"}
	fleet := func(n int, domains ...string) []lacewingramp.Endpoint {
		var all []lacewingramp.Endpoint
		for i := range n {
			name := fmt.Sprint("edge-", i)
			all = append(all, lacewingramp.Endpoint{Name: name, Domain: domains[i%len(domains)], Peer: name + ":1"})
		}
		return all
	}
	watchers := func(all []lacewingramp.Endpoint) map[string]int {
		count := make(map[string]int)
		for _, self := range all {
			f := peerToFollow(self, append([]lacewingramp.Endpoint(nil), all...), regions)
			if f == "" {
				f = self.Peer
			}
			count[f]++
		}
		return count
	}

	ginkgo.It("is one of two watchers in two regions, at any fleet size", func() {
		for _, n := range []int{3, 8, 69, 300} {
			gomega.Expect(watchers(fleet(n, "a", "b", "c"))).To(gomega.HaveLen(2), "%d instances", n)
		}
	})

	ginkgo.It("is one of two watchers in a single region, and none for a single instance", func() {
		gomega.Expect(watchers(fleet(5, "a"))).To(gomega.HaveLen(1 + 1))
		gomega.Expect(watchers(fleet(1, "a"))).To(gomega.HaveLen(1))
	})

	ginkgo.It("is another instance if this one cannot reach the store, and none if no instance can", func() {
		all := fleet(4, "a", "b")
		gomega.Expect(peerToFollow(all[0], all[1:], regions)).NotTo(gomega.BeEmpty())
		gomega.Expect(peerToFollow(all[0], nil, regions)).To(gomega.BeEmpty())
	})
})
