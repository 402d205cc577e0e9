package quota

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lacewingramp.example/lacewingramp"
)

// slack allows for the rounding of floating point sums.
const slack = -1e-6

func drawTransit(t *rapid.T) transit {
	return transit{
		delay: time.Duration(rapid.IntRange(0, 4000).Draw(t, "delay")) * time.Millisecond,
		lost:  rapid.IntRange(0, 5).Draw(t, "lost") == 0,
		twice: rapid.IntRange(0, 5).Draw(t, "twice") == 0,
	}
}

// actions are everything that can happen to a fleet.
func actions(f *fleet) map[string]func(*rapid.T) {
	node := func(t *rapid.T) *node { return rapid.SampledFrom(f.nodes).Draw(t, "node") }
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			f.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"take": func(t *rapid.T) { f.take(node(t), rapid.IntRange(1, 80).Draw(t, "count")) },
		"drain": func(*rapid.T) {
			for _, n := range f.nodes {
				f.take(n, 200)
			}
		},
		"borrow": func(t *rapid.T) {
			need := Need{
				Rate:   rapid.Float64Range(0, 200).Draw(t, "rate"),
				Tokens: rapid.Float64Range(0, 100).Draw(t, "tokens"),
				All:    rapid.IntRange(0, 4).Draw(t, "all") == 0,
			}
			f.borrow(node(t), node(t), need, drawTransit(t), drawTransit(t))
		},
		"extend": func(t *rapid.T) { f.extend(node(t), drawTransit(t), drawTransit(t)) },
		"recall": func(t *rapid.T) { f.recall(node(t), drawTransit(t), drawTransit(t)) },
		"return": func(t *rapid.T) { f.giveBack(node(t), drawTransit(t)) },
		"hand": func(t *rapid.T) {
			n := node(t)
			f.hand(n.domain, rapid.IntRange(0, Shards-1).Draw(t, "shard"), n, drawTransit(t))
		},
		"join": func(t *rapid.T) {
			if len(f.nodes) < 12 {
				f.join(rapid.IntRange(0, len(f.parts)-1).Draw(t, "domain"))
			}
		},
		"kill": func(t *rapid.T) {
			if n := node(t); !n.dead {
				n.dead, n.killed = true, f.now
			}
		},
		"pause": func(t *rapid.T) {
			n := node(t)
			if f.running(n) {
				n.killed = f.now
				n.paused = f.now.Add(time.Duration(rapid.IntRange(10, 15000).Draw(t, "pause")) * time.Millisecond)
			}
		},
		"inherit": func(t *rapid.T) { f.inherit(node(t)) },
		"resume":  func(t *rapid.T) { f.resume(node(t)) },
	}
}

var _ = ginkgo.Describe("the quota of a fleet", func() {
	ginkgo.It("never admits more than rate × window + burst", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 3).Draw(t, "each"),
				lacewingramp.Limit{Rate: 100, Burst: 60})
			all := actions(f)
			all[""] = func(t *rapid.T) {
				if f.worst < slack {
					t.Fatalf("admitted %g more than the limit", -f.worst)
				}
				if u := f.units(); u > lacewingramp.WholeLimit {
					t.Fatalf("the parcels add up to %d of %d", u, lacewingramp.WholeLimit)
				}
				if p := f.usable(); p.Rate > lacewingramp.WholeLimit || p.Burst > lacewingramp.WholeLimit {
					t.Fatalf("rate %d and burst %d are in use of %d", p.Rate, p.Burst, lacewingramp.WholeLimit)
				}
			}
			t.Repeat(all)
		})
	})

	ginkgo.It("keeps to the larger of two limits while an edit spreads", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			f := newFleet(2, 2, lacewingramp.Limit{Rate: 100, Burst: 60})
			all := actions(f)
			all["edit"] = func(t *rapid.T) {
				l := lacewingramp.Limit{
					Rate:  rapid.Float64Range(1, 100).Draw(t, "rate"),
					Burst: rapid.Float64Range(1, 60).Draw(t, "burst"),
				}
				n := rapid.SampledFrom(f.nodes).Draw(t, "node")
				if f.running(n) {
					n.book.Configure(f.now, f.config(n.domain, l))
				}
			}
			all[""] = func(t *rapid.T) {
				if f.worst < slack {
					t.Fatalf("admitted %g more than the limit", -f.worst)
				}
			}
			t.Repeat(all)
		})
	})

	ginkgo.It("shrinks a part at once, from loans as they come back", func() {
		f := newFleet(1, 2, lacewingramp.Limit{Rate: 100, Burst: 60})
		a, b := f.nodes[0], f.nodes[1]
		f.advance(time.Second)
		f.borrow(b, a, Need{Rate: 80, Tokens: 40}, transit{}, transit{})
		f.advance(100 * time.Millisecond)
		gomega.Expect(b.book.Stock(subject).Borrowed).To(gomega.Equal(1))
		f.parts[0].Customers /= 4
		a.book.Configure(f.now, f.config(0, f.limit))
		f.advance(5 * time.Second)
		gomega.Expect(f.units()).To(gomega.Equal(lacewingramp.WholeLimit / 4))
	})

	ginkgo.It("admits a whole burst that meets one instance, once it has borrowed", func() {
		f := newFleet(3, 2, lacewingramp.Limit{Rate: 120, Burst: 60})
		f.advance(10 * time.Second)
		one := f.nodes[1]
		one.book.Wait(subject, 50)
		for _, n := range f.nodes {
			if n != one {
				f.borrow(one, n, Need{Tokens: 20}, transit{}, transit{})
			}
		}
		f.advance(200 * time.Millisecond)
		one.book.Wait(subject, -50)
		f.take(one, 50)
		gomega.Expect(f.refused).To(gomega.BeZero())
	})

	ginkgo.It("does not extend a loan of which a part has gone with a shard", func() {
		f := newFleet(1, 3, lacewingramp.Limit{Rate: 100, Burst: 60})
		a, b, c := f.nodes[0], f.nodes[1], f.nodes[2]
		f.advance(5 * time.Second)
		f.borrow(b, a, Need{Rate: 80, Tokens: 50}, transit{}, transit{})
		f.advance(200 * time.Millisecond)
		for s := range Shards - 1 {
			f.hand(0, s, c, transit{})
		}
		f.advance(1300 * time.Millisecond)
		f.extend(b, transit{}, transit{})
		for range 100 {
			f.advance(50 * time.Millisecond)
			gomega.Expect(f.usable().Rate).To(gomega.BeNumerically("<=", lacewingramp.WholeLimit))
		}
		gomega.Expect(f.units()).To(gomega.Equal(lacewingramp.WholeLimit))
	})

	ginkgo.It("gathers a small limit of a domain at one instance", func() {
		f := newFleet(1, 4, lacewingramp.Limit{Rate: 3, Burst: 2})
		for s := range Shards {
			f.hand(0, s, f.nodes[s%4], transit{})
		}
		f.advance(10 * time.Second)
		for i, n := range f.nodes {
			var names []string
			for j, o := range f.nodes {
				if i != j {
					names = append(names, o.name)
				}
			}
			n.book.Peers(names, nil)
		}
		home := f.named(f.nodes[0].book.home(subject, f.nodes[0].book.buckets[subject]))
		home.book.Wait(subject, 1)
		need, ok := home.book.NeedOf(f.now, subject)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(need.All).To(gomega.BeTrue())
		for _, n := range f.nodes {
			if n != home {
				f.borrow(home, n, need, transit{}, transit{})
			}
		}
		f.advance(200 * time.Millisecond)
		home.book.Wait(subject, -1)
		f.take(home, 2)
		gomega.Expect(f.refused).To(gomega.BeZero())
	})

	ginkgo.It("lends a small limit whole only to its home", func() {
		f := newFleet(1, 2, lacewingramp.Limit{Rate: 30, Burst: 10})
		a, b := f.nodes[0], f.nodes[1]
		f.hand(0, 0, b, transit{})
		f.advance(5 * time.Second)
		a.book.Peers([]string{b.name}, nil)
		b.book.Peers([]string{a.name}, nil)
		b.book.Leave()
		k := b.book.buckets[subject]
		gomega.Expect(b.book.home(subject, k)).To(gomega.Equal(a.name))
		held := a.book.Stock(subject).Own
		_ = b.book.Take(f.now, subject)
		ask := b.book.Ask(f.now, Need{Subject: subject, All: true, Tokens: 1})
		a.book.Peers(nil, nil)
		loan := a.book.Lend(f.now, ask)
		gomega.Expect(loan.Parcel.Burst).To(gomega.BeNumerically("<", held.Burst/2))
	})

	ginkgo.It("admits nothing after a pause until its shards are confirmed", func() {
		f := newFleet(1, 2, lacewingramp.Limit{Rate: 100, Burst: 60})
		f.advance(5 * time.Second)
		n := f.nodes[0]
		n.killed = f.now
		n.paused = f.now.Add(8 * time.Second)
		f.advance(7 * time.Second)
		f.inherit(f.nodes[1])
		f.advance(2 * time.Second)
		f.take(n, 10)
		gomega.Expect(f.admitted).To(gomega.BeZero())
		f.resume(n)
		gomega.Expect(n.book.Held()).To(gomega.BeEmpty())
	})
})
