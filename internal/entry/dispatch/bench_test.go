package dispatch

import (
	"fmt"
	"testing"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/index"
	"lacewingramp.example/lacewingramp/internal/entry/state"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// BenchmarkDecision measures the decisions of an instance for one request: it looks
// up the customer of the key, enforces its limit and chooses a target. A decision may
// take at most 2 µs and must not allocate.
func BenchmarkDecision(b *testing.B) {
	d := newDecision(b)
	b.ReportAllocs()
	for b.Loop() {
		d.run()
	}
}

// TestDecisionAllocations checks that a decision does not allocate.
func TestDecisionAllocations(t *testing.T) {
	d := newDecision(t)
	if n := testing.AllocsPerRun(1000, d.run); n > 0 {
		t.Errorf("%g allocations per decision", n)
	}
}

const key = "secret"

// decision is the state of an instance that holds all shards, and a request.
type decision struct {
	tb      testing.TB
	state   *state.State
	index   *index.Index
	subject lacewingramp.Subject
	request slot.Request
	now     time.Time
}

func newDecision(tb testing.TB) *decision {
	t := &lacewingramp.Table{
		Regions:   []lacewingramp.Region{{Name: "uruguay", Timezone: "UTC"}},
		Domains:   []lacewingramp.Domain{{Name: "uy1", Region: "uruguay", Weight: 1}},
		Services:  []lacewingramp.Service{{Name: "recipes"}},
		Customers: []lacewingramp.Customer{{Name: "andes", Rate: 1e7, Burst: 1e7}},
		Keys:      []lacewingramp.AccessKey{{Name: "k", Customer: "andes", Hash: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}},
	}
	for i := range 12 {
		t.Targets = append(t.Targets, lacewingramp.Target{
			Name: fmt.Sprintf("t%d", i), Service: "recipes", Domain: "uy1", Version: "v", Slots: 8, Address: "127.0.0.1:1",
		})
	}
	tableIndex := index.New(t)
	s := state.New(lacewingramp.Endpoint{Name: "a", Domain: "uy1"}, nil, 1)
	now := time.Unix(1_800_000_000, 0)
	s.AssignmentKnown = true
	s.Assignment.DomainShares = quota.DomainShares{Customers: lacewingramp.WholeLimit, Caps: lacewingramp.WholeLimit, Region: "uruguay"}
	s.ApplyTable(now, tableIndex)
	for n := range quota.Shards {
		s.Hold(now, n, 1, lacewingramp.ShardTransfer{})
	}
	s.Quota.Tick(now)
	return &decision{
		tb: tb, state: s, index: tableIndex, now: now,
		subject: lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: "andes"},
		request: slot.Request{Ticket: 1, Service: "recipes", Customer: "andes", Weight: 1},
	}
}

func (d *decision) run() {
	d.now = d.now.Add(time.Millisecond)
	if _, ok := d.index.Customer(key); !ok {
		d.tb.Fatal("unknown key")
	}
	d.state.Lock()
	defer d.state.Unlock()
	d.state.Quota.Tick(d.now)
	if err := d.state.Quota.Take(d.now, d.subject); err != nil {
		d.tb.Fatal(err)
	}
	r := d.request
	r.Version, r.Fallback = d.state.Rollouts.Choose(d.now, r.Service, "")
	g, ok := d.state.Pool.Acquire(d.now, r)
	if !ok {
		d.tb.Fatal("no slot")
	}
	d.state.Pool.Release(d.now, g, slot.OutcomeResponded)
}
