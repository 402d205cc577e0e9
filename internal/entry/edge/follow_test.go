package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
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
	// parents returns whom each instance follows, by name, "" for those that watch the store.
	parents := func(all []lacewingramp.Endpoint) map[string]string {
		parent := make(map[string]string)
		for _, self := range all {
			parent[self.Name] = strings.TrimSuffix(peerToFollow(self, slices.Clone(all), regions), ":1")
		}
		return parent
	}
	watchers := func(all []lacewingramp.Endpoint) (count int) {
		for _, p := range parents(all) {
			if p == "" {
				count++
			}
		}
		return count
	}
	// depth returns the number of steps from an instance to one that watches the store.
	depth := func(parent map[string]string, name string) int {
		steps := 0
		for ; parent[name] != ""; name = parent[name] {
			steps++
			gomega.Expect(steps).To(gomega.BeNumerically("<=", len(parent)), "instances follow each other in a circle")
		}
		return steps
	}

	ginkgo.It("leads to one of two watchers in two regions, at any fleet size", func() {
		for _, n := range []int{3, 8, 69, 300} {
			all := fleet(n, "a", "b", "c")
			gomega.Expect(watchers(all)).To(gomega.Equal(2), "%d instances", n)
			parent := parents(all)
			domains := make(map[string]bool)
			for _, p := range all {
				gomega.Expect(depth(parent, p.Name)).To(gomega.BeNumerically("<=", 4), "%d instances", n)
				if parent[p.Name] == "" {
					domains[p.Domain] = true
				}
			}
			gomega.Expect(domains).To(gomega.HaveLen(2), "%d instances", n)
		}
	})

	ginkgo.It("leads to one of two watchers in a single region, and none for a single instance", func() {
		gomega.Expect(watchers(fleet(5, "a"))).To(gomega.Equal(2))
		gomega.Expect(watchers(fleet(1, "a"))).To(gomega.Equal(1))
	})

	// Guards against callers refused by instances with an old table: two instances with
	// slow links sent each table to all others at once, and none of the transfers ended
	// in time.
	ginkgo.It("sends changes to few others, and has more capacity than those that follow it", func() {
		for _, n := range []int{3, 8, 69, 82, 300, 1600} {
			all := fleet(n, "a", "b", "c")
			capacity := make(map[string]int)
			for i := range all {
				if i%6 == 0 {
					all[i].Capacity = 20
				}
				capacity[all[i].Name] = all[i].Capacity
			}
			followers := make(map[string]int)
			for name, p := range parents(all) {
				if p == "" {
					continue
				}
				followers[p]++
				gomega.Expect(capacity[p]).To(gomega.BeNumerically(">=", capacity[name]), "%s follows %s", name, p)
			}
			for name, count := range followers {
				// The first watcher also has the root of the third region.
				gomega.Expect(count).To(gomega.BeNumerically("<=", maxFollowers+1), "%s of %d instances", name, n)
			}
		}
	})

	// Guards against instances that wait for each other's changes.
	ginkgo.It("forms no circle, whatever part of the fleet each instance knows", func() {
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 3))
			all := fleet(40, "a", "b", "c")
			for i := range all {
				all[i].Capacity = 10 * r.IntN(3)
			}
			parent := make(map[string]string)
			for _, self := range all {
				known := slices.DeleteFunc(slices.Clone(all), func(p lacewingramp.Endpoint) bool { return p.Name != self.Name && r.IntN(3) == 0 })
				parent[self.Name] = strings.TrimSuffix(peerToFollow(self, known, regions), ":1")
			}
			for _, p := range all {
				depth(parent, p.Name)
			}
		}
	})

	// Guards against a region that gets no changes: its root has lost the store and follows
	// an instance that does not know of this yet and waits for the root.
	ginkgo.It("forms no circle when an instance has just lost the store", func() {
		for _, domains := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}} {
			all := fleet(40, domains...)
			for lost := range all {
				parent := parents(all)
				known := slices.Delete(slices.Clone(all), lost, lost+1)
				self := all[lost].Name
				parent[self] = strings.TrimSuffix(peerToFollow(all[lost], known, regions), ":1")
				gomega.Expect(parent[self]).NotTo(gomega.BeEmpty())
				for _, p := range all {
					depth(parent, p.Name)
				}
			}
		}
	})

	// Guards against a region that has lost the store and of which all instances get each
	// table from the same one.
	ginkgo.It("is not the same for all instances of a region that has lost the store", func() {
		all := fleet(90, "a", "b", "c")
		for _, region := range []string{"a", "b", "c"} {
			reaching := slices.DeleteFunc(slices.Clone(all), func(p lacewingramp.Endpoint) bool { return p.Domain == region })
			followers := make(map[string]int)
			for _, self := range all {
				if self.Domain == region {
					followers[peerToFollow(self, reaching, regions)]++
				}
			}
			for p, count := range followers {
				gomega.Expect(count).To(gomega.BeNumerically("<=", maxFollowers), p)
			}
		}
	})

	// Guards against a fleet in which nobody watches the store: older programs expect this
	// of others than newer ones.
	ginkgo.It("is none for the instance that older programs expect to watch the store, if none does", func() {
		now := time.Now()
		all := fleet(12, "a", "b")
		names := make([]string, len(all))
		for i := range all {
			names[i] = all[i].Name
			all[i].Capacity = 1 << 20
		}
		owner := slices.Index(names, rendezvous.Owner(watcherKey, names))
		e := New(Settings{Name: all[owner].Name, Domain: all[owner].Domain, Region: regions[all[owner].Domain], Regions: regions},
			Dependencies{Timer: wall.Timer{}, Log: zerolog.Nop()})
		hear := func(at time.Time, watches bool) {
			for i, p := range all {
				if i != owner {
					e.peers.Record(at, &lacewingramp.Heartbeat{Endpoint: p, Revision: 1, ReachesStore: true, WatchesStore: watches})
				}
			}
			e.updateFollowAddress(at)
		}
		hear(now, true)
		gomega.Expect(e.store.followAddress).NotTo(gomega.BeEmpty())
		hear(now.Add(time.Second), false)
		gomega.Expect(e.store.followAddress).NotTo(gomega.BeEmpty())
		hear(now.Add(time.Second+unwatchedTime), false)
		gomega.Expect(e.store.followAddress).To(gomega.BeEmpty())
		hear(now.Add(2*time.Second+unwatchedTime), true)
		gomega.Expect(e.store.followAddress).NotTo(gomega.BeEmpty())
	})

	ginkgo.It("is another instance if this one cannot reach the store, and none if no instance can", func() {
		all := fleet(4, "a", "b")
		gomega.Expect(peerToFollow(all[0], all[1:], regions)).NotTo(gomega.BeEmpty())
		gomega.Expect(peerToFollow(all[0], nil, regions)).To(gomega.BeEmpty())
	})
})
