package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"bulrushspoke/internal/catalog"
)

// stallWatch ends an attempt at an engine that sends no events: after stallTimeout if another engine has room for the
// item, and after maxStall in any case. Only new events count as progress.
//
// A few engines may hang, or have longer queues than this process knows of, while others have free slots. An item that
// waits there for maxStall would delay its step.
type stallWatch struct {
	cancel        context.CancelFunc
	roomElsewhere func(now time.Time) bool
	stallTimeout  func(now time.Time) time.Duration

	mu           sync.Mutex
	timer        *time.Timer
	lastProgress time.Time     // start of the attempt, or time of the last event
	maxStall     time.Duration // time without an event after which the attempt ends in any case
	stopped      bool
}

// watchStall starts to watch an attempt at a server; cancel ends the attempt.
func (j *Job) watchStall(s catalog.Server, cancel context.CancelFunc) *stallWatch {
	tracker := j.manager.Tracker
	w := &stallWatch{
		cancel: cancel,
		roomElsewhere: func(now time.Time) bool {
			return slices.ContainsFunc(j.services(), func(service string) bool {
				_, ok := tracker.Pick(now, j.manager.Catalog.Servers(service), j.needElsewhere(s))
				return ok
			})
		},
		stallTimeout: func(now time.Time) time.Duration { return tracker.StallTimeout(firstEventTimeout, now) },
		lastProgress: time.Now(),
		maxStall:     firstEventTimeout,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.stallTimeout(w.lastProgress), w.check)
	return w
}

// check ends the attempt if it has stalled, and schedules the next check otherwise.
func (w *stallWatch) check() {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	stalled := now.Sub(w.lastProgress)
	timeout := w.stallTimeout(now)
	switch {
	case w.stopped:
	case stalled >= w.maxStall, stalled >= timeout && w.roomElsewhere(now):
		w.stopped = true
		w.cancel()
	case stalled < timeout:
		w.timer.Reset(timeout - stalled)
	default:
		w.timer.Reset(min(retryInterval, w.maxStall-stalled))
	}
}

func (w *stallWatch) progress(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastProgress, w.maxStall = now, nextEventTimeout
}

// fired reports whether the attempt has stalled and was ended.
func (w *stallWatch) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
