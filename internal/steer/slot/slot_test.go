package slot

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

var startTime = time.Unix(1_800_000_000, 0)

const serviceName = "recipes"

func targets(n, slots int) []lacewingramp.Target {
	var all []lacewingramp.Target
	for i := range n {
		all = append(all, lacewingramp.Target{Name: fmt.Sprintf("t%d", i), Service: serviceName, Slots: slots, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Version: "v1"})
	}
	return all
}

func newFullPool(n, slots int) *Pool {
	p := NewPool(1)
	p.Configure(startTime.Add(-time.Minute), targets(n, slots))
	for s := range quota.Shards {
		p.Hold(startTime, s)
	}
	return p
}

func newRequest(ticket int, customer string) Request {
	return Request{Ticket: Ticket(ticket), Service: serviceName, Customer: customer, Weight: 1, Deadline: startTime.Add(time.Minute)}
}

var _ = ginkgo.Describe("slots", func() {
	ginkgo.It("are never exceeded while shards move between instances", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			now := startTime
			list := targets(3, 4)
			pools := []*Pool{NewPool(1), NewPool(2), NewPool(3)}
			for _, p := range pools {
				p.Configure(now.Add(-time.Minute), list)
			}
			holder := make([]int, quota.Shards)
			for s := range holder {
				pools[0].Hold(now, s)
			}
			running := make(map[string]int)
			type run struct {
				pool  int
				grant Grant
			}
			var runs []run
			addRun := func(pool int, g Grant) {
				running[g.Target.Name]++
				runs = append(runs, run{pool, g})
			}
			ticket := 0
			t.Repeat(map[string]func(*rapid.T){
				"acquire": func(t *rapid.T) {
					i := rapid.IntRange(0, 2).Draw(t, "pool")
					ticket++
					if g, ok := pools[i].Acquire(now, newRequest(ticket, "a")); ok {
						addRun(i, g)
					} else {
						pools[i].Enqueue(now, newRequest(ticket, "a"))
					}
				},
				"release": func(t *rapid.T) {
					if len(runs) == 0 {
						return
					}
					i := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
					r := runs[i]
					runs = append(runs[:i], runs[i+1:]...)
					running[r.grant.Target.Name]--
					o := rapid.SampledFrom([]Outcome{OutcomeResponded, OutcomeFailed, OutcomeShed, OutcomeConnectionLost, OutcomeAborted}).Draw(t, "outcome")
					for _, g := range pools[r.pool].Release(now, r.grant, o) {
						addRun(r.pool, g)
					}
				},
				"hand over shard": func(t *rapid.T) {
					s, to := rapid.IntRange(0, quota.Shards-1).Draw(t, "shard"), rapid.IntRange(0, 2).Draw(t, "to")
					if from := holder[s]; from != to && pools[from].Drop(now, s) {
						holder[s] = to
						for _, g := range pools[to].Hold(now, s) {
							addRun(to, g)
						}
					}
				},
				"advance": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
					for i, p := range pools {
						for _, g := range p.Tick(now) {
							addRun(i, g)
						}
					}
				},
				"": func(t *rapid.T) {
					for _, target := range list {
						if running[target.Name] > target.Slots {
							t.Fatalf("%s runs %d in %d slots", target.Name, running[target.Name], target.Slots)
						}
					}
				},
			})
		})
	})

	ginkgo.It("are divided by the customers' weights when all of them have queued requests", func() {
		p := newFullPool(1, 1)
		g, _ := p.Acquire(startTime, newRequest(0, "first"))
		for i := 1; i <= 40; i++ {
			p.Enqueue(startTime, newRequest(i, "greedy"))
		}
		for i := 41; i <= 50; i++ {
			r := newRequest(i, "small")
			r.Weight = 2
			p.Enqueue(startTime, r)
		}
		small := 0
		for range 15 {
			g = p.Release(startTime, g, OutcomeResponded)[0]
			if g.Ticket > 40 {
				small++
			}
		}
		gomega.Expect(small).To(gomega.BeNumerically("~", 10, 1))
	})

	ginkgo.It("go to deferrable requests last, but no later than after the maximum wait", func() {
		p := newFullPool(1, 1)
		g, _ := p.Acquire(startTime, newRequest(0, "a"))
		r := newRequest(1, "a")
		r.Deferrable = true
		p.Enqueue(startTime, r)
		p.Enqueue(startTime.Add(time.Millisecond), newRequest(2, "a"))
		g = p.Release(startTime.Add(time.Second), g, OutcomeResponded)[0]
		gomega.Expect(g.Ticket).To(gomega.Equal(Ticket(2)))
		p.Enqueue(startTime.Add(time.Second), newRequest(3, "a"))
		g = p.Release(startTime.Add(maxDeferrableWait+time.Second), g, OutcomeResponded)[0]
		gomega.Expect(g.Ticket).To(gomega.Equal(Ticket(1)))
	})

	ginkgo.It("are not granted to requests whose deadline has passed", func() {
		p := newFullPool(1, 1)
		g, _ := p.Acquire(startTime, newRequest(0, "a"))
		late := newRequest(1, "a")
		late.Deadline = startTime.Add(time.Second)
		p.Enqueue(startTime, late)
		p.Enqueue(startTime, newRequest(2, "a"))
		g = p.Release(startTime.Add(2*time.Second), g, OutcomeResponded)[0]
		gomega.Expect(g.Ticket).To(gomega.Equal(Ticket(2)))
	})

	ginkgo.It("of a leaving target are not granted to new requests", func() {
		p := newFullPool(2, 2)
		list := targets(2, 2)
		list[0].Leaving = true
		p.Configure(startTime, list)
		p.RecordLeaving(startTime, "t1")
		_, ok := p.Acquire(startTime, newRequest(1, "a"))
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	ginkgo.It("of at most half of the targets are unused when all of them fail", func() {
		p := newFullPool(4, 8)
		now := startTime
		for i := range 400 {
			now = now.Add(time.Millisecond)
			g, ok := p.Acquire(now, newRequest(i, "a"))
			if ok {
				p.Release(now, g, OutcomeFailed)
			}
		}
		usable := 0
		for _, target := range p.targets {
			if target.usable(now) {
				usable++
			}
		}
		gomega.Expect(usable).To(gomega.Equal(2))
	})

	ginkgo.It("go to requests for the requested version, then for the fallback", func() {
		p := NewPool(1)
		list := targets(2, 1)
		list[1].Version = "v2"
		p.Configure(startTime, list)
		for s := range quota.Shards {
			p.Hold(startTime, s)
		}
		r := newRequest(1, "a")
		r.Version, r.Fallback = "v2", "v1"
		for _, want := range []string{"v2", "v1"} {
			g, ok := p.Acquire(startTime, r)
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(g.Target.Version).To(gomega.Equal(want))
		}
		r.Fallback = "v2"
		_, ok := p.Acquire(startTime, r)
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})
