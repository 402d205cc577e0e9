// Package exchange sends one request to one target and brings back the whole
// answer, or a verdict on what became of the request.
//
// Connections are kept open for the next request. One that has been idle is
// used again only while the target surely keeps it, and not if it holds bytes
// that belong to no request. A request that must not run twice goes on a
// connection that has answered lately, because an open connection can have
// gone silent.
//
// # Usage
//
//	var c exchange.Client
//	result := c.Do(ctx, exchange.Order{Address: address, Request: request, Header: header})
//	if result.Verdict == lacewingramp.NotRun {
//		// Another target may be asked.
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

// Times of connections to targets.
const (
	dialTimeout = time.Second
	// idleMost is how long a connection of a target that does not tell its
	// idle timeout is kept, and toldMost that of one that does.
	idleMost = 4 * time.Second
	toldMost = 9 * time.Second
	// idleMargin is how long before a target's idle timeout its connection is
	// given up, as a request could cross the target's close.
	idleMargin = time.Second
	// freshFor is how long after its last answer a connection may carry a
	// request that must not run twice.
	freshFor = 2 * time.Second
	// idlePerTarget is how many idle connections to one target are kept.
	idlePerTarget = 4

	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// keepAlive finds connections that have gone silent under a request.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Order is one request for one target. Header goes in place of the request's
// own. ID is what the answer must carry. Once says that the request must not
// run twice. Allowed is asked after a connection had to be opened, which can
// take a second, whether the target may still get the request; nil allows it.
type Order struct {
	Address string
	Request *message.Request
	Header  http.Header
	ID      string
	Once    bool
	Allowed func() bool
}

// Result is what became of an Order. Answer is nil where none came whole, and
// Err says why. Died says that the connection broke under the request,
// Unreachable that there was no connection, and Withdrawn that the target was
// not allowed any more when there was one.
type Result struct {
	Answer      *message.Answer
	Sign        lacewingramp.Sign
	Verdict     lacewingramp.Verdict
	Err         error
	Died        bool
	Unreachable bool
	Withdrawn   bool
	Dialled     bool
}

// Client keeps connections to targets. It is safe for use by many goroutines.
type Client struct {
	Wire lacewingramp.Wire

	idle idleSet
}

// Do runs an Order. An end of ctx closes the connection, which makes the
// target drop the request.
func (c *Client) Do(ctx context.Context, o Order) Result {
	k, dialled, err := c.connection(ctx, o)
	if err != nil {
		return Result{Verdict: lacewingramp.NotRun, Err: err, Unreachable: ctx.Err() == nil}
	}
	if dialled && o.Allowed != nil && !o.Allowed() {
		_ = k.Close()
		return Result{Verdict: lacewingramp.NotRun, Withdrawn: true, Dialled: true}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	r := c.exchange(k, o)
	r.Dialled = dialled
	if !stop() {
		_ = k.Close()
		r.Died = false
		if r.Answer == nil {
			r.Err = errors.Join(r.Err, ctx.Err())
		}
		return r
	}
	if r.Answer == nil || r.Answer.Close || k.reader.Buffered() > 0 {
		_ = k.Close()
		return r
	}
	k.used = time.Now()
	k.idleMost = idleTime(r.Answer.Header)
	c.idle.put(o.Address, k)
	return r
}

func (c *Client) connection(ctx context.Context, o Order) (*connection, bool, error) {
	if k := c.idle.take(o.Address, o.Once); k != nil {
		return k, false, nil
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	n, err := d.DialContext(ctx, "tcp4", o.Address)
	if err != nil {
		return nil, true, err
	}
	return &connection{Conn: n, reader: message.NewReader(n)}, true, nil
}

// exchange writes the request and reads the answer that bears its id.
// Answers to earlier requests are passed over.
func (c *Client) exchange(k *connection, o Order) Result {
	r := Result{Verdict: lacewingramp.MayHaveRun}
	n, err := k.Write(message.AppendRequest(nil, o.Request, o.Header))
	if err != nil && n == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.Verdict = lacewingramp.NotRun
	}
	early := err
	for {
		a, err := k.reader.Answer(o.Request.Method)
		if err != nil {
			r.Err = errors.Join(early, err)
			r.Died = broken(err)
			return r
		}
		s := c.Wire.Sign(a.Status, a.Header)
		if s.ID != "" && s.ID != o.ID {
			if a.Close {
				r.Err = errors.New("the target answered another request and closed")
				return r
			}
			continue
		}
		a.Close = a.Close || early != nil
		return settle(r, a, s)
	}
}

func settle(r Result, a *message.Answer, s lacewingramp.Sign) Result {
	r.Answer, r.Sign, r.Verdict = a, s, lacewingramp.Ran
	if s.NotRun || s.Elsewhere {
		r.Verdict = lacewingramp.NotRun
	}
	return r
}

// broken reports whether the other end ended the connection.
func broken(err error) bool {
	var f *message.FormatError
	if errors.As(err, &f) || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return true
}

// idleTime reads how long the target keeps an idle connection.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return min(toldMost, max(0, time.Duration(n)*time.Second-idleMargin))
		}
	}
	return idleMost
}

// silent reports whether a connection is open and holds no bytes.
func silent(n net.Conn) bool {
	t, ok := n.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
