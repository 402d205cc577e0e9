package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingramp.example/lacewingramp"
)

// Plan is what callers do: every customer of the table at a part of its rate,
// spread over the table's routes and domains.
type Plan struct {
	Table    *lacewingramp.Table
	Entries  []string
	Keys     map[string]string
	Part     float64
	Duration time.Duration
	Seed     uint64
	// Most is how many requests of one stream may be under way.
	Most int
}

// Count is what the callers of one customer saw on one route.
type Count struct {
	Customer string
	Route    string
	Sent     int64
	Ran      int64
	Unclear  int64
	Tries    int64
	Refused  map[lacewingramp.Cause]int64
	Wrong    map[string]int64
	Took     *hdrhistogram.Histogram
}

// Summary is what all callers saw. Skipped counts requests that were not sent
// because too many were under way.
type Summary struct {
	Counts  []*Count
	Skipped int64
	Keys    []string
}

const (
	slowest   = int64(time.Minute / time.Microsecond)
	histogram = 2
)

type run struct {
	plan    Plan
	mu      sync.Mutex
	counts  map[[2]string]*Count
	skipped int64
	keys    []string
	wait    sync.WaitGroup
}

// Run drives the plan's callers and waits for the last answer.
func Run(ctx context.Context, p Plan) *Summary {
	r := &run{plan: p, counts: make(map[[2]string]*Count)}
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	streams := len(p.Table.Domains) * len(p.Table.Routes)
	var drivers sync.WaitGroup
	serial := uint64(0)
	for _, u := range p.Table.Customers {
		for _, d := range p.Table.Domains {
			c := NewCaller(Identity{Customer: u.Name, Key: p.Keys[u.Name], Domain: d.Name}, p.Entries)
			defer c.Close()
			for _, route := range p.Table.Routes {
				serial++
				s := stream{caller: c, customer: u.Name, route: route, rate: u.Rate * p.Part / float64(streams), seed: p.Seed + serial}
				drivers.Go(func() { r.drive(ctx, s) })
			}
		}
	}
	drivers.Wait()
	r.wait.Wait()
	return r.summary()
}

type stream struct {
	caller   *Caller
	customer string
	route    lacewingramp.Route
	rate     float64
	seed     uint64
}

// drive sends a stream's requests at random times that do not depend on the
// answers.
func (r *run) drive(ctx context.Context, s stream) {
	if s.rate <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(s.seed, s.seed))
	under := make(chan struct{}, max(1, r.plan.Most))
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		q := request(s.route, fmt.Sprintf("%s-%d-%d", s.customer, s.seed, n))
		select {
		case under <- struct{}{}:
			r.wait.Go(func() {
				defer func() { <-under }()
				r.count(s, s.caller.Do(context.WithoutCancel(ctx), q))
			})
		default:
			r.mu.Lock()
			r.skipped++
			r.mu.Unlock()
		}
	}
}

func request(route lacewingramp.Route, id string) Request {
	q := Request{Service: route.Service, Method: route.Method, Path: strings.ReplaceAll(route.Path, "{id}", id)}
	if !route.Idempotent {
		q.Body = `{"order":"` + id + `"}`
		q.Once = id
	}
	return q
}

func (r *run) count(s stream, v Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := [2]string{s.customer, s.route.Name}
	c, ok := r.counts[k]
	if !ok {
		c = &Count{
			Customer: s.customer, Route: s.route.Name, Refused: make(map[lacewingramp.Cause]int64),
			Wrong: make(map[string]int64), Took: hdrhistogram.New(1, slowest, histogram),
		}
		r.counts[k] = c
	}
	c.Sent++
	c.Tries += int64(v.Tries)
	if v.Key != "" {
		r.keys = append(r.keys, v.Key)
	}
	switch {
	case v.Wrong != "":
		c.Wrong[v.Wrong]++
	case v.Cause == lacewingramp.CauseNone:
		c.Ran++
		_ = c.Took.RecordValue(min(v.Took.Microseconds(), slowest))
	case v.Verdict == lacewingramp.NotRun:
		c.Refused[v.Cause]++
	default:
		c.Unclear++
	}
}

func (r *run) summary() *Summary {
	s := &Summary{Skipped: r.skipped, Keys: r.keys}
	for _, c := range r.counts {
		s.Counts = append(s.Counts, c)
	}
	sort.Slice(s.Counts, func(a, b int) bool {
		if s.Counts[a].Customer != s.Counts[b].Customer {
			return s.Counts[a].Customer < s.Counts[b].Customer
		}
		return s.Counts[a].Route < s.Counts[b].Route
	})
	return s
}

// Wrong counts answers that were not the caller's own.
func (s *Summary) Wrong() int64 {
	n := int64(0)
	for _, c := range s.Counts {
		for _, w := range c.Wrong {
			n += w
		}
	}
	return n
}

// WriteText writes the summary for reading in 80 columns.
func (s *Summary) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-15s %-12s %7s %7s %7s %8s %8s  %s\n", "customer", "route", "sent", "ran", "unclear", "p50", "p99", "not run")
	all := hdrhistogram.New(1, slowest, histogram)
	for _, c := range s.Counts {
		all.Merge(c.Took)
		fmt.Fprintf(&b, "%-15s %-12s %7d %7d %7d %8s %8s  %s\n", c.Customer, c.Route, c.Sent, c.Ran, c.Unclear,
			quantile(c.Took, 50), quantile(c.Took, 99), causes(c))
	}
	sent, ran, unclear, tries := s.totals()
	fmt.Fprintf(&b, "all: sent %d, ran %d, unclear %d, wrong answers %d, not sent %d, %.3f tries a request\n",
		sent, ran, unclear, s.Wrong(), s.Skipped, float64(tries)/max(1, float64(sent)))
	fmt.Fprintf(&b, "latency: p50 %s, p90 %s, p99 %s, p99.9 %s, most %s\n", quantile(all, 50), quantile(all, 90),
		quantile(all, 99), quantile(all, 99.9), quantile(all, 100))
	_, err := io.WriteString(w, b.String())
	return err
}

func (s *Summary) totals() (sent, ran, unclear, tries int64) {
	for _, c := range s.Counts {
		sent += c.Sent
		ran += c.Ran
		unclear += c.Unclear
		tries += c.Tries
	}
	return sent, ran, unclear, tries
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(10 * time.Microsecond)
}

func causes(c *Count) string {
	parts := make([]string, 0, len(c.Refused)+len(c.Wrong))
	for k, n := range c.Refused {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	for k, n := range c.Wrong {
		parts = append(parts, fmt.Sprintf("WRONG %s %d", k, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
