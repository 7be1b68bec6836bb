package sweep

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bulrushspoke/entry/internal/batch"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// writePause is the time between two writes of a sweep, which leaves the rate of the store to the entries.
const writePause = 20 * time.Millisecond

// object is an object as listed.
type object struct {
	kind     string
	name     string
	revision int64
}

// jobs returns the ids of the jobs that an object may belong to, in ascending order. The id of a job may look like the name of
// a part of a payload.
func (o object) jobs() []string {
	if id := batch.JobOfPart(o.name); o.kind == batch.KindPayload && id != "" {
		return []string{id, o.name}
	}
	return []string{o.name}
}

// removeJob removes one of the jobs, and returns false if its state has changed since it was listed.
func (s *Sweeper) removeJob(ctx context.Context, id string, jobs map[string]job) (bool, error) {
	j := jobs[id]
	mark := j.revision
	if !j.state.Removed {
		j.state.Removed = true
		value, err := json.Marshal(j.state)
		if err != nil {
			return false, err
		}
		mark, err = s.store.Update(ctx, batch.KindState, id, value, j.revision)
		if isOutdated(err) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
	}
	if err := s.deleteLog(ctx, id, mark); err != nil {
		return false, err
	}
	if err := s.deletePayload(ctx, id, mark, jobs); err != nil {
		return false, err
	}
	if _, err := s.deleteNamed(ctx, batch.KindTexts, id, mark); err != nil {
		return false, err
	}
	return true, s.delete(ctx, object{kind: batch.KindState, name: id, revision: mark})
}

// deleteLog deletes the records of a job that were written before the mark, the last ones first.
func (s *Sweeper) deleteLog(ctx context.Context, id string, mark int64) error {
	var records []object
	kind := batch.KindRecords + id
	err := s.store.Visit(ctx, kind, func(r store.Record) {
		if r.Revision < mark {
			records = append(records, object{kind: kind, name: r.Name, revision: r.Revision})
		}
	})
	if ignoreAbsent(err) != nil {
		return err
	}
	for _, r := range slices.Backward(records) {
		if err := s.delete(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// deletePayload deletes the payload of a job if it was written before the mark. The main object names the parts, so it is
// deleted after them. The payload of another one of the jobs may have the name of a part.
func (s *Sweeper) deletePayload(ctx context.Context, id string, mark int64, jobs map[string]job) error {
	r, err := s.store.Get(ctx, batch.KindPayload, id)
	if err != nil {
		return ignoreAbsent(err)
	}
	if r.Revision >= mark {
		return nil
	}
	for _, name := range batch.PayloadParts(id, r.Spec) {
		if _, ok := jobs[name]; ok {
			continue
		}
		if _, err := s.deleteNamed(ctx, batch.KindPayload, name, mark); err != nil {
			return err
		}
	}
	return s.delete(ctx, object{kind: batch.KindPayload, name: id, revision: r.Revision})
}

// deleteNamed deletes an object if it was written before the mark.
func (s *Sweeper) deleteNamed(ctx context.Context, kind, name string, mark int64) (bool, error) {
	r, err := s.store.Get(ctx, kind, name)
	if err != nil || r.Revision >= mark {
		return false, ignoreAbsent(err)
	}
	return true, s.delete(ctx, object{kind: kind, name: name, revision: r.Revision})
}

// delete deletes an object unless it has changed or is gone.
func (s *Sweeper) delete(ctx context.Context, o object) error {
	defer sleep.For(ctx, writePause)
	err := s.store.Delete(ctx, o.kind, o.name, o.revision)
	if isOutdated(err) {
		return nil
	}
	return err
}

// removeOrphan removes an orphan, and returns false if a job that it may belong to has been accepted in the meantime.
func (s *Sweeper) removeOrphan(ctx context.Context, o object) (bool, error) {
	value, err := json.Marshal(wire.JobState{Ended: true, Removed: true})
	if err != nil {
		return false, err
	}
	var marks []object
	for _, id := range o.jobs() {
		revision, err := s.store.Create(ctx, batch.KindState, id, value)
		if isOutdated(err) {
			break
		}
		if err != nil {
			return false, err // the next sweep finds the marks
		}
		marks = append(marks, object{kind: batch.KindState, name: id, revision: revision})
	}
	marked := len(marks) == len(o.jobs())
	if marked {
		if err := s.delete(ctx, o); err != nil {
			return false, err
		}
	}
	for _, m := range slices.Backward(marks) {
		if err := s.delete(ctx, m); err != nil {
			return false, err
		}
	}
	return marked, nil
}

// isOutdated reports whether a conditional write failed because the object has changed or is gone.
func isOutdated(err error) bool {
	var absent *store.NotFoundError
	var conflict *store.ConflictError
	return errors.As(err, &absent) || errors.As(err, &conflict)
}
