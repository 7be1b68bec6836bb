// Package sweep removes jobs from the store whose results need not be readable any more.
//
// # Usage
//
//	s := sweep.New(objects, keep, logger)
//	err := s.Run(ctx)
//
// Nothing in the platform's store expires by itself. A job is removed from its log backwards, its state last, so that a
// sweep that was cut off is finished by the next one. Every delete is conditional, so several sweepers do no harm.
package sweep

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"bulrushspoke/entry/internal/batch"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// every is the time between two sweeps: one list of small objects a minute.
const every = time.Minute

// Store is the part of the platform's store that sweeping uses.
type Store interface {
	List(ctx context.Context, kind string) ([]store.Record, int64, error)
	Delete(ctx context.Context, kind, name string, revision int64) error
}

// Sweeper removes old jobs.
type Sweeper struct {
	store  Store
	keep   time.Duration
	logger *slog.Logger
}

// New returns a Sweeper that removes jobs some time after they were submitted; keep must exceed the time for which the
// platform wants results readable, and the time after which items may be given up.
func New(s Store, keep time.Duration, logger *slog.Logger) *Sweeper {
	return &Sweeper{store: s, keep: keep, logger: logger}
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			// The client has logged the cause of a failure; the next sweep goes on.
			_ = s.Sweep(ctx, now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Sweep removes the jobs that are old at the given time.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) error {
	jobs, err := s.list(ctx, batch.KindState)
	if err != nil || len(jobs) == 0 {
		return err
	}
	old := make(map[string]bool)
	for _, r := range jobs {
		var state wire.JobState
		if err := json.Unmarshal(r.Spec, &state); err != nil {
			event.ObjectInvalid.Log(s.logger, "kind", batch.KindState, "name", r.Name, "cause", err.Error())
			continue
		}
		if now.Sub(time.UnixMilli(state.At)) > s.keep {
			old[r.Name] = true
		}
	}
	if len(old) == 0 {
		return nil
	}
	for id := range old {
		if err := s.clear(ctx, batch.KindRecords+id, func(string) bool { return true }); err != nil {
			return err
		}
	}
	for _, kind := range []string{batch.KindTexts, batch.KindPayload, batch.KindState} {
		err := s.clear(ctx, kind, func(name string) bool {
			id, _, _ := strings.Cut(name, ".") // parts of a payload are named after it
			return old[id]
		})
		if err != nil {
			return err
		}
	}
	event.JobsSwept.Log(s.logger, "jobs", len(old))
	return nil
}

// clear deletes the objects of a kind that are chosen, the last first.
func (s *Sweeper) clear(ctx context.Context, kind string, chosen func(name string) bool) error {
	list, err := s.list(ctx, kind)
	if err != nil {
		return err
	}
	for _, r := range slices.Backward(list) {
		if !chosen(r.Name) {
			continue
		}
		err := s.store.Delete(ctx, kind, r.Name, r.Revision)
		var absent *store.AbsentError
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &absent) && !errors.As(err, &conflict) {
			return err
		}
	}
	return nil
}

// list returns no objects for a kind that has never had one.
func (s *Sweeper) list(ctx context.Context, kind string) ([]store.Record, error) {
	l, _, err := s.store.List(ctx, kind)
	var absent *store.AbsentError
	if errors.As(err, &absent) {
		return nil, nil
	}
	return l, err
}
