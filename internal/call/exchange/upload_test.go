package exchange_test

import (
	"context"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/proof/rawtarget"
)

// startRaw starts a target that answers as a script says.
func startRaw(s rawtarget.Script) *rawtarget.Target {
	t, err := rawtarget.Start(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(t.Close)
	return t
}

// upload returns a request with a body of a size and ID 1 for a target.
func upload(t *rawtarget.Target, method string, size int) exchange.TargetRequest {
	return exchange.TargetRequest{
		Address: t.Address, ID: "1", NonIdempotent: true, Header: http.Header{},
		Request: &message.Request{Method: method, URI: "/a", Host: "h", Body: make([]byte, size)},
	}
}

// The start of an answer that has neither a length nor chunks.
const untilClose = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n14 bytes of it"

var _ = ginkgo.Describe("an answer to an upload that breaks off", func() {
	do := func(ctx context.Context, s rawtarget.Script, method string, size int) (exchange.Result, *rawtarget.Target) {
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		t := startRaw(s)
		c := &exchange.Client{HeaderCodec: testCodec{}}
		return c.Do(ctx, upload(t, method, size)), t
	}

	// Guards against a part of an answer that reaches a caller as a whole one. The write that fails
	// takes the error of the socket, so that the read after it ends like a body without a length.
	ginkgo.DescribeTable("and that ends with its connection may have run and is no answer",
		func(ctx context.Context, s rawtarget.Script, size int) {
			s.Wait = rawtarget.BreakDelay
			r, t := do(ctx, s, http.MethodPost, size)
			gomega.Expect(r.Response).To(gomega.BeNil())
			gomega.Expect(r.Err).To(gomega.HaveOccurred())
			gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
			gomega.Expect(r.ConnectionBroken).To(gomega.BeTrue())
			gomega.Expect(t.Requests.Load()).To(gomega.Equal(int32(1)))
		},
		ginkgo.Entry("by a reset", rawtarget.Script{Answer: untilClose, End: rawtarget.EndReset}, rawtarget.LongUpload),
		ginkgo.Entry("by a close with bytes unread", rawtarget.Script{Answer: untilClose, End: rawtarget.EndClose}, rawtarget.LongUpload),
		ginkgo.Entry("by an end of the answer alone and a reset later", rawtarget.Script{Answer: untilClose, End: rawtarget.EndHalf}, rawtarget.LongUpload),
		ginkgo.Entry("by a reset, of an upload that the kernel takes", rawtarget.Script{Answer: untilClose, End: rawtarget.EndReset}, rawtarget.ShortUpload),
		ginkgo.Entry("by a reset, in HTTP/1.0", rawtarget.Script{Answer: "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n14 bytes of it", End: rawtarget.EndReset}, rawtarget.LongUpload),
		ginkgo.Entry("by a reset right after the head", rawtarget.Script{Answer: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", End: rawtarget.EndReset}, rawtarget.LongUpload),
		ginkgo.Entry("by a reset, after an interim response", rawtarget.Script{Answer: "HTTP/1.1 100 Continue\r\n\r\n" + untilClose, End: rawtarget.EndReset}, rawtarget.LongUpload),
		ginkgo.Entry("by a reset, in a body with a length", rawtarget.Script{Answer: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 15\r\n\r\n14 bytes of it", End: rawtarget.EndReset}, rawtarget.LongUpload),
		ginkgo.Entry("by a reset, between chunks", rawtarget.Script{Answer: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n14\r\n", End: rawtarget.EndReset}, rawtarget.LongUpload),
	)

	// Guards against losing an answer that is known to be whole.
	ginkgo.DescribeTable("and whose end is known is passed on",
		func(ctx context.Context, answer, method, body string) {
			for _, end := range []rawtarget.End{rawtarget.EndReset, rawtarget.EndClose, rawtarget.EndHalf} {
				r, _ := do(ctx, rawtarget.Script{Answer: answer, End: end, Wait: rawtarget.BreakDelay}, method, rawtarget.LongUpload)
				gomega.Expect(r.Response).NotTo(gomega.BeNil(), "%v", r.Err)
				gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.Ran))
				gomega.Expect(string(r.Response.Body)).To(gomega.Equal(body))
			}
		},
		ginkgo.Entry("with a length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", http.MethodPost, "ok"),
		ginkgo.Entry("with the length 0", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", http.MethodPost, ""),
		ginkgo.Entry("in chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", http.MethodPost, "ok"),
		ginkgo.Entry("to a HEAD request", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", http.MethodHead, ""),
		ginkgo.Entry("with status 204", "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", http.MethodPost, ""),
		ginkgo.Entry("with status 304", "HTTP/1.1 304 Not Modified\r\nId: 1\r\n\r\n", http.MethodPut, ""),
	)

	// Guards against refusing an answer without a length to an upload that was read.
	ginkgo.It("is told from one without a length to an upload that was read whole", func(ctx context.Context) {
		for _, end := range []rawtarget.End{rawtarget.EndClose, rawtarget.EndHalf} {
			r, _ := do(ctx, rawtarget.Script{Answer: untilClose, ReadBody: true, End: end, Wait: rawtarget.BreakDelay}, http.MethodPost, rawtarget.LongUpload)
			gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.Ran), "%v", r.Err)
			gomega.Expect(string(r.Response.Body)).To(gomega.Equal("14 bytes of it"))
		}
	})

	// Guards against 502 for a request that its target has refused, as targets do while a long upload
	// still comes.
	ginkgo.DescribeTable("and that refuses the request stays a refusal",
		func(ctx context.Context, head string) {
			answer := "HTTP/1.1 503 X\r\n" + head + "\r\nno room"
			for _, end := range []rawtarget.End{rawtarget.EndReset, rawtarget.EndClose, rawtarget.EndHalf} {
				r, _ := do(ctx, rawtarget.Script{Answer: answer, End: end, Wait: rawtarget.BreakDelay}, http.MethodPost, rawtarget.LongUpload)
				gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.NotRun), "%v", r.Err)
				gomega.Expect(r.ConnectionBroken).To(gomega.BeFalse())
				gomega.Expect(r.ResponseHeaders.NotRun || r.ResponseHeaders.WrongTarget).To(gomega.BeTrue())
			}
		},
		ginkgo.Entry("for want of room", "Id: 1\r\nShed: 1\r\n"),
		ginkgo.Entry("for want of room, without an ID", "Shed: 1\r\n"),
		ginkgo.Entry("as the address belongs to another target", "Id: 1\r\nElsewhere: 1\r\n"),
		ginkgo.Entry("with a length", "Id: 1\r\nShed: 1\r\nContent-Length: 7\r\n"),
	)

	// Guards against a request that may have run and is told not to have.
	ginkgo.It("and that refuses another request may have run", func(ctx context.Context) {
		answer := "HTTP/1.1 503 X\r\nId: 2\r\nShed: 1\r\n\r\nno room"
		r, _ := do(ctx, rawtarget.Script{Answer: answer, End: rawtarget.EndReset, Wait: rawtarget.BreakDelay}, http.MethodPost, rawtarget.LongUpload)
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(r.Response).To(gomega.BeNil())
	})
})
