package edge

import (
	"context"
	"time"
)

// await receives from c, for at most d or until ctx ends. ok reports whether a value
// was received or c was closed.
func await[T any](ctx context.Context, c <-chan T, d time.Duration) (v T, ok bool) {
	timeout := time.NewTimer(d)
	defer timeout.Stop()
	select {
	case v = <-c:
		return v, true
	case <-ctx.Done():
	case <-timeout.C:
	}
	return v, false
}

// sleep waits until d has elapsed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	await[struct{}](ctx, nil, d)
}
