package trainer

import (
	"context"
	"time"

	"bulrushspoke/entry/internal/cursor"
	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

const (
	// maxWait bounds the time that a pull may wait.
	maxWait = 30 * time.Second
	// pollPublished is how often a step looks at the published weight version; hopeless work must stop within a second
	// of a change.
	pollPublished = 200 * time.Millisecond
)

// pull answers with the first batch of the log that holds a sample outside the cursor. The same cursor gets the same
// samples again, except for those that have gone stale; these are withdrawn and made again.
func (s *Step) pull(ctx context.Context, r wire.PullRequest) (wire.PullAnswer, error) {
	set, err := cursor.Parse(r.Cursor, s.spec.Digest, s.spec.Slots)
	if err != nil {
		return wire.PullAnswer{}, bad("%v", err)
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(r.Wait)*time.Millisecond, maxWait))
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	s.adoptCursor(set)
	defer func() { s.waiting-- }()
	for {
		if s.abandoned {
			return wire.PullAnswer{}, errNotOwner
		}
		if s.state != open && !set.Full() {
			return wire.PullAnswer{}, refusal.New(refusal.Conflict, refusal.NotRun, "trainer: step is %s", s.state)
		}
		s.raise(max(r.Version, s.t.options.Weights.Version(s.spec.Model)))
		a := s.choose(set, r.Max)
		if len(a.Samples) > 0 || a.Done || ctx.Err() != nil {
			s.finishPull(a, start)
			return a, nil
		}
		if f := s.hopeless(set); f != nil {
			return a, f
		}
		changed := s.changed
		s.mu.Unlock()
		s.wait(ctx, changed, pollPublished)
		s.mu.Lock()
	}
}

// adoptCursor takes the trainer's cursor as the set of samples that need no more work; the mutex must be held.
func (s *Step) adoptCursor(set cursor.Set) {
	s.pulled = time.Now()
	for i := range s.cells {
		was, is := s.held.Has(i), set.Has(i)
		switch {
		case is && !was && s.cells[i].sample == nil:
			s.stopAttempts(i)
			s.plan.Close(i)
		case was && !is && s.cells[i].sample == nil:
			s.plan.Open(i)
		}
	}
	s.held = set.Clone()
	s.notify()
}

// choose returns the answer to a cursor; the mutex must be held.
func (s *Step) choose(set cursor.Set, most int) wire.PullAnswer {
	if most <= 0 {
		most = len(s.cells)
	}
	next := set.Clone()
	a := wire.PullAnswer{Checked: s.current.Load(), Samples: []wire.Sample{}}
	for _, b := range s.batches {
		if !b.shown || len(a.Samples) > 0 {
			break
		}
		// The cut counts withdrawn samples too: an answer that is repeated must not reach further than it did at first.
		counted := 0
		for _, it := range b.items {
			if set.Has(it.slot) {
				continue
			}
			if counted == most {
				if len(a.Samples) > 0 {
					break
				}
				counted = 0
			}
			counted++
			if s.cells[it.slot].sample != it.sample {
				continue
			}
			if oldest(it.sample.Spans) < s.floor() {
				s.withdraw(it.slot)
				continue
			}
			sample := *it.sample
			sample.Age = max(0, a.Checked-oldest(sample.Spans))
			a.Samples = append(a.Samples, sample)
			next.Add(it.slot)
		}
	}
	a.Cursor = next.String()
	a.Left = len(s.cells) - next.Count()
	a.Done = a.Left == 0
	return a
}

// finishPull records what was answered; the mutex must be held. A pull that holds every sample ends the step.
func (s *Step) finishPull(a wire.PullAnswer, start time.Time) {
	if len(a.Samples) > 0 {
		s.answer = make(map[int]bool, len(a.Samples))
		for _, p := range a.Samples {
			i, _ := s.slot(p.Group, p.Index)
			s.answer[i] = true
		}
	}
	if m := s.t.options.Meter; m != nil {
		m.TrainerWait(s.spec.Workspace, time.Since(start))
		for _, p := range a.Samples {
			m.SampleAge(s.spec.Workspace, p.Age)
		}
	}
	if len(a.Samples) == 0 && a.Done {
		s.finish(steplog.StateEnded)
	}
}

// hopeless returns the refusal that keeps every missing slot from being made, nil while any can be.
func (s *Step) hopeless(set cursor.Set) error {
	var last *refusal.Error
	for i := range s.cells {
		if set.Has(i) {
			continue
		}
		c := &s.cells[i]
		if c.failure == nil || c.sample != nil {
			return nil
		}
		last = c.failure
	}
	if last == nil {
		return nil
	}
	return last
}
