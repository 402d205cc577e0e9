package attempt_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// Guards against a response without a final status that reaches a caller as an answer, and
// against a further request on its connection.
var _ = ginkgo.Describe("a response without a final status", func() {
	// startRawTarget starts a target that sends a status in each response. ended receives a
	// value when a connection to it ends.
	startRawTarget := func(status string) (t lacewingramp.Target, ended chan struct{}) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
		ended = make(chan struct{}, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(r); err != nil {
					ended <- struct{}{}
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n", status)
			}
		}()
		return lacewingramp.Target{Name: "t", Address: l.Addr().String()}, ended
	}

	ginkgo.DescribeTable("may have run and closes the connection", func(ctx context.Context, status string) {
		c := &attempt.Caller{}
		ginkgo.DeferCleanup(c.Close)
		t, ended := startRawTarget(status)
		r, err := c.Do(ctx, t, &lacewingramp.ForwardRequest{ID: "1", Method: http.MethodGet, URI: "/"}, true)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(r.Outcome).To(gomega.Equal(slot.OutcomeFailed))
		gomega.Eventually(ended, "1500ms").Should(gomega.Receive())
	},
		ginkgo.Entry("000", "000"), ginkgo.Entry("099", "099"), ginkgo.Entry("600", "600"), ginkgo.Entry("999", "999"),
		ginkgo.Entry("101", "101"),
	)
})
