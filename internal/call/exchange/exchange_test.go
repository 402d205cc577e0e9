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

// wire reads the headers of the targets in this test.
type wire struct{}

func (wire) Call(http.Header) (lacewingramp.Call, error) { return lacewingramp.Call{}, nil }
func (wire) Forward(http.Header, lacewingramp.Sending)   {}
func (wire) Retry(http.Header, time.Duration)            {}
func (wire) Echo(http.Header, string)                    {}
func (wire) Sign(_ int, h http.Header) lacewingramp.Sign {
	return lacewingramp.Sign{ID: h.Get("Id"), NotRun: h.Get("Shed") != "", Elsewhere: h.Get("Elsewhere") != ""}
}

// script is a target that answers the requests of a connection in turn with
// raw bytes, and closes it where there are no more.
type script struct {
	address string
	dials   atomic.Int32
	got     atomic.Int32
}

func serve(answers ...string) *script {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := &script{address: l.Addr().String()}
	ginkgo.DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.dials.Add(1)
			go s.talk(c, answers)
		}
	}()
	return s
}

func (s *script) talk(c net.Conn, answers []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, a := range answers {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = q.Body.Close()
		s.got.Add(1)
		if a == "silence" {
			_, _ = r.ReadByte()
			return
		}
		_, _ = c.Write([]byte(a))
	}
}

func (s *script) order(id string, once bool) exchange.Order {
	return exchange.Order{
		Address: s.address, ID: id, Once: once, Header: http.Header{},
		Request: &message.Request{Method: http.MethodGet, URI: "/a", Host: "h"},
	}
}

const (
	ok     = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	second = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nno"
)

var _ = ginkgo.Describe("an exchange with a target", func() {
	var c *exchange.Client
	ginkgo.BeforeEach(func() { c = &exchange.Client{Wire: wire{}} })

	ginkgo.It("brings the whole answer and keeps the connection", func(ctx context.Context) {
		s := serve(ok, second)
		r := c.Do(ctx, s.order("1", false))
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.Ran))
		gomega.Expect(string(r.Answer.Body)).To(gomega.Equal("ok"))
		gomega.Expect(c.Do(ctx, s.order("2", true)).Verdict).To(gomega.Equal(lacewingramp.Ran))
		gomega.Expect(s.dials.Load()).To(gomega.Equal(int32(1)))
	})

	ginkgo.DescribeTable("has a verdict on each way in which a target fails",
		func(ctx context.Context, answer string, want lacewingramp.Verdict) {
			r := c.Do(ctx, serve(answer).order("1", true))
			gomega.Expect(r.Verdict).To(gomega.Equal(want))
			if want != lacewingramp.NotRun {
				gomega.Expect(r.Answer).To(gomega.BeNil())
			}
		},
		ginkgo.Entry("sheds", "HTTP/1.1 503 X\r\nId: 1\r\nShed: 1\r\nContent-Length: 0\r\n\r\n", lacewingramp.NotRun),
		ginkgo.Entry("has another's address", "HTTP/1.1 421 X\r\nElsewhere: 1\r\nContent-Length: 0\r\n\r\n", lacewingramp.NotRun),
		ginkgo.Entry("breaks off at once", "", lacewingramp.MayHaveRun),
		ginkgo.Entry("breaks off in the body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf", lacewingramp.MayHaveRun),
		ginkgo.Entry("sends what is no answer", "garbage garbage garbage\r\n\r\n", lacewingramp.MayHaveRun),
		ginkgo.Entry("answers another request", second, lacewingramp.MayHaveRun),
	)

	ginkgo.It("passes over an answer to an earlier request that comes late", func(ctx context.Context) {
		r := c.Do(ctx, serve(second+ok).order("1", false))
		gomega.Expect(string(r.Answer.Body)).To(gomega.Equal("ok"))
	})

	ginkgo.It("uses no connection on which more bytes came than belong to the answer", func(ctx context.Context) {
		s := serve(ok+second, ok)
		gomega.Expect(string(c.Do(ctx, s.order("1", false)).Answer.Body)).To(gomega.Equal("ok"))
		gomega.Expect(string(c.Do(ctx, s.order("1", false)).Answer.Body)).To(gomega.Equal("ok"))
		gomega.Expect(s.dials.Load()).To(gomega.Equal(int32(2)))
	})

	ginkgo.It("says that nothing was sent where there is no connection", func(ctx context.Context) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s := &script{address: l.Addr().String()}
		_ = l.Close()
		r := c.Do(ctx, s.order("1", true))
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.NotRun))
		gomega.Expect(r.Unreachable).To(gomega.BeTrue())
	})

	ginkgo.It("sends nothing to a target that may not serve any more when its connection is open", func(ctx context.Context) {
		s := serve(ok, second)
		o := s.order("1", false)
		allowed := false
		o.Allowed = func() bool { return allowed }
		r := c.Do(ctx, o)
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.NotRun))
		gomega.Expect(r.Withdrawn).To(gomega.BeTrue())
		gomega.Expect(s.got.Load()).To(gomega.BeZero())
		allowed = true
		gomega.Expect(c.Do(ctx, o).Verdict).To(gomega.Equal(lacewingramp.Ran))
	})

	ginkgo.It("closes the connection when its caller has left", func(ctx context.Context) {
		s := serve("silence")
		call, leave := context.WithCancel(ctx)
		done := make(chan exchange.Result)
		go func() { done <- c.Do(call, s.order("1", false)) }()
		gomega.Eventually(s.got.Load).Should(gomega.Equal(int32(1)))
		leave()
		var r exchange.Result
		gomega.Eventually(done).Should(gomega.Receive(&r))
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(r.Died).To(gomega.BeFalse())
	})
})
