package message_test

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

const (
	// flood is how many bytes a sender that never ends sends in these tests.
	flood = 64 << 20
	// maxHead and readAhead bound what is read of a response besides its body, in
	// bytes.
	maxHead   = 64 << 10
	readAhead = 64 << 10
)

// sender sends start, and then pattern again and again until it has sent flood
// bytes. sent counts them.
type sender struct {
	start   string
	pattern string
	sent    int
}

func (s *sender) Read(p []byte) (int, error) {
	if s.sent >= flood {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) {
		rest := s.start[min(s.sent, len(s.start)):]
		if rest == "" {
			rest = s.pattern[(s.sent-len(s.start))%len(s.pattern):]
		}
		m := copy(p[n:], rest)
		n += m
		s.sent += m
	}
	return n, nil
}

var _ = ginkgo.Describe("a response without end", func() {
	const head = "HTTP/1.1 200 OK\r\n"
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"

	// Guards against reading on after a response has exceeded its limit: its sender
	// must be cut off at once, not at the deadline of the request.
	ginkgo.DescribeTable("is a format error once it exceeds the limit, and is read no further",
		func(start, pattern string, limit int) {
			s := &sender{start: start, pattern: pattern}
			_, err := message.NewReader(s).Response(http.MethodGet)
			var f *message.FormatError
			gomega.Expect(errors.As(err, &f)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(f.Status).To(gomega.Equal(http.StatusBadGateway))
			gomega.Expect(s.sent).To(gomega.BeNumerically("<=", limit+readAhead))
		},
		ginkgo.Entry("in the status line", "", "x", maxHead),
		ginkgo.Entry("in the reason of the status", "HTTP/1.1 200 ", "x", maxHead),
		ginkgo.Entry("in a header line", head+"X: ", "x", maxHead),
		ginkgo.Entry("in header lines", head, "X: y\r\n", maxHead),
		ginkgo.Entry("in interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", maxHead),
		ginkgo.Entry("in interim responses with header lines", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", maxHead),
		ginkgo.Entry("in the body, with a length", head+"Content-Length: 1000000000\r\n\r\n", "x", maxHead),
		ginkgo.Entry("in the body, without a length", head+"\r\n", "x", message.MaxResponseBody),
		ginkgo.Entry("in the body, in chunks", head+"Transfer-Encoding: chunked\r\n\r\n", chunk, message.MaxResponseBody*101/100),
	)

	// Guards against reading on where a body is framed by more bytes than it has.
	ginkgo.DescribeTable("is an error if it never ends around its chunks, and is read no further",
		func(start, pattern string) {
			s := &sender{start: head + "Transfer-Encoding: chunked\r\n\r\n" + start, pattern: pattern}
			_, err := message.NewReader(s).Response(http.MethodGet)
			gomega.Expect(err).To(gomega.HaveOccurred())
			gomega.Expect(s.sent).To(gomega.BeNumerically("<=", 2*maxHead))
		},
		ginkgo.Entry("in an extension", "1;", "x"),
		ginkgo.Entry("in extensions of many chunks", "", "1;"+strings.Repeat("x", 1<<10)+"\r\ny\r\n"),
		ginkgo.Entry("in a trailer", "0\r\nX: ", "x"),
		ginkgo.Entry("in trailers", "0\r\n", "X: y\r\n"),
	)

	// Guards against cutting the largest response that is legal.
	ginkgo.DescribeTable("is told from one of the maximum size, which is read completely",
		func(start, end string) {
			body := strings.Repeat("x", message.MaxResponseBody)
			resp, err := message.NewReader(strings.NewReader(start + body + end)).Response(http.MethodGet)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(resp.Body).To(gomega.HaveLen(message.MaxResponseBody))
		},
		ginkgo.Entry("with a length", head+"Content-Length: 16777216\r\n\r\n", ""),
		ginkgo.Entry("without a length", head+"\r\n", ""),
		ginkgo.Entry("in chunks", head+"Transfer-Encoding: chunked\r\n\r\n1000000\r\n", "\r\n0\r\n\r\n"),
	)

	// Guards against taking the length in the response to a HEAD request for that of a body.
	ginkgo.It("is told from one without a body to a HEAD request, whatever its length says", func() {
		resp, err := message.NewReader(strings.NewReader(head + "Content-Length: 1000000000\r\n\r\n")).Response(http.MethodHead)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(resp.Body).To(gomega.BeEmpty())
		gomega.Expect(resp.Close).To(gomega.BeFalse())
	})

	// Guards against memory that a sender takes up by announcing a body, without sending it.
	ginkgo.It("takes no more memory than was received, whatever its length says", func() {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 10 {
			_, err := message.NewReader(strings.NewReader(head + "Content-Length: 16777216\r\n\r\nabc")).Response(http.MethodGet)
			gomega.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
		}
		runtime.ReadMemStats(&after)
		gomega.Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", 1<<20))
	})
})
