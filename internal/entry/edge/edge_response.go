package edge

import (
	"math/rand/v2"
	"net/http"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

const (
	// retryLeast and retrySpread place the return of callers that found all
	// targets full: as slots get free, and not all at once.
	retryLeast  = 150 * time.Millisecond
	retrySpread = 350 * time.Millisecond
)

// fullRetry is when a caller that found all targets full may come back.
func fullRetry() time.Duration {
	return retryLeast + rand.N(retrySpread)
}

// own makes an answer of this instance.
func (e *Edge) own(j *job, status int) *message.Answer {
	a := &message.Answer{Status: status, Header: make(http.Header, 1)}
	e.Wire.Echo(a.Header, j.call.ID)
	return a
}

// refuse answers a request that has not run and never will, and says when its
// caller may come back.
func (e *Edge) refuse(j *job, status int, cause lacewingramp.Cause, after time.Duration, detail string) *message.Answer {
	a := e.own(j, status)
	e.Wire.Retry(a.Header, after)
	e.logEnd(j, status, cause, lacewingramp.NotRun, detail, after)
	return a
}

// reject answers a request that no repeat can help.
func (e *Edge) reject(j *job, status int, cause lacewingramp.Cause, detail string) *message.Answer {
	e.logEnd(j, status, cause, lacewingramp.NotRun, detail, 0)
	return e.own(j, status)
}

// fail answers a request that may have run.
func (e *Edge) fail(j *job, status int, cause lacewingramp.Cause, detail string) *message.Answer {
	e.logEnd(j, status, cause, lacewingramp.MayHaveRun, detail, 0)
	return e.own(j, status)
}

func (e *Edge) logEnd(j *job, status int, cause lacewingramp.Cause, verdict lacewingramp.Verdict, detail string, after time.Duration) {
	now := e.Timer.Now()
	took := now.Sub(j.begun)
	e.Meter.Request(status, cause, took)
	if !e.lines.Allow(now, cause.String()) {
		return
	}
	l := e.Log.Info().Str("id", j.call.ID).Int("status", status).Str("cause", cause.String()).
		Str("verdict", verdict.String()).Str("detail", detail).Int64("table", j.table).Dur("took", took)
	if j.route != nil {
		l = l.Str("route", j.route.Name).Str("service", j.service).Str("customer", j.customerName()).
			Strs("tried", j.tried).Int("sent", j.sent)
	}
	if after > 0 {
		l = l.Dur("after", after)
	}
	l.Msg("request ended without a target's answer")
}

// sampleOne is one in how many answers of targets is logged where all went
// well.
const sampleOne = 64

// logAnswer logs a target's answer, if it came late or after a repeat, or is in
// the sample.
func (e *Edge) logAnswer(j *job, a *message.Answer, took time.Duration) {
	late := j.route.Objective > 0 && took > time.Duration(j.route.Objective)
	kind := "answered"
	switch {
	case j.sent > 1 || j.unreachable > 0:
		kind = "repeated"
	case late:
		kind = "late"
	case j.print%sampleOne != 0:
		return
	}
	if !e.lines.Allow(j.begun, kind) {
		return
	}
	e.Log.Info().Str("id", j.call.ID).Int("status", a.Status).Str("kind", kind).Int64("table", j.table).
		Dur("took", took).Str("route", j.route.Name).Str("service", j.service).Str("customer", j.customerName()).
		Strs("tried", j.tried).Int("rank", j.rank).Int("sent", j.sent).Msg("request answered by a target")
}

// logOmitted tells how many lines have been left out.
func (e *Edge) logOmitted() {
	for kind, n := range e.lines.Omitted() {
		e.Log.Info().Str("kind", kind).Int("omitted", n).Msg("left out log lines")
	}
}
