package message_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// Guards against running out of memory by request bodies that are each of legal size, and
// against a budget that refuses a single one or the ordinary ones beside large ones.
var _ = ginkgo.Describe("a budget for request bodies", func() {
	const (
		memory  = 184 << 20
		maxBody = 64 << 20
	)
	legal := lacewingramp.Bounds{
		Header: 1 << 10, Body: maxBody,
		ReceiveTimeout: lacewingramp.Duration(time.Minute), IdleTimeout: lacewingramp.Duration(time.Minute),
	}
	var budget *message.RequestBudget
	ginkgo.BeforeEach(func() { budget = message.NewRequestBudget(memory) })
	head := func(n int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
	}
	read := func(text string) (*message.Request, error) {
		r := message.NewReader(strings.NewReader(text))
		r.Requests, r.Cut = budget, func() {}
		return r.Request(legal, nil)
	}
	// stall sends a part of a body of the maximum size, and returns the channel on which the
	// error of its reader arrives.
	stall := func(part int) chan error {
		client, server := net.Pipe()
		ginkgo.DeferCleanup(client.Close)
		r := message.NewReader(server)
		r.Requests, r.Cut = budget, func() { _ = server.SetReadDeadline(time.Now()) }
		ended := make(chan error, 1)
		go func() {
			_, err := r.Request(legal, nil)
			ended <- err
		}()
		_, err := client.Write([]byte(head(maxBody) + strings.Repeat("x", part)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return ended
	}
	expectStatus := func(err error, status int) {
		var f *message.FormatError
		gomega.ExpectWithOffset(1, errors.As(err, &f)).To(gomega.BeTrue(), "%v", err)
		gomega.ExpectWithOffset(1, f.Status).To(gomega.Equal(status))
	}

	ginkgo.It("is enough for one body of the largest size on the smallest instance, again and again", func() {
		body := strings.Repeat("0123456789abcdef", maxBody/16)
		for range 4 {
			r, err := read(head(maxBody) + body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(r.Body) == body).To(gomega.BeTrue())
			_, err = read(head(maxBody) + body)
			expectStatus(err, http.StatusServiceUnavailable)
			r.Release()
			r.Release()
		}
	})

	ginkgo.It("lets ordinary bodies pass beside large ones that are complete", func() {
		_, err := read(head(maxBody) + strings.Repeat("x", maxBody))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, n := range []int{1, 1800, 4 << 10, 60_000, 64<<10 + 1, 360_000} {
			body := strings.Repeat("y", n)
			r, err := read(head(n) + body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(r.Body) == body).To(gomega.BeTrue())
			r.Release()
		}
	})

	ginkgo.It("reads bodies in chunks, and refuses those that are too large", func() {
		for _, n := range []int{1, 4 << 10, 64 << 10, 300_000, maxBody} {
			body := strings.Repeat("z", n)
			text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, body)
			r, err := read(text)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(r.Body) == body).To(gomega.BeTrue())
			r.Release()
		}
		body := strings.Repeat("z", maxBody+1)
		_, err := read(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body))
		expectStatus(err, http.StatusRequestEntityTooLarge)
	})

	ginkgo.It("takes nothing for bodies that are announced and do not arrive", func() {
		for range 100 {
			stall(1)
		}
		r, err := read(head(maxBody) + strings.Repeat("x", maxBody))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r.Release()
	})

	ginkgo.It("cuts a body without progress only when another one needs its memory", func() {
		ended := stall(40 << 20)
		gomega.Consistently(ended, "700ms").ShouldNot(gomega.Receive())
		r, err := read(head(maxBody) + strings.Repeat("x", maxBody))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r.Release()
		expectStatus(<-ended, http.StatusServiceUnavailable)
	})
})
