package completion_test

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/steer/completion"
)

const ms = time.Millisecond

// query is a request of the route query of a deployment with hard load: 480 ms at a cold
// target, 144 ms at a warm one.
func query() completion.Request {
	return completion.Request{Work: completion.Estimate{Warm: 144 * ms, Cold: 480 * ms}, Mean: 144 * ms, Objective: 400 * ms, Remaining: 1500 * ms}
}

func warmTarget(index int, requests float64) completion.Candidate {
	return completion.Candidate{Index: index, Slots: 3, Requests: requests, Factor: 1, Warmth: 0.97, Delay: ms}
}

func coldTarget(index int) completion.Candidate {
	return completion.Candidate{Index: index, Slots: 3, Factor: 1, Warmth: 0.05, Delay: ms}
}

func best(r completion.Request, candidates ...completion.Candidate) (completion.Estimated, bool) {
	var s completion.Search
	for _, c := range candidates {
		s.Add(&r, r.Estimate(c))
	}
	return s.Best(completion.AnyRegion)
}

var _ = ginkgo.Describe("the choice by completion time", func() {
	ginkgo.It("prefers the first target of the ranking that is in time", func() {
		e, ok := best(query(), warmTarget(0, 1), warmTarget(1, 0))
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(e.Index).To(gomega.Equal(0))
		gomega.Expect(e.Expected).To(gomega.BeNumerically("~", 155*ms, 25*ms))
	})

	// Load: an object that one target runs barely. A wait is better than a cold run, which is late.
	ginkgo.It("waits some 200 ms at a warm target rather than use a cold one", func() {
		e, _ := best(query(), warmTarget(0, 6), coldTarget(1))
		gomega.Expect(e.Index).To(gomega.Equal(0))
		gomega.Expect(e.Expected).To(gomega.BeNumerically(">", 300*ms))
	})

	// Load: an object that exceeds one target. The queue at the warm target would take longer than
	// a cold run, which makes the next target warm.
	ginkgo.It("spreads to the next target of the ranking when the wait becomes too long", func() {
		e, _ := best(query(), warmTarget(0, 20), coldTarget(1), coldTarget(2))
		gomega.Expect(e.Index).To(gomega.Equal(1))
	})

	// Load: targets that take 2.5 times as long for 600 ms.
	ginkgo.It("passes over a slow target while another one is in time", func() {
		slow := warmTarget(0, 0)
		slow.Factor = 2.5
		e, _ := best(query(), slow, warmTarget(1, 1))
		gomega.Expect(e.Index).To(gomega.Equal(1))
		slow.Factor = 1
		e, _ = best(query(), slow, warmTarget(1, 1))
		gomega.Expect(e.Index).To(gomega.Equal(0))
	})

	ginkgo.It("chooses none that would end after the deadline, or that is at its limit", func() {
		r := query()
		r.Remaining = 100 * ms
		_, ok := best(r, warmTarget(0, 0), coldTarget(1))
		gomega.Expect(ok).To(gomega.BeFalse())
		limited := warmTarget(0, 3)
		limited.Over = 1
		_, ok = best(query(), limited)
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	// Failure guarded against: a caller held for room that comes too late for its deadline.
	ginkgo.It("tells when a target at its limit has room, unless that is too late", func() {
		limited := warmTarget(0, 3)
		limited.Over = 1
		r := query()
		var s completion.Search
		s.Add(&r, r.Estimate(limited))
		gomega.Expect(s.RoomIn()).To(gomega.BeNumerically("~", 48*ms, 5*ms))
		r.Remaining = 200 * ms
		s = completion.Search{}
		s.Add(&r, r.Estimate(limited))
		gomega.Expect(s.RoomIn()).To(gomega.BeZero())
	})

	ginkgo.It("uses a doubtful target only if there is no other", func() {
		doubtful := warmTarget(0, 0)
		doubtful.Doubtful = true
		e, _ := best(query(), doubtful, coldTarget(1))
		gomega.Expect(e.Index).To(gomega.Equal(1))
		e, ok := best(query(), doubtful)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(e.Index).To(gomega.Equal(0))
	})
})

var _ = ginkgo.Describe("the work of a route", func() {
	add := func(w *completion.Work, random *rand.Rand, n int, d time.Duration) {
		for range n {
			w.Add(time.Duration(float64(d) * (0.85 + 0.3*random.Float64())))
		}
	}
	mixed := func(w *completion.Work, random *rand.Rand, n int) {
		for range n {
			add(w, random, 7, 144*ms)
			add(w, random, 1, 480*ms)
		}
	}

	ginkgo.It("is learned for warm and cold runs", func() {
		var w completion.Work
		gomega.Expect(w.Estimate().Known()).To(gomega.BeFalse())
		mixed(&w, rand.New(rand.NewPCG(1, 1)), 20)
		gomega.Expect(w.Estimate().Warm).To(gomega.BeNumerically("~", 144*ms, 20*ms))
		gomega.Expect(w.Estimate().Cold).To(gomega.BeNumerically("~", 480*ms, 70*ms))
	})

	// Failure guarded against: an estimate made while all targets are cold that stays.
	ginkgo.It("is corrected when what was taken for warm runs were cold ones", func() {
		var w completion.Work
		random := rand.New(rand.NewPCG(2, 2))
		add(&w, random, 32, 480*ms)
		mixed(&w, random, 16)
		gomega.Expect(w.Estimate().Warm).To(gomega.BeNumerically("~", 144*ms, 20*ms))
	})

	// Load: 15% of the targets take 2.5 times as long, and 3% of the requests 7 times.
	ginkgo.It("is not moved by a part of the targets that is slow, garbage or long requests", func() {
		var w completion.Work
		random := rand.New(rand.NewPCG(3, 3))
		for range 100 {
			mixed(&w, random, 1)
			switch d := random.Float64(); {
			case d < 0.3:
				w.Add(144 * ms * 5 / 2)
			case d < 0.4:
				w.Add(144 * ms * 7)
			case d < 0.45:
				w.Add(-time.Hour)
				w.Add(1000 * time.Hour)
				w.Add(0)
			}
			e := w.Estimate()
			if !e.Known() {
				continue
			}
			gomega.Expect(e.Warm).To(gomega.BeNumerically("~", 144*ms, 30*ms))
			gomega.Expect(float64(e.Cold) / float64(e.Warm)).To(gomega.And(gomega.BeNumerically(">=", 2.49), gomega.BeNumerically("<=", 5.01)))
		}
	})
})

var _ = ginkgo.Describe("what is learned of ranks and regions", func() {
	ginkgo.It("follows how often a rank is warm, within bounds", func() {
		var w completion.Warmth
		before := w.At(3)
		for range 200 {
			w.Add(3, true)
		}
		gomega.Expect(w.At(3)).To(gomega.And(gomega.BeNumerically(">", before), gomega.BeNumerically("<", 1)))
		for range 400 {
			w.Add(3, false)
		}
		gomega.Expect(w.At(3)).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 0.1)))
		w.Add(-1, true)
		w.Add(10_000, true)
		gomega.Expect(w.At(10_000)).To(gomega.Equal(w.At(completion.MaxCandidates - 1)))
	})

	ginkgo.It("takes the delay to another region from the shortest responses", func() {
		var d completion.Delays
		gomega.Expect(d.To("a", "a")).To(gomega.BeNumerically("<=", 2*ms))
		gomega.Expect(d.To("a", "b")).To(gomega.BeNumerically(">=", 20*ms))
		random := rand.New(rand.NewPCG(4, 4))
		for range 200 {
			d.Add("a", 120*ms+time.Duration(random.IntN(400))*ms)
			d.Add("b", 190*ms+time.Duration(random.IntN(400))*ms)
		}
		gomega.Expect(d.To("a", "b")).To(gomega.BeNumerically("~", 70*ms, 25*ms))
	})
})
