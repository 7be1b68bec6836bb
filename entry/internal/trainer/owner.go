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
	// readTimeout bounds reading a whole log, up to 64 records of 1 MB each.
	readTimeout = 15 * time.Second
	// forwardTimeout is added to the wait of a forwarded pull: an owner that is alive answers within it.
	forwardTimeout = 2 * time.Second
	// routes bounds how often a pull follows a change of owner.
	routes = 4
)

// Take answers a trainer's pull, at this entry or through the owner of the step.
func (t *Trainer) Take(ctx context.Context, id Identity, run string, step int, r wire.PullRequest) (wire.PullAnswer, error) {
	k := stepKey{run: run, step: step}
	for range routes {
		s := t.local(k)
		if s == nil {
			if err := t.refuseIfClosed(); err != nil {
				return wire.PullAnswer{}, err
			}
			a, moved, err := t.route(ctx, id, k, r)
			if moved && err == nil {
				continue
			}
			return a, err
		}
		if s.spec.Workspace != id.Workspace {
			return wire.PullAnswer{}, unknown(k)
		}
		a, err := s.pull(ctx, r)
		if errors.Is(err, errNotOwner) {
			continue
		}
		return a, err
	}
	return wire.PullAnswer{}, refusal.New(refusal.Busy, refusal.NotRun, "trainer: step %d of run %s is changing its owner",
		step, run).After(time.Second)
}

func unknown(k stepKey) error {
	return refusal.New(refusal.NotFound, refusal.NotRun, "trainer: run %s has no open step %d", k.run, k.step)
}

// Pull serves a pull that another entry forwards.
func (t *Trainer) Pull(ctx context.Context, f wire.Forward) wire.Batch {
	k := stepKey{run: f.Run, step: f.Step}
	s := t.local(k)
	err := unknown(k)
	if s != nil {
		var a wire.PullAnswer
		if a, err = s.pull(ctx, f.Pull); err == nil {
			return wire.Batch{Answer: &a}
		}
		if errors.Is(err, errNotOwner) {
			err = unknown(k)
		}
	}
	var r *refusal.Error
	if !errors.As(err, &r) {
		r = refusal.New(refusal.Internal, refusal.Unknown, "trainer: %v", err)
	}
	return wire.Batch{Code: string(r.Code()), Message: r.Message(), Retry: r.Retry().Milliseconds()}
}

// route forwards a pull to the owner of the step, or takes the step over if the owner does not have it or does not
// answer. It reports whether the step is now owned here.
func (t *Trainer) route(ctx context.Context, id Identity, k stepKey, r wire.PullRequest) (wire.PullAnswer, bool, error) {
	site := t.site(k)
	spec, owner, err := t.find(ctx, k, site)
	var over *steplog.EndedError
	if errors.As(err, &over) {
		t.forget(k, site)
		return t.closing(id, k, r, over.Record())
	}
	if err != nil {
		return wire.PullAnswer{}, false, err
	}
	if spec.Workspace != id.Workspace {
		return wire.PullAnswer{}, false, unknown(k)
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
	err = t.takeOver(ctx, k, site, owner)
	if errors.As(err, &over) {
		t.forget(k, site)
		return t.closing(id, k, r, over.Record())
	}
	return wire.PullAnswer{}, true, err
}

// forward passes a pull to the owner; false if the owner does not answer or does not have the step.
func (t *Trainer) forward(ctx context.Context, owner string, k stepKey, r wire.PullRequest) (wire.PullAnswer, bool, error) {
	wait := min(time.Duration(r.Wait)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+forwardTimeout)
	defer cancel()
	b, err := t.options.Peers.Forward(ctx, owner, wire.Forward{Run: k.run, Step: k.step, Pull: r})
	if err != nil || b.Code == string(refusal.NotFound) {
		return wire.PullAnswer{}, false, nil
	}
	if b.Code != "" {
		return wire.PullAnswer{}, true, refusal.New(refusal.Code(b.Code), refusal.NotRun, "%s", b.Message).
			After(time.Duration(b.Retry) * time.Millisecond)
	}
	if b.Answer == nil {
		return wire.PullAnswer{}, false, nil
	}
	return *b.Answer, true, nil
}

// find returns the spec and the owner that this entry last knew, from the store if it knows none. The owner may be out
// of date.
func (t *Trainer) find(ctx context.Context, k stepKey, site *stepInfo) (wire.Spec, wire.Record, error) {
	if err := site.lock(ctx); err != nil {
		return wire.Spec{}, wire.Record{}, err
	}
	defer site.unlock()
	if site.spec != nil && site.owner.Owner != nil {
		return *site.spec, site.owner, nil
	}
	log := steplog.New(t.options.Store, k.run, k.step)
	log.SetCallTimeout(callTimeout)
	spec, err := log.ReadSpec(ctx)
	if err != nil {
		return wire.Spec{}, wire.Record{}, absent(k, err)
	}
	site.spec = &spec
	owner, err := log.ReadOwnerHint(ctx)
	var none *store.AbsentError
	if err != nil && !errors.As(err, &none) {
		return spec, owner, absent(k, err)
	}
	site.owner = owner
	return spec, owner, nil
}

// absent turns an error of the store into a refusal.
func absent(k stepKey, err error) error {
	var none *store.AbsentError
	if errors.As(err, &none) {
		return unknown(k)
	}
	var down *store.DownError
	if errors.As(err, &down) {
		return storeDown(err)
	}
	return err
}

// takeOver makes this entry the owner of a step whose owner record tried did not answer. If the log names a newer owner,
// it only takes note of that one.
func (t *Trainer) takeOver(ctx context.Context, k stepKey, site *stepInfo, tried wire.Record) error {
	if err := site.lock(ctx); err != nil {
		return err
	}
	defer site.unlock()
	if t.local(k) != nil || site.owner.Writer != tried.Writer {
		return nil
	}
	log := steplog.New(t.options.Store, k.run, k.step)
	log.SetCallTimeout(callTimeout)
	h := &history{}
	owner := t.ownerRecord()
	if err := t.claim(ctx, log, h, &owner, tried.Writer); err != nil {
		return absent(k, err)
	}
	site.spec, site.owner = h.spec, h.owner
	if h.owner.Writer != owner.Writer {
		return nil
	}
	groups, err := log.ReadParts(ctx, *h.spec)
	if err != nil {
		return absent(k, err)
	}
	event.StepTaken.Log(t.options.Logger, "run", k.run, "step", k.step, "epoch", h.owner.Epoch)
	return t.keep(site, t.load(ctx, k, h, groups, log))
}

// closing answers a pull of a step that has ended: its last answer may have been lost.
func (t *Trainer) closing(id Identity, k stepKey, r wire.PullRequest, end wire.Record) (wire.PullAnswer, bool, error) {
	if end.Spec == nil || end.Spec.Workspace != id.Workspace {
		return wire.PullAnswer{}, false, unknown(k)
	}
	set, err := cursor.Parse(r.Cursor, end.Spec.Digest, end.Spec.Slots)
	if err != nil {
		return wire.PullAnswer{}, false, bad("%v", err)
	}
	if !set.Full() {
		return wire.PullAnswer{}, false, refusal.New(refusal.Conflict, refusal.NotRun, "trainer: step is %s", end.State)
	}
	checked := max(end.Spec.Version, r.Version, t.options.Weights.Version(end.Spec.Model))
	return wire.PullAnswer{Checked: checked, Cursor: r.Cursor, Done: true, Samples: []wire.Sample{}}, false, nil
}

// stepDown ends the work of a step that this entry does not own any more.
func (t *Trainer) stepDown(s *Step, cause error) {
	event.StepLost.Log(t.options.Logger, "run", s.key.run, "step", s.key.step, "cause", cause.Error())
	s.abandon()
}

// join brings a step that was opened during an outage together with its log: this entry becomes the owner, samples in
// the log come before its own, and its own that the log lacks are appended.
func (s *Step) join() error {
	h := &history{}
	s.log.Rewind()
	first := wire.Record{Kind: steplog.KindSpec, Writer: s.t.options.IDs(), Spec: &s.spec}
	if err := s.t.inscribe(s.ctx, s.log, h, first, s.groups); err != nil {
		return err
	}
	if err := h.read(s.ctx, s.log); err != nil {
		return err
	}
	owner := s.t.ownerRecord()
	if err := s.t.claim(s.ctx, s.log, h, &owner, h.owner.Writer); err != nil {
		return err
	}
	if h.owner.Writer != owner.Writer {
		return errNotOwner
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined, s.epoch = true, h.owner.Epoch
	s.merge(h.records)
	event.StepJoined.Log(s.t.options.Logger, "run", s.key.run, "step", s.key.step, "epoch", s.epoch)
	return nil
}

// merge loads the log and queues again what it lacks; the mutex must be held.
func (s *Step) merge(records []wire.Record) {
	batches, ready, state := s.batches, s.ready, s.state
	local := make([]*wire.Sample, len(s.cells))
	for i := range s.cells {
		local[i] = s.cells[i].sample
	}
	s.queue, s.ready = nil, nil
	s.load(records)
	for i := range s.cells {
		if s.cells[i].sample != nil {
			s.stopAttempts(i)
			s.plan.Close(i)
		}
	}
	mine := func(it item) bool {
		if local[it.slot] != it.sample || s.cells[it.slot].sample != nil {
			s.t.options.Pool.Drop(it.daemon, it.sample.ID)
			return false
		}
		s.cells[it.slot].sample = it.sample
		return true
	}
	for _, b := range batches {
		next := &batch{shown: true}
		r := wire.Record{Kind: steplog.KindCommit}
		for _, it := range b.items {
			if mine(it) {
				next.items = append(next.items, it)
				r.Give = append(r.Give, *it.sample)
			}
		}
		if len(next.items) > 0 {
			s.batches = append(s.batches, next)
			s.push(r, next)
		}
	}
	for _, it := range ready {
		if mine(it) {
			s.ready = append(s.ready, it)
		}
	}
	if state != open {
		s.push(wire.Record{Kind: steplog.KindEnd, State: state}, nil)
	}
}
