package message_test

import (
	"errors"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// invalidFields are header lines whose names HTTP does not allow (RFC 9112, 5.1; RFC 9110, 5.6.2).
var invalidFields = []string{
	"Content-Length : 2", "Transfer-Encoding : chunked", "X A: 1", "X : 1", "Id : 1", "Keep-Alive : timeout=9",
	"X\tA: 1", "X\t: 1", "X\x00A: 1", "X\x01: 1", "X\x1f: 1", "X\x7f: 1", "X\rA: 1", "X\v: 1", "X@Y: 1", "X(Y): 1", "Xé: 1", ": 1", "X",
}

// framings are the ends of a head, and the body, of the same answer.
var framings = map[string]string{
	"with a length": "Content-Length: 2\r\n\r\nok", "in chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "until the close": "\r\nok",
}

var _ = ginkgo.Describe("a response", func() {
	read := func(text, method string) (*message.Response, error) {
		return message.NewReader(strings.NewReader(text)).Response(method)
	}
	expectFormatError := func(text, method string) {
		response, err := read(text, method)
		var f *message.FormatError
		gomega.Expect(errors.As(err, &f)).To(gomega.BeTrue(), "%q: %v", text, err)
		gomega.Expect(f.Status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Expect(response).To(gomega.BeNil(), "%q", text)
	}

	// Guards against a field that the caller takes for another, or for the length of the body.
	ginkgo.It("with an invalid field name is a format error, and nothing of it is returned", func() {
		for _, field := range invalidFields {
			for _, framing := range framings {
				expectFormatError("HTTP/1.1 200 OK\r\nId: 1\r\n"+field+"\r\n"+framing, http.MethodGet)
				expectFormatError("HTTP/1.1 200 OK\r\n"+field+"\r\n"+framing, http.MethodGet)
			}
			expectFormatError("HTTP/1.1 200 OK\r\n"+field+"\r\nId: 1\r\nContent-Length: 2\r\n\r\n", http.MethodHead)
			expectFormatError("HTTP/1.1 204 No Content\r\nId: 1\r\n"+field+"\r\n\r\n", http.MethodGet)
			expectFormatError("HTTP/1.1 304 Not Modified\r\nId: 1\r\n"+field+"\r\n\r\n", http.MethodGet)
			expectFormatError("HTTP/1.1 503 X\r\nId: 1\r\nShed: 1\r\n"+field+"\r\nContent-Length: 0\r\n\r\n", http.MethodGet)
		}
	})

	ginkgo.It("whose first field line is folded is a format error", func() {
		for _, fold := range []string{" ", "\t"} {
			expectFormatError("HTTP/1.1 200 OK\r\n"+fold+"X: 1\r\nContent-Length: 2\r\n\r\nok", http.MethodGet)
		}
	})

	ginkgo.It("after an interim one with an invalid field name is a format error", func() {
		for _, field := range invalidFields {
			for _, status := range []string{"100 Continue", "102 Processing", "103 Early Hints", "199 X"} {
				expectFormatError("HTTP/1.1 "+status+"\r\nLink: a\r\n"+field+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", http.MethodGet)
			}
		}
	})

	ginkgo.It("with a forbidden byte in a value is a format error", func() {
		for _, field := range []string{"X: a\x00b", "X: a\rContent-Length: 5"} {
			expectFormatError("HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 2\r\n\r\nok", http.MethodGet)
		}
	})

	// Trailers are not kept, so that no field of theirs reaches a caller.
	ginkgo.It("has no field of a trailer, whatever its name", func() {
		const start = "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
		for _, field := range append([]string{"Sum: 1", "Id: 2", "Content-Length: 9"}, invalidFields...) {
			response, err := read(start+field+"\r\n\r\n", http.MethodGet)
			if err != nil {
				continue
			}
			gomega.Expect(string(response.Body)).To(gomega.Equal("ok"))
			gomega.Expect(response.Header).To(gomega.BeEmpty(), "%q", field)
		}
	})

	// RFC 9112, 5.2 allows a line to be folded in a response.
	ginkgo.It("may have a folded line, which is passed on as one", func() {
		for _, fold := range []string{"\r\n ", "\r\n\t", "\r\n  \t ", "\n "} {
			response, err := read("HTTP/1.1 200 OK\r\nX: a,"+fold+"b\r\nContent-Length: 2\r\n\r\nok", http.MethodGet)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(response.Header.Get("X")).To(gomega.Equal("a, b"))
			out := string(message.AppendResponseHead(nil, response))
			gomega.Expect(out).To(gomega.ContainSubstring("X: a, b\r\n"))
		}
	})

	ginkgo.It("may have any other name", func() {
		const name = "!#$%&'*+-.^_`|~09azAZ"
		response, err := read("HTTP/1.1 200 OK\r\n"+name+": 1\r\nContent-Length: 2\r\n\r\nok", http.MethodGet)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.Header).To(gomega.HaveLen(2))
	})
})
