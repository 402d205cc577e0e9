package exchange_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// proveCodec is a testCodec that sets the ID of a request.
type proveCodec struct{ testCodec }

func (proveCodec) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

// cappedTarget resets each connection beyond its limit, after it has accepted it and without
// reading from it.
type cappedTarget struct {
	scriptedTarget
	// limit is how many connections it serves, and resetDelay how long it takes to reset another.
	limit      int32
	resetDelay time.Duration
	proofs     atomic.Int32
}

func startCapped(limit int32, resetDelay time.Duration) *cappedTarget {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	t := &cappedTarget{limit: limit, resetDelay: resetDelay}
	t.address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c, t.dials.Add(1))
		}
	}()
	return t
}

func (t *cappedTarget) serve(c net.Conn, n int32) {
	defer func() { _ = c.Close() }()
	if n > t.limit {
		time.Sleep(t.resetDelay)
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		id := req.Header.Get("Id")
		if req.URL.Path == "/health" {
			t.proofs.Add(1)
		} else {
			t.received.Add(1)
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok"))
	}
}

func (t *cappedTarget) proven(id string) exchange.TargetRequest {
	req := t.targetRequest(id, true)
	req.Header.Set("Id", id)
	req.DetectRefusals = true
	req.Prove = &message.Request{Method: http.MethodGet, URI: "/health", Host: "h"}
	return req
}

var _ = ginkgo.Describe("the proof of a connection", func() {
	var c *exchange.Client
	ginkgo.BeforeEach(func() { c = &exchange.Client{HeaderCodec: proveCodec{}} })

	// Guards against requests that are not idempotent and are answered with 502 although a target
	// over its limit of connections has read nothing of them.
	ginkgo.DescribeTable("keeps a reset by a target over its limit of connections from leaving doubt",
		func(ctx context.Context, delay time.Duration) {
			t := startCapped(0, delay)
			r := c.Do(ctx, t.proven("1"))
			gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.NotRun))
			gomega.Expect(r.ConnectionRefused).To(gomega.BeTrue())
			gomega.Expect(r.ConnectionBroken).To(gomega.BeFalse())
		},
		ginkgo.Entry("at once", time.Duration(0)),
		ginkgo.Entry("after the request would have been sent", 20*time.Millisecond),
	)

	ginkgo.It("is done once for a connection, and the request is sent once", func(ctx context.Context) {
		t := startCapped(1, 0)
		for _, id := range []string{"1", "2"} {
			r := c.Do(ctx, t.proven(id))
			gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.Ran))
			gomega.Expect(r.ResponseHeaders.ID).To(gomega.Equal(id))
		}
		gomega.Expect(t.received.Load()).To(gomega.Equal(int32(2)))
		gomega.Expect(t.proofs.Load()).To(gomega.Equal(int32(1)))
	})

	// Guards against new connections, which count against the limit of a target, while there is an
	// idle one that is too old to be trusted without a proof.
	ginkgo.It("makes a connection usable that has been idle for long", func(ctx context.Context) {
		t := startCapped(1, 0)
		gomega.Expect(c.Do(ctx, t.proven("1")).Verdict).To(gomega.Equal(lacewingramp.Ran))
		time.Sleep(2100 * time.Millisecond)
		gomega.Expect(c.Do(ctx, t.proven("2")).Verdict).To(gomega.Equal(lacewingramp.Ran))
		gomega.Expect(t.dials.Load()).To(gomega.Equal(int32(1)))
		gomega.Expect(t.proofs.Load()).To(gomega.Equal(int32(2)))
	})

	// Guards against a request that waits for its deadline at a target that accepts connections and
	// serves none of them, and that is in doubt then.
	ginkgo.It("ends in time if the target is silent", func(ctx context.Context) {
		s := startTarget("silence")
		req := s.targetRequest("1", true)
		req.Prove = &message.Request{Method: http.MethodGet, URI: "/health", Host: "h"}
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		r := c.Do(ctx, req)
		gomega.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.NotRun))
		gomega.Expect(r.ConnectionRefused).To(gomega.BeTrue())
	})

	// Guards against a refusal of a request that was written and may have run.
	ginkgo.It("leaves a request in doubt whose connection fails after the proof", func(ctx context.Context) {
		s := startTarget("HTTP/1.1 200 OK\r\nId: prove-1\r\nContent-Length: 0\r\n\r\n", "")
		req := s.targetRequest("1", true)
		req.DetectRefusals, req.Prove = true, &message.Request{Method: http.MethodGet, URI: "/health", Host: "h"}
		r := c.Do(ctx, req)
		gomega.Expect(s.received.Load()).To(gomega.Equal(int32(2)))
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(r.ConnectionRefused).To(gomega.BeFalse())
	})

	// Guards against a repeated response to the proof that is taken for the response to the
	// request.
	ginkgo.It("is told from the request by its ID", func(ctx context.Context) {
		proof := "HTTP/1.1 200 OK\r\nId: prove-1\r\nContent-Length: 2\r\n\r\nno"
		s := startTarget(proof, proof+response1)
		req := s.targetRequest("1", true)
		req.Prove = &message.Request{Method: http.MethodGet, URI: "/health", Host: "h"}
		r := c.Do(ctx, req)
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.Ran))
		gomega.Expect(string(r.Response.Body)).To(gomega.Equal("ok"))
	})
})

// Guards against 502 for a request that a target has refused in a response whose body is lost.
var _ = ginkgo.DescribeTable("a refusal whose body is incomplete", func(ctx context.Context, head string, want lacewingramp.Verdict) {
	c := &exchange.Client{HeaderCodec: testCodec{}}
	req := startTarget("HTTP/1.1 503 X\r\n"+head+"Content-Length: 100\r\n\r\n"+strings.Repeat("x", 10)).targetRequest("1", true)
	req.DetectRefusals = true
	r := c.Do(ctx, req)
	gomega.Expect(r.Response).To(gomega.BeNil())
	gomega.Expect(r.Verdict).To(gomega.Equal(want))
},
	ginkgo.Entry("counts if it is for the request", "Id: 1\r\nShed: 1\r\n", lacewingramp.NotRun),
	ginkgo.Entry("does not count without an ID", "Shed: 1\r\n", lacewingramp.MayHaveRun),
	ginkgo.Entry("does not count for another request", "Id: 2\r\nShed: 1\r\n", lacewingramp.MayHaveRun),
	ginkgo.Entry("does not count if it refuses nothing", "Id: 1\r\n", lacewingramp.MayHaveRun),
)
