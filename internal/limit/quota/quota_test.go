package quota

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lacewingramp.example/lacewingramp"
)

// roundingTolerance is the lowest level that can result from rounding errors alone.
const roundingTolerance = -1e-6

func drawDelivery(t *rapid.T) delivery {
	return delivery{
		delay:      time.Duration(rapid.IntRange(0, 4000).Draw(t, "delay")) * time.Millisecond,
		lost:       rapid.IntRange(0, 5).Draw(t, "lost") == 0,
		duplicated: rapid.IntRange(0, 5).Draw(t, "duplicated") == 0,
	}
}

// actions returns the events that can happen to a fleet, for rapid to repeat in random order.
func actions(f *fleet) map[string]func(*rapid.T) {
	instance := func(t *rapid.T) *instance { return rapid.SampledFrom(f.instances).Draw(t, "instance") }
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			f.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"take": func(t *rapid.T) { f.take(instance(t), rapid.IntRange(1, 80).Draw(t, "count")) },
		"drain": func(*rapid.T) {
			for _, n := range f.instances {
				f.take(n, 200)
			}
		},
		"borrow": func(t *rapid.T) {
			need := Need{
				Rate:   rapid.Float64Range(0, 200).Draw(t, "rate"),
				Tokens: rapid.Float64Range(0, 100).Draw(t, "tokens"),
				All:    rapid.IntRange(0, 4).Draw(t, "all") == 0,
			}
			f.borrow(instance(t), instance(t), need, drawDelivery(t), drawDelivery(t))
		},
		"extend": func(t *rapid.T) { f.extend(instance(t), drawDelivery(t), drawDelivery(t)) },
		"recall": func(t *rapid.T) { f.recall(instance(t), drawDelivery(t), drawDelivery(t)) },
		"return": func(t *rapid.T) { f.returnLoans(instance(t), drawDelivery(t)) },
		"hand": func(t *rapid.T) {
			n := instance(t)
			f.handOver(n.domain, rapid.IntRange(0, Shards-1).Draw(t, "shard"), n, drawDelivery(t))
		},
		"join": func(t *rapid.T) {
			if len(f.instances) < 12 {
				f.join(rapid.IntRange(0, len(f.domainShares)-1).Draw(t, "domain"))
			}
		},
		"kill": func(t *rapid.T) {
			if n := instance(t); !n.crashed {
				n.crashed, n.stoppedAt = true, f.now
			}
		},
		"pause": func(t *rapid.T) {
			n := instance(t)
			if f.running(n) {
				n.stoppedAt = f.now
				n.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(10, 15000).Draw(t, "pause")) * time.Millisecond)
			}
		},
		"inherit": func(t *rapid.T) { f.takeOver(instance(t)) },
		"resume":  func(t *rapid.T) { f.resume(instance(t)) },
	}
}

var _ = ginkgo.Describe("the quota of a fleet", func() {
	ginkgo.It("never admits more than rate × window + burst", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 3).Draw(t, "each"),
				lacewingramp.Limit{Rate: 100, Burst: 60})
			all := actions(f)
			all[""] = func(t *rapid.T) {
				if f.lowestLevel < roundingTolerance {
					t.Fatalf("admitted %g more than the limit", -f.lowestLevel)
				}
				if u := f.totalRate(); u > lacewingramp.WholeLimit {
					t.Fatalf("the allocations add up to %d of %d", u, lacewingramp.WholeLimit)
				}
				if p := f.usableAllocation(); p.Rate > lacewingramp.WholeLimit || p.Burst > lacewingramp.WholeLimit {
					t.Fatalf("rate %d and burst %d are in use of %d", p.Rate, p.Burst, lacewingramp.WholeLimit)
				}
			}
			t.Repeat(all)
		})
	})

	ginkgo.It("admits at most the larger of two limits while an edit propagates", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			f := newFleet(2, 2, lacewingramp.Limit{Rate: 100, Burst: 60})
			all := actions(f)
			all["edit"] = func(t *rapid.T) {
				l := lacewingramp.Limit{
					Rate:  rapid.Float64Range(1, 100).Draw(t, "rate"),
					Burst: rapid.Float64Range(1, 60).Draw(t, "burst"),
				}
				n := rapid.SampledFrom(f.instances).Draw(t, "instance")
				if f.running(n) {
					n.ledger.Configure(f.now, f.config(n.domain, l))
				}
			}
			all[""] = func(t *rapid.T) {
				if f.lowestLevel < roundingTolerance {
					t.Fatalf("admitted %g more than the limit", -f.lowestLevel)
				}
			}
			t.Repeat(all)
		})
	})

	ginkgo.It("reduces a share immediately and deducts what is lent from the loans when they end", func() {
		f := newFleet(1, 2, lacewingramp.Limit{Rate: 100, Burst: 60})
		lender, borrower := f.instances[0], f.instances[1]
		f.advance(time.Second)
		f.borrow(borrower, lender, Need{Rate: 80, Tokens: 40}, delivery{}, delivery{})
		f.advance(100 * time.Millisecond)
		gomega.Expect(borrower.ledger.SubjectState(subject).Borrowed).To(gomega.Equal(1))
		f.domainShares[0].Customers /= 4
		lender.ledger.Configure(f.now, f.config(0, f.limit))
		f.advance(5 * time.Second)
		gomega.Expect(f.totalRate()).To(gomega.Equal(lacewingramp.WholeLimit / 4))
	})

	ginkgo.It("admits a whole burst at one instance after it has borrowed", func() {
		f := newFleet(3, 2, lacewingramp.Limit{Rate: 120, Burst: 60})
		f.advance(10 * time.Second)
		burstInstance := f.instances[1]
		burstInstance.ledger.AddWaiting(subject, 50)
		for _, n := range f.instances {
			if n != burstInstance {
				f.borrow(burstInstance, n, Need{Tokens: 20}, delivery{}, delivery{})
			}
		}
		f.advance(200 * time.Millisecond)
		burstInstance.ledger.AddWaiting(subject, -50)
		f.take(burstInstance, 50)
		gomega.Expect(f.refused).To(gomega.BeZero())
	})

	ginkgo.It("does not extend a loan if a part of it was handed over with a shard", func() {
		f := newFleet(1, 3, lacewingramp.Limit{Rate: 100, Burst: 60})
		lender, borrower, newHolder := f.instances[0], f.instances[1], f.instances[2]
		f.advance(5 * time.Second)
		f.borrow(borrower, lender, Need{Rate: 80, Tokens: 50}, delivery{}, delivery{})
		f.advance(200 * time.Millisecond)
		for s := range Shards - 1 {
			f.handOver(0, s, newHolder, delivery{})
		}
		f.advance(1300 * time.Millisecond)
		f.extend(borrower, delivery{}, delivery{})
		for range 100 {
			f.advance(50 * time.Millisecond)
			gomega.Expect(f.usableAllocation().Rate).To(gomega.BeNumerically("<=", lacewingramp.WholeLimit))
		}
		gomega.Expect(f.totalRate()).To(gomega.Equal(lacewingramp.WholeLimit))
	})

	ginkgo.It("collects a small limit of a domain at one instance", func() {
		f := newFleet(1, 4, lacewingramp.Limit{Rate: 3, Burst: 2})
		for s := range Shards {
			f.handOver(0, s, f.instances[s%4], delivery{})
		}
		f.advance(10 * time.Second)
		for i, n := range f.instances {
			var names []string
			for j, o := range f.instances {
				if i != j {
					names = append(names, o.name)
				}
			}
			n.ledger.SetPeers(names, nil)
		}
		collector := f.byName(f.instances[0].ledger.collector(subject, f.instances[0].ledger.buckets[subject]))
		collector.ledger.AddWaiting(subject, 1)
		need, ok := collector.ledger.NeedOf(f.now, subject)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(need.All).To(gomega.BeTrue())
		for _, n := range f.instances {
			if n != collector {
				f.borrow(collector, n, need, delivery{}, delivery{})
			}
		}
		f.advance(200 * time.Millisecond)
		collector.ledger.AddWaiting(subject, -1)
		f.take(collector, 2)
		gomega.Expect(f.refused).To(gomega.BeZero())
	})

	ginkgo.It("lends everything of a small limit only to its collector", func() {
		f := newFleet(1, 2, lacewingramp.Limit{Rate: 30, Burst: 10})
		lender, borrower := f.instances[0], f.instances[1]
		f.handOver(0, 0, borrower, delivery{})
		f.advance(5 * time.Second)
		lender.ledger.SetPeers([]string{borrower.name}, nil)
		borrower.ledger.SetPeers([]string{lender.name}, nil)
		borrower.ledger.Leave()
		k := borrower.ledger.buckets[subject]
		gomega.Expect(borrower.ledger.collector(subject, k)).To(gomega.Equal(lender.name))
		held := lender.ledger.SubjectState(subject).Own
		_ = borrower.ledger.Take(f.now, subject)
		loanRequest := borrower.ledger.LoanRequest(f.now, Need{Subject: subject, All: true, Tokens: 1})
		lender.ledger.SetPeers(nil, nil)
		loan := lender.ledger.Lend(f.now, loanRequest)
		gomega.Expect(loan.Allocation.Burst).To(gomega.BeNumerically("<", held.Burst/2))
	})

	ginkgo.It("admits nothing after a pause until its shards are confirmed", func() {
		f := newFleet(1, 2, lacewingramp.Limit{Rate: 100, Burst: 60})
		f.advance(5 * time.Second)
		n := f.instances[0]
		n.stoppedAt = f.now
		n.pausedUntil = f.now.Add(8 * time.Second)
		f.advance(7 * time.Second)
		f.takeOver(f.instances[1])
		f.advance(2 * time.Second)
		f.take(n, 10)
		gomega.Expect(f.admitted).To(gomega.BeZero())
		f.resume(n)
		gomega.Expect(n.ledger.HeldShards()).To(gomega.BeEmpty())
	})
})
