package trainer

import (
	"context"
	"errors"
	"time"

	"bulrushspoke/entry/internal/cursor"
	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// deleteLogTimeout bounds the background deletion of a log.
const deleteLogTimeout = time.Minute

// storeRetryAfter is the retry delay that callers are given while the store or a profile is unavailable.
const storeRetryAfter = 2 * time.Second

// storeDownError returns the refusal of a call that the store has failed; a write without an answer may take effect.
func storeDownError(err error) *refusal.Error {
	ran := refusal.NotRun
	var down *store.UnavailableError
	if errors.As(err, &down) && down.Ambiguous() {
		ran = refusal.Unknown
	}
	return refusal.New(refusal.StoreDown, ran, "trainer: %v", err).WithRetryAfter(storeRetryAfter)
}

// Open opens a step, or returns its status if it is already open. Another spec for the same run and step is a conflict.
// While the store is down, the step runs at this entry without its log, from the cursor in the request.
func (t *Trainer) Open(ctx context.Context, id Identity, r wire.StepRequest) (wire.StepStatus, error) {
	if err := t.refuseIfClosed(); err != nil {
		return wire.StepStatus{}, err
	}
	p, ok := t.options.Config.Profile(id.Profile)
	if !ok {
		return wire.StepStatus{}, refusal.New(refusal.Unready, refusal.NotRun, "trainer: profile %s is unknown", id.Profile).
			WithRetryAfter(storeRetryAfter)
	}
	slots, err := t.options.Limits.check(r, p)
	if err != nil {
		return wire.StepStatus{}, err
	}
	split, err := steplog.SplitGroups(r.Groups)
	if err != nil {
		err = tooLarge("%v", err)
		return wire.StepStatus{}, err
	}
	spec := wire.Spec{
		Run: r.Run, Step: r.Step, Model: r.Model, Version: r.Version, Scorer: r.Scorer, Workspace: id.Workspace,
		Profile: id.Profile, Staleness: p.Staleness, Slots: slots, Parts: len(split), Digest: steplog.Digest(r.Groups),
	}
	held, err := cursor.Parse(r.Cursor, spec.Digest, spec.Slots)
	if err != nil {
		return wire.StepStatus{}, badRequest("%v", err)
	}
	k := stepKey{run: r.Run, step: r.Step}
	info := t.info(k)
	if err := info.lock(ctx); err != nil {
		return wire.StepStatus{}, err
	}
	defer info.unlock()
	if s := t.ownedStep(k); s != nil {
		return s.repeatOpen(spec)
	}
	status, s, err := t.openLog(ctx, k, info, spec, r.Groups)
	if err != nil || s == nil {
		return status, err
	}
	s.mu.Lock()
	s.applyCursor(held)
	s.mu.Unlock()
	if err := t.startOwned(info, s); err != nil {
		return status, err
	}
	return s.Status(), nil
}

// repeatOpen answers a repeated open of a step that this entry owns.
func (s *Step) repeatOpen(spec wire.Spec) (wire.StepStatus, error) {
	if err := checkSameSpec(s.spec, spec); err != nil {
		return wire.StepStatus{}, err
	}
	s.mu.Lock()
	s.raiseVersion(spec.Version)
	s.mu.Unlock()
	return s.Status(), nil
}

// checkSameSpec returns a conflict if the specs differ. The version may have advanced since the first open.
func checkSameSpec(a, b wire.Spec) error {
	if a.Workspace != b.Workspace || a.Model != b.Model || a.Scorer != b.Scorer || a.Digest != b.Digest || a.Slots != b.Slots {
		return refusal.New(refusal.Conflict, refusal.NotRun, "trainer: step %d of run %s is open with another spec",
			b.Step, b.Run)
	}
	return nil
}

// openLog writes the spec and the owner record of a step to its log. It returns the step if this entry becomes its
// owner, and otherwise the status of the step in its log.
func (t *Trainer) openLog(
	ctx context.Context, k stepKey, info *stepInfo, spec wire.Spec, groups []wire.Group,
) (wire.StepStatus, *Step, error) {
	detector := outageDetector{threshold: t.outageThreshold}
	log := steplog.New(t.options.Store, k.run, k.step)
	log.SetCallTimeout(storeCallTimeout)
	first := wire.Record{Kind: steplog.KindSpec, Writer: t.options.NewID(), Spec: &spec}
	owner := t.newOwnerRecord()
	for {
		// The step may have ended since the last attempt, and a record of this entry may stand in its deleted log.
		ls := &logState{}
		log.Rewind()
		err := t.ensureSpec(ctx, log, ls, first, groups)
		if err == nil {
			err = t.claimOwnership(ctx, log, ls, &owner, "")
		}
		var down *store.UnavailableError
		var ended *steplog.EndedError
		switch {
		case err == nil && ls.owner.Writer == owner.Writer:
			return wire.StepStatus{}, t.restoreStep(ctx, k, ls, groups, log), nil
		case err == nil:
			info.spec, info.owner = ls.spec, ls.owner
			return logStatus(ls), nil, nil
		case errors.As(err, &ended):
			return openEnded(ended.Record(), spec)
		case !errors.As(err, &down):
			return wire.StepStatus{}, nil, err
		}
		if detector.recordFailure(log.LastCallDuration(), time.Now()) {
			event.StepUnlogged.Log(t.options.Logger, "run", k.run, "step", k.step)
			return wire.StepStatus{}, t.newStep(k, spec, groups, log), nil
		}
		if sleep(ctx, storeRetryPause); ctx.Err() != nil {
			// Any of the attempts may have written to the log.
			return wire.StepStatus{}, nil, storeDownError(err).WithRan(refusal.Unknown)
		}
	}
}

// ensureSpec makes sure that position 0 of the log holds the spec; another spec there is a conflict.
func (t *Trainer) ensureSpec(
	ctx context.Context, log *steplog.Log, ls *logState, first wire.Record, groups []wire.Group,
) error {
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	for ls.spec == nil {
		if err := ls.read(ctx, log); err != nil {
			return err
		}
		if ls.spec != nil {
			break
		}
		split, err := steplog.SplitGroups(groups)
		if err != nil {
			return tooLarge("%v", err)
		}
		if err := log.WriteParts(ctx, first.Spec.Digest, split); err != nil {
			return err
		}
		err = log.Append(ctx, first)
		var taken *steplog.PositionTakenError
		if err != nil && !errors.As(err, &taken) {
			return err
		}
		if err == nil {
			ls.spec = first.Spec
		}
	}
	return checkSameSpec(*ls.spec, *first.Spec)
}

// claimOwnership reads the log to its end and appends the owner record, unless an entry other than this one owns the
// step under a record whose writer id is not replaceWriter. Afterwards h names the owner. If the step has ended, it
// returns a *steplog.EndedError and deletes the log in the background.
func (t *Trainer) claimOwnership(
	ctx context.Context, log *steplog.Log, ls *logState, owner *wire.Record, replaceWriter string,
) error {
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	for {
		if err := ls.read(ctx, log); err != nil {
			return err
		}
		if ls.end != nil {
			t.deleteLogInBackground(*log, *ls.end)
			return steplog.NewEndedError(*ls.end)
		}
		if ls.owner.Writer == owner.Writer {
			break
		}
		if o := ls.owner; o.Owner != nil && o.Writer != replaceWriter && *o.Owner != t.options.Self {
			return nil
		}
		owner.Epoch = ls.owner.Epoch + 1
		err := log.Append(ctx, *owner)
		var taken *steplog.PositionTakenError
		if err != nil && !errors.As(err, &taken) {
			return err
		}
		if err == nil {
			ls.owner = *owner
			break
		}
	}
	log.WriteOwnerHint(ctx, *owner)
	return nil
}

// deleteLogInBackground deletes the log of a step whose owner wrote the end record but did not delete the log.
func (t *Trainer) deleteLogInBackground(log steplog.Log, end wire.Record) {
	go supervise.Guard(t.options.Logger, "step sweep", func() {
		ctx, cancel := context.WithTimeout(context.Background(), deleteLogTimeout)
		defer cancel()
		if err := log.Close(ctx, end); err != nil {
			t.options.Logger.Debug("trainer: step log not deleted", "cause", err.Error())
		}
	})
}

// restoreStep returns a step of this entry, restored from its log.
func (t *Trainer) restoreStep(ctx context.Context, k stepKey, ls *logState, groups []wire.Group, log *steplog.Log) *Step {
	s := t.newStep(k, *ls.spec, groups, log)
	s.joined, s.epoch = true, ls.owner.Epoch
	s.restore(ls.records)
	if s.epoch > 1 {
		s.collect(ctx)
	}
	return s
}

// openEnded answers an open of a step that has already ended.
func openEnded(r wire.Record, spec wire.Spec) (wire.StepStatus, *Step, error) {
	if r.Spec != nil {
		if err := checkSameSpec(*r.Spec, spec); err != nil {
			return wire.StepStatus{}, nil, err
		}
	}
	return wire.StepStatus{
		Run: spec.Run, Step: spec.Step, Model: spec.Model, Version: spec.Version,
		Slots: spec.Slots, Epoch: r.Epoch, State: r.State,
	}, nil, nil
}

// logStatus returns the status of a step as its log shows it.
func logStatus(ls *logState) wire.StepStatus {
	done, stale := 0, 0
	for _, r := range ls.records {
		done += len(r.Give) - len(r.Void)
		stale += len(r.Void)
	}
	a := wire.StepStatus{
		Run: ls.spec.Run, Step: ls.spec.Step, Model: ls.spec.Model, Version: ls.spec.Version, Slots: ls.spec.Slots,
		Epoch: ls.owner.Epoch, State: stateOpen, Done: done, Stale: stale,
	}
	if ls.owner.Owner != nil {
		a.Owner = ls.owner.Owner.Name
	}
	return a
}
