package follower

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// Guards against peers, or who poses as one, that take all connections, or all memory by replies
// that they do not read; and against bounds that keep out a peer that follows.
var _ = ginkgo.Describe("a server for followers", func() {
	const valueBytes = 4 << 20
	serve := func(s *Server) (address string) {
		s.Source = fixedSource{lacewingramp.KeyValue{Key: "k", Value: make([]byte, valueBytes), Revision: 1}}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
		go func() { _ = s.Serve(l) }()
		return l.Addr().String()
	}
	dial := func(address string) net.Conn {
		c, err := net.Dial("tcp4", address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(c.Close)
		return c
	}
	follow := func(address string) *ChangeFeed {
		f := &ChangeFeed{Address: address}
		ginkgo.DeferCleanup(f.Close)
		return f
	}

	ginkgo.It("closes the connection that has been longest without a query for a new one", func(ctx context.Context) {
		const maxConnections = 4
		s := &Server{MaxConnections: maxConnections}
		address := serve(s)
		for range maxConnections {
			dial(address)
		}
		open := func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.queriedAt)
		}
		gomega.Eventually(open).Should(gomega.Equal(maxConnections))
		time.Sleep(minIdleTime)
		f := follow(address)
		_, _, err := f.Snapshot(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(open()).To(gomega.Equal(maxConnections))
	})

	ginkgo.It("lets replies wait for memory, and gives it back", func(ctx context.Context) {
		s := &Server{ReplyMemory: 3 * replyCopies * valueBytes}
		address := serve(s)
		f := follow(address)
		for range 10 {
			_, _, err := f.Snapshot(ctx)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		for range 20 {
			gomega.Expect(cbor.NewEncoder(dial(address)).Encode(query{AllKeys: true})).To(gomega.Succeed())
		}
		time.Sleep(100 * time.Millisecond)
		gomega.Expect(s.replies.TryAcquire(replyCopies * valueBytes)).To(gomega.BeFalse())
		// Those that read nothing are closed after progressTimeout.
		gomega.Eventually(func() error {
			_, _, err := f.Snapshot(ctx)
			return err
		}).WithTimeout(20 * time.Second).Should(gomega.Succeed())
		gomega.Eventually(func() bool {
			ok := s.replies.TryAcquire(s.ReplyMemory)
			if ok {
				s.replies.Release(s.ReplyMemory)
			}
			return ok
		}).WithTimeout(20 * time.Second).Should(gomega.BeTrue())
	})

	ginkgo.It("sends a reply that is larger than its memory", func(ctx context.Context) {
		f := follow(serve(&Server{ReplyMemory: valueBytes / 2}))
		keyValues, _, err := f.Snapshot(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(keyValues[0].Value).To(gomega.HaveLen(valueBytes))
	})
})
