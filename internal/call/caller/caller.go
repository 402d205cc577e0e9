// Package caller serves HTTP/1.1 connections of callers. It reads requests,
// passes each to a handler and sends the responses in the order of the requests.
//
// A connection is read while earlier requests are still being handled, for two
// reasons: a caller that disconnects is noticed at once and its requests are
// cancelled, and pipelined requests are handled concurrently.
//
// # Usage
//
//	s := &caller.Server{Handle: handle, Bounds: bounds}
//	err := s.Serve(listener)
//	...
//	s.Drain() // each response closes its connection from now on
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// Limits of a connection.
const (
	// maxPipelined is the maximum number of requests of one connection that are
	// handled concurrently.
	maxPipelined = 16
	// writeTimeout limits the time to write one response to the caller.
	writeTimeout = 10 * time.Second
	// maxCopiedBody is the maximum size of a body that is sent in one piece with its head, in
	// bytes.
	maxCopiedBody = 32 << 10
	// lingerTimeout is how long the server waits, after the last response, for
	// the caller to close the connection before it closes it itself.
	lingerTimeout = 500 * time.Millisecond
)

// Handler returns the response to a request whose first byte arrived at
// receivedAt. The body of the request is released once the Handler has returned, and all else once
// the response has been sent. A nil response closes the connection. ctx is cancelled when the caller
// disconnects.
type Handler func(ctx context.Context, r *message.Request, receivedAt time.Time) *message.Response

// Server serves callers' connections. Its fields must be set before Serve.
type Server struct {
	Handle Handler
	// Bounds returns the size and time limits for requests. It is called anew
	// for each request, so changes apply to open connections too.
	Bounds func() lacewingramp.Bounds
	// OnMalformed, if set, is called for each request that is not valid HTTP/1.1
	// or exceeds the bounds.
	OnMalformed func(remote string, err error)
	// Requests bounds the memory of requests, nil for no bound.
	Requests *message.RequestBudget
	// MaxConnections is the maximum number of open connections, 0 for no bound. Beyond it,
	// the connection that has been longest without a byte is closed for a new one.
	MaxConnections int
	// MaxWide is the maximum number of connections on which large bodies arrive with a wide
	// receive window. On others they arrive slower.
	MaxWide int
	// OnFault, if set, is called for faults of the system that do not end a request.
	OnFault func(err error)
	// SetRetryAfter, if set, sets the header that tells the caller of a request that was
	// refused for lack of memory when to return.
	SetRetryAfter func(h http.Header)

	mu          sync.Mutex
	draining    bool
	connections map[*connection]struct{}
	// wide is the number of wide connections.
	wide     int
	requests sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		accepted, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of file descriptors, or the caller has already disconnected. The
			// next connection may be accepted again.
			time.Sleep(time.Millisecond)
			continue
		}
		c := newConnection(s, accepted)
		if !s.add(c) {
			_ = accepted.Close()
			continue
		}
		c.reader = c.newReader()
		go c.serve()
	}
}

// Drain closes idle connections. On each other one it lets the last response to a request
// that has been read close the connection. A request behind that one, of which a part may
// have arrived, is not handled; its caller sends it again on another connection.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	open := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.closeIfIdle()
	}
}

// Wait blocks until the responses to all requests that were read have been sent.
func (s *Server) Wait() {
	s.requests.Wait()
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	if c.wide {
		s.wide--
	}
}

// connection is one connection of a caller. openedAt is when it was accepted, and lastActive
// how long after that it last received bytes or sent a response, in nanoseconds. inflight is
// the number of requests that were read and whose response has not been sent. reading is set
// from the first byte of a request until it has been read. ending is set once no further
// request is handled, if one is: the last response closes the connection. closed is set once
// no further response may be sent. wide, which the server's mu guards, is set once the
// connection has been widened.
type connection struct {
	server     *Server
	conn       net.Conn
	reader     *message.Reader
	openedAt   time.Time
	lastActive atomic.Int64
	wide       bool

	mu       sync.Mutex
	inflight int
	reading  bool
	ending   bool
	closed   bool
}

func (c *connection) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	var handlers sync.WaitGroup
	// Each request is handled in a goroutine of its own. A handler sends its
	// response once the channel of the previous one is closed.
	previousSent := make(chan struct{})
	close(previousSent)
	semaphore := make(chan struct{}, maxPipelined)
	for {
		r, receivedAt, err := c.readRequest()
		if err != nil {
			c.handleReadError(cancel, previousSent, err)
			break
		}
		semaphore <- struct{}{}
		sent := make(chan struct{})
		handlers.Add(1)
		go func(previousSent <-chan struct{}) {
			defer handlers.Done()
			defer c.server.requests.Done()
			c.handle(ctx, r, receivedAt, previousSent)
			close(sent)
			<-semaphore
		}(previousSent)
		previousSent = sent
	}
	handlers.Wait()
	cancel()
	_ = c.conn.Close()
	c.server.remove(c)
}

// errNotHandled means that a request was read behind one whose response closes the
// connection.
var errNotHandled = errors.New("the connection closes after an earlier response")

// readRequest reads the next request. The idle timeout applies until its first
// byte and the receive timeout from then on.
func (c *connection) readRequest() (*message.Request, time.Time, error) {
	c.updateIdleDeadline()
	if _, err := c.reader.Peek(1); err != nil {
		return nil, time.Time{}, err
	}
	receivedAt := time.Now()
	bounds := c.server.Bounds()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, receivedAt, net.ErrClosed
	}
	c.reading = true
	_ = c.conn.SetReadDeadline(receivedAt.Add(time.Duration(bounds.ReceiveTimeout)))
	c.mu.Unlock()
	r, err := c.reader.Request(bounds, func() error {
		_, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		return err
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.ending = c.ending || c.server.isDraining() || errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case c.closed:
		release(r)
		return nil, receivedAt, net.ErrClosed
	case c.ending && c.inflight > 0:
		release(r)
		c.updateIdleDeadlineLocked()
		return nil, receivedAt, errNotHandled
	case err != nil:
		return nil, receivedAt, err
	}
	c.inflight++
	c.server.requests.Add(1)
	return r, receivedAt, nil
}

// updateIdleDeadline limits the wait for the next request while none is being
// handled.
func (c *connection) updateIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateIdleDeadlineLocked()
}

func (c *connection) updateIdleDeadlineLocked() {
	if c.reading || c.closed {
		return
	}
	var deadline time.Time
	if c.inflight == 0 {
		deadline = time.Now().Add(time.Duration(c.server.Bounds().IdleTimeout))
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// handle calls the handler and sends its response after those to earlier
// requests.
func (c *connection) handle(ctx context.Context, r *message.Request, receivedAt time.Time, previousSent <-chan struct{}) {
	resp := c.server.Handle(ctx, r, receivedAt)
	keepsOthersNarrow := len(r.Body) > message.NarrowBody && c.server.keepsOthersNarrow(c)
	r.HoldResponse(resp)
	r.ReleaseBody()
	defer r.Release()
	defer resp.Release()
	<-previousSent
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight--
	if c.closed {
		return
	}
	if resp == nil {
		c.closeGracefullyLocked()
		return
	}
	c.ending = c.ending || keepsOthersNarrow || c.server.isDraining()
	closeAfter := r.Close || resp.Close || (c.ending && c.inflight == 0)
	resp.Close = closeAfter
	c.writeResponseLocked(resp, r.Method)
	c.recordActivity()
	if closeAfter {
		c.closeGracefullyLocked()
		return
	}
	c.updateIdleDeadlineLocked()
}

func (c *connection) writeResponseLocked(resp *message.Response, method string) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.write(resp, method); err != nil {
		c.closed = true
		_ = c.conn.Close()
	}
}

// write writes a response. It does not copy a large body, which would take its memory twice.
func (c *connection) write(resp *message.Response, method string) error {
	body := message.SentBody(resp, method)
	if len(body) <= maxCopiedBody {
		_, err := c.conn.Write(message.AppendResponse(nil, resp, method))
		return err
	}
	if _, err := c.conn.Write(message.AppendResponseHead(nil, resp)); err != nil {
		return err
	}
	_, err := c.conn.Write(body)
	return err
}

// closeGracefullyLocked closes the sending side only and leaves the caller time
// to read the last response. A full close with unread input would reset the
// connection, and the caller could lose the response.
func (c *connection) closeGracefullyLocked() {
	if c.closed {
		return
	}
	c.closed = true
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// closeIfIdle closes a connection on which no request is being read or handled.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inflight == 0 && !c.reading {
		c.closeGracefullyLocked()
	}
}

// handleReadError ends a connection whose next request cannot be read. If the
// request is malformed or too large, an error status is sent after the responses to
// earlier requests. A request that is not handled is discarded with all that follows, until
// the caller disconnects or the connection is closed. Any other error means that the
// caller has disconnected or timed out, or that the connection is closed, and its other
// requests are cancelled.
func (c *connection) handleReadError(cancel context.CancelFunc, previousSent <-chan struct{}, err error) {
	if errors.Is(err, errNotHandled) {
		c.discardInput()
		c.handleDisconnect(cancel)
		return
	}
	var formatErr *message.FormatError
	if !errors.As(err, &formatErr) {
		c.handleDisconnect(cancel)
		return
	}
	if c.server.OnMalformed != nil {
		c.server.OnMalformed(c.conn.RemoteAddr().String(), err)
	}
	<-previousSent
	c.mu.Lock()
	if !c.closed {
		c.writeResponseLocked(c.server.errorResponse(formatErr.Status), http.MethodGet)
		c.closeGracefullyLocked()
	}
	c.mu.Unlock()
	c.discardInput()
}

func (c *connection) handleDisconnect(cancel context.CancelFunc) {
	c.mu.Lock()
	alreadyClosed := c.closed
	c.closed = true
	c.mu.Unlock()
	if alreadyClosed {
		// The last response has been sent. The caller gets the linger timeout to
		// read it.
		c.discardInput()
	}
	cancel()
}

// discardInput reads until the caller closes the connection or the linger
// timeout has passed.
func (c *connection) discardInput() {
	buf := make([]byte, 1<<10)
	for {
		if _, err := c.conn.Read(buf); err != nil {
			return
		}
	}
}
