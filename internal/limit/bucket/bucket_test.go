package bucket_test

import (
	"testing"
	"time"

	"lacewingramp.example/lacewingramp/internal/limit/bucket"
)

var start = time.Unix(1_800_000_000, 0)

func TestFill(t *testing.T) {
	b := bucket.Bucket{Rate: 10, Capacity: 20, FilledAt: start}
	b.Fill(start.Add(500 * time.Millisecond))
	if b.Level != 5 {
		t.Errorf("level %g after half a second, want 5", b.Level)
	}
	b.Fill(start)
	if b.Level != 5 {
		t.Errorf("level %g after a Fill with an earlier time, want 5", b.Level)
	}
	b.Fill(start.Add(time.Minute))
	if b.Level != 20 {
		t.Errorf("level %g after a minute, want 20", b.Level)
	}
}

func TestTake(t *testing.T) {
	b := bucket.Bucket{Level: 1.5}
	for _, want := range []bool{true, false} {
		if got := b.Take(0); got != want {
			t.Errorf("Take(0) = %t with %g left, want %t", got, b.Level, want)
		}
	}
	if !b.Take(-1) || b.Level != -0.5 {
		t.Errorf("level %g after an overdraft, want -0.5", b.Level)
	}
}

func TestWait(t *testing.T) {
	b := bucket.Bucket{Rate: 3, Capacity: 5, FilledAt: start}
	b.Fill(start.Add(b.Wait()))
	if !b.Take(0) {
		t.Errorf("no token after the wait, level %g", b.Level)
	}
	for _, b := range []bucket.Bucket{{}, {Rate: 1, Level: 2}} {
		if w := b.Wait(); w != 0 {
			t.Errorf("Wait of %+v = %s, want 0", b, w)
		}
	}
}
