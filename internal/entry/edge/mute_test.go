package edge_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// mutableStore is one instance's way to the store, which can fall silent: calls that wait
// for changes then hang until the instance ends them, and others for muteTimeout.
type mutableStore struct {
	*store
	muted atomic.Bool
	// watchedAt is when the instance last began to wait for changes, in milliseconds since
	// 1970.
	watchedAt atomic.Int64
	// reads counts its reads of changes without a wait.
	reads atomic.Int32
}

// watches reports whether the instance has waited for changes in the last two seconds, in
// which a watcher does so several times.
func (s *mutableStore) watches() bool {
	return time.Since(time.UnixMilli(s.watchedAt.Load())) < 2*time.Second
}

const muteTimeout = 500 * time.Millisecond

func (s *mutableStore) Changes(ctx context.Context, after lacewingramp.Position, wait time.Duration) ([]lacewingramp.Change, lacewingramp.Position, error) {
	if wait > 0 {
		s.watchedAt.Store(time.Now().UnixMilli())
	} else {
		s.reads.Add(1)
	}
	changes, position, err := s.store.Changes(ctx, after, wait)
	if s.muted.Load() {
		return nil, after, s.hang(ctx, wait > 0)
	}
	return changes, position, err
}

func (s *mutableStore) RenewLease(ctx context.Context, id lacewingramp.LeaseID) error {
	if s.muted.Load() {
		return s.hang(ctx, false)
	}
	return s.store.RenewLease(ctx, id)
}

// hang waits until the call is ended, or for muteTimeout unless it hangs forever.
func (s *mutableStore) hang(ctx context.Context, forever bool) error {
	var timeout <-chan time.Time
	if !forever {
		timeout = time.After(muteTimeout)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout:
		return lacewingramp.ErrUnknownOutcome
	}
}

var _ = ginkgo.Describe("a deployment whose watchers of the store lose it in silence", func() {
	// Guards against instances that wait for a peer that has lost the store, while their own
	// way to it is open.
	ginkgo.It("has the next table at all instances that reach the store, and reads it from there in doubt", func() {
		const instances = 6
		d := newDeployment(2)
		d.store.put("table/t", testTable(1))
		var stores []*mutableStore
		for range instances {
			s := &mutableStore{store: d.store}
			stores = append(stores, s)
			gomega.Eventually(d.start(s).Ready, 5*time.Second).Should(gomega.BeTrue())
		}
		watchers := func() (list []*mutableStore) {
			for _, s := range stores {
				if s.watches() {
					list = append(list, s)
				}
			}
			return list
		}
		for _, s := range stores {
			// Each has watched the store until it knew the others.
			gomega.Eventually(s.watchedAt.Load, 20*time.Second).ShouldNot(gomega.BeZero())
		}
		gomega.Eventually(func() int { return len(watchers()) }, 20*time.Second).Should(gomega.Equal(2))
		for _, s := range watchers() {
			s.muted.Store(true)
		}
		table := testTable(2)
		table.Routes[2].Prefix = "/new/"
		d.store.put("table/t", table)
		for i, s := range stores {
			if s.muted.Load() {
				continue
			}
			gomega.Eventually(func() int { return d.request(i, "/new/1", "", "1").status }, 20*time.Second).Should(gomega.Equal(http.StatusOK))
		}
		reads := int32(0)
		for _, s := range stores {
			reads += s.reads.Load()
		}
		gomega.Expect(reads).To(gomega.BeNumerically(">", 0))
	})
})
