package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/schedule"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const (
	// minWindow keeps a step going while the number of engine slots is unknown.
	minWindow = 4
	// maxWindow bounds the goroutines and buffers of one step.
	maxWindow = 2048
	// minRetryPause and maxRetryPause bound the pause after a failed attempt of a slot, before jitter.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 5 * time.Second
	// defaultAttemptTimeout applies if the profile is no longer in the configuration or its deadline cannot be parsed.
	defaultAttemptTimeout = 30 * time.Minute
	class                 = "train"
)

// attempt is one run that may produce the sample of a slot.
type attempt struct {
	slot   int
	number int
	cancel context.CancelFunc
	tokens int
	oldest int64 // lowest weight version of the output so far; 0 if unknown
	// discarded is set once the result is of no use.
	discarded bool
}

// runTask runs f in a goroutine and logs a panic.
func (s *Step) runTask(name string, f func()) {
	go supervise.Guard(s.trainer.options.Logger, name, f)
}

// runAttempts keeps a window of attempts in flight until the step ends.
func (s *Step) runAttempts() {
	for s.ctx.Err() == nil {
		s.mu.Lock()
		if s.state != stateOpen {
			s.mu.Unlock()
			return
		}
		s.raiseVersion(s.trainer.options.Weights.Version(s.spec.Model))
		s.fillWindow(time.Now())
		s.stopExcessReruns()
		changed := s.changed
		s.mu.Unlock()
		s.wait(s.ctx, changed, versionPollInterval)
	}
}

// engineSlots returns how many samples the engines of the model generate at once.
func (s *Step) engineSlots() int {
	slots := 0
	for _, c := range s.trainer.options.Pool.Candidates("engine", s.spec.Model) {
		if c.Linked && !c.Leaving && c.Server.Up {
			slots += c.Server.Slots
		}
	}
	return slots
}

// fillWindow starts attempts up to the window, and reruns stragglers near the end; the mutex must be held.
func (s *Step) fillWindow(now time.Time) {
	capacity := s.engineSlots()
	window := max(minWindow, min(maxWindow, int(schedule.InflightPerSlot*float64(capacity))))
	for s.runningAttempts < window {
		// A rerun needs a free engine slot: queued behind the surplus of the window it gains nothing.
		i, ok := 0, false
		if s.runningAttempts < capacity {
			i, ok = s.plan.NextRerun(now, capacity)
		}
		if !ok {
			i, ok = s.nextSlot(now)
		}
		if !ok {
			return
		}
		s.startAttempt(i, now)
	}
}

// nextSlot returns an open slot. A slot whose last attempt failed is closed in the plan until its pause is over.
func (s *Step) nextSlot(now time.Time) (int, bool) {
	for {
		i, ok := s.plan.Next()
		if !ok {
			return 0, false
		}
		st := &s.slots[i]
		if st.sample == nil && !s.acked.Has(i) && !st.awaitingDaemon && !now.Before(st.retryAfter) {
			return i, true
		}
		s.plan.Close(i)
		if st.sample == nil && !s.acked.Has(i) && !st.awaitingDaemon {
			time.AfterFunc(st.retryAfter.Sub(now), func() { s.reopenSlot(i) })
		}
	}
}

// reopenSlot makes a slot available again.
func (s *Step) reopenSlot(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &s.slots[i]
	if st.sample != nil || st.awaitingDaemon || s.acked.Has(i) || st.attempts != [2]*attempt{} {
		return
	}
	st.permanentFailure = nil
	s.plan.Open(i)
	s.notify()
}

// startAttempt starts an attempt of the slot; the mutex must be held.
func (s *Step) startAttempt(i int, now time.Time) {
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{slot: i, number: s.plan.Start(i, now), cancel: cancel}
	s.slots[i].attempts[a.number] = a
	s.runningAttempts++
	j := s.job(a, now)
	s.runTask("sample", func() {
		defer cancel()
		r, err := s.trainer.options.Dispatcher.Run(ctx, j)
		s.handleResult(ctx, a, r, err)
	})
}

// job returns the dispatcher's job for an attempt.
func (s *Step) job(a *attempt, now time.Time) dispatch.Job {
	g := s.groups[s.slots[a.slot].group]
	slot := s.wireSlot(a.slot)
	return dispatch.Job{
		Work: wire.Work{
			Class: class, Workspace: s.spec.Workspace, Profile: s.spec.Profile, Request: s.requestName(a.slot),
			Slot: &slot, Model: s.spec.Model, Prompt: g.Prompt, Max: g.Tokens, Predicted: s.plan.Predict(a.slot),
			Group: s.key.run + "/" + g.Name,
		},
		Deadline: now.Add(s.attemptTimeout()),
		Floor:    s.minVersion,
		Sink:     func(offset int, tokens []string, spans []wire.Span) { s.recordProgress(a, offset+len(tokens), spans) },
	}
}

func (s *Step) attemptTimeout() time.Duration {
	p, ok := s.trainer.options.Config.Profile(s.spec.Profile)
	if !ok {
		return defaultAttemptTimeout
	}
	d, err := time.ParseDuration(p.Deadline)
	if err != nil {
		return defaultAttemptTimeout
	}
	return d
}

// recordProgress records the output of an attempt so far, and discards the attempt if it exceeds the staleness bound.
func (s *Step) recordProgress(a *attempt, tokens int, spans []wire.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.discarded {
		return
	}
	a.tokens = tokens
	s.plan.Progress(a.slot, a.number, tokens)
	if v := oldestVersion(spans); v != 0 && (a.oldest == 0 || v < a.oldest) {
		a.oldest = v
	}
	if a.oldest != 0 && a.oldest < s.minVersion() {
		s.discard(a)
		s.notify()
	}
}

// discard stops an attempt whose result is of no use; the mutex must be held. Its slot reopens if it was the only one.
func (s *Step) discard(a *attempt) {
	if a.discarded {
		return
	}
	a.discarded = true
	a.cancel()
	s.runningAttempts--
	s.slots[a.slot].attempts[a.number] = nil
	s.plan.Fail(a.slot, a.number)
}

// cancelStale stops the attempts that exceed the staleness bound; the mutex must be held.
func (s *Step) cancelStale() {
	for i := range s.slots {
		for _, a := range s.slots[i].attempts {
			if a != nil && a.oldest != 0 && a.oldest < s.minVersion() {
				s.staleCount++
				s.discard(a)
			}
		}
	}
}

// stopAttempts stops all attempts of a slot; the mutex must be held.
func (s *Step) stopAttempts(i int) {
	for _, a := range s.slots[i].attempts {
		if a != nil {
			s.discard(a)
		}
	}
}

// stopAllAttempts stops all attempts; the mutex must be held.
func (s *Step) stopAllAttempts() {
	for i := range s.slots {
		s.stopAttempts(i)
	}
}

// stopExcessReruns stops reruns that would waste more than their share of tokens; the mutex must be held.
func (s *Step) stopExcessReruns() {
	for {
		i, n, ok := s.plan.AttemptToStop()
		if !ok {
			return
		}
		a := s.slots[i].attempts[n]
		if a == nil {
			return
		}
		s.plan.Stop(i, n)
		s.discard(a)
	}
}

// handleResult processes the result of an attempt. The first complete sample of a slot is accepted; any other is
// dropped at its daemon.
func (s *Step) handleResult(ctx context.Context, a *attempt, r dispatch.Result, err error) {
	if err != nil {
		s.recordFailure(a, err)
		return
	}
	s.scoreAndAccept(ctx, a, s.newSample(a.slot, r.Attempt, r.Tokens, r.Spans), r.Daemon)
}

// scoreAndAccept scores a complete sample if the step has a scorer, and accepts it.
func (s *Step) scoreAndAccept(ctx context.Context, a *attempt, sample wire.Sample, daemon string) {
	if s.spec.Scorer != "" && !s.score(ctx, a, &sample) {
		s.discardFinished(a, daemon, sample.ID)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.discarded {
		s.trainer.options.Pool.Drop(daemon, sample.ID)
		return
	}
	s.plan.Finish(a.slot, a.number, sample.Tokens, time.Now())
	s.discard(a)
	s.stopAttempts(a.slot)
	s.accept(a.slot, sample, daemon)
}

func (s *Step) newSample(i int, attempt string, tokens []string, spans []wire.Span) wire.Sample {
	st := &s.slots[i]
	return wire.Sample{
		ID: attempt, Group: s.groups[st.group].Name, Index: st.index,
		Text: strings.Join(tokens, ""), Tokens: len(tokens), Spans: spans,
	}
}

// accept makes a complete sample that of its slot, unless it exceeds the staleness bound; the mutex must be held.
func (s *Step) accept(i int, sample wire.Sample, daemon string) {
	st := &s.slots[i]
	st.failures, st.permanentFailure = 0, nil
	if st.sample != nil || s.acked.Has(i) || s.state != stateOpen {
		s.trainer.options.Pool.Drop(daemon, sample.ID)
		return
	}
	if oldestVersion(sample.Spans) < s.minVersion() {
		s.staleCount++
		s.plan.Open(i)
		s.trainer.options.Pool.Drop(daemon, sample.ID)
		s.notify()
		return
	}
	if st.score != nil {
		sample.Score, sample.Scored = *st.score, true
	}
	b, err := json.Marshal(sample)
	if err != nil || len(b) > steplog.MaxRecordBytes {
		s.trainer.options.Pool.Drop(daemon, sample.ID)
		s.backOff(i, refusal.New(refusal.TooLarge, refusal.Partial, "trainer: sample of %s takes %d bytes, at most %d",
			s.requestName(i), len(b), steplog.MaxRecordBytes).WithRetryAfter(maxRetryPause))
		return
	}
	st.sample = &sample
	s.plan.Close(i)
	if len(s.unbatched) == 0 {
		s.unbatchedSince = time.Now()
	}
	s.unbatched = append(s.unbatched, batchItem{slot: i, sample: &sample, daemon: daemon, bytes: len(b)})
	s.notify()
}

// discardFinished drops a finished sample that cannot be used.
func (s *Step) discardFinished(a *attempt, daemon, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discard(a)
	s.trainer.options.Pool.Drop(daemon, id)
	s.notify()
}

// recordFailure records that an attempt ended without a sample; its slot is retried after a pause.
func (s *Step) recordFailure(a *attempt, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.discarded {
		return
	}
	s.discard(a)
	st := &s.slots[a.slot]
	if st.attempts != [2]*attempt{} {
		return
	}
	var r *refusal.Error
	if !errors.As(err, &r) {
		r = refusal.New(refusal.Internal, refusal.Unknown, "trainer: %v", err)
	}
	s.backOff(a.slot, r)
}

// backOff delays the next attempt of a slot; the mutex must be held. Only a sample that is too large counts as a permanent
// failure of the slot; any other cause is temporary.
func (s *Step) backOff(i int, r *refusal.Error) {
	c := &s.slots[i]
	d := min(minRetryPause<<min(c.failures, 6), maxRetryPause)
	d += time.Duration(s.trainer.randomInt64N(int64(d)))
	c.failures++
	if r.Code() == refusal.TooLarge {
		c.permanentFailure = r
		d = max(d, maxRetryPause)
	}
	c.retryAfter = time.Now().Add(max(d, r.RetryAfter()))
	s.notify()
}
