package edge

import (
	"testing"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
)

func putVersion(h *history, name, version string) {
	event := registrationOf("a", false)
	event.TargetRegistration.Name, event.TargetRegistration.Version = name, version
	h.put("target/"+name, event)
}

// putOrder orders a rollout to a version, with the record of its start.
func putOrder(h *history, version string) {
	h.timer.Advance(rolloutWindow)
	h.put("order/s", lacewingramp.StoreEvent{RolloutOrder: &lacewingramp.RolloutOrder{Service: "s", Version: version, MaxDuration: rolloutWindow}})
	h.put("start/s", lacewingramp.StoreEvent{RolloutStart: &lacewingramp.RolloutStart{Service: "s", Revision: h.position.Revision, StartedAt: h.timer.Now()}})
}

func putStatus(h *history, version, state string) {
	h.put("status/s", lacewingramp.StoreEvent{RolloutStatus: &lacewingramp.RolloutStatus{Service: "s", Version: version, State: state}})
}

// expectVersion expects that requests which do not try a new version run on a version.
func (h *history) expectVersion(when, want string) {
	h.t.Helper()
	_, got := h.edge.chooseVersions(h.timer.Now(), &job{service: "s", route: &lacewingramp.Route{Name: "read"}})
	if got != want {
		h.t.Errorf("%s: requests run on %q, want %q", when, got, want)
	}
}

// missing returns a history whose instance does not hear of the changes of a function one by
// one, but reads all keys after them.
func (h *history) missing(change func(store *history)) {
	store := &history{t: h.t, timer: h.timer, position: h.position, keys: h.keys, edge: newHistory(h.t).edge}
	change(store)
	h.keys, h.position = store.keys, store.position
	h.readAll()
}

// Guards against an instance that has missed the outcome of a rollout and, in the next one,
// refuses all requests, as it takes a version without targets for the old one.
func TestVersionAfterMissedRollout(t *testing.T) {
	h := newHistory(t)
	putVersion(h, "t1", "v1")
	putVersion(h, "t2", "v2")
	putOrder(h, "v2")
	h.expectVersion("during the rollout", "v1")
	h.missing(func(store *history) {
		putStatus(store, "v2", lacewingramp.StatusDone)
		store.remove("target/t1")
		putVersion(store, "t3", "v3")
		putOrder(store, "v3")
		putStatus(store, "v3", lacewingramp.StatusRunning)
	})
	h.expectVersion("during the next one", "v2")
}

// Guards against requests to a version that was rolled back, as the one in force has no
// targets for a while.
func TestRejectedVersionStaysAway(t *testing.T) {
	h := newHistory(t)
	putVersion(h, "t1", "v1")
	putVersion(h, "t2", "v2")
	putOrder(h, "v2")
	putStatus(h, "v2", lacewingramp.StatusRolledBack)
	h.expectVersion("rolled back", "v1")
	putVersion(h, "t3", "v3")
	putOrder(h, "v3")
	h.remove("target/t1")
	h.expectVersion("without targets of v1, during the next rollout", "v1")
	putStatus(h, "v3", lacewingramp.StatusRolledBack)
	h.expectVersion("without targets of v1, rolled back", "v1")
	putVersion(h, "t1", "v1")
	h.expectVersion("with targets of v1 again", "v1")
}

// Guards against a service that refuses all requests, as its targets were replaced by those of
// another version without a rollout.
func TestVersionReplacedWithoutRollout(t *testing.T) {
	h := newHistory(t)
	putVersion(h, "t1", "v1")
	putVersion(h, "t2", "v2")
	putOrder(h, "v2")
	putStatus(h, "v2", lacewingramp.StatusDone)
	if state := h.edge.localStatus(h.edge.orders["s"]).State; state != rollout.StateDone {
		t.Fatalf("the rollout is %s", state)
	}
	h.expectVersion("done", "v2")
	h.remove("target/t1")
	putVersion(h, "t4", "v4")
	h.expectVersion("done, with another version beside it", "v2")
	h.remove("target/t2")
	h.expectVersion("without targets of v2", "v4")
	putVersion(h, "t2", "v2")
	h.expectVersion("with targets of v2 again", "v2")
}
