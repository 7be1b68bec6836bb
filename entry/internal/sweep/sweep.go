// Package sweep deletes jobs from the store once their results no longer have to be readable, and the payloads of jobs that
// were never accepted.
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
// An object of a payload or a checkpoint without a job is an orphan: its submission was refused or broken off, or a write
// took effect late. It is removed once the sweeper has seen it, unchanged and without a job, for the retention period.
//
// # Concurrent changes
//
// The sweeper first marks the state of the job as removed, or creates a state with this mark for an orphan. The job is
// absent for all entries from then on, and none can be accepted under its id, so that no entry reads a job of which a part
// is left. Then the sweeper deletes all objects that were written before the mark, and the state last. A sweep that was
// interrupted is completed by the next one, which finds the mark.
//
// Marks and deletes are conditional on the revision, so sweepers may run concurrently.
package sweep

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"slices"
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
	Create(ctx context.Context, kind, name string, spec []byte) (int64, error)
	Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error)
	Delete(ctx context.Context, kind, name string, revision int64) error
	Visit(ctx context.Context, kind string, f func(store.Record)) error
	VisitStale(ctx context.Context, kind string, f func(store.Record)) error
}

// Sweeper deletes ended jobs and orphans.
type Sweeper struct {
	store     Store
	retention time.Duration
	logger    *slog.Logger

	ended   map[string]time.Time // when jobs were first seen ended
	open    map[string]time.Time // when jobs were first seen open
	orphans map[object]time.Time // when orphans were first seen
	listed  time.Time            // when payloads and checkpoints were last listed
}

// New returns a Sweeper that deletes jobs once it has seen them ended for the retention period. The period must not be
// shorter than the time for which the platform requires results to be readable.
func New(s Store, retention time.Duration, logger *slog.Logger) *Sweeper {
	return &Sweeper{
		store: s, retention: retention, logger: logger,
		ended: make(map[string]time.Time), open: make(map[string]time.Time), orphans: make(map[object]time.Time),
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
	// An interrupted sweep may have left the marks of an orphan for two ids. That of the part goes first, as the orphan may
	// belong to the other job once that can be accepted again.
	for _, id := range slices.Backward(slices.Sorted(maps.Keys(jobs))) {
		j := jobs[id]
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
			delete(jobs, id)
		}
	}
	orphans, err := s.removeOrphans(ctx, jobs, now)
	if removed > 0 || orphans > 0 {
		event.OldJobsRemoved.Log(s.logger, "jobs", removed, "orphans", orphans)
	}
	return err
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
func firstSeen[K comparable](seen map[K]time.Time, k K, now time.Time) time.Time {
	if at, ok := seen[k]; ok {
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

// removeOrphans removes objects of payloads and checkpoints that have had no job for the retention period, and returns their
// number. These objects are large, so they are listed once in that period only, and their values are dropped page by page.
func (s *Sweeper) removeOrphans(ctx context.Context, jobs map[string]job, now time.Time) (int, error) {
	if !s.listed.IsZero() && now.Sub(s.listed) < s.retention {
		return 0, nil
	}
	found := make(map[object]time.Time)
	for _, kind := range []string{batch.KindPayload, batch.KindTexts} {
		err := s.store.VisitStale(ctx, kind, func(r store.Record) {
			o := object{kind: kind, name: r.Name, revision: r.Revision}
			if !slices.ContainsFunc(o.jobs(), func(id string) bool { _, ok := jobs[id]; return ok }) {
				found[o] = firstSeen(s.orphans, o, now)
			}
		})
		if ignoreAbsent(err) != nil {
			return 0, err
		}
	}
	s.orphans, s.listed = found, now
	removed := 0
	for o, at := range found {
		if now.Sub(at) < s.retention {
			continue
		}
		done, err := s.removeOrphan(ctx, o)
		if err != nil {
			return removed, err
		}
		if done {
			removed++
		}
	}
	return removed, nil
}
