package edge

import (
	"context"
	"testing"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// Guards against a process that was paused, and takes the requests whose deadline passed meanwhile
// for evidence against their targets: the first of them may be handled before the next tick.
func TestTimeoutsAfterPause(t *testing.T) {
	const (
		slots    = 9
		deadline = 2 * time.Second
	)
	for _, c := range []struct {
		name  string
		pause bool
		want  int
	}{
		{name: "a timeout lowers the concurrency limit", want: 5},
		{name: "one after a pause does not", pause: true, want: slots},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory(t)
			e := h.edge
			e.placer.Update(h.timer.Now(), lacewingramp.TargetRegistration{Target: lacewingramp.Target{Name: "t", Service: "s", Slots: slots}})
			e.recordTick(h.timer.Now())
			j := &job{route: &lacewingramp.Route{}, deadline: h.timer.Now().Add(deadline)}
			choices := fill(e, h.timer.Now())
			for range 4 {
				h.timer.Advance(deadline / 4)
				if !c.pause {
					e.recordTick(h.timer.Now())
				}
			}
			for _, choice := range choices {
				e.recordAttempt(context.Background(), j, attempt{choice: choice, result: exchange.Result{Verdict: lacewingramp.MayHaveRun}})
			}
			if n := len(fill(e, h.timer.Now())); n != c.want {
				t.Errorf("%d requests may be in flight, want %d", n, c.want)
			}
		})
	}
}

// fill chooses targets until none has capacity left.
func fill(e *Edge, now time.Time) (choices []placement.Choice) {
	for {
		c := e.placer.Choose(now, placement.Query{Service: "s", Object: "1"})
		if c.Target == nil {
			return choices
		}
		choices = append(choices, c)
	}
}
