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

// Plan describes the load. Each customer of the table sends requests at RateFraction
// times its rate limit, divided equally among the routes and domains of the table.
// EntryAddresses are the caller addresses of instances to send the first lookup to.
// Keys holds the customers' keys by customer name.
type Plan struct {
	Table          *lacewingramp.Table
	EntryAddresses []string
	Keys           map[string]string
	RateFraction   float64
	Duration       time.Duration
	Seed           uint64
	// MaxConcurrent is the maximum number of concurrent requests per customer, route and
	// domain.
	MaxConcurrent int
}

// RouteStats are the results of one customer's requests on one route. Ran, Unclear,
// Refused and Wrong count requests by outcome:
//
//   - Ran: the target responded.
//   - Unclear: the request may have run.
//   - Refused: the request did not run, by cause.
//   - Wrong: the response is not valid for the request, by Result.Wrong.
//
// Latency is in microseconds and only of the requests in Ran.
type RouteStats struct {
	Customer string
	Route    string
	Sent     int64
	Ran      int64
	Unclear  int64
	Tries    int64
	Refused  map[lacewingramp.Cause]int64
	Wrong    map[string]int64
	Latency  *hdrhistogram.Histogram
}

// Summary is the result of a load. Skipped is the number of requests that were not
// sent because of Plan.MaxConcurrent. Keys are the idempotency keys of the requests.
type Summary struct {
	Routes  []*RouteStats
	Skipped int64
	Keys    []string
}

const (
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 2
)

// runner generates the load of a plan and collects the results.
type runner struct {
	plan         Plan
	mu           sync.Mutex
	statsByRoute map[[2]string]*RouteStats
	skipped      int64
	keys         []string
	inFlight     sync.WaitGroup
}

// Run generates the load of the plan and waits for the last response.
func Run(ctx context.Context, p Plan) *Summary {
	r := &runner{plan: p, statsByRoute: make(map[[2]string]*RouteStats)}
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	streamsPerCustomer := len(p.Table.Domains) * len(p.Table.Routes)
	var streamsDone sync.WaitGroup
	streamNumber := uint64(0)
	for _, customer := range p.Table.Customers {
		for _, domain := range p.Table.Domains {
			c := NewCaller(Identity{Customer: customer.Name, Key: p.Keys[customer.Name], Domain: domain.Name}, p.EntryAddresses)
			defer c.Close()
			for _, route := range p.Table.Routes {
				streamNumber++
				s := stream{caller: c, customerName: customer.Name, route: route, rate: customer.Rate * p.RateFraction / float64(streamsPerCustomer), seed: p.Seed + streamNumber}
				streamsDone.Go(func() { r.runStream(ctx, s) })
			}
		}
	}
	streamsDone.Wait()
	r.inFlight.Wait()
	return r.summary()
}

// stream sends the requests of one customer on one route from one domain, at rate
// requests per second on average.
type stream struct {
	caller       *Caller
	customerName string
	route        lacewingramp.Route
	rate         float64
	seed         uint64
}

// runStream sends the requests of a stream. The times between them are random with an
// exponential distribution and do not depend on the responses. A request that would
// exceed Plan.MaxConcurrent is skipped.
func (r *runner) runStream(ctx context.Context, s stream) {
	if s.rate <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(s.seed, s.seed))
	permits := make(chan struct{}, max(1, r.plan.MaxConcurrent))
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		request := newRequest(s.route, fmt.Sprintf("%s-%d-%d", s.customerName, s.seed, n))
		select {
		case permits <- struct{}{}:
			r.inFlight.Go(func() {
				defer func() { <-permits }()
				r.record(s, s.caller.Do(context.WithoutCancel(ctx), request))
			})
		default:
			r.mu.Lock()
			r.skipped++
			r.mu.Unlock()
		}
	}
}

func newRequest(route lacewingramp.Route, id string) Request {
	request := Request{Service: route.Service, Method: route.Method, Path: strings.ReplaceAll(route.Path, "{id}", id)}
	if !route.Idempotent {
		request.Body = `{"order":"` + id + `"}`
		request.IdempotencyID = id
	}
	return request
}

func (r *runner) record(s stream, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := [2]string{s.customerName, s.route.Name}
	stats, ok := r.statsByRoute[key]
	if !ok {
		stats = &RouteStats{
			Customer: s.customerName, Route: s.route.Name, Refused: make(map[lacewingramp.Cause]int64),
			Wrong: make(map[string]int64), Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		}
		r.statsByRoute[key] = stats
	}
	stats.Sent++
	stats.Tries += int64(result.Tries)
	if result.Key != "" {
		r.keys = append(r.keys, result.Key)
	}
	switch {
	case result.Wrong != "":
		stats.Wrong[result.Wrong]++
	case result.Cause == lacewingramp.CauseNone:
		stats.Ran++
		_ = stats.Latency.RecordValue(min(result.Latency.Microseconds(), maxLatencyMicros))
	case result.Verdict == lacewingramp.NotRun:
		stats.Refused[result.Cause]++
	default:
		stats.Unclear++
	}
}

func (r *runner) summary() *Summary {
	s := &Summary{Skipped: r.skipped, Keys: r.keys}
	for _, stats := range r.statsByRoute {
		s.Routes = append(s.Routes, stats)
	}
	sort.Slice(s.Routes, func(a, b int) bool {
		if s.Routes[a].Customer != s.Routes[b].Customer {
			return s.Routes[a].Customer < s.Routes[b].Customer
		}
		return s.Routes[a].Route < s.Routes[b].Route
	})
	return s
}

// Wrong returns the number of responses that were not valid for the caller's
// request.
func (s *Summary) Wrong() int64 {
	n := int64(0)
	for _, stats := range s.Routes {
		for _, w := range stats.Wrong {
			n += w
		}
	}
	return n
}

// WriteText writes the summary as a table of about 80 columns.
func (s *Summary) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-15s %-12s %7s %7s %7s %8s %8s  %s\n", "customer", "route", "sent", "ran", "unclear", "p50", "p99", "not run")
	total := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for _, stats := range s.Routes {
		total.Merge(stats.Latency)
		fmt.Fprintf(&b, "%-15s %-12s %7d %7d %7d %8s %8s  %s\n", stats.Customer, stats.Route, stats.Sent, stats.Ran, stats.Unclear,
			percentile(stats.Latency, 50), percentile(stats.Latency, 99), formatFailures(stats))
	}
	sent, ran, unclear, tries := s.totals()
	fmt.Fprintf(&b, "all: sent %d, ran %d, unclear %d, wrong answers %d, not sent %d, %.3f tries a request\n",
		sent, ran, unclear, s.Wrong(), s.Skipped, float64(tries)/max(1, float64(sent)))
	fmt.Fprintf(&b, "latency: p50 %s, p90 %s, p99 %s, p99.9 %s, most %s\n", percentile(total, 50), percentile(total, 90),
		percentile(total, 99), percentile(total, 99.9), percentile(total, 100))
	_, err := io.WriteString(w, b.String())
	return err
}

func (s *Summary) totals() (sent, ran, unclear, tries int64) {
	for _, stats := range s.Routes {
		sent += stats.Sent
		ran += stats.Ran
		unclear += stats.Unclear
		tries += stats.Tries
	}
	return sent, ran, unclear, tries
}

func percentile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(10 * time.Microsecond)
}

func formatFailures(stats *RouteStats) string {
	parts := make([]string, 0, len(stats.Refused)+len(stats.Wrong))
	for k, n := range stats.Refused {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	for k, n := range stats.Wrong {
		parts = append(parts, fmt.Sprintf("WRONG %s %d", k, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
