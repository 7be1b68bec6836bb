package catalog

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/store"
)

// Source reads objects from the platform's store.
type Source interface {
	// List returns all objects of a kind and the current revision of the store.
	List(ctx context.Context, kind string) ([]store.Record, int64, error)
	// Watch returns the changes of a kind after a revision, and the revision from which to continue. It returns no changes
	// if there are none within wait.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Change, int64, error)
}

const (
	// maxWatchWait is the maximum time that one watch waits for changes; the store allows 30 s. If the answer to a watch is
	// lost, the connection stays open but changes are not noticed for up to this time.
	maxWatchWait = 25 * time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed call. The maximum ensures that the first list after an
	// outage is read well within the two seconds in which the entries of missing servers reappear.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// minOutage is the minimum duration of failed calls that counts as an outage.
	minOutage = time.Second
)

// Feed defines how the objects of one kind are followed. Replace and Apply are required.
type Feed struct {
	Kind      string
	Interval  func() time.Duration // pause between two watches, so that one call returns several changes; may be nil
	Wait      func() time.Duration // how long one watch waits for changes; nil for maxWatchWait
	Replace   func(list []store.Record, revision int64, now time.Time)
	Apply     func(c store.Change, now time.Time)
	OnSuccess func(revision int64, now time.Time) // called after each successful call, with the revision reached; may be nil
	Renew     <-chan struct{}                     // a value cancels the watch in progress and starts a new one; may be nil
	OnFailure func(now time.Time)                 // called after each failed call; may be nil
	// OnRestored is called when the store answers again after an outage, before the changes are applied; may be nil.
	OnRestored func(now time.Time)
}

// Follow lists the objects of a feed, then watches them for changes, until ctx ends. It lists them again if the store no
// longer has the history to continue from. It returns the error of ctx.
func Follow(ctx context.Context, s Source, f Feed, logger *slog.Logger) error {
	w := follower{source: s, feed: f, logger: logger, revision: -1}
	for ctx.Err() == nil {
		err := w.poll(ctx)
		if err == nil {
			w.succeeded(time.Now())
			if f.OnSuccess != nil {
				f.OnSuccess(w.revision, time.Now())
			}
			if f.Interval != nil {
				w.pause(ctx, f.Interval())
			}
			continue
		}
		if errors.Is(err, errRenewed) {
			event.WatchRenewed.Log(logger, "kind", f.Kind, "revision", w.revision)
			continue
		}
		var gone *store.ExpiredError
		if errors.As(err, &gone) {
			event.WatchHistoryExpired.Log(logger, "kind", f.Kind, "after", w.revision)
			w.revision = -1
			continue
		}
		w.failed(err, time.Now())
		if f.OnFailure != nil {
			f.OnFailure(time.Now())
		}
		wait := w.retryPause
		if w.revision >= 0 && f.Interval != nil {
			wait = max(wait, f.Interval()) // the known objects stay valid, so there is no hurry
		}
		w.pause(ctx, wait)
	}
	return ctx.Err()
}

type follower struct {
	source      Source
	feed        Feed
	logger      *slog.Logger
	revision    int64     // revision to watch from; negative if a list is needed
	failedSince time.Time // zero if the last call succeeded
	retryPause  time.Duration
}

// poll makes one call to the store and applies the result.
func (w *follower) poll(ctx context.Context) error {
	if w.revision < 0 {
		list, revision, err := w.source.List(ctx, w.feed.Kind)
		if err != nil {
			return err
		}
		w.notifyRestored(time.Now())
		w.feed.Replace(list, revision, time.Now())
		w.revision = revision
		return nil
	}
	wait := maxWatchWait
	if w.feed.Wait != nil {
		wait = w.feed.Wait()
	}
	changes, next, err := w.watch(ctx, wait)
	if err != nil {
		return err
	}
	w.notifyRestored(time.Now())
	for _, c := range changes {
		w.feed.Apply(c, time.Now())
	}
	w.revision = max(w.revision, next)
	return nil
}

// pause waits for d, or until a renewal is requested or ctx ends.
func (w *follower) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.feed.Renew:
		event.WatchRenewed.Log(w.logger, "kind", w.feed.Kind, "revision", w.revision)
	case <-ctx.Done():
	}
}

// errRenewed is returned if a watch was cancelled in order to start a new one.
var errRenewed = errors.New("catalog: watch renewed")

// watch waits for changes; it returns errRenewed if a renewal is requested in the meantime.
func (w *follower) watch(ctx context.Context, wait time.Duration) ([]store.Change, int64, error) {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.feed.Renew != nil {
		go func() {
			select {
			case <-w.feed.Renew:
				cancel(errRenewed)
			case <-watchCtx.Done():
			}
		}()
	}
	changes, next, err := w.source.Watch(watchCtx, w.feed.Kind, w.revision, wait)
	if err != nil && errors.Is(context.Cause(watchCtx), errRenewed) {
		return nil, 0, errRenewed
	}
	return changes, next, err
}

// notifyRestored calls OnRestored if this call ended an outage.
func (w *follower) notifyRestored(now time.Time) {
	if !w.failedSince.IsZero() && now.Sub(w.failedSince) >= minOutage && w.feed.OnRestored != nil {
		w.feed.OnRestored(now)
	}
}

func (w *follower) succeeded(now time.Time) {
	if !w.failedSince.IsZero() {
		event.WatchRecovered.Log(w.logger, "kind", w.feed.Kind, "after_ms", now.Sub(w.failedSince).Milliseconds(), "revision", w.revision)
	}
	w.failedSince, w.retryPause = time.Time{}, 0
}

func (w *follower) failed(err error, now time.Time) {
	if w.failedSince.IsZero() {
		w.failedSince = now
		event.WatchFailed.Log(w.logger, "kind", w.feed.Kind, "revision", w.revision, "cause", err.Error())
	}
	w.retryPause = min(max(2*w.retryPause, minRetryPause), maxRetryPause)
}
