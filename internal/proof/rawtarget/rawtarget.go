// Package rawtarget is a stand-in for a target in trouble: it answers each request with the
// bytes that a test gives it, however broken, on a socket of the operating system.
//
// # Usage
//
//	t, err := rawtarget.Start(rawtarget.Script{Answer: "HTTP/1.1 200 OK\r\n\r\npart", End: rawtarget.EndReset})
//	defer t.Close()
package rawtarget

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// End is what becomes of a connection after an answer.
type End int

const (
	// EndNone keeps the connection open for further requests.
	EndNone End = iota
	// EndClose closes it. The kernel resets a connection that is closed with bytes unread.
	EndClose
	// EndReset resets it.
	EndReset
	// EndHalf ends the answer alone, and resets the connection as long again afterwards.
	EndHalf
)

// Script says how a target answers a request.
type Script struct {
	// Answer is written once the head of the request was read.
	Answer string
	// ReadBody has the body of the request read to its end before.
	ReadBody bool
	// Wait is how long the target waits after the answer before the end.
	Wait time.Duration
	End  End
}

// Target is a running stand-in.
type Target struct {
	Address string
	// Connections and Requests count what was accepted, and the heads that were read.
	Connections, Requests atomic.Int32
	// Repeated counts the requests that came on a connection after another one.
	Repeated atomic.Int32
	// Ended counts the connections that have ended.
	Ended atomic.Int32

	listener net.Listener
	script   func(*http.Request) Script
}

// Start starts a target on a loopback address that answers all requests alike.
func Start(s Script) (*Target, error) {
	return StartFunc(func(*http.Request) Script { return s })
}

// StartFunc starts a target on a loopback address that asks for the script of each request.
func StartFunc(script func(*http.Request) Script) (*Target, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{Address: l.Addr().String(), listener: l, script: script}
	go t.accept()
	return t, nil
}

// Close stops the target from accepting connections.
func (t *Target) Close() error { return t.listener.Close() }

func (t *Target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.Connections.Add(1)
		go t.serve(c.(*net.TCPConn))
	}
}

func (t *Target) serve(c *net.TCPConn) {
	defer t.Ended.Add(1)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		t.Requests.Add(1)
		if n > 0 {
			t.Repeated.Add(1)
		}
		s := t.script(req)
		if s.ReadBody {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if _, err := io.WriteString(c, s.Answer); err != nil {
			return
		}
		if s.End != EndNone {
			s.end(c)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// end ends a connection, which is closed afterwards.
func (s *Script) end(c *net.TCPConn) {
	time.Sleep(s.Wait)
	switch s.End {
	case EndHalf:
		_ = c.CloseWrite()
		time.Sleep(s.Wait)
		_ = c.SetLinger(0)
	case EndReset:
		_ = c.SetLinger(0)
	}
}
