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
	step = 10 * time.Millisecond
	beat = 250 * time.Millisecond
	span = 5 * time.Second
)

// fleet is a number of instances with their parts of one customer's limit, which
// tell each other their demand. Some have a pool that one of them keeps.
type fleet struct {
	limit   lacewingramp.Limit
	books   []*share.Book
	keepers []*pool.Keeper
	heard   [][]bool
	now     time.Time
	taken   []time.Time
	asked   int
	dealt   int
	// late is the time between two exchanges, if it is not every heartbeat.
	late time.Duration
}

func newFleet(n int, l lacewingramp.Limit) *fleet {
	f := &fleet{limit: l, now: start}
	for range n {
		f.add(n, 0)
	}
	return f
}

// newPooled returns a fleet with a pool.
func newPooled(n int, l lacewingramp.Limit) *fleet {
	f := &fleet{limit: l, now: start, late: time.Second}
	names := members(n)
	for _, name := range names {
		f.add(n, pool.Part(n))
		k := &pool.Keeper{Self: name}
		k.Configure(start, f.limits())
		k.Members(start, names)
		f.keepers = append(f.keepers, k)
	}
	return f
}

func (f *fleet) limits() map[string]lacewingramp.Limit {
	return map[string]lacewingramp.Limit{"andes": f.limit}
}

// add adds one of n instances, with a part of the limit in a pool.
func (f *fleet) add(n int, part float64) {
	b := &share.Book{}
	b.Pool(start, part)
	b.Configure(start, f.limits())
	b.Instances(n)
	b.Tick(start)
	f.books = append(f.books, b)
	row := make([]bool, n)
	for i := range row {
		row[i] = true
	}
	f.heard = append(f.heard, row)
}

func members(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("edge-%d", i))
	}
	return names
}

// restart has all instances of a fleet with a pool start anew.
func (f *fleet) restart() {
	fresh := newPooled(len(f.books), f.limit)
	for _, k := range fresh.keepers {
		k.Members(f.now, nil)
		k.Members(f.now, members(len(f.books)))
	}
	for _, b := range fresh.books {
		b.Configure(f.now, map[string]lacewingramp.Limit{})
		b.Configure(f.now, f.limits())
		b.Tick(f.now)
	}
	f.books, f.keepers = fresh.books, fresh.keepers
}

// ask asks an instance for one request, which may get a token of the pool.
func (f *fleet) ask(i int) {
	f.asked++
	if f.books[i].Take(f.now, "andes") || f.draw() {
		f.taken = append(f.taken, f.now)
	}
}

func (f *fleet) draw() bool {
	for _, k := range f.keepers {
		if k.Owner("andes") != k.Self {
			continue
		}
		_, ok := k.Deal(f.now, "andes")
		if ok {
			f.dealt++
		}
		return ok
	}
	return false
}

// run advances by d with the given requests a second at each instance.
func (f *fleet) run(r *rand.Rand, d time.Duration, rates []float64) {
	f.advance(d, func() {
		for i := range f.books {
			arrive(r, rates[i], func() { f.ask(i) })
		}
	})
}

// spread advances by d with a rate of requests a second over the first instances.
func (f *fleet) spread(r *rand.Rand, d time.Duration, rate float64, first int) {
	f.advance(d, func() {
		arrive(r, rate, func() { f.ask(r.IntN(first)) })
	})
}

// arrive calls f for the requests of one step at a rate.
func arrive(r *rand.Rand, rate float64, f func()) {
	for n := rate * step.Seconds(); n > 0; n-- {
		if r.Float64() < n {
			f()
		}
	}
}

// advance goes on by d in steps, with what each of them brings.
func (f *fleet) advance(d time.Duration, arrivals func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		arrivals()
		if f.now.Sub(start)%max(beat, f.late) == 0 {
			f.exchange()
		}
		if f.now.Sub(start)%beat == 0 {
			for _, b := range f.books {
				b.Tick(f.now)
			}
		}
	}
}

func (f *fleet) exchange() {
	for i, b := range f.books {
		d := b.Demand(f.now)
		for j, o := range f.books {
			if i != j && f.heard[j][i] {
				o.Hear(fmt.Sprint(i), 1, d)
			}
		}
	}
}

func allowed(l lacewingramp.Limit) float64 {
	return l.Rate*span.Seconds()*1.1 + l.Burst*1.1 + 20
}

var _ = ginkgo.Describe("a limit over all instances", func() {
	limit := lacewingramp.Limit{Rate: 100, Burst: 100}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

	ginkgo.It("gives nearly all to demand below it, wherever that is", func() {
		f := newFleet(8, limit)
		r := random()
		f.run(r, 4*time.Second, []float64{7, 7, 7, 7, 7, 7, 7, 7})
		f.run(r, 10*time.Second, []float64{30, 2, 2, 2, 2, 2, 2, 20})
		gomega.Expect(float64(len(f.taken))).To(gomega.BeNumerically(">=", 0.98*float64(f.asked)))
	})

	ginkgo.It("holds when one customer sends several times its rate", func() {
		f := newFleet(8, limit)
		f.run(random(), 20*time.Second, []float64{90, 90, 90, 90, 90, 90, 90, 90})
		gomega.Expect(float64(window.Most(f.taken, span))).To(gomega.BeNumerically("<=", allowed(limit)))
		gomega.Expect(float64(len(f.taken))).To(gomega.BeNumerically(">=", 0.9*limit.Rate*20))
	})

	ginkgo.It("holds while two halves do not hear each other and demand moves", func() {
		f := newFleet(8, limit)
		r := random()
		f.run(r, 5*time.Second, []float64{60, 60, 60, 60, 60, 60, 60, 60})
		for i := range f.books {
			for j := range f.books {
				f.heard[i][j] = (i < 4) == (j < 4)
			}
		}
		f.run(r, 10*time.Second, []float64{60, 60, 60, 60, 30, 30, 30, 30})
		gomega.Expect(float64(window.Most(f.taken, span))).To(gomega.BeNumerically("<=", allowed(limit)))
	})

	ginkgo.It("holds when all instances start anew at the same moment", func() {
		old := newFleet(8, limit)
		r := random()
		old.run(r, 5*time.Second, []float64{60, 60, 60, 60, 60, 60, 60, 60})
		fresh := newFleet(8, limit)
		fresh.now, fresh.taken = old.now, old.taken
		fresh.run(r, 5*time.Second, []float64{60, 60, 60, 60, 60, 60, 60, 60})
		gomega.Expect(float64(window.Most(fresh.taken, span))).To(gomega.BeNumerically("<=", allowed(limit)))
	})

	ginkgo.It("holds over many instances that hear each other late", func() {
		const size = 69
		large := lacewingramp.Limit{Rate: 400, Burst: 400}
		f := newFleet(size, large)
		calm, hot := make([]float64, size), make([]float64, size)
		for i := range size {
			calm[i], hot[i] = 1.2, 40
		}
		r := random()
		f.late = time.Second
		f.run(r, 5*time.Second, calm)
		f.run(r, 6*time.Second, hot)
		gomega.Expect(float64(window.Most(f.taken, span))).To(gomega.BeNumerically("<=", allowed(large)))
	})

	ginkgo.It("takes no more than its part for an instance that has heard of no other", func() {
		var b share.Book
		b.Instances(10)
		b.Configure(start, map[string]lacewingramp.Limit{"andes": limit})
		taken := 0
		for i := range 1000 {
			if b.Take(start.Add(time.Duration(i)*time.Millisecond), "andes") {
				taken++
			}
		}
		gomega.Expect(taken).To(gomega.BeNumerically("<=", 15))
	})

	ginkgo.It("gives back what has not run, and never more than the burst", func() {
		var b share.Book
		b.Configure(start, map[string]lacewingramp.Limit{"andes": {Rate: 1, Burst: 5}})
		for range 20 {
			b.Refund("andes")
		}
		taken := 0
		for b.Take(start, "andes") {
			taken++
		}
		gomega.Expect(taken).To(gomega.Equal(5))
		gomega.Expect(b.Wait("andes")).To(gomega.BeNumerically("~", time.Second, 10*time.Millisecond))
	})

	ginkgo.It("hears of several instances together as of each by itself", func() {
		one, other := &share.Book{}, &share.Book{}
		for _, b := range []*share.Book{one, other} {
			b.Instances(4)
			b.Configure(start, map[string]lacewingramp.Limit{"andes": limit})
		}
		for _, n := range []string{"a", "b", "c"} {
			one.Hear(n, 1, share.Demand{"andes": 5})
		}
		other.Hear("region", 3, share.Demand{"andes": 15})
		d, size := one.Sum(start, []string{"a", "b", "c", "unknown"})
		gomega.Expect(size).To(gomega.Equal(4))
		gomega.Expect(d["andes"]).To(gomega.BeNumerically("~", 15, 0.01))
		for _, b := range []*share.Book{one, other} {
			b.Tick(start)
		}
		gomega.Expect(one.Wait("andes")).To(gomega.Equal(other.Wait("andes")))
	})

	ginkgo.It("forgives no overdraft when the part of an instance shrinks", func() {
		var b share.Book
		b.Instances(2)
		b.Configure(start, map[string]lacewingramp.Limit{"andes": {Rate: 10, Burst: 10}})
		later := start.Add(5 * time.Second)
		b.Tick(later)
		for b.Take(later, "andes") {
			continue
		}
		b.Refund("andes")
		before := b.Wait("andes")
		b.Hear("other", 1, share.Demand{"andes": 500})
		b.Tick(later)
		// The debt is the same, and a smaller part takes longer to pay it.
		gomega.Expect(b.Wait("andes")).To(gomega.BeNumerically(">=", 10*before))
	})

	ginkgo.It("lets a customer without a limit pass", func() {
		var b share.Book
		gomega.Expect(b.Take(start, "free")).To(gomega.BeTrue())
	})
})

// The load of a large fleet: many instances, and customers that ask for less
// than one request a second at each of them.
var _ = ginkgo.Describe("a small customer of a large fleet", func() {
	const (
		instances = 82
		busy      = 48
	)
	limit := lacewingramp.Limit{Rate: 40, Burst: 40}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }

	ginkgo.It("gets nearly all that it asks for below its limit", func() {
		f := newPooled(instances, limit)
		r := random()
		f.spread(r, 3*time.Second, 25, busy)
		before, asked := len(f.taken), f.asked
		f.spread(r, 20*time.Second, 25, busy)
		gomega.Expect(float64(len(f.taken) - before)).To(gomega.BeNumerically(">=", 0.99*float64(f.asked-asked)))
		gomega.Expect(float64(f.dealt)).To(gomega.BeNumerically("<", 0.9*float64(f.asked)))
	})

	ginkgo.It("is served again soon after all instances have started anew", func() {
		f := newPooled(instances, limit)
		r := random()
		f.spread(r, 6*time.Second, 25, busy)
		f.restart()
		before, asked := len(f.taken), f.asked
		f.spread(r, 4*time.Second, 25, busy)
		gomega.Expect(float64(len(f.taken) - before)).To(gomega.BeNumerically(">=", 0.95*float64(f.asked-asked)))
	})

	ginkgo.It("is held to its limit when it sends several times as much", func() {
		f := newPooled(instances, limit)
		r := random()
		f.spread(r, 6*time.Second, 25, busy)
		f.spread(r, 8*time.Second, 190, busy)
		gomega.Expect(float64(window.Most(f.taken, span))).To(gomega.BeNumerically("<=", allowed(limit)))
	})

	ginkgo.It("is held to its limit when all instances start anew under overload", func() {
		f := newPooled(instances, limit)
		r := random()
		f.spread(r, 8*time.Second, 190, busy)
		f.restart()
		f.spread(r, 8*time.Second, 190, busy)
		gomega.Expect(float64(window.Most(f.taken, span))).To(gomega.BeNumerically("<=", allowed(limit)))
	})
})
