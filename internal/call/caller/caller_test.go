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
		ReceiveTimeout: lacewingramp.Duration(10 * time.Second), IdleTimeout: lacewingramp.Duration(10 * time.Second),
	}
}

// shortReceiveTimeout is the time to receive a request by shortBounds.
const shortReceiveTimeout = 50 * time.Millisecond

func shortBounds() lacewingramp.Bounds {
	b := bounds()
	b.ReceiveTimeout = lacewingramp.Duration(shortReceiveTimeout)
	return b
}

// startServer starts a server with the handler and connects to it.
func startServer(h caller.Handler) (*caller.Server, net.Listener, net.Conn) {
	return startBoundedServer(h, bounds)
}

func startBoundedServer(h caller.Handler, bounds func() lacewingramp.Bounds) (*caller.Server, net.Listener, net.Conn) {
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

func sendRequests(c net.Conn, paths ...string) {
	var b strings.Builder
	for _, p := range paths {
		b.WriteString("GET " + p + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	_, err := c.Write([]byte(b.String()))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

func readBody(r *bufio.Reader) (string, bool) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", true
	}
	b, err := io.ReadAll(resp.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return string(b), resp.Close
}

func response(text string) *message.Response {
	return &message.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(text)}
}

var _ = ginkgo.Describe("a caller's connection", func() {
	ginkgo.It("gets responses in the order of its requests, which are handled concurrently", func() {
		secondStarted := make(chan struct{})
		_, _, c := startServer(func(_ context.Context, r *message.Request, _ time.Time) *message.Response {
			if r.URI == "/2" {
				close(secondStarted)
			}
			<-secondStarted
			return response(r.URI)
		})
		sendRequests(c, "/1", "/2", "/3")
		r := bufio.NewReader(c)
		for _, want := range []string{"/1", "/2", "/3"} {
			got, closes := readBody(r)
			gomega.Expect(got).To(gomega.Equal(want))
			gomega.Expect(closes).To(gomega.BeFalse())
		}
	})

	ginkgo.It("cancels its requests when the caller disconnects", func() {
		cancelled := make(chan struct{})
		started := make(chan struct{})
		_, _, c := startServer(func(ctx context.Context, _ *message.Request, _ time.Time) *message.Response {
			close(started)
			<-ctx.Done()
			close(cancelled)
			return nil
		})
		sendRequests(c, "/1")
		gomega.Eventually(started).Should(gomega.BeClosed())
		_ = c.Close()
		gomega.Eventually(cancelled).Should(gomega.BeClosed())
	})

	ginkgo.It("gets an error status for a malformed request, after the responses to earlier ones", func() {
		_, _, c := startServer(func(context.Context, *message.Request, time.Time) *message.Response { return response("one") })
		sendRequests(c, "/1")
		_, err := c.Write([]byte("nonsense\r\n\r\n"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r := bufio.NewReader(c)
		got, _ := readBody(r)
		gomega.Expect(got).To(gomega.Equal("one"))
		resp, err := http.ReadResponse(r, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadRequest))
		gomega.Expect(resp.Close).To(gomega.BeTrue())
	})

	ginkgo.It("is closed by Drain only after the response that it waits for", func() {
		release := make(chan struct{})
		started := make(chan struct{})
		s, _, c := startServer(func(context.Context, *message.Request, time.Time) *message.Response {
			close(started)
			<-release
			return response("whole")
		})
		sendRequests(c, "/1")
		gomega.Eventually(started).Should(gomega.BeClosed())
		s.Drain()
		close(release)
		got, closes := readBody(bufio.NewReader(c))
		gomega.Expect(got).To(gomega.Equal("whole"))
		gomega.Expect(closes).To(gomega.BeTrue())
		s.Wait()
		_ = c.Close()
		gomega.Eventually(s.OpenConnections).Should(gomega.BeZero())
	})

	// Guards against a caller that keeps its connection through a stop, as some bytes of its
	// next request have always arrived, until the process ends with its last one at work.
	ginkgo.It("is closed by Drain after the response that it waits for, though its next request has begun", func() {
		release := make(chan struct{})
		handled := make(chan string, 2)
		s, _, c := startServer(func(_ context.Context, r *message.Request, _ time.Time) *message.Response {
			handled <- r.URI
			<-release
			return response(r.URI)
		})
		sendRequests(c, "/1")
		_, err := io.WriteString(c, "GET /2 HT")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(handled).Should(gomega.HaveLen(1))
		s.Drain()
		close(release)
		r := bufio.NewReader(c)
		got, closes := readBody(r)
		gomega.Expect(got).To(gomega.Equal("/1"))
		gomega.Expect(closes).To(gomega.BeTrue())
		_, _ = io.WriteString(c, "TP/1.1\r\nHost: h\r\n\r\n")
		_, err = r.ReadByte()
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(handled).To(gomega.HaveLen(1))
		s.Wait()
	})

	// Guards against responses that are lost as the one before them closes the connection.
	ginkgo.It("gets all responses to pipelined requests during Drain, and the last one closes it", func() {
		release := make(chan struct{})
		handled := make(chan string, 4)
		s, _, c := startBoundedServer(func(_ context.Context, r *message.Request, _ time.Time) *message.Response {
			handled <- r.URI
			<-release
			return response(r.URI)
		}, shortBounds)
		sendRequests(c, "/1", "/2", "/3")
		gomega.Eventually(handled).Should(gomega.HaveLen(3))
		s.Drain()
		sendRequests(c, "/4")
		gomega.Consistently(handled, 100*time.Millisecond).Should(gomega.HaveLen(3))
		close(release)
		r := bufio.NewReader(c)
		for _, want := range []string{"/1", "/2", "/3"} {
			got, closes := readBody(r)
			gomega.Expect(got).To(gomega.Equal(want))
			gomega.Expect(closes).To(gomega.Equal(want == "/3"))
		}
		_, err := r.ReadByte()
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(handled).To(gomega.HaveLen(3))
	})

	ginkgo.It("cancels its requests when the caller disconnects during Drain", func() {
		cancelled := make(chan struct{})
		started := make(chan struct{})
		s, _, c := startServer(func(ctx context.Context, _ *message.Request, _ time.Time) *message.Response {
			close(started)
			<-ctx.Done()
			close(cancelled)
			return nil
		})
		sendRequests(c, "/1")
		gomega.Eventually(started).Should(gomega.BeClosed())
		s.Drain()
		sendRequests(c, "/2")
		gomega.Consistently(cancelled, 100*time.Millisecond).ShouldNot(gomega.BeClosed())
		_ = c.Close()
		gomega.Eventually(cancelled).Should(gomega.BeClosed())
	})

	// Guards against a request that is cut because the caller is slow to send the next one.
	ginkgo.DescribeTable("gets the response that it waits for, though its next request does not arrive in time", func(begun string) {
		release := make(chan struct{})
		_, _, c := startBoundedServer(func(_ context.Context, r *message.Request, _ time.Time) *message.Response {
			<-release
			return response(r.URI)
		}, shortBounds)
		sendRequests(c, "/1")
		_, err := io.WriteString(c, begun)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(3 * shortReceiveTimeout)
		close(release)
		got, closes := readBody(bufio.NewReader(c))
		gomega.Expect(got).To(gomega.Equal("/1"))
		gomega.Expect(closes).To(gomega.BeTrue())
	},
		ginkgo.Entry("after a part of its first line", "GET /2 HT"),
		ginkgo.Entry("after its first line", "GET /2 HTTP/1.1\r\n"),
		ginkgo.Entry("after a part of its body", "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n12"),
	)

	ginkgo.It("is closed by Drain at once when it is idle", func() {
		s, _, c := startServer(func(context.Context, *message.Request, time.Time) *message.Response { return response("") })
		gomega.Eventually(s.OpenConnections).Should(gomega.Equal(1))
		s.Drain()
		_, err := c.Read(make([]byte, 1))
		gomega.Expect(err).To(gomega.Equal(io.EOF))
	})

	ginkgo.It("ignores requests after a response that closes the connection", func() {
		handled := make(chan string, 2)
		_, _, c := startServer(func(_ context.Context, r *message.Request, _ time.Time) *message.Response {
			handled <- r.URI
			closing := response(r.URI)
			closing.Close = true
			return closing
		})
		sendRequests(c, "/1")
		got, closes := readBody(bufio.NewReader(c))
		gomega.Expect(got).To(gomega.Equal("/1"))
		gomega.Expect(closes).To(gomega.BeTrue())
		sendRequests(c, "/2")
		_, err := c.Read(make([]byte, 1))
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(handled).To(gomega.HaveLen(1))
	})
})
