package rollout

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// thinEvidence is what an instance sees of a rollout of which hardly any response can be
// compared: firstPerTick responses a tick for objects that the new version's targets have not
// had before, and known others, one a tick, the first slow of them slow.
type thinEvidence struct {
	firstPerTick int
	known        int
	slow         int
}

// play plays a rollout at an instance to a fraction of its window. recordsAt returns up to when
// the instance knows the outcomes in the store.
func (t thinEvidence) play(until float64, recordsAt func(now time.Time) time.Time) (m *Manager, end time.Time) {
	const usualTime, slowTime, firstTime = 50 * time.Millisecond, 200 * time.Millisecond, 220 * time.Millisecond
	targets := []string{"a", "b", "c", "d", "e", "f"}
	object := func(tick, n int) string { return time.Duration(tick*10 + n).String() }
	m = newFleet(1, fleetScenario{}).managers[0]
	observe := func(now time.Time, tick, n int, took time.Duration) {
		m.Observe(lacewingramp.AttemptResult{
			Route: "read", Service: service, Version: newVersion, Target: targets[tick%len(targets)], Object: object(tick, n), Load: 0.2, EndedAt: now, Took: took,
		})
	}
	end = pointOf(until)
	for i, now := 0, start; !now.After(end); i, now = i+1, now.Add(fleetExchange) {
		observeFast(m, now, oldVersion, 0.6, 40)
		for n := range t.firstPerTick {
			observe(now, i, n, firstTime)
		}
		switch {
		case i == 0 || i > t.known:
		case i <= t.slow:
			observe(now, i-1, 0, slowTime)
		default:
			observe(now, i-1, 0, usualTime)
		}
		for _, o := range m.Tick(now, recordsAt(now)) {
			m.ApplyRecord(o)
		}
	}
	return m, end
}

// pointOf returns the time at which a fraction of the window of a fleet's rollout has passed.
func pointOf(fraction float64) time.Time {
	return start.Add(time.Duration(fraction * float64(fleetWindow)))
}

var _ = ginkgo.Describe("a rollout of which few responses can be compared", func() {
	doubtful := thinEvidence{firstPerTick: 3, known: 8, slow: 4}
	inTouch := func(now time.Time) time.Time { return now }
	cutOff := func(time.Time) time.Time { return time.Time{} }
	state := func(m *Manager, now time.Time) string { return string(m.Statuses(now)[0].State) }

	// Guards against a version that gets the ramp's requests although most of the few
	// responses that could be compared were slow. The users' bench, kavach-harness, a slow
	// version ordered during a burst, seed 1.
	ginkgo.It("is rolled back before the ramp if too many of them are slow", func() {
		m, now := doubtful.play(rampStart, inTouch)
		gomega.Expect(state(m, now)).To(gomega.Equal(string(StateRolledBack)))
	})

	ginkgo.It("goes on to the ramp if they are not slow", func() {
		m, now := thinEvidence{firstPerTick: 3, known: 8, slow: 1}.play(rampStart, inTouch)
		gomega.Expect(state(m, now)).To(gomega.Equal(string(StateRamp)))
		gomega.Expect(m.Statuses(now)[0].Share).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("is rolled back in the ramp that another instance has started", func() {
		m, now := doubtful.play(0.6, inTouch)
		m.ResumeRamp("move", start, now)
		for ; now.Before(pointOf(rampStart)); now = now.Add(fleetExchange) {
			m.Tick(now, now)
		}
		gomega.Expect(state(m, now)).To(gomega.Equal(string(StateRolledBack)))
	})

	// Guards against one instance that was cut off and rolls back, on the little that it has
	// seen itself, what the others have finished.
	ginkgo.It("gets no requests, and is not rolled back, if it is not known what the store has", func() {
		m, now := doubtful.play(0.75, cutOff)
		gomega.Expect(state(m, now)).To(gomega.Equal(string(StateCanary)))
		gomega.Expect(m.Statuses(now)[0].Share).To(gomega.BeZero())
		m, now = doubtful.play(0.6, cutOff)
		m.ResumeRamp("move", start, now)
		now = pointOf(rampEnd)
		m.Tick(now, time.Time{})
		gomega.Expect(state(m, now)).To(gomega.Equal(string(StateRamp)))
		gomega.Expect(m.Statuses(now)[0].Share).To(gomega.BeZero())
	})

	// Guards against an instance that was cut off and rolls back, on the little that it has
	// seen itself, before it has the evidence of the others.
	ginkgo.DescribeTable("is not rolled back by an instance that comes back, until it has the others' evidence",
		func(own thinEvidence) {
			const back = 0.72
			m, now := own.play(back, cutOff)
			for until := now.Add(evidenceDelay - fleetExchange); now.Before(until); now = now.Add(fleetExchange) {
				gomega.Expect(m.Tick(now, now)).To(gomega.BeEmpty())
			}
			for _, version := range []string{oldVersion, newVersion} {
				m.Record([]lacewingramp.RolloutStats{{
					Instance: "other", Rollout: rolloutID("move", start), Service: service, Route: "read", Version: version, RequestCount: 300,
					Groups: []lacewingramp.TargetGroup{{RequestCount: 300, Compared: 200, Loaded: 100}},
				}}, nil)
			}
			for ; now.Before(pointOf(earliestDone)); now = now.Add(fleetExchange) {
				m.Tick(now, now)
			}
			gomega.Expect(state(m, now)).To(gomega.Equal(string(StateRamp)))
		},
		ginkgo.Entry("if its own is doubtful", doubtful),
		ginkgo.Entry("if it has seen nothing of the new version", thinEvidence{}),
	)
})
