package trainer

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/entry/internal/cursor"
	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/schedule"
	"bulrushspoke/wire"
)

// stateOpen is the state of a step that has not ended.
const stateOpen = "open"

// errNotOwner reports that this entry no longer owns the step.
var errNotOwner = errors.New("trainer: step is owned by another entry")

// slotState is the owner's state of one slot. group and index never change and are read without the mutex.
type slotState struct {
	group int
	index int
	// sample is the only sample of the slot that may be delivered; nil until one is finished.
	sample *wire.Sample
	// score is the value of a verdict that arrived before the sample was accepted.
	score *float64
	// attempts holds the attempts that may still produce the sample.
	attempts [2]*attempt
	// awaitingDaemon is set while a daemon runs an attempt of a former owner.
	awaitingDaemon   bool
	failures         int
	retryAfter       time.Time
	permanentFailure *refusal.Error
}

// batchItem is a sample in a batch. It is valid only while its slot still has the same sample.
type batchItem struct {
	slot   int
	sample *wire.Sample
	daemon string
	bytes  int
}

// batch holds the samples of one commit record. Batches are answered in log order, one per pull.
type batch struct {
	items   []batchItem
	visible bool
}

// pendingRecord is a record that waits to be appended.
type pendingRecord struct {
	record wire.Record
	batch  *batch
}

// Step is a step that this entry owns.
type Step struct {
	trainer   *Trainer
	key       stepKey
	spec      wire.Spec
	groups    []wire.Group
	firstSlot map[string]int // first slot of each group, by name
	ctx       context.Context
	cancel    context.CancelFunc
	// currentVersion is the highest known weight version, from which ages are computed.
	currentVersion atomic.Int64

	mu              sync.Mutex
	changed         chan struct{}
	slots           []slotState
	plan            *schedule.Plan
	acked           cursor.Set
	batches         []*batch
	unbatched       []batchItem
	unbatchedSince  time.Time // start of the linger time of unbatched
	appendQueue     []*pendingRecord
	lastAnswer      map[int]bool // slots of the last answer
	waitingPulls    int
	runningAttempts int
	staleCount      int
	lastPull        time.Time
	state           string
	logDone         bool // no further records are appended
	abandoned       bool
	// joined is false while a step that was opened during an outage runs without its log.
	joined bool
	outage bool
	epoch  int64
	log    *steplog.Log // used only by the log task once the step has started
}

func (t *Trainer) newStep(k stepKey, spec wire.Spec, groups []wire.Group, log *steplog.Log) *Step {
	s := &Step{
		trainer:   t,
		key:       k,
		spec:      spec,
		groups:    groups,
		firstSlot: make(map[string]int, len(groups)),
		changed:   make(chan struct{}),
		plan:      schedule.New(groups, schedule.Defaults()),
		acked:     cursor.New(spec.Digest, spec.Slots),
		state:     stateOpen,
		log:       log,
		lastPull:  time.Now(),
	}
	for i, g := range groups {
		s.firstSlot[g.Name] = len(s.slots)
		for n := range g.Samples {
			s.slots = append(s.slots, slotState{group: i, index: n})
		}
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.currentVersion.Store(max(spec.Version, t.options.Weights.Version(spec.Model)))
	return s
}

// start starts the background tasks of the step.
func (s *Step) start() {
	s.runTask("step samples", s.runAttempts)
	s.runTask("step batches", s.makeBatches)
	s.runTask("step log", s.writeLog)
}

// notify wakes all tasks that wait for a change; the mutex must be held.
func (s *Step) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait returns when the step changes, after d, or when ctx ends.
func (s *Step) wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// slotNumber returns the number of a slot, or false if the step has no such slot.
func (s *Step) slotNumber(group string, index int) (int, bool) {
	first, ok := s.firstSlot[group]
	if !ok || index < 0 || index >= s.groups[s.slots[first].group].Samples {
		return 0, false
	}
	return first + index, true
}

// wireSlot returns the slot as messages carry it.
func (s *Step) wireSlot(i int) wire.Slot {
	st := &s.slots[i]
	return wire.Slot{Run: s.key.run, Step: s.key.step, Group: s.groups[st.group].Name, Index: st.index}
}

// requestName returns the name of the slot in traces.
func (s *Step) requestName(i int) string {
	n := s.wireSlot(i)
	return n.Run + "." + strconv.Itoa(n.Step) + "." + n.Group + "." + strconv.Itoa(n.Index)
}

// oldestVersion returns the lowest weight version of the spans, or 0 if there are none.
func oldestVersion(spans []wire.Span) int64 {
	if len(spans) == 0 {
		return 0
	}
	v := spans[0].Version
	for _, p := range spans[1:] {
		v = min(v, p.Version)
	}
	return v
}

// minVersion returns the lowest weight version within the staleness bound.
func (s *Step) minVersion() int64 { return s.currentVersion.Load() - int64(s.spec.Staleness) }

// raiseVersion records a weight version, cancels the attempts and withdraws the samples that now exceed the staleness
// bound; the mutex must be held.
func (s *Step) raiseVersion(version int64) {
	if version <= s.currentVersion.Load() {
		return
	}
	s.currentVersion.Store(version)
	s.cancelStale()
	for i := range s.slots {
		st := &s.slots[i]
		// The trainer may already hold the samples of the last answer; its next cursor tells.
		if st.sample != nil && !s.acked.Has(i) && !s.lastAnswer[i] && oldestVersion(st.sample.Spans) < s.minVersion() {
			s.withdraw(i)
		}
	}
	s.notify()
}

// withdraw discards the sample of a slot and reopens the slot; the mutex must be held. If the sample is already part of
// a record, a void record is queued before another sample of the slot can be committed.
func (s *Step) withdraw(i int) {
	st := &s.slots[i]
	sample := st.sample
	st.sample = nil
	s.staleCount++
	s.plan.Open(i)
	for n, r := range s.unbatched {
		if r.slot == i {
			s.unbatched = append(s.unbatched[:n:n], s.unbatched[n+1:]...)
			s.trainer.options.Pool.Drop(r.daemon, sample.ID)
			return
		}
	}
	withdrawal := wire.Withdrawal{Group: sample.Group, Index: sample.Index, ID: sample.ID}
	if n := len(s.appendQueue); n > 1 && s.appendQueue[n-1].record.Kind == steplog.KindVoid {
		s.appendQueue[n-1].record.Void = append(s.appendQueue[n-1].record.Void, withdrawal)
		return
	}
	s.enqueue(wire.Record{Kind: steplog.KindVoid, Void: []wire.Withdrawal{withdrawal}}, nil)
}

// enqueue queues a record to be appended to the log; the mutex must be held.
func (s *Step) enqueue(r wire.Record, b *batch) {
	r.Writer = s.trainer.options.NewID()
	s.appendQueue = append(s.appendQueue, &pendingRecord{record: r, batch: b})
	s.notify()
}

// abandon stops all work on the step at this entry without writing to the log.
func (s *Step) abandon() {
	s.mu.Lock()
	s.abandoned = true
	s.logDone = true
	s.notify()
	s.mu.Unlock()
	s.cancel()
	s.trainer.releaseStep(s)
}

func (s *Step) isAbandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned
}

// end ends the step with a state, because the trainer needs no further samples.
func (s *Step) end(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(state)
}

// endLocked is end for a caller that holds the mutex.
func (s *Step) endLocked(state string) {
	if s.state != stateOpen {
		return
	}
	s.state = state
	s.stopAllAttempts()
	s.enqueue(wire.Record{Kind: steplog.KindEnd, State: state}, nil)
}

// waitUntilEnded waits up to d for the end record to be in the log.
func (s *Step) waitUntilEnded(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for ctx.Err() == nil {
		s.mu.Lock()
		closed, changed := s.logDone, s.changed
		s.mu.Unlock()
		if closed {
			return
		}
		s.wait(ctx, changed, d)
	}
}

// Status returns the progress of the step.
func (s *Step) Status() wire.StepStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := 0
	for _, b := range s.batches {
		for _, it := range b.items {
			if b.visible && s.slots[it.slot].sample == it.sample {
				done++
			}
		}
	}
	return wire.StepStatus{
		Run: s.key.run, Step: s.key.step, Model: s.spec.Model, Version: s.spec.Version,
		Owner: s.trainer.options.Self.Name, Epoch: s.epoch, State: s.state,
		Slots: len(s.slots), Done: done, Running: s.runningAttempts, Stale: s.staleCount,
	}
}
