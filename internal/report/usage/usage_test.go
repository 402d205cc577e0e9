package usage_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/report/usage"
)

const (
	window = 5 * time.Second
	late   = 10 * time.Second
	way    = 35 * time.Millisecond
)

// start is the begin of a window.
var start = time.Unix(1_800_000_000, 0)

var firstWindow = usage.WindowOf(start, window)

func newCounter() *usage.Counter {
	return &usage.Counter{Window: window, Retention: late, SettleTimeout: 2500 * time.Millisecond}
}

func count(c *usage.Counter, now time.Time, id int64) uint64 {
	return c.At(now, id).Counts["andes"]
}

var _ = ginkgo.Describe("Counter", func() {
	// Guards against counts of requests that no target began, or that omit those that one may
	// have begun.
	ginkgo.DescribeTable("counts an attempt by its outcome", func(outcome lacewingramp.Verdict, expected int) {
		c := newCounter()
		id := c.Start(usage.Attempt{Customer: "andes", SentAt: start, OneWay: way})
		now := start.Add(time.Second)
		c.End(now, id, usage.Result{Outcome: outcome, OneWay: way})
		c.End(now, id, usage.Result{Outcome: outcome, OneWay: way})
		gomega.Expect(count(c, now, firstWindow)).To(gomega.BeEquivalentTo(expected))
	},
		ginkgo.Entry("refused as not run", lacewingramp.NotRun, 0),
		ginkgo.Entry("with a response", lacewingramp.Ran, 1),
		ginkgo.Entry("with an unknown outcome", lacewingramp.MayHaveRun, 1),
	)

	// Guards against requests on the border of windows that are counted by when they were sent,
	// although they waited in the queue of a target for seconds.
	ginkgo.It("counts a request that queued by the time of its response", func() {
		c := newCounter()
		work := 500 * time.Millisecond
		for range 20 {
			id := c.Start(usage.Attempt{Customer: "other", Route: "query", SentAt: start, OneWay: way})
			c.End(start.Add(work+2*way), id, usage.Result{Outcome: lacewingramp.Ran, OneWay: way, Load: &lacewingramp.TargetLoad{Running: 1, Slots: 3}})
		}
		sentAt := start.Add(window - 400*time.Millisecond)
		id := c.Start(usage.Attempt{Customer: "andes", Route: "query", SentAt: sentAt, OneWay: way, Load: 2, Slots: 3})
		endedAt := start.Add(window).Add(work + way + 100*time.Millisecond)
		c.End(endedAt, id, usage.Result{Outcome: lacewingramp.Ran, OneWay: way, Load: &lacewingramp.TargetLoad{Running: 3, Waiting: 2, Slots: 3}})
		gomega.Expect(count(c, endedAt, firstWindow)).To(gomega.BeZero())
		gomega.Expect(count(c, endedAt, firstWindow+1)).To(gomega.BeEquivalentTo(1))
	})

	// Guards against requests that are counted a window early, as connecting to a far target took
	// the time to the border.
	ginkgo.It("counts from when the connection was open, and the way", func() {
		c := newCounter()
		id := c.Start(usage.Attempt{Customer: "andes", SentAt: start.Add(window - 80*time.Millisecond)})
		now := start.Add(window + time.Second)
		c.End(now, id, usage.Result{Outcome: lacewingramp.Ran, OneWay: way, Connecting: 2 * way})
		gomega.Expect(count(c, now, firstWindow+1)).To(gomega.BeEquivalentTo(1))
	})

	// Guards against windows that omit long requests, and against windows that never settle.
	ginkgo.It("counts requests in flight that were probably begun, and settles after a while", func() {
		c := newCounter()
		c.Start(usage.Attempt{Customer: "andes", SentAt: start.Add(time.Second), OneWay: way})
		c.Start(usage.Attempt{Customer: "andes", SentAt: start.Add(window - way/2), OneWay: way})
		end := start.Add(window)
		w := c.At(end, firstWindow)
		gomega.Expect(w.Counts["andes"]).To(gomega.BeEquivalentTo(1))
		gomega.Expect(w.Settled).To(gomega.BeFalse())
		gomega.Expect(c.At(end.Add(2500*time.Millisecond), firstWindow).Settled).To(gomega.BeTrue())
	})

	// Guards against estimates that bad figures of a target, or a clock that steps, move out of
	// the time between sending and response.
	ginkgo.It("keeps the begin between sending and response with bad figures", func() {
		random := rand.New(rand.NewPCG(1, 1))
		c := newCounter()
		for range 2000 {
			load := &lacewingramp.TargetLoad{Running: random.IntN(9) - 4, Waiting: random.IntN(9) - 4, Slots: random.IntN(9) - 4, WorkPercent: int(random.Int32()) - 1<<30}
			sentAt := start.Add(time.Duration(random.Int64N(int64(4 * time.Second))))
			id := c.Start(usage.Attempt{Customer: "andes", SentAt: sentAt, Load: random.NormFloat64() * 1e6, Slots: random.IntN(9) - 4, OneWay: -way})
			c.End(sentAt.Add(time.Duration(random.Int64N(int64(time.Second)))), id, usage.Result{Outcome: lacewingramp.Ran, Load: load, Connecting: -way})
		}
		gomega.Expect(count(c, start.Add(window), firstWindow)).To(gomega.BeEquivalentTo(2000))
	})

	// Guards against memory that grows with time.
	ginkgo.It("forgets old windows", func() {
		c := newCounter()
		now := start
		for range 1000 {
			id := c.Start(usage.Attempt{Customer: "andes", SentAt: now})
			c.End(now, id, usage.Result{Outcome: lacewingramp.Ran})
			now = now.Add(window)
			c.Sweep(now)
		}
		gomega.Expect(len(c.Windows(now, start))).To(gomega.BeNumerically("<=", 5))
	})
})

var _ = ginkgo.Describe("counts on the wire", func() {
	names := usage.NewNames([]lacewingramp.Customer{{Name: "c"}, {Name: "a"}, {Name: "b"}, {Name: "d"}})

	// Guards against counts that are credited to another customer.
	ginkgo.It("are decoded as they were encoded", func() {
		random := rand.New(rand.NewPCG(2, 2))
		for range 200 {
			w := usage.WindowCounts{ID: 7, Settled: true, Counts: map[string]uint64{}}
			for _, name := range []string{"a", "b", "c", "d", "gone"} {
				if random.IntN(2) == 0 {
					w.Counts[name] = 1 + random.Uint64N(300)
				}
			}
			got, err := names.Decode(names.Encode(w))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(got).To(gomega.Equal(w))
		}
	})

	// Guards against datagrams that stop the process or fill its memory.
	ginkgo.It("are refused if they are bad", func() {
		for _, bad := range [][]byte{{0}, {0, 200, 1}, {1, 1, 1, 1, 1}, {0xff}, {0xff, 0xff, 0xff, 0xff, 0xff, 1}} {
			_, err := names.Decode(lacewingramp.UsageWindow{ID: 7, Counts: bad})
			gomega.Expect(err).To(gomega.HaveOccurred(), "%v", bad)
		}
	})

	// Guards against more control traffic than 0.5 KB/s: two destinations each 2 s, with the
	// counts of two windows of a fleet with 83 customers.
	ginkgo.It("of 83 customers take at most 100 bytes a window", func() {
		var customers []lacewingramp.Customer
		w := usage.WindowCounts{ID: firstWindow, Counts: map[string]uint64{}}
		for n := range 83 {
			customers = append(customers, lacewingramp.Customer{Name: fmt.Sprintf("cust%03d", n)})
			w.Counts[customers[n].Name] = uint64(n)
		}
		many := usage.NewNames(customers)
		raw, err := cbor.Marshal(lacewingramp.UsageCounts{Sequence: 1000, Fingerprint: many.Fingerprint, Windows: []lacewingramp.UsageWindow{many.Encode(w)}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(len(raw)).To(gomega.BeNumerically("<=", 125))
	})
})

var _ = ginkgo.Describe("Ledger", func() {
	names := usage.NewNames([]lacewingramp.Customer{{Name: "andes"}, {Name: "small"}})
	counts := func(n usage.Names, sequence, andes uint64, settled bool) *lacewingramp.UsageCounts {
		w := usage.WindowCounts{ID: firstWindow, Counts: map[string]uint64{"andes": andes}, Settled: settled}
		return &lacewingramp.UsageCounts{Sequence: sequence, Fingerprint: n.Fingerprint, Windows: []lacewingramp.UsageWindow{n.Encode(w)}}
	}
	now := start.Add(window + time.Second)
	one, two := usage.Source{Name: "edge-1", StartMillis: 5}, usage.Source{Name: "edge-2", StartMillis: 5}
	newLedger := func() *usage.Ledger {
		l := &usage.Ledger{Window: window, Retention: late}
		l.SetNames(names)
		return l
	}

	// Guards against counts that loss, repetition or another order of datagrams change.
	ginkgo.It("takes the latest counts of each instance", func() {
		l := newLedger()
		l.Record(now, one, counts(names, 2, 20, true))
		l.Record(now, one, counts(names, 1, 10, false))
		l.Record(now, one, counts(names, 2, 20, true))
		l.Record(now, two, counts(names, 9, 5, false))
		total, missing := l.Total(firstWindow, []usage.Source{one, two})
		gomega.Expect(total).To(gomega.Equal(map[string]uint64{"andes": 25}))
		gomega.Expect(missing).To(gomega.Equal([]string{"edge-2"}))
	})

	// Guards against counts that are lost while instances have different tables.
	ginkgo.It("decodes counts by the table of their sender once it knows that", func() {
		later := usage.NewNames([]lacewingramp.Customer{{Name: "aaa"}, {Name: "andes"}, {Name: "small"}})
		l := newLedger()
		l.Record(now, one, counts(later, 1, 20, true))
		total, missing := l.Total(firstWindow, []usage.Source{one})
		gomega.Expect(total).To(gomega.BeEmpty())
		gomega.Expect(missing).To(gomega.Equal([]string{"edge-1"}))
		l.SetNames(later)
		total, _ = l.Total(firstWindow, []usage.Source{one})
		gomega.Expect(total).To(gomega.Equal(map[string]uint64{"andes": 20}))
	})

	// Guards against a fleet of which each restart counts once only, or that waits for an
	// instance that did not run in the window.
	ginkgo.It("adds up the runs of an instance, and does not wait for one that started later", func() {
		l := newLedger()
		l.Record(now, one, counts(names, 9, 20, true))
		again := usage.Source{Name: "edge-1", StartMillis: start.Add(time.Second).UnixMilli()}
		l.Record(now, again, counts(names, 1, 3, true))
		newer := usage.Source{Name: "edge-3", StartMillis: now.UnixMilli()}
		total, missing := l.Total(firstWindow, []usage.Source{again, newer})
		gomega.Expect(total["andes"]).To(gomega.BeEquivalentTo(23))
		gomega.Expect(missing).To(gomega.BeEmpty())
	})

	// Guards against windows that are closed long after their end as a killed instance is waited
	// for.
	ginkgo.It("no longer waits for an instance that fell silent", func() {
		l := newLedger()
		l.Record(now, one, counts(names, 9, 20, false))
		gomega.Expect(l.Awaited(now.Add(time.Second), firstWindow, []usage.Source{one}, 3*time.Second)).To(gomega.BeTrue())
		gomega.Expect(l.Awaited(now.Add(4*time.Second), firstWindow, []usage.Source{one}, 3*time.Second)).To(gomega.BeFalse())
		gomega.Expect(l.Awaited(now, firstWindow, []usage.Source{two}, 3*time.Second)).To(gomega.BeTrue())
	})

	// Guards against counts that are more than 5% off when a tenth of the instances is killed
	// in a window, at random times between their messages.
	ginkgo.It("is within 5% when 10% of the instances are killed in a window", func() {
		const instances, rate, interval = 80, 40, 2 * time.Second
		random := rand.New(rand.NewPCG(3, 3))
		l := newLedger()
		begun, live := 0, []usage.Source(nil)
		for n := range instances {
			s := usage.Source{Name: fmt.Sprint("edge-", n), StartMillis: 1}
			killedAt := start.Add(time.Hour)
			if n%10 == 0 {
				killedAt = start.Add(time.Duration(random.Int64N(int64(window))))
			} else {
				live = append(live, s)
			}
			c, sequence, next := newCounter(), uint64(0), start.Add(time.Duration(random.Int64N(int64(interval))))
			for at := start; at.Before(now.Add(interval)) && at.Before(killedAt); at = at.Add(time.Second / rate) {
				if at.Before(start.Add(window)) {
					begun++
				}
				c.Start(usage.Attempt{Customer: "andes", SentAt: at})
				if at.Before(next) {
					continue
				}
				next, sequence = next.Add(interval), sequence+1
				u := &lacewingramp.UsageCounts{Sequence: sequence, Fingerprint: names.Fingerprint}
				for _, w := range c.Windows(at, start) {
					w.Settled = true
					u.Windows = append(u.Windows, names.Encode(w))
				}
				l.Record(at, s, u)
			}
		}
		total, missing := l.Total(firstWindow, live)
		gomega.Expect(missing).To(gomega.BeEmpty())
		gomega.Expect(float64(total["andes"])).To(gomega.BeNumerically("~", begun, 0.05*float64(begun)))
	})
})

var _ = ginkgo.Describe("Reports", func() {
	newReports := func() *usage.Reports { return &usage.Reports{Window: window, Late: late} }
	end := start.Add(window)

	// Guards against windows that are reported before their end, late, twice, or from before the
	// start.
	ginkgo.It("are due from the end of a window until it is late", func() {
		r := newReports()
		_, ok := r.Next(end.Add(-time.Millisecond), start)
		gomega.Expect(ok).To(gomega.BeFalse())
		id, ok := r.Next(end, start)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(id).To(gomega.Equal(firstWindow))
		r.Done(id)
		_, ok = r.Next(end, start)
		gomega.Expect(ok).To(gomega.BeFalse())
		id, _ = r.Next(end.Add(late-time.Millisecond), start)
		gomega.Expect(id).To(gomega.Equal(firstWindow + 1))
	})

	// Guards against a report that changes after the store or the platform may have got it.
	ginkgo.It("keep the body of a window", func() {
		r := newReports()
		r.Fix(firstWindow, []byte("first"))
		r.Fix(firstWindow, []byte("second"))
		body, stored := r.Body(firstWindow, 1)
		gomega.Expect(string(body)).To(gomega.Equal("first"))
		gomega.Expect(stored).To(gomega.BeFalse())
		r.Stored(firstWindow, []byte("other"), 1)
		body, stored = r.Body(firstWindow, 1)
		gomega.Expect(string(body)).To(gomega.Equal("other"))
		gomega.Expect(stored).To(gomega.BeTrue())
	})

	// Guards against a report that is sent although the restored store no longer has it, and
	// against another body than the one that was sent before.
	ginkgo.It("have to be stored again in another epoch, with what was stored before", func() {
		r := newReports()
		r.Fix(firstWindow, []byte("own"))
		r.Learn(firstWindow, []byte("sent"))
		r.Learn(firstWindow, []byte("other"))
		body, stored := r.Body(firstWindow, 2)
		gomega.Expect(string(body)).To(gomega.Equal("sent"))
		gomega.Expect(stored).To(gomega.BeFalse())
	})

	// Guards against a write of an earlier epoch that takes effect after the store was restored,
	// and is sent in place of the report that was lost with the store's later state.
	ginkgo.DescribeTable("tell whether what the store has may be sent", func(tokenEpoch int64, body string, clearFrom time.Time, expected bool) {
		r := newReports()
		r.Learn(firstWindow, []byte("sent"))
		gomega.Expect(r.Usable(firstWindow, 2, clearFrom, tokenEpoch, []byte(body))).To(gomega.Equal(expected))
	},
		ginkgo.Entry("of the present epoch", int64(2), "other", end.Add(time.Second), true),
		ginkgo.Entry("of an earlier epoch, and not what was sent", int64(1), "other", end.Add(time.Second), false),
		ginkgo.Entry("of an earlier epoch, and what was sent", int64(1), "sent", end.Add(time.Second), true),
		ginkgo.Entry("of an earlier epoch, of a window that nobody can have sent then", int64(1), "other", end, true),
	)

	// Guards against windows of which this instance knows nothing and that a holder of an earlier
	// epoch may have reported.
	ginkgo.It("are suspect if they ended before the epoch is clear", func() {
		r := newReports()
		r.Fix(firstWindow, []byte("own"))
		body, stored, suspect := r.Plan(firstWindow, 2, end.Add(time.Second))
		gomega.Expect(body).To(gomega.BeNil())
		gomega.Expect(stored).To(gomega.BeFalse())
		gomega.Expect(suspect).To(gomega.BeTrue())
		body, _, suspect = r.Plan(firstWindow, 2, end)
		gomega.Expect(string(body)).To(gomega.Equal("own"))
		gomega.Expect(suspect).To(gomega.BeFalse())
	})

	// Guards against windows that are given up without a word, or more than once.
	ginkgo.It("tell once which windows were given up", func() {
		r := newReports()
		gomega.Expect(r.Overdue(end.Add(late-time.Millisecond), start)).To(gomega.BeEmpty())
		gomega.Expect(r.Overdue(end.Add(late), start)).To(gomega.Equal([]int64{firstWindow}))
		gomega.Expect(r.Overdue(end.Add(late), start)).To(gomega.BeEmpty())
		r.Learn(firstWindow+1, []byte("by an earlier holder"))
		r.Learn(firstWindow+2, []byte("tried"))
		r.Failed(end, firstWindow+2)
		gomega.Expect(r.Overdue(end.Add(late+2*window), start)).To(gomega.Equal([]int64{firstWindow + 2}))
	})

	// Guards against calls in quick succession to a platform that refuses them.
	ginkgo.It("are tried again after growing pauses", func() {
		r := newReports()
		now, calls := end, 0
		for now.Before(end.Add(4 * time.Second)) {
			if _, ok := r.Next(now, start); ok {
				calls++
				r.Failed(now, firstWindow)
			}
			now = now.Add(10 * time.Millisecond)
		}
		gomega.Expect(calls).To(gomega.BeNumerically("<=", 7))
	})
})
