package edge

import (
	"context"
	"testing"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
)

// swapStore is a store that swaps the values of a history.
type swapStore struct {
	Store
	h *history
}

func (s swapStore) CompareAndSwap(_ context.Context, key string, value []byte, base int64, _ lacewingramp.LeaseID) (int64, error) {
	if s.h.keys[key].Revision != base {
		return 0, lacewingramp.ErrConflict
	}
	s.h.change(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key, Value: value}})
	return s.h.position.Revision, nil
}

// Guards against an instance that replaces the record of a rollout, as it arrives between the
// instance's decision and its write.
func TestRecordArrivesBeforeWrite(t *testing.T) {
	h := newHistory(t)
	h.edge.Store = swapStore{h: h}
	putVersion(h, "t1", "v1")
	putVersion(h, "t2", "v2")
	putOrder(h, "v2")
	putStatus(h, "v2", lacewingramp.StatusRunning)
	h.timer.Advance(rolloutWindow)
	h.edge.confirm(h.position, h.timer.Now())
	due := h.edge.advanceRollouts(h.timer.Now().Add(takeoverDelay))
	if len(due) != 1 {
		t.Fatalf("%d records are to be written, want the rollback", len(due))
	}
	putStatus(h, "v2", lacewingramp.StatusDone)
	h.edge.write(context.Background(), due[0])
	if state := h.edge.localStatus(h.edge.orders["s"]).State; state != rollout.StateDone {
		t.Errorf("the rollout is %s, want the record", state)
	}
	h.timer.Advance(time.Second)
}
