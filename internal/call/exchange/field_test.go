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

var _ = ginkgo.Describe("an answer in whose head the name of a field is invalid", func() {
	// expectNothing sends two requests to a target that answers both alike, and expects that nothing
	// of the answers is used, nor their connections.
	expectNothing := func(ctx context.Context, answer string, end rawtarget.End) {
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		t := startRaw(rawtarget.Script{Answer: answer, ReadBody: true, End: end})
		c := &exchange.Client{HeaderCodec: testCodec{}}
		for _, nonIdempotent := range []bool{true, false} {
			req := upload(t, http.MethodPost, 3)
			req.NonIdempotent, req.DetectRefusals = nonIdempotent, true
			r := c.Do(ctx, req)
			gomega.Expect(r.Response).To(gomega.BeNil(), "%q", answer)
			gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun), "%q", answer)
			gomega.Expect(r.ResponseHeaders).To(gomega.Equal(lacewingramp.ResponseHeaders{}), "%q", answer)
			gomega.Expect(r.ConnectionBroken || r.ConnectionLost).To(gomega.BeFalse(), "%q", answer)
		}
		gomega.Expect(t.Requests.Load()).To(gomega.Equal(int32(2)))
		gomega.Expect(t.Repeated.Load()).To(gomega.BeZero(), "%q: the connection was used again", answer)
	}

	// Guards against a line that is passed on, and against a body that is not the target's.
	ginkgo.It("may have run, and neither it nor its connection is used", func(ctx context.Context) {
		for _, line := range append([]string{"Id : 1"}, rawtarget.InvalidLines...) {
			for framing, end := range rawtarget.Framings {
				expectNothing(ctx, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=9\r\n"+line+"\r\n"+framing, end)
			}
			expectNothing(ctx, "HTTP/1.1 200 OK\r\nId: 1\r\n"+line+"\r\nContent-Length: 0\r\n\r\n", rawtarget.EndNone)
		}
	})

	// Guards against a request that runs again as its target is believed to have refused it.
	ginkgo.It("says nothing of whether the request has run", func(ctx context.Context) {
		for _, line := range append([]string{"Shed : 1"}, rawtarget.InvalidLines...) {
			for framing, end := range rawtarget.Framings {
				expectNothing(ctx, "HTTP/1.1 503 X\r\nId: 1\r\nShed: 1\r\nElsewhere: 1\r\n"+line+"\r\n"+framing, end)
			}
		}
	})

	ginkgo.It("spoils the answer after it if it is an interim one", func(ctx context.Context) {
		for _, line := range append([]string{"Id : 1"}, rawtarget.InvalidLines...) {
			expectNothing(ctx, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+response1, rawtarget.EndNone)
		}
	})

	// Guards against a connection that counts as proven.
	ginkgo.It("proves no connection, and the request is not written", func(ctx context.Context) {
		for _, line := range append([]string{"Id : 1"}, rawtarget.InvalidLines...) {
			for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n"} {
				t := startRaw(rawtarget.Script{Answer: head + line + "\r\nContent-Length: 2\r\n\r\nok"})
				c := &exchange.Client{HeaderCodec: proveCodec{}}
				req := upload(t, http.MethodPost, 3)
				req.Prove = &message.Request{Method: http.MethodGet, URI: "/health", Host: "h"}
				r := c.Do(ctx, req)
				gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.NotRun))
				gomega.Expect(r.ConnectionRefused).To(gomega.BeTrue())
				gomega.Expect(t.Requests.Load()).To(gomega.Equal(int32(1)))
			}
		}
	})

	// RFC 9112, 5.2 allows a line to be folded in an answer.
	ginkgo.It("is told from one with a folded line, which is used like any other", func(ctx context.Context) {
		t := startRaw(rawtarget.Script{Answer: "HTTP/1.1 200 OK\r\nId: 1\r\nX: a,\r\n b\r\nContent-Length: 2\r\n\r\nok"})
		c := &exchange.Client{HeaderCodec: testCodec{}}
		for range 2 {
			r := c.Do(ctx, upload(t, http.MethodGet, 0))
			gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.Ran))
			gomega.Expect(r.Response.Header.Get("X")).To(gomega.Equal("a, b"))
		}
		gomega.Expect(t.Repeated.Load()).To(gomega.Equal(int32(1)))
	})
})
