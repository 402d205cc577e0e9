package placement_test

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// newAwarePlacer returns a Placer with 12 targets of a load-aware service.
func newAwarePlacer(self string, instances int) *placement.Placer {
	p := newPlacer(self, 12, 3)
	p.SetInstances(endpoints(self), instances)
	p.SetRoutes([]lacewingramp.Route{{Upload: true}})
	return p
}

// report lets a target respond to a request with a load.
func report(now time.Time, p *placement.Placer, target string, load lacewingramp.TargetLoad) {
	p.Done(now, placement.Report{Target: target, StartMillis: 1, ChosenAt: now, Ran: true, TargetLoad: &load})
}

// onWire returns loads as they arrive in a heartbeat.
func onWire(loads lacewingramp.TargetLoads) lacewingramp.TargetLoads {
	b, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: &lacewingramp.Heartbeat{Endpoint: endpoints("x")[0], TargetLoads: loads}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var d lacewingramp.Datagram
	gomega.Expect(cbor.Unmarshal(b, &d)).To(gomega.Succeed())
	return d.Heartbeat.TargetLoads
}

// Load: deployment B, in which an instance hears from each target every few seconds.
var _ = ginkgo.Describe("loads that instances pass on", func() {
	busy := lacewingramp.TargetLoad{Running: 3, Waiting: 4, Slots: 3, WorkPercent: 250}

	ginkgo.It("make a target's state known to an instance that has not heard from it", func() {
		one, other := newAwarePlacer("one", 2), newAwarePlacer("other", 2)
		report(start, one, "t3", busy)
		region, others := one.TargetLoads(start.Add(100 * time.Millisecond))
		gomega.Expect(region.Len()).To(gomega.Equal(1))
		gomega.Expect(others.Len()).To(gomega.Equal(1))
		now := start.Add(110 * time.Millisecond)
		other.RecordTargetLoads(now, onWire(region), "a")
		estimate, ok := other.Estimate(now, "t3")
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(estimate.Requests).To(gomega.BeNumerically("~", 7, 0.01))
		gomega.Expect(estimate.WorkFactor).To(gomega.BeNumerically("~", 2.3, 0.2))
		gomega.Expect(estimate.Limit).To(gomega.Equal(7.0))
		// Guards against reports that go round in the fleet.
		passedOn, _ := other.TargetLoads(now)
		gomega.Expect(passedOn).To(gomega.BeEmpty())
	})

	// Guards against instances that know of few requests at a target where many wait, as each of
	// them hears from it once in seconds.
	ginkgo.It("count for services that are not load-aware, too", func() {
		p, other := newPlacer("one", 2, 3), newPlacer("other", 2, 3)
		for i := range 2 {
			report(start, p, fmt.Sprint("t", i), lacewingramp.TargetLoad{Running: 3, Waiting: 4, Slots: 3})
		}
		region, _ := p.TargetLoads(start)
		gomega.Expect(region.Len()).To(gomega.Equal(2))
		gomega.Expect(other.Choose(start, query("17")).Target).NotTo(gomega.BeNil())
		other.RecordTargetLoads(start, onWire(region), "a")
		gomega.Expect(other.Choose(start, query("17"))).To(gomega.And(
			gomega.HaveField("Target", gomega.BeNil()), gomega.HaveField("Full", gomega.BeTrue())))
		gomega.Expect(other.LoadAware("recipes")).To(gomega.BeFalse())
	})

	ginkgo.It("make a service load-aware once a target reports its work", func() {
		p, other := newPlacer("one", 12, 3), newPlacer("other", 12, 3)
		report(start, p, "t3", busy)
		region, _ := p.TargetLoads(start)
		gomega.Expect(region.Len()).To(gomega.Equal(1))
		other.RecordTargetLoads(start, onWire(region), "a")
		gomega.Expect(other.LoadAware("recipes")).To(gomega.BeTrue())
	})

	ginkgo.It("are the newest of each target, bounded by the size of the fleet", func() {
		for _, c := range []struct{ instances, region, others int }{{2, 12, 5}, {300, 5, 1}, {1600, 4, 1}} {
			p := newAwarePlacer("one", c.instances)
			now := start
			for i := range 200 {
				now = now.Add(time.Millisecond)
				report(now, p, fmt.Sprint("t", i%12), lacewingramp.TargetLoad{Running: i % 4, Slots: 3})
			}
			region, others := p.TargetLoads(now)
			gomega.Expect(region.Len()).To(gomega.Equal(c.region))
			gomega.Expect(others.Len()).To(gomega.Equal(c.others))
			hashes := make(map[uint32]bool)
			for i := range region.Len() {
				gomega.Expect(hashes[region.At(i).Hash]).To(gomega.BeFalse())
				hashes[region.At(i).Hash] = true
			}
			gomega.Expect(region.At(0).Requests).To(gomega.Equal(199 % 4))
			late, _ := p.TargetLoads(now.Add(time.Minute))
			gomega.Expect(late).To(gomega.BeEmpty())
		}
	})

	ginkgo.It("survive unknown targets, removed targets and reports from before a pause", func() {
		p := newAwarePlacer("one", 2)
		report(start, p, "t3", busy)
		p.Remove("t3")
		region, _ := p.TargetLoads(start)
		gomega.Expect(region).To(gomega.BeEmpty())
		p.RecordTargetLoads(start, lacewingramp.TargetLoads(nil).Append(lacewingramp.SharedLoad{Hash: 12345, Requests: 3}), "unknown")
		report(start, p, "t4", busy)
		region, _ = p.TargetLoads(start)
		other := newAwarePlacer("other", 2)
		other.Resume(start)
		other.RecordTargetLoads(start.Add(10*time.Millisecond), region, "a")
		estimate, _ := other.Estimate(start.Add(10*time.Millisecond), "t4")
		gomega.Expect(estimate.Requests).To(gomega.BeZero())
	})

	ginkgo.It("are slots and queue after a shed, and a shed lowers the limit", func() {
		p := newAwarePlacer("one", 2)
		report(start, p, "t3", lacewingramp.TargetLoad{Running: 3, Waiting: 9, Slots: 3})
		report(start.Add(time.Second), p, "t3", lacewingramp.TargetLoad{Slots: 3})
		now := start.Add(2 * time.Second)
		p.Done(now, placement.Report{Target: "t3", StartMillis: 1, ChosenAt: now, Shed: true})
		estimate, _ := p.Estimate(now, "t3")
		gomega.Expect(estimate.Requests).To(gomega.BeNumerically("~", 12, 0.1))
		gomega.Expect(estimate.Limit).To(gomega.BeNumerically("~", 8.4, 0.01))
		region, _ := p.TargetLoads(now)
		gomega.Expect(region.At(0).Requests).To(gomega.Equal(12))
	})
})

// sharingFleet is a fleet of instances that send to targets of one region, and what is
// really there.
type sharingFleet struct {
	placers []*placement.Placer
	random  *rand.Rand
	share   bool
	now     time.Time
	// requests are the numbers of requests at each target, and freeAt is when each of its
	// slots becomes free.
	requests [sharingTargets]int
	running  []runningRequest
	freeAt   [sharingTargets][sharingSlots]time.Time
	sum      float64
	count    int
}

type runningRequest struct {
	target, instance int
	endsAt           time.Time
}

const (
	sharingTargets   = 60
	sharingInstances = 29
	sharingSlots     = 3
	sharingWork      = 500 * time.Millisecond
	sharingStep      = 5 * time.Millisecond
	// sharingPeers is the number of peers that a heartbeat of a round is sent to.
	sharingPeers = 8
	sharingLoss  = 0.2
)

func newSharingFleet(share bool, seed int64) *sharingFleet {
	f := &sharingFleet{random: rand.New(rand.NewSource(seed)), share: share, now: start}
	for i := range sharingInstances {
		p := newPlacer(fmt.Sprint("edge-", i), sharingTargets, sharingSlots)
		p.SetInstances(endpoints(p.Self), 3*sharingInstances)
		p.SetRoutes([]lacewingramp.Route{{Upload: true}})
		f.placers = append(f.placers, p)
	}
	return f
}

// arrive sends requests whose rate rises and falls by 55%, each from a random instance to a
// target of which each has a burst of its own at times.
func (f *sharingFleet) arrive() {
	elapsed := f.now.Sub(start).Seconds()
	rate := 250 * (1 + 0.55*math.Sin(elapsed/36*2*math.Pi))
	for f.random.Float64() < rate*sharingStep.Seconds()/(1+rate*sharingStep.Seconds()) {
		target := f.random.Intn(sharingTargets)
		if burst := int(elapsed/2) % sharingTargets; f.random.Float64() < 0.1 {
			target = burst
		}
		if f.requests[target] >= 12 {
			continue
		}
		instance := f.random.Intn(sharingInstances)
		f.placers[instance].CountSent(f.now, fmt.Sprint("t", target))
		f.requests[target]++
		slot := &f.freeAt[target][0]
		for i := range f.freeAt[target] {
			if s := &f.freeAt[target][i]; s.Before(*slot) {
				slot = s
			}
		}
		if slot.Before(f.now) {
			*slot = f.now
		}
		*slot = slot.Add(time.Duration(f.random.ExpFloat64() * float64(sharingWork)))
		f.running = append(f.running, runningRequest{target, instance, *slot})
	}
}

func (f *sharingFleet) respond() {
	var remaining []runningRequest
	for _, r := range f.running {
		if f.now.Before(r.endsAt) {
			remaining = append(remaining, r)
			continue
		}
		f.requests[r.target]--
		n := f.requests[r.target]
		report(f.now, f.placers[r.instance], fmt.Sprint("t", r.target), lacewingramp.TargetLoad{Running: min(n, sharingSlots), Waiting: max(0, n-sharingSlots), Slots: sharingSlots})
	}
	f.running = remaining
}

func (f *sharingFleet) exchange(round int) {
	for i, p := range f.placers {
		region, _ := p.TargetLoads(f.now)
		for k := range sharingPeers {
			if j := (i + 1 + (round*sharingPeers+k)%(sharingInstances-1)) % sharingInstances; f.random.Float64() >= sharingLoss {
				f.placers[j].RecordTargetLoads(f.now, region, "a")
			}
		}
	}
}

// meanError plays the load and returns the mean error of the requests that instances estimate.
func (f *sharingFleet) meanError(duration time.Duration) float64 {
	const warmup = 5 * time.Second
	for step := 0; f.now.Before(start.Add(duration)); step++ {
		f.now = f.now.Add(sharingStep)
		f.arrive()
		f.respond()
		if step%50 == 0 && f.share {
			f.exchange(step / 50)
		}
		if step%20 == 0 && f.now.After(start.Add(warmup)) {
			f.measure()
		}
	}
	return f.sum / float64(f.count)
}

func (f *sharingFleet) measure() {
	for _, p := range f.placers {
		for i, n := range f.requests {
			e, _ := p.Estimate(f.now, fmt.Sprint("t", i))
			f.sum += math.Abs(e.Requests - float64(n))
			f.count++
		}
	}
}

// Load: deployment B, one region of 29 instances and 60 targets, with 20% of the heartbeats lost.
var _ = ginkgo.It("instances that share reports over lossy heartbeats know better how full targets are", func() {
	const duration = 40 * time.Second
	for seed := range int64(3) {
		alone, shared := newSharingFleet(false, seed).meanError(duration), newSharingFleet(true, seed).meanError(duration)
		ginkgo.GinkgoWriter.Printf("seed %d: mean error %.2f requests alone, %.2f shared\n", seed, alone, shared)
		gomega.Expect(shared).To(gomega.BeNumerically("<", 0.75*alone))
	}
})
