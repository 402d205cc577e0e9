package window_test

import (
	"testing"
	"time"

	"lacewingramp.example/lacewingramp/internal/proof/window"
)

func TestMaxCount(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var times []time.Time
	for _, s := range []int{0, 1, 2, 6, 7, 8, 9, 30} {
		times = append(times, start.Add(time.Duration(s)*time.Second))
	}
	for length, want := range map[time.Duration]int{time.Second: 1, 3 * time.Second: 3, 5 * time.Second: 4, time.Minute: 8} {
		if got := window.MaxCount(times, length); got != want {
			t.Errorf("MaxCount of a window of %s = %d, want %d", length, got, want)
		}
	}
	if got := window.MaxCount(nil, time.Second); got != 0 {
		t.Errorf("MaxCount without times = %d, want 0", got)
	}
}
