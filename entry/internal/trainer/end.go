package trainer

import (
	"context"
	"errors"

	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// Progress returns the progress of a step; at an entry that does not own it, as the step's log has it.
func (t *Trainer) Progress(ctx context.Context, id Identity, run string, step int) (wire.StepStatus, error) {
	k := stepKey{run: run, step: step}
	if s := t.local(k); s != nil {
		if s.spec.Workspace != id.Workspace {
			return wire.StepStatus{}, unknown(k)
		}
		return s.Status(), nil
	}
	h := &history{}
	log := steplog.New(t.options.Store, run, step)
	err := h.read(ctx, log)
	var over *steplog.EndedError
	if errors.As(err, &over) {
		return closed(id, k, over.Record())
	}
	if err != nil {
		return wire.StepStatus{}, absent(k, err)
	}
	if h.spec == nil || h.spec.Workspace != id.Workspace {
		return wire.StepStatus{}, unknown(k)
	}
	return status(h), nil
}

// closed returns the status of a step that has ended.
func closed(id Identity, k stepKey, end wire.Record) (wire.StepStatus, error) {
	if end.Spec == nil || end.Spec.Workspace != id.Workspace {
		return wire.StepStatus{}, unknown(k)
	}
	a, _, err := ended(end, *end.Spec)
	return a, err
}

// End ends a step with the given state; repeating it is harmless. At an entry that does not own the step the end is
// written to the log, where the owner finds it within checkIdle.
func (t *Trainer) End(ctx context.Context, id Identity, run string, step int, state string) (wire.StepStatus, error) {
	if err := t.refuseIfClosed(); err != nil {
		return wire.StepStatus{}, err
	}
	k := stepKey{run: run, step: step}
	if s := t.local(k); s != nil {
		if s.spec.Workspace != id.Workspace {
			return wire.StepStatus{}, unknown(k)
		}
		s.end(state)
		s.settled(ctx, outageAfter)
		return s.Status(), nil
	}
	log := steplog.New(t.options.Store, run, step)
	h := &history{}
	record := endRecord(t.options.IDs(), 0, state)
	for {
		err := h.read(ctx, log)
		if err == nil && (h.spec == nil || h.spec.Workspace != id.Workspace) {
			return wire.StepStatus{}, unknown(k)
		}
		if err == nil && h.end != nil {
			return t.conclude(ctx, log, h, *h.end), nil
		}
		if err == nil {
			record.Epoch = h.owner.Epoch
			err = log.Append(ctx, record)
		}
		var taken *steplog.PositionTakenError
		var over *steplog.EndedError
		switch {
		case err == nil:
			return t.conclude(ctx, log, h, record), nil
		case errors.As(err, &over):
			return closed(id, k, over.Record())
		case !errors.As(err, &taken):
			return wire.StepStatus{}, absent(k, err)
		}
	}
}

// conclude deletes the log of a step whose end is written. If the store fails now, the next entry that reads the end
// record does it.
func (t *Trainer) conclude(ctx context.Context, log *steplog.Log, h *history, end wire.Record) wire.StepStatus {
	err := log.Close(ctx, end)
	var down *store.DownError
	if err != nil && !errors.As(err, &down) {
		t.options.Logger.Debug("trainer: delete log", "cause", err.Error())
	}
	a := status(h)
	a.State = end.State
	return a
}
