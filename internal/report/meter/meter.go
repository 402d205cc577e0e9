// Package meter holds the metrics of an instance and serves them in the
// Prometheus text format. docs/METRICS.md lists every metric.
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

// Meter holds the metrics of one instance. It is safe for concurrent use.
type Meter struct {
	set          *metrics.Set
	requests     *metrics.Histogram
	connections  *metrics.Counter
	droppedLines *metrics.Counter
	unconfirmed  *metrics.Gauge
	loadError    *metrics.Gauge
}

// New returns a Meter with all metrics at zero.
func New() *Meter {
	s := metrics.NewSet()
	return &Meter{
		set:          s,
		requests:     s.NewHistogram("lacewingramp_request_seconds"),
		connections:  s.NewCounter("lacewingramp_target_connections_total"),
		droppedLines: s.NewCounter("lacewingramp_log_lines_dropped_total"),
		unconfirmed:  s.NewGauge("lacewingramp_store_unconfirmed_seconds", nil),
		loadError:    s.NewGauge("lacewingramp_target_estimate_error_requests", nil),
	}
}

// Request records a response to a caller, the cause if it was refused, and the time
// since the request was received.
func (m *Meter) Request(status int, cause lacewingramp.Cause, took time.Duration) {
	m.requests.Update(took.Seconds())
	m.set.GetOrCreateCounter(`lacewingramp_requests_total{status="` + strconv.Itoa(status) + `",cause="` + cause.String() + `"}`).Inc()
}

// Attempt records one attempt to run a request on a target and its duration.
func (m *Meter) Attempt(verdict lacewingramp.Verdict, took time.Duration) {
	m.set.GetOrCreateHistogram(`lacewingramp_attempt_seconds{verdict="` + verdict.String() + `"}`).Update(took.Seconds())
}

// Sent counts a request that is sent to a target in a region, and why that one was chosen.
func (m *Meter) Sent(region, reason string) {
	m.set.GetOrCreateCounter(`lacewingramp_sent_requests_total{region="` + region + `",reason="` + reason + `"}`).Inc()
}

// Running records the number of this instance's requests at the targets of a region.
func (m *Meter) Running(region string, requests int) {
	m.set.GetOrCreateGauge(`lacewingramp_running_requests{region="`+region+`"}`, nil).Set(float64(requests))
}

// SentTo counts an attempt that has ended at a target in a region, if it was sent on a new
// connection, and if the target did not run it.
func (m *Meter) SentTo(region string, opened, refused bool) {
	if opened {
		m.set.GetOrCreateCounter(`lacewingramp_region_connections_total{region="` + region + `"}`).Inc()
	}
	if refused {
		m.set.GetOrCreateCounter(`lacewingramp_region_refusals_total{region="` + region + `"}`).Inc()
	}
}

// UnderWay records how many requests were on their way to the targets of a region at a time.
func (m *Meter) UnderWay(region string, requests float64) {
	m.set.GetOrCreateGauge(`lacewingramp_underway_requests{region="`+region+`"}`, nil).Set(requests)
}

// Away records how many callers that this instance has refused were away at a time.
func (m *Meter) Away(callers float64) {
	m.set.GetOrCreateGauge("lacewingramp_away_callers", nil).Set(callers)
}

// ConnectionOpened counts a new connection to a target.
func (m *Meter) ConnectionOpened() {
	m.connections.Inc()
}

// TokenReply counts a token request to the keeper of a customer's pool. granted reports
// whether the reply granted the token, and is false if there was no reply in time.
func (m *Meter) TokenReply(granted bool) {
	m.set.GetOrCreateCounter(`lacewingramp_pool_draws_total{ok="` + strconv.FormatBool(granted) + `"}`).Inc()
}

// Relayed counts a request that was relayed to a peer.
func (m *Meter) Relayed(outcome lacewingramp.RelayOutcome) {
	m.set.GetOrCreateCounter(`lacewingramp_relayed_requests_total{outcome="` + outcome.String() + `"}`).Inc()
}

// TargetToken counts a request for a token of a target's limited rate.
func (m *Meter) TargetToken(outcome lacewingramp.TokenOutcome) {
	m.set.GetOrCreateCounter(`lacewingramp_target_tokens_total{outcome="` + outcome.String() + `"}`).Inc()
}

// TargetLeaving counts a target of which this instance learned that it is leaving, and
// whether a peer told it.
func (m *Meter) TargetLeaving(byPeer bool) {
	source := "target"
	if byPeer {
		source = "peer"
	}
	m.set.GetOrCreateCounter(`lacewingramp_leaving_targets_total{source="` + source + `"}`).Inc()
}

// TargetPause counts a refusal of a target that asks for a pause.
func (m *Meter) TargetPause() {
	m.set.GetOrCreateCounter("lacewingramp_target_pauses_total").Inc()
}

// StoreCheck counts a check of the store by an instance that follows a peer, and whether
// the store answered.
func (m *Meter) StoreCheck(answered bool) {
	m.set.GetOrCreateCounter(`lacewingramp_store_checks_total{ok="` + strconv.FormatBool(answered) + `"}`).Inc()
}

// AdmissionWait records that a request of a priority class ended its wait for room at a target,
// and whether it got any.
func (m *Meter) AdmissionWait(class int, gotRoom bool, took time.Duration) {
	m.set.GetOrCreateHistogram(`lacewingramp_admission_wait_seconds{class="` + strconv.Itoa(class) + `",room="` + strconv.FormatBool(gotRoom) + `"}`).Update(took.Seconds())
}

// AdmissionQueue records the number of requests of a priority class that wait for room.
func (m *Meter) AdmissionQueue(class, waiting int) {
	m.set.GetOrCreateGauge(`lacewingramp_admission_queue{class="`+strconv.Itoa(class)+`"}`, nil).Set(float64(waiting))
}

// Unconfirmed records how long ago the instance's copy of the store's keys was last known
// to be complete.
func (m *Meter) Unconfirmed(age time.Duration) {
	m.unconfirmed.Set(age.Seconds())
}

// EstimateError records by how many requests the estimate of the requests at a target differs from
// a new report of that target, on the average.
func (m *Meter) EstimateError(requests float64) {
	m.loadError.Set(requests)
}

// UsageReport counts a usage window that was sent, sent late or given up.
func (m *Meter) UsageReport(outcome string) {
	m.set.GetOrCreateCounter(`lacewingramp_usage_windows_total{outcome="` + outcome + `"}`).Inc()
}

// UsageLeaseAge records how long ago the lease of the duty of usage reports was renewed, 0 at all
// instances but the holder.
func (m *Meter) UsageLeaseAge(age time.Duration) {
	m.set.GetOrCreateGauge("lacewingramp_usage_lease_age_seconds", nil).Set(age.Seconds())
}

// LogLinesDropped counts log lines that were lost because the log buffer was full.
func (m *Meter) LogLinesDropped(n int) {
	m.droppedLines.Add(n)
}

// StoreCall records a call to the store, its duration and whether it failed.
func (m *Meter) StoreCall(call string, took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateHistogram(`lacewingramp_store_call_seconds{call="` + call + `",result="` + result + `"}`).Update(took.Seconds())
}

// ServeHTTP writes these metrics and those of the process.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
