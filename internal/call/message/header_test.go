package message_test

import (
	"errors"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// Guards against a request that this program and a target take for different ones: the field
// Content-Length with a space before its colon hid a second request in a body.
var _ = ginkgo.DescribeTable("a request with an invalid header is a format error with status 400",
	func(fields string) {
		_, err := readRequest("POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n\r\nabc")
		var f *message.FormatError
		gomega.Expect(errors.As(err, &f)).To(gomega.BeTrue(), "%v", err)
		gomega.Expect(f.Status).To(gomega.Equal(http.StatusBadRequest))
	},
	ginkgo.Entry("a space before the colon of the length", "Content-Length : 3"),
	ginkgo.Entry("a tab before the colon of the coding", "Transfer-Encoding\t: chunked"),
	ginkgo.Entry("a space in a name", "Content Length: 3"),
	ginkgo.Entry("a name with a character that no token has", "X@Y: 3"),
	ginkgo.Entry("a carriage return in a value", "X: y\rContent-Length: 3"),
	ginkgo.Entry("a zero byte in a value", "X: y\x00"),
	ginkgo.Entry("no name", ": 3"),
)
