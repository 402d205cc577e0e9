package placement_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// usual is how long the targets of these tests take for a request, and slowTime what one that
// has turned slow takes.
const (
	usual    = 200 * time.Millisecond
	slowTime = 12 * usual
)

// respond sends a request for an object and records the response, with the number of requests
// that then wait at the target. It returns the target.
func respond(now time.Time, p *placement.Placer, object string, took time.Duration, waiting int) string {
	c := p.Choose(now, query(object))
	gomega.Expect(c.Target).NotTo(gomega.BeNil())
	p.Done(now.Add(took), placement.Report{
		Target: c.Target.Name, StartMillis: c.StartMillis, ChosenAt: c.ChosenAt, Took: took, Ran: true,
		TargetLoad: &lacewingramp.TargetLoad{Running: 1, Waiting: waiting},
	})
	return c.Target.Name
}

// timeOutAt sends a request for an object that times out, while another target responds. It returns
// the target.
func timeOutAt(now time.Time, p *placement.Placer, object string) string {
	c := p.Choose(now, query(object))
	gomega.Expect(c.Target).NotTo(gomega.BeNil())
	endedAt := now.Add(slowTime)
	respond(endedAt.Add(-2*usual), p, otherObject(endedAt, p, c.Target.Name), usual, 0)
	p.Done(endedAt, placement.Report{Target: c.Target.Name, StartMillis: c.StartMillis, ChosenAt: c.ChosenAt, Took: slowTime, TimedOut: true})
	return c.Target.Name
}

// newUsualPlacer returns a Placer that knows how long its targets usually take, and a time at
// which none of them is busy.
func newUsualPlacer() (*placement.Placer, time.Time) {
	p := newPlacer("x", 12, 3)
	now := start
	for i := range 200 {
		respond(now, p, fmt.Sprint(i%40), usual, 0)
		now = now.Add(usual)
	}
	return p, now.Add(5 * time.Second)
}

// first returns the target that a Placer chooses for an object.
func first(now time.Time, p *placement.Placer, object string) string {
	c := p.Choose(now, query(object))
	gomega.Expect(c.Target).NotTo(gomega.BeNil())
	p.Cancel(c.Target.Name)
	return c.Target.Name
}

// Pattern: a part of the targets of a large deployment turns slow. An instance sees few responses
// of each, so that callers wait behind one slow target after another.
var _ = ginkgo.Describe("a target that has turned slow", func() {
	var p *placement.Placer
	var now time.Time
	ginkgo.BeforeEach(func() { p, now = newUsualPlacer() })

	ginkgo.It("is avoided for a while once a request has timed out there", func() {
		name := timeOutAt(now, p, "7")
		now = now.Add(slowTime)
		gomega.Expect(first(now, p, "7")).NotTo(gomega.Equal(name))
		gomega.Expect(first(now.Add(7*time.Second), p, "7")).To(gomega.Equal(name))
	})

	// Its objects would be unknown to other targets, which costs more than a late response.
	ginkgo.It("is not avoided as long as it responds", func() {
		for i := range 20 {
			name := respond(now, p, "7", slowTime, i%2)
			now = now.Add(slowTime)
			gomega.Expect(p.Slow(now, name)).To(gomega.BeFalse())
			gomega.Expect(p.SlowTargets(now)).To(gomega.BeEmpty())
		}
	})

	ginkgo.It("is used again once it has responded as usual", func() {
		name := timeOutAt(now, p, "7")
		now = now.Add(slowTime)
		p.Done(now, placement.Report{Target: name, Took: usual, Ran: true, TargetLoad: &lacewingramp.TargetLoad{Running: 1}})
		gomega.Expect(p.Slow(now, name)).To(gomega.BeFalse())
	})

	ginkgo.It("is not suspected if no other target has responded meanwhile", func() {
		c := p.Choose(now, query("7"))
		now = now.Add(slowTime)
		p.Done(now, placement.Report{Target: c.Target.Name, ChosenAt: c.ChosenAt, Took: slowTime, TimedOut: true})
		gomega.Expect(p.Slow(now, c.Target.Name)).To(gomega.BeFalse())
	})

	ginkgo.It("is not suspected for the time in which the process was paused", func() {
		p.Resume(now.Add(slowTime / 2))
		name := timeOutAt(now, p, "7")
		gomega.Expect(p.Slow(now.Add(slowTime), name)).To(gomega.BeFalse())
	})

	ginkgo.It("is avoided by instances to which two failure domains report it", func() {
		name := timeOutAt(now, p, "7")
		reported := p.SlowTargets(now.Add(slowTime))
		gomega.Expect(reported).To(gomega.HaveLen(1))
		other, at := newUsualPlacer()
		gomega.Expect(first(at, other, "7")).To(gomega.Equal(name))
		other.MarkSlow(at, reported[0], "a")
		other.MarkSlow(at, reported[0], "a")
		gomega.Expect(first(at, other, "7")).To(gomega.Equal(name), "those of one domain may be cut off from it")
		other.MarkSlow(at, reported[0], "b")
		gomega.Expect(first(at, other, "7")).NotTo(gomega.Equal(name))
		gomega.Expect(other.SlowTargets(at)).To(gomega.BeEmpty(), "reports are not passed on")
		gomega.Expect(first(at.Add(7*time.Second), other, "7")).To(gomega.Equal(name))
	})

	ginkgo.It("is used if all of them are slow", func() {
		for i := range 12 {
			s := lacewingramp.SlowTarget{Target: fmt.Sprint("t", i), RemainingMillis: 5000}
			p.MarkSlow(now, s, "a")
			p.MarkSlow(now, s, "b")
		}
		gomega.Expect(p.Choose(now, query("7")).Target).NotTo(gomega.BeNil())
	})

	ginkgo.It("is named in few of many reports at once", func() {
		var choices []placement.Choice
		for i := range 200 {
			if c := p.Choose(now, query(fmt.Sprint(i))); c.Target != nil {
				choices = append(choices, c)
			}
		}
		slow := make(map[string]bool)
		last := choices[len(choices)-1]
		p.Done(now.Add(slowTime), placement.Report{Target: last.Target.Name, ChosenAt: last.ChosenAt, Took: slowTime, Ran: true})
		choices = choices[:len(choices)-1]
		for _, c := range choices {
			p.Done(now.Add(slowTime), placement.Report{Target: c.Target.Name, StartMillis: c.StartMillis, ChosenAt: c.ChosenAt, Took: slowTime, TimedOut: true})
			slow[c.Target.Name] = true
		}
		gomega.Expect(len(slow)).To(gomega.BeNumerically(">", 8))
		gomega.Expect(len(p.SlowTargets(now.Add(slowTime)))).To(gomega.BeNumerically("<=", 8))
	})
})

// otherObject returns an object whose requests do not go to a target.
func otherObject(now time.Time, p *placement.Placer, target string) string {
	for i := range 100 {
		if first(now, p, fmt.Sprint(i)) != target {
			return fmt.Sprint(i)
		}
	}
	ginkgo.Fail("all objects go to one target")
	return ""
}
