package pool_test

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
	// late is how long news of demand takes in a large fleet.
	late = time.Second
)

// fleet is a number of instances with their parts of one customer's limit, and
// the pool that one of them keeps.
type fleet struct {
	limit   lacewingramp.Limit
	books   []*share.Book
	keepers []*pool.Keeper
	now     time.Time
	taken   []time.Time
	asked   int
	dealt   int
}

func newFleet(n int, l lacewingramp.Limit) *fleet {
	f := &fleet{limit: l, now: start}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("edge-%d", i))
	}
	limits := map[string]lacewingramp.Limit{"andes": l}
	for _, name := range names {
		b := &share.Book{}
		b.Pool(start, pool.Part(n))
		b.Configure(start, limits)
		b.Instances(n)
		b.Tick(start)
		k := &pool.Keeper{Self: name}
		k.Configure(start, limits)
		k.Members(start, names)
		f.books = append(f.books, b)
		f.keepers = append(f.keepers, k)
	}
	return f
}

// restart has all instances start anew.
func (f *fleet) restart() {
	fresh := newFleet(len(f.books), f.limit)
	for _, k := range fresh.keepers {
		k.Members(f.now, nil)
		k.Members(f.now, members(len(f.books)))
	}
	for _, b := range fresh.books {
		b.Configure(f.now, map[string]lacewingramp.Limit{})
		b.Configure(f.now, map[string]lacewingramp.Limit{"andes": f.limit})
		b.Tick(f.now)
	}
	f.books, f.keepers = fresh.books, fresh.keepers
}

func members(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("edge-%d", i))
	}
	return names
}

func (f *fleet) take(i int) bool {
	if f.books[i].Take(f.now, "andes") {
		return true
	}
	for _, k := range f.keepers {
		if k.Owner("andes") == k.Self {
			_, ok := k.Deal(f.now, "andes")
			if ok {
				f.dealt++
			}
			return ok
		}
	}
	return false
}

// run advances by d with a rate of requests a second over the first instances.
func (f *fleet) run(r *rand.Rand, d time.Duration, rate float64, first int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for n := rate * step.Seconds(); n > 0; n-- {
			if r.Float64() >= n {
				continue
			}
			f.asked++
			if f.take(r.IntN(first)) {
				f.taken = append(f.taken, f.now)
			}
		}
		if f.now.Sub(start)%late == 0 {
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
			if i != j {
				o.Hear(fmt.Sprint(i), 1, d)
			}
		}
	}
}

func allowed(l lacewingramp.Limit) float64 {
	return (l.Rate*span.Seconds()+l.Burst)*1.1 + 20
}

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
		f := newFleet(instances, limit)
		r := random()
		f.run(r, 3*time.Second, 25, busy)
		before, asked := len(f.taken), f.asked
		f.run(r, 20*time.Second, 25, busy)
		gomega.Expect(float64(len(f.taken) - before)).To(gomega.BeNumerically(">=", 0.99*float64(f.asked-asked)))
		gomega.Expect(float64(f.dealt)).To(gomega.BeNumerically("<", 0.9*float64(f.asked)))
	})

	ginkgo.It("is served again soon after all instances have started anew", func() {
		f := newFleet(instances, limit)
		r := random()
		f.run(r, 6*time.Second, 25, busy)
		f.restart()
		before, asked := len(f.taken), f.asked
		f.run(r, 4*time.Second, 25, busy)
		gomega.Expect(float64(len(f.taken) - before)).To(gomega.BeNumerically(">=", 0.95*float64(f.asked-asked)))
	})

	ginkgo.It("is held to its limit when it sends several times as much", func() {
		f := newFleet(instances, limit)
		r := random()
		f.run(r, 6*time.Second, 25, busy)
		f.run(r, 8*time.Second, 190, busy)
		gomega.Expect(float64(window.Most(f.taken, span))).To(gomega.BeNumerically("<=", allowed(limit)))
	})

	ginkgo.It("is held to its limit when all instances start anew under overload", func() {
		f := newFleet(instances, limit)
		r := random()
		f.run(r, 8*time.Second, 190, busy)
		f.restart()
		f.run(r, 8*time.Second, 190, busy)
		gomega.Expect(float64(window.Most(f.taken, span))).To(gomega.BeNumerically("<=", allowed(limit)))
	})
})

var _ = ginkgo.Describe("a pool", func() {
	limits := map[string]lacewingramp.Limit{"andes": {Rate: 100, Burst: 100}}

	ginkgo.It("is kept by one instance, and by another when that is not listed any more", func() {
		var all []*pool.Keeper
		for _, name := range members(8) {
			k := &pool.Keeper{Self: name}
			k.Configure(start, limits)
			k.Members(start, members(8))
			all = append(all, k)
		}
		owner := all[0].Owner("andes")
		kept := 0
		for _, k := range all {
			gomega.Expect(k.Owner("andes")).To(gomega.Equal(owner))
			if _, ok := k.Deal(start.Add(time.Second), "andes"); ok {
				kept++
				gomega.Expect(k.Self).To(gomega.Equal(owner))
			}
		}
		gomega.Expect(kept).To(gomega.Equal(1))
		var rest []string
		for _, name := range members(8) {
			if name != owner {
				rest = append(rest, name)
			}
		}
		gone := start.Add(2 * time.Second)
		for _, k := range all {
			k.Members(gone, rest)
		}
		for _, k := range all {
			_, ok := k.Deal(gone, "andes")
			gomega.Expect(ok).To(gomega.BeFalse(), "a pool that changes hands starts empty")
		}
	})

	ginkgo.It("tells when it has a token again", func() {
		k := &pool.Keeper{Self: "edge-0"}
		k.Configure(start, limits)
		k.Members(start, members(1))
		wait, ok := k.Deal(start, "andes")
		gomega.Expect(ok).To(gomega.BeFalse())
		_, ok = k.Deal(start.Add(wait), "andes")
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	ginkgo.It("is kept by nobody where the store lists nobody", func() {
		k := &pool.Keeper{Self: "edge-0"}
		k.Configure(start, limits)
		gomega.Expect(k.Owner("andes")).To(gomega.BeEmpty())
		_, ok := k.Deal(start.Add(time.Second), "andes")
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})
