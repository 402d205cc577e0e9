package edge

import (
	"fmt"
	"testing"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/timer/manual"
)

// fleetOf returns an instance that has heard of others in two regions.
func fleetOf(others int) (*Edge, *manual.Timer) {
	t := manual.New(time.Unix(1_800_000_000, 0))
	e := New(Settings{
		Name: "edge-0", Domain: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "south"},
		Callers: "127.0.0.1:1000", Peer: "127.0.0.1:1", LookupLife: 5 * time.Second, Processor: 0.1,
	}, Parts{Timer: t})
	e.ready.Store(true)
	for i := 1; i <= others; i++ {
		e.roll.Hear(t.Now(), heartbeatOf(i))
	}
	return e, t
}

func heartbeatOf(i int) *lacewingramp.Heartbeat {
	return &lacewingramp.Heartbeat{Ready: true, Rate: 100, Endpoint: lacewingramp.Endpoint{
		Name: fmt.Sprint("edge-", i), Domain: [...]string{"a", "b"}[i%2], Peer: "127.0.0.1:1",
		Caller: fmt.Sprint("127.0.0.1:", 1000+i), Room: 100,
	}}
}

func named(e *Edge, region string) map[string]bool {
	all, _ := e.Lookup("h", region)
	found := make(map[string]bool)
	for _, a := range all {
		found[a] = true
	}
	return found
}

func TestLookupNamesTheRegion(t *testing.T) {
	e, _ := fleetOf(5)
	for region, want := range map[string]int{"north": 3, "south": 3, "": 6, "elsewhere": 6} {
		for range 2 {
			if got := len(named(e, region)); got != want {
				t.Errorf("look-up in %q names %d instances, want %d", region, got, want)
			}
		}
	}
}

func TestLookupSeesComingAndGoingAtOnce(t *testing.T) {
	e, _ := fleetOf(5)
	named(e, "north")
	leaves := heartbeatOf(2)
	leaves.Endpoint.Leaving = true
	e.hear(leaves)
	if named(e, "north")["127.0.0.1:1002"] {
		t.Error("an instance that leaves is named")
	}
	e.hear(heartbeatOf(6))
	if !named(e, "north")["127.0.0.1:1006"] {
		t.Error("an instance that has come is not named")
	}
	e.ending.Store(true)
	if named(e, "north")["127.0.0.1:1000"] {
		t.Error("an instance names itself while it stops")
	}
}

func TestLookupForgetsTheSilent(t *testing.T) {
	e, clock := fleetOf(5)
	named(e, "south")
	clock.Advance(time.Minute)
	if got := len(named(e, "south")); got != 1 {
		t.Errorf("%d instances are named after a minute of silence, want this one", got)
	}
}

// The load of look-ups in a large fleet: they come far more often than instances.
func TestLookupIsNotWorkedOutEachTime(t *testing.T) {
	e, _ := fleetOf(1600)
	const most = 4
	if n := testing.AllocsPerRun(100, func() { e.Lookup("h", "north") }); n > most {
		t.Errorf("a look-up among 1,600 instances allocates %g times, want %d at most", n, most)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{8, 82, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e, _ := fleetOf(n - 1)
			b.ReportAllocs()
			for b.Loop() {
				e.Lookup("h", "north")
			}
		})
	}
}
