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
	"bulrushspoke/wire"
)

const (
	// logReadTimeout bounds reading a whole log, up to 64 records of 1 MB each.
	logReadTimeout = 15 * time.Second
	// forwardGrace is added to the wait time of a forwarded pull; a live owner answers within it.
	forwardGrace = 2 * time.Second
	// maxOwnerChanges limits how many changes of owner a pull follows.
	maxOwnerChanges = 4
)

// PullSamples answers a trainer's pull, at this entry or through the owner of the step.
func (t *Trainer) PullSamples(ctx context.Context, id Identity, run string, step int, r wire.PullRequest) (wire.PullAnswer, error) {
	k := stepKey{run: run, step: step}
	for range maxOwnerChanges {
		s := t.ownedStep(k)
		if s == nil {
			if err := t.refuseIfClosed(); err != nil {
				return wire.PullAnswer{}, err
			}
			a, retry, err := t.route(ctx, id, k, r)
			if retry && err == nil {
				continue
			}
			return a, err
		}
		if s.spec.Workspace != id.Workspace {
			return wire.PullAnswer{}, notFoundError(k)
		}
		a, err := s.pull(ctx, r)
		if errors.Is(err, errNotOwner) {
			continue
		}
		return a, err
	}
	return wire.PullAnswer{}, refusal.New(refusal.Busy, refusal.NotRun, "trainer: step %d of run %s is changing its owner",
		step, run).WithRetryAfter(time.Second)
}

func notFoundError(k stepKey) error {
	return refusal.New(refusal.NotFound, refusal.NotRun, "trainer: run %s has no open step %d", k.run, k.step)
}

// ForwardedPull answers a pull that another entry has forwarded.
func (t *Trainer) ForwardedPull(ctx context.Context, f wire.ForwardedPull) wire.ForwardedPullAnswer {
	k := stepKey{run: f.Run, step: f.Step}
	s := t.ownedStep(k)
	err := notFoundError(k)
	if s != nil {
		var a wire.PullAnswer
		if a, err = s.pull(ctx, f.Pull); err == nil {
			return wire.ForwardedPullAnswer{Answer: &a}
		}
		if errors.Is(err, errNotOwner) {
			err = notFoundError(k)
		}
	}
	var r *refusal.Error
	if !errors.As(err, &r) {
		r = refusal.New(refusal.Internal, refusal.Unknown, "trainer: %v", err)
	}
	return wire.ForwardedPullAnswer{Code: string(r.Code()), Message: r.Message(), Retry: r.RetryAfter().Milliseconds()}
}

// route forwards a pull to the owner of the step. If the owner does not have the step or does not answer,
// it takes over the step and returns true: the caller must then look up the owner again.
func (t *Trainer) route(ctx context.Context, id Identity, k stepKey, r wire.PullRequest) (wire.PullAnswer, bool, error) {
	info := t.info(k)
	spec, owner, err := t.lookUp(ctx, k, info)
	var ended *steplog.EndedError
	if errors.As(err, &ended) {
		t.forgetEnded(k, info)
		return t.answerEnded(id, k, r, ended.Record())
	}
	if err != nil {
		return wire.PullAnswer{}, false, err
	}
	if spec.Workspace != id.Workspace {
		return wire.PullAnswer{}, false, notFoundError(k)
	}
	if o := owner.Owner; o != nil && *o != t.options.Self {
		a, ok, err := t.forward(ctx, o.Name, k, r)
		if ok || err != nil {
			return a, false, err
		}
	}
	if ctx.Err() != nil {
		return wire.PullAnswer{}, false, refusal.New(refusal.Deadline, refusal.NotRun, "trainer: %v", ctx.Err())
	}
	err = t.takeOver(ctx, k, info, owner)
	if errors.As(err, &ended) {
		t.forgetEnded(k, info)
		return t.answerEnded(id, k, r, ended.Record())
	}
	return wire.PullAnswer{}, true, err
}

// forward sends a pull to the owner. It returns false if the owner does not answer or does not have the step.
func (t *Trainer) forward(ctx context.Context, owner string, k stepKey, r wire.PullRequest) (wire.PullAnswer, bool, error) {
	wait := min(time.Duration(r.Wait)*time.Millisecond, maxPullWait)
	ctx, cancel := context.WithTimeout(ctx, wait+forwardGrace)
	defer cancel()
	b, err := t.options.Peers.Forward(ctx, owner, wire.ForwardedPull{Run: k.run, Step: k.step, Pull: r})
	if err != nil || b.Code == string(refusal.NotFound) {
		return wire.PullAnswer{}, false, nil
	}
	if b.Code != "" {
		return wire.PullAnswer{}, true, refusal.New(refusal.Code(b.Code), refusal.NotRun, "%s", b.Message).
			WithRetryAfter(time.Duration(b.Retry) * time.Millisecond)
	}
	if b.Answer == nil {
		return wire.PullAnswer{}, false, nil
	}
	return *b.Answer, true, nil
}

// lookUp returns the spec and the last known owner of a step, and reads them from the store if this entry knows none.
// The owner may be out of date.
func (t *Trainer) lookUp(ctx context.Context, k stepKey, info *stepInfo) (wire.Spec, wire.Record, error) {
	if err := info.lock(ctx); err != nil {
		return wire.Spec{}, wire.Record{}, err
	}
	defer info.unlock()
	if info.spec != nil && info.owner.Owner != nil {
		return *info.spec, info.owner, nil
	}
	log := steplog.New(t.options.Store, k.run, k.step)
	log.SetCallTimeout(storeCallTimeout)
	spec, err := log.ReadSpec(ctx)
	if err != nil {
		return wire.Spec{}, wire.Record{}, stepStoreError(k, err)
	}
	info.spec = &spec
	owner, err := log.ReadOwnerHint(ctx)
	var absent *store.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return spec, owner, stepStoreError(k, err)
	}
	info.owner = owner
	return spec, owner, nil
}

// stepStoreError converts errors of the store to refusals and leaves other errors as they are.
func stepStoreError(k stepKey, err error) error {
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		return notFoundError(k)
	}
	var down *store.UnavailableError
	if errors.As(err, &down) {
		return storeDownError(err)
	}
	return err
}

// takeOver makes this entry the owner of a step. The owner named by the record previous did not answer; if the log
// names a newer one, takeOver only records it as the owner.
func (t *Trainer) takeOver(ctx context.Context, k stepKey, info *stepInfo, previous wire.Record) error {
	if err := info.lock(ctx); err != nil {
		return err
	}
	defer info.unlock()
	if t.ownedStep(k) != nil || info.owner.Writer != previous.Writer {
		return nil
	}
	log := steplog.New(t.options.Store, k.run, k.step)
	log.SetCallTimeout(storeCallTimeout)
	ls := &logState{}
	owner := t.newOwnerRecord()
	if err := t.claimOwnership(ctx, log, ls, &owner, previous.Writer); err != nil {
		return stepStoreError(k, err)
	}
	info.spec, info.owner = ls.spec, ls.owner
	if ls.owner.Writer != owner.Writer {
		return nil
	}
	groups, err := log.ReadParts(ctx, *ls.spec)
	if err != nil {
		return stepStoreError(k, err)
	}
	event.StepOwnershipAcquired.Log(t.options.Logger, "run", k.run, "step", k.step, "epoch", ls.owner.Epoch)
	return t.startOwned(info, t.restoreStep(ctx, k, ls, groups, log))
}

// answerEnded answers a pull of a step that has ended: the reply to the trainer's last pull may have been lost.
func (t *Trainer) answerEnded(id Identity, k stepKey, r wire.PullRequest, end wire.Record) (wire.PullAnswer, bool, error) {
	if end.Spec == nil || end.Spec.Workspace != id.Workspace {
		return wire.PullAnswer{}, false, notFoundError(k)
	}
	set, err := cursor.Parse(r.Cursor, end.Spec.Digest, end.Spec.Slots)
	if err != nil {
		return wire.PullAnswer{}, false, badRequest("%v", err)
	}
	if !set.Full() {
		return wire.PullAnswer{}, false, refusal.New(refusal.Conflict, refusal.NotRun, "trainer: step is %s",
			end.State)
	}
	checked := max(end.Spec.Version, r.Version, t.options.Weights.Version(end.Spec.Model))
	return wire.PullAnswer{Checked: checked, Cursor: r.Cursor, Done: true, Samples: []wire.Sample{}}, false, nil
}

// loseOwnership stops the work on a step that this entry no longer owns. An end that the trainer has been told of is
// written to the log all the same.
func (t *Trainer) loseOwnership(s *Step, cause error) {
	event.StepOwnershipLost.Log(t.options.Logger, "run", s.key.run, "step", s.key.step, "cause", cause.Error())
	s.abandon()
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	// A log that holds another spec is that of another step.
	var taken *steplog.PositionTakenError
	if state != stateOpen && (errors.As(cause, &taken) || errors.Is(cause, errNotOwner)) {
		s.endAsFormerOwner(state)
	}
}

// joinLog reconciles a step that was opened during an outage with its log. This entry becomes the owner, samples in the
// log take precedence over its own, and own samples that the log lacks are appended.
func (s *Step) joinLog() error {
	ls := &logState{}
	s.log.Rewind()
	first := wire.Record{Kind: steplog.KindSpec, Writer: s.trainer.options.NewID(), Spec: &s.spec}
	if err := s.trainer.ensureSpec(s.ctx, s.log, ls, first, s.groups); err != nil {
		return err
	}
	if err := ls.read(s.ctx, s.log); err != nil {
		return err
	}
	owner := s.trainer.newOwnerRecord()
	if err := s.trainer.claimOwnership(s.ctx, s.log, ls, &owner, ls.owner.Writer); err != nil {
		return err
	}
	if ls.owner.Writer != owner.Writer {
		return errNotOwner
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined, s.epoch = true, ls.owner.Epoch
	s.mergeLog(ls.records)
	event.StepLogRejoined.Log(s.trainer.options.Logger, "run", s.key.run, "step", s.key.step, "epoch", s.epoch)
	return nil
}

// mergeLog restores the samples in the log and queues local ones that it lacks; the mutex must be held.
func (s *Step) mergeLog(records []wire.Record) {
	batches, unbatched, state := s.batches, s.unbatched, s.state
	local := make([]*wire.Sample, len(s.slots))
	for i := range s.slots {
		local[i] = s.slots[i].sample
	}
	s.appendQueue, s.unbatched = nil, nil
	s.restore(records)
	for i := range s.slots {
		if s.slots[i].sample != nil {
			s.stopAttempts(i)
			s.plan.Close(i)
		}
	}
	keepLocal := func(it batchItem) bool {
		if local[it.slot] != it.sample || s.slots[it.slot].sample != nil {
			s.trainer.options.Pool.Drop(it.daemon, it.sample.ID)
			return false
		}
		s.slots[it.slot].sample = it.sample
		return true
	}
	for _, b := range batches {
		kept := &batch{visible: true}
		r := wire.Record{Kind: steplog.KindCommit}
		for _, it := range b.items {
			if keepLocal(it) {
				kept.items = append(kept.items, it)
				r.Give = append(r.Give, *it.sample)
			}
		}
		if len(kept.items) > 0 {
			s.batches = append(s.batches, kept)
			s.enqueue(r, kept)
		}
	}
	for _, it := range unbatched {
		if keepLocal(it) {
			s.unbatched = append(s.unbatched, it)
		}
	}
	if state != stateOpen {
		s.enqueue(wire.Record{Kind: steplog.KindEnd, State: state}, nil)
	}
}
