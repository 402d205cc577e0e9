package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fixed is the simple way: a canary of five per cent that is taken back once
// more than a fixed part of all its answers has failed or taken over a fixed
// time, and moved whole at half time otherwise.
type fixed struct {
	failLimit float64
	timeLimit float64
	least     int
	count     int
	faults    int
	faulty    int
	taken     bool
}

func (f *fixed) run(x *experiment) {
	for now := start; now.Before(start.Add(x.window)) && !f.taken; now = now.Add(expStep) {
		at := now.Sub(start).Seconds() / x.window.Seconds()
		share := x.share
		if at > 0.5 {
			share = 1
		}
		for range x.poisson(x.rate * expStep.Seconds()) {
			if x.random.Float64() < share {
				f.request(x, at, share)
			}
		}
	}
}

func (f *fixed) request(x *experiment, at, share float64) {
	n := x.random.IntN(routes)
	fail, times := x.behaviour.fail(n, at, share), x.behaviour.slow(n, at, share)
	if fail > 0 || times > 2 {
		f.faulty++
	}
	took := baseTime * times * math.Exp(spread*x.random.NormFloat64())
	f.count++
	if x.random.Float64() < baseFail+fail || took > f.timeLimit {
		f.faults++
	}
	if f.count >= f.least && float64(f.faults) > f.failLimit*float64(f.count) {
		f.taken = true
	}
}

// BenchmarkCanary compares the decisions with those of a fixed threshold, over
// 240 seeded cases.
func BenchmarkCanary(b *testing.B) {
	for _, way := range []string{"sums", "fixed"} {
		b.Run(way, func(b *testing.B) {
			for b.Loop() {
				canary(b, way)
			}
		})
	}
}

func canary(b *testing.B, way string) {
	var good, done, bad, taken int
	var faulty int64
	for seed := range uint64(24) {
		r := rand.New(rand.NewPCG(seed, 1))
		for i, c := range behaviours(r) {
			x := newExperiment(seed*100+uint64(i), c, 60+240*r.Float64(), 2*time.Minute)
			back, met := false, int64(0)
			if way == "fixed" {
				f := &fixed{failLimit: 0.05, timeLimit: 3 * baseTime, least: 50}
				f.run(x)
				back, met = f.taken, int64(f.faulty)
			} else {
				back, met = all(x.run(), "rolledback"), x.faults
			}
			if c.bad {
				bad++
				faulty += met
				if back {
					taken++
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
	b.ReportMetric(100*float64(taken)/float64(bad), "bad-back-%")
	b.ReportMetric(float64(faulty)/float64(bad), "faulty-answers/case")
}
