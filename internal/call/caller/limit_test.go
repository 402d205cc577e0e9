package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/caller"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

var _ = ginkgo.Describe("a server of callers", func() {
	serve := func(s *caller.Server) (dial func() net.Conn) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
		go func() { _ = s.Serve(l) }()
		return func() net.Conn {
			c, err := net.Dial("tcp4", l.Addr().String())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.DeferCleanup(c.Close)
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			return c
		}
	}

	// Guards against callers that take all descriptors, and against a bound that cuts
	// requests which are being handled.
	ginkgo.It("replaces the longest idle connection beyond its maximum, and none with a request in progress", func() {
		const maxConnections = 4
		release := make(chan struct{})
		s := &caller.Server{Bounds: bounds, MaxConnections: maxConnections, Handle: func(_ context.Context, r *message.Request, _ time.Time) *message.Response {
			if r.URI == "/busy" {
				<-release
			}
			return response(r.URI)
		}}
		dial := serve(s)
		busy := dial()
		sendRequests(busy, "/busy")
		idle := dial()
		gomega.Eventually(s.OpenConnections).Should(gomega.Equal(2))
		time.Sleep(20 * time.Millisecond)
		for range maxConnections - 2 {
			_, _ = io.WriteString(dial(), "GET /stalled HTTP/1.1\r\n")
		}
		gomega.Eventually(s.OpenConnections).Should(gomega.Equal(maxConnections))
		time.Sleep(600 * time.Millisecond)
		c := dial()
		sendRequests(c, "/new")
		got, _ := readBody(bufio.NewReader(c))
		gomega.Expect(got).To(gomega.Equal("/new"))
		_, err := idle.Read(make([]byte, 1))
		gomega.Expect(err).To(gomega.MatchError(io.EOF))
		gomega.Expect(s.OpenConnections()).To(gomega.Equal(maxConnections))
		close(release)
		got, _ = readBody(bufio.NewReader(busy))
		gomega.Expect(got).To(gomega.Equal("/busy"))
	})

	// Guards against a request that is held in memory after its end, and against a refusal
	// that does not say when to return.
	ginkgo.It("refuses a body for which there is no memory, and serves again when there is", func() {
		const bodySize = 2 << 20
		handling, release := make(chan struct{}, 1), make(chan struct{})
		s := &caller.Server{
			Requests: message.NewRequestBudget(8 << 20),
			Bounds: func() lacewingramp.Bounds {
				b := bounds()
				b.Body = bodySize
				return b
			},
			Handle: func(_ context.Context, _ *message.Request, _ time.Time) *message.Response {
				handling <- struct{}{}
				<-release
				return response("")
			},
			SetRetryAfter: func(h http.Header) { h.Set("Retry-After", "1") },
		}
		dial := serve(s)
		send := func() net.Conn {
			c := dial()
			go func() {
				_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\n\r\n"+strings.Repeat("x", bodySize))
			}()
			return c
		}
		first := send()
		<-handling
		resp, err := http.ReadResponse(bufio.NewReader(send()), nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_ = resp.Body.Close()
		gomega.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(resp.Header.Get("Retry-After")).To(gomega.Equal("1"))
		close(release)
		_, _ = readBody(bufio.NewReader(first))
		for range 3 {
			c := send()
			<-handling
			_, _ = readBody(bufio.NewReader(c))
		}
	})

	// Guards against large bodies that arrive slowly for as long as another caller keeps its
	// connection, and against a connection that is closed before all its responses were sent.
	ginkgo.It("closes a wide connection after its large body if no other can be widened", func() {
		const bodySize = 1 << 20
		s := &caller.Server{
			Requests: message.NewRequestBudget(64 << 20), MaxWide: 1,
			Bounds: func() lacewingramp.Bounds {
				b := bounds()
				b.Body = bodySize
				return b
			},
			OnFault: func(err error) { ginkgo.Fail(err.Error()) },
			Handle:  func(_ context.Context, r *message.Request, _ time.Time) *message.Response { return response(r.URI) },
		}
		dial := serve(s)
		send := func(c net.Conn, path string) {
			go func() {
				_, _ = io.WriteString(c, "GET /before HTTP/1.1\r\nHost: h\r\n\r\nPOST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n"+strings.Repeat("x", bodySize))
			}()
		}
		for range 3 {
			wide := dial()
			send(wide, "/wide")
			r := bufio.NewReader(wide)
			got, closes := readBody(r)
			gomega.Expect(got).To(gomega.Equal("/before"))
			gomega.Expect(closes).To(gomega.BeFalse())
			got, closes = readBody(r)
			gomega.Expect(got).To(gomega.Equal("/wide"))
			gomega.Expect(closes).To(gomega.BeTrue())
			gomega.Expect(wide.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
			gomega.Eventually(s.OpenConnections).Should(gomega.Equal(0))
		}
	})
})

// pipeListener accepts connections that buffer nothing.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against running out of memory by requests, several on each connection, whose callers do
// not read the responses.
var _ = ginkgo.It("a server counts a request and its response until the response has been sent", func() {
	const (
		memory       = 8 << 20
		clients      = 40
		pipelined    = 16
		responseSize = 30_000
	)
	var handled atomic.Int32
	s := &caller.Server{
		Requests: message.NewRequestBudget(memory), Bounds: bounds,
		Handle: func(context.Context, *message.Request, time.Time) *message.Response {
			handled.Add(1)
			return response(strings.Repeat("x", responseSize))
		},
	}
	l := pipeListener{make(chan net.Conn, clients)}
	defer close(l.conns)
	go func() { _ = s.Serve(l) }()
	send := func(requests int) net.Conn {
		client, server := net.Pipe()
		ginkgo.DeferCleanup(client.Close)
		l.conns <- server
		go func() { _, _ = io.WriteString(client, strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", requests)) }()
		return client
	}
	var silent []net.Conn
	for range clients {
		silent = append(silent, send(pipelined))
	}
	// All that has been handled is held, as nothing can be sent.
	gomega.Consistently(func() int { return int(handled.Load()) * responseSize }, "1s").Should(gomega.BeNumerically("<", memory/2))
	for _, c := range silent {
		_ = c.Close()
	}
	gomega.Eventually(s.OpenConnections, 5*time.Second).Should(gomega.Equal(0))
	c := send(1)
	got, _ := readBody(bufio.NewReader(c))
	gomega.Expect(got).To(gomega.HaveLen(responseSize))
})
