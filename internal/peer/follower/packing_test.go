package follower

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// plainQuery and plainReply are the messages of programs that do not pack values.
type plainQuery struct {
	After   int64 `cbor:"1,keyasint"`
	AllKeys bool  `cbor:"2,keyasint,omitempty"`
}

type plainReply struct {
	Changes  []lacewingramp.Change `cbor:"1,keyasint,omitempty"`
	Revision int64                 `cbor:"2,keyasint"`
}

// changeSource is a Source of a list of changes.
type changeSource struct {
	fixedSource
	changes []lacewingramp.Change
}

func (s changeSource) Snapshot() ([]lacewingramp.KeyValue, lacewingramp.Position) {
	var keyValues []lacewingramp.KeyValue
	for _, c := range s.changes {
		if !c.Deleted {
			keyValues = append(keyValues, c.KeyValue)
		}
	}
	return keyValues, s.position()
}

func (s changeSource) Since(lacewingramp.Position) ([]lacewingramp.Change, lacewingramp.Position, bool) {
	return s.changes, s.position(), true
}

func (s changeSource) position() lacewingramp.Position { return s.changes[len(s.changes)-1].Position() }

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// largeTable returns a table of 1,400 routes with random names, about 320 KB.
func largeTable() []byte {
	const (
		routes   = 1400
		services = 40
	)
	r := rand.New(rand.NewPCG(1, 2))
	word := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[r.IntN(36)]
		}
		return string(b)
	}
	name := func() string { return word(4) + fmt.Sprint(r.IntN(300)) }
	var names, policy, clusters []string
	for range services {
		n := name() + "a"
		names = append(names, n)
		clusters = append(clusters, fmt.Sprintf(`{"name":"%s","healthPath":"/health","maxConns":330,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":7.3}`, n))
	}
	for i := range routes {
		policy = append(policy, fmt.Sprintf(`{"name":"r-%s","routeType":"%s","targetLatencyS":0.25,"priority":%d,"public":false,"affinity":%t,"match":{"prefix":"/%s/%s/"},"action":{"service":"%s","timeoutS":1.2,"maxAttempts":2,"allowedRegions":[]}}`,
			word(7), []string{"safe", "unsafe"}[r.IntN(2)], r.IntN(3), i%2 == 0, name(), name(), names[r.IntN(services)]))
	}
	return []byte(`{"version":"r7","limits":{"maxHeaderBytes":16384},"listeners":[{"host":"jepu9.example","policy":[` +
		strings.Join(policy, ",") + `]}],"clusters":[` + strings.Join(clusters, ",") + `]}`)
}

// serveCounted returns a feed of a source, and the count of the bytes that it reads.
func serveCounted(s Source) (*ChangeFeed, *atomic.Int64) {
	read := new(atomic.Int64)
	f := &ChangeFeed{conn: countedConn{Conn: serveSlowly(s, maxReplyBytes, 0), read: read}}
	ginkgo.DeferCleanup(f.Close)
	return f, read
}

var _ = ginkgo.Describe("large values", func() {
	source := changeSource{changes: []lacewingramp.Change{
		{KeyValue: lacewingramp.KeyValue{Key: "small", Value: []byte("v"), Revision: 1, Lease: 3}},
		{KeyValue: lacewingramp.KeyValue{Key: "table", Value: largeTable(), Revision: 2, Lease: 4}},
		{KeyValue: lacewingramp.KeyValue{Key: "gone", Revision: 3}, Deleted: true},
	}}

	// Guards against a table that takes longer than half a second to six followers of
	// a link of 10 Mbit/s: 625 KB, so 104 KB for each.
	ginkgo.It("cost a third of their length on the wire at most", func(ctx context.Context) {
		const (
			linkBytesPerSecond = 10_000_000 / 8
			followers          = 6
			maxBytes           = linkBytesPerSecond / 2 / followers
		)
		f, read := serveCounted(source)
		_, _, err := f.Snapshot(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(read.Load()).To(gomega.BeNumerically("<=", maxBytes))
		read.Store(0)
		_, _, err = f.Changes(ctx, lacewingramp.Position{}, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(read.Load()).To(gomega.BeNumerically("<=", maxBytes))
	})

	// Guards against a loss of content by packing.
	ginkgo.It("arrive as they are in the source", func(ctx context.Context) {
		f, _ := serveCounted(source)
		keyValues, position, err := f.Snapshot(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		want, at := source.Snapshot()
		gomega.Expect(keyValues).To(gomega.Equal(want))
		gomega.Expect(position).To(gomega.Equal(at))
		changes, position, err := f.Changes(ctx, lacewingramp.Position{}, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(changes).To(gomega.Equal(source.changes))
		gomega.Expect(position).To(gomega.Equal(at))
	})

	// Guards against packed values for a follower that can't read them.
	ginkgo.It("arrive at a follower of an older program", func() {
		c := serveSlowly(source, maxReplyBytes, 0)
		gomega.Expect(cbor.NewEncoder(c).Encode(plainQuery{})).To(gomega.Succeed())
		var r plainReply
		gomega.Expect(cbor.NewDecoder(c).Decode(&r)).To(gomega.Succeed())
		gomega.Expect(r).To(gomega.Equal(plainReply{Changes: source.changes, Revision: 3}))
	})

	// Guards against a follower that can't read from an older program.
	ginkgo.It("arrive from a peer of an older program", func(ctx context.Context) {
		client, peer := net.Pipe()
		f := &ChangeFeed{conn: client}
		ginkgo.DeferCleanup(f.Close)
		go func() {
			var q plainQuery
			_ = cbor.NewDecoder(peer).Decode(&q)
			_ = cbor.NewEncoder(peer).Encode(plainReply{Changes: source.changes, Revision: 3})
		}()
		changes, position, err := f.Changes(ctx, lacewingramp.Position{}, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(changes).To(gomega.Equal(source.changes))
		gomega.Expect(position).To(gomega.Equal(lacewingramp.Position{Revision: 3}))
	})

	// Guards against a crash, or a wrong or endless value, by what a peer sends.
	ginkgo.DescribeTable("that cannot be unpacked fail the call",
		func(ctx context.Context, damage func(packed []byte) []byte) {
			packed, err := pack(largeTable())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			change := wireChange{Packed: damage(packed)}
			change.Key = "table"
			f := &ChangeFeed{limits: limits{replyBytes: 2 * int64(len(largeTable()))}}
			peer, result := call(ctx, f)
			go func() { _ = cbor.NewEncoder(peer).Encode(reply{Changes: []wireChange{change, change, change}}) }()
			gomega.Eventually(result, 10*time.Second).Should(gomega.Receive(gomega.MatchError(gomega.ContainSubstring("unpack a peer's reply"))))
			gomega.Expect(f.conn).To(gomega.BeNil())
		},
		ginkgo.Entry("cut short", func(p []byte) []byte { return p[:len(p)/2] }),
		ginkgo.Entry("changed on the way", func(p []byte) []byte {
			damaged := append([]byte(nil), p...)
			damaged[len(p)/2] ^= 0xff
			return damaged
		}),
		ginkgo.Entry("not packed at all", func([]byte) []byte { return []byte("plain") }),
		ginkgo.Entry("too long together", func(p []byte) []byte { return p }),
	)

	// Guards against a small packed value that fills a follower's memory.
	ginkgo.It("are unpacked to a bounded length", func() {
		packed, err := pack(make([]byte, maxPackedBytes+1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = unpack(packed)
		gomega.Expect(err).To(gomega.MatchError(zstd.ErrDecoderSizeExceeded))
	})
})

var _ = ginkgo.Describe("a packer", func() {
	keyValue := func(revision int64, value []byte) lacewingramp.KeyValue {
		return lacewingramp.KeyValue{Key: "k", Value: value, Revision: revision}
	}
	large := func(b byte) []byte { return bytes.Repeat([]byte{b}, minPackedBytes) }
	packed := func(p *packer, kv lacewingramp.KeyValue) []byte {
		changes := []wireChange{{Change: lacewingramp.Change{KeyValue: kv}}}
		p.packChanges(changes)
		return changes[0].Packed
	}

	// Guards against packing a table once for each follower.
	ginkgo.It("packs a revision of a key once", func() {
		var p packer
		first := packed(&p, keyValue(2, large('a')))
		gomega.Expect(&packed(&p, keyValue(2, large('a')))[0]).To(gomega.BeIdenticalTo(&first[0]))
		packed(&p, keyValue(1, large('b')))
		gomega.Expect(&packed(&p, keyValue(2, large('a')))[0]).To(gomega.BeIdenticalTo(&first[0]), "an older change has replaced it")
	})

	// Guards against an old value in place of the new one.
	ginkgo.It("packs a changed value anew", func() {
		var p packer
		first := packed(&p, keyValue(1, large('a')))
		gomega.Expect(packed(&p, keyValue(2, large('b')))).NotTo(gomega.Equal(first))
		same := packed(&p, keyValue(2, large('c')))
		gomega.Expect(unpack(same)).To(gomega.Equal(large('c')), "after a store was replaced by one with the same revisions")
		gomega.Expect(p.values).To(gomega.HaveLen(1))
	})

	// Guards against keeping values that are no longer in the store.
	ginkgo.It("keeps no value of a key that has become small, was deleted or is not in a snapshot", func() {
		var p packer
		packed(&p, keyValue(1, large('a')))
		gomega.Expect(packed(&p, keyValue(2, []byte("small")))).To(gomega.BeNil())
		gomega.Expect(p.values).To(gomega.BeEmpty())
		packed(&p, keyValue(3, large('a')))
		p.packChanges([]wireChange{{Change: lacewingramp.Change{KeyValue: keyValue(4, nil), Deleted: true}}})
		gomega.Expect(p.values).To(gomega.BeEmpty())
		packed(&p, keyValue(5, large('a')))
		p.retain([]wireChange{{Change: lacewingramp.Change{KeyValue: keyValue(5, large('a'))}}})
		gomega.Expect(p.values).To(gomega.HaveLen(1))
		p.retain(nil)
		gomega.Expect(p.values).To(gomega.BeEmpty())
	})

	// Guards against a value that grows by packing.
	ginkgo.It("leaves a value plain that does not shrink", func() {
		var p packer
		random := make([]byte, minPackedBytes)
		_, _ = rand.NewChaCha8([32]byte{}).Read(random)
		gomega.Expect(packed(&p, keyValue(1, random))).To(gomega.BeNil())
	})
})

func BenchmarkPack(b *testing.B) {
	table := largeTable()
	packed, err := pack(table)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("pack", func(b *testing.B) {
		for b.Loop() {
			_, _ = pack(table)
		}
		b.ReportMetric(float64(len(packed)), "packed-bytes")
	})
	b.Run("unpack", func(b *testing.B) {
		for b.Loop() {
			_, _ = unpack(packed)
		}
	})
}
