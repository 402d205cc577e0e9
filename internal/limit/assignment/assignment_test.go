package assignment

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

var now = time.Unix(1_800_000_000, 0)

func heldBy(names ...string) Assignment {
	a := Assignment{Domain: "uy1"}
	for i := range a.Shards {
		a.Shards[i] = Shard{Holder: names[i%len(names)], Epoch: 1}
	}
	return a
}

func liveMembers(names ...string) []Member {
	var all []Member
	for _, n := range names {
		all = append(all, Member{Name: n, HeardAt: now})
	}
	return all
}

var _ = ginkgo.Describe("Plan", func() {
	ginkgo.It("makes an instance that joins request a shard from the one that holds the most", func() {
		steps := Plan(View{Self: "b", Now: now, AssignmentKnown: true, Assignment: heldBy("a"), Members: liveMembers("a", "b")})
		gomega.Expect(steps).To(gomega.ConsistOf(Step{Kind: StepRequest, Shard: 0, From: "a", Epoch: 1}))
		gomega.Expect(Plan(View{Self: "a", Now: now, AssignmentKnown: true, Assignment: heldBy("a", "b"), Members: liveMembers("a", "b")})).To(gomega.BeEmpty())
	})

	ginkgo.It("takes over the shards of a failed holder only after quota.TakeoverDelay and a failed new connection", func() {
		v := View{Self: "b", Now: now, AssignmentKnown: true, Assignment: heldBy("a"), Members: liveMembers("a", "b")}
		v.Members[0].HeardAt = now.Add(-quota.TakeoverDelay - time.Second)
		gomega.Expect(Plan(v)[0].Kind).To(gomega.Equal(StepRequest))
		v.Members[0].Unreachable = true
		gomega.Expect(Plan(v)).To(gomega.HaveLen(quota.Shards))
		gomega.Expect(Plan(v)[0].Kind).To(gomega.Equal(StepTakeOver))
		v.Members[0].HeardAt = now.Add(-quota.TakeoverDelay + time.Second)
		gomega.Expect(Plan(v)[0].Kind).To(gomega.Equal(StepRequest))
	})

	ginkgo.It("does not take over a shard that an instance claims at a newer epoch", func() {
		v := View{Self: "b", Now: now, AssignmentKnown: true, Assignment: heldBy("a"), Members: liveMembers("a", "b", "c")}
		v.Members[0].Replaced = true
		v.Members[2].Claims = []lacewingramp.ShardClaim{{Shard: 1, Epoch: 2}}
		for _, s := range Plan(v) {
			gomega.Expect(s.Shard).NotTo(gomega.Equal(1))
		}
	})

	ginkgo.It("takes over a shard that its live holder does not claim", func() {
		v := View{Self: "b", Now: now, AssignmentKnown: true, Assignment: heldBy("a", "b"), Members: liveMembers("a", "b")}
		v.Unclaimed[5] = true
		gomega.Expect(Plan(v)).To(gomega.ConsistOf(gomega.HaveField("Shard", 5)))
		v.Members[0].Claims = []lacewingramp.ShardClaim{{Shard: 5, Epoch: 2}}
		gomega.Expect(Plan(v)).To(gomega.BeEmpty())
	})

	ginkgo.It("makes exactly one instance take over each shard", func() {
		members := liveMembers("a", "b", "c", "d")
		members[0].Replaced = true
		count := make(map[int]int)
		for _, self := range []string{"b", "c", "d"} {
			for _, s := range Plan(View{Self: self, Now: now, AssignmentKnown: true, Assignment: heldBy("a", "b"), Members: members}) {
				if s.Kind == StepTakeOver {
					count[s.Shard]++
				}
			}
		}
		gomega.Expect(count).To(gomega.HaveLen(quota.Shards / 2))
		for _, n := range count {
			gomega.Expect(n).To(gomega.Equal(1))
		}
	})
})

var _ = ginkgo.Describe("the split of limits among domains", func() {
	ginkgo.It("never adds up to more than the complete limit", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			var table lacewingramp.Table
			for i := range rapid.IntRange(1, 60).Draw(t, "domains") {
				table.Domains = append(table.Domains, lacewingramp.Domain{
					Name: string(rune('a' + i)), Region: rapid.SampledFrom([]string{"r", "s"}).Draw(t, "region"),
					Weight: rapid.Float64Range(0, 1e6).Draw(t, "weight"),
				})
			}
			var sum lacewingramp.LimitFraction
			caps := make(map[string]lacewingramp.LimitFraction)
			for _, p := range Split(&table) {
				sum += p.Customers
				caps[p.Region] += p.Caps
			}
			for _, c := range append([]lacewingramp.LimitFraction{sum}, caps["r"], caps["s"]) {
				if c > lacewingramp.WholeLimit {
					t.Fatalf("the shares add up to %d of %d", c, lacewingramp.WholeLimit)
				}
			}
		})
	})

	ginkgo.It("lets a domain use more only after all others have reduced their shares, in any order of events", func() {
		rapid.Check(ginkgo.GinkgoT(), checkSplits)
	})
})

// checkSplits applies edits of the domain weights to the domains in any order and writes
// the domains' keys as internal/entry/instance does. It checks that the shares in the keys
// never add up to more than the complete limit, also while the domains are at different
// splits.
func checkSplits(t *rapid.T) {
	const domains = 3
	tables := []*lacewingramp.Table{{}}
	for rev := 1; rev <= 4; rev++ {
		table := &lacewingramp.Table{Split: int64(rev)}
		for i := range domains {
			table.Domains = append(table.Domains, lacewingramp.Domain{
				Name: string(rune('a' + i)), Region: "r", Weight: float64(rapid.IntRange(0, 5).Draw(t, "weight")),
			})
		}
		tables = append(tables, table)
	}
	keys := make([]Assignment, domains)
	applied := make([]int, domains)
	for i := range keys {
		name := string(rune('a' + i))
		keys[i] = Assignment{Domain: name, Split: 1, DomainShares: Split(tables[1])[name]}
		applied[i] = 1
	}
	t.Repeat(map[string]func(*rapid.T){
		"apply table": func(t *rapid.T) {
			i := rapid.IntRange(0, domains-1).Draw(t, "domain")
			applied[i] = rapid.IntRange(applied[i], len(tables)-1).Draw(t, "revision")
		},
		"write key": func(t *rapid.T) {
			i := rapid.IntRange(0, domains-1).Draw(t, "domain")
			table := tables[applied[i]]
			next := Split(table)[keys[i].Domain]
			switch {
			case keys[i].Split < table.Split:
				keys[i].DomainShares, keys[i].Split = MinShares(keys[i].DomainShares, next), table.Split
			case MayGrow(table.Split, keys[i].Domain, keys):
				keys[i].DomainShares = next
			}
		},
		"": func(t *rapid.T) {
			var sum lacewingramp.LimitFraction
			for _, k := range keys {
				sum += k.DomainShares.Customers
			}
			if sum > lacewingramp.WholeLimit {
				t.Fatalf("the shares in the domains' keys add up to %d of %d", sum, lacewingramp.WholeLimit)
			}
		},
	})
}
