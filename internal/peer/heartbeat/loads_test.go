package heartbeat_test

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// loadsAt returns what the heartbeats of an instance in a fleet of the given size carry, if many
// targets have responded to it lately.
func loadsAt(instances int) (region, others lacewingramp.TargetLoads) {
	p := &placement.Placer{Self: "edge", Regions: map[string]string{"d": "r"}, HomeRegion: "r"}
	p.SetInstances([]lacewingramp.Endpoint{endpoint("edge", 1)}, instances)
	p.SetRoutes([]lacewingramp.Route{{Upload: true}})
	for i := range 400 {
		name := fmt.Sprint("i-", i)
		p.Update(start, lacewingramp.TargetRegistration{Target: lacewingramp.Target{Name: name, Service: "s", Domain: "d", Slots: 3}, StartMillis: 1})
		p.Done(start, placement.Report{Target: name, TargetLoad: &lacewingramp.TargetLoad{Running: 3, Waiting: 9, Slots: 3, WorkPercent: 250}})
	}
	return p.TargetLoads(start.Add(100 * time.Millisecond))
}

// encodedSize returns the size of a heartbeat with loads, as one of the planned deployment has it
// without demand.
func encodedSize(loads lacewingramp.TargetLoads) int {
	e := lacewingramp.Endpoint{Name: "edge-kochi-c-9", Domain: "kochi-c", Peer: "10.1.0.23:7460", Caller: "10.1.0.23:8080", StartMillis: 1_800_000_000_000}
	h := &lacewingramp.Heartbeat{
		Endpoint: e, Ready: true, ReachesStore: true, Revision: 60_000, RequestRate: 25, Epoch: 2, TargetLoads: loads,
		Confirmation: &lacewingramp.Confirmation{Origin: 4_000_000_000, Count: 60_000, Revision: 60_000, Epoch: 2, AgeMillis: 1_399},
	}
	b, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: h})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return len(b)
}

// rounds returns the numbers of heartbeats that an instance sends in a round to its region and to
// others, in a fleet of three regions.
func rounds(instances int) (own, others int) {
	regions := map[string]string{"d": "r", "e": "s", "f": "t"}
	p := &heartbeat.Peers{Self: "edge", Region: "r", Regions: regions}
	for i := range instances - 1 {
		e := endpoint(fmt.Sprint("edge-", i), 1)
		e.Domain, e.Peer = []string{"d", "e", "f"}[i%3], fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)
		p.MarkRegistered(start, e)
	}
	a, b := p.NextRound()
	return len(a), len(b)
}

// Guards against heartbeats that take more than 8 KB/s of an instance at 300 instances.
var _ = ginkgo.It("heartbeats with target loads stay under 8 KB/s at 300 instances, and under 12 KB/s in small fleets", func() {
	for _, c := range []struct{ instances, maxRate int }{{30, 12_000}, {87, 12_000}, {300, 8_000}, {1600, 8_000}} {
		region, others := loadsAt(c.instances)
		own, other := rounds(c.instances)
		perSecond := int(time.Second / heartbeat.Period)
		rate := perSecond * (own*encodedSize(region) + other*encodedSize(others))
		without := perSecond * (own + other) * encodedSize(nil)
		ginkgo.GinkgoWriter.Printf("%d instances: %d and %d entries, %d B/s, %d B/s without\n", c.instances, region.Len(), others.Len(), rate, without)
		gomega.Expect(rate).To(gomega.BeNumerically("<", c.maxRate))
	}
})

var _ = ginkgo.Describe("packed target loads", func() {
	ginkgo.It("have 7 bytes an entry, keep their values and are ignored by earlier programs", func() {
		var l lacewingramp.TargetLoads
		entries := []lacewingramp.SharedLoad{
			{Hash: 0xfedcba98, Requests: 12, WorkPercent: 250, Age: 130 * time.Millisecond},
			{Hash: 1},
			{Hash: 2, Requests: 1 << 20, WorkPercent: 1 << 30, Age: time.Hour},
			{Hash: 3, Requests: -4, WorkPercent: -4, Age: -time.Hour},
		}
		for _, e := range entries {
			l = l.Append(e)
		}
		gomega.Expect(l).To(gomega.HaveLen(7 * len(entries)))
		first := l.At(0)
		gomega.Expect(first.WorkPercent).To(gomega.BeNumerically("~", 250, 4))
		first.WorkPercent = 250
		gomega.Expect(first).To(gomega.Equal(entries[0]))
		gomega.Expect(l.At(1)).To(gomega.Equal(entries[1]))
		gomega.Expect(l.At(2)).To(gomega.Equal(lacewingramp.SharedLoad{Hash: 2, Requests: 255, WorkPercent: 1600, Age: 2550 * time.Millisecond}))
		gomega.Expect(l.At(3)).To(gomega.Equal(lacewingramp.SharedLoad{Hash: 3}))
		h := newHeartbeat("edge-kochi-c-9", 1, 5_000)
		h.TargetLoads = l
		b, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: h})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var earlier earlierHeartbeat
		gomega.Expect(cbor.Unmarshal(b, &earlier)).To(gomega.Succeed())
		gomega.Expect(earlier.Heartbeat.Endpoint).To(gomega.Equal(h.Endpoint))
	})

	ginkgo.It("decode to valid figures, whatever their bytes, and fail the check if they are cut off or too long", func() {
		for b := range 256 {
			c := byte(b)
			e := lacewingramp.TargetLoads{c, c, c, c, c, c, c}.At(0)
			gomega.Expect(e.WorkPercent).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", 1600)))
		}
		h := newHeartbeat("one", 1, 5)
		for _, size := range []int{1, 6, 8, 7 * 65} {
			h.TargetLoads = make(lacewingramp.TargetLoads, size)
			gomega.Expect(h.Check()).NotTo(gomega.Succeed())
		}
		h.TargetLoads = make(lacewingramp.TargetLoads, 7*64)
		gomega.Expect(h.Check()).To(gomega.Succeed())
	})

	ginkgo.It("add nothing to a heartbeat if there are none", func() {
		gomega.Expect(encodedSize(lacewingramp.TargetLoads{})).To(gomega.Equal(encodedSize(nil)))
	})
})
