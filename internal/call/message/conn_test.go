package message_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/proof/rawtarget"
)

// These tests use sockets: what they guard against is how a socket reports its error.
var _ = ginkgo.Describe("a connection to a target", func() {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n"
	answer := "HTTP/1.1 200 OK\r\n\r\npart"
	open := func(s rawtarget.Script) *message.Conn {
		t, err := rawtarget.Start(s)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(t.Close)
		socket, err := net.Dial("tcp4", t.Address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		c := &message.Conn{Conn: socket}
		ginkgo.DeferCleanup(func() { _ = c.Close() })
		gomega.Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
		return c
	}
	write := func(c *message.Conn) error {
		if _, err := io.WriteString(c, head); err != nil {
			return err
		}
		_, err := c.Write(make([]byte, rawtarget.LongUpload))
		return err
	}

	// Guards against a read that ends well after a write that has failed.
	ginkgo.DescribeTable("ends with the error of the write that failed",
		func(end rawtarget.End) {
			c := open(rawtarget.Script{Answer: answer, End: end, Wait: 30 * time.Millisecond})
			writeErr := write(c)
			gomega.Expect(writeErr).To(gomega.HaveOccurred())
			raw, err := io.ReadAll(c)
			gomega.Expect(string(raw)).To(gomega.HaveSuffix("part"))
			gomega.Expect(err).To(gomega.MatchError(writeErr))
		},
		ginkgo.Entry("by a reset", rawtarget.EndReset), ginkgo.Entry("by a close", rawtarget.EndClose), ginkgo.Entry("after the end of the answer", rawtarget.EndHalf),
	)

	ginkgo.It("ends well if all was written", func() {
		c := open(rawtarget.Script{Answer: answer, ReadBody: true, End: rawtarget.EndClose})
		gomega.Expect(write(c)).To(gomega.Succeed())
		response, err := message.NewReader(c).Response(http.MethodPost)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(response.Body)).To(gomega.Equal("part"))
		gomega.Expect(response.UntilClose).To(gomega.BeTrue())
	})

	// Guards against an end that is reported before it is known whether the request was written.
	ginkgo.DescribeTable("that is read during the write reports its end when the write has ended",
		func(s rawtarget.Script, whole bool) {
			s.Answer, s.Wait = answer, 30*time.Millisecond
			c := open(s)
			c.BeginRequest()
			go func() { c.EndRequest(write(c)) }()
			raw, err := io.ReadAll(c)
			gomega.Expect(string(raw)).To(gomega.HaveSuffix("part"))
			if whole {
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			gomega.Expect(err).To(gomega.HaveOccurred())
		},
		ginkgo.Entry("which fails by a reset", rawtarget.Script{End: rawtarget.EndReset}, false),
		ginkgo.Entry("which fails by a close", rawtarget.Script{End: rawtarget.EndClose}, false),
		ginkgo.Entry("which fails after the end of the answer", rawtarget.Script{End: rawtarget.EndHalf}, false),
		ginkgo.Entry("which succeeds", rawtarget.Script{ReadBody: true, End: rawtarget.EndHalf}, true),
	)

	// Guards against a reader that waits for ever for a request that is never written.
	ginkgo.It("ends when it is closed while the end of the request is awaited", func(ctx context.Context) {
		c := open(rawtarget.Script{Answer: answer, End: rawtarget.EndHalf, Wait: 30 * time.Millisecond})
		c.BeginRequest()
		_, err := io.WriteString(c, strings.Replace(head, "16777216", "0", 1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ended := make(chan error, 1)
		go func() {
			_, err := io.ReadAll(c)
			ended <- err
		}()
		gomega.Consistently(ended, "100ms").ShouldNot(gomega.Receive())
		gomega.Expect(c.Close()).To(gomega.Succeed())
		gomega.Eventually(ctx, ended).Should(gomega.Receive(gomega.HaveOccurred()))
	})
})
