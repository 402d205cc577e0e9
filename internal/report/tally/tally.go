// Package tally counts the requests of an instance by customer, route and
// cause, with a histogram of how long they took, to one digit.
//
// # Usage
//
//	var t tally.Tally
//	t.Count("shop", "recipe", lacewingramp.Ran, lacewingramp.CauseNone, took)
//	rows := t.Rows()
package tally

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingramp.example/lacewingramp"
)

const (
	longest     = int64(time.Hour / time.Microsecond)
	digits      = 1
	microsecond = int64(time.Microsecond)
	p50         = 50
	p99         = 99
)

// Tally counts requests. Its zero value is ready and safe for use by many
// goroutines.
type Tally struct {
	mu   sync.Mutex
	rows map[rowKey]*row
}

type rowKey struct {
	customer string
	route    string
}

type row struct {
	ran      int64
	maybe    int64
	refused  map[lacewingramp.Cause]int64
	duration *hdrhistogram.Histogram
}

// Row is what has been counted of one customer on one route. Refused counts
// the requests that did not run, by cause. Unclear counts those that may have.
type Row struct {
	Customer string                       `json:"customer"`
	Route    string                       `json:"route"`
	Ran      int64                        `json:"ran"`
	Unclear  int64                        `json:"unclear"`
	Refused  map[lacewingramp.Cause]int64 `json:"refused,omitempty"`
	P50      lacewingramp.Duration        `json:"p50"`
	P99      lacewingramp.Duration        `json:"p99"`
}

// Count notes the end of a request.
func (t *Tally) Count(customer, route string, verdict lacewingramp.Verdict, cause lacewingramp.Cause, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(rowKey{customer: customer, route: route})
	switch {
	case cause == lacewingramp.CauseNone:
		r.ran++
		_ = r.duration.RecordValue(min(int64(took)/microsecond, longest))
	case verdict == lacewingramp.NotRun:
		r.refused[cause]++
	default:
		r.maybe++
	}
}

func (t *Tally) row(k rowKey) *row {
	if t.rows == nil {
		t.rows = make(map[rowKey]*row)
	}
	r, ok := t.rows[k]
	if !ok {
		r = &row{
			refused:  make(map[lacewingramp.Cause]int64),
			duration: hdrhistogram.New(1, longest, digits),
		}
		t.rows[k] = r
	}
	return r
}

// Rows lists the counts in order of customer and route.
func (t *Tally) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Row, 0, len(t.rows))
	for k, r := range t.rows {
		refused := make(map[lacewingramp.Cause]int64, len(r.refused))
		for c, n := range r.refused {
			refused[c] = n
		}
		all = append(all, Row{
			Customer: k.customer, Route: k.route, Ran: r.ran, Unclear: r.maybe, Refused: refused,
			P50: micros(r.duration.ValueAtQuantile(p50)), P99: micros(r.duration.ValueAtQuantile(p99)),
		})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Customer != all[j].Customer {
			return all[i].Customer < all[j].Customer
		}
		return all[i].Route < all[j].Route
	})
	return all
}

func micros(v int64) lacewingramp.Duration {
	return lacewingramp.Duration(v * microsecond)
}
