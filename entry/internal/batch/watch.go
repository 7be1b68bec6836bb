package batch

import (
	"context"
	"sync"
	"time"

	"bulrushspoke/internal/catalog"
)

// watch ends an attempt of an item at an engine that makes no event: soon if another engine has room for the item, and
// after a longer time in any case. Only new events count as progress.
//
// It answers a load in which a few engines hang, or have longer queues than this process knows, while others have free
// slots: an item that waits there for the longer time decides when its step ends.
type watch struct {
	cancel    context.CancelFunc
	elsewhere func(now time.Time) bool
	patience  func(now time.Time) time.Duration

	mu    sync.Mutex
	timer *time.Timer
	since time.Time     // of the last progress
	most  time.Duration // time without progress after which the attempt ends in any case
	ended bool
}

// watch begins to watch an attempt at a server.
func (j *Job) watch(s catalog.Server, cancel context.CancelFunc) *watch {
	tracker := j.manager.Tracker
	w := &watch{
		cancel: cancel,
		elsewhere: func(now time.Time) bool {
			_, ok := tracker.Pick(now, j.manager.Catalog.Servers(s.Service), j.elsewhere(s))
			return ok
		},
		patience: func(now time.Time) time.Duration { return tracker.Patience(firstEvent, now) },
		since:    time.Now(),
		most:     firstEvent,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.patience(w.since), w.expire)
	return w
}

// expire is called when the time has come to look at the attempt.
func (w *watch) expire() {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	quiet := now.Sub(w.since)
	soon := w.patience(now)
	switch {
	case w.ended:
	case quiet >= w.most, quiet >= soon && w.elsewhere(now):
		w.ended = true
		w.cancel()
	case quiet < soon:
		w.timer.Reset(soon - quiet)
	default:
		w.timer.Reset(min(recheck, w.most-quiet))
	}
}

// progress notes a new event.
func (w *watch) progress(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since, w.most = now, nextEvent
}

// fired reports whether the watch has ended the attempt.
func (w *watch) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// stop ends the watch.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}
