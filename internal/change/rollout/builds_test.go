package rollout

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// earlierStats are the stats as earlier builds know them, without groups.
type earlierStats struct {
	Instance     string `cbor:"1,keyasint"`
	Rollout      string `cbor:"2,keyasint"`
	Service      string `cbor:"3,keyasint"`
	Route        string `cbor:"4,keyasint"`
	Version      string `cbor:"5,keyasint"`
	RequestCount int64  `cbor:"6,keyasint"`
	Failures     int64  `cbor:"7,keyasint"`
	Slow         int64  `cbor:"8,keyasint"`
}

var _ = ginkgo.Describe("builds of different age", func() {
	// Guards against stats that an earlier build beside this one cannot use.
	ginkgo.It("understand each other's stats", func() {
		m := newFleet(1, fleetScenario{}).managers[0]
		m.Tick(start, start)
		for i := range 3 {
			m.Observe(lacewingramp.AttemptResult{
				Route: "read", Service: service, Version: newVersion, Target: []string{"a", "b", "c"}[i], Failed: i == 0, EndedAt: start,
			})
		}
		encoded, err := cbor.Marshal(m.RolloutStats())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var earlier []earlierStats
		gomega.Expect(cbor.Unmarshal(encoded, &earlier)).To(gomega.Succeed())
		gomega.Expect(earlier).To(gomega.HaveLen(1))
		gomega.Expect(earlier[0].RequestCount).To(gomega.Equal(int64(3)))
		gomega.Expect(earlier[0].Failures).To(gomega.Equal(int64(1)))
	})

	ginkgo.It("count an earlier build's stats, and roll back by them", func() {
		m := newFleet(1, fleetScenario{}).managers[0]
		m.Tick(start, start)
		key := rolloutID("move", start)
		for i := range int64(4) {
			for _, instance := range []string{"earlier-1", "earlier-2", "earlier-3"} {
				encoded, err := cbor.Marshal([]earlierStats{
					{Instance: instance, Rollout: key, Service: service, Route: "read", Version: oldVersion, RequestCount: 50 * i, Failures: 0},
					{Instance: instance, Rollout: key, Service: service, Route: "read", Version: newVersion, RequestCount: 8 * i, Failures: 4 * i},
				})
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				var reports []lacewingramp.RolloutStats
				gomega.Expect(cbor.Unmarshal(encoded, &reports)).To(gomega.Succeed())
				m.Record(reports, nil)
			}
			m.Tick(start.Add(time.Duration(i+1)*time.Second), start)
		}
		gomega.Expect(m.Statuses(start)[0].State).To(gomega.Equal(StateRolledBack))
	})

	ginkgo.It("ignore stats that no instance sends", func() {
		m := newFleet(1, fleetScenario{}).managers[0]
		m.Tick(start, start)
		m.Record([]lacewingramp.RolloutStats{{
			Instance: "odd", Rollout: rolloutID("move", start), Service: service, Route: "read", Version: newVersion, RequestCount: 9,
			Groups: make([]lacewingramp.TargetGroup, lacewingramp.TargetGroups+1),
		}}, nil)
		gomega.Expect(m.Statuses(start)[0].Requests).To(gomega.BeZero())
	})
})
