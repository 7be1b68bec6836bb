// Package sweep deletes jobs from the store once their results no longer have to be readable.
//
// # Usage
//
//	s := sweep.New(objects, retention, logger)
//	err := s.Run(ctx)
//
// # What is removed
//
// The platform's store does not expire objects. A job is removed once the sweeper has seen it ended for the retention
// period; an open job is never removed, however old it is. The period is measured by the steady clock of this process. The
// time of day of an instance may step, and that of the submission is of another instance.
//
// # Concurrent changes
//
// The sweeper first marks the state of the job as removed. The job is absent for all entries from then on, and none can be
// accepted under its id, so that no entry reads a job of which a part is left. Then the sweeper deletes all objects that were
// written before the mark, and the state last. A sweep that was interrupted is completed by the next one, which finds the
// mark.
//
// Marks and deletes are conditional on the revision, so sweepers may run concurrently.
package sweep

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"bulrushspoke/entry/internal/batch"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// interval is the time between two sweeps. A sweep that finds nothing to remove costs the pages of a stale list of small
// objects.
const interval = time.Minute

// Store is the subset of the platform's store that a Sweeper uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Record, error)
	Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error)
	Delete(ctx context.Context, kind, name string, revision int64) error
	Visit(ctx context.Context, kind string, f func(store.Record)) error
	VisitStale(ctx context.Context, kind string, f func(store.Record)) error
}

// Sweeper deletes ended jobs.
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
		store: s, retention: retention, logger: logger,
		ended: make(map[string]time.Time), open: make(map[string]time.Time),
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
	jobs, err := s.listJobs(ctx)
	if err != nil {
		return err
	}
	s.observeJobs(jobs, now)
	removed := 0
	for id, j := range jobs {
		due := j.state.Removed || j.state.Ended && now.Sub(s.ended[id]) >= s.retention
		if !due {
			continue
		}
		done, err := s.removeJob(ctx, id, jobs)
		if err != nil {
			return err
		}
		if done {
			removed++
		}
	}
	if removed > 0 {
		event.OldJobsRemoved.Log(s.logger, "jobs", removed)
	}
	return nil
}

// job is the state of a job as listed.
type job struct {
	revision int64
	state    wire.JobState // the zero value if the object cannot be decoded, which is never removed
}

// listJobs returns the jobs in the store, as they were up to several seconds ago.
func (s *Sweeper) listJobs(ctx context.Context) (map[string]job, error) {
	jobs := make(map[string]job)
	err := s.store.VisitStale(ctx, batch.KindState, func(r store.Record) {
		j := job{revision: r.Revision}
		if err := json.Unmarshal(r.Spec, &j.state); err != nil {
			event.ObjectInvalid.Log(s.logger, "kind", batch.KindState, "name", r.Name, "cause", err.Error())
			j.state = wire.JobState{}
		}
		jobs[r.Name] = j
	})
	return jobs, ignoreAbsent(err)
}

// observeJobs notes which jobs are open and which have ended, and reports those that are open for longer than the retention
// period.
func (s *Sweeper) observeJobs(jobs map[string]job, now time.Time) {
	ended, open := make(map[string]time.Time), make(map[string]time.Time)
	old, first := 0, ""
	for id, j := range jobs {
		if j.state.Ended {
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

// ignoreAbsent returns nil for the error of a kind that the store does not know yet.
func ignoreAbsent(err error) error {
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		return nil
	}
	return err
}
