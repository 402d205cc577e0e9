package edge

import (
	"context"
	"time"
)

// await waits for something to come on a channel, or for its close, for d at most
// and not after the end of ctx. It reports whether it came.
func await[T any](ctx context.Context, c <-chan T, d time.Duration) (v T, ok bool) {
	late := time.NewTimer(d)
	defer late.Stop()
	select {
	case v = <-c:
		return v, true
	case <-ctx.Done():
	case <-late.C:
	}
	return v, false
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	await[struct{}](ctx, nil, d)
}
