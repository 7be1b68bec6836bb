// Package redial keeps a link to a peer open by dialling it again whenever it breaks.
//
// # Usage
//
//	redial.Run(ctx, random, maxBackoff, dial, use)
package redial

import (
	"context"
	"time"

	"bulrushspoke/internal/link"
	"bulrushspoke/internal/sleep"
)

// minBackoff is the first pause after a broken link, before jitter.
const minBackoff = 20 * time.Millisecond

// Random is a source of numbers in [0, 1) that is safe for concurrent use.
type Random interface {
	Float64() float64
}

// Run dials whenever there is no link, until ctx ends; use returns when the link breaks. The pause before the next dial
// doubles with each failed dial up to maxBackoff and has full jitter.
func Run(
	ctx context.Context, random Random, maxBackoff time.Duration,
	dial func(context.Context) (*link.Conn, error), use func(context.Context, *link.Conn),
) {
	backoff := minBackoff
	for ctx.Err() == nil {
		c, err := dial(ctx)
		if err == nil {
			backoff = minBackoff
			use(ctx, c)
		} else {
			backoff = min(2*backoff, maxBackoff)
		}
		sleep.For(ctx, time.Duration(random.Float64()*float64(backoff)))
	}
}
