package completion_test

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/steer/completion"
)

// shift simulates the instances of a region, each with some requests a second, whose
// unbounded choice gives home(t) of them to the own region. It returns the largest change
// of that share from one window of 2 s to the next, and the share of the last window.
func shift(instances int, rate float64, home func(seconds float64) float64) (largest, last float64) {
	const windows, seconds = 20, 2
	random := rand.New(rand.NewPCG(5, 5))
	regions := make([]completion.Regions, instances)
	start := time.Unix(1_800_000_000, 0)
	previous := -1.0
	for w := range windows {
		own, n := 0, int(rate*seconds*float64(instances))
		for i := range n {
			at := seconds * (float64(w) + float64(i)/float64(n))
			now := start.Add(time.Duration(at * float64(time.Second)))
			wanted := 1
			if random.Float64() < home(at) {
				wanted = 0
			}
			r := &regions[random.IntN(instances)]
			region := r.Want(now, wanted)
			r.Sent(region)
			if region == 0 {
				own++
			}
		}
		last = float64(own) / float64(n)
		if previous >= 0 && w > 2 {
			largest = max(largest, last-previous, previous-last)
		}
		previous = last
	}
	return largest, last
}

var _ = ginkgo.Describe("the movement of requests between regions", func() {
	// The rule: not more than 15% of a region's requests change their region from one
	// window of 2 s to the next when only the load changes.
	const most = 0.15

	// Load: an overflow to another region that is over at once, for many and for few
	// requests per instance.
	ginkgo.It("is gradual when the load falls at once", func() {
		falls := func(t float64) float64 {
			if t < 10 {
				return 0.4
			}
			return 1
		}
		for _, rate := range []float64{40, 14} {
			largest, last := shift(29, rate, falls)
			gomega.Expect(largest).To(gomega.BeNumerically("<", most))
			gomega.Expect(last).To(gomega.BeNumerically(">", 0.9))
		}
	})

	// Load: regions whose loads rise and fall in turn.
	ginkgo.It("is gradual when a choice alternates each second, and does not swing", func() {
		alternates := func(t float64) float64 {
			if int(t)%2 == 0 {
				return 0.9
			}
			return 0.1
		}
		largest, _ := shift(29, 14, alternates)
		gomega.Expect(largest).To(gomega.BeNumerically("<", 0.1))
	})

	ginkgo.It("leaves a steady choice as it is", func() {
		largest, last := shift(29, 14, func(float64) float64 { return 0.7 })
		gomega.Expect(largest).To(gomega.BeNumerically("<", 0.08))
		gomega.Expect(last).To(gomega.BeNumerically("~", 0.7, 0.06))
	})
})
