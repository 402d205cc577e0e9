package edge

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/timer/manual"
)

// events decodes and encodes values that are store events in JSON. It decodes the
// deletion of a key into an event of the same kind as the key's last value.
type events struct {
	last map[string]lacewingramp.StoreEvent
}

func (v events) Decode(c lacewingramp.Change) (lacewingramp.StoreEvent, error) {
	event := v.last[c.Key]
	var err error
	if !c.Deleted {
		event = lacewingramp.StoreEvent{}
		err = json.Unmarshal(c.Value, &event)
		v.last[c.Key] = event
	}
	event.Key, event.Revision, event.Removed, event.Reverted = c.Key, c.Revision, c.Deleted, c.Reverted
	return event, err
}

func (events) Instance(n lacewingramp.Endpoint) (string, []byte, error) {
	value, err := json.Marshal(lacewingramp.StoreEvent{Instance: &n})
	return lacewingramp.KeyInstances + n.Name, value, err
}

func (events) RolloutStart(s lacewingramp.RolloutStart) (string, []byte, error) {
	value, err := json.Marshal(lacewingramp.StoreEvent{RolloutStart: &s})
	return "start/" + s.Service, value, err
}

func (events) RolloutStatus(s lacewingramp.RolloutStatus) (string, []byte, error) {
	value, err := json.Marshal(lacewingramp.StoreEvent{RolloutStatus: &s})
	return "status/" + s.Service, value, err
}

// history writes to the mirror of an instance as a store does that can be restored from
// a backup.
type history struct {
	t        *testing.T
	edge     *Edge
	timer    *manual.Timer
	position lacewingramp.Position
	keys     map[string]lacewingramp.KeyValue
}

func newHistory(t *testing.T) *history {
	timer := manual.New(time.Unix(1_800_000_000, 0))
	e := New(Settings{Name: "edge-0", Domain: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "south"}, MaxCanaryFraction: 0.1},
		Dependencies{Timer: timer, EventDecoder: events{last: make(map[string]lacewingramp.StoreEvent)}, DocumentEncoder: events{}, Log: zerolog.Nop()})
	h := &history{t: t, edge: e, timer: timer, position: lacewingramp.Position{Epoch: 1, Revision: 1}, keys: make(map[string]lacewingramp.KeyValue)}
	h.readAll()
	return h
}

func (h *history) readAll() {
	var all []lacewingramp.KeyValue
	for _, k := range h.keys {
		all = append(all, k)
	}
	h.edge.update(func() []lacewingramp.Change { return h.edge.mirror.ApplySnapshot(all, h.position) })
}

func (h *history) change(c lacewingramp.Change) {
	h.position.Revision++
	c.Revision, c.Epoch = h.position.Revision, h.position.Epoch
	h.keys[c.Key] = c.KeyValue
	if c.Deleted {
		delete(h.keys, c.Key)
	}
	h.edge.update(func() []lacewingramp.Change { return h.edge.mirror.Apply([]lacewingramp.Change{c}, h.position) })
}

func (h *history) put(key string, event lacewingramp.StoreEvent) {
	value, err := json.Marshal(event)
	if err != nil {
		h.t.Fatal(err)
	}
	h.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key, Value: value}})
}

func (h *history) remove(key string) {
	h.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key}, Deleted: true})
}

// backup returns a function that restores the present state.
func (h *history) backup() (restore func()) {
	keys := make(map[string]lacewingramp.KeyValue)
	for key, k := range h.keys {
		keys[key] = k
	}
	revision := h.position.Revision
	return func() {
		h.keys = keys
		h.position = lacewingramp.Position{Epoch: h.position.Epoch + 1, Revision: revision}
		h.readAll()
	}
}

// wait lets time pass for the instance.
func (h *history) wait(d time.Duration) {
	h.timer.Advance(d)
	h.edge.settleReverted(h.timer.Now())
}

func registrationOf(domain string, leaving bool) lacewingramp.StoreEvent {
	return lacewingramp.StoreEvent{TargetRegistration: &lacewingramp.TargetRegistration{StartMillis: 1, Target: lacewingramp.Target{
		Service: "s", Domain: domain, Version: "v1", Address: "127.0.0.1:1", Slots: 4, Leaving: leaving,
	}}}
}

func putTarget(h *history, name, domain string, leaving bool) {
	event := registrationOf(domain, leaving)
	event.TargetRegistration.Name = name
	h.put("target/"+name, event)
}

// mayServe reports whether the instance would send a request to a target.
func (h *history) mayServe(name string) bool {
	r, ok := h.edge.placer.Registration(name)
	return ok && h.edge.placer.MayServe(h.edge.Timer.Now(), &r.Target)
}

func (h *history) expectServing(when string, want map[string]bool) {
	h.t.Helper()
	for name, serves := range want {
		if got := h.mayServe(name); got != serves {
			h.t.Errorf("%s: target %s may serve: %t, want %t", when, name, got, serves)
		}
	}
}

// Guards against requests to targets that had announced their end or were gone, and
// against the loss of new targets, when the store came back from a backup.
func TestRestoredStoreKeepsTargets(t *testing.T) {
	h := newHistory(t)
	for _, name := range []string{"stays", "leaves", "left"} {
		putTarget(h, name, "a", false)
	}
	restore := h.backup()
	putTarget(h, "leaves", "a", true)
	h.remove("target/left")
	putTarget(h, "rewritten", "a", false)
	putTarget(h, "ended", "a", false)
	restore()
	known := map[string]bool{"stays": true, "leaves": false, "left": false, "rewritten": true, "ended": true}
	h.expectServing("after the restoration", known)
	putTarget(h, "rewritten", "a", false)
	h.wait(rewriteTimeout + time.Millisecond)
	known["ended"] = false
	h.expectServing("after targets have registered again", known)
	h.wait(outdatedTimeout)
	known["leaves"], known["left"] = true, true
	h.expectServing("when the store still lists them", known)
}

// Guards against requests to an evacuated domain when the store came back from a backup
// that lacks the evacuation.
func TestRestoredStoreKeepsEvacuation(t *testing.T) {
	h := newHistory(t)
	putTarget(h, "north", "a", false)
	putTarget(h, "south", "b", false)
	restore := h.backup()
	h.put("empty/a", lacewingramp.StoreEvent{Evacuation: &lacewingramp.Evacuation{Domain: "a"}})
	h.put("empty/b", lacewingramp.StoreEvent{Evacuation: &lacewingramp.Evacuation{Domain: "b"}})
	restore()
	h.expectServing("after the restoration", map[string]bool{"north": false, "south": false})
	h.put("empty/a", lacewingramp.StoreEvent{Evacuation: &lacewingramp.Evacuation{Domain: "a"}})
	h.wait(rewriteTimeout + time.Millisecond)
	h.expectServing("after one was ordered again", map[string]bool{"north": false, "south": true})
}

// Guards against a table in force that is replaced by an older one, or lost, when the
// store came back from a backup.
func TestRestoredStoreKeepsTable(t *testing.T) {
	h := newHistory(t)
	table := func(revision int64) lacewingramp.StoreEvent {
		return lacewingramp.StoreEvent{Table: &lacewingramp.Table{Revision: revision}}
	}
	inForce := func(when string, want int64) {
		t.Helper()
		if got := h.edge.routes.Load().Table.Revision; got != want {
			t.Errorf("%s: table %d is in force, want %d", when, got, want)
		}
	}
	h.put("table", table(10))
	restore := h.backup()
	h.put("table", table(13))
	restore()
	inForce("after the restoration", 13)
	h.put("table", table(16))
	inForce("after the next table", 16)
	h.wait(outdatedTimeout + time.Millisecond)
	inForce("later", 16)
}

// leases is a store that grants leases and records registrations. It does not find out
// that it has lost a lease, as another instance may have got the same ID.
type leases struct {
	Store
	last       lacewingramp.LeaseID
	registered chan lacewingramp.LeaseID
}

func (l *leases) GrantLease(context.Context, int64) (lacewingramp.LeaseID, error) {
	l.last++
	return l.last, nil
}

func (l *leases) RenewLease(context.Context, lacewingramp.LeaseID) error { return nil }

func (l *leases) RevokeLease(context.Context, lacewingramp.LeaseID) error { return nil }

func (l *leases) Put(_ context.Context, _ string, _ []byte, lease lacewingramp.LeaseID) (int64, error) {
	l.registered <- lease
	return 1, nil
}

// Guards against an instance that renews the lease of another one and stays
// unregistered, when the store came back from a backup.
func TestRestoredStoreRegistersAgain(t *testing.T) {
	h := newHistory(t)
	store := &leases{registered: make(chan lacewingramp.LeaseID)}
	h.edge.Store = store
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.edge.register(ctx)
	}()
	restore := h.backup()
	_, value, err := events{}.Instance(lacewingramp.Endpoint{Name: "edge-0"})
	if err != nil {
		t.Fatal(err)
	}
	h.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: lacewingramp.KeyInstances + "edge-0", Value: value, Lease: <-store.registered}})
	h.edge.update(func() []lacewingramp.Change { return nil })
	restore()
	if lease := <-store.registered; lease != 2 {
		t.Errorf("registered again under lease %d, want a new one", lease)
	}
	cancel()
	<-done
}

// Guards against a rollout that starts from the canary again, and against an outcome that
// operators never see, when the store came back from a backup.
func TestRestoredStoreResumesRollout(t *testing.T) {
	h := newHistory(t)
	putTarget(h, "old", "a", false)
	order := lacewingramp.StoreEvent{RolloutOrder: &lacewingramp.RolloutOrder{Service: "s", Version: "v2", MaxDuration: time.Minute}}
	restore := h.backup()
	h.put("order/s", order)
	o := h.edge.orders["s"]
	startedAt := h.timer.Now()
	h.put("start/s", lacewingramp.StoreEvent{RolloutStart: &lacewingramp.RolloutStart{Service: "s", Revision: o.revision, StartedAt: startedAt}})
	h.put("status/s", lacewingramp.StoreEvent{RolloutStatus: &lacewingramp.RolloutStatus{Service: "s", Version: "v2", State: lacewingramp.StatusRunning}})
	name := o.rolloutName()
	restore()
	if h.edge.orders["s"] != o {
		t.Fatal("the order was dropped")
	}
	h.timer.Advance(time.Second)
	h.put("other", lacewingramp.StoreEvent{})
	h.put("order/s", order)
	if h.edge.orders["s"] != o || o.rolloutName() != name || !o.startAt.Equal(startedAt) {
		t.Fatalf("the order written again is %+v, want the one started at %s", h.edge.orders["s"], startedAt)
	}
	h.expectPending(o, "start/s", `"moment":"`+startedAt.UTC().Format(time.RFC3339)+`"`)
	h.put("start/s", lacewingramp.StoreEvent{RolloutStart: &lacewingramp.RolloutStart{Service: "s", Revision: o.revision, StartedAt: startedAt}})
	h.expectPending(o, "status/s", lacewingramp.StatusRunning)
}

// expectPending checks the record that an order needs to have written next.
func (h *history) expectPending(o *order, key, part string) {
	h.t.Helper()
	w, err := h.edge.pendingWrite(o)
	if err != nil || w.key != key || !strings.Contains(w.value, part) {
		h.t.Errorf("the next record is %q at %q (%v), want one with %q at %q", w.value, w.key, err, part, key)
	}
}

// Guards against log lines without end, four a second for each key: a state that a restored
// store has lost is settled by a value that cannot be decoded.
func TestRestoredUndecodableKeyIsSettled(t *testing.T) {
	h := newHistory(t)
	putTarget(h, "t0", "a", false)
	restore := h.backup()
	h.remove("target/t0")
	putTarget(h, "t0", "a", false)
	restore()
	h.edge.reverted["target/t0"] = h.timer.Now().Add(time.Second)
	h.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: "target/t0", Value: []byte("odd")}})
	h.wait(2 * time.Second)
	if n := len(h.edge.reverted); n != 0 {
		t.Errorf("%d keys are not settled, want none", n)
	}
}
