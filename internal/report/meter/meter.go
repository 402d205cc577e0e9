// Package meter counts what an instance does, and shows it as text in the
// format that Prometheus reads. docs/METRICS.md lists every metric.
//
// # Usage
//
//	m := meter.New()
//	m.Request(200, lacewingramp.CauseNone, took)
//	http.Handle("/metrics", m)
package meter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lacewingramp.example/lacewingramp"
)

// Meter holds the metrics of one instance.
type Meter struct {
	set      *metrics.Set
	requests *metrics.Histogram
	dialled  *metrics.Counter
	dropped  *metrics.Counter
}

// New returns a Meter with everything at 0.
func New() *Meter {
	s := metrics.NewSet()
	return &Meter{
		set:      s,
		requests: s.NewHistogram("lacewingramp_request_seconds"),
		dialled:  s.NewCounter("lacewingramp_target_connections_total"),
		dropped:  s.NewCounter("lacewingramp_log_lines_dropped_total"),
	}
}

// Request counts a request that has been answered.
func (m *Meter) Request(status int, cause lacewingramp.Cause, took time.Duration) {
	m.requests.Update(took.Seconds())
	m.set.GetOrCreateCounter(`lacewingramp_requests_total{status="` + strconv.Itoa(status) + `",cause="` + cause.String() + `"}`).Inc()
}

// Attempt counts a request that was sent to a target.
func (m *Meter) Attempt(verdict lacewingramp.Verdict, took time.Duration) {
	m.set.GetOrCreateHistogram(`lacewingramp_attempt_seconds{verdict="` + verdict.String() + `"}`).Update(took.Seconds())
}

// Dialled counts a new connection to a target.
func (m *Meter) Dialled() {
	m.dialled.Inc()
}

// Drawn counts a request for a token of a customer's pool.
func (m *Meter) Drawn(ok bool) {
	m.set.GetOrCreateCounter(`lacewingramp_pool_draws_total{ok="` + strconv.FormatBool(ok) + `"}`).Inc()
}

// Dropped counts log lines that found no room.
func (m *Meter) Dropped(n int) {
	m.dropped.Add(n)
}

// StoreCall counts a call of the store.
func (m *Meter) StoreCall(call string, took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateHistogram(`lacewingramp_store_call_seconds{call="` + call + `",result="` + result + `"}`).Update(took.Seconds())
}

// ServeHTTP writes all metrics.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
