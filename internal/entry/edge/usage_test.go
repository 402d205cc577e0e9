package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/entry/edge"
)

// leaseStore is a store with leases, for the duty of usage reports. lost says that the next
// compare-and-swap takes effect without a response.
type leaseStore struct {
	*store

	leaseMu sync.Mutex
	expiry  map[lacewingramp.LeaseID]time.Time
	keys    map[lacewingramp.LeaseID]string
	ttl     time.Duration
	last    lacewingramp.LeaseID
	lost    int
}

func newLeaseStore(s *store, ttl time.Duration) *leaseStore {
	l := &leaseStore{store: s, expiry: make(map[lacewingramp.LeaseID]time.Time), keys: make(map[lacewingramp.LeaseID]string), ttl: ttl}
	ticker := time.NewTicker(ttl / 20)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				l.leaseMu.Lock()
				l.expire()
				l.leaseMu.Unlock()
			case <-done:
				return
			}
		}
	}()
	ginkgo.DeferCleanup(func() {
		ticker.Stop()
		close(done)
	})
	return l
}

// expire removes the keys of expired leases. The caller must hold leaseMu.
func (s *leaseStore) expire() {
	for id, at := range s.expiry {
		if time.Now().After(at) {
			delete(s.expiry, id)
			if key := s.keys[id]; key != "" {
				s.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key}, Deleted: true})
			}
		}
	}
}

func (s *leaseStore) Get(_ context.Context, key string) (lacewingramp.KeyValue, error) {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	if s.down.Load() {
		return lacewingramp.KeyValue{}, lacewingramp.ErrUnreachable
	}
	s.expire()
	kv := s.keyValue(key)
	kv.Key = key
	return kv, nil
}

func (s *leaseStore) Range(_ context.Context, prefix string) (all []lacewingramp.KeyValue, err error) {
	keyValues, _, err := s.Snapshot(context.Background())
	for _, kv := range keyValues {
		if strings.HasPrefix(kv.Key, prefix) {
			all = append(all, kv)
		}
	}
	return all, err
}

func (s *leaseStore) Delete(_ context.Context, key string) error {
	s.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key}, Deleted: true})
	return nil
}

func (s *leaseStore) GrantLease(context.Context, int64) (lacewingramp.LeaseID, error) {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	s.last++
	s.expiry[s.last] = time.Now().Add(s.ttl)
	return s.last, nil
}

func (s *leaseStore) CompareAndSwapInEpoch(ctx context.Context, key string, value []byte, base int64, lease lacewingramp.LeaseID) (lacewingramp.Position, error) {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	s.expire()
	if _, ok := s.expiry[lease]; lease != 0 && !ok {
		return lacewingramp.Position{}, lacewingramp.ErrLeaseExpired
	}
	revision, err := s.CompareAndSwap(ctx, key, value, base, lease)
	if err != nil {
		return lacewingramp.Position{}, err
	}
	if lease != 0 {
		s.keys[lease] = key
	}
	if s.lost > 0 {
		s.lost--
		return lacewingramp.Position{}, lacewingramp.ErrUnknownOutcome
	}
	return lacewingramp.Position{Revision: revision}, nil
}

func (s *leaseStore) RenewLeaseInEpoch(_ context.Context, id lacewingramp.LeaseID) (int64, error) {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	if s.down.Load() {
		return 0, lacewingramp.ErrUnreachable
	}
	s.expire()
	if _, ok := s.expiry[id]; !ok {
		return 0, lacewingramp.ErrLeaseExpired
	}
	s.expiry[id] = time.Now().Add(s.ttl)
	return 0, nil
}

// usagePlatform records the reports of all instances. lost is the number of calls that it
// takes without a response.
type usagePlatform struct {
	mu    sync.Mutex
	calls []usageCall
	lost  int
}

type usageCall struct {
	sender string
	token  int64
	window int64
	body   string
	at     time.Time
}

// sender is the platform as one instance sees it.
type sender struct {
	*usagePlatform
	name string
}

func (sender) EncodeReport(window int64, counts map[string]uint64) ([]byte, error) {
	return json.Marshal(map[string]any{"window": window, "counts": counts})
}

type usageBody struct {
	Window int64             `json:"window"`
	Counts map[string]uint64 `json:"counts"`
}

func (s sender) SendReport(_ context.Context, call lacewingramp.UsageCall) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b usageBody
	if err := json.Unmarshal(call.Body, &b); err != nil || !call.MayWrite() {
		return lacewingramp.ErrUnreachable
	}
	s.calls = append(s.calls, usageCall{sender: s.name, token: call.Token, window: b.Window, body: string(call.Body), at: time.Now()})
	if s.lost > 0 {
		s.lost--
		return lacewingramp.ErrUnknownOutcome
	}
	return nil
}

// check expects that the platform has got one report for each window, tokens that do not
// decrease, and each token from one instance.
func (s *usagePlatform) check() (windows map[int64]usageBody, senders []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	windows = make(map[int64]usageBody)
	bodies, holders, last := make(map[int64]string), make(map[int64]string), int64(0)
	for _, c := range s.calls {
		gomega.Expect(c.token).To(gomega.BeNumerically(">=", last))
		last = c.token
		if known, ok := bodies[c.window]; ok {
			gomega.Expect(c.body).To(gomega.Equal(known), "window %d", c.window)
		}
		if known, ok := holders[c.token]; ok {
			gomega.Expect(c.sender).To(gomega.Equal(known))
		} else {
			senders = append(senders, c.sender)
		}
		bodies[c.window], holders[c.token] = c.body, c.sender
		var b usageBody
		gomega.Expect(json.Unmarshal([]byte(c.body), &b)).To(gomega.Succeed())
		windows[c.window] = b
	}
	return windows, senders
}

const (
	testWindow   = time.Second
	testMaxDelay = 8 * time.Second
	testLease    = time.Second
)

var _ = ginkgo.Describe("usage reports", func() {
	newFleet := func() (*deployment, *leaseStore, *usagePlatform) {
		d := newDeployment(2)
		d.store.put("table/1", testTable(1))
		s, p := newLeaseStore(d.store, testLease), &usagePlatform{}
		d.usage = func(name string) (*edge.UsageSettings, *edge.UsageDependencies) {
			return &edge.UsageSettings{Window: testWindow, MaxDelay: testMaxDelay, Lease: testLease, CallsPerSecond: 50},
				&edge.UsageDependencies{Store: s, Platform: sender{p, name}, Now: func() time.Time { return time.Now().Round(0) }}
		}
		return d, s, p
	}
	total := func(p *usagePlatform) func() uint64 {
		return func() (n uint64) {
			windows, _ := p.check()
			for _, b := range windows {
				n += b.Counts["andes"]
			}
			return n
		}
	}
	get := func(d *deployment, i, n int) {
		for range n {
			gomega.Expect(d.request(i, "/read/1", "andes-key", "").status).To(gomega.Equal(200))
		}
	}

	// Guards against requests that are not reported, or twice, over all instances, also if
	// responses of the store and of the platform are lost and the holder changes.
	ginkgo.It("count each request once, whoever is the holder", func() {
		d, s, p := newFleet()
		s.lost, p.lost = 3, 2
		for range 3 {
			d.start(d.store)
		}
		gomega.Eventually(func() bool { return d.edges[0].Ready() && d.edges[1].Ready() && d.edges[2].Ready() }, "5s").Should(gomega.BeTrue())
		for i := range 3 {
			get(d, i, 10)
		}
		gomega.Eventually(total(p), "15s", "100ms").Should(gomega.BeEquivalentTo(30))
		_, senders := p.check()
		holder := senders[len(senders)-1]
		for i := range d.edges {
			if fmt.Sprint("edge-", i) == holder {
				d.stops[i]()
				<-d.exited[i]
			}
		}
		for i := range d.edges {
			if fmt.Sprint("edge-", i) != holder {
				get(d, i, 10)
			}
		}
		gomega.Eventually(total(p), "20s", "100ms").Should(gomega.BeEquivalentTo(50))
		_, senders = p.check()
		gomega.Expect(senders[len(senders)-1]).NotTo(gomega.Equal(holder))
	})

	// Guards against a holder that reports while the store is down longer than its lease.
	ginkgo.It("stop while the store is down, and go on afterwards", func() {
		d, _, p := newFleet()
		d.start(d.store)
		gomega.Eventually(func() int { p.mu.Lock(); defer p.mu.Unlock(); return len(p.calls) }, "10s").Should(gomega.BeNumerically(">", 0))
		d.store.down.Store(true)
		time.Sleep(2 * testLease)
		p.mu.Lock()
		before := len(p.calls)
		p.mu.Unlock()
		time.Sleep(2 * testLease)
		windows, _ := p.check()
		gomega.Expect(p.calls).To(gomega.HaveLen(before))
		d.store.down.Store(false)
		gomega.Eventually(func() int { w, _ := p.check(); return len(w) }, "10s").Should(gomega.BeNumerically(">", len(windows)+4))
	})
})
