// Package exchange sends one request to one target and returns the complete
// response, or a verdict on whether the target may have run the request.
//
// Connections are kept open for further requests. An idle connection is reused
// only within the target's idle timeout, and only if it holds no unread bytes,
// which would belong to no request. A request that is not idempotent needs a new
// connection or one that delivered a response recently: an open connection can
// be dead without notice, and such a request could not be retried after being lost
// on it.
//
// # Usage
//
//	c := exchange.Client{HeaderCodec: codec}
//	result := c.Do(ctx, exchange.TargetRequest{Address: address, Request: request, Header: header})
//	if result.Verdict == lacewingramp.NotRun {
//		// The request may be sent to another target.
//	}
package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// Limits of connections to targets.
const (
	dialTimeout = time.Second
	// defaultMaxIdle is how long an idle connection is kept if the target does
	// not advertise an idle timeout. advertisedMaxIdle is the maximum if it does.
	defaultMaxIdle    = 4 * time.Second
	advertisedMaxIdle = 9 * time.Second
	// idleMargin is subtracted from an advertised idle timeout, so that a request
	// is not sent while the target is closing the connection.
	idleMargin = time.Second
	// nonIdempotentMaxIdle is how long after its last response a connection may
	// carry a request that is not idempotent.
	nonIdempotentMaxIdle = 2 * time.Second
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 4
	// maxSkipped is the maximum number of responses to earlier requests that are
	// skipped for one request. Their bodies together may be as large as the largest
	// response.
	maxSkipped = 8

	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// keepAlive detects connections that die while a request is in flight.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// TargetRequest is one request for one target. Header replaces the request's own
// header. ID is the request's ID; a response with another one is ignored.
// NonIdempotent says that the request is not idempotent. Allowed, if not nil, is
// called after a connection had to be opened, which can take a second. If it
// reports false, the target may no longer get the request and nothing is sent.
type TargetRequest struct {
	Address string
	// NewConnection asks for a new connection, even if there is an idle one.
	NewConnection bool
	Request       *message.Request
	Header        http.Header
	ID            string
	NonIdempotent bool
	Allowed       func() bool
	// Prove, if not nil, is a request that has no effect. It is sent first on a connection
	// that is new, or that has been idle for too long to carry the request, and the request
	// is only written once the target has responded to it. A target that is over its limit
	// of connections resets new ones, which would leave in doubt whether the request ran.
	Prove *message.Request
	// DetectRefusals asks for two more signs that the target has not begun the request: that
	// it has already closed a new connection, and the head of a refusal whose body is lost.
	DetectRefusals bool
	// AllowMissingID says that a response without an ID is one to the request, also if
	// earlier responses on the connection had IDs.
	AllowMissingID bool
}

// Result is the outcome of a TargetRequest. Response is nil if no complete response
// was received, and Err says why. It has to be released. ResponseHeaders are those of the
// response, or of the head of a refusal whose body was lost with the connection.
// ConnectionBroken says that the target closed or reset the connection while the request was
// in flight, ConnectionLost that the
// target, or the way to it, was silent until the connection failed, Unreachable that no
// connection could be opened, NotAllowed that Allowed reported false,
// ConnectionOpened that a connection was opened for the request, and ConnectionRefused that
// the target closed it, or did not respond to Prove, before the request was written.
type Result struct {
	Response         *message.Response
	ResponseHeaders  lacewingramp.ResponseHeaders
	Verdict          lacewingramp.Verdict
	Err              error
	ConnectionBroken bool
	ConnectionLost   bool
	Unreachable      bool
	NotAllowed       bool
	ConnectionOpened bool

	ConnectionRefused bool
	// Connecting is how long it took to open the connection, 0 if it was open before.
	Connecting time.Duration
}

// Responded reports whether the target has responded: with a complete response, or with the head of
// a refusal.
func (r *Result) Responded() bool {
	return r.Response != nil || isRefusal(r.ResponseHeaders)
}

// Client sends requests over a pool of connections to targets. It is safe for
// concurrent use.
type Client struct {
	HeaderCodec lacewingramp.HeaderCodec
	// Budget bounds the memory of the responses that are being read.
	Budget *message.Budget
	// Dialer opens the connections. If it is nil, those of the system are used.
	Dialer lacewingramp.Dialer

	idle idlePool
}

// Do sends the request of a TargetRequest and waits for the response. If ctx is
// cancelled, the connection is closed, which makes the target abort the request.
func (c *Client) Do(ctx context.Context, req TargetRequest) Result {
	startedAt := time.Now()
	conn, opened, err := c.connection(ctx, req)
	connecting := time.Since(startedAt)
	if err != nil {
		// A reset comes from a target that has accepted the connection.
		refused := req.DetectRefusals && errors.Is(err, syscall.ECONNRESET) && ctx.Err() == nil
		return Result{Verdict: lacewingramp.NotRun, Err: err, Unreachable: ctx.Err() == nil && !refused, ConnectionRefused: refused}
	}
	if opened && req.Allowed != nil && !req.Allowed() {
		_ = conn.Close()
		return Result{Verdict: lacewingramp.NotRun, NotAllowed: true, ConnectionOpened: true}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := c.prove(conn, opened, req); err != nil {
		stop()
		_ = conn.Close()
		if !opened && ctx.Err() == nil {
			req.NewConnection = true
			return c.Do(ctx, req)
		}
		return Result{Verdict: lacewingramp.NotRun, Err: errors.Join(err, ctx.Err()), ConnectionOpened: opened, ConnectionRefused: ctx.Err() == nil}
	}
	result := c.exchange(conn, req)
	if result.ConnectionOpened = opened; opened {
		result.Connecting = connecting
	}
	if !stop() {
		_ = conn.Close()
		result.ConnectionBroken, result.ConnectionLost = false, false
		if result.Response == nil {
			result.Err = errors.Join(result.Err, ctx.Err())
		}
		return result
	}
	if result.Response == nil || result.Response.Close || conn.reader.Buffered() > 0 || conn.sentExtra || (conn.refused && req.NonIdempotent) {
		_ = conn.Close()
		return result
	}
	conn.lastUsed = time.Now()
	conn.maxIdle = maxIdleTime(result.Response.Header)
	c.idle.put(req.Address, conn)
	return result
}

func (c *Client) connection(ctx context.Context, req TargetRequest) (*connection, bool, error) {
	if !req.NewConnection {
		if conn := c.idle.get(req.Address, req.NonIdempotent); conn != nil {
			return conn, false, nil
		}
		if conn := c.idle.getToProve(req); conn != nil {
			return conn, false, nil
		}
	}
	raw, err := c.Dial(ctx, req.Address)
	if err != nil {
		return nil, true, err
	}
	conn := &message.Conn{Conn: raw}
	reader := message.NewReader(conn)
	reader.Budget = c.Budget
	return &connection{Conn: conn, reader: reader}, true, nil
}

// Dial opens a connection to an address.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d lacewingramp.Dialer = &net.Dialer{KeepAliveConfig: keepAlive}
	if c.Dialer != nil {
		d = c.Dialer
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return d.DialContext(ctx, "tcp4", address)
}

// exchange sends the request and reads the response with the request's ID. Responses to
// earlier requests are skipped, within limits.
func (c *Client) exchange(conn *connection, req TargetRequest) Result {
	result := Result{Verdict: lacewingramp.MayHaveRun}
	n, err := conn.write(req)
	if err != nil && n == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		result.Verdict = lacewingramp.NotRun
	}
	writeErr := err
	skippedBytes := 0
	for range maxSkipped + 1 {
		resp, err := conn.reader.Response(req.Request.Method)
		if err != nil {
			result.Err = err
			if !errors.Is(err, writeErr) {
				result.Err = errors.Join(writeErr, err)
			}
			if headers, ok := c.refusedUntilClose(conn, req, resp); ok {
				result.Verdict, result.ResponseHeaders = lacewingramp.NotRun, headers
				return result
			}
			if req.DetectRefusals && c.refusedInHead(resp, req.ID) {
				result.Verdict = lacewingramp.NotRun
			}
			result.ConnectionLost = isLost(err)
			result.ConnectionBroken = !result.ConnectionLost && brokenByTarget(err)
			return result
		}
		headers := c.HeaderCodec.ResponseHeaders(resp.Status, resp.Header)
		if conn.lacksID(req, headers) {
			resp.Release()
			result.Err = errors.New("the target sent a response without an ID")
			return result
		}
		conn.record(headers)
		if headers.ID != "" && headers.ID != req.ID {
			resp.Release()
			conn.sentExtra = true
			if resp.Close {
				result.Err = errors.New("the target closed the connection after a response to another request")
				return result
			}
			if skippedBytes += len(resp.Body); skippedBytes > message.MaxResponseBody {
				break
			}
			continue
		}
		resp.Close = resp.Close || writeErr != nil
		return withResponse(result, resp, headers)
	}
	result.Err = errors.New("the target sent too many responses to other requests")
	return result
}

// maxCopiedBody is the maximum size of a body that is sent in one piece with its head, in
// bytes.
const maxCopiedBody = 32 << 10

// write writes a request and returns the number of bytes written. It does not copy a large
// body, which would take its memory twice.
func (c *connection) write(req TargetRequest) (int, error) {
	if len(req.Request.Body) <= maxCopiedBody {
		return c.Write(message.AppendRequest(nil, req.Request, req.Header))
	}
	n, err := c.Write(message.AppendRequestHead(nil, req.Request, req.Header))
	if err != nil {
		return n, err
	}
	m, err := c.Write(req.Request.Body)
	return n + m, err
}

func withResponse(result Result, resp *message.Response, headers lacewingramp.ResponseHeaders) Result {
	result.Response, result.ResponseHeaders, result.Verdict = resp, headers, lacewingramp.Ran
	if isRefusal(headers) {
		result.Verdict = lacewingramp.NotRun
	}
	return result
}

// isLost reports whether a read error means that the target did not respond to keep-alive
// probes, or that there is no way to it.
func isLost(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// brokenByTarget reports whether a read error means that the target closed or
// reset the connection.
func brokenByTarget(err error) bool {
	var formatErr *message.FormatError
	if errors.As(err, &formatErr) || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return true
}

// maxIdleTime returns how long a connection may stay idle, according to the
// timeout in the Keep-Alive header of a response.
func maxIdleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return min(advertisedMaxIdle, max(0, time.Duration(n)*time.Second-idleMargin))
		}
	}
	return defaultMaxIdle
}
