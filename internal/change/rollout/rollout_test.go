package rollout

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

var _ = ginkgo.Describe("rollouts", func() {
	ginkgo.It("are done in time for good versions and rolled back for bad ones, in 240 cases", func() {
		var good, done, bad, rolledBack, lateRequests int
		var exposed []int64
		for seed := range uint64(24) {
			r := rand.New(rand.NewPCG(seed, 1))
			for i, b := range behaviours(r) {
				x := newSimulation(seed*100+uint64(i), b, 60+240*r.Float64(), 2*time.Minute)
				states := x.run()
				lateRequests += int(x.lateRequests)
				if !b.bad {
					good++
					if allIn(states, "done") {
						done++
					} else {
						ginkgo.GinkgoWriter.Println("good not done:", seed, b.name, x.managers[0].Statuses(start.Add(x.window)))
					}
					continue
				}
				bad++
				exposed = append(exposed, x.faultyRequests)
				if allIn(states, "rolledback") {
					rolledBack++
				} else {
					ginkgo.GinkgoWriter.Println("bad not rolled back:", seed, b.name, states, x.managers[0].Statuses(start.Add(x.window)))
				}
			}
		}
		sortInts(exposed)
		ginkgo.GinkgoWriter.Printf("good done %d of %d, bad rolled back %d of %d, faulty requests median %d max %d, requests on the new version after the exchange %d\n",
			done, good, rolledBack, bad, exposed[len(exposed)/2], exposed[len(exposed)-1], lateRequests)
		gomega.Expect(float64(done)).To(gomega.BeNumerically(">=", 0.99*float64(good)))
		gomega.Expect(rolledBack).To(gomega.Equal(bad))
		gomega.Expect(lateRequests).To(gomega.BeZero())
	})

	ginkgo.It("give a new version at most its share over all instances", func() {
		x := newSimulation(1, behaviour{failureRate: noFailures, timeFactor: normalTime}, 100, 4*time.Minute)
		var total, newRequests int
		for range 50 {
			for _, m := range x.managers {
				m.Tick(start, start)
				v, _ := m.Choose(start, service, "")
				m.RecordSent(start, service, v)
				total++
				if v == "v2" {
					newRequests++
				}
				gomega.Expect(float64(newRequests)).To(gomega.BeNumerically("<=", x.share*float64(total)+1e-9))
			}
		}
		gomega.Expect(newRequests).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("are rolled back at all instances when an operator cancels them, and stay so", func() {
		x := newSimulation(2, behaviour{failureRate: noFailures, timeFactor: normalTime}, 100, 4*time.Minute)
		t := x.table()
		t.Rollouts[0].Cancelled = true
		x.managers[0].Tick(start, start)
		x.managers[0].Configure(t)
		x.managers[0].Tick(start.Add(time.Second), start)
		x.exchange(start.Add(time.Second))
		for _, m := range x.managers {
			m.Tick(start.Add(2*time.Second), start)
			gomega.Expect(m.Statuses(start)[0].State).To(gomega.Equal(StateRolledBack))
			m.Configure(x.table())
			m.Record(nil, []lacewingramp.RolloutOutcome{{Rollout: "move", Start: start, State: string(StateDone)}})
			gomega.Expect(m.Statuses(start)[0].State).To(gomega.Equal(StateRolledBack))
			v, _ := m.Choose(start, service, "")
			gomega.Expect(v).To(gomega.Equal("v1"))
		}
	})

	ginkgo.It("are rolled back by the deadline if the new version runs too few requests", func() {
		x := newSimulation(3, behaviour{failureRate: noFailures, timeFactor: normalTime}, 0.2, time.Minute)
		gomega.Expect(allIn(x.run(), "rolledback")).To(gomega.BeTrue())
	})

	ginkgo.It("are rolled back at every instance, even one that is cut off from the others", func() {
		x := newSimulation(4, behaviour{failureRate: func(int, float64, float64) float64 { return 0.5 }, timeFactor: normalTime}, 200, 4*time.Minute)
		x.isolated = 3
		gomega.Expect(allIn(x.run(), "rolledback")).To(gomega.BeTrue())
	})

	ginkgo.It("count no request twice when reports arrive late or repeatedly", func() {
		m := NewManager("a")
		x := newSimulation(5, behaviour{failureRate: noFailures, timeFactor: normalTime}, 1, time.Minute)
		m.Configure(x.table())
		m.Tick(start, start)
		key := rolloutID("move", start)
		e := lacewingramp.RolloutStats{Instance: "b", Rollout: key, Service: service, Route: "r", Version: "v2", RequestCount: 10, Failures: 2}
		for range 3 {
			m.Record([]lacewingramp.RolloutStats{e}, nil)
		}
		older := e
		older.RequestCount, older.Failures = 5, 1
		m.Record([]lacewingramp.RolloutStats{older}, nil)
		gomega.Expect(m.rollouts[key].routes["r"].new.total()).To(gomega.Equal(counters{count: 10, failures: 2, compared: 10, loaded: 10}))
	})

	ginkgo.It("can be under way for two services at the same time", func() {
		m := NewManager("a")
		t := newSimulation(6, behaviour{failureRate: noFailures, timeFactor: normalTime}, 1, time.Minute).table()
		t.Versions = append(t.Versions, lacewingramp.Version{Name: "o1", Service: "orders"}, lacewingramp.Version{Name: "o2", Service: "orders"})
		t.Rollouts = append(t.Rollouts, lacewingramp.Rollout{
			Name: "other", Service: "orders", Version: "o2", CanaryFraction: 1, Start: start, Deadline: start.Add(time.Minute),
		})
		m.Configure(t)
		m.Tick(start, start)
		v, fallback := m.Choose(start, "orders", "")
		gomega.Expect(fmt.Sprint(v, fallback)).To(gomega.Equal("o2o1"))
	})
})

func sortInts(all []int64) {
	for i := range all {
		for j := i; j > 0 && all[j] < all[j-1]; j-- {
			all[j], all[j-1] = all[j-1], all[j]
		}
	}
}
