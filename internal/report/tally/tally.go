// Package tally counts the requests of an instance by customer, route and cause of
// refusal. It also keeps histograms of the durations of requests that were not refused,
// with a precision of one significant digit.
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
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 1
	microsecond       = int64(time.Microsecond)
	p50               = 50
	p99               = 99
)

// Tally counts requests. Its zero value is ready for use. It is safe for concurrent use.
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
	unclear  int64
	refused  map[lacewingramp.Cause]int64
	duration *hdrhistogram.Histogram
}

// Row holds the counts of one customer's requests on one route. Ran counts the requests
// that were not refused, and P50 and P99 are percentiles of their durations. Refused
// counts the refused requests that did not run, by cause. Unclear counts the refused
// requests that ran or may have run.
type Row struct {
	Customer string                       `json:"customer"`
	Route    string                       `json:"route"`
	Ran      int64                        `json:"ran"`
	Unclear  int64                        `json:"unclear"`
	Refused  map[lacewingramp.Cause]int64 `json:"refused,omitempty"`
	P50      lacewingramp.Duration        `json:"p50"`
	P99      lacewingramp.Duration        `json:"p99"`
}

// Count records a completed request. cause is CauseNone if it was not refused. Durations
// above one hour are recorded as one hour.
func (t *Tally) Count(customer, route string, verdict lacewingramp.Verdict, cause lacewingramp.Cause, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(rowKey{customer: customer, route: route})
	switch {
	case cause == lacewingramp.CauseNone:
		r.ran++
		_ = r.duration.RecordValue(min(int64(took)/microsecond, maxMicroseconds))
	case verdict == lacewingramp.NotRun:
		r.refused[cause]++
	default:
		r.unclear++
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
			duration: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		}
		t.rows[k] = r
	}
	return r
}

// Rows returns the counts, sorted by customer and route.
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
			Customer: k.customer, Route: k.route, Ran: r.ran, Unclear: r.unclear, Refused: refused,
			P50: fromMicroseconds(r.duration.ValueAtQuantile(p50)), P99: fromMicroseconds(r.duration.ValueAtQuantile(p99)),
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

func fromMicroseconds(v int64) lacewingramp.Duration {
	return lacewingramp.Duration(v * microsecond)
}
