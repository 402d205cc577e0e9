package edge

import (
	"os"
	"time"

	"github.com/onsi/ginkgo/v2"
)

// skipKnownRed skips a check that KNOWN-RED.txt lists, unless LACEWINGRAMP_RED is set.
func skipKnownRed() {
	if os.Getenv("LACEWINGRAMP_RED") == "" {
		ginkgo.Skip("listed in KNOWN-RED.txt")
	}
}

var _ = ginkgo.Describe("a change of the store", func() {
	const (
		seeds = 30
		// settleTime is how long a fleet runs before the store falls silent.
		settleTime = 6 * time.Second
	)
	// Guards against callers served by a replaced table (CONFIG): both instances that
	// watch the store lose it without an error, and those next in line, that have lost it
	// as well, each take a second to notice.
	ginkgo.DescribeTable("reaches every instance that reaches the store, although half of the fleet and its watchers have just lost it",
		func(size int, bound time.Duration) {
			skipKnownRed()
			for seed := range uint64(seeds) {
				f := newSimulatedFleet(seed, size)
				f.run(settleTime + f.upTo(time.Second))
				f.silence()
				f.run(f.upTo(500 * time.Millisecond))
				f.revision++
				f.expectInForce(bound, seed)
			}
		},
		ginkgo.Entry("with 8 instances and 2 s", 8, 2*time.Second),
		ginkgo.Entry("with 10 instances and 2 s", 10, 2*time.Second),
		ginkgo.Entry("with 69 instances and 3 s", 69, 3*time.Second),
		ginkgo.Entry("with 82 instances and 3 s", 82, 3*time.Second),
	)
})
