package placement_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

var start = time.Unix(1_800_000_000, 0)

var regions = map[string]string{"a": "north", "b": "south"}

const (
	warmup   = 3 * time.Second
	coldRate = 7.3
)

func service() lacewingramp.Service {
	return lacewingramp.Service{Name: "recipes", Warmup: lacewingramp.Duration(warmup), ColdRate: coldRate}
}

func registration(i int, domain string, slots int) lacewingramp.TargetRegistration {
	return lacewingramp.TargetRegistration{
		Target: lacewingramp.Target{
			Name: fmt.Sprintf("t%d", i), Service: "recipes", Domain: domain, Version: "v1",
			Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: slots,
		},
		StartMillis: 1,
	}
}

// endpoints returns instances in both regions.
func endpoints(names ...string) []lacewingramp.Endpoint {
	var all []lacewingramp.Endpoint
	for i, n := range names {
		all = append(all, lacewingramp.Endpoint{Name: n, Domain: []string{"a", "b"}[i%2]})
	}
	return all
}

// newPlacer returns a Placer with targets in both regions.
func newPlacer(self string, targets, slots int) *placement.Placer {
	p := &placement.Placer{Self: self, Regions: regions, HomeRegion: "north"}
	p.Configure([]lacewingramp.Service{service()})
	p.SetInstances(endpoints(self), 1)
	for i := range targets {
		p.Update(start, registration(i, []string{"a", "b"}[i%2], slots))
	}
	return p
}

func query(object string) placement.Query {
	return placement.Query{Service: "recipes", Object: object}
}

var _ = ginkgo.Describe("choosing a target", func() {
	ginkgo.It("gives the same result at all instances of a region", func() {
		one, other := newPlacer("one", 12, 3), newPlacer("other", 12, 3)
		for i := range 200 {
			object := fmt.Sprint(i)
			a, b := one.Choose(start, query(object)), other.Choose(start, query(object))
			gomega.Expect(a.Target.Name).To(gomega.Equal(b.Target.Name))
			one.Cancel(a.Target.Name)
			other.Cancel(b.Target.Name)
		}
	})

	ginkgo.It("moves only the objects of a target that is removed", func() {
		before, after := newPlacer("one", 12, 3), newPlacer("one", 12, 3)
		after.Remove("t3")
		moved := 0
		for i := range 500 {
			a, b := before.Choose(start, query(fmt.Sprint(i))), after.Choose(start, query(fmt.Sprint(i)))
			if a.Target.Name != "t3" {
				gomega.Expect(b.Target.Name).To(gomega.Equal(a.Target.Name))
			} else {
				moved++
			}
			before.Cancel(a.Target.Name)
			after.Cancel(b.Target.Name)
		}
		gomega.Expect(moved).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("prefers targets of the instance's own region", func() {
		p := newPlacer("one", 12, 3)
		home := 0
		for i := range 1000 {
			c := p.Choose(start, query(fmt.Sprint(i)))
			if c.Target.Domain == "a" {
				home++
			}
			p.Cancel(c.Target.Name)
		}
		gomega.Expect(home).To(gomega.BeNumerically("~", 750, 60))
	})

	// Pattern: a route without affinity in a deployment with hundreds of instances, most of which
	// have no other request in flight.
	ginkgo.It("spreads requests without an object over the targets, over all instances", func() {
		requests := make(map[string]int)
		near := 0
		for i := range 300 {
			p := newPlacer(fmt.Sprint("instance", i), 40, 3)
			for range 2 {
				c := p.Choose(start, query(""))
				gomega.Expect(c.Target).NotTo(gomega.BeNil())
				requests[c.Target.Name]++
				if c.Target.Domain == "a" {
					near++
				}
			}
		}
		gomega.Expect(requests).To(gomega.HaveLen(40))
		for name, n := range requests {
			gomega.Expect(n).To(gomega.BeNumerically("<=", 60), name)
		}
		gomega.Expect(near).To(gomega.BeNumerically(">", 400))
	})

	ginkgo.It("sends requests without an object to targets with a free slot first", func() {
		p := newPlacer("x", 4, 3)
		for range 12 {
			gomega.Expect(p.Choose(start, query("")).Load).To(gomega.BeNumerically("<=", 1))
		}
		gomega.Expect(p.Choose(start, query("")).Full).To(gomega.BeTrue())
	})

	ginkgo.It("uses two targets for a burst of requests for one object and refuses the rest", func() {
		p := newPlacer("one", 12, 8)
		seen := make(map[string]bool)
		full := 0
		for range 100 {
			c := p.Choose(start, query("17"))
			if c.Target == nil {
				gomega.Expect(c.Full).To(gomega.BeTrue())
				full++
				continue
			}
			seen[c.Target.Name] = true
		}
		gomega.Expect(seen).To(gomega.HaveLen(2))
		gomega.Expect(full).To(gomega.BeNumerically(">", 50))
	})

	ginkgo.It("avoids a target that reports that it is full until the report expires", func() {
		p := newPlacer("one", 2, 3)
		c := p.Choose(start, query("17"))
		first := c.Target.Name
		p.Done(start, placement.Report{Target: first, TargetLoad: &lacewingramp.TargetLoad{Running: 3, Waiting: 6, Slots: 3}})
		gomega.Expect(p.Choose(start, query("17")).Target.Name).NotTo(gomega.Equal(first))
		gomega.Expect(p.Choose(start.Add(2*time.Second), query("17")).Target.Name).To(gomega.Equal(first))
	})

	ginkgo.It("respects versions, regions, evacuations and leaving targets", func() {
		p := newPlacer("one", 12, 3)
		q := query("17")
		q.Version = "v2"
		gomega.Expect(p.Choose(start, q)).To(gomega.Equal(placement.Choice{}))
		q = query("17")
		q.RouteRegions, q.CustomerRegions = lacewingramp.NameList{"south", "north"}, lacewingramp.NameList{"south"}
		gomega.Expect(p.Choose(start, q).Target.Domain).To(gomega.Equal("b"))
		p.Evacuate(start, "b", true)
		gomega.Expect(p.Choose(start, q).Target).To(gomega.BeNil())
		for i := range 12 {
			r := registration(i, []string{"a", "b"}[i%2], 3)
			r.Leaving = true
			p.Update(start, r)
		}
		gomega.Expect(p.Choose(start, query("17"))).To(gomega.Equal(placement.Choice{}))
	})

	ginkgo.It("returns a target that may be used until it leaves, is removed or is in an evacuated domain", func() {
		p := newPlacer("one", 12, 3)
		c := p.Choose(start, query("17"))
		gomega.Expect(p.MayServe(start, c.Target)).To(gomega.BeTrue())
		p.Evacuate(start, c.Target.Domain, true)
		gomega.Expect(p.MayServe(start, c.Target)).To(gomega.BeFalse())
		p.Evacuate(start, c.Target.Domain, false)
		gomega.Expect(p.MayServe(start, c.Target)).To(gomega.BeTrue())
		r := lacewingramp.TargetRegistration{Target: *c.Target, StartMillis: 1}
		r.Leaving = true
		p.Update(start, r)
		gomega.Expect(p.MayServe(start, c.Target)).To(gomega.BeFalse())
		p.Remove(c.Target.Name)
		gomega.Expect(p.MayServe(start, c.Target)).To(gomega.BeFalse())
	})

	ginkgo.It("suspends an unreachable target for twice as long after each failure", func() {
		p := newPlacer("one", 1, 3)
		now := start
		for _, wait := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
			c := p.Choose(now, query("17"))
			gomega.Expect(c.Target).NotTo(gomega.BeNil())
			p.Done(now, placement.Report{Target: c.Target.Name, Unreachable: true})
			gomega.Expect(p.Choose(now.Add(wait-time.Millisecond), query("17")).Target).To(gomega.BeNil())
			now = now.Add(wait + time.Millisecond)
		}
	})

	ginkgo.It("discards the state of a target that restarts under its name", func() {
		p := newPlacer("one", 1, 3)
		for range 3 {
			gomega.Expect(p.Choose(start, query("17")).Target).NotTo(gomega.BeNil())
		}
		gomega.Expect(p.Choose(start, query("17")).Target).To(gomega.BeNil())
		r := registration(0, "a", 3)
		r.StartMillis = 2
		gomega.Expect(p.Update(start, r)).To(gomega.Equal("10.0.0.0:80"))
		gomega.Expect(p.Choose(start, query("17")).Target).NotTo(gomega.BeNil())
	})
})

// maxSent has the instances choose targets for requests during one second and
// returns the largest number of requests sent to one target.
func maxSent(now time.Time, all []*placement.Placer) int {
	sent := make(map[string]int)
	for i := range 1000 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		for _, p := range all {
			if c := p.Choose(at, query(fmt.Sprint(i%40))); c.Target != nil && !c.NeedsProbe && !c.NeedsToken {
				sent[c.Target.Name]++
				p.Cancel(c.Target.Name)
			}
		}
	}
	n := 0
	for _, v := range sent {
		n = max(n, v)
	}
	return n
}

var _ = ginkgo.Describe("the request rate of a cold target over all instances", func() {
	const (
		instances = 8
		allowed   = coldRate*1.5 + 5
	)
	fleet := func() []*placement.Placer {
		var names []string
		for i := range instances {
			names = append(names, fmt.Sprintf("edge-%d", i))
		}
		var all []*placement.Placer
		for _, n := range names {
			p := newPlacer(n, 4, 30)
			p.SetInstances(endpoints(names...), instances)
			all = append(all, p)
		}
		return all
	}

	ginkgo.It("is limited when targets report that they are cold", func() {
		all := fleet()
		for _, p := range all {
			for i := range 4 {
				r := registration(i, "a", 30)
				r.WarmupRemaining = warmup
				p.Update(start, r)
			}
		}
		n := maxSent(start, all)
		gomega.Expect(n).To(gomega.And(gomega.BeNumerically("<=", allowed), gomega.BeNumerically(">", 0)))
	})

	ginkgo.It("is limited when an evacuation ends", func() {
		all := fleet()
		for _, p := range all {
			for _, d := range []string{"a", "b"} {
				p.Evacuate(start, d, true)
				p.Evacuate(start.Add(time.Second), d, false)
			}
		}
		gomega.Expect(maxSent(start.Add(time.Second), all)).To(gomega.BeNumerically("<=", allowed))
	})

	ginkgo.It("is limited when all instances restart and know neither each other nor the targets", func() {
		all := fleet()
		for _, p := range all {
			p.StartedAt = start
			p.SetInstances(endpoints(p.Self), instances)
			for i := range 4 {
				p.RecordProbeFailure(fmt.Sprintf("t%d", i))
			}
		}
		n := maxSent(start, all)
		gomega.Expect(n).To(gomega.And(gomega.BeNumerically("<=", allowed), gomega.BeNumerically(">", 0)))
	})

	ginkgo.It("is not limited for a target whose probe shows that it is warm", func() {
		p := newPlacer("edge-0", 1, 30)
		p.StartedAt = start
		p.SetInstances(endpoints("edge-0"), instances)
		c := p.Choose(start, query("1"))
		gomega.Expect(c.NeedsProbe).To(gomega.BeTrue())
		gomega.Expect(c.Target.Name).To(gomega.Equal("t0"))
		p.RecordProbe(start, placement.Report{Target: "t0"})
		gomega.Expect(p.Choose(start, query("1")).NeedsProbe).To(gomega.BeFalse())
		gomega.Expect(maxSent(start, []*placement.Placer{p})).To(gomega.Equal(1000))
	})

	ginkgo.It("does not keep other targets from serving the objects of one that does not respond to its probe", func() {
		p := newPlacer("edge-0", 12, 30)
		p.StartedAt = start
		p.SetInstances(endpoints("edge-0"), instances)
		served := 0
		for i := range 200 {
			for {
				c := p.Choose(start, query(fmt.Sprint(i)))
				if c.Target == nil {
					break
				}
				if !c.NeedsProbe {
					served++
					p.Cancel(c.Target.Name)
					break
				}
				if c.Target.Name == "t0" || c.Target.Name == "t1" {
					p.RecordProbeFailure(c.Target.Name)
				} else {
					p.RecordProbe(start, placement.Report{Target: c.Target.Name})
				}
			}
		}
		gomega.Expect(served).To(gomega.Equal(200))
	})
})

var _ = ginkgo.Describe("objects under sustained load", func() {
	// sustained is how long reportLoad has a target report the given load.
	const sustained = 4 * time.Second
	reportLoad := func(p *placement.Placer, now time.Time, name string, running, waiting int) {
		for i := range 80 {
			at := now.Add(time.Duration(i) * 50 * time.Millisecond)
			p.Done(at, placement.Report{Target: name, TargetLoad: &lacewingramp.TargetLoad{Running: running, Waiting: waiting, Slots: 8}})
		}
	}
	targetOf := func(p *placement.Placer, now time.Time, object string) string {
		c := p.Choose(now, query(object))
		p.Cancel(c.Target.Name)
		return c.Target.Name
	}

	// objectsOn returns objects whose first target is t0.
	objectsOn := func(p *placement.Placer) (objects []string) {
		for i := range 40 {
			if o := fmt.Sprint(i); targetOf(p, start, o) == "t0" {
				objects = append(objects, o)
			}
		}
		return objects
	}
	// movedFrom returns the objects that a Placer moves from the full target t0 to t1.
	movedFrom := func(p *placement.Placer, objects []string) map[string]bool {
		reportLoad(p, start, "t0", 8, 0)
		reportLoad(p, start, "t1", 2, 0)
		moved := make(map[string]bool)
		for range 3 {
			for _, o := range objects {
				if targetOf(p, start.Add(sustained), o) == "t1" {
					moved[o] = true
				}
			}
		}
		return moved
	}

	ginkgo.It("move one at a time from a full target to one that is not, and stay there", func() {
		p := newPlacer("one", 0, 8)
		for i := range 2 {
			p.Update(start, registration(i, "a", 8))
		}
		moved := movedFrom(p, objectsOn(p))
		gomega.Expect(moved).To(gomega.HaveLen(1))
		now := start.Add(sustained)
		reportLoad(p, now, "t0", 1, 0)
		for o := range moved {
			gomega.Expect(targetOf(p, now.Add(sustained), o)).To(gomega.Equal("t1"))
		}
	})

	// Guards against a region whose objects run further and further away, as none returns.
	ginkgo.It("do not move to another region", func() {
		p := newPlacer("one", 2, 8)
		gomega.Expect(movedFrom(p, objectsOn(p))).To(gomega.BeEmpty())
	})

	ginkgo.It("are not moved when all targets are full", func() {
		p := newPlacer("one", 2, 8)
		before := targetOf(p, start, "17")
		reportLoad(p, start, "t0", 8, 4)
		reportLoad(p, start, "t1", 8, 4)
		gomega.Expect(targetOf(p, start.Add(sustained), "17")).To(gomega.Equal(before))
	})
})
