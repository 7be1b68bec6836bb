package batch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/supervise"
)

const (
	// configReadTimeout bounds one read of the configuration, so that a store that does not answer does not delay the next
	// read.
	configReadTimeout = 1200 * time.Millisecond
	// configReadPause is the pause after a read, and configRetryPause the one after a read that failed.
	configReadPause  = 100 * time.Millisecond
	configRetryPause = 500 * time.Millisecond
)

// configReader reads the newest configuration before a decision that cannot be undone: the one that this entry holds may be
// older than the one that allows a job.
type configReader struct {
	read   func(ctx context.Context) error // applies the newest configuration to the catalog; nil if the one held is the newest
	parent context.Context
	logger *slog.Logger
	ended  func() // called after each read

	mu      sync.Mutex
	running bool
	nextAt  time.Time // when the next read may start
	readAt  time.Time // start of the last read that succeeded
}

// current returns the time at which the configuration held now, or a later one, was the newest. A caller that loads the
// configuration from the catalog must do so after the call.
func (r *configReader) current(now time.Time) time.Time {
	if r.read == nil {
		return now
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readAt
}

// request starts a read unless one is in progress or has just ended.
func (r *configReader) request(now time.Time) {
	if r.read == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running || now.Before(r.nextAt) {
		return
	}
	r.running = true
	go func() {
		// Deferred, so that a panic does not prevent further reads.
		err := context.Canceled
		defer func() { r.finish(now, time.Now(), err) }()
		supervise.Guard(r.logger, "configuration for a job", func() { err = r.readOnce() })
	}()
}

// readOnce reads the configuration. The context has no deadline, since a call that exceeds one counts as an outage of the
// store.
func (r *configReader) readOnce() error {
	ctx, cancel := context.WithCancel(r.parent)
	defer cancel()
	late := time.AfterFunc(configReadTimeout, cancel)
	defer late.Stop()
	began := time.Now()
	err := r.read(ctx)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	event.ConfigConfirmed.Log(r.logger, "cause", cause, "ms", time.Since(began).Milliseconds())
	return err
}

// finish records the end of a read that began at the given time.
func (r *configReader) finish(began, now time.Time, err error) {
	r.mu.Lock()
	r.running = false
	if err != nil {
		r.nextAt = now.Add(configRetryPause)
	} else {
		r.readAt, r.nextAt = began, now.Add(configReadPause)
	}
	r.mu.Unlock()
	r.ended()
}
