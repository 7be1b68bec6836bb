package admit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

// job is an item that runs on the simulated server.
type job struct {
	id         int
	item       *Item
	arrived    time.Time
	remaining  time.Duration // run time
	runStart   time.Time
	firstStart time.Time // zero if it was never started; time of the refusal if it was refused
	runEnd     time.Time // when the current run will end
	preempted  bool
	endings    int // how often it ended or was refused
}

// sim runs a policy in virtual time and checks its invariants at each step.
type sim struct {
	t          rapid.TB
	p          Policy
	slots      int
	now        time.Time
	jobs       []*job
	running    []*job
	maxRunning int
}

const stopTime = 3 * time.Millisecond // from a preemption until the item has stopped

func (s *sim) push(sp Spec, length time.Duration) *job {
	j := &job{id: len(s.jobs), arrived: s.now, remaining: length}
	j.item = NewItem(sp, j)
	if err := s.p.Push(s.now, j.item); err != nil {
		j.endings++
		j.firstStart = s.now
	}
	s.jobs = append(s.jobs, j)
	s.applyDecisions()
	return j
}

func (s *sim) applyDecisions() {
	for d, ok := s.p.Next(s.now); ok; d, ok = s.p.Next(s.now) {
		j := d.Item.Value().(*job)
		switch d.Kind {
		case Expire:
			if s.now.Before(j.item.spec.Deadline) {
				s.t.Fatalf("item %d is refused before its deadline", j.id)
			}
			j.endings++
		case Preempt:
			j.preempted = true
			j.runEnd = s.now.Add(stopTime)
		case Start:
			s.start(j)
		}
	}
	s.maxRunning = max(s.maxRunning, len(s.running))
}

func (s *sim) start(j *job) {
	if j.endings > 0 || slices.Contains(s.running, j) {
		s.t.Fatalf("item %d is started while it runs or after it ended", j.id)
	}
	if j.firstStart.IsZero() {
		j.firstStart = s.now
	}
	j.runStart, j.runEnd, j.preempted = s.now, s.now.Add(j.remaining), false
	s.running = append(s.running, j)
	if len(s.running) > s.slots {
		s.t.Fatalf("%d items run in %d slots", len(s.running), s.slots)
	}
	for _, r := range s.running {
		if r.item.spec.Solo && len(s.running) > 1 {
			s.t.Fatalf("solo item %d does not run alone", r.id)
		}
	}
}

// advance advances the time to end, or until all work is done if end is zero.
func (s *sim) advance(end time.Time) {
	for step := 0; ; step++ {
		if step > 1_000_000 {
			s.t.Fatalf("the simulation does not end")
		}
		next, ok := s.p.Wake(s.now)
		if ok && !next.After(s.now) {
			s.t.Fatalf("Wake returns a time that is not in the future")
		}
		var first *job
		for _, r := range s.running {
			if first == nil || r.runEnd.Before(first.runEnd) {
				first = r
			}
		}
		if first != nil && (!ok || !first.runEnd.After(next)) {
			next, ok = first.runEnd, true
		} else {
			first = nil
		}
		if !ok || !end.IsZero() && next.After(end) {
			break
		}
		s.now = next
		if first != nil {
			s.finish(first)
		}
		s.applyDecisions()
	}
	if !end.IsZero() {
		s.now = end
	}
}

func (s *sim) finish(j *job) {
	s.running = slices.DeleteFunc(s.running, func(r *job) bool { return r == j })
	if j.preempted {
		j.remaining = max(j.remaining-s.now.Sub(j.runStart), time.Millisecond)
		s.p.Requeue(s.now, j.item)
		return
	}
	j.endings++
	s.p.Done(s.now, j.item)
}

func newFair(slots int) *Fair {
	return NewFair(DefaultConfig(slots), rand.New(rand.NewPCG(1, 2)))
}

// Guards, for random mixes of work, against items that are lost or run twice, more running items than slots, a solo item
// that does not run alone, and waits beyond the documented bound.
func TestAnyMixIsServedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		var p Policy = newFair(slots)
		if rapid.Bool().Draw(t, "baseline") {
			p = NewFIFO(slots, 40)
		}
		s := &sim{t: t, p: p, slots: slots, now: epoch}
		const longest = 20_000
		count := rapid.IntRange(1, 60).Draw(t, "count")
		for range count {
			s.advance(s.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond))
			sp := Spec{Class: Class(rapid.IntRange(0, 1).Draw(t, "class")), PredictedTokens: rapid.IntRange(0, 4000).Draw(t, "tokens")}
			sp.Solo = rapid.IntRange(0, 9).Draw(t, "solo") == 0
			sp.Preemptible = sp.Class == Train && rapid.Bool().Draw(t, "preemptible")
			if rapid.IntRange(0, 4).Draw(t, "deadline") == 0 {
				sp.Deadline = s.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "left")) * time.Millisecond)
			}
			j := s.push(sp, time.Duration(rapid.IntRange(1, longest).Draw(t, "length"))*time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 && p.Remove(j.item) {
				j.endings++
				s.applyDecisions()
			}
		}
		s.advance(time.Time{})
		bound := 40*time.Second + time.Duration(2*(count+1)*longest)*time.Millisecond
		for _, j := range s.jobs {
			if j.endings != 1 {
				t.Fatalf("item %d ended %d times", j.id, j.endings)
			}
			if w := j.firstStart.Sub(j.arrived); !j.firstStart.IsZero() && w > bound {
				t.Fatalf("item %d waits %v, more than the bound of %v", j.id, w, bound)
			}
		}
		if w, r := p.Len(); w != 0 || r != 0 {
			t.Fatalf("%d items wait and %d run after the end of all work", w, r)
		}
	})
}

// Guards against starvation: training, solo and long live items must start although live items keep all slots busy.
func TestNothingStarvesUnderLiveOverload(t *testing.T) {
	for _, sp := range []Spec{
		{Class: Train, PredictedTokens: 4000, Preemptible: true},
		{Class: Train, PredictedTokens: 10},
		{Class: Train, Solo: true},
		{Class: Live, Solo: true},
		{Class: Live, PredictedTokens: 4000},
	} {
		t.Run(fmt.Sprintf("%+v", sp), func(t *testing.T) {
			s := &sim{t: t, p: newFair(4), slots: 4, now: epoch}
			var j *job
			for n := range 1200 {
				// Twice the live load that four slots can serve.
				s.push(Spec{Class: Live, PredictedTokens: 20}, 800*time.Millisecond)
				if n == 100 {
					j = s.push(sp, time.Second)
				}
				s.advance(s.now.Add(100 * time.Millisecond))
			}
			cfg := DefaultConfig(4)
			if w := j.firstStart.Sub(j.arrived); j.firstStart.IsZero() || w > cfg.AgingTime+cfg.MaxTokenDelay+2*time.Second {
				t.Fatalf("item is started too late or never: started %v, wait %v", !j.firstStart.IsZero(), w)
			}
		})
	}
}

// Guards against the starvation of other items by a series of solo items.
func TestSoloItemsTakeTurns(t *testing.T) {
	s := &sim{t: t, p: newFair(2), slots: 2, now: epoch}
	for range 10 {
		s.push(Spec{Class: Live, Solo: true}, time.Second)
	}
	other := s.push(Spec{Class: Live, PredictedTokens: 1}, time.Second)
	s.advance(time.Time{})
	if w := other.firstStart.Sub(other.arrived); w > 2*time.Second {
		t.Fatalf("a short item waits %v behind solo items", w)
	}
}

// Guards against live items that wait behind training items, against preempted training items that lose their place in the
// queue, and against training items that preempt each other and spend their time on repeated prefills.
func TestLiveWorkPreemptsTraining(t *testing.T) {
	s := &sim{t: t, p: newFair(2), slots: 2, now: epoch}
	for range 3 {
		s.push(Spec{Class: Train, PredictedTokens: 4000, Preemptible: true}, time.Minute)
	}
	s.advance(s.now.Add(time.Second))
	live := s.push(Spec{Class: Live, PredictedTokens: 10}, time.Second)
	short := s.push(Spec{Class: Train, PredictedTokens: 10}, time.Second)
	s.advance(s.now.Add(100 * time.Millisecond))
	if live.firstStart.IsZero() || live.firstStart.Sub(live.arrived) > stopTime {
		t.Fatalf("live item waits although training items could be preempted")
	}
	if !short.firstStart.IsZero() {
		t.Fatalf("training item preempted a training item")
	}
	s.advance(time.Time{})
	if short.firstStart.After(s.jobs[2].firstStart) {
		t.Fatalf("short training item waits behind a long one that had not been started")
	}
	if s.jobs[0].firstStart.After(s.jobs[2].firstStart) || s.jobs[0].endings != 1 {
		t.Fatalf("the preempted training item lost its place in the queue")
	}
}

// Guards against long live items that take all slots.
func TestShareIsKeptFreeOfLongWork(t *testing.T) {
	s := &sim{t: t, p: newFair(4), slots: 4, now: epoch}
	for range 6 {
		s.push(Spec{Class: Live, PredictedTokens: 4000}, time.Minute)
	}
	short := s.push(Spec{Class: Live, PredictedTokens: 10}, time.Second)
	if short.firstStart.IsZero() || s.maxRunning != 4 {
		t.Fatalf("short item waits although slots are reserved for it, or not all 4 slots are used: at most %d running", s.maxRunning)
	}
}

// Guards against an unbounded queue and against refused callers that all retry at the same time.
func TestFullQueueRefusesWithSpreadRetry(t *testing.T) {
	f := newFair(1)
	f.config.MaxWait = time.Hour
	for n := range f.config.MaxLive {
		if err := f.Push(epoch, NewItem(Spec{Class: Live}, n)); err != nil {
			t.Fatalf("push %d: %v", n, err)
		}
	}
	seen := make(map[time.Duration]bool)
	for range 20 {
		var busy *BusyError
		if err := f.Push(epoch, NewItem(Spec{Class: Live}, nil)); !errors.As(err, &busy) {
			t.Fatalf("push beyond the bound: %v", err)
		}
		seen[busy.Retry()] = true
	}
	if len(seen) < 15 {
		t.Fatalf("%d different retry-after times of 20, want at least 15", len(seen))
	}
	if err := f.Push(epoch, NewItem(Spec{Class: Train}, nil)); err != nil {
		t.Fatalf("training item is refused because the live queue is full: %v", err)
	}
}

// Guards against live items that are queued although their predicted wait exceeds Config.MaxWait.
func TestLiveIsRefusedBeyondThePredictedWait(t *testing.T) {
	f := newFair(4)
	first := NewItem(Spec{Class: Live}, nil)
	if err := f.Push(epoch, first); err != nil {
		t.Fatalf("push: %v", err)
	}
	f.Next(epoch)
	f.Done(epoch.Add(time.Second), first)
	var busy *BusyError
	n := 0
	for ; n < 100; n++ {
		if err := f.Push(epoch, NewItem(Spec{Class: Live}, n)); errors.As(err, &busy) {
			break
		}
	}
	// Four slots start four waiting items per second.
	if most := int(f.config.MaxWait.Seconds()*4) + 1; n > most || busy.Retry() <= 0 {
		t.Fatalf("%d items wait, want at most %d", n, most)
	}
	if err := f.Push(epoch, NewItem(Spec{Class: Train}, nil)); err != nil {
		t.Fatalf("training item is refused because of its predicted wait: %v", err)
	}
}

func BenchmarkFair(b *testing.B) {
	f := newFair(16)
	now := epoch
	items := make([]*Item, 64)
	for n := range items {
		items[n] = NewItem(Spec{Class: Class(n % 2), PredictedTokens: n * 40, Preemptible: n%2 == 1}, nil)
		_ = f.Push(now, items[n])
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		for d, ok := f.Next(now); ok; d, ok = f.Next(now) {
			if d.Kind == Preempt {
				f.Requeue(now, d.Item)
			}
		}
		i := f.active[0]
		f.Done(now, i)
		_ = f.Push(now, i)
	}
}
