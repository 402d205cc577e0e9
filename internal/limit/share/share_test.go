package share_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/pool"
	"lacewingramp.example/lacewingramp/internal/limit/share"
	"lacewingramp.example/lacewingramp/internal/proof/window"
)

var start = time.Unix(1_800_000_000, 0)

const (
	step            = 10 * time.Millisecond
	heartbeatPeriod = 250 * time.Millisecond
	windowLength    = 5 * time.Second
)

// fleet is a number of instances that share one customer's limit and exchange
// their demand. Fleets with a pool have a keeper for each instance, one of which
// hands out the pool's tokens. connected[i][j] tells whether instance i receives the
// demand of j. sent counts requests, admitted holds the times of those admitted, and
// pooled counts those that got a token of the pool.
type fleet struct {
	limit     lacewingramp.Limit
	limiters  []*share.RateLimiter
	keepers   []*pool.Keeper
	connected [][]bool
	now       time.Time
	admitted  []time.Time
	sent      int
	pooled    int
	// exchangePeriod is the time between two exchanges of demand, if it is longer
	// than heartbeatPeriod.
	exchangePeriod time.Duration
}

func newFleet(n int, l lacewingramp.Limit) *fleet {
	f := &fleet{limit: l, now: start}
	for range n {
		f.add(n, 0)
	}
	return f
}

// newPooledFleet returns a fleet with a pool.
func newPooledFleet(n int, l lacewingramp.Limit) *fleet {
	f := &fleet{limit: l, now: start, exchangePeriod: time.Second}
	names := instanceNames(n)
	for _, name := range names {
		f.add(n, pool.Fraction(n))
		k := &pool.Keeper{Self: name}
		k.Configure(start, f.limits())
		k.SetInstances(start, names)
		f.keepers = append(f.keepers, k)
	}
	return f
}

func (f *fleet) limits() map[string]lacewingramp.Limit {
	return map[string]lacewingramp.Limit{"andes": f.limit}
}

// add adds one of n instances. pooledFraction is the fraction of the limit that is
// in the pool.
func (f *fleet) add(n int, pooledFraction float64) {
	limiter := &share.RateLimiter{}
	limiter.SetPooledFraction(start, pooledFraction)
	limiter.Configure(start, f.limits())
	limiter.SetInstanceCount(n)
	limiter.Tick(start)
	f.limiters = append(f.limiters, limiter)
	row := make([]bool, n)
	for i := range row {
		row[i] = true
	}
	f.connected = append(f.connected, row)
}

func instanceNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("edge-%d", i))
	}
	return names
}

// restart restarts all instances of a fleet with a pool.
func (f *fleet) restart() {
	fresh := newPooledFleet(len(f.limiters), f.limit)
	for _, k := range fresh.keepers {
		k.SetInstances(f.now, nil)
		k.SetInstances(f.now, instanceNames(len(f.limiters)))
	}
	for _, limiter := range fresh.limiters {
		limiter.Configure(f.now, map[string]lacewingramp.Limit{})
		limiter.Configure(f.now, f.limits())
		limiter.Tick(f.now)
	}
	f.limiters, f.keepers = fresh.limiters, fresh.keepers
}

// send sends one request to an instance, which takes a token from the pool, if
// there is one, when it has none of its own.
func (f *fleet) send(i int) {
	f.sent++
	if f.limiters[i].Take(f.now, "andes") || f.takePooled() {
		f.admitted = append(f.admitted, f.now)
	}
}

func (f *fleet) takePooled() bool {
	for _, k := range f.keepers {
		if k.KeeperOf("andes") != k.Self {
			continue
		}
		_, ok := k.TakeToken(f.now, "andes")
		if ok {
			f.pooled++
		}
		return ok
	}
	return false
}

// run advances the time by d, with the given rate of requests a second at each
// instance.
func (f *fleet) run(r *rand.Rand, d time.Duration, rates []float64) {
	f.advance(d, func() {
		for i := range f.limiters {
			arrive(r, rates[i], func() { f.send(i) })
		}
	})
}

// runSpread advances the time by d, with requests at the given rate a second
// spread over the first instances.
func (f *fleet) runSpread(r *rand.Rand, d time.Duration, rate float64, first int) {
	f.advance(d, func() {
		arrive(r, rate, func() { f.send(r.IntN(first)) })
	})
}

// arrive calls f for each request that arrives in one step, at the given rate a
// second.
func arrive(r *rand.Rand, rate float64, f func()) {
	for n := rate * step.Seconds(); n > 0; n-- {
		if r.Float64() < n {
			f()
		}
	}
}

// advance advances the time by d in steps and calls arrivals in each of them.
func (f *fleet) advance(d time.Duration, arrivals func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		arrivals()
		if f.now.Sub(start)%max(heartbeatPeriod, f.exchangePeriod) == 0 {
			f.exchange()
		}
		if f.now.Sub(start)%heartbeatPeriod == 0 {
			for _, limiter := range f.limiters {
				limiter.Tick(f.now)
			}
		}
	}
}

func (f *fleet) exchange() {
	for i, limiter := range f.limiters {
		d := limiter.Demand(f.now)
		for j, o := range f.limiters {
			if i != j && f.connected[j][i] {
				o.RecordPeer(fmt.Sprint(i), 1, d)
			}
		}
	}
}

func allowed(l lacewingramp.Limit) float64 {
	return l.Rate*windowLength.Seconds()*1.1 + l.Burst*1.1 + 20
}

var _ = ginkgo.Describe("a limit over all instances", func() {
	limit := lacewingramp.Limit{Rate: 100, Burst: 100}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

	ginkgo.It("admits nearly all requests below it, wherever they arrive", func() {
		f := newFleet(8, limit)
		r := random()
		f.run(r, 4*time.Second, []float64{7, 7, 7, 7, 7, 7, 7, 7})
		f.run(r, 10*time.Second, []float64{30, 2, 2, 2, 2, 2, 2, 20})
		gomega.Expect(float64(len(f.admitted))).To(gomega.BeNumerically(">=", 0.98*float64(f.sent)))
	})

	ginkgo.It("holds when a customer sends several times its rate", func() {
		f := newFleet(8, limit)
		f.run(random(), 20*time.Second, []float64{90, 90, 90, 90, 90, 90, 90, 90})
		gomega.Expect(float64(window.MaxCount(f.admitted, windowLength))).To(gomega.BeNumerically("<=", allowed(limit)))
		gomega.Expect(float64(len(f.admitted))).To(gomega.BeNumerically(">=", 0.9*limit.Rate*20))
	})

	ginkgo.It("holds while the fleet is partitioned into halves and demand shifts", func() {
		f := newFleet(8, limit)
		r := random()
		f.run(r, 5*time.Second, []float64{60, 60, 60, 60, 60, 60, 60, 60})
		for i := range f.limiters {
			for j := range f.limiters {
				f.connected[i][j] = (i < 4) == (j < 4)
			}
		}
		f.run(r, 10*time.Second, []float64{60, 60, 60, 60, 30, 30, 30, 30})
		gomega.Expect(float64(window.MaxCount(f.admitted, windowLength))).To(gomega.BeNumerically("<=", allowed(limit)))
	})

	ginkgo.It("holds when all instances restart at the same moment", func() {
		old := newFleet(8, limit)
		r := random()
		old.run(r, 5*time.Second, []float64{60, 60, 60, 60, 60, 60, 60, 60})
		fresh := newFleet(8, limit)
		fresh.now, fresh.admitted = old.now, old.admitted
		fresh.run(r, 5*time.Second, []float64{60, 60, 60, 60, 60, 60, 60, 60})
		gomega.Expect(float64(window.MaxCount(fresh.admitted, windowLength))).To(gomega.BeNumerically("<=", allowed(limit)))
	})

	ginkgo.It("holds over many instances that exchange demand rarely", func() {
		const size = 69
		large := lacewingramp.Limit{Rate: 400, Burst: 400}
		f := newFleet(size, large)
		low, high := make([]float64, size), make([]float64, size)
		for i := range size {
			low[i], high[i] = 1.2, 40
		}
		r := random()
		f.exchangePeriod = time.Second
		f.run(r, 5*time.Second, low)
		f.run(r, 6*time.Second, high)
		gomega.Expect(float64(window.MaxCount(f.admitted, windowLength))).To(gomega.BeNumerically("<=", allowed(large)))
	})

	ginkgo.It("admits no more than its share at an instance that has heard from no other", func() {
		var limiter share.RateLimiter
		limiter.SetInstanceCount(10)
		limiter.Configure(start, map[string]lacewingramp.Limit{"andes": limit})
		admitted := 0
		for i := range 1000 {
			if limiter.Take(start.Add(time.Duration(i)*time.Millisecond), "andes") {
				admitted++
			}
		}
		gomega.Expect(admitted).To(gomega.BeNumerically("<=", 15))
	})

	ginkgo.It("refunds requests that did not run, up to the burst", func() {
		var limiter share.RateLimiter
		limiter.Configure(start, map[string]lacewingramp.Limit{"andes": {Rate: 1, Burst: 5}})
		for range 20 {
			limiter.Refund("andes")
		}
		admitted := 0
		for limiter.Take(start, "andes") {
			admitted++
		}
		gomega.Expect(admitted).To(gomega.Equal(5))
		gomega.Expect(limiter.Wait("andes")).To(gomega.BeNumerically("~", time.Second, 10*time.Millisecond))
	})

	ginkgo.It("treats the total demand of several instances like their separate demands", func() {
		one, other := &share.RateLimiter{}, &share.RateLimiter{}
		for _, limiter := range []*share.RateLimiter{one, other} {
			limiter.SetInstanceCount(4)
			limiter.Configure(start, map[string]lacewingramp.Limit{"andes": limit})
		}
		for _, n := range []string{"a", "b", "c"} {
			one.RecordPeer(n, 1, share.Demand{"andes": 5})
		}
		other.RecordPeer("region", 3, share.Demand{"andes": 15})
		d, size := one.Sum(start, []string{"a", "b", "c", "unknown"})
		gomega.Expect(size).To(gomega.Equal(4))
		gomega.Expect(d["andes"]).To(gomega.BeNumerically("~", 15, 0.01))
		for _, limiter := range []*share.RateLimiter{one, other} {
			limiter.Tick(start)
		}
		gomega.Expect(one.Wait("andes")).To(gomega.Equal(other.Wait("andes")))
	})

	ginkgo.It("keeps the whole overdraft when the share of an instance shrinks", func() {
		var limiter share.RateLimiter
		limiter.SetInstanceCount(2)
		limiter.Configure(start, map[string]lacewingramp.Limit{"andes": {Rate: 10, Burst: 10}})
		later := start.Add(5 * time.Second)
		limiter.Tick(later)
		for limiter.Take(later, "andes") {
			continue
		}
		limiter.Refund("andes")
		before := limiter.Wait("andes")
		limiter.RecordPeer("other", 1, share.Demand{"andes": 500})
		limiter.Tick(later)
		// The overdraft is the same, and a smaller share takes longer to make up for it.
		gomega.Expect(limiter.Wait("andes")).To(gomega.BeNumerically(">=", 10*before))
	})

	ginkgo.It("admits a customer without a limit", func() {
		var limiter share.RateLimiter
		gomega.Expect(limiter.Take(start, "free")).To(gomega.BeTrue())
	})
})

// Models a large fleet: many instances, and customers that send less than one
// request a second to each of them.
var _ = ginkgo.Describe("a small customer of a large fleet", func() {
	const (
		instances = 82
		receiving = 48
	)
	limit := lacewingramp.Limit{Rate: 40, Burst: 40}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }

	ginkgo.It("has nearly all of its requests admitted below its limit", func() {
		f := newPooledFleet(instances, limit)
		r := random()
		f.runSpread(r, 3*time.Second, 25, receiving)
		before, sent := len(f.admitted), f.sent
		f.runSpread(r, 20*time.Second, 25, receiving)
		gomega.Expect(float64(len(f.admitted) - before)).To(gomega.BeNumerically(">=", 0.99*float64(f.sent-sent)))
		gomega.Expect(float64(f.pooled)).To(gomega.BeNumerically("<", 0.9*float64(f.sent)))
	})

	ginkgo.It("is served again soon after all instances restart", func() {
		f := newPooledFleet(instances, limit)
		r := random()
		f.runSpread(r, 6*time.Second, 25, receiving)
		f.restart()
		before, sent := len(f.admitted), f.sent
		f.runSpread(r, 4*time.Second, 25, receiving)
		gomega.Expect(float64(len(f.admitted) - before)).To(gomega.BeNumerically(">=", 0.95*float64(f.sent-sent)))
	})

	ginkgo.It("is held to its limit when it sends several times as much", func() {
		f := newPooledFleet(instances, limit)
		r := random()
		f.runSpread(r, 6*time.Second, 25, receiving)
		f.runSpread(r, 8*time.Second, 190, receiving)
		gomega.Expect(float64(window.MaxCount(f.admitted, windowLength))).To(gomega.BeNumerically("<=", allowed(limit)))
	})

	ginkgo.It("is held to its limit when all instances restart under overload", func() {
		f := newPooledFleet(instances, limit)
		r := random()
		f.runSpread(r, 8*time.Second, 190, receiving)
		f.restart()
		f.runSpread(r, 8*time.Second, 190, receiving)
		gomega.Expect(float64(window.MaxCount(f.admitted, windowLength))).To(gomega.BeNumerically("<=", allowed(limit)))
	})
})
