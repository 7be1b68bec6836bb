package catalog

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/store"
)

// Source reads objects of the platform's store.
type Source interface {
	// List returns all objects of a kind and the store's revision.
	List(ctx context.Context, kind string) ([]store.Record, int64, error)
	// Watch returns the changes of a kind after a revision and the revision to go on from. It returns none if none came
	// within wait.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Change, int64, error)
}

// Watching bounds.
const (
	// watchWait is the longest that one watch waits for changes; the store allows 30 s. A watch whose answer is lost says
	// nothing for so long although its connection lives.
	watchWait = 25 * time.Second
	// retryFirst and retryMost bound the pause after a failed call; the longest keeps the news after an outage well
	// within the two seconds in which missing servers come back.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// shortestOutage is the shortest failure that counts as an outage.
	shortestOutage = time.Second
)

// Feed is one kind of objects and what is done with them.
type Feed struct {
	Kind    string
	Settle  func() time.Duration // pause between two watches, so that one call brings several changes; may be nil
	Wait    func() time.Duration // how long one watch waits for changes; nil for the longest
	Replace func(list []store.Record, revision int64, now time.Time)
	Apply   func(c store.Change, now time.Time)
	Heard   func(revision int64, now time.Time) // told after each call that brought everything up to a revision; may be nil
	Renew   <-chan struct{}                     // makes a watch in progress be given up for a new one; may be nil
	Failed  func(now time.Time)                 // told after each call that failed; may be nil
	// Restored is told that the store answers again, before the first list after an outage is handed over.
	Restored func(now time.Time)
}

// Follow keeps a feed up to date until ctx ends.
func Follow(ctx context.Context, s Source, f Feed, logger *slog.Logger) error {
	w := follower{source: s, feed: f, logger: logger, after: -1}
	for ctx.Err() == nil {
		err := w.step(ctx)
		if err == nil {
			w.succeeded(time.Now())
			if f.Heard != nil {
				f.Heard(w.after, time.Now())
			}
			if f.Settle != nil {
				w.pause(ctx, f.Settle())
			}
			continue
		}
		if errors.Is(err, errRenewed) {
			event.WatchRenewed.Log(logger, "kind", f.Kind, "revision", w.after)
			continue
		}
		var gone *store.GoneError
		if errors.As(err, &gone) {
			event.HistoryGone.Log(logger, "kind", f.Kind, "after", w.after)
			w.after = -1
			continue
		}
		w.failed(err, time.Now())
		if f.Failed != nil {
			f.Failed(time.Now())
		}
		wait := w.delay
		if w.after >= 0 && f.Settle != nil {
			wait = max(wait, f.Settle()) // what is known stays in force
		}
		w.pause(ctx, wait)
	}
	return ctx.Err()
}

type follower struct {
	source Source
	feed   Feed
	logger *slog.Logger
	after  int64 // revision to watch from; negative before the first list
	since  time.Time
	delay  time.Duration
}

// step makes one call and hands over what it brings.
func (w *follower) step(ctx context.Context) error {
	if w.after < 0 {
		list, revision, err := w.source.List(ctx, w.feed.Kind)
		if err != nil {
			return err
		}
		w.recovered(time.Now())
		w.feed.Replace(list, revision, time.Now())
		w.after = revision
		return nil
	}
	wait := watchWait
	if w.feed.Wait != nil {
		wait = w.feed.Wait()
	}
	changes, next, err := w.watch(ctx, wait)
	if err != nil {
		return err
	}
	w.recovered(time.Now())
	for _, c := range changes {
		w.feed.Apply(c, time.Now())
	}
	w.after = max(w.after, next)
	return nil
}

// pause waits until the next call is due or to be made at once.
func (w *follower) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.feed.Renew:
		event.WatchRenewed.Log(w.logger, "kind", w.feed.Kind, "revision", w.after)
	case <-ctx.Done():
	}
}

// errRenewed tells that a watch was given up for a new one.
var errRenewed = errors.New("catalog: watch renewed")

// watch waits for changes until the watch is to be renewed.
func (w *follower) watch(ctx context.Context, wait time.Duration) ([]store.Change, int64, error) {
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.feed.Renew != nil {
		go func() {
			select {
			case <-w.feed.Renew:
				cancel(errRenewed)
			case <-call.Done():
			}
		}()
	}
	changes, next, err := w.source.Watch(call, w.feed.Kind, w.after, wait)
	if err != nil && errors.Is(context.Cause(call), errRenewed) {
		return nil, 0, errRenewed
	}
	return changes, next, err
}

// recovered announces the end of an outage before its news is handed over.
func (w *follower) recovered(now time.Time) {
	if !w.since.IsZero() && now.Sub(w.since) >= shortestOutage && w.feed.Restored != nil {
		w.feed.Restored(now)
	}
}

func (w *follower) succeeded(now time.Time) {
	if !w.since.IsZero() {
		event.FeedBack.Log(w.logger, "kind", w.feed.Kind, "after_ms", now.Sub(w.since).Milliseconds(), "revision", w.after)
	}
	w.since, w.delay = time.Time{}, 0
}

func (w *follower) failed(err error, now time.Time) {
	if w.since.IsZero() {
		w.since = now
		event.FeedLost.Log(w.logger, "kind", w.feed.Kind, "revision", w.after, "cause", err.Error())
	}
	w.delay = min(max(2*w.delay, retryFirst), retryMost)
}
