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
func fullRetry(*job) time.Duration {
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
	took := e.Timer.Now().Sub(j.begun)
	e.Meter.Request(status, cause, took)
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
