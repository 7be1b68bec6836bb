package trainer

import (
	"context"
	"errors"

	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/event"
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

// End ends a step with the given state and may be repeated. At an entry that does not own the step, or has lost it, the
// end record is appended to the log, where the owner finds it within ownershipCheckInterval.
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
		if !s.isAbandoned() {
			return s.Status(), nil
		}
	}
	log := steplog.New(t.options.Store, run, step)
	ls := &logState{}
	err := ls.read(ctx, log)
	if err == nil && (ls.spec == nil || ls.spec.Workspace != id.Workspace) {
		return wire.StepStatus{}, notFoundError(k)
	}
	if err == nil {
		err = ls.appendEnd(ctx, log, newEndRecord(t.options.NewID(), 0, state))
	}
	var ended *steplog.EndedError
	if errors.As(err, &ended) {
		return endedStatus(id, k, ended.Record())
	}
	if err != nil {
		return wire.StepStatus{}, stepStoreError(k, err)
	}
	return t.deleteLog(ctx, log, ls, *ls.end), nil
}

// appendEnd reads the log to its end and appends the record, whoever owns the step. Afterwards ls holds the end record,
// which is another one if the step has been ended before.
func (ls *logState) appendEnd(ctx context.Context, log *steplog.Log, record wire.Record) error {
	for {
		if err := ls.read(ctx, log); err != nil {
			return err
		}
		if ls.end != nil {
			return nil
		}
		record.Epoch = ls.owner.Epoch
		err := log.Append(ctx, record)
		var taken *steplog.PositionTakenError
		if err == nil {
			ls.end = &record
			return nil
		}
		if !errors.As(err, &taken) {
			return err
		}
	}
}

// endAsFormerOwner ends a step that another entry owns by now. It is called by the log task.
func (s *Step) endAsFormerOwner(state string) {
	ctx, cancel := context.WithTimeout(context.Background(), deleteLogTimeout)
	defer cancel()
	ls := &logState{}
	record := newEndRecord(s.trainer.options.NewID(), 0, state)
	for {
		err := ls.appendEnd(ctx, s.log, record)
		var down *store.UnavailableError
		var ended *steplog.EndedError
		switch {
		case err == nil:
			s.trainer.deleteLog(ctx, s.log, &logState{spec: &s.spec}, *ls.end)
			return
		case errors.As(err, &ended):
			return
		case !errors.As(err, &down) || ctx.Err() != nil:
			event.StepEndLost.Log(s.trainer.options.Logger, "run", s.key.run, "step", s.key.step, "state", state, "cause", err.Error())
			return
		}
		s.wait(ctx, nil, storeRetryPause)
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
