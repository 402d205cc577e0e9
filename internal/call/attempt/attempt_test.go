package attempt_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/platform/target"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

func startTarget(b target.Behaviour) lacewingramp.Target {
	s := httptest.NewServer(target.New("t", 3, b))
	ginkgo.DeferCleanup(s.Close)
	return lacewingramp.Target{Name: "t", Address: s.Listener.Addr().String()}
}

func newForwardRequest(body string) *lacewingramp.ForwardRequest {
	return &lacewingramp.ForwardRequest{ID: "id-1", Method: http.MethodPost, URI: "/orders", Body: []byte(body), Customer: "andes"}
}

var _ = ginkgo.Describe("an attempt", func() {
	var c *attempt.Caller
	ginkgo.BeforeEach(func() {
		c = &attempt.Caller{}
		ginkgo.DeferCleanup(c.Close)
	})

	ginkgo.It("returns the complete response", func(ctx context.Context) {
		r, err := c.Do(ctx, startTarget(target.Behaviour{}), newForwardRequest("x"), false)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Response.Status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(string(r.Response.Body)).To(gomega.ContainSubstring(`"customer":"andes"`))
	})

	ginkgo.DescribeTable("gives the correct verdict", func(ctx context.Context, b target.Behaviour, body string, v lacewingramp.Verdict, o slot.Outcome) {
		r, err := c.Do(ctx, startTarget(b), newForwardRequest(body), false)
		gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(v))
		gomega.Expect(r.Outcome).To(gomega.Equal(o))
	},
		ginkgo.Entry("when the target sheds the request", target.Behaviour{Shed: true}, "x", lacewingramp.NotRun, slot.OutcomeShed),
		ginkgo.Entry("when the response belongs to another request", target.Behaviour{Cross: true}, "x", lacewingramp.MayHaveRun, slot.OutcomeFailed),
		ginkgo.Entry("when the response is truncated", target.Behaviour{Cut: true}, "x", lacewingramp.MayHaveRun, slot.OutcomeConnectionLost),
		ginkgo.Entry("when the target crashes while it runs the request", target.Behaviour{Poison: "boom"}, "boom", lacewingramp.MayHaveRun, slot.OutcomeConnectionLost),
	)

	ginkgo.It("reports that a request did not run when the target refuses the connection", func(ctx context.Context) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(listener.Close()).To(gomega.Succeed())
		r, err := c.Do(ctx, lacewingramp.Target{Address: listener.Addr().String()}, newForwardRequest("x"), false)
		gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.NotRun))
		gomega.Expect(r.Outcome).To(gomega.Equal(slot.OutcomeRefused))
	})

	ginkgo.It("reports that a request may have run when the deadline passes while it runs", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := c.Do(ctx, startTarget(target.Behaviour{Time: lacewingramp.Duration(time.Minute)}), newForwardRequest("x"), false)
		r := lacewingramp.RefusalOf(err)
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(r.Cause).To(gomega.Equal(lacewingramp.CauseDeadline))
	})

	ginkgo.It("opens a new connection for each request that is not idempotent", func(ctx context.Context) {
		t := startTarget(target.Behaviour{})
		var connections int
		s := httptest.NewUnstartedServer(target.New("t", 3, target.Behaviour{}))
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections++
			}
		}
		s.Start()
		ginkgo.DeferCleanup(s.Close)
		t.Address = s.Listener.Addr().String()
		for range 3 {
			_, err := c.Do(ctx, t, newForwardRequest("x"), false)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(connections).To(gomega.Equal(3))
	})
})
