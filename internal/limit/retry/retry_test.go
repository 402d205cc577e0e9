package retry_test

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/limit/retry"
)

var _ = ginkgo.Describe("a retry budget", func() {
	start := time.Unix(1_800_000_000, 0)
	const (
		ratio     = 0.2
		extra     = 56.0
		window    = 10 * time.Second
		instances = 8
	)

	ginkgo.It("limits the retries of all instances in any window", func() {
		r := rand.New(rand.NewPCG(3, 4))
		var budgets [instances]retry.Budget
		for i := range budgets {
			budgets[i] = retry.Budget{Ratio: ratio, Extra: extra, Window: window}
		}
		var requests, retries []time.Time
		for at := start; at.Before(start.Add(time.Minute)); at = at.Add(5 * time.Millisecond) {
			b := &budgets[r.IntN(instances)]
			// Demand falls to a tenth in the second half.
			if at.Before(start.Add(30*time.Second)) || r.IntN(10) == 0 {
				b.CountRequest(at, "recipes")
				requests = append(requests, at)
			}
			if b.Take(at, "recipes", instances) {
				retries = append(retries, at)
			}
		}
		for at := start; at.Before(start.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
			// The budget may come from requests in this window, the one before or the one
			// half a window earlier.
			maxRequests := max(countWithin(requests, at, window), countWithin(requests, at.Add(-window/2), window), countWithin(requests, at.Add(-window), window))
			got := countWithin(retries, at, window)
			gomega.Expect(float64(got)).To(gomega.BeNumerically("<=", ratio*float64(maxRequests)+extra), at.String())
		}
		gomega.Expect(len(retries)).To(gomega.BeNumerically(">", 500))
	})

	ginkgo.It("allows a retry to a service with little traffic", func() {
		b := retry.Budget{Ratio: ratio, Extra: extra, Window: window}
		gomega.Expect(b.Take(start, "recipes", instances)).To(gomega.BeTrue())
	})
})

func countWithin(all []time.Time, from time.Time, d time.Duration) int {
	n := 0
	for _, t := range all {
		if !t.Before(from) && t.Before(from.Add(d)) {
			n++
		}
	}
	return n
}
