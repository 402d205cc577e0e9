package follower_test

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/mirror"
	"lacewingramp.example/lacewingramp/internal/peer/follower"
)

// lockedMirror is a Mirror that is safe for concurrent use. apply brings it to a
// revision: to 1 by an empty snapshot, and to any other by a change of one key.
type lockedMirror struct {
	mu     sync.Mutex
	mirror *mirror.Mirror
}

// at returns a position without an epoch.
func at(revision int64) lacewingramp.Position {
	return lacewingramp.Position{Revision: revision}
}

func (l *lockedMirror) apply(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision == 1 {
		l.mirror.ApplySnapshot(nil, at(1))
		return
	}
	l.mirror.Apply([]lacewingramp.Change{{KeyValue: lacewingramp.KeyValue{Key: "k", Revision: revision}}}, at(revision))
}

func (l *lockedMirror) Snapshot() ([]lacewingramp.KeyValue, lacewingramp.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mirror.Snapshot()
}

func (l *lockedMirror) Since(after lacewingramp.Position) ([]lacewingramp.Change, lacewingramp.Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mirror.Since(after)
}

func (l *lockedMirror) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mirror.Changed()
}

var _ = ginkgo.Describe("a feed from a peer", func() {
	serve := func(m *mirror.Mirror) *follower.ChangeFeed {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
		go func() { _ = (&follower.Server{Source: &lockedMirror{mirror: m}}).Serve(l) }()
		f := &follower.ChangeFeed{Address: l.Addr().String()}
		ginkgo.DeferCleanup(f.Close)
		return f
	}

	ginkgo.It("brings a mirror to the same content as the peer's", func(ctx context.Context) {
		var source, own mirror.Mirror
		source.ApplySnapshot([]lacewingramp.KeyValue{{Key: "a", Value: []byte("1"), Revision: 1}}, at(1))
		f := serve(&source)
		keyValues, position, err := f.Snapshot(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		own.ApplySnapshot(keyValues, position)
		source.Apply([]lacewingramp.Change{
			{KeyValue: lacewingramp.KeyValue{Key: "b", Value: []byte("2"), Revision: 2}},
			{KeyValue: lacewingramp.KeyValue{Key: "a", Revision: 3}, Deleted: true},
		}, at(3))
		changes, position, err := f.Changes(ctx, own.Position(), 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		own.Apply(changes, position)
		want, _ := source.Snapshot()
		got, reached := own.Snapshot()
		gomega.Expect(got).To(gomega.Equal(want))
		gomega.Expect(reached).To(gomega.Equal(at(3)))
	})

	ginkgo.It("waits for a change, and returns without one when the wait time is over", func(ctx context.Context) {
		m := &lockedMirror{mirror: &mirror.Mirror{}}
		m.apply(1)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
		go func() { _ = (&follower.Server{Source: m}).Serve(l) }()
		f := &follower.ChangeFeed{Address: l.Addr().String()}
		ginkgo.DeferCleanup(f.Close)
		all, _, err := f.Changes(ctx, at(1), time.Millisecond)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(all).To(gomega.BeEmpty())
		got := make(chan int64, 1)
		go func() {
			_, position, err := f.Changes(ctx, at(1), 9*time.Second)
			if err == nil {
				got <- position.Revision
			}
		}()
		m.apply(2)
		gomega.Eventually(got, 5*time.Second).Should(gomega.Receive(gomega.Equal(int64(2))))
	})

	ginkgo.It("reports changes that are no longer kept, and a peer that can not be reached", func(ctx context.Context) {
		var source mirror.Mirror
		source.ApplySnapshot(nil, at(9))
		_, _, err := serve(&source).Changes(ctx, at(3), 0)
		gomega.Expect(err).To(gomega.MatchError(lacewingramp.ErrCompacted))
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_ = l.Close()
		_, _, err = (&follower.ChangeFeed{Address: l.Addr().String()}).Changes(ctx, at(3), 0)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
