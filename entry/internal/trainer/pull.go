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
	// maxPullWait bounds the time that a pull may wait.
	maxPullWait = 30 * time.Second
	// versionPollInterval is how often a step reads the published weight version; attempts that exceed the staleness
	// bound must stop within a second of a change.
	versionPollInterval = 200 * time.Millisecond
)

// pull answers with the first batch of the log that holds a sample outside the cursor. The same cursor gets the same
// samples again, except for those that have become stale; these are withdrawn and generated again.
func (s *Step) pull(ctx context.Context, r wire.PullRequest) (wire.PullAnswer, error) {
	set, err := cursor.Parse(r.Cursor, s.spec.Digest, s.spec.Slots)
	if err != nil {
		return wire.PullAnswer{}, badRequest("%v", err)
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(r.Wait)*time.Millisecond, maxPullWait))
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingPulls++
	s.applyCursor(set)
	defer func() { s.waitingPulls-- }()
	for {
		if s.abandoned {
			return wire.PullAnswer{}, errNotOwner
		}
		if s.state != stateOpen && !set.Full() {
			return wire.PullAnswer{}, refusal.New(refusal.Conflict, refusal.NotRun, "trainer: step is %s", s.state)
		}
		s.raiseVersion(max(r.Version, s.trainer.options.Weights.Version(s.spec.Model)))
		a := s.selectAnswer(set, r.Max)
		if len(a.Samples) > 0 || a.Done || ctx.Err() != nil {
			s.finishPull(a, start)
			return a, nil
		}
		if f := s.permanentFailure(set); f != nil {
			return a, f
		}
		changed := s.changed
		s.mu.Unlock()
		s.wait(ctx, changed, versionPollInterval)
		s.mu.Lock()
	}
}

// applyCursor marks the samples in the trainer's cursor as acknowledged: they need no more work. The mutex must be held.
func (s *Step) applyCursor(set cursor.Set) {
	s.lastPull = time.Now()
	for i := range s.slots {
		was, is := s.acked.Has(i), set.Has(i)
		switch {
		case is && !was && s.slots[i].sample == nil:
			s.stopAttempts(i)
			s.plan.Close(i)
		case was && !is && s.slots[i].sample == nil:
			s.plan.Open(i)
		}
	}
	s.acked = set.Clone()
	s.notify()
}

// selectAnswer returns the answer to a cursor; maxSamples limits its samples if above 0. The mutex must be held.
func (s *Step) selectAnswer(set cursor.Set, maxSamples int) wire.PullAnswer {
	if maxSamples <= 0 {
		maxSamples = len(s.slots)
	}
	next := set.Clone()
	a := wire.PullAnswer{Checked: s.currentVersion.Load(), Samples: []wire.Sample{}}
	for _, b := range s.batches {
		if !b.visible || len(a.Samples) > 0 {
			break
		}
		// Withdrawn samples count towards the limit too: a repeated answer must not reach further than the first one.
		counted := 0
		for _, it := range b.items {
			if set.Has(it.slot) {
				continue
			}
			if counted == maxSamples {
				if len(a.Samples) > 0 {
					break
				}
				counted = 0
			}
			counted++
			if s.slots[it.slot].sample != it.sample {
				continue
			}
			if oldestVersion(it.sample.Spans) < s.minVersion() {
				s.withdraw(it.slot)
				continue
			}
			sample := *it.sample
			sample.Age = max(0, a.Checked-oldestVersion(sample.Spans))
			a.Samples = append(a.Samples, sample)
			next.Add(it.slot)
		}
	}
	a.Cursor = next.String()
	a.Left = len(s.slots) - next.Count()
	a.Done = a.Left == 0
	return a
}

// finishPull records what was answered; the mutex must be held. A pull whose cursor holds every sample ends the step.
func (s *Step) finishPull(a wire.PullAnswer, start time.Time) {
	if len(a.Samples) > 0 {
		s.lastAnswer = make(map[int]bool, len(a.Samples))
		for _, p := range a.Samples {
			i, _ := s.slotNumber(p.Group, p.Index)
			s.lastAnswer[i] = true
		}
	}
	if m := s.trainer.options.Meter; m != nil {
		m.TrainerWait(s.spec.Workspace, time.Since(start))
		for _, p := range a.Samples {
			m.SampleAge(s.spec.Workspace, p.Age)
		}
	}
	if len(a.Samples) == 0 && a.Done {
		s.endLocked(steplog.StateEnded)
	}
}

// permanentFailure returns the refusal of a slot if all missing slots have failed permanently, and nil otherwise.
func (s *Step) permanentFailure(set cursor.Set) error {
	var last *refusal.Error
	for i := range s.slots {
		if set.Has(i) {
			continue
		}
		st := &s.slots[i]
		if st.permanentFailure == nil || st.sample != nil {
			return nil
		}
		last = st.permanentFailure
	}
	if last == nil {
		return nil
	}
	return last
}
