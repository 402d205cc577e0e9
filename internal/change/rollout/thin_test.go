package rollout

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// thinRollout plays a rollout to a fraction of its window. Hardly any response of the new
// version can be compared, as its targets have not had the objects before; slowKnown of the
// knownRequests that can be are slow. recordsAt returns up to when the outcomes in the store
// are known.
func thinRollout(knownRequests, slowKnown int, until float64, recordsAt func(now time.Time) time.Time) (m *Manager, end time.Time) {
	const usual, slowTime, firstTime = 50 * time.Millisecond, 200 * time.Millisecond, 220 * time.Millisecond
	m = newFleet(1, fleetScenario{}).managers[0]
	observe := func(now time.Time, target int, object string, took time.Duration) {
		m.Observe(lacewingramp.AttemptResult{
			Route: "read", Service: service, Version: newVersion, Target: targetNames[target], Object: object, Load: 0.2, EndedAt: now, Took: took,
		})
	}
	end = start.Add(pointOf(until))
	for i, now := 0, start; !now.After(end); i, now = i+1, now.Add(fleetExchange) {
		observeFast(m, now, oldVersion, 0.6, 40)
		for n := range 3 {
			observe(now, i%len(targetNames), objectName(i, n), firstTime)
		}
		if i > 0 && i <= knownRequests {
			took := usual
			if i <= slowKnown {
				took = slowTime
			}
			observe(now, (i-1)%len(targetNames), objectName(i-1, 0), took)
		}
		for _, o := range m.Tick(now, recordsAt(now)) {
			m.ApplyRecord(o)
		}
	}
	return m, end
}

var targetNames = []string{"a", "b", "c", "d", "e", "f"}

func objectName(tick, n int) string {
	return time.Duration(tick*10 + n).String()
}

var _ = ginkgo.Describe("a rollout of which few responses can be compared", func() {
	known := func(now time.Time) time.Time { return now }
	unknown := func(time.Time) time.Time { return time.Time{} }
	state := func(m *Manager, now time.Time) string { return string(m.Statuses(now)[0].State) }

	// Guards against a version that gets the ramp's requests although most of the few
	// responses that could be compared were slow. The users' bench, kavach-harness, a slow
	// version ordered during a burst, seed 1.
	ginkgo.It("is rolled back before the ramp if too many of them are slow", func() {
		m, now := thinRollout(8, 4, rampStart, known)
		gomega.Expect(state(m, now)).To(gomega.Equal(string(StateRolledBack)))
	})

	ginkgo.It("goes on to the ramp if they are not slow", func() {
		m, now := thinRollout(8, 1, rampStart, known)
		gomega.Expect(state(m, now)).To(gomega.Equal(string(StateRamp)))
		gomega.Expect(m.Statuses(now)[0].Share).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("is rolled back in the ramp that another instance has started", func() {
		m, now := thinRollout(8, 4, 0.6, known)
		m.ResumeRamp("move", start, now)
		m.Tick(start.Add(pointOf(canaryDeadline)+fleetExchange), start.Add(pointOf(canaryDeadline)))
		gomega.Expect(state(m, now)).To(gomega.Equal(string(StateRolledBack)))
	})

	// Guards against one instance that was cut off and rolls back, on the little that it has
	// seen itself, what the others have finished.
	ginkgo.It("gets no requests, and is not rolled back, if it is not known what the store has", func() {
		m, now := thinRollout(8, 4, 0.75, unknown)
		gomega.Expect(state(m, now)).To(gomega.Equal(string(StateCanary)))
		gomega.Expect(m.Statuses(now)[0].Share).To(gomega.BeZero())
		m, now = thinRollout(8, 4, 0.6, unknown)
		m.ResumeRamp("move", start, now)
		now = start.Add(pointOf(rampEnd))
		m.Tick(now, time.Time{})
		gomega.Expect(state(m, now)).To(gomega.Equal(string(StateRamp)))
		gomega.Expect(m.Statuses(now)[0].Share).To(gomega.BeZero())
	})
})

// pointOf returns the time from the start of a fleet's rollout to a fraction of its window.
func pointOf(fraction float64) time.Duration {
	return time.Duration(fraction * float64(fleetWindow))
}
