package etcd_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/examples"
	"lacewingramp.example/lacewingramp/internal/config/sheet"
	"lacewingramp.example/lacewingramp/internal/config/tablestore"
	"lacewingramp.example/lacewingramp/internal/platform/etcd"
	"lacewingramp.example/lacewingramp/internal/platform/gateway"
	"lacewingramp.example/lacewingramp/internal/platform/memory"
)

var _ = ginkgo.Describe("the etcd client", func() {
	var m *memory.Store
	var c *etcd.Client
	ginkgo.BeforeEach(func() {
		m = &memory.Store{}
		s := httptest.NewServer(gateway.New(m))
		ginkgo.DeferCleanup(s.Close)
		c = &etcd.Client{Address: s.URL}
	})

	ginkgo.It("writes, reads, lists and deletes keys", func(ctx context.Context) {
		one, err := c.CompareAndSwap(ctx, "a/1", []byte("x"), 0, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = c.CompareAndSwap(ctx, "a/1", []byte("y"), 0, 0)
		gomega.Expect(err).To(gomega.MatchError(lacewingramp.ErrConflict))
		_, err = c.CompareAndSwap(ctx, "a/1", []byte("z"), one, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		i, err := c.Get(ctx, "a/1")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(i.Value)).To(gomega.Equal("z"))
		_, err = c.CompareAndSwap(ctx, "b", []byte("other"), 0, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		all, err := c.Range(ctx, "a/")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(all).To(gomega.HaveLen(1))
		gomega.Expect(c.Delete(ctx, "a/1")).To(gomega.Succeed())
		gomega.Expect(c.Revision(ctx, "a/1")).To(gomega.BeZero())
	})

	ginkgo.It("deletes the keys of a lease that expires", func(ctx context.Context) {
		id, err := c.GrantLease(ctx, 60)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = c.CompareAndSwap(ctx, "i/1", []byte("x"), 0, id)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.RenewLease(ctx, id)).To(gomega.Succeed())
		m.SetFaults(memory.Faults{ExpireLeases: true})
		m.SetFaults(memory.Faults{})
		gomega.Expect(c.RenewLease(ctx, id)).To(gomega.MatchError(lacewingramp.ErrLeaseExpired))
		gomega.Expect(c.Range(ctx, "i/")).To(gomega.BeEmpty())
	})

	ginkgo.It("distinguishes a failed call from a write that may have taken effect", func(ctx context.Context) {
		m.SetFaults(memory.Faults{Unavailable: true})
		_, err := c.Get(ctx, "a")
		gomega.Expect(err).To(gomega.MatchError(lacewingramp.ErrUnreachable))
		m.SetFaults(memory.Faults{LostResponses: 1})
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err = c.CompareAndSwap(short, "a", []byte("x"), 0, 0)
		gomega.Expect(err).To(gomega.MatchError(lacewingramp.ErrUnknownOutcome))
		gomega.Expect(c.Revision(ctx, "a")).NotTo(gomega.BeZero())
	})

	ginkgo.It("watches from a revision, with one call per watch", func(ctx context.Context) {
		first, err := c.CompareAndSwap(ctx, "a", []byte("x"), 0, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		seen := make(chan lacewingramp.Change, 10)
		watch, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() { _ = c.Watch(watch, "a", 0, func(c lacewingramp.Change) { seen <- c }) }()
		gomega.Eventually(seen, "30s").Should(gomega.Receive(gomega.HaveField("Revision", first)))
		_, err = c.CompareAndSwap(ctx, "a", []byte("y"), first, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(seen, "30s").Should(gomega.Receive(gomega.HaveField("Value", []byte("y"))))
		gomega.Expect(m.Calls().Watches).To(gomega.Equal(int64(1)))
	})

	// Guards against running out of memory by a store, or whatever answers in its place, that
	// sends an event without end.
	ginkgo.It("ends a watch whose event has no end", func(ctx context.Context) {
		const flood, block = 128 << 20, 64 << 10
		var sent atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write([]byte(`{"result":{"events":[{"kv":{"value":"`))
			for b := bytes.Repeat([]byte("A"), block); err == nil && sent.Load() < flood; sent.Add(block) {
				_, err = w.Write(b)
			}
		}))
		ginkgo.DeferCleanup(s.Close)
		err := (&etcd.Client{Address: s.URL}).Watch(ctx, "a", 0, func(lacewingramp.Change) {})
		gomega.Expect(err).To(gomega.MatchError(lacewingramp.ErrUnreachable))
		gomega.Expect(sent.Load()).To(gomega.BeNumerically("<", flood))
	})

	ginkgo.It("keeps the audit trail in the table and rejects an outdated base revision", func(ctx context.Context) {
		t, err := sheet.Decode("t.csv", bytes.NewReader(examples.Kavach))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ts := &tablestore.TableStore{Store: c}
		one, err := ts.Put(ctx, t, tablestore.Commit{Operator: "ana"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(one.Split).To(gomega.Equal(int64(1)))
		t.Customers[0].Rate++
		two, err := ts.Put(ctx, t, tablestore.Commit{Operator: "ravi", Base: 1})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(two.Split).To(gomega.Equal(int64(1)))
		gomega.Expect(two.AuditTrail.Edits).To(gomega.HaveLen(2))
		gomega.Expect(two.AuditTrail.Edits[1].Lines).To(gomega.HaveLen(2))
		_, err = ts.Put(ctx, t, tablestore.Commit{Operator: "ana", Base: 1})
		gomega.Expect(err).To(gomega.MatchError(tablestore.ErrOutdatedBase))
	})
})
