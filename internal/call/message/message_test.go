package message_test

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

var bounds = lacewingramp.Bounds{
	Header: 1 << 10, Body: 64,
	ReceiveTimeout: lacewingramp.Duration(time.Second), IdleTimeout: lacewingramp.Duration(time.Second),
}

func readRequest(text string) (*message.Request, error) {
	return message.NewReader(strings.NewReader(text)).Request(bounds, nil)
}

var _ = ginkgo.Describe("a request", func() {
	ginkgo.It("is read with its complete body, with a length or in chunks", func() {
		r, err := readRequest("POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.URI).To(gomega.Equal("/a/b?c=d"))
		gomega.Expect(string(r.Body)).To(gomega.Equal("abc"))
		r, err = readRequest("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(r.Body)).To(gomega.Equal("abc"))
	})

	ginkgo.DescribeTable("that is malformed or too large is a format error with the status for it",
		func(text string, status int) {
			_, err := readRequest(text)
			var f *message.FormatError
			gomega.Expect(errors.As(err, &f)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(f.Status).To(gomega.Equal(status))
		},
		ginkgo.Entry("no request line", "nonsense\r\n\r\n", http.StatusBadRequest),
		ginkgo.Entry("no host", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest),
		ginkgo.Entry("two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest),
		ginkgo.Entry("a bad chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest),
		ginkgo.Entry("a large header", "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 1<<10)+"\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge),
		ginkgo.Entry("an endless header", "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 1<<14), http.StatusRequestHeaderFieldsTooLarge),
		ginkgo.Entry("a long body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", http.StatusRequestEntityTooLarge),
		ginkgo.Entry("a long body in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n"+strings.Repeat("x", 65)+"\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge),
		ginkgo.Entry("HTTP/1.0", "GET / HTTP/1.0\r\nHost: h\r\n\r\n", http.StatusHTTPVersionNotSupported),
	)

	ginkgo.It("that is truncated is an error other than a format error", func() {
		_, err := readRequest("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab")
		gomega.Expect(err).To(gomega.HaveOccurred())
		var f *message.FormatError
		gomega.Expect(errors.As(err, &f)).To(gomega.BeFalse())
	})

	ginkgo.It("is forwarded without hop-by-hop headers", func() {
		r, err := readRequest("GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 3\r\nX-End: 2\r\n\r\n")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		message.RemoveHopByHopHeaders(r.Header)
		gomega.Expect(string(message.AppendRequest(nil, r, r.Header))).To(gomega.Equal("GET /a HTTP/1.1\r\nHost: h\r\nX-End: 2\r\n\r\n"))
	})
})

var _ = ginkgo.Describe("a response", func() {
	readResponse := func(text string) (*message.Response, error) {
		return message.NewReader(strings.NewReader(text)).Response(http.MethodGet)
	}

	ginkgo.It("is either complete or an error", func() {
		resp, err := readResponse("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(resp.Body)).To(gomega.Equal("abc"))
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
			"HTTP/1.1 200 OK\r\nContent-Le", "no answer\r\n\r\n", "",
		} {
			_, err := readResponse(text)
			gomega.Expect(err).To(gomega.HaveOccurred(), text)
		}
	})

	ginkgo.It("without a length ends when the connection is closed", func() {
		resp, err := readResponse("HTTP/1.1 200 OK\r\n\r\nabc")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(resp.Body)).To(gomega.Equal("abc"))
		gomega.Expect(resp.Close).To(gomega.BeTrue())
	})

	ginkgo.It("is read after interim ones", func() {
		resp, err := readResponse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(resp.Status).To(gomega.Equal(http.StatusNoContent))
	})
})

// FuzzRequest checks that a request that could be read is forwarded as exactly one
// request, the same one. Otherwise a caller could smuggle a second request to a
// target.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\nX: y\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcd"))
	f.Fuzz(func(t *testing.T, input []byte) {
		r, err := message.NewReader(bytes.NewReader(input)).Request(bounds, nil)
		if err != nil {
			return
		}
		message.RemoveHopByHopHeaders(r.Header)
		out := message.NewReader(bytes.NewReader(message.AppendRequest(nil, r, r.Header)))
		reread, err := out.Request(lacewingramp.Bounds{Header: 1 << 20, Body: 1 << 20}, nil)
		if err != nil {
			t.Fatalf("%q is forwarded as an invalid request: %v", input, err)
		}
		if reread.Method != r.Method || reread.URI != r.URI || reread.Host != r.Host || !bytes.Equal(reread.Body, r.Body) {
			t.Fatalf("%q is forwarded changed: %+v, %+v", input, r, reread)
		}
		if _, err := out.Peek(1); err == nil {
			t.Fatalf("%q is forwarded with additional bytes", input)
		}
	})
}

// FuzzResponse checks that a response that could be read is written as exactly one
// response with the same status and body.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		resp, err := message.NewReader(bytes.NewReader(input)).Response(http.MethodGet)
		if err != nil || resp.Status > 999 {
			return
		}
		message.RemoveHopByHopHeaders(resp.Header)
		out := message.NewReader(bytes.NewReader(message.AppendResponse(nil, resp, http.MethodGet)))
		reread, err := out.Response(http.MethodGet)
		if err != nil {
			t.Fatalf("%q is written as an invalid response: %v", input, err)
		}
		if reread.Status != resp.Status || !bytes.Equal(reread.Body, resp.Body) {
			t.Fatalf("%q is written changed", input)
		}
		if _, err := out.Peek(1); err == nil {
			t.Fatalf("%q is written with additional bytes", input)
		}
	})
}
