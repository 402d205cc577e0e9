package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/caller"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

func bounds() lacewingramp.Bounds {
	return lacewingramp.Bounds{
		Header: 1 << 10, Body: 1 << 10,
		Receive: lacewingramp.Duration(10 * time.Second), Idle: lacewingramp.Duration(10 * time.Second),
	}
}

// open serves with a handler and returns a connection to it.
func open(h caller.Handler) (*caller.Server, net.Listener, net.Conn) {
	s := &caller.Server{Handle: h, Bounds: bounds}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp4", l.Addr().String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = c.Close() })
	return s, l, c
}

func send(c net.Conn, paths ...string) {
	var b strings.Builder
	for _, p := range paths {
		b.WriteString("GET " + p + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	_, err := c.Write([]byte(b.String()))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

func body(r *bufio.Reader) (string, bool) {
	p, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", true
	}
	b, err := io.ReadAll(p.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return string(b), p.Close
}

func answer(text string) *message.Answer {
	return &message.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte(text)}
}

var _ = ginkgo.Describe("a caller's connection", func() {
	ginkgo.It("gets the answers in the order of its requests, which are handled together", func() {
		both := make(chan struct{})
		_, _, c := open(func(_ context.Context, r *message.Request, _ time.Time) *message.Answer {
			if r.URI == "/2" {
				close(both)
			}
			<-both
			return answer(r.URI)
		})
		send(c, "/1", "/2", "/3")
		r := bufio.NewReader(c)
		for _, want := range []string{"/1", "/2", "/3"} {
			got, last := body(r)
			gomega.Expect(got).To(gomega.Equal(want))
			gomega.Expect(last).To(gomega.BeFalse())
		}
	})

	ginkgo.It("cancels what it asked for when the caller leaves", func() {
		cancelled := make(chan struct{})
		begun := make(chan struct{})
		_, _, c := open(func(ctx context.Context, _ *message.Request, _ time.Time) *message.Answer {
			close(begun)
			<-ctx.Done()
			close(cancelled)
			return nil
		})
		send(c, "/1")
		gomega.Eventually(begun).Should(gomega.BeClosed())
		_ = c.Close()
		gomega.Eventually(cancelled).Should(gomega.BeClosed())
	})

	ginkgo.It("is told why a request is malformed, after the answers to those before", func() {
		_, _, c := open(func(context.Context, *message.Request, time.Time) *message.Answer { return answer("one") })
		send(c, "/1")
		_, err := c.Write([]byte("nonsense\r\n\r\n"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r := bufio.NewReader(c)
		got, _ := body(r)
		gomega.Expect(got).To(gomega.Equal("one"))
		p, err := http.ReadResponse(r, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(p.StatusCode).To(gomega.Equal(http.StatusBadRequest))
		gomega.Expect(p.Close).To(gomega.BeTrue())
	})

	ginkgo.It("is closed by a stop only after the answer that it waits for", func() {
		release := make(chan struct{})
		begun := make(chan struct{})
		s, _, c := open(func(context.Context, *message.Request, time.Time) *message.Answer {
			close(begun)
			<-release
			return answer("whole")
		})
		send(c, "/1")
		gomega.Eventually(begun).Should(gomega.BeClosed())
		s.Drain()
		close(release)
		got, last := body(bufio.NewReader(c))
		gomega.Expect(got).To(gomega.Equal("whole"))
		gomega.Expect(last).To(gomega.BeTrue())
		s.Wait()
		_ = c.Close()
		gomega.Eventually(s.Open).Should(gomega.BeZero())
	})

	ginkgo.It("is closed by a stop at once when it is idle", func() {
		s, _, c := open(func(context.Context, *message.Request, time.Time) *message.Answer { return answer("") })
		gomega.Eventually(s.Open).Should(gomega.Equal(1))
		s.Drain()
		_, err := c.Read(make([]byte, 1))
		gomega.Expect(err).To(gomega.Equal(io.EOF))
	})

	ginkgo.It("leaves out requests behind an answer that ends the connection", func() {
		handled := make(chan string, 2)
		_, _, c := open(func(_ context.Context, r *message.Request, _ time.Time) *message.Answer {
			handled <- r.URI
			a := answer(r.URI)
			a.Close = true
			return a
		})
		send(c, "/1")
		got, last := body(bufio.NewReader(c))
		gomega.Expect(got).To(gomega.Equal("/1"))
		gomega.Expect(last).To(gomega.BeTrue())
		send(c, "/2")
		_, err := c.Read(make([]byte, 1))
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(handled).To(gomega.HaveLen(1))
	})
})
