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

// sweepTimeout bounds the deletion of a log whose owner is gone.
const sweepTimeout = time.Minute

// retryStore is the pause that a caller is asked for while the store is down.
const retryStore = 2 * time.Second

func storeDown(err error) error {
	return refusal.New(refusal.StoreDown, refusal.NotRun, "trainer: %v", err).After(retryStore)
}

// Open opens a step, or finds it open: the same run and step with another spec is a conflict. While the store is down
// the step runs at this entry without its log, from the cursor in the request.
func (t *Trainer) Open(ctx context.Context, id Identity, r wire.StepRequest) (wire.StepStatus, error) {
	if err := t.refuseIfClosed(); err != nil {
		return wire.StepStatus{}, err
	}
	p, ok := t.options.Config.Profile(id.Profile)
	if !ok {
		return wire.StepStatus{}, refusal.New(refusal.Unready, refusal.NotRun, "trainer: profile %s is unknown", id.Profile).
			After(retryStore)
	}
	slots, err := t.options.Limits.check(r, p)
	if err != nil {
		return wire.StepStatus{}, err
	}
	split, err := steplog.SplitGroups(r.Groups)
	if err != nil {
		err = large("%v", err)
		return wire.StepStatus{}, err
	}
	spec := wire.Spec{
		Run: r.Run, Step: r.Step, Model: r.Model, Version: r.Version, Scorer: r.Scorer, Workspace: id.Workspace,
		Profile: id.Profile, Staleness: p.Staleness, Slots: slots, Parts: len(split), Digest: steplog.Digest(r.Groups),
	}
	held, err := cursor.Parse(r.Cursor, spec.Digest, spec.Slots)
	if err != nil {
		return wire.StepStatus{}, bad("%v", err)
	}
	k := stepKey{run: r.Run, step: r.Step}
	site := t.site(k)
	if err := site.lock(ctx); err != nil {
		return wire.StepStatus{}, err
	}
	defer site.unlock()
	if s := t.local(k); s != nil {
		return s.again(spec)
	}
	status, s, err := t.establish(ctx, k, site, spec, r.Groups)
	if err != nil || s == nil {
		return status, err
	}
	s.mu.Lock()
	s.adoptCursor(held)
	s.mu.Unlock()
	if err := t.keep(site, s); err != nil {
		return status, err
	}
	return s.Status(), nil
}

// again answers a repeated open of a step that this entry owns.
func (s *Step) again(spec wire.Spec) (wire.StepStatus, error) {
	if err := same(s.spec, spec); err != nil {
		return wire.StepStatus{}, err
	}
	s.mu.Lock()
	s.raise(spec.Version)
	s.mu.Unlock()
	return s.Status(), nil
}

// same refuses another spec for the same run and step. The version may have moved on since the first open.
func same(a, b wire.Spec) error {
	if a.Workspace != b.Workspace || a.Model != b.Model || a.Scorer != b.Scorer || a.Digest != b.Digest || a.Slots != b.Slots {
		return refusal.New(refusal.Conflict, refusal.NotRun, "trainer: step %d of run %s is open with another spec",
			b.Step, b.Run)
	}
	return nil
}

// establish writes the opening of a step to its log. It returns the step if this entry is to own it, and otherwise the
// status of the step as its log has it.
func (t *Trainer) establish(
	ctx context.Context, k stepKey, site *stepInfo, spec wire.Spec, groups []wire.Group,
) (wire.StepStatus, *Step, error) {
	clock := outageClock{after: t.outageThreshold}
	log := steplog.New(t.options.Store, k.run, k.step)
	log.SetCallTimeout(callTimeout)
	h := &history{}
	first := wire.Record{Kind: steplog.KindSpec, Writer: t.options.IDs(), Spec: &spec}
	owner := t.ownerRecord()
	for {
		err := t.inscribe(ctx, log, h, first, groups)
		if err == nil {
			err = t.claim(ctx, log, h, &owner, "")
		}
		var down *store.DownError
		var over *steplog.EndedError
		switch {
		case err == nil && h.owner.Writer == owner.Writer:
			return wire.StepStatus{}, t.load(ctx, k, h, groups, log), nil
		case err == nil:
			site.spec, site.owner = h.spec, h.owner
			return status(h), nil, nil
		case errors.As(err, &over):
			return ended(over.Record(), spec)
		case !errors.As(err, &down):
			return wire.StepStatus{}, nil, err
		}
		if clock.fail(log.LastCallDuration(), time.Now()) {
			event.StepUnlogged.Log(t.options.Logger, "run", k.run, "step", k.step)
			return wire.StepStatus{}, t.newStep(k, spec, groups, log), nil
		}
		if pause(ctx, retryPause); ctx.Err() != nil {
			return wire.StepStatus{}, nil, storeDown(err)
		}
	}
}

// inscribe makes sure that position 0 of the log holds the spec; another spec there is a conflict.
func (t *Trainer) inscribe(
	ctx context.Context, log *steplog.Log, h *history, first wire.Record, groups []wire.Group,
) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for h.spec == nil {
		if err := h.read(ctx, log); err != nil {
			return err
		}
		if h.spec != nil {
			break
		}
		split, err := steplog.SplitGroups(groups)
		if err != nil {
			return large("%v", err)
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
			h.spec = first.Spec
		}
	}
	return same(*h.spec, *first.Spec)
}

// claim reads the log to its end and writes the owner record if there is no owner, or if the owner record has the
// writer id replace. In the end h names the owner, who may be another.
func (t *Trainer) claim(
	ctx context.Context, log *steplog.Log, h *history, owner *wire.Record, replace string,
) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		if err := h.read(ctx, log); err != nil {
			return err
		}
		if h.end != nil {
			t.sweep(*log, *h.end)
			return steplog.NewEndedError(*h.end)
		}
		if h.owner.Writer == owner.Writer {
			break
		}
		if o := h.owner; o.Owner != nil && o.Writer != replace && *o.Owner != t.options.Self {
			return nil
		}
		owner.Epoch = h.owner.Epoch + 1
		err := log.Append(ctx, *owner)
		var taken *steplog.PositionTakenError
		if err != nil && !errors.As(err, &taken) {
			return err
		}
		if err == nil {
			h.owner = *owner
			break
		}
	}
	log.WriteOwnerHint(ctx, *owner)
	return nil
}

// sweep deletes, in the background, the log of a step whose owner ended it and went away.
func (t *Trainer) sweep(log steplog.Log, end wire.Record) {
	go supervise.Guard(t.options.Logger, "step sweep", func() {
		ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
		defer cancel()
		if err := log.Close(ctx, end); err != nil {
			t.options.Logger.Debug("trainer: delete log", "cause", err.Error())
		}
	})
}

// load returns the step as its log has it, owned by this entry.
func (t *Trainer) load(ctx context.Context, k stepKey, h *history, groups []wire.Group, log *steplog.Log) *Step {
	s := t.newStep(k, *h.spec, groups, log)
	s.joined, s.epoch = true, h.owner.Epoch
	s.load(h.records)
	if s.epoch > 1 {
		s.collect(ctx)
	}
	return s
}

// ended answers an open of a step that has ended already.
func ended(r wire.Record, spec wire.Spec) (wire.StepStatus, *Step, error) {
	if r.Spec != nil {
		if err := same(*r.Spec, spec); err != nil {
			return wire.StepStatus{}, nil, err
		}
	}
	return wire.StepStatus{
		Run: spec.Run, Step: spec.Step, Model: spec.Model, Version: spec.Version,
		Slots: spec.Slots, Epoch: r.Epoch, State: r.State,
	}, nil, nil
}

// status returns the progress that a log shows.
func status(h *history) wire.StepStatus {
	done, stale := 0, 0
	for _, r := range h.records {
		done += len(r.Give) - len(r.Void)
		stale += len(r.Void)
	}
	a := wire.StepStatus{
		Run: h.spec.Run, Step: h.spec.Step, Model: h.spec.Model, Version: h.spec.Version, Slots: h.spec.Slots,
		Epoch: h.owner.Epoch, State: open, Done: done, Stale: stale,
	}
	if h.owner.Owner != nil {
		a.Owner = h.owner.Owner.Name
	}
	return a
}
