package poison

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// fleet simulates instances that exchange crash counts in heartbeats. A fraction of
// the heartbeats is lost.
type fleet struct {
	instances []*Guard
	random    *rand.Rand
	now       time.Time
}

const (
	heartbeatInterval = 250 * time.Millisecond
	// receivers is how many peers an instance sends its heartbeat to in a round.
	receivers = 12
	// lossRatio is the fraction of heartbeats that are lost.
	lossRatio = 0.1
)

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, seed)), now: now}
	for i := range n {
		f.instances = append(f.instances, &Guard{Instance: fmt.Sprintf("edge-%d", i)})
	}
	return f
}

func (f *fleet) round() {
	for i, g := range f.instances {
		counts := g.HeartbeatCounts(f.now)
		for range receivers {
			j := f.random.IntN(len(f.instances))
			if j != i && f.random.Float64() >= lossRatio {
				f.instances[j].Merge(f.now, counts)
			}
		}
	}
	f.now = f.now.Add(heartbeatInterval)
}

// crash sends a request that crashes its target to a random instance. It reports
// whether the request was admitted.
func (f *fleet) crash(fingerprint uint64) bool {
	g := f.instances[f.random.IntN(len(f.instances))]
	if !g.Admit(f.now, fingerprint) {
		return false
	}
	g.Finish(f.now, fingerprint, true)
	return true
}

// A request that crashes every target it reaches is retried at random instances of
// a large fleet, while many targets crash for other reasons. There are then too many
// crash counts for one heartbeat, but all instances must soon refuse the request.
var _ = ginkgo.Describe("a request that crashes its targets", func() {
	const (
		poison         = 1 << 40
		settleTime     = 4 * time.Second
		maxLateCrashes = 3
	)
	ginkgo.It("is refused by all instances, whatever else crashes", func() {
		for seed := range uint64(5) {
			f := newFleet(82, seed)
			crashes, lateCrashes := 0, 0
			var thirdCrashAt time.Time
			for round := range 80 {
				if round%8 == 0 {
					for range 20 {
						f.crash(f.random.Uint64N(1 << 30))
					}
				}
				if f.crash(poison) {
					crashes++
					if crashes == 3 {
						thirdCrashAt = f.now
					}
					if !thirdCrashAt.IsZero() && f.now.Sub(thirdCrashAt) > settleTime {
						lateCrashes++
					}
				}
				f.round()
			}
			gomega.Expect(crashes).To(gomega.BeNumerically(">=", MaxCrashes))
			gomega.Expect(lateCrashes).To(gomega.BeNumerically("<=", maxLateCrashes), "seed %d", seed)
		}
	})

	ginkgo.It("is refused by an instance that starts later", func() {
		for seed := range uint64(5) {
			f := newFleet(8, seed)
			for range 200 {
				f.crash(f.random.Uint64N(1 << 30))
			}
			for !f.now.After(now.Add(time.Second)) {
				f.crash(poison)
				f.round()
			}
			restarted := &Guard{Instance: "edge-0"}
			f.instances[0] = restarted
			for range 16 {
				f.round()
			}
			gomega.Expect(restarted.Admit(f.now, poison)).To(gomega.BeFalse(), "seed %d", seed)
		}
	})
})
