package placement_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// Guards against an instance that takes itself for cut off from all targets because none of
// those that it checks is in the part of the network that it reaches.
var _ = ginkgo.Describe("the targets that an instance checks", func() {
	const (
		domains, perDomain, perRegion = 42, 3, 6
		maxCount                      = 6
	)
	regionOf := func(domain int) string { return fmt.Sprint("region-", domain/perRegion) }
	var p *placement.Placer
	ginkgo.BeforeEach(func() {
		p = &placement.Placer{Regions: make(map[string]string), HomeRegion: regionOf(0)}
		for d := range domains {
			name := fmt.Sprint("domain-", d)
			p.Regions[name] = regionOf(d)
			for range perDomain {
				p.Update(start, registration(len(p.Names()), name, 3))
			}
		}
	})
	count := func(targets []lacewingramp.Target, matches func(domain string) bool) (n int) {
		for _, t := range targets {
			if matches(t.Domain) {
				n++
			}
		}
		return n
	}
	isOwn := func(domain string) bool { return domain == "domain-0" }
	isHome := func(domain string) bool { return p.Regions[domain] == p.HomeRegion && !isOwn(domain) }
	isFar := func(domain string) bool { return p.Regions[domain] != p.HomeRegion }

	ginkgo.It("begin in its failure domain, and are also in its region and in others", func() {
		for range 50 {
			spread := p.Spread(start, "domain-0", maxCount)
			gomega.Expect(spread).To(gomega.HaveLen(maxCount))
			gomega.Expect(spread[0].Domain).To(gomega.Equal("domain-0"))
			for _, matches := range []func(string) bool{isOwn, isHome, isFar} {
				gomega.Expect(count(spread, matches)).To(gomega.Equal(maxCount / 3))
			}
		}
	})

	ginkgo.It("are of other domains if its own has none that may be sent requests", func() {
		p.Evacuate(start, "domain-0", true)
		for range 50 {
			spread := p.Spread(start, "domain-0", maxCount)
			gomega.Expect(spread).To(gomega.HaveLen(maxCount))
			gomega.Expect(count(spread, isOwn)).To(gomega.BeZero())
			gomega.Expect(count(spread, isHome)).To(gomega.Equal(maxCount / 2))
		}
	})

	ginkgo.It("are all that there are if they are few", func() {
		one := &placement.Placer{Regions: map[string]string{"a": "north"}, HomeRegion: "north"}
		gomega.Expect(one.Spread(start, "a", maxCount)).To(gomega.BeEmpty())
		one.Update(start, registration(0, "a", 3))
		gomega.Expect(one.Spread(start, "a", maxCount)).To(gomega.HaveLen(1))
	})
})
