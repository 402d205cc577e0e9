package caller

import (
	"net"
	"net/http"
	"time"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// minIdleTime is how long a connection has to be without a byte before it is closed for a new
// one.
const minIdleTime = 500 * time.Millisecond

func newConnection(s *Server, conn net.Conn) *connection {
	return &connection{server: s, conn: conn, openedAt: time.Now()}
}

func (c *connection) newReader() *message.Reader {
	r := message.NewReader(activityReader{c})
	r.Requests = c.server.Requests
	// The deadline is set anew for each request.
	r.Cut = func() { _ = c.conn.SetReadDeadline(time.Now()) }
	r.Widen = c.widen
	return r
}

// activityReader reads from a connection and records when bytes have arrived.
type activityReader struct {
	connection *connection
}

func (a activityReader) Read(p []byte) (int, error) {
	n, err := a.connection.conn.Read(p)
	if n > 0 {
		a.connection.recordActivity()
	}
	return n, err
}

// recordActivity records that the connection is in use now.
func (c *connection) recordActivity() {
	c.lastActive.Store(int64(time.Since(c.openedAt)))
}

// idleTime returns how long the connection has not been in use. It is not affected by steps of
// the wall clock.
func (c *connection) idleTime(now time.Time) time.Duration {
	return now.Sub(c.openedAt) - time.Duration(c.lastActive.Load())
}

// add adds a connection, and reports false if there are too many.
func (s *Server) add(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConnections > 0 && len(s.connections) >= s.MaxConnections && !s.closeIdlestLocked(time.Now()) {
		return false
	}
	if s.connections == nil {
		s.connections = make(map[*connection]struct{})
	}
	s.connections[c] = struct{}{}
	return true
}

// closeIdlestLocked closes the connection that has been longest without a byte, among those on
// which no request is being handled. It reports false if there is none.
func (s *Server) closeIdlestLocked(now time.Time) bool {
	var idlest *connection
	longest := minIdleTime
	for c := range s.connections {
		if idle := c.idleTime(now); idle >= longest && !c.handling() {
			idlest, longest = c, idle
		}
	}
	if idlest == nil {
		return false
	}
	_ = idlest.conn.Close()
	delete(s.connections, idlest)
	return true
}

// handling reports whether a request of the connection is being handled, as far as can be said
// without waiting.
func (c *connection) handling() bool {
	if !c.mu.TryLock() {
		return true
	}
	defer c.mu.Unlock()
	return c.inflight > 0
}

// errorResponse returns the response to a request that could not be read.
func (s *Server) errorResponse(status int) *message.Response {
	h := http.Header{}
	if status == http.StatusServiceUnavailable && s.SetRetryAfter != nil {
		s.SetRetryAfter(h)
	}
	return &message.Response{Status: status, Header: h, Close: true}
}

func release(r *message.Request) {
	if r != nil {
		r.Release()
	}
}
