package attempt_test

import (
	"context"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/proof/rawtarget"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// startRaw starts a target that answers as a script says.
func startRaw(s rawtarget.Script) (*rawtarget.Target, lacewingramp.Target) {
	t, err := rawtarget.Start(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(t.Close)
	return t, lacewingramp.Target{Name: "t", Address: t.Address}
}

// The start of an answer that has neither a length nor chunks.
const untilClose = "HTTP/1.1 200 OK\r\nLacewingramp-Request: id-1\r\n\r\n14 bytes of it"

var _ = ginkgo.Describe("an answer to an upload that breaks off", func() {
	do := func(ctx context.Context, s rawtarget.Script, method string, size int) (attempt.Result, error) {
		c := &attempt.Caller{}
		defer c.Close()
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		_, t := startRaw(s)
		r := newForwardRequest("")
		r.Method, r.Body = method, make([]byte, size)
		return c.Do(ctx, t, r, false)
	}

	// Guards against a part of an answer that reaches a caller as a whole one. Each is tried several
	// times, as the answer is read while the upload is still being written.
	ginkgo.DescribeTable("and that ends with its connection may have run and is no answer",
		func(ctx context.Context, end rawtarget.End, size int) {
			for range 10 {
				r, err := do(ctx, rawtarget.Script{Answer: untilClose, End: end, Wait: rawtarget.BreakDelay}, http.MethodPost, size)
				gomega.Expect(r.Response).To(gomega.BeNil())
				gomega.Expect(err).To(gomega.HaveOccurred())
				gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
				gomega.Expect(r.Outcome).To(gomega.Equal(slot.OutcomeConnectionLost), "%v", err)
			}
		},
		ginkgo.Entry("by a reset", rawtarget.EndReset, rawtarget.LongUpload),
		ginkgo.Entry("by a close with bytes unread", rawtarget.EndClose, rawtarget.LongUpload),
		ginkgo.Entry("by an end of the answer alone and a reset later", rawtarget.EndHalf, rawtarget.LongUpload),
		ginkgo.Entry("by a reset, of an upload that the kernel takes", rawtarget.EndReset, rawtarget.ShortUpload),
	)

	// Guards against losing an answer that is known to be whole.
	ginkgo.DescribeTable("and whose end is known is passed on",
		func(ctx context.Context, answer, method, body string) {
			for _, end := range []rawtarget.End{rawtarget.EndReset, rawtarget.EndClose, rawtarget.EndHalf} {
				r, err := do(ctx, rawtarget.Script{Answer: answer, End: end, Wait: rawtarget.BreakDelay}, method, rawtarget.LongUpload)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(string(r.Response.Body)).To(gomega.Equal(body))
			}
		},
		ginkgo.Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", http.MethodPost, "ok"),
		ginkgo.Entry("with the length 0", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", http.MethodPost, ""),
		ginkgo.Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", http.MethodPost, "ok"),
		ginkgo.Entry("to a HEAD request", "HTTP/1.1 200 OK\r\n\r\n", http.MethodHead, ""),
		ginkgo.Entry("with status 204", "HTTP/1.1 204 No Content\r\n\r\n", http.MethodPost, ""),
		ginkgo.Entry("with status 304", "HTTP/1.1 304 Not Modified\r\n\r\n", http.MethodPut, ""),
	)

	// Guards against refusing an answer without a length to an upload that was read.
	ginkgo.DescribeTable("is told from one without a length to a request that was read whole",
		func(ctx context.Context, end rawtarget.End, size int) {
			for range 10 {
				r, err := do(ctx, rawtarget.Script{Answer: untilClose, ReadBody: true, End: end}, http.MethodPost, size)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(string(r.Response.Body)).To(gomega.Equal("14 bytes of it"))
			}
		},
		ginkgo.Entry("with a long body", rawtarget.EndClose, rawtarget.LongUpload), ginkgo.Entry("with a short body", rawtarget.EndClose, 1), ginkgo.Entry("without a body", rawtarget.EndClose, 0),
	)

	// Guards against 502 for a request that its target has refused, as targets do while a long upload
	// still comes.
	ginkgo.It("and that refuses the request stays a refusal", func(ctx context.Context) {
		answer := "HTTP/1.1 503 X\r\nLacewingramp-Shed: 1\r\n\r\nno room"
		for _, end := range []rawtarget.End{rawtarget.EndReset, rawtarget.EndClose, rawtarget.EndHalf} {
			r, err := do(ctx, rawtarget.Script{Answer: answer, End: end, Wait: rawtarget.BreakDelay}, http.MethodPost, rawtarget.LongUpload)
			gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.NotRun))
			gomega.Expect(r.Outcome).To(gomega.Equal(slot.OutcomeShed))
		}
	})
})
