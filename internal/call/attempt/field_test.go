package attempt_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/proof/rawtarget"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

var _ = ginkgo.Describe("an answer in whose head the name of a field is invalid", func() {
	// expectNothing sends two requests to a target that answers both alike, and expects that nothing
	// of the answers is used, nor their connections.
	expectNothing := func(ctx context.Context, answer string, end rawtarget.End) {
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		stub, t := startRaw(rawtarget.Script{Answer: answer, ReadBody: true, End: end})
		c := &attempt.Caller{}
		defer c.Close()
		for range 2 {
			r, err := c.Do(ctx, t, newForwardRequest("x"), true)
			gomega.Expect(err).To(gomega.HaveOccurred(), "%q", answer)
			gomega.Expect(r.Response).To(gomega.BeNil(), "%q", answer)
			gomega.Expect(r.Leaving).To(gomega.BeFalse(), "%q", answer)
			gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.MayHaveRun), "%q", answer)
			gomega.Expect(r.Outcome).To(gomega.Equal(slot.OutcomeFailed), "%q: %v", answer, err)
		}
		gomega.Expect(stub.Requests.Load()).To(gomega.Equal(int32(2)))
		gomega.Expect(stub.Repeated.Load()).To(gomega.BeZero(), "%q: the connection was used again", answer)
	}

	// Guards against a line that is passed on, and against a body that is not the target's.
	ginkgo.It("may have run, and neither it nor its connection is used", func(ctx context.Context) {
		for _, line := range append([]string{"Lacewingramp-Request : 1"}, rawtarget.InvalidLines...) {
			for framing, end := range rawtarget.Framings {
				expectNothing(ctx, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+framing, end)
			}
			expectNothing(ctx, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 0\r\n\r\n", rawtarget.EndNone)
		}
	})

	// Guards against a request that runs again as its target is believed to have refused it.
	ginkgo.It("says nothing of whether the request has run, or of the target", func(ctx context.Context) {
		for _, line := range append([]string{"Lacewingramp-Shed : 1"}, rawtarget.InvalidLines...) {
			for framing, end := range rawtarget.Framings {
				expectNothing(ctx, "HTTP/1.1 503 X\r\nLacewingramp-Shed: 1\r\nLacewingramp-Leaving: 1\r\n"+line+"\r\n"+framing, end)
			}
			expectNothing(ctx, "HTTP/1.1 503 X\r\nLacewingramp-Shed: 1\r\nLacewingramp-Leaving: 1\r\n"+line+"\r\nContent-Length: 0\r\n\r\n", rawtarget.EndNone)
		}
	})

	ginkgo.It("spoils the answer after it if it is an interim one", func(ctx context.Context) {
		for _, line := range append([]string{"Lacewingramp-Request : 1"}, rawtarget.InvalidLines...) {
			expectNothing(ctx, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", rawtarget.EndNone)
		}
	})

	// Guards against a connection that is passed on to the next request before the answer on it has
	// been checked, as net/http does with an answer without a body.
	ginkgo.It("leaves its connection to no other request, with many at a time", func(ctx context.Context) {
		stub, t := startRaw(rawtarget.Script{Answer: "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n"})
		c := &attempt.Caller{}
		defer c.Close()
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				defer ginkgo.GinkgoRecover()
				for range 50 {
					r, _ := c.Do(ctx, t, newForwardRequest(""), true)
					gomega.Expect(r.Response).To(gomega.BeNil())
				}
			})
		}
		wg.Wait()
		gomega.Expect(stub.Repeated.Load()).To(gomega.BeZero())
	})

	// Trailers are not kept, so that no field of theirs reaches a caller.
	ginkgo.It("is told from one with such a field in its trailer, which is dropped", func(ctx context.Context) {
		_, t := startRaw(rawtarget.Script{Answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: 1\r\n\r\n"})
		c := &attempt.Caller{}
		defer c.Close()
		r, err := c.Do(ctx, t, newForwardRequest("x"), false)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(r.Response.Body)).To(gomega.Equal("ok"))
		gomega.Expect(r.Response.Header).To(gomega.BeEmpty())
	})

	// RFC 9112, 5.2 allows a line to be folded in an answer.
	ginkgo.It("is told from one with a folded line", func(ctx context.Context) {
		_, t := startRaw(rawtarget.Script{Answer: "HTTP/1.1 200 OK\r\nX: a,\r\n b\r\nContent-Length: 2\r\n\r\nok"})
		c := &attempt.Caller{}
		defer c.Close()
		r, err := c.Do(ctx, t, newForwardRequest("x"), false)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Response.Header.Get("X")).To(gomega.Equal("a, b"))
	})
})

var _ = ginkgo.Describe("interim answers", func() {
	// Guards against a target that is read for as long as it sends them.
	ginkgo.DescribeTable("without end are cut off, and the request may have run", func(ctx context.Context, interim string) {
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		stub, t := startRaw(rawtarget.Script{Answer: strings.Repeat(interim, 4<<20/len(interim))})
		c := &attempt.Caller{}
		defer c.Close()
		r, err := c.Do(ctx, t, newForwardRequest("x"), false)
		gomega.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
		gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(r.Outcome).To(gomega.Equal(slot.OutcomeFailed), "%v", err)
		gomega.Eventually(stub.Ended.Load).Should(gomega.Equal(int32(1)))
	},
		ginkgo.Entry("small ones", "HTTP/1.1 100 Continue\r\n\r\n"),
		ginkgo.Entry("large ones", "HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("x", 30<<10)+"\r\n\r\n"),
	)

	ginkgo.It("are skipped if there are few", func(ctx context.Context) {
		interim := strings.Repeat("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 5)
		_, t := startRaw(rawtarget.Script{Answer: interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"})
		c := &attempt.Caller{}
		defer c.Close()
		r, err := c.Do(ctx, t, newForwardRequest("x"), false)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Response.Status).To(gomega.Equal(http.StatusOK))
	})
})
