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

// job is an item of a simulated server.
type job struct {
	id     int
	item   *Item
	at     time.Time // arrival
	left   time.Duration
	from   time.Time // start of the present run
	begun  time.Time // first start
	end    time.Time // of the present run
	pushed bool
	over   int // times that it ended
}

// sim runs a policy in virtual time and checks what must hold at each moment.
type sim struct {
	t       rapid.TB
	p       Policy
	slots   int
	now     time.Time
	jobs    []*job
	running []*job
	max     int
}

const stopTime = 3 * time.Millisecond // until a pushed stream has stopped

func (s *sim) push(sp Spec, length time.Duration) *job {
	j := &job{id: len(s.jobs), at: s.now, left: length}
	j.item = NewItem(sp, j)
	if err := s.p.Push(s.now, j.item); err != nil {
		j.over++
		j.begun = s.now
	}
	s.jobs = append(s.jobs, j)
	s.act()
	return j
}

func (s *sim) act() {
	for d, ok := s.p.Next(s.now); ok; d, ok = s.p.Next(s.now) {
		j := d.Item.Value().(*job)
		switch d.Kind {
		case Expire:
			if s.now.Before(j.item.spec.Deadline) {
				s.t.Fatalf("item %d expires before its deadline", j.id)
			}
			j.over++
		case Preempt:
			j.pushed = true
			j.end = s.now.Add(stopTime)
		case Start:
			s.start(j)
		}
	}
	s.max = max(s.max, len(s.running))
}

func (s *sim) start(j *job) {
	if j.over > 0 || slices.Contains(s.running, j) {
		s.t.Fatalf("item %d is started again", j.id)
	}
	if j.begun.IsZero() {
		j.begun = s.now
	}
	j.from, j.end, j.pushed = s.now, s.now.Add(j.left), false
	s.running = append(s.running, j)
	if len(s.running) > s.slots {
		s.t.Fatalf("%d items run in %d slots", len(s.running), s.slots)
	}
	for _, r := range s.running {
		if r.item.spec.Solo && len(s.running) > 1 {
			s.t.Fatalf("item %d does not run alone", r.id)
		}
	}
}

// until moves the time on to the given moment, or to the end of all work if it is zero.
func (s *sim) until(end time.Time) {
	for step := 0; ; step++ {
		if step > 1_000_000 {
			s.t.Fatalf("the queue does not come to an end")
		}
		next, ok := s.p.Wake(s.now)
		if ok && !next.After(s.now) {
			s.t.Fatalf("wake is not in the future")
		}
		var first *job
		for _, r := range s.running {
			if first == nil || r.end.Before(first.end) {
				first = r
			}
		}
		if first != nil && (!ok || !first.end.After(next)) {
			next, ok = first.end, true
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
		s.act()
	}
	if !end.IsZero() {
		s.now = end
	}
}

func (s *sim) finish(j *job) {
	s.running = slices.DeleteFunc(s.running, func(r *job) bool { return r == j })
	if j.pushed {
		j.left = max(j.left-s.now.Sub(j.from), time.Millisecond)
		s.p.Requeue(s.now, j.item)
		return
	}
	j.over++
	s.p.Done(s.now, j.item)
}

func fair(slots int) *Fair {
	return NewFair(DefaultConfig(slots), rand.New(rand.NewPCG(1, 2)))
}

// Guards against items that are lost or run twice, more items at once than slots, a solo item with another beside it,
// and waits beyond the stated bound, for any mix of work.
func TestAnyMixIsServedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		var p Policy = fair(slots)
		if rapid.Bool().Draw(t, "baseline") {
			p = NewBaseline(slots, 40)
		}
		s := &sim{t: t, p: p, slots: slots, now: epoch}
		const longest = 20_000
		count := rapid.IntRange(1, 60).Draw(t, "count")
		for range count {
			s.until(s.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond))
			sp := Spec{Class: Class(rapid.IntRange(0, 1).Draw(t, "class")), Predicted: rapid.IntRange(0, 4000).Draw(t, "tokens")}
			sp.Solo = rapid.IntRange(0, 9).Draw(t, "solo") == 0
			sp.Preemptible = sp.Class == Train && rapid.Bool().Draw(t, "preemptible")
			if rapid.IntRange(0, 4).Draw(t, "deadline") == 0 {
				sp.Deadline = s.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "left")) * time.Millisecond)
			}
			j := s.push(sp, time.Duration(rapid.IntRange(1, longest).Draw(t, "length"))*time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 && p.Remove(j.item) {
				j.over++
				s.act()
			}
		}
		s.until(time.Time{})
		bound := 40*time.Second + time.Duration(2*(count+1)*longest)*time.Millisecond
		for _, j := range s.jobs {
			if j.over != 1 {
				t.Fatalf("item %d ended %d times", j.id, j.over)
			}
			if w := j.begun.Sub(j.at); !j.begun.IsZero() && w > bound {
				t.Fatalf("item %d waits %v, bound %v", j.id, w, bound)
			}
		}
		if w, r := p.Len(); w != 0 || r != 0 {
			t.Fatalf("%d wait and %d run at the end", w, r)
		}
	})
}

// Guards against starvation: training and solo work must start while live work keeps all slots busy.
func TestNothingStarvesUnderLiveOverload(t *testing.T) {
	for _, sp := range []Spec{
		{Class: Train, Predicted: 4000, Preemptible: true},
		{Class: Train, Predicted: 10},
		{Class: Train, Solo: true},
		{Class: Live, Solo: true},
		{Class: Live, Predicted: 4000},
	} {
		t.Run(fmt.Sprintf("%+v", sp), func(t *testing.T) {
			s := &sim{t: t, p: fair(4), slots: 4, now: epoch}
			var j *job
			for n := range 1200 {
				// Twice the live work that four slots can serve.
				s.push(Spec{Class: Live, Predicted: 20}, 800*time.Millisecond)
				if n == 100 {
					j = s.push(sp, time.Second)
				}
				s.until(s.now.Add(100 * time.Millisecond))
			}
			cfg := DefaultConfig(4)
			if w := j.begun.Sub(j.at); j.begun.IsZero() || w > cfg.Age+cfg.Length+2*time.Second {
				t.Fatalf("started %v after %v", !j.begun.IsZero(), w)
			}
		})
	}
}

// Guards against others that starve beside a train of solo items.
func TestSoloItemsTakeTurns(t *testing.T) {
	s := &sim{t: t, p: fair(2), slots: 2, now: epoch}
	for range 10 {
		s.push(Spec{Class: Live, Solo: true}, time.Second)
	}
	other := s.push(Spec{Class: Live, Predicted: 1}, time.Second)
	s.until(time.Time{})
	if w := other.begun.Sub(other.at); w > 2*time.Second {
		t.Fatalf("a short item waits %v behind solo items", w)
	}
}

// Guards against live work that waits behind training streams, against training streams that lose their place, and
// against training streams that preempt each other and spend their time on computing prompts again.
func TestUrgentWorkPushesOutTraining(t *testing.T) {
	s := &sim{t: t, p: fair(2), slots: 2, now: epoch}
	for range 3 {
		s.push(Spec{Class: Train, Predicted: 4000, Preemptible: true}, time.Minute)
	}
	s.until(s.now.Add(time.Second))
	live := s.push(Spec{Class: Live, Predicted: 10}, time.Second)
	short := s.push(Spec{Class: Train, Predicted: 10}, time.Second)
	s.until(s.now.Add(100 * time.Millisecond))
	if live.begun.IsZero() || live.begun.Sub(live.at) > stopTime {
		t.Fatalf("live work waits although training streams could be preempted")
	}
	if !short.begun.IsZero() {
		t.Fatalf("training work preempted training work")
	}
	s.until(time.Time{})
	if short.begun.After(s.jobs[2].begun) {
		t.Fatalf("short training work waits behind long work that had not started")
	}
	if s.jobs[0].begun.After(s.jobs[2].begun) || s.jobs[0].over != 1 {
		t.Fatalf("the first training stream lost its place")
	}
}

// Guards against long live work that takes all slots from short work.
func TestShareIsKeptFreeOfLongWork(t *testing.T) {
	s := &sim{t: t, p: fair(4), slots: 4, now: epoch}
	for range 6 {
		s.push(Spec{Class: Live, Predicted: 4000}, time.Minute)
	}
	short := s.push(Spec{Class: Live, Predicted: 10}, time.Second)
	if short.begun.IsZero() || s.max != 4 {
		t.Fatalf("short work waits, %d run", s.max)
	}
}

// Guards against a queue without bound and against refused callers that all come back at the same moment.
func TestFullQueueRefusesWithSpreadRetry(t *testing.T) {
	f := fair(1)
	f.config.Wait = time.Hour
	for n := range f.config.Live {
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
		t.Fatalf("%d different retry-after times of 20", len(seen))
	}
	if err := f.Push(epoch, NewItem(Spec{Class: Train}, nil)); err != nil {
		t.Fatalf("live work fills the queue of training work: %v", err)
	}
}

// Guards against live callers that are held in a queue for longer than they are told when to come back.
func TestLiveIsRefusedBeyondThePredictedWait(t *testing.T) {
	f := fair(4)
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
	// Four slots serve four waiting items a second.
	if most := int(f.config.Wait.Seconds()*4) + 1; n > most || busy.Retry() <= 0 {
		t.Fatalf("%d items wait, at most %d", n, most)
	}
	if err := f.Push(epoch, NewItem(Spec{Class: Train}, nil)); err != nil {
		t.Fatalf("training work is refused for its wait: %v", err)
	}
}

func BenchmarkFair(b *testing.B) {
	f := fair(16)
	now := epoch
	items := make([]*Item, 64)
	for n := range items {
		items[n] = NewItem(Spec{Class: Class(n % 2), Predicted: n * 40, Preemptible: n%2 == 1}, nil)
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
