package exchange_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// testCodec reads the response headers of the targets of this test.
type testCodec struct{}

func (testCodec) CallerHeaders(http.Header) (lacewingramp.CallerHeaders, error) {
	return lacewingramp.CallerHeaders{}, nil
}
func (testCodec) SetTargetHeaders(http.Header, lacewingramp.TargetHeaders) {}
func (testCodec) SetRetryAfter(http.Header, time.Duration)                 {}
func (testCodec) SetRequestID(http.Header, string)                         {}
func (testCodec) ResponseHeaders(_ int, h http.Header) lacewingramp.ResponseHeaders {
	return lacewingramp.ResponseHeaders{ID: h.Get("Id"), NotRun: h.Get("Shed") != "", WrongTarget: h.Get("Elsewhere") != ""}
}

// scriptedTarget responds to the requests of each connection with a list of raw
// responses, and closes the connection after the last one. At the response "silence"
// it sends nothing and waits for the client to close the connection.
type scriptedTarget struct {
	address  string
	dials    atomic.Int32
	received atomic.Int32
}

func startTarget(responses ...string) *scriptedTarget {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := &scriptedTarget{address: l.Addr().String()}
	ginkgo.DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.dials.Add(1)
			go s.serveConn(c, responses)
		}
	}()
	return s
}

func (s *scriptedTarget) serveConn(c net.Conn, responses []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, response := range responses {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		s.received.Add(1)
		if response == "silence" {
			_, _ = reader.ReadByte()
			return
		}
		_, _ = c.Write([]byte(response))
	}
}

func (s *scriptedTarget) targetRequest(id string, nonIdempotent bool) exchange.TargetRequest {
	return exchange.TargetRequest{
		Address: s.address, ID: id, NonIdempotent: nonIdempotent, Header: http.Header{},
		Request: &message.Request{Method: http.MethodGet, URI: "/a", Host: "h"},
	}
}

const (
	response1 = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	response2 = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nno"
)

var _ = ginkgo.Describe("an exchange with a target", func() {
	var c *exchange.Client
	ginkgo.BeforeEach(func() { c = &exchange.Client{HeaderCodec: testCodec{}} })

	ginkgo.It("returns the complete response and keeps the connection", func(ctx context.Context) {
		s := startTarget(response1, response2)
		r := c.Do(ctx, s.targetRequest("1", false))
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.Ran))
		gomega.Expect(string(r.Response.Body)).To(gomega.Equal("ok"))
		gomega.Expect(c.Do(ctx, s.targetRequest("2", true)).Verdict).To(gomega.Equal(lacewingramp.Ran))
		gomega.Expect(s.dials.Load()).To(gomega.Equal(int32(1)))
	})

	ginkgo.DescribeTable("returns a verdict for each kind of target failure",
		func(ctx context.Context, response string, want lacewingramp.Verdict) {
			r := c.Do(ctx, startTarget(response).targetRequest("1", true))
			gomega.Expect(r.Verdict).To(gomega.Equal(want))
			if want != lacewingramp.NotRun {
				gomega.Expect(r.Response).To(gomega.BeNil())
			}
		},
		ginkgo.Entry("sheds the request", "HTTP/1.1 503 X\r\nId: 1\r\nShed: 1\r\nContent-Length: 0\r\n\r\n", lacewingramp.NotRun),
		ginkgo.Entry("says that the address belongs to another target", "HTTP/1.1 421 X\r\nElsewhere: 1\r\nContent-Length: 0\r\n\r\n", lacewingramp.NotRun),
		ginkgo.Entry("closes the connection without a response", "", lacewingramp.MayHaveRun),
		ginkgo.Entry("closes the connection in the head", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Le", lacewingramp.MayHaveRun),
		ginkgo.Entry("closes the connection after a line of the head", "HTTP/1.1 200 OK\r\nId: 1\r\n", lacewingramp.MayHaveRun),
		ginkgo.Entry("closes the connection in the body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf", lacewingramp.MayHaveRun),
		ginkgo.Entry("sends something other than HTTP", "garbage garbage garbage\r\n\r\n", lacewingramp.MayHaveRun),
		ginkgo.Entry("responds to another request", response2, lacewingramp.MayHaveRun),
	)

	ginkgo.It("skips a late response to an earlier request", func(ctx context.Context) {
		r := c.Do(ctx, startTarget(response2+response1).targetRequest("1", false))
		gomega.Expect(string(r.Response.Body)).To(gomega.Equal("ok"))
	})

	ginkgo.It("does not reuse a connection with unread bytes after the response", func(ctx context.Context) {
		s := startTarget(response1+response2, response1)
		gomega.Expect(string(c.Do(ctx, s.targetRequest("1", false)).Response.Body)).To(gomega.Equal("ok"))
		gomega.Expect(string(c.Do(ctx, s.targetRequest("1", false)).Response.Body)).To(gomega.Equal("ok"))
		gomega.Expect(s.dials.Load()).To(gomega.Equal(int32(2)))
	})

	ginkgo.It("reports that nothing was sent if no connection can be opened", func(ctx context.Context) {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s := &scriptedTarget{address: listener.Addr().String()}
		_ = listener.Close()
		r := c.Do(ctx, s.targetRequest("1", true))
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.NotRun))
		gomega.Expect(r.Unreachable).To(gomega.BeTrue())
	})

	ginkgo.It("sends nothing to a target that is no longer allowed once its connection is open", func(ctx context.Context) {
		s := startTarget(response1, response2)
		req := s.targetRequest("1", false)
		allowed := false
		req.Allowed = func() bool { return allowed }
		r := c.Do(ctx, req)
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.NotRun))
		gomega.Expect(r.NotAllowed).To(gomega.BeTrue())
		gomega.Expect(s.received.Load()).To(gomega.BeZero())
		allowed = true
		gomega.Expect(c.Do(ctx, req).Verdict).To(gomega.Equal(lacewingramp.Ran))
	})

	ginkgo.It("closes the connection when the request is cancelled", func(ctx context.Context) {
		s := startTarget("silence")
		callCtx, cancel := context.WithCancel(ctx)
		done := make(chan exchange.Result)
		go func() { done <- c.Do(callCtx, s.targetRequest("1", false)) }()
		gomega.Eventually(s.received.Load).Should(gomega.Equal(int32(1)))
		cancel()
		var r exchange.Result
		gomega.Eventually(done).Should(gomega.Receive(&r))
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(r.ConnectionBroken).To(gomega.BeFalse())
	})
})
