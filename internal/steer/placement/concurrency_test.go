package placement_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// timeLimit is how long requests wait for a response in these tests.
const timeLimit = 5 * usual

// inflight sends requests until the Placer refuses one, and returns the choices.
func inflight(now time.Time, p *placement.Placer) (choices []placement.Choice) {
	for {
		c := p.Choose(now, query("7"))
		if c.Target == nil {
			return choices
		}
		choices = append(choices, c)
	}
}

// end ends requests: with responses, or by a timeout.
func end(now time.Time, p *placement.Placer, choices []placement.Choice, timedOut bool) {
	for _, c := range choices {
		p.Done(now, placement.Report{
			Target: c.Target.Name, StartMillis: c.StartMillis, ChosenAt: c.ChosenAt, Took: now.Sub(c.ChosenAt),
			Ran: !timedOut, TimedOut: timedOut,
		})
	}
}

// Pattern: more is asked of a target than it can run, by customers that no other may serve. All
// requests waited there until they were cut, most of them while it worked on them.
var _ = ginkgo.Describe("a target whose requests time out", func() {
	var p *placement.Placer
	var now time.Time
	ginkgo.BeforeEach(func() {
		p, now = newPlacer("x", 1, 9), start
		end(now.Add(usual), p, inflight(now, p), false)
		now = now.Add(time.Second)
	})
	timeOut := func() {
		choices := inflight(now, p)
		gomega.Expect(choices).NotTo(gomega.BeEmpty())
		now = now.Add(timeLimit)
		end(now, p, choices, true)
	}

	ginkgo.It("gets fewer at a time", func() {
		timeOut()
		gomega.Expect(inflight(now, p)).To(gomega.HaveLen(5), "one decrease for all that were in flight")
	})

	ginkgo.It("still gets one from time to time", func() {
		for range 8 {
			timeOut()
			now = now.Add(time.Second)
		}
		choices := inflight(now, p)
		gomega.Expect(choices).To(gomega.HaveLen(1))
		end(now.Add(usual), p, choices, true)
		gomega.Expect(inflight(now.Add(2*usual), p)).To(gomega.BeEmpty())
		gomega.Expect(inflight(now.Add(5*usual), p)).To(gomega.HaveLen(1))
	})

	ginkgo.It("gets as many as before once it has responded for a while", func() {
		for range 8 {
			timeOut()
			now = now.Add(time.Second)
		}
		most := 0
		for range 60 {
			choices := inflight(now, p)
			now = now.Add(usual)
			end(now, p, choices, false)
			most = max(most, len(choices))
		}
		gomega.Expect(most).To(gomega.Equal(9))
	})

	ginkgo.It("gets as many as before if they had much less time than it takes", func() {
		choices := inflight(now, p)
		end(now.Add(usual/4), p, choices, true)
		gomega.Expect(inflight(now.Add(usual), p)).To(gomega.HaveLen(9))
	})

	ginkgo.It("gets as many as before if the process was paused meanwhile", func() {
		choices := inflight(now, p)
		p.Resume(now.Add(timeLimit))
		end(now.Add(timeLimit), p, choices, true)
		gomega.Expect(inflight(now.Add(timeLimit), p)).To(gomega.HaveLen(9))
	})

	ginkgo.It("gets as many as before if the instance had been cut off from all targets", func() {
		timeOut()
		p.ForgetUnreachable(start)
		gomega.Expect(inflight(now, p)).To(gomega.HaveLen(9))
	})
})
