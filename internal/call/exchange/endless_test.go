package exchange_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
)

// flood is how many bytes a target that never ends sends in these tests. Then it
// closes the connection.
const flood = 64 << 20

// endlessTarget responds to each request with start, and then sends pattern again and
// again. cutOff counts its connections that the client closed before flood bytes.
type endlessTarget struct {
	*scriptedTarget

	start, pattern string
	cutOff         atomic.Int32
}

func startEndlessTarget(start, pattern string) *endlessTarget {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	e := &endlessTarget{scriptedTarget: &scriptedTarget{address: l.Addr().String()}, start: start, pattern: pattern}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.dials.Add(1)
			go e.serveConn(c)
		}
	}()
	return e
}

func (e *endlessTarget) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	e.received.Add(1)
	_, _ = c.Write([]byte(e.start))
	block := []byte(strings.Repeat(e.pattern, 1+(64<<10)/len(e.pattern)))
	for sent := 0; sent < flood; sent += len(block) {
		if _, err := c.Write(block); err != nil {
			e.cutOff.Add(1)
			return
		}
	}
}

var _ = ginkgo.Describe("an exchange with a target that sends bytes without end", func() {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"

	// Guards against a request that waits for its deadline while its target sends
	// bytes that can never become a response, and against taking them for a crash.
	ginkgo.DescribeTable("ends at once, may have run, and cuts the target off",
		func(ctx context.Context, start, pattern string) {
			c := &exchange.Client{HeaderCodec: testCodec{}}
			t := startEndlessTarget(start, pattern)
			r := c.Do(ctx, t.targetRequest("1", true))
			gomega.Expect(r.Response).To(gomega.BeNil())
			gomega.Expect(r.Err).To(gomega.HaveOccurred())
			gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
			gomega.Expect(r.ConnectionBroken).To(gomega.BeFalse(), "%v", r.Err)
			gomega.Eventually(t.cutOff.Load).Should(gomega.Equal(int32(1)))
			_ = c.Do(ctx, t.targetRequest("1", false))
			gomega.Expect(t.dials.Load()).To(gomega.Equal(int32(2)), "the connection was used again")
		},
		ginkgo.Entry("before a status line", "", "x"),
		ginkgo.Entry("in header lines", head, "X: y\r\n"),
		ginkgo.Entry("in interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
		ginkgo.Entry("in small responses to other requests", "", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nno"),
		ginkgo.Entry("in large responses to other requests", "", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 12000000\r\n\r\n"+strings.Repeat("x", 12_000_000)),
		ginkgo.Entry("in lines that are not HTTP", "", "x\r\n"),
		ginkgo.Entry("in extensions of chunks", head+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("x", 1<<10)+"\r\ny\r\n"),
		ginkgo.Entry("in trailers", head+"Transfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n", "X: y\r\n"),
		ginkgo.Entry("in one trailer", head+"Transfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\nX: ", "y"),
		ginkgo.Entry("in a body with a length", head+"Content-Length: 1000000000\r\n\r\n", "x"),
		ginkgo.Entry("in a body without a length", head+"\r\n", "x"),
		ginkgo.Entry("in a body in chunks", head+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n"),
	)

	// Guards against cutting a target off for a few late responses.
	ginkgo.It("differs from one that sends some late responses before the right one", func(ctx context.Context) {
		late := strings.Repeat(response2, 6) + "HTTP/1.1 200 OK\r\nId: 3\r\nContent-Length: 16000000\r\n\r\n" + strings.Repeat("x", 16_000_000)
		c := &exchange.Client{HeaderCodec: testCodec{}}
		r := c.Do(ctx, startTarget(late+response1).targetRequest("1", true))
		gomega.Expect(r.Err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(r.Response.Body)).To(gomega.Equal("ok"))
	})

	// Guards against no longer noticing that a target has closed or reset the connection.
	ginkgo.It("differs from one whose target closes the connection", func(ctx context.Context) {
		c := &exchange.Client{HeaderCodec: testCodec{}}
		for _, response := range []string{
			"", "HTTP/1.1 2", head, head + "X: y\r", head + "Content-Length: 9\r\n\r\nhalf",
			head + "Transfer-Encoding: chunked\r\n\r\n3\r\na", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
		} {
			r := c.Do(ctx, startTarget(response).targetRequest("1", true))
			gomega.Expect(r.ConnectionBroken).To(gomega.BeTrue(), "%q: %v", response, r.Err)
			gomega.Expect(r.ConnectionLost).To(gomega.BeFalse())
		}
	})
})
