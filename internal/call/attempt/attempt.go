// Package attempt sends one request to one target and returns the complete
// response, or a verdict that says whether the target may have run the request.
//
// An idempotent request may use a pooled connection. Any other request gets a new
// connection: the target may have closed a pooled one, and a request that is lost
// that way counts as one that may have run, which must not be retried.
//
// # Usage
//
//	var c attempt.Caller
//	result, err := c.Do(ctx, target, request, idempotent)
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
	"syscall"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// Headers that are exchanged with targets.
const (
	// HeaderRequest contains the request's ID. A target that sends it back with
	// another ID has mixed up the responses to two requests.
	HeaderRequest = "Lacewingramp-Request"
	// HeaderCustomer names the customer whose key authorized the request.
	HeaderCustomer = "Lacewingramp-Customer"
	// HeaderDeadline is the time until the deadline in milliseconds.
	HeaderDeadline = "Lacewingramp-Deadline"
	// HeaderShed is set by a target that rejects a request without running it.
	HeaderShed = "Lacewingramp-Shed"
	// HeaderLeaving is set by a target that is about to stop and should get no new
	// requests.
	HeaderLeaving = "Lacewingramp-Leaving"
)

// MaxResponseBytes is the maximum size of the body of a target's response.
const MaxResponseBytes = 8 << 20

const (
	dialTimeout  = time.Second
	idleTimeout  = 2 * time.Second
	idlePerHost  = 64
	maxHeaderLen = 64 << 10
)

// Caller sends requests to targets. Its zero value is ready for use. It is safe
// for concurrent use.
type Caller struct {
	// Budget bounds the memory of the responses that are being read, nil for no bound.
	Budget *message.Budget

	once     sync.Once
	pooled   *http.Transport
	unpooled *http.Transport
}

func (c *Caller) setup() {
	c.once.Do(func() {
		c.pooled = newTransport()
		c.unpooled = newTransport()
		c.unpooled.DisableKeepAlives = true
	})
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    idlePerHost,
		MaxResponseHeaderBytes: maxHeaderLen,
		DisableCompression:     true,
	}
}

// Result is the result of an attempt. Response is nil if Do returns an error.
// Leaving is set if the target reports that it should get no new requests.
type Result struct {
	Response *lacewingramp.Response
	Outcome  slot.Outcome
	Leaving  bool
}

// Do sends a request to a target and reads the complete response. Its error is
// a *lacewingramp.Refusal whose verdict says whether the target may have run the
// request.
func (c *Caller) Do(ctx context.Context, t lacewingramp.Target, r *lacewingramp.ForwardRequest, idempotent bool) (Result, error) {
	c.setup()
	var trace requestTrace
	req, err := newRequest(ctx, t, r, &trace)
	if err != nil {
		return Result{Outcome: slot.OutcomeAborted}, lacewingramp.NewRefusal(lacewingramp.CauseRoute, err.Error())
	}
	transport := c.unpooled
	if idempotent {
		transport = c.pooled
	}
	defer trace.release()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return transportFailure(ctx, err, trace.wrote.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkHead(resp); err != nil {
		trace.closeConnection()
		return Result{Outcome: slot.OutcomeFailed}, mayHaveRun(lacewingramp.CauseTarget, err.Error())
	}
	return c.readResponse(ctx, resp, t, r)
}

var errNoFinalStatus = errors.New("the answer has no final status")

// checkHead returns an error if nothing of a response may be used.
func checkHead(resp *http.Response) error {
	if !message.IsFinalStatus(resp.StatusCode) {
		return errNoFinalStatus
	}
	return message.CheckFields(resp.Header)
}

func newRequest(ctx context.Context, t lacewingramp.Target, r *lacewingramp.ForwardRequest, trace *requestTrace) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, trace.hooks())
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
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline).Milliseconds()
		req.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	return req, nil
}

// transportFailure returns the outcome and the refusal for a transport error. A
// request whose headers were not written has certainly not run.
func transportFailure(ctx context.Context, err error, wrote bool) (Result, error) {
	r := &lacewingramp.Refusal{Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CauseTarget, Detail: errorText(err)}
	if !wrote {
		r.Verdict = lacewingramp.NotRun
	}
	if ctx.Err() != nil {
		r.Cause = lacewingramp.CauseDeadline
		if errors.Is(ctx.Err(), context.Canceled) {
			return Result{Outcome: slot.OutcomeAborted}, r
		}
		return Result{Outcome: slot.OutcomeFailed}, r
	}
	if wrote && connectionLost(err) {
		return Result{Outcome: slot.OutcomeConnectionLost}, r
	}
	if !wrote {
		return Result{Outcome: slot.OutcomeRefused}, r
	}
	return Result{Outcome: slot.OutcomeFailed}, r
}

func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// errorText returns the text of an error without the network addresses that a
// *net.OpError adds.
func errorText(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}

func (c *Caller) readResponse(ctx context.Context, resp *http.Response, t lacewingramp.Target, r *lacewingramp.ForwardRequest) (Result, error) {
	result := Result{Outcome: slot.OutcomeResponded, Leaving: resp.Header.Get(HeaderLeaving) != ""}
	if resp.Header.Get(HeaderShed) != "" {
		result.Outcome = slot.OutcomeShed
		return result, lacewingramp.NewRefusal(lacewingramp.CauseTarget, "shed by the target")
	}
	body, err := c.readBody(resp)
	var formatErr *message.FormatError
	if errors.As(err, &formatErr) {
		result.Outcome = slot.OutcomeFailed
		return result, mayHaveRun(lacewingramp.CauseSize, formatErr.Detail)
	}
	if err != nil {
		return transportFailure(ctx, err, true)
	}
	if responseID := resp.Header.Get(HeaderRequest); responseID != "" && responseID != r.ID {
		result.Outcome = slot.OutcomeFailed
		return result, mayHaveRun(lacewingramp.CauseTarget, "the answer belongs to another request")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		result.Outcome = slot.OutcomeFailed
	}
	result.Response = &lacewingramp.Response{
		ID: r.ID, Status: resp.StatusCode, Header: resp.Header, Body: body, Target: t.Name,
	}
	return result, nil
}

func (c *Caller) readBody(resp *http.Response) ([]byte, error) {
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		// A response to a HEAD request states the length of another one.
		length = 0
	}
	return c.Budget.ReadAll(resp.Body, length, MaxResponseBytes)
}

func mayHaveRun(cause lacewingramp.Cause, detail string) *lacewingramp.Refusal {
	return &lacewingramp.Refusal{Verdict: lacewingramp.MayHaveRun, Cause: cause, Detail: detail}
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.setup()
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}
