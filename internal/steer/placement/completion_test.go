package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

const (
	warmWork = 144 * time.Millisecond
	coldWork = 480 * time.Millisecond
	// learning is the number of responses from which the work of a route is known.
	learning = 64
)

// awarePlacer returns a Placer of load-aware services that knows the work of the route "query".
func awarePlacer(targets int) (*placement.Placer, time.Time) {
	p := &placement.Placer{Self: "i", Regions: regions, HomeRegion: "north"}
	p.Configure([]lacewingramp.Service{{Name: "recipes"}})
	p.SetRoutes([]lacewingramp.Route{{Name: "upload", Upload: true}})
	p.SetInstances(endpoints("i"), 1)
	for i := range targets {
		p.Update(start, registration(i, []string{"a", "b"}[i%2], 3))
	}
	now := start
	for i := range learning {
		now = now.Add(200 * time.Millisecond)
		c := p.Choose(now, awareQuery(fmt.Sprint("learn", i)))
		took := warmWork
		if i%8 == 0 {
			took = coldWork
		}
		complete(p, now.Add(took), c, took, lacewingramp.TargetLoad{Slots: 3})
	}
	return p, now.Add(10 * time.Second)
}

func awareQuery(object string) placement.Query {
	q := query(object)
	q.Route, q.Objective, q.Remaining = "query", 400*time.Millisecond, 1500*time.Millisecond
	return q
}

// complete reports a response of a chosen target.
func complete(p *placement.Placer, now time.Time, c placement.Choice, took time.Duration, load lacewingramp.TargetLoad) {
	p.Done(now, placement.Report{
		Target: c.Target.Name, StartMillis: c.StartMillis, ChosenAt: c.ChosenAt, SentAt: c.ChosenAt, Took: took, Ran: true,
		Route: "query", RankingPosition: c.RankingPosition, Load: c.Load, TargetLoad: &load,
	})
}

// burst chooses targets for requests for an object at the same moment, and returns how many
// each target got, and a function that ends them all.
func burst(p *placement.Placer, now time.Time, object string, n int) (counts map[string]int, end func(time.Time)) {
	counts = make(map[string]int)
	var choices []placement.Choice
	for range n {
		if c := p.Choose(now, awareQuery(object)); c.Target != nil {
			counts[c.Target.Name]++
			choices = append(choices, c)
		}
	}
	return counts, func(now time.Time) {
		for _, c := range choices {
			complete(p, now, c, warmWork, lacewingramp.TargetLoad{Slots: 3})
		}
	}
}

var _ = ginkgo.Describe("a choice by completion time", func() {
	ginkgo.It("is the former one until the work of the route is known", func() {
		aware, former := &placement.Placer{Self: "i", Regions: regions, HomeRegion: "north"}, newPlacer("i", 20, 3)
		aware.SetRoutes([]lacewingramp.Route{{Upload: true}})
		aware.Configure([]lacewingramp.Service{service()})
		aware.SetInstances(endpoints("i"), 1)
		for i := range 20 {
			aware.Update(start, registration(i, []string{"a", "b"}[i%2], 3))
		}
		for i := range 50 {
			object := fmt.Sprint(i % 7)
			gomega.Expect(aware.Choose(start, awareQuery(object))).To(gomega.Equal(former.Choose(start, awareQuery(object))))
		}
	})

	ginkgo.It("does not apply to services that are not load-aware, whatever is learned", func() {
		p, former := newPlacer("i", 20, 3), newPlacer("i", 20, 3)
		for i := range 200 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			c, d := p.Choose(now, awareQuery("x")), former.Choose(now, query("x"))
			gomega.Expect(c).To(gomega.Equal(d))
			complete(p, now, c, warmWork, lacewingramp.TargetLoad{Slots: 3})
			complete(former, now, d, warmWork, lacewingramp.TargetLoad{Slots: 3})
		}
	})

	ginkgo.It("sends an object to the first target of its ranking, and says when it will end", func() {
		p, now := awarePlacer(20)
		first := p.Choose(now, awareQuery("x"))
		gomega.Expect(first.RankingPosition).To(gomega.Equal(0))
		gomega.Expect(first.Expected).To(gomega.BeNumerically("~", warmWork, 120*time.Millisecond))
		p.Cancel(first.Target.Name)
		gomega.Expect(p.Choose(now, awareQuery("x")).Target.Name).To(gomega.Equal(first.Target.Name))
	})

	// Load: a heavy object, an audit of 588 ms at 5 a second fills a target by itself.
	ginkgo.It("spreads an object over the next targets of its ranking, and returns when its load falls", func() {
		p, now := awarePlacer(20)
		alone, end := burst(p, now, "x", 1)
		end(now.Add(warmWork))
		now = now.Add(time.Second)
		many, end := burst(p, now, "x", 9)
		gomega.Expect(len(many)).To(gomega.BeNumerically(">=", 2))
		for _, n := range many {
			gomega.Expect(n).To(gomega.BeNumerically("<=", 6))
		}
		end(now.Add(warmWork))
		for range 10 {
			now = now.Add(time.Second)
			counts, end := burst(p, now, "x", 1)
			end(now.Add(warmWork))
			gomega.Expect(counts).To(gomega.Equal(alone))
		}
	})

	// Load: a target takes 2.5 times as long for 600 ms.
	ginkgo.It("passes over a slow target and returns to it", func() {
		p, now := awarePlacer(20)
		c := p.Choose(now, awareQuery("x"))
		complete(p, now.Add(warmWork), c, warmWork, lacewingramp.TargetLoad{Slots: 3, WorkPercent: 250})
		passed := p.Choose(now.Add(warmWork), awareQuery("x"))
		gomega.Expect(passed.Target.Name).NotTo(gomega.Equal(c.Target.Name))
		p.Cancel(passed.Target.Name)
		gomega.Expect(p.Choose(now.Add(3*time.Second), awareQuery("x")).Target.Name).To(gomega.Equal(c.Target.Name))
	})

	ginkgo.It("keeps what the former choice does for tried, paused, suspended and leaving targets, versions and regions", func() {
		p, now := awarePlacer(20)
		first := p.Choose(now, awareQuery("x"))
		p.Cancel(first.Target.Name)
		q := awareQuery("x")
		q.Tried = []string{first.Target.Name}
		second := p.Choose(now, q)
		gomega.Expect(second.Target.Name).NotTo(gomega.Equal(first.Target.Name))
		p.Done(now, placement.Report{Target: first.Target.Name, StartMillis: 1, RetryAfter: 500 * time.Millisecond, Shed: true})
		gomega.Expect(p.Choose(now, awareQuery("x")).Target.Name).To(gomega.Equal(second.Target.Name))
		p.MarkLeaving(now, lacewingramp.LeavingTarget{Target: second.Target.Name, StartMillis: 1})
		third := p.Choose(now, awareQuery("x"))
		gomega.Expect(third.Target.Name).NotTo(gomega.BeElementOf(first.Target.Name, second.Target.Name))
		p.Done(now, placement.Report{Target: third.Target.Name, StartMillis: 1, Unreachable: true})
		gomega.Expect(p.Choose(now, awareQuery("x")).Target.Name).NotTo(gomega.Equal(third.Target.Name))
		q = awareQuery("x")
		q.CustomerRegions = lacewingramp.NameList{"south"}
		gomega.Expect(p.Choose(now, q).Target.Domain).To(gomega.Equal("b"))
		q = awareQuery("x")
		q.Version = "v2"
		gomega.Expect(p.Choose(now, q).Target).To(gomega.BeNil())
		changed := registration(7, "b", 3)
		changed.Version, changed.StartMillis = "v2", 2
		p.Update(now, changed)
		gomega.Expect(p.Choose(now, q).Target.Name).To(gomega.Equal("t7"))
	})

	ginkgo.It("refuses at once what no target can end in time, and tells when there is room", func() {
		p, now := awarePlacer(2)
		q := awareQuery("x")
		for range 100 {
			if c := p.Choose(now, q); c.Target == nil {
				gomega.Expect(c.Full).To(gomega.BeTrue())
				gomega.Expect(c.RoomIn).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", q.Remaining)))
				q.Remaining = 20 * time.Millisecond
				gomega.Expect(p.Choose(now, q).RoomIn).To(gomega.BeZero())
				return
			}
		}
		ginkgo.Fail("all requests got a target")
	})

	// Failure guarded against: large bodies sent over the links between regions.
	ginkgo.It("prefers the own region for requests with large bodies", func() {
		p, now := awarePlacer(20)
		home := 0
		for i := range 40 {
			q := awareQuery(fmt.Sprint("o", i))
			q.Body = 360 << 10
			c := p.Choose(now, q)
			if c.Target.Domain == "a" {
				home++
			}
			p.Cancel(c.Target.Name)
		}
		gomega.Expect(home).To(gomega.Equal(40))
	})

	// Failure guarded against: responses that say nothing of the work move its estimate.
	ginkgo.It("does not learn from failures, garbage or responses around a pause", func() {
		p, now := awarePlacer(20)
		known := p.UsualWork("recipes", "query")
		p.Resume(now)
		for range 200 {
			p.Done(now, placement.Report{Target: "t1", Took: time.Minute, ChosenAt: now.Add(-time.Minute), Ran: true, Route: "query"})
			p.Done(now.Add(time.Second), placement.Report{Target: "t1", Took: time.Millisecond, Ran: true, Failed: true, Route: "query"})
			p.Done(now.Add(time.Second), placement.Report{Target: "t1", Took: -time.Hour, Ran: true, Route: "query"})
			p.Done(now.Add(time.Second), placement.Report{Target: "t1", Took: 500 * time.Millisecond, Ran: true, Route: "query", Load: 3, RankingPosition: -7})
		}
		gomega.Expect(p.UsualWork("recipes", "query")).To(gomega.Equal(known))
	})

	ginkgo.It("allocates nothing", func() {
		p, now := awarePlacer(400)
		chooseAndEnd := func() {
			c := p.Choose(now, awareQuery("x"))
			p.Cancel(c.Target.Name)
		}
		chooseAndEnd()
		gomega.Expect(testing.AllocsPerRun(1000, chooseAndEnd)).To(gomega.BeZero())
	})

	ginkgo.It("ranks again when targets come and go", func() {
		p, now := awarePlacer(20)
		c := p.Choose(now, awareQuery("x"))
		p.Cancel(c.Target.Name)
		p.Remove(c.Target.Name)
		other := p.Choose(now, awareQuery("x"))
		gomega.Expect(other.Target.Name).NotTo(gomega.Equal(c.Target.Name))
		p.Cancel(other.Target.Name)
		var back int
		_, err := fmt.Sscanf(c.Target.Name, "t%d", &back)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		p.Update(now, registration(back, []string{"a", "b"}[back%2], 3))
		gomega.Expect(p.Choose(now, awareQuery("x")).Target.Name).To(gomega.Equal(c.Target.Name))
	})
})

// BenchmarkChooseByCompletion measures a choice among 400 targets for many objects: with
// free targets, with targets that are busy, so that many are compared, and with all targets
// at their limits.
func BenchmarkChooseByCompletion(b *testing.B) {
	gomega.RegisterTestingT(b)
	for _, requests := range []int{0, 5, 8} {
		b.Run(fmt.Sprint("requests=", requests), func(b *testing.B) {
			p, now := awarePlacer(400)
			queries := make([]placement.Query, 300)
			for i := range queries {
				queries[i] = awareQuery(fmt.Sprint("o", i))
				p.Choose(now, queries[i])
			}
			for i := range 400 {
				for range 3 {
					p.Done(now, placement.Report{Target: fmt.Sprint("t", i), TargetLoad: &lacewingramp.TargetLoad{Running: min(3, requests), Waiting: max(0, requests-3)}})
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if c := p.Choose(now, queries[i%len(queries)]); c.Target != nil {
					p.Cancel(c.Target.Name)
				}
			}
		})
	}
}
