package trainer

import (
	"context"
	"time"

	"bulrushspoke/wire"
)

const (
	// collectTimeout bounds one question to all daemons, and collectEvery is the pause until the next while daemons
	// still finish attempts of the former owner.
	collectTimeout = time.Second
	collectEvery   = time.Second
)

// collect takes the samples of a former owner from the daemons. Attempts that still run are waited for in the
// background, so that their tokens are not lost.
func (s *Step) collect(ctx context.Context) {
	if s.gather(ctx) {
		s.task("step collect", func() {
			for s.ctx.Err() == nil {
				s.wait(s.ctx, nil, collectEvery)
				if !s.gather(s.ctx) {
					return
				}
			}
		})
	}
}

// gather asks the daemons once and reports whether attempts still run.
func (s *Step) gather(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	held := s.t.options.Pool.Collect(ctx, wire.Collect{Run: s.key.run, Step: s.key.step, Epoch: s.epoch})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != open || s.abandoned {
		return false
	}
	for daemon, h := range held {
		for _, p := range h.Samples {
			s.inherit(daemon, p)
		}
	}
	running := make(map[int]bool)
	for _, h := range held {
		for _, p := range h.Running {
			if v := oldest(p.Spans); v != 0 && v < s.floor() {
				continue
			}
			if i, ok := s.slot(p.Slot.Group, p.Slot.Index); ok && s.wanted(i) {
				running[i] = true
			}
		}
	}
	for i := range s.cells {
		c := &s.cells[i]
		was := c.awaited
		c.awaited = running[i]
		if was && !c.awaited && s.wanted(i) {
			s.plan.Open(i)
		}
	}
	s.notify()
	return len(running) > 0
}

// wanted reports whether the slot has neither a sample nor an attempt of this owner; the mutex must be held.
func (s *Step) wanted(i int) bool {
	c := &s.cells[i]
	return c.sample == nil && !s.held.Has(i) && c.attempts == [2]*attempt{}
}

// inherit takes one finished sample of a former owner; the mutex must be held.
func (s *Step) inherit(daemon string, p wire.HeldSample) {
	i, ok := s.slot(p.Slot.Group, p.Slot.Index)
	if !ok {
		s.t.options.Pool.Drop(daemon, p.Attempt)
		return
	}
	c := &s.cells[i]
	if c.sample != nil && c.sample.ID == p.Attempt && s.pending(i) {
		return
	}
	if !s.wanted(i) {
		if c.attempts == [2]*attempt{} {
			s.t.options.Pool.Drop(daemon, p.Attempt)
		}
		return
	}
	c.awaited = false
	sample := s.sample(i, p.Attempt, p.Tokens, p.Spans)
	if s.spec.Scorer != "" {
		s.rescore(i, sample, daemon)
		return
	}
	s.accept(i, sample, daemon)
}

// pending reports whether the sample of a slot is not in the log yet; the mutex must be held.
func (s *Step) pending(i int) bool {
	for _, it := range s.ready {
		if it.slot == i {
			return true
		}
	}
	for _, e := range s.queue {
		if e.batch == nil {
			continue
		}
		for _, it := range e.batch.items {
			if it.slot == i {
				return true
			}
		}
	}
	return false
}

// rescore has a collected sample scored as an attempt of its own; the mutex must be held.
func (s *Step) rescore(i int, sample wire.Sample, daemon string) {
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{slot: i, number: s.plan.Start(i, time.Now()), cancel: cancel, tokens: sample.Tokens, oldest: oldest(sample.Spans)}
	s.cells[i].attempts[a.number] = a
	s.running++
	s.task("score", func() {
		defer cancel()
		s.conclude(ctx, a, sample, daemon)
	})
}
