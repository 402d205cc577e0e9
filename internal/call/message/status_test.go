package message_test

import (
	"errors"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// Guards against a response without a final status that reaches a caller as an answer, as
// targets in trouble have sent status 000 on other systems.
var _ = ginkgo.Describe("a response", func() {
	read := func(status string) (*message.Response, error) {
		return message.NewReader(strings.NewReader("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n")).Response(http.MethodGet)
	}

	ginkgo.DescribeTable("without a final status is a format error",
		func(status string) {
			_, err := read(status)
			var f *message.FormatError
			gomega.Expect(errors.As(err, &f)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(f.Status).To(gomega.Equal(http.StatusBadGateway))
		},
		ginkgo.Entry("000", "000"), ginkgo.Entry("001", "001"), ginkgo.Entry("099", "099"), ginkgo.Entry("600", "600"),
		ginkgo.Entry("999", "999"), ginkgo.Entry("-20", "-20"), ginkgo.Entry("+20", "+20"), ginkgo.Entry("1000", "1000"),
		ginkgo.Entry("101, as no request asks for another protocol", "101"),
	)

	ginkgo.DescribeTable("with a final status is read",
		func(status string) {
			_, err := read(status)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		},
		ginkgo.Entry("200", "200"), ginkgo.Entry("299", "299"), ginkgo.Entry("599", "599"),
	)

	ginkgo.It("after interim ones without end is a format error", func() {
		_, err := message.NewReader(strings.NewReader(strings.Repeat("HTTP/1.1 102 X\r\n\r\n", 1<<16))).Response(http.MethodGet)
		var f *message.FormatError
		gomega.Expect(errors.As(err, &f)).To(gomega.BeTrue(), "%v", err)
	})
})
