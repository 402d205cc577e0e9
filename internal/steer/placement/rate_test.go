package placement_test

import (
	"fmt"
	"math"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/proof/window"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

const (
	// A target may get, in limitWindow, limitTolerance times what its limit allows,
	// plus limitSlack requests.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5.0
	step           = 5 * time.Millisecond
)

// limitedFleet is a number of instances whose targets name a limit, and a network between
// them that loses requests for tokens where connected is false.
type limitedFleet struct {
	placers   []*placement.Placer
	names     []string
	connected func(from, to string) bool
	// limits holds the limit of each target in requests per second. Targets that are not
	// in it name none.
	limits   map[string]float64
	arrivals map[string][]time.Time
	refused  int
}

func newLimitedFleet(instances, targets int) *limitedFleet {
	f := &limitedFleet{
		connected: func(string, string) bool { return true },
		limits:    make(map[string]float64), arrivals: make(map[string][]time.Time),
	}
	for i := range instances {
		f.names = append(f.names, fmt.Sprintf("edge-%d", i))
	}
	for _, n := range f.names {
		f.placers = append(f.placers, newPlacer(n, targets, 30))
	}
	f.updateInstances()
	return f
}

// updateInstances gives each instance those that it is connected to as live ones.
func (f *limitedFleet) updateInstances() {
	for i, p := range f.placers {
		var live []lacewingramp.Endpoint
		for k, e := range endpoints(f.names...) {
			if k == i || f.connected(f.names[i], e.Name) {
				live = append(live, e)
			}
		}
		p.SetInstances(live, len(f.names))
	}
}

func (f *limitedFleet) placer(name string) *placement.Placer {
	for _, p := range f.placers {
		if p.Self == name {
			return p
		}
	}
	return nil
}

// send has one instance choose a target for a request, requesting tokens as instances do,
// and records where the request went.
func (f *limitedFleet) send(now time.Time, p *placement.Placer, object string) {
	q := query(object)
	for requests := 0; ; requests++ {
		q.NoTokenRequests = requests >= 2
		c := p.Choose(now, q)
		switch {
		case c.Target == nil:
			f.refused++
			return
		case c.NeedsToken:
			owner, r := p.TokenRequest(now, c.Target.Name)
			var reply *lacewingramp.TokenReply
			if o := f.placer(owner); o != nil && f.connected(p.Self, owner) {
				granted := o.GrantToken(now, r)
				reply = &granted
			}
			p.RecordToken(now, now, r, reply)
			continue
		}
		name := c.Target.Name
		f.arrivals[name] = append(f.arrivals[name], now)
		report := placement.Report{Target: name, SentAt: now, Ran: true}
		if limit, ok := f.limits[name]; ok {
			report.RateLimit = &limit
		}
		p.Done(now, report)
		return
	}
}

// run has every instance that sends serve a request each step, for d.
func (f *limitedFleet) run(from time.Time, d time.Duration, sends func(name string) bool) {
	for i := range int(d / step) {
		now := from.Add(time.Duration(i) * step)
		for k, p := range f.placers {
			if sends(p.Self) {
				f.send(now, p, fmt.Sprint((i+k)%40))
			}
		}
	}
}

// arrivalsAfter returns how many requests a target got after a time, and the most of them
// in a window.
func (f *limitedFleet) arrivalsAfter(name string, from time.Time) (total, most int) {
	var at []time.Time
	for _, t := range f.arrivals[name] {
		if t.After(from) {
			at = append(at, t)
		}
	}
	return len(at), window.MaxCount(at, limitWindow)
}

func allSend(string) bool { return true }

// Guards against a target that gets more than the limit that it names in its responses
// from all instances together (the users' rule LIMIT).
var _ = ginkgo.Describe("the request rate of a target that names a limit", func() {
	const limit = 2.2
	allowed := limit*limitWindow.Seconds()*limitTolerance + limitSlack
	learned := start.Add(500 * time.Millisecond)

	limitAll := func(f *limitedFleet, targets int) {
		for i := range targets {
			f.limits[fmt.Sprintf("t%d", i)] = limit
		}
	}

	// expectKept checks that all targets got no more than their limit in any window, and
	// at least the given share of it over a number of seconds.
	expectKept := func(f *limitedFleet, share, seconds float64) {
		for i := range 4 {
			total, most := f.arrivalsAfter(fmt.Sprintf("t%d", i), learned)
			gomega.Expect(float64(most)).To(gomega.BeNumerically("<=", allowed))
			gomega.Expect(float64(total)).To(gomega.BeNumerically(">=", share*limit*seconds))
		}
	}

	ginkgo.It("is kept by all instances together, and used", func() {
		f := newLimitedFleet(8, 4)
		limitAll(f, 4)
		f.run(start, 20*time.Second, allSend)
		expectKept(f, 0.9, 19)
	})

	ginkgo.It("is kept by a large fleet, and used", func() {
		f := newLimitedFleet(60, 4)
		limitAll(f, 4)
		f.run(start, 8*time.Second, allSend)
		expectKept(f, 0.9, 7)
	})

	ginkgo.It("is kept while instances die, freeze and come back", func() {
		f := newLimitedFleet(8, 4)
		limitAll(f, 4)
		f.run(start, 5*time.Second, allSend)
		now := start.Add(5 * time.Second)
		for i := range 10 {
			gone := f.names[i%len(f.names)]
			others := func(name string) bool { return name != gone }
			f.connected = func(from, to string) bool { return others(from) && others(to) }
			f.run(now, time.Second, others)
			f.updateInstances()
			f.run(now.Add(time.Second), time.Second, others)
			f.connected = func(string, string) bool { return true }
			f.run(now.Add(2*time.Second), time.Second, allSend)
			f.updateInstances()
			now = now.Add(3 * time.Second)
		}
		expectKept(f, 0.6, 34)
	})

	ginkgo.It("is not lost where only one instance has callers", func() {
		f := newLimitedFleet(8, 4)
		limitAll(f, 4)
		f.run(start, 20*time.Second, func(name string) bool { return name == "edge-3" })
		expectKept(f, 0.8, 19)
	})

	ginkgo.It("leaves the rest of the requests to targets without a limit", func() {
		f := newLimitedFleet(8, 4)
		f.limits["t0"] = limit
		f.run(start, 10*time.Second, allSend)
		_, most := f.arrivalsAfter("t0", learned)
		gomega.Expect(float64(most)).To(gomega.BeNumerically("<=", allowed))
		gomega.Expect(f.refused).To(gomega.BeZero())
	})

	ginkgo.It("is kept while the instances have lost each other", func() {
		f := newLimitedFleet(8, 4)
		limitAll(f, 4)
		f.run(start, 5*time.Second, allSend)
		side := func(name string) bool { return name < "edge-3" }
		f.connected = func(from, to string) bool { return side(from) == side(to) }
		f.run(start.Add(5*time.Second), time.Second, allSend)
		f.updateInstances()
		f.run(start.Add(6*time.Second), 14*time.Second, allSend)
		expectKept(f, 0.7, 19)
	})

	ginkgo.It("ends with the first response to a later request that names none, and with the incarnation", func() {
		f := newLimitedFleet(1, 1)
		p := f.placers[0]
		limitAll(f, 1)
		f.send(start, p, "1")
		gomega.Expect(p.Limit("t0")).To(gomega.Equal(limit))
		now := start.Add(time.Second)
		p.Done(now, placement.Report{Target: "t0", SentAt: start.Add(-time.Second), Ran: true})
		gomega.Expect(p.Limit("t0")).To(gomega.Equal(limit), "a response to an earlier request was overtaken")
		p.Done(now, placement.Report{Target: "t0", SentAt: now})
		gomega.Expect(p.Limit("t0")).To(gomega.Equal(limit), "a request that was not run says nothing")
		p.Done(now, placement.Report{Target: "t0", SentAt: now, Ran: true, InvalidRateLimit: true})
		gomega.Expect(p.Limit("t0")).To(gomega.Equal(limit), "an invalid limit says nothing")
		p.Done(now, placement.Report{Target: "t0", SentAt: now, Ran: true})
		gomega.Expect(p.Limit("t0")).To(gomega.BeZero())
		f.send(now, p, "1")
		restarted := registration(0, "a", 30)
		restarted.StartMillis = 2
		p.Update(now, restarted)
		gomega.Expect(p.Limit("t0")).To(gomega.BeZero())
	})

	ginkgo.It("is taken for at least one request in 5 s, and for none if it is huge", func() {
		f := newLimitedFleet(1, 1)
		p := f.placers[0]
		for named, applied := range map[float64]float64{0: 0.2, 0.01: 0.2, 7.5: 7.5, 1e9: 0, math.MaxFloat64: 0} {
			p.Done(start, placement.Report{Target: "t0", SentAt: start, Ran: true, RateLimit: &named})
			gomega.Expect(p.Limit("t0")).To(gomega.Equal(applied))
		}
	})

	ginkgo.It("is learned from whoever received it last", func() {
		f := newLimitedFleet(2, 1)
		one, other := f.placers[0], f.placers[1]
		r := lacewingramp.TargetTokenRequest{Target: "t0", StartMillis: 1, Limit: lacewingramp.TargetLimit{Rate: 3, Age: time.Second}}
		now := start.Add(10 * time.Second)
		one.GrantToken(now, r)
		gomega.Expect(one.Limit("t0")).To(gomega.Equal(3.0))
		r.Limit = lacewingramp.TargetLimit{Rate: 5, Age: 2 * time.Second}
		one.GrantToken(now, r)
		gomega.Expect(one.Limit("t0")).To(gomega.Equal(3.0))
		reply := one.GrantToken(now, lacewingramp.TargetTokenRequest{Target: "t0", StartMillis: 1})
		other.RecordToken(now, now, lacewingramp.TargetTokenRequest{Target: "t0", StartMillis: 1}, &reply)
		gomega.Expect(other.Limit("t0")).To(gomega.Equal(3.0))
		r.StartMillis, r.Limit = 2, lacewingramp.TargetLimit{Rate: 9, Age: time.Millisecond}
		gomega.Expect(one.GrantToken(now, r).Granted).To(gomega.BeFalse())
		gomega.Expect(one.Limit("t0")).To(gomega.Equal(3.0))
	})
})
