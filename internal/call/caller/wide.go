package caller

import "lacewingramp.example/lacewingramp/internal/call/listener"

// widen lets a large body arrive faster on the connection, unless MaxWide others are wide. It
// stays wide until it is closed, as what a caller was allowed to send cannot be taken back.
func (c *connection) widen() {
	if !c.server.takeWide(c) {
		return
	}
	if err := listener.Widen(c.conn); err != nil && c.server.OnFault != nil {
		c.server.OnFault(err)
	}
}

func (s *Server) takeWide(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.wide || s.wide >= s.MaxWide {
		return false
	}
	c.wide = true
	s.wide++
	return true
}

// keepsOthersNarrow reports whether a connection is wide and no other one can be widened any more.
// It closes after the response to a large body, for the next one.
func (s *Server) keepsOthersNarrow(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.wide && s.wide >= s.MaxWide
}
