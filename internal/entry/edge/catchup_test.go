package edge

import (
	"context"
	"maps"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/mirror"
	"lacewingramp.example/lacewingramp/internal/peer/follower"
	"lacewingramp.example/lacewingramp/internal/report/meter"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
)

// startSlowPeer starts a peer that answers a query with the given revision. It sends
// the first byte of its reply at once and the others when rest is closed.
func startSlowPeer(revision int64, rest <-chan struct{}) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	reply, err := cbor.Marshal(map[int]any{1: []any{}, 2: revision})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		var query any
		_ = cbor.NewDecoder(c).Decode(&query)
		_, _ = c.Write(reply[:1])
		<-rest
		_, _ = c.Write(reply[1:])
	}()
	return l.Addr().String()
}

// queryWait is the number of the field of a query that holds how long the peer may wait.
const queryWait = 3

// startSilentPeer starts a peer that replies to no query, and returns the queries.
func startSilentPeer() (address string, queries <-chan map[int]any) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	received := make(chan map[int]any, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		var query map[int]any
		if err := cbor.NewDecoder(c).Decode(&query); err == nil {
			received <- query
		}
	}()
	return l.Addr().String(), received
}

// emptySource is the source of a peer that has just started.
type emptySource struct{}

func (emptySource) Snapshot() ([]lacewingramp.KeyValue, lacewingramp.Position) {
	return nil, lacewingramp.Position{}
}

func (emptySource) Since(after lacewingramp.Position) ([]lacewingramp.Change, lacewingramp.Position, bool) {
	return new(mirror.Mirror).Since(after)
}

func (emptySource) Changed() <-chan struct{} { return nil }

// silentStore is a store that does not respond.
type silentStore struct{ Store }

func (silentStore) Snapshot(ctx context.Context) ([]lacewingramp.KeyValue, lacewingramp.Position, error) {
	<-ctx.Done()
	return nil, lacewingramp.Position{}, ctx.Err()
}

func (silentStore) Changes(ctx context.Context, after lacewingramp.Position, _ time.Duration) ([]lacewingramp.Change, lacewingramp.Position, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

var _ = ginkgo.Describe("an instance that follows a peer without any keys", func() {
	const revision = 5
	var e *Edge
	var address string
	ginkgo.BeforeEach(func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
		go func() { _ = (&follower.Server{Source: emptySource{}}).Serve(l) }()
		address = l.Addr().String()
		e = New(Settings{Name: "self", Domain: "a", Region: "north", Regions: map[string]string{"a": "north"}},
			Dependencies{Store: silentStore{}, Timer: wall.Timer{}, Log: zerolog.Nop()})
		e.store.followAddress = address
	})

	// Guards against a loop without a pause: the peer has neither the changes nor a
	// snapshot that is new to this instance.
	ginkgo.It("leaves the peer", func(ctx context.Context) {
		e.mirror.ApplySnapshot(nil, lacewingramp.Position{Revision: revision})
		ctx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			e.follow(ctx)
		}()
		ginkgo.DeferCleanup(func() {
			cancel()
			<-ended
		})
		gomega.Eventually(func() map[string]time.Time {
			e.mu.Lock()
			defer e.mu.Unlock()
			return maps.Clone(e.store.avoidUntil)
		}, 5*time.Second).Should(gomega.HaveKey(address))
	})

	// Guards against the same loop while this instance has no keys either.
	ginkgo.It("does not take the peer's state for a snapshot", func(ctx context.Context) {
		gomega.Expect(e.pull(ctx, peerSource(&follower.ChangeFeed{Address: address}, peerLongPoll), true)).To(gomega.MatchError(errPeerEmpty))
	})
})

var _ = ginkgo.Describe("an instance that is behind its peers", func() {
	const behind, ahead = int64(5), int64(9)
	var e *Edge
	now := time.Now()
	ginkgo.BeforeEach(func() {
		e = New(Settings{Name: "self", Domain: "a", Region: "north", Regions: map[string]string{"a": "north"}},
			Dependencies{Timer: wall.Timer{}, Log: zerolog.Nop(), Meter: meter.New()})
		e.peers.Record(now, &lacewingramp.Heartbeat{
			Endpoint: lacewingramp.Endpoint{Name: "other", Domain: "a", Peer: "127.0.0.1:1"}, Revision: ahead,
		})
	})

	// receive makes a reply of a followed peer arrive. It returns the peer's address, and
	// a function that lets the reply end.
	receive := func(ctx context.Context) (address string, end func()) {
		rest := make(chan struct{})
		address = startSlowPeer(behind, rest)
		e.store.followAddress = address
		callCtx, cancel := context.WithCancel(ctx)
		ginkgo.DeferCleanup(cancel)
		source := e.source(cancel)
		pulled := make(chan error, 1)
		go func() { pulled <- e.pull(callCtx, source, true) }()
		gomega.Eventually(e.store.peerFeed.Receiving, 5*time.Second).Should(gomega.BeTrue())
		return address, func() {
			close(rest)
			gomega.Eventually(pulled, 5*time.Second).Should(gomega.Receive(gomega.BeNil()))
		}
	}

	// Guards against a table that never arrives on a small link, because its transfer is
	// broken off and starts over at another peer.
	ginkgo.It("lets a reply that is arriving from the followed peer end", func(ctx context.Context) {
		address, end := receive(ctx)
		e.catchUp(ctx, now)
		e.catchUp(ctx, now.Add(catchUpDelay))
		end()
		gomega.Expect(e.store.followAddress).To(gomega.Equal(address))
		gomega.Expect(e.mirror.Position().Revision).To(gomega.Equal(behind))
	})

	// Guards against a table that never arrives on a small link, because the transfer
	// starts over at another peer whenever the instances of the region change.
	ginkgo.It("lets a reply that is arriving end before it follows another peer", func(ctx context.Context) {
		address, end := receive(ctx)
		e.updateFollowAddress(now)
		gomega.Expect(e.store.followAddress).To(gomega.Equal(address))
		end()
		e.updateFollowAddress(now)
		gomega.Expect(e.store.followAddress).To(gomega.BeEmpty())
	})

	// Guards against an instance that waits six seconds for a peer that is frozen, and catches
	// up from no other meanwhile.
	ginkgo.It("gives the peer that it catches up from no time to wait for changes", func(ctx context.Context) {
		address, queries := startSilentPeer()
		e.peers.Record(now, &lacewingramp.Heartbeat{
			Endpoint: lacewingramp.Endpoint{Name: "other", Domain: "a", Peer: address, StartMillis: 1}, Revision: ahead,
		})
		e.mirror.ApplySnapshot(nil, lacewingramp.Position{Revision: behind})
		e.catchUp(ctx, now)
		e.catchUp(ctx, now.Add(catchUpDelay))
		var query map[int]any
		gomega.Eventually(queries, 5*time.Second).Should(gomega.Receive(&query))
		gomega.Expect(query).NotTo(gomega.HaveKey(queryWait))
	})

	// Guards against an old table that stays in force while a slow peer sends the next one:
	// for up to twenty seconds nothing else was tried as long as bytes arrived.
	ginkgo.It("reads from the store if the reply that is arriving takes long", func(ctx context.Context) {
		_, end := receive(ctx)
		limit := e.startedAt.Add(maxUnconfirmed + e.checkDelay(now))
		gomega.Expect(e.beginStoreCheck(limit)).To(gomega.BeFalse())
		gomega.Expect(e.beginStoreCheck(limit.Add(slowReplyTime))).To(gomega.BeTrue())
		e.store.checking = false
		end()
	})

	ginkgo.It("leaves a followed peer that sends nothing", func(ctx context.Context) {
		e.store.followAddress = "127.0.0.1:1"
		interrupted := false
		e.source(func() { interrupted = true })
		e.catchUp(ctx, now)
		gomega.Expect(interrupted).To(gomega.BeFalse())
		e.catchUp(ctx, now.Add(catchUpDelay))
		gomega.Expect(interrupted).To(gomega.BeTrue())
		gomega.Expect(e.store.followAddress).To(gomega.BeEmpty())
	})
})
