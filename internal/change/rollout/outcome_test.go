package rollout

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/chart"
)

// earlierOutcome is an outcome as earlier builds know it, which do not tell whether it is
// recorded.
type earlierOutcome struct {
	Rollout   string    `cbor:"1,keyasint"`
	Start     time.Time `cbor:"2,keyasint"`
	State     string    `cbor:"3,keyasint"`
	Reason    string    `cbor:"4,keyasint"`
	DecidedAt time.Time `cbor:"5,keyasint"`
}

// convert encodes a value and decodes it into another one, as between two builds.
func convert(from, to any) {
	encoded, err := cbor.Marshal(from)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(cbor.Unmarshal(encoded, to)).To(gomega.Succeed())
}

var _ = ginkgo.Describe("an outcome", func() {
	var m *Manager
	done := lacewingramp.RolloutOutcome{Rollout: "move", Start: start, State: string(StateDone)}
	rolledBack := lacewingramp.RolloutOutcome{Rollout: "move", Start: start, State: string(StateRolledBack)}
	ginkgo.BeforeEach(func() {
		m = newFleet(1, fleetScenario{}).managers[0]
		m.Tick(start, start)
	})
	state := func() string { return string(m.Statuses(start)[0].State) }

	// Guards against an instance that overrules what all others know from the store.
	ginkgo.It("that is recorded is not replaced by what an instance has decided", func() {
		m.ApplyRecord(done)
		m.Record(nil, []lacewingramp.RolloutOutcome{rolledBack})
		gomega.Expect(state()).To(gomega.Equal(string(StateDone)))
	})

	ginkgo.It("that is recorded replaces a rollback, from the store and from a peer", func() {
		recorded := done
		recorded.Recorded = true
		m.Record(nil, []lacewingramp.RolloutOutcome{rolledBack})
		gomega.Expect(state()).To(gomega.Equal(string(StateRolledBack)))
		m.Record(nil, []lacewingramp.RolloutOutcome{recorded})
		gomega.Expect(state()).To(gomega.Equal(string(StateDone)))
		m.ApplyRecord(rolledBack)
		gomega.Expect(state()).To(gomega.Equal(string(StateRolledBack)))
	})

	// Guards against instances that never learn what a store restored from a backup has lost
	// and then recorded anew.
	ginkgo.It("that the store has replaces an earlier record, which no peer does", func() {
		m.ApplyRecord(done)
		recorded := rolledBack
		recorded.Recorded = true
		m.Record(nil, []lacewingramp.RolloutOutcome{recorded})
		gomega.Expect(state()).To(gomega.Equal(string(StateDone)))
		m.ApplyRecord(rolledBack)
		gomega.Expect(state()).To(gomega.Equal(string(StateRolledBack)))
	})

	ginkgo.It("is not taken over from a peer if it is done and not recorded", func() {
		m.Record(nil, []lacewingramp.RolloutOutcome{done})
		gomega.Expect(state()).To(gomega.Equal(string(StateCanary)))
	})

	ginkgo.It("of an unknown kind is ignored", func() {
		odd := lacewingramp.RolloutOutcome{Rollout: "move", Start: start, State: "odd", Recorded: true}
		m.Record(nil, []lacewingramp.RolloutOutcome{odd})
		m.ApplyRecord(odd)
		gomega.Expect(state()).To(gomega.Equal(string(StateCanary)))
	})

	// Guards against a version that an instance which has heard of nobody takes back for all.
	ginkgo.It("is not decided for lack of evidence before the store is known to have none", func() {
		end := start.Add(2 * fleetWindow)
		gomega.Expect(m.Tick(end, start)).To(gomega.BeEmpty())
		gomega.Expect(m.AwaitsRecord(end)).To(gomega.BeTrue())
		version, _ := m.Choose(end, service, "")
		gomega.Expect(version).To(gomega.Equal(oldVersion))
		decided := m.Tick(end, end)
		gomega.Expect(decided).To(gomega.HaveLen(1))
		gomega.Expect(state()).To(gomega.Equal(string(StateRolledBack)))
		gomega.Expect(m.AwaitsRecord(end)).To(gomega.BeTrue())
		m.ApplyRecord(decided[0])
		gomega.Expect(m.AwaitsRecord(end)).To(gomega.BeFalse())
	})

	// Guards against earlier builds that let a rollback replace a record.
	ginkgo.It("that is a rollback is told to peers only while nobody can have finished the rollout", func() {
		m.Record(nil, []lacewingramp.RolloutOutcome{rolledBack})
		gomega.Expect(m.Outcomes(start)).To(gomega.HaveLen(1))
		end := start.Add(fleetWindow)
		gomega.Expect(m.Outcomes(end)).To(gomega.BeEmpty())
		m.ApplyRecord(rolledBack)
		gomega.Expect(m.Outcomes(end)).To(gomega.HaveLen(1))
	})

	// Guards against a bad version that is recorded as done on what one instance knew a moment
	// before the others.
	ginkgo.It("that is proposed is taken back if evidence against the version comes", func() {
		const usualLoad, failures = 0.6, 4
		end := start.Add(fleetWindow)
		for now := start; now.Before(end); now = now.Add(fleetExchange) {
			observeFast(m, now, oldVersion, usualLoad, 40)
			observeFast(m, now, newVersion, usualLoad, 2)
			m.Tick(now, now)
			if m.Statuses(now)[0].Decided != StateDone {
				continue
			}
			for i := range failures {
				m.Observe(lacewingramp.AttemptResult{Route: "read", Service: service, Version: newVersion, Target: fmt.Sprint("bad", i), Failed: true, EndedAt: now, Took: 50 * time.Millisecond})
			}
			gomega.Expect(m.Tick(now, now)).To(gomega.BeEmpty())
			gomega.Expect(m.Statuses(now)[0].Decided).To(gomega.BeEmpty())
			gomega.Expect(state()).To(gomega.Equal(string(StateRamp)))
			return
		}
		ginkgo.Fail("the rollout was never proposed as done")
	})

	// Guards against a bad version that is done although it fails under load, as it was under
	// load for few of its requests. The users' bench, kavach-harness, trouble-2, seed
	// 102369709055.
	ginkgo.DescribeTable("is not done if the few requests under load fail", func(loadedFailures int64, want chart.State) {
		stats := func(version string, count, failures, loadedFailures int64) lacewingramp.RolloutStats {
			return lacewingramp.RolloutStats{
				Instance: "other", Rollout: rolloutID("move", start), Service: service, Route: "read", Version: version, RequestCount: count, Failures: failures,
				Groups: []lacewingramp.TargetGroup{
					{RequestCount: count / 2, Failures: failures, Compared: count / 4, Loaded: count / 8},
					{RequestCount: count / 2, Compared: count / 4, Loaded: count / 8},
				},
				LoadedFailures: loadedFailures,
			}
		}
		m.Tick(start, start)
		late := start.Add(fleetWindow * 8 / 10)
		m.ResumeRamp("move", start, late)
		m.Record([]lacewingramp.RolloutStats{stats(oldVersion, 1780, 3, 0), stats(newVersion, 160, 8, loadedFailures)}, nil)
		for now := late; now.Before(start.Add(fleetWindow)); now = now.Add(fleetExchange) {
			m.Tick(now, now)
		}
		gomega.Expect(m.Statuses(start)[0].Decided).To(gomega.Equal(want))
	},
		ginkgo.Entry("8 of 40", int64(8), chart.State("")),
		ginkgo.Entry("some of the failures", int64(2), StateDone),
	)

	ginkgo.It("passes between builds of different age", func() {
		m.ApplyRecord(done)
		var earlier []earlierOutcome
		convert(m.Outcomes(start), &earlier)
		gomega.Expect(earlier).To(gomega.HaveLen(1))
		gomega.Expect(earlier[0].State).To(gomega.Equal(string(StateDone)))
		earlier[0].State = string(StateRolledBack)
		var outcomes []lacewingramp.RolloutOutcome
		convert(earlier, &outcomes)
		m.Record(nil, outcomes)
		gomega.Expect(state()).To(gomega.Equal(string(StateDone)))
	})
})
