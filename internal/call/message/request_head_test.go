package message_test

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// Guards against running out of memory by heads that are each inside the table's limit, and against
// a budget that takes a part of a head for a whole one.
var _ = ginkgo.Describe("a budget for the heads of requests", func() {
	const (
		// memory is that of the smallest instances of the users' first sites, and clients the
		// number of connections at one of them.
		memory    = 284 << 20
		clients   = 1800
		headBytes = 13_500
	)
	bounds := lacewingramp.Bounds{
		Header: 16 << 10, Body: 1 << 20,
		ReceiveTimeout: lacewingramp.Duration(time.Minute), IdleTimeout: lacewingramp.Duration(time.Minute),
	}
	const start = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
	lines := func(size int) string {
		var b strings.Builder
		for n := 0; b.Len() < size; n++ {
			_, _ = fmt.Fprintf(&b, "%x:\r\n", n)
		}
		return b.String()
	}
	// expectUnavailable checks that a request was refused for lack of memory.
	expectUnavailable := func(err error) {
		var f *message.FormatError
		gomega.ExpectWithOffset(1, errors.As(err, &f)).To(gomega.BeTrue(), "%v", err)
		gomega.ExpectWithOffset(1, f.Status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	read := func(budget *message.RequestBudget, r io.Reader) (*message.Request, error) {
		reader := message.NewReader(r)
		reader.Requests, reader.Cut = budget, func() {}
		return reader.Request(bounds, nil)
	}

	ginkgo.DescribeTable("bounds what stalled requests hold",
		func(text string) {
			budget := message.NewRequestBudget(memory)
			ended, release := make(chan error, clients), make(chan struct{})
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for range clients {
				go func() {
					_, err := read(budget, staller{strings.NewReader(text), ended, release})
					if !errors.Is(err, io.ErrUnexpectedEOF) {
						ended <- err
					}
				}()
			}
			refused := 0
			for range clients {
				if err := <-ended; err != nil {
					expectUnavailable(err)
					refused++
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			close(release)
			held := max(after.HeapAlloc, before.HeapAlloc) - before.HeapAlloc
			ginkgo.GinkgoWriter.Println(held>>20, "MB held,", refused, "refused")
			// An eighth is more than heads may take, and less than what they took without a budget.
			gomega.Expect(held).To(gomega.BeNumerically("<", memory/8))
		},
		ginkgo.Entry("whose heads have many lines", start+lines(headBytes)+"\r\n"),
		ginkgo.Entry("whose heads have many lines and do not end", start+lines(headBytes)),
		ginkgo.Entry("whose heads have one long line", start+"a: "+strings.Repeat("x", headBytes)),
	)

	ginkgo.It("never takes the rest of a head that found no memory for a request", func() {
		// Only the first buffer of this head finds memory. What follows it looks like the end
		// of a head, and like another request.
		const firstBuffer = 4 << 10
		head := start + lines(firstBuffer)
		text := head + strings.Repeat("x: "+strings.Repeat("y", 200)+"\r\n", 20) + "\r\nz" + "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
		budget := message.NewRequestBudget(4 << 20)
		for n := 1; n < 400; n++ {
			// Each of these holds a part, so that the budget runs out at another point.
			holder, err := read(budget, strings.NewReader(start+lines(n*8)+"\r\nx"))
			if err != nil {
				expectUnavailable(err)
				break
			}
			gomega.Expect(holder.URI).To(gomega.Equal("/"))
		}
		reader := message.NewReader(strings.NewReader(text))
		reader.Requests, reader.Cut = budget, func() {}
		for range 3 {
			_, err := reader.Request(bounds, nil)
			expectUnavailable(err)
		}
	})

	ginkgo.It("leaves memory for ordinary requests beside heads in many lines", func() {
		budget := message.NewRequestBudget(memory)
		for range clients {
			if _, err := read(budget, strings.NewReader(start+lines(headBytes)+"\r\nx")); err != nil {
				expectUnavailable(err)
				break
			}
		}
		for range 100 {
			_, err := read(budget, strings.NewReader("GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nCookie: a=b\r\n\r\n"))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
	})

	ginkgo.It("gets all memory back from requests that are released", func() {
		budget := message.NewRequestBudget(memory)
		for range math.MaxInt8 * 10 {
			r, err := read(budget, strings.NewReader(start+lines(headBytes)+"\r\nx"))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			r.Release()
			r.Release()
		}
	})

	ginkgo.It("cuts a head without progress when another one needs its memory", func() {
		budget := message.NewRequestBudget(4 << 20)
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		reader := message.NewReader(server)
		reader.Requests, reader.Cut = budget, func() { _ = server.SetReadDeadline(time.Now()) }
		ended := make(chan error, 1)
		go func() {
			_, err := reader.Request(bounds, nil)
			ended <- err
		}()
		_, err := io.WriteString(client, start+lines(headBytes/2))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Consistently(ended, "600ms").ShouldNot(gomega.Receive())
		var kept []*message.Request
		gomega.Eventually(func() error {
			r, err := read(budget, strings.NewReader(start+lines(headBytes/4)+"\r\nx"))
			if err == nil {
				kept = append(kept, r)
				return nil
			}
			return err
		}).WithTimeout(5 * time.Second).Should(gomega.HaveOccurred())
		gomega.Expect(kept).NotTo(gomega.BeEmpty())
		gomega.Eventually(ended).Should(gomega.Receive(gomega.HaveOccurred()))
	})

	// Guards against garbage that fills the memory while its collection takes long: what was
	// released counts until then.
	ginkgo.It("refuses heads and bodies while the runtime holds too much, and serves again", func() {
		budget := message.NewRequestBudget(memory)
		budget.MaxHeap = 1
		for _, text := range []string{start + "\r\nx", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
			_, err := read(budget, strings.NewReader(text))
			expectUnavailable(err)
		}
		budget = message.NewRequestBudget(memory)
		budget.MaxHeap = 1 << 40
		r, err := read(budget, strings.NewReader(start+"\r\nx"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r.Release()
	})
})
