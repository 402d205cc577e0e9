package placement_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// boundCustomers returns customers of which one, with a fraction of all requests, is bound to
// the south.
func boundCustomers(fraction float64) []lacewingramp.Customer {
	return []lacewingramp.Customer{
		{Name: "bound", Rate: 1000 * fraction, Regions: lacewingramp.NameList{"south"}},
		{Name: "free", Rate: 1000 * (1 - fraction)},
	}
}

// newUnevenPlacer returns a Placer of an instance in the south, where there are fewer targets
// than in the north.
func newUnevenPlacer(self string, north, south int) *placement.Placer {
	p := &placement.Placer{Self: self, Regions: regions, HomeRegion: "south"}
	p.Configure([]lacewingramp.Service{service()})
	p.SetInstances(endpoints(self), 1)
	for i := range north + south {
		domain := "a"
		if i >= north {
			domain = "b"
		}
		p.Update(start, registration(i, domain, 9))
	}
	return p
}

// fractionAtHome returns the fraction of objects that a Placer in the south sends to the south.
func fractionAtHome(now time.Time, p *placement.Placer, q placement.Query) float64 {
	const objects = 2000
	n := 0
	for i := range objects {
		q.Object = fmt.Sprint(i)
		c := p.Choose(now, q)
		gomega.Expect(c.Target).NotTo(gomega.BeNil())
		if c.Target.Domain == "b" {
			n++
		}
		p.Cancel(c.Target.Name)
	}
	return float64(n) / objects
}

// Pattern: a region with few targets to which customers with many requests are bound.
var _ = ginkgo.Describe("a region with few targets", func() {
	ginkgo.It("is kept for the customers that are bound to it", func() {
		p := newUnevenPlacer("x", 90, 10)
		gomega.Expect(fractionAtHome(start, p, query(""))).To(gomega.BeNumerically(">", 0.25))
		p = newUnevenPlacer("x", 90, 10)
		p.SetCustomers(boundCustomers(0.15))
		gomega.Expect(fractionAtHome(start, p, query(""))).To(gomega.BeNumerically("<", 0.02))
		bound := query("")
		bound.CustomerRegions = lacewingramp.NameList{"south"}
		gomega.Expect(fractionAtHome(start, p, bound)).To(gomega.Equal(1.0))
	})

	ginkgo.It("keeps the objects for which the bound customers leave room", func() {
		p := newUnevenPlacer("x", 50, 50)
		p.SetCustomers(boundCustomers(0.1))
		gomega.Expect(fractionAtHome(start, p, query(""))).To(gomega.BeNumerically("~", 0.76, 0.05))
	})

	ginkgo.It("is chosen alike by all instances of a region", func() {
		first, second := newUnevenPlacer("x", 90, 10), newUnevenPlacer("y", 90, 10)
		for _, p := range []*placement.Placer{first, second} {
			p.SetCustomers(boundCustomers(0.05))
		}
		for i := range 200 {
			q := query(fmt.Sprint(i))
			gomega.Expect(first.Choose(start, q).Target).To(gomega.Equal(second.Choose(start, q).Target))
		}
	})

	ginkgo.It("is used when all targets elsewhere are evacuated", func() {
		p := newUnevenPlacer("x", 20, 4)
		p.SetCustomers(boundCustomers(0.5))
		p.Evacuate(start, "a", true)
		gomega.Expect(fractionAtHome(start, p, query(""))).To(gomega.Equal(1.0))
	})

	ginkgo.It("gains and loses few objects a second when a table changes the rates", func() {
		p := newUnevenPlacer("x", 90, 10)
		p.SetCustomers(boundCustomers(0.15))
		at := fractionAtHome(start, p, query(""))
		now := start.Add(3 * time.Second)
		for _, fraction := range []float64{0.001, 0.15} {
			p.SetCustomers(boundCustomers(fraction))
			for range 15 {
				now = now.Add(3 * time.Second / 2)
				next := fractionAtHome(now, p, query(""))
				gomega.Expect(next).To(gomega.BeNumerically("~", at, 0.05))
				at = next
			}
			if fraction < 0.15 {
				gomega.Expect(at).To(gomega.BeNumerically(">", 0.25))
			}
		}
		gomega.Expect(at).To(gomega.BeNumerically("<", 0.02))
	})

	ginkgo.It("counts customers without a rate as the mean of the others", func() {
		p := newUnevenPlacer("x", 90, 10)
		p.SetCustomers([]lacewingramp.Customer{{Name: "bound", Regions: lacewingramp.NameList{"south"}}, {Name: "free"}})
		gomega.Expect(fractionAtHome(start, p, query(""))).To(gomega.BeNumerically("<", 0.02))
	})
})

// Guards against a full region that is cold for its bound customers: each of their objects was at
// two targets, which could remember half of them.
var _ = ginkgo.Describe("a request that is bound to a region", func() {
	const slots = 9
	bound := query("17")
	bound.CustomerRegions = lacewingramp.NameList{"south"}
	// load has all targets report a number of requests, but that of the object, which is full.
	load := func(p *placement.Placer, running int) (first string) {
		c := p.Choose(start, bound)
		p.Cancel(c.Target.Name)
		for i := range 4 {
			r := placement.Report{Target: fmt.Sprint("t", i), TargetLoad: &lacewingramp.TargetLoad{Running: running, Slots: slots}}
			if r.Target == c.Target.Name {
				r.TargetLoad.Running, r.TargetLoad.Waiting = slots, slots+1
			}
			p.Done(start, r)
		}
		return c.Target.Name
	}

	ginkgo.It("does not evict others' objects from a second target without a free slot", func() {
		p := newUnevenPlacer("x", 0, 4)
		load(p, slots)
		c := p.Choose(start, bound)
		gomega.Expect(c.Target).To(gomega.BeNil())
		gomega.Expect(c.Full).To(gomega.BeTrue())
	})

	ginkgo.It("goes to a second target with a free slot", func() {
		p := newUnevenPlacer("x", 0, 4)
		first := load(p, slots-2)
		c := p.Choose(start, bound)
		gomega.Expect(c.Target).NotTo(gomega.BeNil())
		gomega.Expect(c.Target.Name).NotTo(gomega.Equal(first))
	})
})
