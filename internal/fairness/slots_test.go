package fairness

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against shares that do not add up, that exceed what is asked for, that fall below the floor, or that favour a flow
// over an equal one that asks for less.
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0.1, 100).Draw(t, "capacity")
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Demand {
			return Demand{
				Flow: Flow{Level: rapid.IntRange(0, 2).Draw(t, "level")}, Amount: rapid.Float64Range(0.01, 50).Draw(t, "amount"),
			}
		}), 1, 12).Draw(t, "demands")
		granted := Allocate(capacity, demands)
		total, sum := 0.0, 0.0
		for i, d := range demands {
			total += d.Amount
			sum += granted[i]
		}
		if want := min(capacity, total); math.Abs(sum-want) > 1e-3*want {
			t.Fatalf("%v of %v is granted", sum, want)
		}
		for i, d := range demands {
			if granted[i] > d.Amount*(1+1e-9) || granted[i]/d.Amount < 0.25*sum/total {
				t.Fatalf("%v of %v is granted, of all %v of %v", granted[i], d.Amount, sum, total)
			}
			for k, o := range demands {
				if o.Flow.Level >= d.Flow.Level && o.Amount >= d.Amount && granted[i] < granted[k] && granted[i] < d.Amount*0.999 &&
					granted[k] > FloorShare*capacity*o.Amount/total*1.001 {
					t.Fatalf("%+v gets %v, %+v gets %v", d, granted[i], o, granted[k])
				}
			}
		}
	})
}

// itemSim plays items of jobs at several entries that share the slots of engines, in steps of 50 ms.
type itemSim struct {
	fair        bool
	random      *rand.Rand
	entries     []*Slots
	waiting     []map[Flow]int // by entry
	unfit       Flow           // no engine can run its items
	running     []runningItem
	idle, steps int // free slots, and steps, while items waited
}

type runningItem struct {
	entry int
	flow  Flow
	end   int // step
}

const (
	itemSlots = 16
	itemSteps = 20 // steps that an item takes at most
)

func (s *itemSim) step(n int) {
	now := epoch.Add(time.Duration(n) * 50 * time.Millisecond)
	s.running = slices.DeleteFunc(s.running, func(r runningItem) bool {
		if r.end <= n {
			s.entries[r.entry].Ended(r.flow)
		}
		return r.end <= n
	})
	for k := range s.entries {
		s.start((n+k)%len(s.entries), n, now) // the entries notice free slots first in turn
	}
	s.steps++
	s.idle += itemSlots - len(s.running)
	for a, e := range s.entries {
		if uses, ok := e.Report(now); ok && n%3 == 0 {
			for b, o := range s.entries {
				if a != b {
					o.Apply(string(rune('a'+a)), uses, now)
				}
			}
		}
	}
}

// start starts items of an entry in the free slots.
func (s *itemSim) start(entry, n int, now time.Time) {
	e, waiting := s.entries[entry], s.waiting[entry]
	candidates := slices.SortedFunc(maps.Keys(waiting), Flow.compare)
	for f, n := range waiting {
		e.SetWaiting(f, n)
	}
	e.Begin(now, itemSlots)
	for len(s.running) < itemSlots && len(candidates) > 0 {
		f, ok := candidates[0], true
		if s.fair {
			f, ok = e.Next(now, candidates)
		}
		if !ok {
			return
		}
		if f == s.unfit || waiting[f] == 0 {
			candidates = slices.DeleteFunc(candidates, func(c Flow) bool { return c == f })
			continue
		}
		waiting[f]--
		e.Started(f)
		s.running = append(s.running, runningItem{entry: entry, flow: f, end: n + itemSteps - s.random.IntN(5)})
	}
}

// Guards against a job of many items that keeps the slots of engines from the jobs of other workspaces, at the same entry
// or at another one, and against slots that stay idle for the sake of shares.
func TestItemsGoByShares(t *testing.T) {
	big, other, late := Flow{Workspace: "big"}, Flow{Workspace: "other"}, Flow{Workspace: "late", Level: 1}
	for _, c := range []struct {
		name    string
		entries int // the other workspace uses the last one
		unfit   Flow
	}{{name: "one entry", entries: 1}, {name: "two entries", entries: 2}, {name: "unfit items", entries: 2, unfit: other}} {
		for _, fair := range []bool{false, true} {
			s := &itemSim{fair: fair, unfit: c.unfit, random: rand.New(rand.NewPCG(7, 7))}
			for range c.entries {
				s.entries, s.waiting = append(s.entries, NewSlots()), append(s.waiting, make(map[Flow]int))
			}
			s.waiting[0][big], s.waiting[0][late] = 1000, 1000
			shares := make(map[Flow]float64)
			for n := range 400 {
				if n == 40 {
					s.waiting[c.entries-1][other] = 1000
				}
				s.step(n)
				for _, r := range s.running {
					if n >= 200 {
						shares[r.flow] += 1.0 / 200
					}
				}
			}
			idle := float64(s.idle) / float64(s.steps*itemSlots)
			t.Logf("%-12s fair=%-5t slots: big %.1f, other %.1f, less urgent %.1f; idle %.3f", c.name, fair, shares[big],
				shares[other], shares[late], idle)
			if fair && c.unfit != other && (math.Abs(shares[big]-shares[other]) > 2 || shares[late] < 1) {
				t.Errorf("%s: of %d slots, the flows have %v", c.name, itemSlots, shares)
			}
			if fair && idle > 0.03 {
				t.Errorf("%s: %.3f of the slots are idle", c.name, idle)
			}
		}
	}
}

// Guards against slots that stay idle for flows at other entries that cannot take them, however many these are and however
// their numbers of waiting items change, and against a flow that begins to lack late and gets no time of its own.
func TestUnfitFlowsDoNotKeepSlotsIdle(t *testing.T) {
	big := Flow{Workspace: "big"}
	const look = 5 * time.Millisecond
	for _, n := range []int{2, 10, 20} {
		for _, alternate := range []bool{false, true} {
			s := NewSlots()
			s.SetWaiting(big, 1000)
			for range 14 {
				s.Started(big)
			}
			now, started, looks := epoch, 0, int(10*time.Second/look)
			for i := range looks {
				now = now.Add(look)
				if i%30 == 0 {
					var uses []Use
					for k := range n {
						waiting := 5
						if alternate {
							waiting += (i/30 + k) % 2 * 2
						}
						uses = append(uses, Use{Flow: Flow{Workspace: fmt.Sprint("unfit", k)}, Waiting: waiting})
					}
					s.Apply("b", uses, now)
				}
				s.Begin(now, 16)
				if f, ok := s.Next(now, []Flow{big}); ok {
					s.Started(f)
					s.Ended(f)
					s.SetWaiting(big, 1000)
					started++
				}
			}
			t.Logf("%d unfit flows, alternating=%t: %d starts in %d looks", n, alternate, started, looks)
			// A flow is waited for once in each declineTime, and all of them at the same time.
			if least := float64(looks) * (1 - 1.1*float64(yieldTime)/float64(declineTime)); float64(started) < least {
				t.Errorf("%d unfit flows, alternating=%t: %d starts in %d looks, want %.0f", n, alternate, started, looks, least)
			}
			s.SetWaiting(big, 0)
			s.Apply("b", nil, now)
			s.Begin(now.Add(2*declineTime), 16)
			if len(s.lacking) > 0 {
				t.Errorf("%d flows that lack nothing are remembered", len(s.lacking))
			}
		}
	}

	s := NewSlots()
	s.SetWaiting(big, 1000)
	for range 14 {
		s.Started(big)
	}
	// next looks at the free slots until a time, and returns whether big got one in any of the looks.
	now := epoch
	next := func(until time.Duration, flows ...string) bool {
		taken := false
		for ; now.Before(epoch.Add(until)); now = now.Add(look) {
			var uses []Use
			for _, f := range flows {
				uses = append(uses, Use{Flow: Flow{Workspace: f}, Waiting: 5})
			}
			s.Apply("b", uses, now)
			s.Begin(now, 16)
			_, ok := s.Next(now, []Flow{big})
			taken = taken || ok
		}
		return taken
	}
	if next(yieldTime*9/10, "unfit") {
		t.Error("a flow that lacks a slot gets no time")
	}
	if next(yieldTime*18/10, "unfit", "late") {
		t.Error("a flow that began to lack late gets no time of its own")
	}
	if !next(yieldTime*2, "unfit", "late") {
		t.Error("a free slot is left to flows that do not take it")
	}
}
