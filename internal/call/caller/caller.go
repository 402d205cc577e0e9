// Package caller serves the connections of callers: it reads requests, has
// each handled and sends the answers in the order of the requests.
//
// The connection is read on while requests are being handled. So a caller
// that leaves is noticed at once and what it asked for is cancelled, and
// requests that were sent ahead are handled at the same time.
//
// # Usage
//
//	s := &caller.Server{Handle: handle, Bounds: bounds}
//	err := s.Serve(listener)
//	...
//	s.Drain() // answers end their connections from now on
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// Limits of a connection.
const (
	// aheadMost is how many requests of one connection are handled at a time.
	aheadMost = 16
	// writeTimeout is how long a caller may take to read an answer.
	writeTimeout = 10 * time.Second
	// lingerTime is how long the last answer is left to reach the caller
	// before the connection is torn down.
	lingerTime = 500 * time.Millisecond
)

// Handler answers a request. begun is when its first bytes came. A nil answer
// ends the connection. The end of ctx means that the caller has left.
type Handler func(ctx context.Context, r *message.Request, begun time.Time) *message.Answer

// Server serves callers' connections. Its fields are set before Serve.
type Server struct {
	Handle Handler
	// Bounds returns what callers may send at the moment.
	Bounds func() lacewingramp.Bounds
	// Malformed is told of requests that could not be read.
	Malformed func(remote string, err error)

	mu       sync.Mutex
	draining bool
	open     map[*connection]struct{}
	handling sync.WaitGroup
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		n, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors, or a caller that has gone: the next may do.
			time.Sleep(time.Millisecond)
			continue
		}
		c := &connection{server: s, conn: n, reader: message.NewReader(n)}
		s.mu.Lock()
		if s.open == nil {
			s.open = make(map[*connection]struct{})
		}
		s.open[c] = struct{}{}
		s.mu.Unlock()
		go c.serve()
	}
}

// Drain makes every further answer end its connection, and ends connections
// that wait for no answer.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	idle := make([]*connection, 0, len(s.open))
	for c := range s.open {
		idle = append(idle, c)
	}
	s.mu.Unlock()
	for _, c := range idle {
		c.closeIdle()
	}
}

// Wait returns when every request that was read has been answered.
func (s *Server) Wait() {
	s.handling.Wait()
}

// Open returns how many connections are open.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// connection is one connection of a caller.
type connection struct {
	server *Server
	conn   net.Conn
	reader *message.Reader

	mu       sync.Mutex
	inflight int
	reading  bool
	closed   bool
}

func (c *connection) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	before := make(chan struct{})
	close(before)
	places := make(chan struct{}, aheadMost)
	for {
		r, begun, err := c.next()
		if err != nil {
			c.end(cancel, before, err)
			break
		}
		places <- struct{}{}
		after := make(chan struct{})
		wait.Add(1)
		go func(before <-chan struct{}) {
			defer wait.Done()
			defer c.server.handling.Done()
			c.answer(ctx, r, begun, before)
			close(after)
			<-places
		}(before)
		before = after
	}
	wait.Wait()
	cancel()
	_ = c.conn.Close()
	c.server.forget(c)
}

// next reads the next request. Until its first byte the connection is idle.
func (c *connection) next() (*message.Request, time.Time, error) {
	c.idleDeadline()
	if _, err := c.reader.Peek(1); err != nil {
		return nil, time.Time{}, err
	}
	begun := time.Now()
	b := c.server.Bounds()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, begun, net.ErrClosed
	}
	c.reading = true
	_ = c.conn.SetReadDeadline(begun.Add(time.Duration(b.Receive)))
	c.mu.Unlock()
	r, err := c.reader.Request(b, func() error {
		_, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		return err
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if err != nil {
		return nil, begun, err
	}
	if c.closed {
		return nil, begun, net.ErrClosed
	}
	c.inflight++
	c.server.handling.Add(1)
	return r, begun, nil
}

// idleDeadline bounds the wait for the next request while none is handled.
func (c *connection) idleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setIdleDeadline()
}

func (c *connection) setIdleDeadline() {
	if c.reading || c.closed {
		return
	}
	var at time.Time
	if c.inflight == 0 {
		at = time.Now().Add(time.Duration(c.server.Bounds().Idle))
	}
	_ = c.conn.SetReadDeadline(at)
}

// answer has a request handled and sends the answer when those before it have
// been sent.
func (c *connection) answer(ctx context.Context, r *message.Request, begun time.Time, before <-chan struct{}) {
	a := c.server.Handle(ctx, r, begun)
	<-before
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight--
	if c.closed {
		return
	}
	if a == nil {
		c.shut()
		return
	}
	last := r.Close || a.Close || (c.server.isDraining() && !c.reading)
	a.Close = last
	c.write(a, r.Method)
	if last {
		c.shut()
		return
	}
	c.setIdleDeadline()
}

func (c *connection) write(a *message.Answer, method string) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.conn.Write(message.AppendAnswer(nil, a, method)); err != nil {
		c.closed = true
		_ = c.conn.Close()
	}
}

// shut ends the sending side and leaves the caller time to read the last
// answer: closing with unread bytes would reset the connection.
func (c *connection) shut() {
	if c.closed {
		return
	}
	c.closed = true
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
}

// closeIdle ends a connection on which no request is being read or handled.
func (c *connection) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inflight == 0 && !c.reading {
		c.shut()
	}
}

// end finishes a connection whose next request can not be read. A caller that
// has left takes its requests with it. One that has sent no request gets the
// reason, after the answers to those before.
func (c *connection) end(cancel context.CancelFunc, before <-chan struct{}, err error) {
	var f *message.FormatError
	if !errors.As(err, &f) {
		c.leave(cancel)
		return
	}
	if c.server.Malformed != nil {
		c.server.Malformed(c.conn.RemoteAddr().String(), err)
	}
	<-before
	c.mu.Lock()
	if !c.closed {
		c.write(&message.Answer{Status: f.Status, Header: http.Header{}, Close: true}, http.MethodGet)
		c.shut()
	}
	c.mu.Unlock()
	c.drain()
}

func (c *connection) leave(cancel context.CancelFunc) {
	c.mu.Lock()
	shut := c.closed
	c.closed = true
	c.mu.Unlock()
	if shut {
		c.drain()
	}
	cancel()
}

// drain reads until the caller has closed or the linger time is over.
func (c *connection) drain() {
	b := make([]byte, 1<<10)
	for {
		if _, err := c.conn.Read(b); err != nil {
			return
		}
	}
}
