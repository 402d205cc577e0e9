package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fixedThreshold is the simple method that the benchmark compares with: a canary of
// five per cent that is rolled back once more than a fixed fraction of its responses
// has failed or exceeded timeLimit, in seconds, and that otherwise gets all requests in
// the second half of the window.
type fixedThreshold struct {
	failLimit       float64
	timeLimit       float64
	minRequests     int
	requests        int
	faults          int
	faultyResponses int
	rolledBack      bool
}

func (f *fixedThreshold) run(x *simulation) {
	for now := start; now.Before(start.Add(x.window)) && !f.rolledBack; now = now.Add(simulationStep) {
		progress := now.Sub(start).Seconds() / x.window.Seconds()
		share := x.share
		if progress > 0.5 {
			share = 1
		}
		for range x.poisson(x.rate * simulationStep.Seconds()) {
			if x.random.Float64() < share {
				f.request(x, progress, share)
			}
		}
	}
}

func (f *fixedThreshold) request(x *simulation, progress, share float64) {
	n := x.random.IntN(routes)
	failureRate, factor := x.behaviour.failureRate(n, progress, share), x.behaviour.timeFactor(n, progress, share)
	if failureRate > 0 || factor > 2 {
		f.faultyResponses++
	}
	took := baseTime * factor * math.Exp(timeSpread*x.random.NormFloat64())
	f.requests++
	if x.random.Float64() < baseFailureRate+failureRate || took > f.timeLimit {
		f.faults++
	}
	if f.requests >= f.minRequests && float64(f.faults) > f.failLimit*float64(f.requests) {
		f.rolledBack = true
	}
}

// BenchmarkCanary compares the decisions of a Manager with those of a fixed
// threshold, in 240 seeded cases.
func BenchmarkCanary(b *testing.B) {
	for _, method := range []string{"sums", "fixed"} {
		b.Run(method, func(b *testing.B) {
			for b.Loop() {
				measureCanary(b, method)
			}
		})
	}
}

func measureCanary(b *testing.B, method string) {
	var good, done, bad, rolledBack int
	var faultyResponses int64
	for seed := range uint64(24) {
		r := rand.New(rand.NewPCG(seed, 1))
		for i, c := range behaviours(r) {
			x := newSimulation(seed*100+uint64(i), c, 60+240*r.Float64(), 2*time.Minute)
			back, exposed := false, int64(0)
			if method == "fixed" {
				f := &fixedThreshold{failLimit: 0.05, timeLimit: 3 * baseTime, minRequests: 50}
				f.run(x)
				back, exposed = f.rolledBack, int64(f.faultyResponses)
			} else {
				back, exposed = allIn(x.run(), "rolledback"), x.faultyRequests
			}
			if c.bad {
				bad++
				faultyResponses += exposed
				if back {
					rolledBack++
				}
				continue
			}
			good++
			if !back {
				done++
			}
		}
	}
	b.ReportMetric(100*float64(done)/float64(good), "good-done-%")
	b.ReportMetric(100*float64(rolledBack)/float64(bad), "bad-back-%")
	b.ReportMetric(float64(faultyResponses)/float64(bad), "faulty-answers/case")
}
