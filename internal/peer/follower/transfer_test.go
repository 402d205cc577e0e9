package follower

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// fixedSource is a Source whose only key is a large one that does not change.
type fixedSource struct{ keyValue lacewingramp.KeyValue }

func (s fixedSource) Snapshot() ([]lacewingramp.KeyValue, lacewingramp.Position) {
	return []lacewingramp.KeyValue{s.keyValue}, s.keyValue.Position()
}

func (s fixedSource) Since(lacewingramp.Position) ([]lacewingramp.Change, lacewingramp.Position, bool) {
	return []lacewingramp.Change{{KeyValue: s.keyValue}}, s.keyValue.Position(), true
}

func (s fixedSource) Changed() <-chan struct{} { return nil }

// slowConn is a connection that passes what is written to it piece by piece, with a
// pause before each.
type slowConn struct {
	net.Conn
	size  int
	pause time.Duration
}

func (c slowConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		time.Sleep(c.pause)
		n, err := c.Conn.Write(p[written:min(len(p), written+c.size)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// onceListener is a listener that accepts the connections of a channel.
type onceListener struct {
	net.Listener
	conns chan net.Conn
}

func (l onceListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// serveSlowly returns a connection to a server whose replies pass slowly.
func serveSlowly(s Source, size int, pause time.Duration) net.Conn {
	client, server := net.Pipe()
	l := onceListener{conns: make(chan net.Conn, 1)}
	l.conns <- slowConn{Conn: server, size: size, pause: pause}
	ginkgo.DeferCleanup(func() {
		_ = client.Close()
		close(l.conns)
	})
	go func() { _ = (&Server{Source: s}).Serve(l) }()
	return client
}

// call starts to read a snapshot from a peer that the test plays, and returns the
// peer's end of the connection after the query has been read from it.
func call(ctx context.Context, f *ChangeFeed) (net.Conn, <-chan error) {
	client, server := net.Pipe()
	ginkgo.DeferCleanup(func() {
		f.Close()
		_ = server.Close()
	})
	f.conn = client
	result := make(chan error, 1)
	go func() {
		_, _, err := f.Snapshot(ctx)
		result <- err
	}()
	var q query
	gomega.Expect(cbor.NewDecoder(server).Decode(&q)).To(gomega.Succeed())
	return server, result
}

// Guards against running out of memory by a query that never ends.
var _ = ginkgo.It("a query without end is cut off", func() {
	const flood = 1 << 20
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() { _ = (&Server{Source: fixedSource{}}).Serve(l) }()
	c, err := net.Dial("tcp4", l.Addr().String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	// A byte string of 1 TiB begins.
	_, err = c.Write([]byte{0x5b, 0, 0, 1, 0, 0, 0, 0, 0})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Eventually(func() error {
		_, err := c.Write(make([]byte, flood))
		return err
	}, 5*time.Second, time.Millisecond).Should(gomega.HaveOccurred())
})

var _ = ginkgo.Describe("the transfer of a large reply", func() {
	const pieces = 60
	large := lacewingramp.KeyValue{Key: "k", Value: bytes.Repeat([]byte("0123456789abcdef"), pieces*320), Revision: 7}

	// Guards against giving up a transfer for its length: 300 KB over a busy link
	// take longer than callTimeout.
	ginkgo.It("arrives whole over a connection that is slow and steady", func(ctx context.Context) {
		f := &ChangeFeed{conn: serveSlowly(fixedSource{large}, len(large.Value)/pieces, 3*callTimeout/2/pieces)}
		ginkgo.DeferCleanup(f.Close)
		keyValues, position, err := f.Snapshot(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(keyValues).To(gomega.Equal([]lacewingramp.KeyValue{large}))
		gomega.Expect(position).To(gomega.Equal(large.Position()))
	})

	reply := func() []byte {
		b, err := cbor.Marshal(newReply(query{AllKeys: true}, fixedSource{large}))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return b
	}

	// Guards against waiting for a peer that has stopped in the middle of a reply.
	ginkgo.It("ends when the peer stalls", func(ctx context.Context) {
		f := &ChangeFeed{limits: limits{call: time.Minute, progress: 20 * time.Millisecond, transfer: time.Minute}}
		peer, result := call(ctx, f)
		_, err := peer.Write(reply()[:pieceBytes])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(result, 10*time.Second).Should(gomega.Receive(gomega.MatchError(os.ErrDeadlineExceeded)))
	})

	// Guards against a server that waits for a follower that has stopped reading.
	ginkgo.It("ends when the follower stalls", func() {
		follower, server := net.Pipe()
		ginkgo.DeferCleanup(follower.Close)
		result := make(chan error, 1)
		go func() { result <- writePieces(server, large.Value) }()
		_, err := io.ReadFull(follower, make([]byte, pieceBytes))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(result, 10*time.Second).Should(gomega.Receive(gomega.MatchError(os.ErrDeadlineExceeded)))
	})

	// Guards against a peer that holds a follower for ever by sending a byte at a time.
	ginkgo.It("ends when it takes too long, whatever progress it makes", func(ctx context.Context) {
		f := &ChangeFeed{limits: limits{progress: time.Minute, transfer: 50 * time.Millisecond}}
		peer, result := call(ctx, f)
		go func() {
			for _, b := range reply() {
				if _, err := peer.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		gomega.Eventually(result, 10*time.Second).Should(gomega.Receive(gomega.MatchError(os.ErrDeadlineExceeded)))
	})

	// Guards against a peer that fills a follower's memory.
	ginkgo.It("ends when the reply is too long", func(ctx context.Context) {
		f := &ChangeFeed{limits: limits{replyBytes: 2 * pieceBytes}}
		peer, result := call(ctx, f)
		go func() { _, _ = peer.Write(reply()) }()
		gomega.Eventually(result, 10*time.Second).Should(gomega.Receive(gomega.MatchError(errReplyTooLong)))
	})

	// Guards against interrupting a transfer that makes progress.
	ginkgo.It("is reported from the first byte of the reply to the last", func(ctx context.Context) {
		f := &ChangeFeed{limits: limits{call: time.Minute, progress: time.Minute, transfer: time.Minute}}
		gomega.Expect(f.Receiving()).To(gomega.BeFalse())
		peer, result := call(ctx, f)
		gomega.Expect(f.Receiving()).To(gomega.BeFalse())
		b := reply()
		_, err := peer.Write(b[:1])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(f.Receiving, 10*time.Second).Should(gomega.BeTrue())
		_, err = peer.Write(b[1:])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(result, 10*time.Second).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(f.Receiving()).To(gomega.BeFalse())
	})

	// Guards against sparing a transfer that has stalled.
	ginkgo.It("is no longer reported when no bytes come", func() {
		f := &ChangeFeed{limits: limits{progress: time.Hour}}
		f.progress.record(time.Now())
		gomega.Expect(f.Receiving()).To(gomega.BeTrue())
		f.progress.record(time.Now().Add(-2 * time.Hour))
		gomega.Expect(f.Receiving()).To(gomega.BeFalse())
	})
})
