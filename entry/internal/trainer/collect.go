package trainer

import (
	"context"
	"time"

	"bulrushspoke/wire"
)

const (
	// collectTimeout bounds one query to all daemons. collectInterval is the pause before the next one while daemons
	// still run attempts of the former owner.
	collectTimeout  = time.Second
	collectInterval = time.Second
)

// collect takes over the finished samples of a former owner from the daemons. Attempts that still run are awaited in
// the background, so that their tokens are not lost.
func (s *Step) collect(ctx context.Context) {
	if s.collectOnce(ctx) {
		s.runTask("step collect", func() {
			for s.ctx.Err() == nil {
				s.wait(s.ctx, nil, collectInterval)
				if !s.collectOnce(s.ctx) {
					return
				}
			}
		})
	}
}

// collectOnce queries the daemons once and reports whether attempts still run.
func (s *Step) collectOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	held := s.trainer.options.Pool.Collect(ctx, wire.Collect{Run: s.key.run, Step: s.key.step, Epoch: s.epoch})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != stateOpen || s.abandoned {
		return false
	}
	for daemon, h := range held {
		for _, p := range h.Samples {
			s.takeCollected(daemon, p)
		}
	}
	running := make(map[int]bool)
	for _, h := range held {
		for _, p := range h.Running {
			if v := oldestVersion(p.Spans); v != 0 && v < s.minVersion() {
				continue
			}
			if i, ok := s.slotNumber(p.Slot.Group, p.Slot.Index); ok && s.needsSample(i) {
				running[i] = true
			}
		}
	}
	for i := range s.slots {
		st := &s.slots[i]
		was := st.awaitingDaemon
		st.awaitingDaemon = running[i]
		if was && !st.awaitingDaemon && s.needsSample(i) {
			s.plan.Open(i)
		}
	}
	s.notify()
	return len(running) > 0
}

// needsSample reports whether the slot has no sample, is outside the cursor and has no attempt of this owner; the mutex
// must be held.
func (s *Step) needsSample(i int) bool {
	st := &s.slots[i]
	return st.sample == nil && !s.acked.Has(i) && st.attempts == [2]*attempt{}
}

// takeCollected processes one finished sample of a former owner; the mutex must be held.
func (s *Step) takeCollected(daemon string, p wire.HeldSample) {
	i, ok := s.slotNumber(p.Slot.Group, p.Slot.Index)
	if !ok {
		s.trainer.options.Pool.Drop(daemon, p.Attempt)
		return
	}
	st := &s.slots[i]
	if st.sample != nil && st.sample.ID == p.Attempt && s.uncommitted(i) {
		return
	}
	if !s.needsSample(i) {
		if st.attempts == [2]*attempt{} {
			s.trainer.options.Pool.Drop(daemon, p.Attempt)
		}
		return
	}
	st.awaitingDaemon = false
	sample := s.newSample(i, p.Attempt, p.Tokens, p.Spans)
	if s.spec.Scorer != "" {
		s.scoreCollected(i, sample, daemon)
		return
	}
	s.accept(i, sample, daemon)
}

// uncommitted reports whether the sample of a slot is not yet in the log; the mutex must be held.
func (s *Step) uncommitted(i int) bool {
	for _, it := range s.unbatched {
		if it.slot == i {
			return true
		}
	}
	for _, p := range s.appendQueue {
		if p.batch == nil {
			continue
		}
		for _, it := range p.batch.items {
			if it.slot == i {
				return true
			}
		}
	}
	return false
}

// scoreCollected scores a collected sample as an attempt of its own; the mutex must be held.
func (s *Step) scoreCollected(i int, sample wire.Sample, daemon string) {
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{slot: i, number: s.plan.Start(i, time.Now()), cancel: cancel, tokens: sample.Tokens, oldest: oldestVersion(sample.Spans)}
	s.slots[i].attempts[a.number] = a
	s.runningAttempts++
	s.runTask("score", func() {
		defer cancel()
		s.scoreAndAccept(ctx, a, sample, daemon)
	})
}
