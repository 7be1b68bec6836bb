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
	// minWindow keeps a step moving while the number of engine slots is unknown.
	minWindow = 4
	// maxWindow bounds the goroutines and buffers of one step.
	maxWindow = 2048
	// firstPause and lastPause bound the pause after a failed attempt of a slot.
	firstPause = 100 * time.Millisecond
	lastPause  = 5 * time.Second
	// defaultDeadline bounds an attempt whose profile is gone from the configuration.
	defaultDeadline = 30 * time.Minute
	class           = "train"
)

// attempt is one run that may produce the sample of a slot.
type attempt struct {
	slot   int
	number int
	cancel context.CancelFunc
	tokens int
	oldest int64
	// gone is set once the result is of no use.
	gone bool
}

// task runs f and logs a panic.
func (s *Step) task(name string, f func()) {
	go supervise.Guard(s.t.options.Logger, name, f)
}

// produce keeps a window of samples in flight until the step ends.
func (s *Step) produce() {
	for s.ctx.Err() == nil {
		s.mu.Lock()
		if s.state != open {
			s.mu.Unlock()
			return
		}
		s.raise(s.t.options.Weights.Version(s.spec.Model))
		s.fill(time.Now())
		s.trim()
		changed := s.changed
		s.mu.Unlock()
		s.wait(s.ctx, changed, pollPublished)
	}
}

// capacity returns how many samples the engines of the model make at once.
func (s *Step) capacity() int {
	slots := 0
	for _, c := range s.t.options.Pool.Candidates("engine", s.spec.Model) {
		if c.Linked && !c.Leaving && c.Server.Up {
			slots += c.Server.Slots
		}
	}
	return slots
}

// fill starts samples up to the window, and runs stragglers again near the end; the mutex must be held.
func (s *Step) fill(now time.Time) {
	capacity := s.capacity()
	most := max(minWindow, min(maxWindow, int(schedule.Window*float64(capacity))))
	for s.running < most {
		// A rerun must find a free engine slot: waiting in the queue that the surplus of the window makes is no gain.
		i, ok := 0, false
		if s.running < capacity {
			i, ok = s.plan.Rerun(now, capacity)
		}
		if !ok {
			i, ok = s.pick(now)
		}
		if !ok {
			return
		}
		s.launch(i, now)
	}
}

// pick returns an open slot. A slot whose last attempt failed is closed in the plan until its pause is over.
func (s *Step) pick(now time.Time) (int, bool) {
	for {
		i, ok := s.plan.Next()
		if !ok {
			return 0, false
		}
		c := &s.cells[i]
		if c.sample == nil && !s.held.Has(i) && !c.awaited && !now.Before(c.after) {
			return i, true
		}
		s.plan.Close(i)
		if c.sample == nil && !s.held.Has(i) && !c.awaited {
			time.AfterFunc(c.after.Sub(now), func() { s.reopen(i) })
		}
	}
}

// reopen lets a slot be picked again.
func (s *Step) reopen(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.cells[i]
	if c.sample != nil || c.awaited || s.held.Has(i) || c.attempts != [2]*attempt{} {
		return
	}
	c.failure = nil
	s.plan.Open(i)
	s.notify()
}

// launch starts an attempt of the slot; the mutex must be held.
func (s *Step) launch(i int, now time.Time) {
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{slot: i, number: s.plan.Start(i, now), cancel: cancel}
	s.cells[i].attempts[a.number] = a
	s.running++
	j := s.job(a, now)
	s.task("sample", func() {
		defer cancel()
		r, err := s.t.options.Dispatcher.Run(ctx, j)
		s.deliver(ctx, a, r, err)
	})
}

// job returns the request that makes the sample of a slot.
func (s *Step) job(a *attempt, now time.Time) dispatch.Job {
	g := s.groups[s.cells[a.slot].group]
	slot := s.name(a.slot)
	return dispatch.Job{
		Work: wire.Work{
			Class: class, Workspace: s.spec.Workspace, Profile: s.spec.Profile, Request: s.request(a.slot), Slot: &slot,
			Model: s.spec.Model, Prompt: g.Prompt, Max: g.Tokens, Predicted: s.plan.Predict(a.slot),
			Group: s.key.run + "/" + g.Name,
		},
		Deadline: now.Add(s.deadline()),
		Floor:    s.floor,
		Sink:     func(offset int, tokens []string, spans []wire.Span) { s.progress(a, offset+len(tokens), spans) },
	}
}

func (s *Step) deadline() time.Duration {
	p, ok := s.t.options.Config.Profile(s.spec.Profile)
	if !ok {
		return defaultDeadline
	}
	d, err := time.ParseDuration(p.Deadline)
	if err != nil {
		return defaultDeadline
	}
	return d
}

// progress records what an attempt has produced so far.
func (s *Step) progress(a *attempt, tokens int, spans []wire.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.gone {
		return
	}
	a.tokens = tokens
	s.plan.Progress(a.slot, a.number, tokens)
	if v := oldest(spans); v != 0 && (a.oldest == 0 || v < a.oldest) {
		a.oldest = v
	}
	if a.oldest != 0 && a.oldest < s.floor() {
		s.drop(a)
		s.notify()
	}
}

// drop stops an attempt whose result is of no use; the mutex must be held. Its slot opens again if it was the only one.
func (s *Step) drop(a *attempt) {
	if a.gone {
		return
	}
	a.gone = true
	a.cancel()
	s.running--
	s.cells[a.slot].attempts[a.number] = nil
	s.plan.Fail(a.slot, a.number)
}

// cancelStale stops the attempts that can no longer meet the bound; the mutex must be held.
func (s *Step) cancelStale() {
	for i := range s.cells {
		for _, a := range s.cells[i].attempts {
			if a != nil && a.oldest != 0 && a.oldest < s.floor() {
				s.stale++
				s.drop(a)
			}
		}
	}
}

// stopAttempts stops all attempts of a slot; the mutex must be held.
func (s *Step) stopAttempts(i int) {
	for _, a := range s.cells[i].attempts {
		if a != nil {
			s.drop(a)
		}
	}
}

// stopAll stops all attempts; the mutex must be held.
func (s *Step) stopAll() {
	for i := range s.cells {
		s.stopAttempts(i)
	}
}

// trim stops reruns that would waste more than their share; the mutex must be held.
func (s *Step) trim() {
	for {
		i, n, ok := s.plan.Excess()
		if !ok {
			return
		}
		a := s.cells[i].attempts[n]
		if a == nil {
			return
		}
		s.plan.Stop(i, n)
		s.drop(a)
	}
}

// deliver takes the result of an attempt. The first whole sample of a slot wins; any other is dropped at its daemon.
func (s *Step) deliver(ctx context.Context, a *attempt, r dispatch.Result, err error) {
	if err != nil {
		s.fail(a, err)
		return
	}
	s.conclude(ctx, a, s.sample(a.slot, r.Attempt, r.Tokens, r.Spans), r.Daemon)
}

// conclude scores a whole sample and makes it the one of its slot.
func (s *Step) conclude(ctx context.Context, a *attempt, sample wire.Sample, daemon string) {
	if s.spec.Scorer != "" && !s.score(ctx, a, &sample) {
		s.lose(a, daemon, sample.ID)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.gone {
		s.t.options.Pool.Drop(daemon, sample.ID)
		return
	}
	s.plan.Finish(a.slot, a.number, sample.Tokens, time.Now())
	s.drop(a)
	s.stopAttempts(a.slot)
	s.accept(a.slot, sample, daemon)
}

func (s *Step) sample(i int, attempt string, tokens []string, spans []wire.Span) wire.Sample {
	c := &s.cells[i]
	return wire.Sample{
		ID: attempt, Group: s.groups[c.group].Name, Index: c.index,
		Text: strings.Join(tokens, ""), Tokens: len(tokens), Spans: spans,
	}
}

// accept makes a whole sample the one of its slot, unless it is stale already; the mutex must be held.
func (s *Step) accept(i int, sample wire.Sample, daemon string) {
	c := &s.cells[i]
	c.fails, c.failure = 0, nil
	if c.sample != nil || s.held.Has(i) || s.state != open {
		s.t.options.Pool.Drop(daemon, sample.ID)
		return
	}
	if oldest(sample.Spans) < s.floor() {
		s.stale++
		s.plan.Open(i)
		s.t.options.Pool.Drop(daemon, sample.ID)
		s.notify()
		return
	}
	if c.score != nil {
		sample.Score, sample.Scored = *c.score, true
	}
	b, err := json.Marshal(sample)
	if err != nil || len(b) > steplog.MaxRecordBytes {
		s.t.options.Pool.Drop(daemon, sample.ID)
		s.pause(i, refusal.New(refusal.TooLarge, refusal.Partial, "trainer: sample of %s takes %d bytes, at most %d",
			s.request(i), len(b), steplog.MaxRecordBytes).After(lastPause))
		return
	}
	c.sample = &sample
	s.plan.Close(i)
	if len(s.ready) == 0 {
		s.since = time.Now()
	}
	s.ready = append(s.ready, item{slot: i, sample: &sample, daemon: daemon, size: len(b)})
	s.notify()
}

// lose drops a finished sample that cannot be used.
func (s *Step) lose(a *attempt, daemon, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(a)
	s.t.options.Pool.Drop(daemon, id)
	s.notify()
}

// fail records that an attempt ended without a sample; its slot is tried again after a pause.
func (s *Step) fail(a *attempt, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.gone {
		return
	}
	s.drop(a)
	c := &s.cells[a.slot]
	if c.attempts != [2]*attempt{} {
		return
	}
	var r *refusal.Error
	if !errors.As(err, &r) {
		r = refusal.New(refusal.Internal, refusal.Unknown, "trainer: %v", err)
	}
	s.pause(a.slot, r)
}

// pause keeps a slot from being tried again for a while; the mutex must be held. Only a condemned request or an answer
// that can never fit counts as a failure of the slot: everything else passes.
func (s *Step) pause(i int, r *refusal.Error) {
	c := &s.cells[i]
	d := min(firstPause<<min(c.fails, 6), lastPause)
	d += time.Duration(s.t.random(int64(d)))
	c.fails++
	if r.Code() == refusal.Poison || r.Code() == refusal.TooLarge {
		c.failure = r
		d = max(d, lastPause)
	}
	c.after = time.Now().Add(max(d, r.Retry()))
	s.notify()
}
