package trainer

import (
	"context"
	"errors"

	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// Progress returns the status of a step; at an entry that does not own it, as the step's log shows it.
func (t *Trainer) Progress(ctx context.Context, id Identity, run string, step int) (wire.StepStatus, error) {
	k := stepKey{run: run, step: step}
	if s := t.ownedStep(k); s != nil {
		if s.spec.Workspace != id.Workspace {
			return wire.StepStatus{}, notFoundError(k)
		}
		return s.Status(), nil
	}
	ls := &logState{}
	log := steplog.New(t.options.Store, run, step)
	err := ls.read(ctx, log)
	var ended *steplog.EndedError
	if errors.As(err, &ended) {
		return endedStatus(id, k, ended.Record())
	}
	if err != nil {
		return wire.StepStatus{}, stepStoreError(k, err)
	}
	if ls.spec == nil || ls.spec.Workspace != id.Workspace {
		return wire.StepStatus{}, notFoundError(k)
	}
	return logStatus(ls), nil
}

// endedStatus returns the status of a step that has ended.
func endedStatus(id Identity, k stepKey, end wire.Record) (wire.StepStatus, error) {
	if end.Spec == nil || end.Spec.Workspace != id.Workspace {
		return wire.StepStatus{}, notFoundError(k)
	}
	a, _, err := openEnded(end, *end.Spec)
	return a, err
}

// End ends a step with the given state and may be repeated. At an entry that does not own the step, the end record is
// appended to the log, where the owner finds it within ownershipCheckInterval.
func (t *Trainer) End(ctx context.Context, id Identity, run string, step int, state string) (wire.StepStatus, error) {
	if err := t.refuseIfClosed(); err != nil {
		return wire.StepStatus{}, err
	}
	k := stepKey{run: run, step: step}
	if s := t.ownedStep(k); s != nil {
		if s.spec.Workspace != id.Workspace {
			return wire.StepStatus{}, notFoundError(k)
		}
		s.end(state)
		s.waitUntilEnded(ctx, outageThreshold)
		return s.Status(), nil
	}
	log := steplog.New(t.options.Store, run, step)
	ls := &logState{}
	record := newEndRecord(t.options.NewID(), 0, state)
	for {
		err := ls.read(ctx, log)
		if err == nil && (ls.spec == nil || ls.spec.Workspace != id.Workspace) {
			return wire.StepStatus{}, notFoundError(k)
		}
		if err == nil && ls.end != nil {
			return t.deleteLog(ctx, log, ls, *ls.end), nil
		}
		if err == nil {
			record.Epoch = ls.owner.Epoch
			err = log.Append(ctx, record)
		}
		var taken *steplog.PositionTakenError
		var ended *steplog.EndedError
		switch {
		case err == nil:
			return t.deleteLog(ctx, log, ls, record), nil
		case errors.As(err, &ended):
			return endedStatus(id, k, ended.Record())
		case !errors.As(err, &taken):
			return wire.StepStatus{}, stepStoreError(k, err)
		}
	}
}

// deleteLog deletes the log of a step whose end record is written. If the store fails now, the next entry that reads
// the end record deletes the log.
func (t *Trainer) deleteLog(ctx context.Context, log *steplog.Log, ls *logState, end wire.Record) wire.StepStatus {
	err := log.Close(ctx, end)
	var down *store.UnavailableError
	if err != nil && !errors.As(err, &down) {
		t.options.Logger.Debug("trainer: step log not deleted", "cause", err.Error())
	}
	a := logStatus(ls)
	a.State = end.State
	return a
}
