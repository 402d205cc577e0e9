package edge

import (
	"net/http"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// newResponse returns a response of this instance itself. If another instance has relayed
// the request, the response tells it the outcome.
func (e *Edge) newResponse(j *job, status int, outcome lacewingramp.RelayOutcome) *message.Response {
	resp := &message.Response{Status: status, Header: make(http.Header, 1)}
	e.HeaderCodec.SetRequestID(resp.Header, j.headers.ID)
	j.setRelayOutcome(resp, outcome)
	return resp
}

// refuse returns the response to a request that has not run and will not run. The
// caller may retry after the given delay.
func (e *Edge) refuse(j *job, status int, cause lacewingramp.Cause, after time.Duration, detail string) *message.Response {
	resp := e.newResponse(j, status, lacewingramp.RelayNotRun)
	e.HeaderCodec.SetRetryAfter(resp.Header, after)
	e.regions.refuse(after)
	e.recordOwnResponse(j, status, cause, lacewingramp.NotRun, detail, after)
	return resp
}

// reject returns the response to a request that has not run and whose retry would not
// help.
func (e *Edge) reject(j *job, status int, cause lacewingramp.Cause, detail string) *message.Response {
	e.recordOwnResponse(j, status, cause, lacewingramp.NotRun, detail, 0)
	return e.newResponse(j, status, lacewingramp.RelayNotRun)
}

// fail returns the response to a request that may have run.
func (e *Edge) fail(j *job, status int, cause lacewingramp.Cause, detail string) *message.Response {
	e.recordOwnResponse(j, status, cause, lacewingramp.MayHaveRun, detail, 0)
	return e.newResponse(j, status, lacewingramp.RelayMayHaveRun)
}

func (e *Edge) recordOwnResponse(j *job, status int, cause lacewingramp.Cause, verdict lacewingramp.Verdict, detail string, after time.Duration) {
	now := e.Timer.Now()
	took := now.Sub(j.receivedAt)
	e.Meter.Request(status, cause, took)
	if !e.loglimit.Allow(now, cause.String()) {
		return
	}
	l := e.Log.Info().Str("id", j.headers.ID).Int("status", status).Str("cause", cause.String()).
		Str("verdict", verdict.String()).Str("detail", detail).Int64("table", j.tableRevision).Dur("took", took)
	if j.route != nil {
		l = l.Str("route", j.route.Name).Str("service", j.service).Str("customer", j.customerName()).
			Strs("tried", j.tried).Int("sent", j.attempts)
	}
	if after > 0 {
		l = l.Dur("after", after)
	}
	if j.room.reported {
		l = j.room.log(l)
	}
	l.Msg("request ended without a target's answer")
}

// sampleInterval sets the size of the sample of targets' responses that is logged: the
// responses to about one in sampleInterval request fingerprints.
const sampleInterval = 64

// logTargetResponse logs the response of a target if it exceeded the latency objective
// of its route, if another target was tried before, or if it is in the sample.
func (e *Edge) logTargetResponse(j *job, resp *message.Response, took time.Duration) {
	late := j.route.LatencyObjective > 0 && took > time.Duration(j.route.LatencyObjective)
	kind := "answered"
	switch {
	case j.attempts > 1 || j.failedConnects > 0:
		kind = "repeated"
	case late:
		kind = "late"
	case j.fingerprint%sampleInterval != 0:
		return
	}
	if !e.loglimit.Allow(j.receivedAt, kind) {
		return
	}
	e.Log.Info().Str("id", j.headers.ID).Int("status", resp.Status).Str("kind", kind).Int64("table", j.tableRevision).
		Dur("took", took).Str("route", j.route.Name).Str("service", j.service).Str("customer", j.customerName()).
		Strs("tried", j.tried).Int("rank", j.rank).Int("sent", j.attempts).Msg("request answered by a target")
}

// logOmitted logs the number of omitted log lines per kind.
func (e *Edge) logOmitted() {
	for kind, n := range e.loglimit.Omitted() {
		e.Log.Info().Str("kind", kind).Int("omitted", n).Msg("left out log lines")
	}
}
