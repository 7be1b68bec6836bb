package place

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bulrushspoke/entry/internal/forecast"
	"bulrushspoke/internal/catalog"
)

// Parameters of a simulated step: items with heavy-tailed lengths, whose estimates are off by half and more, on
// engines of which a third is permanently slower and each slows down now and then.
const (
	simEngines          = 6
	simSlots            = 16
	simItems            = 64
	simInterval         = 38 * time.Millisecond
	simSlowRatio        = 1.3
	simMeanNormal       = 5 * time.Second        // mean time between two slowdowns
	simMeanSlowdown     = 900 * time.Millisecond // mean duration of a slowdown
	simSlowdownFactor   = 2.5
	simStartDelay       = 20 * time.Millisecond  // until an engine starts to read a prompt
	simPromptTime       = 3 * time.Millisecond   // time to read a prompt
	simReadTimePerEvent = 180 * time.Microsecond // and to read each event of the text so far; other items wait meanwhile
	simMoveInterval     = 500 * time.Millisecond // minimum time between two moves of an item
)

// simItem is an item that waits for its next event.
type simItem struct {
	nextEvent time.Time
	lastEvent time.Time // time of the event before
	lastMove  time.Time
	engine    int
	generated int
	total     int
	estimate  int
}

type eventQueue []*simItem

func (l eventQueue) Len() int           { return len(l) }
func (l eventQueue) Less(i, k int) bool { return l[i].nextEvent.Before(l[k].nextEvent) }
func (l eventQueue) Swap(i, k int)      { l[i], l[k] = l[k], l[i] }
func (l *eventQueue) Push(x any)        { *l = append(*l, x.(*simItem)) }
func (l *eventQueue) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

// simulate runs steps one after the other. It returns the mean time until the last item of a step has ended, and the
// mean time that the longest item of a step takes on a fast engine without slowdowns.
func simulate(seed uint64, policy func(*Tracker) strategy) (took, floor time.Duration) {
	const steps = 12
	random := rand.New(rand.NewPCG(seed, 7))
	t := New(Home{Domain: "a", Region: "east", Regions: map[string]string{"a": "east"}}, noLimits(), rand.New(rand.NewPCG(seed, 8)))
	engines := servers(simEngines, simSlots, "a")
	type phase struct {
		slowed bool
		until  time.Time
	}
	phases := make([]phase, simEngines)
	for i := range phases {
		phases[i].until = start
	}
	interval := func(e int, now time.Time) time.Duration {
		f := &phases[e]
		for !now.Before(f.until) {
			f.slowed = !f.slowed
			mean := simMeanNormal
			if f.slowed {
				mean = simMeanSlowdown
			}
			f.until = f.until.Add(time.Duration(random.ExpFloat64() * float64(mean)))
		}
		p := simInterval
		if e%3 == 2 {
			p = time.Duration(simSlowRatio * float64(p))
		}
		if f.slowed {
			p = time.Duration(simSlowdownFactor * float64(p))
		}
		return p
	}
	p := policy(t)
	now := start
	for range steps {
		began, longest := now, 0
		waiting := make([]*simItem, 0, simItems)
		for range simItems {
			events := min(int(20*math.Exp(0.8*random.NormFloat64()))+1, 189)
			if random.Float64() < 0.08 {
				events = min(5*events, 189)
			}
			longest = max(longest, events)
			waiting = append(waiting,
				&simItem{total: events, estimate: int(float64(events)*math.Exp(0.5*random.NormFloat64())) + 1})
		}
		now = simulateStep(t, engines, p, interval, waiting, now)
		took += now.Sub(began)
		floor += time.Duration(longest) * simInterval
		now = now.Add(time.Second)
	}
	return took / steps, floor / steps
}

// strategy is what a simulated scheduler asks of the tracker.
type strategy struct {
	need func(rest, longest int) Need
	// next returns the server on which an item continues after an event, if not on its present one.
	next func(now time.Time, present catalog.Server, engines []catalog.Server, r *simItem, n Need) (catalog.Server, bool)
}

func simulateStep(
	t *Tracker, engines []catalog.Server, p strategy, interval func(int, time.Time) time.Duration, waiting []*simItem,
	now time.Time,
) time.Time {
	rest := func(r *simItem) int { return forecast.Remaining(r.estimate, r.generated) }
	index := make(map[string]int)
	for i, s := range engines {
		index[s.ID] = i
	}
	var running eventQueue
	longest := func() int {
		most := 0
		for _, l := range [][]*simItem{waiting, running} {
			for _, r := range l {
				most = max(most, rest(r))
			}
		}
		return most
	}
	begin := func() {
		var left []*simItem
		for _, r := range waiting {
			s, ok := t.Pick(now, engines, p.need(rest(r), longest()))
			if !ok {
				left = append(left, r)
				continue
			}
			t.Began(s.ID, now)
			admit(&running, r, index[s.ID], now)
		}
		waiting = left
	}
	sortByEstimate(waiting)
	begin()
	for len(running) > 0 {
		r := heap.Pop(&running).(*simItem)
		now = r.nextEvent
		present := engines[r.engine]
		if !r.lastEvent.IsZero() {
			t.ObserveInterval(present.ID, now.Sub(r.lastEvent), now)
		}
		r.generated++
		r.lastEvent = now
		if r.generated == r.total {
			t.Ended(present.ID, "m", Answered, 0, now)
			begin()
			continue
		}
		s, moved := p.next(now, present, engines, r, p.need(rest(r), longest()))
		if moved {
			r.lastMove = now
			t.Ended(present.ID, "m", Answered, 0, now)
			admit(&running, r, index[s.ID], now)
			continue
		}
		r.nextEvent = now.Add(interval(r.engine, now))
		heap.Push(&running, r)
	}
	return now
}

// admit starts or continues an item on an engine, whose other items wait while it reads the text.
func admit(running *eventQueue, r *simItem, engine int, now time.Time) {
	read := simPromptTime + time.Duration(r.generated)*simReadTimePerEvent
	for _, o := range *running {
		if o.engine == engine {
			o.nextEvent = o.nextEvent.Add(read)
		}
	}
	heap.Init(running)
	r.engine, r.lastEvent, r.nextEvent = engine, time.Time{}, now.Add(simStartDelay+read+simInterval)
	heap.Push(running, r)
}

func sortByEstimate(l []*simItem) {
	slices.SortStableFunc(l, func(a, b *simItem) int { return b.estimate - a.estimate })
}

// Simulates steps on engines that differ permanently and slow down now and then. The baseline selects servers by their
// current intervals alone. Of the time that a step takes beyond its longest item, at least a third must be saved.
func TestStepsFinishEarlier(t *testing.T) {
	baseline := func(*Tracker) strategy {
		return strategy{
			need: func(int, int) Need { return Need{Model: "m", RequireSlot: true} },
			next: func(time.Time, catalog.Server, []catalog.Server, *simItem, Need) (catalog.Server, bool) {
				return catalog.Server{}, false
			},
		}
	}
	policy := func(tr *Tracker) strategy {
		return strategy{
			need: func(rest, longest int) Need {
				return Need{Model: "m", RequireSlot: true, RemainingEvents: rest, TimeBudget: time.Duration(longest) * tr.MinInterval()}
			},
			next: func(now time.Time, present catalog.Server, l []catalog.Server, r *simItem, n Need) (catalog.Server, bool) {
				if now.Sub(r.lastMove) < simMoveInterval || r.generated%8 != 0 && !tr.Slowed(present.ID, now) {
					return catalog.Server{}, false
				}
				n.Tried = map[string]bool{present.ID: true}
				return tr.PickFaster(now, present, l, n)
			},
		}
	}
	var saved, excess time.Duration
	for seed := range uint64(20) {
		without, floor := simulate(seed, baseline)
		with, _ := simulate(seed, policy)
		excess += without - floor
		saved += without - with
	}
	t.Logf("time beyond the longest item of a step: %s by the baseline, of which %s saved", excess/20, saved/20)
	if saved < excess/3 {
		t.Errorf("time beyond the longest item of a step: %s by the baseline, of which %s saved, want a third",
			excess/20, saved/20)
	}
}

// Guards against a single late event that counts as a slowdown, and against a slowdown still reported after its end.
func TestSlowdownDetection(t *testing.T) {
	tr := tracker()
	tr.Began("a0", start)
	now := start
	step := func(gap time.Duration) bool {
		now = now.Add(gap)
		tr.ObserveInterval("a0", gap, now)
		return tr.Slowed("a0", now)
	}
	for range 30 {
		if step(simInterval) {
			t.Fatal("a steady engine counts as slowed")
		}
	}
	if step(3 * simInterval) {
		t.Error("a single late event counts as a slowdown")
	}
	detected := false
	for range 2 {
		detected = detected || step(3*simInterval)
	}
	if !detected {
		t.Error("three late events in a row do not count as a slowdown")
	}
	for i := range 20 {
		if !step(simInterval) {
			return
		}
		if i == 8 {
			t.Fatal("a slowdown is still reported nine events after its end")
		}
	}
}

// Guards against items that leave their engines because this process had no processor time for a moment and received
// the events of all engines late.
func TestLocalDelayIsNotASlowdown(t *testing.T) {
	tr := tracker()
	l := servers(5, 8, "a")
	now := start
	step := func(gap func(i int) time.Duration) {
		now = now.Add(3 * simInterval)
		for i, s := range l {
			tr.ObserveInterval(s.ID, gap(i), now)
		}
	}
	for _, s := range l {
		tr.Began(s.ID, now)
	}
	for range 30 {
		step(func(int) time.Duration { return simInterval })
	}
	for range 4 {
		step(func(int) time.Duration { return 3 * simInterval })
	}
	need := Need{Model: "m", RequireSlot: true, RemainingEvents: 60, Tried: map[string]bool{"a0": true}}
	if tr.Slowed("a0", now) {
		t.Error("an engine counts as slowed while the events of all are late")
	}
	if s, ok := tr.PickFaster(now, l[0], l, need); ok {
		t.Errorf("work moves to %q while the events of all engines are late", s.ID)
	}
	if got := tr.Load(now).Intervals; len(got) > 0 {
		t.Errorf("intervals %v reported while this process lags, want none", got)
	}
	for range 12 {
		step(func(int) time.Duration { return simInterval })
	}
	for range 4 {
		step(func(i int) time.Duration {
			if i == 0 {
				return 3 * simInterval
			}
			return simInterval
		})
	}
	if s, ok := tr.PickFaster(now, l[0], l, need); !ok || s.ID == "a0" {
		t.Error("work does not move off the only slowed engine")
	}
}

// Guards against overfilled engines when several entries send work and each counts its own only, and against counts of
// an entry that has stopped reporting.
func TestRemoteWorkOccupiesSlots(t *testing.T) {
	tr := tracker()
	l := servers(2, 8, "a")
	need := Need{Model: "m", RequireSlot: true, RemainingEvents: 10}
	tr.SetRemoteLoad("other", Load{Counts: map[string]int{"a0": 8, "a1": 7}}, start)
	if s, ok := tr.Pick(start, l, need); !ok || s.ID != "a1" {
		t.Errorf("picked %q, want a1, which has a free slot", s.ID)
	}
	tr.Began("a1", start)
	if s, ok := tr.Pick(start, l, need); ok {
		t.Errorf("picked %q although all slots are occupied", s.ID)
	}
	if _, ok := tr.Pick(start.Add(remoteCountTTL+time.Millisecond), l, need); !ok {
		t.Error("expired counts of another entry still occupy slots")
	}
	if got := tr.Load(start).Counts; len(got) != 1 || got["a1"] != 1 {
		t.Errorf("reported counts are %v, want only the request of this entry", got)
	}
}

// Guards against work that goes to an engine which another entry reports as slowed.
func TestRemoteSlowdown(t *testing.T) {
	tr := tracker()
	l := servers(2, 8, "a")
	for _, s := range l {
		tr.Began(s.ID, start)
		for i := range 10 {
			tr.ObserveInterval(s.ID, simInterval, start.Add(time.Duration(i)*simInterval))
		}
		tr.Ended(s.ID, "m", Answered, 0, start)
	}
	now := start.Add(5 * time.Second)
	tr.SetRemoteLoad("other", Load{Intervals: map[string]time.Duration{"a0": 3 * simInterval, "a1": simInterval}}, now)
	for range 20 {
		if s, _ := tr.Pick(now, l, Need{Model: "m", RequireSlot: true, RemainingEvents: 30}); s.ID != "a1" {
			t.Fatalf("picked %q, which another entry reports as slowed", s.ID)
		}
	}
}

// Guards against long work on a slow engine while short work occupies the fast ones, and against long work that waits
// for a fast engine although a slow one has a free slot.
func TestShortWorkLeavesFastEnginesFree(t *testing.T) {
	tr := tracker()
	l := servers(2, 8, "a")
	for i, s := range l {
		tr.Began(s.ID, start)
		for k := range 40 {
			tr.ObserveInterval(s.ID, simInterval*time.Duration(2+i)/2, start.Add(time.Duration(k)*simInterval))
		}
		tr.Ended(s.ID, "m", Answered, 0, start)
	}
	within := 180 * tr.MinInterval()
	if s, _ := tr.Pick(start, l, Need{Model: "m", RequireSlot: true, RemainingEvents: 10, TimeBudget: within}); s.ID != "a1" {
		t.Errorf("short work went to %q, want the slow engine a1", s.ID)
	}
	if s, _ := tr.Pick(start, l, Need{Model: "m", RequireSlot: true, RemainingEvents: 180, TimeBudget: within}); s.ID != "a0" {
		t.Errorf("long work went to %q, want the fast engine a0", s.ID)
	}
	for range 8 {
		tr.Began("a0", start)
	}
	if s, ok := tr.Pick(start, l, Need{Model: "m", RequireSlot: true, RemainingEvents: 180, TimeBudget: within}); !ok || s.ID != "a1" {
		t.Errorf("long work went to %q while the fast engine is full, want a1", s.ID)
	}
}
