// Package trainer serves the API for trainers: steps and their samples, weight versions and verdicts.
//
// # Usage
//
//	t := trainer.New(trainer.Options{Self: owner, Store: client, Dispatcher: dispatcher, …})
//	status, err := t.Open(ctx, identity, request)
//	answer, err := t.PullSamples(ctx, identity, run, step, pull)
//
// One entry owns a step: it generates the samples, commits them to the step's log and answers pulls. A pull that
// arrives at another entry is forwarded to the owner; if the owner does not answer, the entry takes over the step.
// Ownership only avoids duplicate work. Exactly-once delivery rests on the log, in which each position has one writer,
// and on the trainer's cursor, which names the samples that the trainer holds.
//
// A pull is answered from the first commit record of the log that holds a sample outside the cursor. The answer depends
// on the log and the cursor alone, so every owner gives the same one. While the object store is down, samples are
// delivered under the cursor alone and appended to the log afterwards.
//
// A call that is refused returns a *refusal.Error.
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

// Identity is the workspace and the profile of an authenticated caller.
type Identity struct {
	Workspace string
	Profile   string
}

// Dispatcher runs jobs. Its errors are of type *refusal.Error.
type Dispatcher interface {
	Run(ctx context.Context, j dispatch.Job) (dispatch.Result, error)
}

// Pool gives access to the daemons.
type Pool interface {
	// Candidates returns the servers of a kind that serve a model.
	Candidates(kind, model string) []daemon.Candidate
	// Drop tells a daemon that it may discard finished samples.
	Drop(daemon string, attempts ...string)
	// Collect returns the samples of a step that daemons hold, by daemon name.
	Collect(ctx context.Context, c wire.Collect) map[string]wire.HeldSamples
}

// Peers gives access to the other entries.
type Peers interface {
	// Forward sends a pull to another entry and returns its answer; it fails if the entry does not answer.
	Forward(ctx context.Context, entry string, f wire.ForwardedPull) (wire.ForwardedPullAnswer, error)
	// Verdict notifies another entry of a counted verdict.
	Verdict(entry string, v wire.Verdict) error
}

// Config provides the profiles in force.
type Config interface {
	Profile(name string) (wire.Profile, bool)
}

// Weights reads and publishes weight versions.
type Weights interface {
	Version(model string) int64
	Publish(ctx context.Context, model string, version int64) error
}

// Meter records measurements of steps.
type Meter interface {
	// SampleAge records the age, in weight versions, of a sample in an answer.
	SampleAge(workspace string, age int64)
	// TrainerWait records how long a pull waited for samples.
	TrainerWait(workspace string, wait time.Duration)
}

// Options holds the dependencies of a Trainer. Meter may be nil; zero Limits stand for DefaultLimits.
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
	// NewID returns a new ULID for each write.
	NewID  func() string
	Rand   *rand.Rand
	Logger *slog.Logger
}

// stepKey identifies a step.
type stepKey struct {
	run  string
	step int
}

// stepInfo is what this entry knows about a step. Its semaphore is held while the entry opens the step or takes it
// over. The semaphore is a channel, so that a call that waits for a slow store can time out.
type stepInfo struct {
	sem   chan struct{}
	spec  *wire.Spec
	owner wire.Record
	step  *Step
}

// Trainer opens, owns and serves steps at one entry.
type Trainer struct {
	options Options
	mu      sync.Mutex
	stop    chan struct{}
	once    sync.Once
	// steps holds the steps that this entry owns or has seen.
	steps map[stepKey]*stepInfo
	// outageThreshold is how long the store may fail before samples are delivered without the log.
	outageThreshold time.Duration
}

// New returns a Trainer; Close ends its work.
func New(o Options) *Trainer {
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits()
	}
	return &Trainer{options: o, steps: make(map[stepKey]*stepInfo), stop: make(chan struct{}), outageThreshold: outageThreshold}
}

// Close stops the work on all steps and writes nothing more; the next pull at another entry takes over each step.
func (t *Trainer) Close() {
	t.once.Do(func() { close(t.stop) })
	for _, s := range t.ownedSteps() {
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
	return leavingError()
}

func leavingError() error {
	return refusal.New(refusal.Leaving, refusal.NotRun, "trainer: entry is leaving").WithRetryAfter(time.Second)
}

func (t *Trainer) info(k stepKey) *stepInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.steps[k]
	if s == nil {
		s = &stepInfo{sem: make(chan struct{}, 1)}
		t.steps[k] = s
	}
	return s
}

// lock acquires the semaphore; its error is a refusal.
func (s *stepInfo) lock(ctx context.Context) error {
	select {
	case s.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return refusal.New(refusal.Busy, refusal.NotRun, "trainer: step is being opened or taken over").WithRetryAfter(time.Second)
	}
}

func (s *stepInfo) unlock() { <-s.sem }

// ownedStep returns the step if this entry owns it, and nil otherwise.
func (t *Trainer) ownedStep(k stepKey) *Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.steps[k]; s != nil {
		return s.step
	}
	return nil
}

// startOwned registers a step as owned by this entry and starts its tasks.
func (t *Trainer) startOwned(info *stepInfo, s *Step) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed() {
		s.cancel()
		return leavingError()
	}
	if old := t.steps[s.key]; old != nil && old.step != nil {
		// Two pulls took over the step at once. The running step will find the newer owner record in the log.
		s.cancel()
		return nil
	}
	t.steps[s.key] = info
	info.step = s
	s.start()
	return nil
}

// randomInt64N returns a random number in [0, n).
func (t *Trainer) randomInt64N(n int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.options.Rand.Int64N(n)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// releaseStep removes a step that this entry no longer owns, and the owner that was known for it.
func (t *Trainer) releaseStep(s *Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	info := t.steps[s.key]
	if info != nil && info.step == s {
		delete(t.steps, s.key)
	}
}

// forgetEnded removes what this entry knew of a step that has ended.
func (t *Trainer) forgetEnded(k stepKey, s *stepInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.steps[k] == s && s.step == nil {
		delete(t.steps, k)
	}
}

func (t *Trainer) ownedSteps() []*Step {
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

// Steps returns the status of the steps that this entry owns.
func (t *Trainer) Steps() []wire.StepStatus {
	var list []wire.StepStatus
	for _, s := range t.ownedSteps() {
		list = append(list, s.Status())
	}
	return list
}
