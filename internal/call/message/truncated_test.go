package message_test

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing/iotest"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// brokenOff returns a reader of text that ends with err. The text comes in one piece, or
// byte by byte.
func brokenOff(text string, err error, byteByByte bool) io.Reader {
	r := io.MultiReader(strings.NewReader(text), iotest.ErrReader(err))
	if byteByByte {
		return iotest.OneByteReader(r)
	}
	return r
}

// Guards against a 200 with a body that is empty or short and framed as whole: a target
// stopped in the middle of its response, most often in the head, and closed or reset the
// connection.
var _ = ginkgo.DescribeTable("a response that ends early is an error, wherever it ends",
	func(method, text string) {
		response, err := message.NewReader(strings.NewReader(text)).Response(method)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.Status).To(gomega.BeNumerically(">=", http.StatusOK))
		for end := range len(text) {
			for _, failure := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET} {
				for _, byteByByte := range []bool{false, true} {
					_, err := message.NewReader(brokenOff(text[:end], failure, byteByByte)).Response(method)
					gomega.Expect(err).To(gomega.HaveOccurred(), "%q, then %v", text[:end], failure)
				}
			}
		}
	},
	ginkgo.Entry("with a length", http.MethodGet, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\nSignature: 3e1b.07\r\n\r\nhello, world"),
	ginkgo.Entry("with the length at the end of its head", http.MethodPost, "HTTP/1.1 200 OK\r\nSignature: 3e1b.07\r\nContent-Length: 12\r\n\r\nhello, world"),
	ginkgo.Entry("with the length at the start of its head", http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nSignature: 3e1b.07\r\n\r\nabc"),
	ginkgo.Entry("in chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"),
	ginkgo.Entry("in chunks with a trailer", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nhello\r\n0\r\nSum: 1\r\n\r\n"),
	ginkgo.Entry("after an interim response", http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
	ginkgo.Entry("without a body", http.MethodGet, "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"),
	ginkgo.Entry("with an empty body", http.MethodGet, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"),
	ginkgo.Entry("to a HEAD request", http.MethodHead, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\n"),
	ginkgo.Entry("with bare line feeds", http.MethodGet, "HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nok"),
	ginkgo.Entry("with a folded header", http.MethodGet, "HTTP/1.1 200 OK\r\nId: 1,\r\n 2\r\nContent-Length: 2\r\n\r\nok"),
)

// A body without a length ends with the connection, so that only its head can be seen to
// end early, or a reset. A socket doesn't always report a reset to its reader: see Conn, and
// "a connection to a target".
var _ = ginkgo.It("a response without a length that ends in its head, or by a reset, is an error", func() {
	const head, body = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: 3e1b.07\r\n\r\n", "hello, world"
	for end := range len(head) {
		_, err := message.NewReader(brokenOff(head[:end], io.EOF, false)).Response(http.MethodGet)
		gomega.Expect(err).To(gomega.HaveOccurred(), "%q", head[:end])
	}
	for end := range len(head + body) {
		_, err := message.NewReader(brokenOff((head + body)[:end], syscall.ECONNRESET, false)).Response(http.MethodGet)
		gomega.Expect(err).To(gomega.HaveOccurred(), "%q", (head + body)[:end])
	}
	response, err := message.NewReader(strings.NewReader(head + body)).Response(http.MethodGet)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(string(response.Body)).To(gomega.Equal(body))
	gomega.Expect(response.Close).To(gomega.BeTrue())
})
