package edge

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

var _ = ginkgo.Describe("a change of the store", func() {
	const seeds = 30
	// Guards against callers served by a replaced table (CONFIG): both instances that
	// watch the store lose it without an error, and those next in line, that have lost it
	// as well, each take a second to notice.
	ginkgo.DescribeTable("reaches every instance that reaches the store, although half of the fleet and its watchers have just lost it",
		func(size int, bound time.Duration) {
			expectForSeeds(seeds, func(seed uint64) []string {
				f := newSimulatedFleet(seed, size)
				return f.changeInSilence(bound)
			})
		},
		ginkgo.Entry("with 8 instances and 2 s", 8, 2*time.Second),
		ginkgo.Entry("with 10 instances and 2 s", 10, 2*time.Second),
		ginkgo.Entry("with 69 instances and 3 s", 69, 3*time.Second),
		ginkgo.Entry("with 82 instances and 3 s", 82, 3*time.Second),
	)

	// Guards against instances that wait for a peer from which they are cut off, and hear of
	// nobody who has the change.
	ginkgo.DescribeTable("reaches every instance, although a failure domain has just been cut off from all others",
		func(size int, bound time.Duration) {
			expectForSeeds(seeds, func(seed uint64) []string {
				return newSimulatedFleet(seed, size).changeBehindCut(bound)
			})
		},
		ginkgo.Entry("with 8 instances and 2 s", 8, 2*time.Second),
		ginkgo.Entry("with 10 instances and 2 s", 10, 2*time.Second),
		ginkgo.Entry("with 69 instances and 3 s", 69, 3*time.Second),
	)

	// Guards against the same while instances are replaced by those of a new program.
	ginkgo.It("reaches them as well while only a part of the fleet passes on when the store has responded", func() {
		const size, bound = 69, 3 * time.Second
		expectForSeeds(seeds, func(seed uint64) []string {
			f := newSimulatedFleet(seed, size)
			for _, i := range f.random.Perm(size)[:size*int(seed%4+1)/5] {
				f.instances[i].earlier = true
			}
			return f.changeInSilence(bound)
		})
	})

	// Guards against a price for this in calm times, and against a flood of calls while a
	// part of the fleet has lost the store.
	ginkgo.DescribeTable("costs few calls to the store",
		func(size int) {
			const (
				watchers = 2
				calm     = 20 * time.Second
				trouble  = 10 * time.Second
			)
			f := newSimulatedFleet(1, size)
			f.run(settleTime)
			before := f.storeCalls
			f.run(calm)
			gomega.Expect(f.checks).To(gomega.BeZero())
			gomega.Expect(f.storeCalls - before).To(gomega.BeNumerically("<=", watchers*calm/(storeLongPoll+batchInterval)))
			f.silence()
			before = f.storeCalls
			f.run(trouble)
			gomega.Expect(f.storeCalls - before).To(gomega.BeNumerically("<=", size*int(trouble/maxUnconfirmed)))
		},
		ginkgo.Entry("with 8 instances", 8),
		ginkgo.Entry("with 69 instances", 69),
		ginkgo.Entry("with 82 instances", 82),
	)

	// Guards against instances that watch the store, or follow each other, by an order that
	// those of an earlier program do not share.
	ginkgo.It("takes the way that earlier programs expect", func() {
		f := newSimulatedFleet(1, smallFleet+1)
		candidates := make([]lacewingramp.Endpoint, len(f.instances))
		for i, s := range f.instances {
			candidates[i] = s.self
		}
		ways := make(map[string]string)
		for _, p := range candidates {
			ways[p.Name] = peerToFollow(p, candidates, simulatedRegions)
		}
		gomega.Expect(ways).To(gomega.Equal(waysOfEarlierPrograms))
	})
})

// waysOfEarlierPrograms are the addresses that earlier programs follow, by name, in a fleet
// of 21 instances.
var waysOfEarlierPrograms = map[string]string{
	"edge-a1-0": "edge-a1-1:1", "edge-a1-1": "", "edge-a1-2": "edge-a1-1:1", "edge-a1-3": "edge-a1-1:1",
	"edge-a2-0": "edge-a1-1:1", "edge-a2-1": "edge-a1-1:1", "edge-a2-2": "edge-a1-1:1",
	"edge-b1-0": "edge-b1-1:1", "edge-b1-1": "edge-c2-1:1", "edge-b1-2": "edge-b1-1:1", "edge-b1-3": "edge-b1-1:1",
	"edge-b2-0": "edge-b1-1:1", "edge-b2-1": "edge-b1-1:1", "edge-b2-2": "edge-b1-1:1",
	"edge-c1-0": "edge-c2-1:1", "edge-c1-1": "edge-c2-1:1", "edge-c1-2": "edge-c2-1:1", "edge-c1-3": "edge-c2-1:1",
	"edge-c2-0": "edge-c2-1:1", "edge-c2-1": "", "edge-c2-2": "edge-c2-1:1",
}
