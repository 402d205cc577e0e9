package duty_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/duty"
)

const (
	lease  = 3 * time.Second
	margin = 500 * time.Millisecond
)

var start = time.Unix(1_800_000_000, 0)

func newHolder() *duty.Holder {
	return &duty.Holder{Lease: lease, Margin: margin, StartedAt: start}
}

// acquire makes h the holder by a write at a position, and returns the time after its quiet time.
func acquire(h *duty.Holder, at time.Time, p lacewingramp.Position) time.Time {
	h.Granted(at, at, 7, p.Epoch)
	h.Written(at, p)
	gomega.Expect(h.ReadBack(at, lacewingramp.KeyValue{Revision: p.Revision, Epoch: p.Epoch}, true)).To(gomega.BeTrue())
	for t := at; t.Before(at.Add(lease)); t = t.Add(time.Second) {
		h.Renewed(t, t, p.Epoch)
	}
	return at.Add(lease)
}

func mayAct(h *duty.Holder, at time.Time) bool {
	_, ok := h.MayAct(at)
	return ok
}

var _ = ginkgo.Describe("Holder", func() {
	// Guards against a holder that acts while the former one still may.
	ginkgo.It("acts after a quiet time of a lease, until its lease less the margin is over", func() {
		h := newHolder()
		at := acquire(h, start, lacewingramp.Position{Epoch: 2, Revision: 9})
		gomega.Expect(mayAct(h, at.Add(-time.Millisecond))).To(gomega.BeFalse())
		token, ok := h.MayAct(at)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(token).To(gomega.Equal(int64(2<<40 | 9)))
		gomega.Expect(mayAct(h, at.Add(-time.Second).Add(lease-margin))).To(gomega.BeFalse())
	})

	// Guards against a holder that counts its lease from the response to a renewal that the store
	// took effect of long before.
	ginkgo.It("counts the lease from when the renewal was sent", func() {
		h := newHolder()
		at := acquire(h, start, lacewingramp.Position{Epoch: 1, Revision: 9})
		h.Renewed(at, at.Add(time.Second), 1)
		gomega.Expect(h.ValidUntil()).To(gomega.Equal(at.Add(lease - margin)))
	})

	// Guards against a holder paused between check and send for longer than its lease, which
	// would go on as if nothing had happened.
	ginkgo.It("does not act after a pause longer than its lease, until the store still has its key", func() {
		h := newHolder()
		p := lacewingramp.Position{Epoch: 1, Revision: 9}
		at := acquire(h, start, p)
		gomega.Expect(mayAct(h, at)).To(gomega.BeTrue())
		at = at.Add(2 * lease)
		gomega.Expect(mayAct(h, at)).To(gomega.BeFalse())
		gomega.Expect(h.Renewed(at, at, 1)).To(gomega.BeTrue())
		gomega.Expect(mayAct(h, at)).To(gomega.BeFalse())
		gomega.Expect(h.ReadBack(at, lacewingramp.KeyValue{Revision: 9, Epoch: 1}, true)).To(gomega.BeTrue())
		gomega.Expect(mayAct(h, at)).To(gomega.BeTrue())
		at = at.Add(2 * lease)
		gomega.Expect(h.Renewed(at, at, 1)).To(gomega.BeTrue())
		gomega.Expect(h.ReadBack(at, lacewingramp.KeyValue{Revision: 12, Epoch: 1}, false)).To(gomega.BeFalse())
		gomega.Expect(h.State(at)).To(gomega.Equal(duty.StateIdle))
	})

	// Guards against two holders with the same token, as a restored store issues revisions again.
	ginkgo.It("renounces as soon as another epoch is seen", func() {
		h := newHolder()
		at := acquire(h, start, lacewingramp.Position{Epoch: 1, Revision: 9})
		h.Renewed(at, at, 2)
		gomega.Expect(mayAct(h, at)).To(gomega.BeFalse())
		gomega.Expect(h.State(at)).To(gomega.Equal(duty.StateIdle))
		// Responses from before the restoration do not bring it back.
		h.Renewed(at, at, 1)
		gomega.Expect(mayAct(h, at)).To(gomega.BeFalse())
	})

	// Guards against an acquisition of which a part was lost with the store's later state.
	ginkgo.DescribeTable("is not acquired", func(written lacewingramp.Position, kv lacewingramp.KeyValue, own bool) {
		h := newHolder()
		h.Granted(start, start, 7, 1)
		if written.Revision > 0 {
			h.Written(start, written)
		}
		gomega.Expect(h.ReadBack(start, kv, own)).To(gomega.BeFalse())
		gomega.Expect(h.State(start)).To(gomega.Equal(duty.StateIdle))
	},
		ginkgo.Entry("if the key is absent", lacewingramp.Position{}, lacewingramp.KeyValue{Epoch: 1}, false),
		ginkgo.Entry("if another instance has written it", lacewingramp.Position{}, lacewingramp.KeyValue{Epoch: 1, Revision: 9}, false),
		ginkgo.Entry("if the store was restored after the write", lacewingramp.Position{Epoch: 1, Revision: 9}, lacewingramp.KeyValue{Epoch: 2, Revision: 9}, true),
		ginkgo.Entry("if the store was restored during the write", lacewingramp.Position{Epoch: 2, Revision: 9}, lacewingramp.KeyValue{Epoch: 2, Revision: 9}, true),
		ginkgo.Entry("if the write is another one", lacewingramp.Position{Epoch: 1, Revision: 9}, lacewingramp.KeyValue{Epoch: 1, Revision: 8}, true),
	)

	// Guards against windows that two holders report differently, the first of them in the epoch
	// that is lost.
	ginkgo.It("knows from when on no holder of an earlier epoch has acted", func() {
		other := newHolder()
		other.ObserveEpoch(start, 1)
		gomega.Expect(other.ClearFrom()).To(gomega.BeTemporally(">", start.Add(lease)))
		at := start.Add(time.Minute)
		other.ObserveEpoch(at, 2)
		gomega.Expect(other.ClearFrom()).To(gomega.BeTemporally(">", at.Add(lease)))

		h := newHolder()
		acted := acquire(h, start.Add(10*time.Second), lacewingramp.Position{Epoch: 1, Revision: 9})
		for t := acted; !t.After(at); t = t.Add(time.Second) {
			h.Renewed(t, t, 1)
		}
		h.ObserveEpoch(at, 2)
		gomega.Expect(h.ClearFrom()).To(gomega.BeTemporally("~", acted, 2*time.Second))

		started := newHolder()
		started.StartedAt = at.Add(time.Hour)
		started.ObserveEpoch(at.Add(time.Hour), 2)
		started.LearnEpochFrom(1, start)
		gomega.Expect(started.ClearFrom()).To(gomega.BeTemporally(">", at.Add(time.Hour)), "it is of another epoch")
		started.LearnEpochFrom(2, other.EpochFrom())
		gomega.Expect(started.ClearFrom()).To(gomega.Equal(other.EpochFrom()))

		late := newHolder()
		acquire(late, start.Add(10*time.Second), lacewingramp.Position{Epoch: 1, Revision: 9})
		late.ObserveEpoch(at, 2)
		gomega.Expect(late.ClearFrom()).To(gomega.BeTemporally(">", at.Add(lease)), "others may have held the duty meanwhile")
	})
})
