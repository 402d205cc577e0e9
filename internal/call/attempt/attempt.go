// Package attempt carries one request to one target and brings the whole
// answer back, or a verdict on what became of it.
//
// An idempotent request may use a pooled connection. Any other one gets a
// connection of its own, because an open connection can have gone silent and
// a request lost on it may have run.
//
// # Usage
//
//	var caller attempt.Caller
//	answer, outcome, err := caller.Do(ctx, target, carry, idempotent)
package attempt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// Headers that are exchanged with targets.
const (
	// HeaderRequest carries the request's id. A target that echoes another
	// one has crossed two answers.
	HeaderRequest = "Lacewingramp-Request"
	// HeaderCustomer names the customer whose key came with the request.
	HeaderCustomer = "Lacewingramp-Customer"
	// HeaderDeadline is the time left for the answer in milliseconds.
	HeaderDeadline = "Lacewingramp-Deadline"
	// HeaderShed is set by a target that refused a request before it ran.
	HeaderShed = "Lacewingramp-Shed"
	// HeaderLeaving is set by a target that wants no new requests.
	HeaderLeaving = "Lacewingramp-Leaving"
)

// MaxAnswerBytes is the largest answer of a target.
const MaxAnswerBytes = 8 << 20

const (
	dialTimeout  = time.Second
	idleTimeout  = 2 * time.Second
	idlePerHost  = 64
	maxHeaderLen = 64 << 10
)

// Caller sends requests to targets. Its zero value is ready and safe for use
// by many goroutines.
type Caller struct {
	once   sync.Once
	pooled *http.Transport
	single *http.Transport
}

func (c *Caller) setup() {
	c.once.Do(func() {
		c.pooled = newTransport()
		c.single = newTransport()
		c.single.DisableKeepAlives = true
	})
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    idlePerHost,
		MaxResponseHeaderBytes: maxHeaderLen,
		DisableCompression:     true,
	}
}

// Result is what came of an attempt.
type Result struct {
	Answer  *lacewingramp.Answer
	Outcome slot.Outcome
	Leaving bool
}

// Do sends a request to a target and reads the whole answer. Its error is a
// *lacewingramp.Refusal whose verdict says whether the target may have run
// the request.
func (c *Caller) Do(ctx context.Context, t lacewingramp.Target, r *lacewingramp.Carry, idempotent bool) (Result, error) {
	c.setup()
	var wrote atomic.Bool
	req, err := newRequest(ctx, t, r, &wrote)
	if err != nil {
		return Result{Outcome: slot.OutcomeCut}, lacewingramp.NewRefusal(lacewingramp.CauseRoute, err.Error())
	}
	transport := c.single
	if idempotent {
		transport = c.pooled
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return failed(ctx, err, wrote.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	return read(ctx, resp, t, r)
}

func newRequest(ctx context.Context, t lacewingramp.Target, r *lacewingramp.Carry, wrote *atomic.Bool) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+t.Address+r.URI, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequest, r.ID)
	if r.Customer != "" {
		req.Header.Set(HeaderCustomer, r.Customer)
	}
	if end, ok := ctx.Deadline(); ok {
		left := time.Until(end).Milliseconds()
		req.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return req, nil
}

// failed turns a transport error into a verdict.
func failed(ctx context.Context, err error, wrote bool) (Result, error) {
	r := &lacewingramp.Refusal{Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CauseTarget, Detail: reason(err)}
	if !wrote {
		r.Verdict = lacewingramp.NotRun
	}
	if ctx.Err() != nil {
		r.Cause = lacewingramp.CauseDeadline
		if errors.Is(ctx.Err(), context.Canceled) {
			return Result{Outcome: slot.OutcomeCut}, r
		}
		return Result{Outcome: slot.OutcomeFailed}, r
	}
	if wrote && died(err) {
		return Result{Outcome: slot.OutcomeDied}, r
	}
	if !wrote {
		return Result{Outcome: slot.OutcomeRefused}, r
	}
	return Result{Outcome: slot.OutcomeFailed}, r
}

func died(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// reason is an error's text without the address that it may hold.
func reason(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}

func read(ctx context.Context, resp *http.Response, t lacewingramp.Target, r *lacewingramp.Carry) (Result, error) {
	result := Result{Outcome: slot.OutcomeAnswered, Leaving: resp.Header.Get(HeaderLeaving) != ""}
	if resp.Header.Get(HeaderShed) != "" {
		result.Outcome = slot.OutcomeShed
		return result, lacewingramp.NewRefusal(lacewingramp.CauseTarget, "shed by the target")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return failed(ctx, err, true)
	}
	if echo := resp.Header.Get(HeaderRequest); echo != "" && echo != r.ID {
		result.Outcome = slot.OutcomeFailed
		return result, maybe(lacewingramp.CauseTarget, "the answer belongs to another request")
	}
	if len(body) > MaxAnswerBytes {
		result.Outcome = slot.OutcomeFailed
		return result, maybe(lacewingramp.CauseSize, "the answer is too large")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		result.Outcome = slot.OutcomeFailed
	}
	result.Answer = &lacewingramp.Answer{
		ID: r.ID, Status: resp.StatusCode, Header: resp.Header, Body: body, Target: t.Name,
	}
	return result, nil
}

func maybe(cause lacewingramp.Cause, detail string) *lacewingramp.Refusal {
	return &lacewingramp.Refusal{Verdict: lacewingramp.MayHaveRun, Cause: cause, Detail: detail}
}

// Close ends the idle connections.
func (c *Caller) Close() {
	c.setup()
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}
