package capacity_test

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/capacity"
)

const (
	ms    = time.Millisecond
	slots = 3
	queue = 9
)

var start = time.Unix(1_800_000_000, 0)

func load(running, waiting, workPercent int) lacewingramp.TargetLoad {
	return lacewingramp.TargetLoad{Running: running, Waiting: waiting, Slots: slots, WorkPercent: workPercent}
}

// withQueue returns a target that has reported a full queue at start.
func withQueue() *capacity.Target {
	t := &capacity.Target{}
	t.Report(start, 0, load(slots, queue, 100))
	return t
}

func expectBounds(t *capacity.Target, now time.Time) {
	for _, after := range []time.Duration{0, 100 * ms, time.Hour, -time.Hour} {
		gomega.Expect(t.WorkFactor(now.Add(after))).To(gomega.And(gomega.BeNumerically(">=", 0.25), gomega.BeNumerically("<=", 16)))
		gomega.Expect(t.Variance(now.Add(after))).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<", 1e8)))
		gomega.Expect(t.Requests(now.Add(after))).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", 10_000)))
		gomega.Expect(t.Limit(now.Add(after), slots)).To(gomega.And(gomega.BeNumerically(">=", 1), gomega.BeNumerically("<=", slots*17)))
	}
	gomega.Expect(math.IsNaN(t.MeanError())).To(gomega.BeFalse())
}

// Load: 87 instances that send blindly to 388 targets, of each of which they hear every few
// seconds.
var _ = ginkgo.Describe("the requests at a target", func() {
	ginkgo.It("are this instance's own while nothing is known, and its limit is its slots", func() {
		var t capacity.Target
		gomega.Expect(t.Requests(start)).To(gomega.BeZero())
		gomega.Expect(t.WorkFactor(start)).To(gomega.Equal(1.0))
		gomega.Expect(t.Limit(start, slots)).To(gomega.Equal(float64(slots)))
		t.Sent(start)
		t.Sent(start)
		t.Ended(start.Add(ms))
		gomega.Expect(t.Requests(start.Add(2 * ms))).To(gomega.Equal(1.0))
		_, known := t.ReportAge(start)
		gomega.Expect(known).To(gomega.BeFalse())
	})

	ginkgo.It("are those of the last report, with what this instance has sent and ended since", func() {
		var t capacity.Target
		t.Sent(start)
		t.Report(start.Add(10*ms), 0, load(3, 2, 100))
		gomega.Expect(t.Requests(start.Add(10 * ms))).To(gomega.BeNumerically("~", 5, 0.01))
		t.Sent(start.Add(11 * ms))
		t.Sent(start.Add(12 * ms))
		gomega.Expect(t.Requests(start.Add(12 * ms))).To(gomega.BeNumerically("~", 7, 0.05))
		t.Ended(start.Add(13 * ms))
		gomega.Expect(t.Requests(start.Add(13 * ms))).To(gomega.BeNumerically("~", 6, 0.05))
	})

	// Guards against counting requests twice that were sent before a peer's report was
	// received, but after the target had sent it.
	ginkgo.It("include those that were sent while a report was on its way", func() {
		var t capacity.Target
		t.Sent(start)
		t.Sent(start.Add(150 * ms))
		t.Report(start.Add(200*ms), 100*ms, load(3, 0, 100))
		gomega.Expect(t.Requests(start.Add(200 * ms))).To(gomega.BeNumerically("~", 4, 0.01))
	})

	ginkgo.It("return to the average of a busy target as the report ages, not to zero", func() {
		var t capacity.Target
		now := start
		for range 100 {
			now = now.Add(200 * ms)
			t.Report(now, 0, load(3, 3, 100))
		}
		now = now.Add(200 * ms)
		t.Report(now, 0, load(0, 0, 100))
		gomega.Expect(t.Requests(now)).To(gomega.BeNumerically("<", 0.5))
		gomega.Expect(t.Requests(now.Add(5 * time.Second))).To(gomega.BeNumerically("~", 6, 0.5))
	})

	ginkgo.It("are never under this instance's own in flight", func() {
		var t capacity.Target
		for range 5 {
			t.Sent(start)
		}
		t.Report(start.Add(ms), 0, load(0, 0, 100))
		gomega.Expect(t.Requests(start.Add(ms))).To(gomega.BeNumerically(">=", 5))
	})

	ginkgo.It("ignore reports that are out of order or stale", func() {
		var t capacity.Target
		t.Report(start, 50*ms, load(3, 5, 250))
		t.Report(start.Add(10*ms), 100*ms, load(0, 0, 100))
		gomega.Expect(t.Requests(start.Add(10 * ms))).To(gomega.BeNumerically("~", 8, 0.01))
		gomega.Expect(t.WorkFactor(start.Add(10 * ms))).To(gomega.BeNumerically(">", 2))
		var other capacity.Target
		other.Report(start, 10*time.Second, load(3, 9, 400))
		gomega.Expect(other.Requests(start)).To(gomega.BeZero())
		gomega.Expect(other.WorkFactor(start)).To(gomega.Equal(1.0))
	})

	ginkgo.It("stay within bounds with bad figures, ages and clocks", func() {
		t := withQueue()
		for _, bad := range []lacewingramp.TargetLoad{
			{Running: -1}, {Waiting: -5}, {Slots: -3}, {WorkPercent: -100}, {Running: math.MaxInt}, {Waiting: math.MaxInt, Slots: 3}, {Slots: math.MaxInt},
		} {
			t.Report(start.Add(ms), 0, bad)
			gomega.Expect(t.Requests(start.Add(ms))).To(gomega.BeNumerically("~", slots+queue, 0.1))
			expectBounds(t, start)
		}
		t.Report(start.Add(2*ms), -time.Hour, load(1, 0, math.MaxInt))
		expectBounds(t, start.Add(2*ms))
		t.Report(start.Add(3*ms), 0, load(1, 4000, 1))
		expectBounds(t, start.Add(3*ms))
		t.Ran(start.Add(4*ms), math.MaxInt64, 1)
		t.Ran(start.Add(4*ms), 1, math.MaxInt64)
		t.Ran(start.Add(4*ms), -1, -1)
		for i := range 200 {
			t.Overloaded(start.Add(time.Duration(i-100) * time.Second))
			expectBounds(t, start.Add(time.Duration(100-i)*time.Second))
		}
	})

	ginkgo.It("stay within bounds with any sequence of events, figures and times", func() {
		figures := []int{math.MinInt, -1, 0, 1, 2, 3, 9, 12, 255, 4096, 4097, math.MaxInt}
		durations := []time.Duration{math.MinInt64, -time.Hour, -1, 0, 1, ms, 400 * ms, time.Second, time.Hour, math.MaxInt64}
		for seed := range int64(200) {
			r := rand.New(rand.NewSource(seed))
			figure := func() int { return figures[r.Intn(len(figures))] }
			duration := func() time.Duration { return durations[r.Intn(len(durations))] }
			var t capacity.Target
			own := 0
			for range 300 {
				now := start.Add(time.Duration(r.Int63n(int64(2*time.Hour))) - time.Hour)
				switch r.Intn(6) {
				case 0, 1:
					t.Report(now, duration(), lacewingramp.TargetLoad{Running: figure(), Waiting: figure(), Slots: figure(), WorkPercent: figure()})
				case 2:
					t.Sent(now)
					own++
				case 3:
					t.Ended([]time.Time{now, {}}[r.Intn(2)])
					own = max(0, own-1)
				case 4:
					t.Ran(now, duration(), duration())
				case 5:
					t.Overloaded(now)
					t.Full(now, duration(), figure())
				}
				expectBounds(&t, now)
				gomega.Expect(t.Requests(now)).To(gomega.BeNumerically(">=", own))
				gomega.Expect(t.Limit(now, figure())).To(gomega.And(gomega.BeNumerically(">=", 1), gomega.BeNumerically("<=", 17*4096)))
			}
		}
	})

	// Guards against an estimate that stays at its last value for as long as a clock was
	// stepped back.
	ginkgo.It("follow new reports after the clock has stepped back", func() {
		t := withQueue()
		t.Sent(start)
		earlier := start.Add(-time.Hour)
		t.Report(earlier, 0, load(1, 0, 100))
		gomega.Expect(t.Requests(earlier)).To(gomega.BeNumerically("~", 1, 1))
		t.Ended(earlier)
		expectBounds(t, earlier)
	})

	ginkgo.It("are slots and queue when the target sheds without a report", func() {
		t := withQueue()
		now := start.Add(time.Second)
		t.Report(now, 0, load(0, 0, 100))
		now = now.Add(time.Second)
		t.Full(now, 0, slots)
		gomega.Expect(t.Requests(now)).To(gomega.BeNumerically("~", slots+queue, 0.01))
		gomega.Expect(t.Limit(now, slots)).To(gomega.BeNumerically("<", slots+queue))
	})

	ginkgo.It("have a variance that grows as the report ages, to that of the target", func() {
		var t capacity.Target
		gomega.Expect(t.Variance(start)).To(gomega.BeZero())
		now := start
		for i := range 400 {
			now = now.Add(200 * ms)
			t.Report(now, 0, load(1, i%2*4, 100))
		}
		gomega.Expect(t.Variance(now)).To(gomega.BeZero())
		gomega.Expect(t.Variance(now.Add(200 * ms))).To(gomega.BeNumerically("~", 0.94, 0.2))
		gomega.Expect(t.Variance(now.Add(10 * time.Second))).To(gomega.BeNumerically("~", 4, 0.5))
	})

	ginkgo.It("have a mean error that follows the surprise of reports", func() {
		var t capacity.Target
		for i := range 200 {
			t.Report(start.Add(time.Duration(i)*100*ms), 0, load(i%2*3, 0, 100))
		}
		gomega.Expect(t.MeanError()).To(gomega.BeNumerically("~", 2.7, 0.5))
	})
})

// Load: deployment L, on which 15% of the targets take 2.5 times as long for 600 ms.
var _ = ginkgo.Describe("the work factor", func() {
	ginkgo.It("follows a target at 2.5 times its work for 600 ms, and returns", func() {
		var t capacity.Target
		now := start
		for range 100 {
			now = now.Add(100 * ms)
			t.Report(now, 0, load(2, 0, 100))
		}
		for range 6 {
			now = now.Add(100 * ms)
			t.Report(now, 0, load(3, 1, 250))
			gomega.Expect(t.WorkFactor(now)).To(gomega.BeNumerically("~", 2.5, 0.01))
		}
		gomega.Expect(t.WorkFactor(now.Add(600 * ms))).To(gomega.BeNumerically("~", 1.6, 0.15))
		gomega.Expect(t.WorkFactor(now.Add(3 * time.Second))).To(gomega.BeNumerically("<", 1.15))
		now = now.Add(100 * ms)
		t.Report(now, 0, load(3, 0, 100))
		gomega.Expect(t.WorkFactor(now)).To(gomega.BeNumerically("~", 1, 0.01))
		gomega.Expect(t.Limit(now, slots)).To(gomega.BeNumerically(">=", slots), "a phase says nothing of the limit")
	})

	ginkgo.It("returns to the average of a target that is always slow", func() {
		var t capacity.Target
		now := start
		for range 300 {
			now = now.Add(100 * ms)
			t.Report(now, 0, load(2, 0, 200))
		}
		t.Report(now.Add(100*ms), 0, load(2, 0, 100))
		gomega.Expect(t.WorkFactor(now.Add(10 * time.Second))).To(gomega.BeNumerically("~", 2, 0.15))
	})

	ginkgo.It("is what durations show if the target reports none, and few long requests move it little", func() {
		var t capacity.Target
		now := start
		for range 20 {
			now = now.Add(100 * ms)
			t.Ran(now, 500*ms, 500*ms)
		}
		t.Ran(now, 3500*ms, 500*ms)
		gomega.Expect(t.WorkFactor(now)).To(gomega.BeNumerically("<", 1.7))
		for range 20 {
			now = now.Add(100 * ms)
			t.Ran(now, 1250*ms, 500*ms)
		}
		gomega.Expect(t.WorkFactor(now)).To(gomega.BeNumerically("~", 2.4, 0.2))
	})

	ginkgo.It("is the reported one while durations differ from it", func() {
		var t capacity.Target
		t.Report(start, 0, load(2, 0, 200))
		t.Ran(start.Add(10*ms), 3500*ms, 500*ms)
		gomega.Expect(t.WorkFactor(start.Add(10 * ms))).To(gomega.BeNumerically("~", 2, 0.1))
	})
})

// Load: heavy days of deployment B, on which targets shed more than half of the requests.
var _ = ginkgo.Describe("the limit", func() {
	ginkgo.It("is slots and the longest queue that was accepted", func() {
		t := withQueue()
		gomega.Expect(t.Limit(start, slots)).To(gomega.Equal(float64(slots + queue)))
	})

	ginkgo.It("falls once per round trip, not once per shed, and rises again", func() {
		t := withQueue()
		for i := range 10 {
			t.Overloaded(start.Add(time.Duration(i) * ms))
		}
		now := start.Add(10 * ms)
		gomega.Expect(t.Limit(now, slots)).To(gomega.BeNumerically("~", 0.7*(slots+queue), 0.01))
		for range 50 {
			now = now.Add(200 * ms)
			t.Overloaded(now)
		}
		gomega.Expect(t.Limit(now, slots)).To(gomega.BeNumerically("~", 1, 0.01))
		fallen := t.Limit(now, slots)
		for i := range 60 {
			now = now.Add(200 * ms)
			t.Report(now, 0, load(0, 0, 100))
			if i == 10 {
				gomega.Expect(t.Limit(now, slots)).To(gomega.BeNumerically(">", fallen))
			}
		}
		gomega.Expect(t.Limit(now, slots)).To(gomega.Equal(float64(slots + queue)))
	})

	ginkgo.It("does not rise with reports of a target that is above it", func() {
		t := withQueue()
		t.Overloaded(start)
		fallen := t.Limit(start, slots)
		for i := range 20 {
			t.Report(start.Add(time.Duration(i)*200*ms), 0, load(slots, queue, 100))
		}
		gomega.Expect(t.Limit(start.Add(4*time.Second), slots)).To(gomega.Equal(fallen))
	})

	// Load: a target whose machine has three cores for eight slots.
	ginkgo.It("falls where work slows down long before the slots are full, and follows a target that recovers", func() {
		const many = 8
		for _, cores := range []int{3, 4} {
			var t capacity.Target
			now := start
			work := func(running int) int { return 100 * max(running, cores) / cores }
			for i := range 400 {
				now = now.Add(25 * ms)
				running := 1 + i*5%many
				t.Report(now, 0, lacewingramp.TargetLoad{Running: running, Slots: many, WorkPercent: work(running)})
			}
			gomega.Expect(t.Limit(now, many)).To(gomega.BeNumerically("~", cores, 0.01))
			// As the limit is kept, no more than that run, until the evidence on more is forgotten.
			tried := false
			for range 400 {
				now = now.Add(100 * ms)
				running := int(t.Limit(now, many))
				tried = tried || running == many
				t.Report(now, 0, lacewingramp.TargetLoad{Running: running, Slots: many, WorkPercent: 100})
			}
			gomega.Expect(tried).To(gomega.BeTrue())
			gomega.Expect(t.Limit(now, many)).To(gomega.Equal(float64(many)))
		}
	})

	ginkgo.It("falls for three slots on two cores", func() {
		var t capacity.Target
		now := start
		for i := range 200 {
			now = now.Add(50 * ms)
			running := 1 + i%slots
			t.Report(now, 0, load(running, 0, 100*max(running, 2)/2))
		}
		gomega.Expect(t.Limit(now, slots)).To(gomega.Equal(2.0))
	})

	ginkgo.It("falls the same way by durations", func() {
		const many = 8
		var t capacity.Target
		now := start
		for i := range 400 {
			now = now.Add(25 * ms)
			running := 1 + i*5%many
			t.Report(now, 0, lacewingramp.TargetLoad{Running: running - 1, Slots: many})
			t.Ran(now, time.Duration(max(running, 3))*100*ms, 300*ms)
		}
		gomega.Expect(t.Limit(now, many)).To(gomega.BeNumerically("~", 3, 0.01))
	})
})

func benchmarkTarget() *capacity.Target {
	t := withQueue()
	t.Sent(start)
	t.Ran(start.Add(ms), 500*ms, 480*ms)
	t.Overloaded(start.Add(2 * ms))
	return t
}

// maxCost bounds the time of each estimate: a choice among 400 targets costs at most 2 us and
// looks at a few of them.
const maxCost = 200 * time.Nanosecond

func BenchmarkEstimates(b *testing.B) {
	now := start.Add(300 * ms)
	for name, f := range map[string]func(t *capacity.Target) float64{
		"Requests":   func(t *capacity.Target) float64 { return t.Requests(now) },
		"WorkFactor": func(t *capacity.Target) float64 { return t.WorkFactor(now) },
		"Limit":      func(t *capacity.Target) float64 { return t.Limit(now, slots) },
	} {
		b.Run(name, func(b *testing.B) {
			t, sum := benchmarkTarget(), 0.0
			b.ReportAllocs()
			for b.Loop() {
				sum += f(t)
			}
			if sum < 0 {
				b.Fatal("negative estimate")
			}
			if took := b.Elapsed() / time.Duration(b.N); b.N > 1000 && took > maxCost {
				b.Fatalf("%s takes %v, more than %v", name, took, maxCost)
			}
		})
	}
}

// Guards against estimates that allocate, as each choice makes several.
var _ = ginkgo.It("estimates do not allocate", func() {
	t, now := benchmarkTarget(), start.Add(300*ms)
	allocations := testing.AllocsPerRun(100, func() {
		t.Report(now, 0, load(2, 1, 120))
		_, _, _ = t.Requests(now), t.WorkFactor(now), t.Limit(now, slots)
	})
	gomega.Expect(allocations).To(gomega.BeZero())
})
