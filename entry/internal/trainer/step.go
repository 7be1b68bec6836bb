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

// open is the state of a step that has not ended.
const open = "open"

// errNotOwner tells that this entry does not own the step any more.
var errNotOwner = errors.New("trainer: step is owned by another entry")

// cell is what the owner knows of one slot. Its group and index never change and are read without the mutex.
type cell struct {
	group int
	index int
	// sample is the one sample that may be given; nil until one is finished.
	sample *wire.Sample
	// score is a verdict that arrived before the sample was committed.
	score *float64
	// attempts are the runs that may still produce the sample.
	attempts [2]*attempt
	// awaited is set while a daemon finishes an attempt of a former owner.
	awaited bool
	fails   int
	after   time.Time
	failure *refusal.Error
}

// item is a sample in a batch; it counts only while its cell still has the same sample.
type item struct {
	slot   int
	sample *wire.Sample
	daemon string
	size   int
}

// batch is the content of one give record. Batches are answered in the order of the log, one for each pull.
type batch struct {
	items []item
	shown bool
}

// entry is a record that waits to be appended.
type entry struct {
	record wire.Record
	batch  *batch
}

// Step is a step that this entry owns.
type Step struct {
	t      *Trainer
	key    stepKey
	spec   wire.Spec
	groups []wire.Group
	first  map[string]int // first slot of each group
	ctx    context.Context
	cancel context.CancelFunc
	// current is the highest weight version that ages are checked against.
	current atomic.Int64

	mu        sync.Mutex
	changed   chan struct{}
	cells     []cell
	plan      *schedule.Plan
	held      cursor.Set
	batches   []*batch
	ready     []item
	since     time.Time // when the oldest of ready was finished
	queue     []*entry
	answer    map[int]bool // slots of the last answer
	waiting   int
	running   int
	stale     int
	pulled    time.Time
	state     string
	closed    bool // nothing is left to append
	abandoned bool
	// joined is false while the step runs without its log, in an outage.
	joined bool
	outage bool
	epoch  int64
	log    *steplog.Log // used by the append task only, once the step is started
}

func (t *Trainer) newStep(k stepKey, spec wire.Spec, groups []wire.Group, log *steplog.Log) *Step {
	s := &Step{
		t:       t,
		key:     k,
		spec:    spec,
		groups:  groups,
		first:   make(map[string]int, len(groups)),
		changed: make(chan struct{}),
		plan:    schedule.New(groups, schedule.Defaults()),
		held:    cursor.New(spec.Digest, spec.Slots),
		state:   open,
		log:     log,
		pulled:  time.Now(),
	}
	for i, g := range groups {
		s.first[g.Name] = len(s.cells)
		for n := range g.Samples {
			s.cells = append(s.cells, cell{group: i, index: n})
		}
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.current.Store(max(spec.Version, t.options.Weights.Version(spec.Model)))
	return s
}

// start runs the tasks of the step.
func (s *Step) start() {
	s.task("step samples", s.produce)
	s.task("step batches", s.collate)
	s.task("step log", s.write)
}

// notify wakes every task that waits for a change; the mutex must be held.
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

// slot returns the number of the slot; false if the step has no such slot.
func (s *Step) slot(group string, index int) (int, bool) {
	first, ok := s.first[group]
	if !ok || index < 0 || index >= s.groups[s.cells[first].group].Samples {
		return 0, false
	}
	return first + index, true
}

// name returns the slot as messages carry it.
func (s *Step) name(i int) wire.Slot {
	c := &s.cells[i]
	return wire.Slot{Run: s.key.run, Step: s.key.step, Group: s.groups[c.group].Name, Index: c.index}
}

// request names the slot in traces.
func (s *Step) request(i int) string {
	n := s.name(i)
	return n.Run + "." + strconv.Itoa(n.Step) + "." + n.Group + "." + strconv.Itoa(n.Index)
}

// oldest returns the lowest version of the spans, 0 if there are none.
func oldest(spans []wire.Span) int64 {
	if len(spans) == 0 {
		return 0
	}
	v := spans[0].Version
	for _, p := range spans[1:] {
		v = min(v, p.Version)
	}
	return v
}

// floor returns the lowest weight version that may still produce tokens.
func (s *Step) floor() int64 { return s.current.Load() - int64(s.spec.Staleness) }

// raise takes note of a weight version and withdraws what can no longer meet the bound; the mutex must be held.
func (s *Step) raise(version int64) {
	if version <= s.current.Load() {
		return
	}
	s.current.Store(version)
	s.cancelStale()
	for i := range s.cells {
		c := &s.cells[i]
		// A slot of the last answer may be in the trainer's hands: its next cursor tells.
		if c.sample != nil && !s.held.Has(i) && !s.answer[i] && oldest(c.sample.Spans) < s.floor() {
			s.withdraw(i)
		}
	}
	s.notify()
}

// withdraw takes back the sample of a slot and opens the slot again; the mutex must be held. A sample that was put
// into a record is voided in the log before another can follow.
func (s *Step) withdraw(i int) {
	c := &s.cells[i]
	sample := c.sample
	c.sample = nil
	s.stale++
	s.plan.Open(i)
	for n, r := range s.ready {
		if r.slot == i {
			s.ready = append(s.ready[:n:n], s.ready[n+1:]...)
			s.t.options.Pool.Drop(r.daemon, sample.ID)
			return
		}
	}
	withdrawal := wire.Withdrawal{Group: sample.Group, Index: sample.Index, ID: sample.ID}
	if n := len(s.queue); n > 1 && s.queue[n-1].record.Kind == steplog.KindVoid {
		s.queue[n-1].record.Void = append(s.queue[n-1].record.Void, withdrawal)
		return
	}
	s.push(wire.Record{Kind: steplog.KindVoid, Void: []wire.Withdrawal{withdrawal}}, nil)
}

// push queues a record for the log; the mutex must be held.
func (s *Step) push(r wire.Record, b *batch) {
	r.Writer = s.t.options.IDs()
	s.queue = append(s.queue, &entry{record: r, batch: b})
	s.notify()
}

// abandon ends all work of the step here without writing anything more.
func (s *Step) abandon() {
	s.mu.Lock()
	s.abandoned = true
	s.closed = true
	s.notify()
	s.mu.Unlock()
	s.cancel()
	s.t.release(s)
}

// end records that the trainer wants nothing more of the step.
func (s *Step) end(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(state)
}

// finish is end for a caller that holds the mutex.
func (s *Step) finish(state string) {
	if s.state != open {
		return
	}
	s.state = state
	s.stopAll()
	s.push(wire.Record{Kind: steplog.KindEnd, State: state}, nil)
}

// settled waits up to d until the end of the step is in the log.
func (s *Step) settled(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for ctx.Err() == nil {
		s.mu.Lock()
		closed, changed := s.closed, s.changed
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
			if b.shown && s.cells[it.slot].sample == it.sample {
				done++
			}
		}
	}
	return wire.StepStatus{
		Run: s.key.run, Step: s.key.step, Model: s.spec.Model, Version: s.spec.Version,
		Owner: s.t.options.Self.Name, Epoch: s.epoch, State: s.state,
		Slots: len(s.cells), Done: done, Running: s.running, Stale: s.stale,
	}
}
