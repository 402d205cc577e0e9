package edge

import (
	"context"
	"testing"
	"time"

	"lacewingramp.example/lacewingramp"
)

// slowFeed is a store whose response is read after a time.
type slowFeed struct {
	Store
	h     *history
	after time.Duration
}

func (f *slowFeed) Changes(_ context.Context, after lacewingramp.Position, _ time.Duration) ([]lacewingramp.Change, lacewingramp.Position, error) {
	f.h.timer.Advance(f.after)
	return nil, after, nil
}

// Guards against a paused process that takes a response which has waited for what the store
// says now.
func TestResponseReadAfterPause(t *testing.T) {
	for _, c := range []struct {
		name      string
		readAfter time.Duration
		want      time.Duration
	}{
		{name: "a response in time confirms when it is read", readAfter: storeLongPoll, want: 0},
		{name: "a response that has waited confirms when the call was sent", readAfter: time.Minute, want: time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory(t)
			h.edge.Store = &slowFeed{h: h, after: c.readAfter}
			if err := h.edge.pullOnce(context.Background(), h.edge.storeSource(storeLongPoll)); err != nil {
				t.Fatal(err)
			}
			if age := h.timer.Now().Sub(h.edge.store.freshness.Complete().At); age != c.want {
				t.Errorf("the confirmation is %s old, want %s", age, c.want)
			}
		})
	}
}
