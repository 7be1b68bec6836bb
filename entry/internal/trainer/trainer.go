// Package trainer serves the calls of trainers: steps and their samples, weight versions and verdicts.
//
// # Usage
//
//	t := trainer.New(trainer.Options{Self: owner, Store: client, Dispatcher: dispatcher, …})
//	status, err := t.Open(ctx, identity, request)
//	answer, err := t.Take(ctx, identity, run, step, pull)
//
// One entry owns a step: it makes the samples, commits them to the step's log and answers pulls. A pull that arrives
// at another entry is forwarded to the owner; if the owner does not answer, the entry takes the step over. Ownership
// only saves work. That each sample reaches the trainer once rests on the positions of the log, which have one writer
// each, and on the trainer's cursor, which names the samples it holds.
//
// The answer to a cursor is the first record of the log that holds a sample outside the cursor. This makes the answer
// a function of the log and the cursor, so that every owner gives the same one.
package trainer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"bulrushspoke/entry/internal/daemon"
	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// Identity is who calls.
type Identity struct {
	Workspace string
	Profile   string
}

// Dispatcher runs jobs; its error is a *refusal.Error.
type Dispatcher interface {
	Run(ctx context.Context, j dispatch.Job) (dispatch.Result, error)
}

// Pool reaches the daemons.
type Pool interface {
	// Candidates returns the servers of a kind that serve a model.
	Candidates(kind, model string) []daemon.Candidate
	// Drop tells a daemon that it may forget finished samples.
	Drop(daemon string, attempts ...string)
	// Collect returns the samples of a step that daemons hold, by daemon name.
	Collect(ctx context.Context, c wire.Collect) map[string]wire.Held
}

// Peers reaches the other entries.
type Peers interface {
	// Forward passes a pull to another entry; it fails if the entry does not answer.
	Forward(ctx context.Context, entry string, f wire.Forward) (wire.Batch, error)
	// Verdict tells another entry of a counted verdict.
	Verdict(entry string, v wire.Verdict) error
}

// Config gives the profiles in force.
type Config interface {
	Profile(name string) (wire.Profile, bool)
}

// Weights gives and sets the published weight versions.
type Weights interface {
	Version(model string) int64
	Publish(ctx context.Context, model string, version int64) error
}

// Meter takes the measurements of steps.
type Meter interface {
	// SampleAge records the age in weight versions of a sample that is answered.
	SampleAge(workspace string, age int64)
	// TrainerWait records how long a pull waited with nothing to give.
	TrainerWait(workspace string, wait time.Duration)
}

// Options holds what a Trainer depends on. Meter may be nil.
type Options struct {
	Self       wire.Owner
	Store      steplog.Store
	Dispatcher Dispatcher
	Pool       Pool
	Peers      Peers
	Config     Config
	Weights    Weights
	Meter      Meter
	Limits     Limits
	// IDs returns a new ULID for each write.
	IDs    func() string
	Rand   *rand.Rand
	Logger *slog.Logger
}

// stepKey names a step.
type stepKey struct {
	run  string
	step int
}

// stepInfo is what this entry knows of a step. It is locked while the entry opens the step or takes it over; the lock is a
// channel, so that a call that waits for a slow store can give up.
type stepInfo struct {
	sem   chan struct{}
	spec  *wire.Spec
	owner wire.Record
	step  *Step
}

// Trainer serves the steps of this entry.
type Trainer struct {
	options Options
	mu      sync.Mutex
	stop    chan struct{}
	once    sync.Once
	// steps holds the steps that this entry owns or has seen.
	steps map[stepKey]*stepInfo
	// outageThreshold is how long the store may fail before samples are given without the log.
	outageThreshold time.Duration
}

// New returns a Trainer; Close ends its work.
func New(o Options) *Trainer {
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits()
	}
	return &Trainer{options: o, steps: make(map[stepKey]*stepInfo), stop: make(chan struct{}), outageThreshold: outageAfter}
}

// Close stops the work of all steps and writes nothing more; the next pull at another entry takes each step over.
func (t *Trainer) Close() {
	t.once.Do(func() { close(t.stop) })
	for _, s := range t.owned() {
		s.abandon()
	}
}

func (t *Trainer) closed() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// refuseIfClosed refuses calls that would write to a log once the trainer is closed.
func (t *Trainer) refuseIfClosed() error {
	if !t.closed() {
		return nil
	}
	return leaving()
}

func leaving() error {
	return refusal.New(refusal.Leaving, refusal.NotRun, "trainer: entry is leaving").After(time.Second)
}

func (t *Trainer) site(k stepKey) *stepInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.steps[k]
	if s == nil {
		s = &stepInfo{sem: make(chan struct{}, 1)}
		t.steps[k] = s
	}
	return s
}

// lock waits for the site; its error is a refusal.
func (s *stepInfo) lock(ctx context.Context) error {
	select {
	case s.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return refusal.New(refusal.Busy, refusal.NotRun, "trainer: step is being opened or taken over").After(time.Second)
	}
}

func (s *stepInfo) unlock() { <-s.sem }

// local returns the step if this entry owns it.
func (t *Trainer) local(k stepKey) *Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.steps[k]; s != nil {
		return s.step
	}
	return nil
}

// keep makes the step the one that this entry owns and starts its work.
func (t *Trainer) keep(site *stepInfo, s *Step) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed() {
		s.cancel()
		return leaving()
	}
	if old := t.steps[s.key]; old != nil && old.step != nil {
		// Two pulls took the step over at once: the log has the newer owner record, and the older step finds it.
		s.cancel()
		return nil
	}
	t.steps[s.key] = site
	site.step = s
	s.start()
	return nil
}

// random returns a number from 0 to n-1.
func (t *Trainer) random(n int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.options.Rand.Int64N(n)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// release forgets a step that this entry no longer owns, and all it knew of its owner.
func (t *Trainer) release(s *Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	site := t.steps[s.key]
	if site != nil && site.step == s {
		delete(t.steps, s.key)
	}
}

// forget drops what this entry knew of a step that has ended.
func (t *Trainer) forget(k stepKey, s *stepInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.steps[k] == s && s.step == nil {
		delete(t.steps, k)
	}
}

func (t *Trainer) owned() []*Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	var owned []*Step
	for _, s := range t.steps {
		if s.step != nil {
			owned = append(owned, s.step)
		}
	}
	return owned
}

// Steps returns the progress of the steps that this entry owns.
func (t *Trainer) Steps() []wire.StepStatus {
	var list []wire.StepStatus
	for _, s := range t.owned() {
		list = append(list, s.Status())
	}
	return list
}
