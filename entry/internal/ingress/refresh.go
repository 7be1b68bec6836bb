package ingress

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/supervise"
)

const (
	// refreshBurst and refreshInterval bound the reads of the configuration that unknown keys cause: a few at once, for keys
	// that operators have just added, then one per interval. With random keys at all of 23 entries that is five store calls
	// a second, of 6,000 that the store answers.
	refreshBurst    = 3
	refreshInterval = 5 * time.Second
	// refreshTimeout bounds one read. The store answers within some milliseconds, and another entry through which it is read
	// within some tens; when it is slow the client is better served by a refusal.
	refreshTimeout = 250 * time.Millisecond
)

// refresher reads the newest configuration for requests whose key is unknown. Requests that wait share a read, and reads
// are bounded in number.
type refresher struct {
	read   func(ctx context.Context) error
	limit  *rate.Limiter
	logger *slog.Logger
	// succeeded counts the reads that got the newest configuration.
	succeeded atomic.Int64

	mu      sync.Mutex
	running chan struct{} // closed at the end of the read in progress; nil if there is none
	next    chan struct{} // closed at the end of the read after that one; nil if nobody waits for it
}

func newRefresher(read func(ctx context.Context) error, logger *slog.Logger) *refresher {
	return &refresher{read: read, limit: rate.NewLimiter(rate.Every(refreshInterval), refreshBurst), logger: logger}
}

// request returns a channel that is closed when a read has ended, and nil if there is none to wait for. The read begins
// after the call, since one in progress may have been answered before the key was added; only if the bound is reached, a
// read in progress has to do.
func (r *refresher) request(now time.Time) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != nil {
		return r.next
	}
	if !r.limit.AllowN(now, 1) {
		return r.running
	}
	next := make(chan struct{})
	r.next = next
	if r.running == nil {
		r.begin()
	}
	return next
}

// begin starts the next read; the caller holds mu.
func (r *refresher) begin() {
	r.running, r.next = r.next, nil
	done := r.running
	go func() {
		defer r.ended(done)
		supervise.Guard(r.logger, "configuration for a key", r.readOnce)
	}()
}

func (r *refresher) ended(done chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(done)
	r.running = nil
	if r.next != nil {
		r.begin()
	}
}

func (r *refresher) readOnce() {
	// The context is cancelled and has no deadline, since a call that exceeds one counts as an outage of the store.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	late := time.AfterFunc(refreshTimeout, cancel)
	defer late.Stop()
	began := time.Now()
	cause := ""
	if err := r.read(ctx); err != nil {
		cause = err.Error()
	} else {
		r.succeeded.Add(1)
	}
	event.ConfigReread.Log(r.logger, "cause", cause, "ms", time.Since(began).Milliseconds())
}
