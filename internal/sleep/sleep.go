// Package sleep provides a sleep that ends early when its context is cancelled.
//
// # Usage
//
//	sleep.For(ctx, 100*time.Millisecond)
package sleep

import (
	"context"
	"time"
)

// For returns after d, or as soon as ctx ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
