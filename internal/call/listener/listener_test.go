package listener_test

import (
	"io"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/call/listener"
	"lacewingramp.example/lacewingramp/internal/proof/socket"
)

// Guards against connections whose bytes fill the memory of the process while it does not read
// them, and against a bound under which a large body does not arrive.
var _ = ginkgo.Describe("a listener", func() {
	const (
		backlog = 4
		clients = 20
	)
	var l net.Listener
	ginkgo.BeforeEach(func() {
		var err error
		l, err = listener.Listen("127.0.0.1:0", backlog, func(err error) { ginkgo.Fail(err.Error()) })
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
	})
	queued := func() int {
		n, err := socket.Queued("127.0.0.1", l.Addr().(*net.TCPAddr).Port)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return n
	}
	// send opens a connection on which a client sends without an end.
	send := func(piece int) {
		c, err := net.DialTimeout("tcp4", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return
		}
		ginkgo.DeferCleanup(c.Close)
		go func() {
			for p := make([]byte, piece); ; {
				if _, err := c.Write(p); err != nil {
					return
				}
			}
		}()
	}

	ginkgo.DescribeTable("bounds what connections receive before they are accepted, and their number", func(piece int) {
		for range clients {
			send(piece)
		}
		// The kernel accepts one connection more than the backlog.
		gomega.Consistently(queued, "300ms").Should(gomega.BeNumerically("<=", (backlog+1)*listener.QueueBytes))
		gomega.Expect(queued()).To(gomega.BeNumerically(">", 0))
	},
		ginkgo.Entry("in large pieces", 64<<10),
		ginkgo.Entry("in small pieces", 7),
	)

	ginkgo.It("bounds what a connection receives ahead of the process, wide or not, and all of it arrives", func() {
		const read = 1 << 20
		send(64 << 10)
		c, err := l.Accept()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = c.Close() }()
		_, err = io.CopyN(io.Discard, c, read)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Consistently(queued, "300ms").Should(gomega.BeNumerically("<=", listener.QueueBytes))
		gomega.Expect(listener.Widen(c)).To(gomega.Succeed())
		_, err = io.CopyN(io.Discard, c, 16*read)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(queued).Should(gomega.BeNumerically(">", listener.QueueBytes))
		gomega.Consistently(queued, "300ms").Should(gomega.BeNumerically("<=", listener.WideQueueBytes))
	})
})
