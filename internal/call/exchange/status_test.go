package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// Guards against a response without a final status that reaches a caller, also one that says
// that the request has not run, and against a further request on its connection.
var _ = ginkgo.DescribeTable("a response without a final status may have run and closes the connection",
	func(ctx context.Context, status string) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
		ended := make(chan struct{})
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(r); err != nil {
					close(ended)
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nShed: 1\r\nContent-Length: 0\r\n\r\n", status)
			}
		}()
		ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		c := exchange.Client{HeaderCodec: testCodec{}}
		r := c.Do(ctx, exchange.TargetRequest{
			Address: l.Addr().String(), Header: http.Header{},
			Request: &message.Request{Method: http.MethodGet, URI: "/", Host: "h"},
		})
		gomega.Expect(r.Response).To(gomega.BeNil())
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Eventually(ended, "3s").Should(gomega.BeClosed())
	},
	ginkgo.Entry("000", "000"), ginkgo.Entry("099", "099"), ginkgo.Entry("600", "600"), ginkgo.Entry("999", "999"), ginkgo.Entry("101", "101"),
)
