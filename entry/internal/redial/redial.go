// Package redial keeps a link to a peer open.
//
// # Usage
//
//	redial.Run(ctx, random, longest, dial, hold)
package redial

import (
	"context"
	"time"

	"bulrushspoke/internal/link"
	"bulrushspoke/internal/sleep"
)

// shortest is the first pause after a broken link, before jitter.
const shortest = 20 * time.Millisecond

// Random is a source of numbers from 0 to 1 that is safe for use by several tasks.
type Random interface {
	Float64() float64
}

// Run dials whenever there is no link, until ctx ends; hold uses a link until it breaks. Pauses between dials double up
// to longest.
func Run(
	ctx context.Context, random Random, longest time.Duration,
	dial func(context.Context) (*link.Conn, error), hold func(context.Context, *link.Conn),
) {
	pause := shortest
	for ctx.Err() == nil {
		c, err := dial(ctx)
		if err == nil {
			pause = shortest
			hold(ctx, c)
		} else {
			pause = min(2*pause, longest)
		}
		sleep.For(ctx, time.Duration(random.Float64()*float64(pause)))
	}
}
