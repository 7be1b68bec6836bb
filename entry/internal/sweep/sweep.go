// Package sweep deletes jobs from the store once their results no longer have to be readable.
//
// # Usage
//
//	s := sweep.New(objects, retention, logger)
//	err := s.Run(ctx)
//
// The platform's store does not expire objects. A job is removed once the sweeper has seen it ended for the retention
// period; an open job is never removed, however old it is. The period is measured by the steady clock of this process. The
// time of day of an instance may step, and that of the submission is of another instance.
//
// The log of a job is deleted from its end and the state of the job last, so that the next sweep completes an interrupted
// one. Deletes are conditional on the revision, so sweepers may run concurrently.
package sweep

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"time"

	"bulrushspoke/entry/internal/batch"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// interval is the time between two sweeps. A sweep that finds no expired job costs one list request for small objects.
const interval = time.Minute

// Store is the subset of the platform's store that a Sweeper uses.
type Store interface {
	List(ctx context.Context, kind string) ([]store.Record, int64, error)
	Delete(ctx context.Context, kind, name string, revision int64) error
}

// Sweeper deletes expired jobs.
type Sweeper struct {
	store     Store
	retention time.Duration
	logger    *slog.Logger

	ended map[string]time.Time // when jobs were first seen ended
	open  map[string]time.Time // when jobs were first seen open
}

// New returns a Sweeper that deletes jobs once it has seen them ended for the retention period. The period must not be
// shorter than the time for which the platform requires results to be readable.
func New(s Store, retention time.Duration, logger *slog.Logger) *Sweeper {
	return &Sweeper{
		store: s, retention: retention, logger: logger, ended: make(map[string]time.Time), open: make(map[string]time.Time),
	}
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			// The store client has logged the failure; the next sweep tries again.
			_ = s.Sweep(ctx, now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Sweep removes what is due at the given time, which must have a reading of the steady clock.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) error {
	jobs, err := s.list(ctx, batch.KindState)
	if err != nil {
		return err
	}
	expired, known := make(map[string]bool), make(map[string]bool)
	states := make(map[string]wire.JobState)
	for _, r := range jobs {
		known[r.Name] = true
		var state wire.JobState
		if err := json.Unmarshal(r.Spec, &state); err != nil {
			event.ObjectInvalid.Log(s.logger, "kind", batch.KindState, "name", r.Name, "cause", err.Error())
			continue
		}
		states[r.Name] = state
	}
	s.observeJobs(states, now)
	for id, at := range s.ended {
		if now.Sub(at) >= s.retention {
			expired[id] = true
		}
	}
	if len(expired) == 0 {
		return nil
	}
	for id := range expired {
		if err := s.deleteMatching(ctx, batch.KindRecords+id, func(string) bool { return true }); err != nil {
			return err
		}
	}
	for _, kind := range []string{batch.KindTexts, batch.KindPayload, batch.KindState} {
		err := s.deleteMatching(ctx, kind, func(name string) bool {
			// The id of a job may look like the name of a part.
			return expired[name] || kind == batch.KindPayload && !known[name] && expired[batch.JobOfPart(name)]
		})
		if err != nil {
			return err
		}
	}
	event.OldJobsRemoved.Log(s.logger, "jobs", len(expired))
	return nil
}

// observeJobs notes which jobs are open and which have ended, and reports those that are open for longer than the retention
// period.
func (s *Sweeper) observeJobs(jobs map[string]wire.JobState, now time.Time) {
	ended, open := make(map[string]time.Time), make(map[string]time.Time)
	old, first := 0, ""
	for id, j := range jobs {
		if j.Ended {
			ended[id] = firstSeen(s.ended, id, now)
			continue
		}
		open[id] = firstSeen(s.open, id, now)
		if now.Sub(open[id]) < s.retention {
			continue
		}
		old++
		if first == "" || id < first {
			first = id
		}
	}
	s.ended, s.open = ended, open
	if old > 0 {
		event.OldJobsOpen.Log(s.logger, "jobs", old, "first", first)
	}
}

// firstSeen returns when a key was first seen, which is now unless it was seen before.
func firstSeen(seen map[string]time.Time, key string, now time.Time) time.Time {
	if at, ok := seen[key]; ok {
		return at
	}
	return now
}

// deleteMatching deletes the objects of a kind whose names match, in reverse order.
func (s *Sweeper) deleteMatching(ctx context.Context, kind string, match func(name string) bool) error {
	list, err := s.list(ctx, kind)
	if err != nil {
		return err
	}
	for _, r := range slices.Backward(list) {
		if !match(r.Name) {
			continue
		}
		err := s.store.Delete(ctx, kind, r.Name, r.Revision)
		var absent *store.NotFoundError
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &absent) && !errors.As(err, &conflict) {
			return err
		}
	}
	return nil
}

// list returns an empty list for a kind that the store does not know yet.
func (s *Sweeper) list(ctx context.Context, kind string) ([]store.Record, error) {
	l, _, err := s.store.List(ctx, kind)
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		return nil, nil
	}
	return l, err
}
