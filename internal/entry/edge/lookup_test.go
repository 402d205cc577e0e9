package edge

import (
	"fmt"
	"testing"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/timer/manual"
)

// newEdgeWithPeers returns an instance that has received heartbeats from count others
// in two regions.
func newEdgeWithPeers(count int) (*Edge, *manual.Timer) {
	t := manual.New(time.Unix(1_800_000_000, 0))
	e := New(Settings{
		Name: "edge-0", Domain: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "south"},
		CallerAddress: "127.0.0.1:1000", Peer: "127.0.0.1:1", MaxLookupTTL: 5 * time.Second, CPUs: 0.1,
	}, Dependencies{Timer: t})
	e.ready.Store(true)
	for i := 1; i <= count; i++ {
		e.peers.Record(t.Now(), heartbeatOf(i))
	}
	return e, t
}

func heartbeatOf(i int) *lacewingramp.Heartbeat {
	return &lacewingramp.Heartbeat{Ready: true, RequestRate: 100, Endpoint: lacewingramp.Endpoint{
		Name: fmt.Sprint("edge-", i), Domain: [...]string{"a", "b"}[i%2], Peer: "127.0.0.1:1",
		Caller: fmt.Sprint("127.0.0.1:", 1000+i), Capacity: 100,
	}}
}

func lookupAddresses(e *Edge, region string) map[string]bool {
	all, _ := e.Lookup("h", region)
	found := make(map[string]bool)
	for _, a := range all {
		found[a] = true
	}
	return found
}

func TestLookupReturnsInstancesOfRegion(t *testing.T) {
	e, _ := newEdgeWithPeers(5)
	for region, want := range map[string]int{"north": 3, "south": 3, "": 6, "elsewhere": 6} {
		for range 2 {
			if got := len(lookupAddresses(e, region)); got != want {
				t.Errorf("lookup in %q returns %d instances, want %d", region, got, want)
			}
		}
	}
}

func TestLookupFollowsHeartbeatsAtOnce(t *testing.T) {
	e, _ := newEdgeWithPeers(5)
	lookupAddresses(e, "north")
	leaving := heartbeatOf(2)
	leaving.Endpoint.Leaving = true
	e.handleHeartbeat(leaving)
	if lookupAddresses(e, "north")["127.0.0.1:1002"] {
		t.Error("a leaving instance is returned")
	}
	e.handleHeartbeat(heartbeatOf(6))
	if !lookupAddresses(e, "north")["127.0.0.1:1006"] {
		t.Error("a new instance is not returned")
	}
	e.stopping.Store(true)
	if lookupAddresses(e, "north")["127.0.0.1:1000"] {
		t.Error("a stopping instance returns itself")
	}
}

func TestLookupOmitsSilentInstances(t *testing.T) {
	e, clock := newEdgeWithPeers(5)
	lookupAddresses(e, "south")
	clock.Advance(time.Minute)
	if got := len(lookupAddresses(e, "south")); got != 1 {
		t.Errorf("%d instances are returned after a minute without heartbeats, want only this one", got)
	}
}

// Lookups are far more frequent than changes of the fleet. Computing the result for
// each one would overload the instances of a large fleet.
func TestLookupIsCached(t *testing.T) {
	e, _ := newEdgeWithPeers(1600)
	const maxAllocations = 4
	if n := testing.AllocsPerRun(100, func() { e.Lookup("h", "north") }); n > maxAllocations {
		t.Errorf("a lookup among 1,600 instances allocates %g times, want at most %d", n, maxAllocations)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{8, 82, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e, _ := newEdgeWithPeers(n - 1)
			b.ReportAllocs()
			for b.Loop() {
				e.Lookup("h", "north")
			}
		})
	}
}

// Guards against callers that fill the memory with regions that don't exist.
func TestLookupKeepsNothingOfUnknownRegions(t *testing.T) {
	e, _ := newEdgeWithPeers(5)
	for i := range 1000 {
		if got := len(lookupAddresses(e, fmt.Sprint("region-", i))); got != 6 {
			t.Fatalf("lookup in an unknown region returns %d instances, want 6", got)
		}
	}
	for region := range map[string]bool{"north": true, "south": true, "": true} {
		lookupAddresses(e, region)
	}
	if got := len(e.lookupCache.byRegions); got > 10 {
		t.Errorf("the cache holds %d lists of regions, want those of the deployment only", got)
	}
}
