// Package sleep pauses a task that may be told to end.
//
// # Usage
//
//	sleep.For(ctx, 100*time.Millisecond)
package sleep

import (
	"context"
	"time"
)

// For returns after d or when ctx ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
