// Package claim runs calls that must not be repeated.
package claim

import (
	"time"

	"bulrushspoke/wire"
)

// Call is one call that must not be repeated.
type Call struct {
	Work     wire.Work // with Call; without attempt, server, key, era, once
	Key      string    // idempotency key of the caller
	Deadline time.Time
}
