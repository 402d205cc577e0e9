package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
	"lacewingramp.example/lacewingramp/internal/report/meter"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
	"lacewingramp.example/lacewingramp/internal/timer/manual"
)

// newEdgesWithTarget returns two instances with sockets that know of each other and of a target.
func newEdgesWithTarget(t *testing.T) (one, other *Edge, timer *manual.Timer) {
	timer = manual.New(time.Unix(1_800_000_000, 0))
	regions := map[string]string{"a": "north"}
	var both [2]*Edge
	for i := range both {
		socket, err := heartbeat.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = socket.Close() })
		e := New(
			Settings{Name: fmt.Sprint("edge-", i), Domain: "a", Region: "north", Regions: regions, Peer: socket.Address(), CallerAddress: "127.0.0.1:1"},
			Dependencies{Timer: timer, Log: zerolog.Nop(), EventDecoder: ignoreChanges{}, Meter: meter.New()},
		)
		e.socket = socket
		e.mirror.ApplySnapshot(nil, lacewingramp.Position{Revision: 1})
		e.placer.Update(timer.Now(), lacewingramp.TargetRegistration{StartMillis: 1, Target: lacewingramp.Target{
			Name: "t0", Service: "s", Domain: "a", Slots: 3,
		}})
		both[i] = e
	}
	both[0].peers.MarkRegistered(timer.Now(), both[1].self)
	return both[0], both[1], timer
}

// Guards against reports of targets that do not reach other instances, as nothing sends or records
// them.
func TestHeartbeatsCarryTargetLoads(t *testing.T) {
	one, other, timer := newEdgesWithTarget(t)
	load := &lacewingramp.TargetLoad{Running: 3, Waiting: 4, Slots: 3, WorkPercent: 250}
	one.placer.Done(timer.Now(), placement.Report{Target: "t0", Ran: true, TargetLoad: load})
	one.tick(t.Context(), timer.Now())
	received := make(chan struct{})
	go other.socket.Receive(func(d *lacewingramp.Datagram, from string) {
		other.handleDatagram(d, from)
		close(received)
	}, func(err error) { t.Error(err) })
	select {
	case <-received:
	case <-time.After(5 * time.Second):
		t.Fatal("no heartbeat is received")
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	estimate, known := other.placer.Estimate(timer.Now(), "t0")
	if !known || estimate.Requests < 6.9 || estimate.Requests > 7.1 {
		t.Errorf("the other instance estimates %.1f requests at the target, want 7", estimate.Requests)
	}
}
