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

// A step as it is played here: items with a heavy tail, whose estimates are off by a half and more, on engines of which a
// third is slower for good and each is disturbed now and then.
const (
	playedEngines = 6
	playedSlots   = 16
	playedItems   = 64
	playedPace    = 38 * time.Millisecond
	playedSlower  = 1.3
	playedCalm    = 5 * time.Second        // mean time between two disturbances
	playedOther   = 900 * time.Millisecond // mean time of one
	playedFactor  = 2.5
	playedBegin   = 20 * time.Millisecond  // until an engine begins to read
	playedPrompt  = 3 * time.Millisecond   // that it takes to read a prompt
	playedText    = 180 * time.Microsecond // and each event of a text, while its other items wait
	playedRest    = 500 * time.Millisecond // between two moves of an item
)

// run is an item at its next event.
type run struct {
	at     time.Time
	last   time.Time // event before
	moved  time.Time
	engine int
	made   int
	events int
	guess  int
}

type runs []*run

func (l runs) Len() int           { return len(l) }
func (l runs) Less(i, k int) bool { return l[i].at.Before(l[k].at) }
func (l runs) Swap(i, k int)      { l[i], l[k] = l[k], l[i] }
func (l *runs) Push(x any)        { *l = append(*l, x.(*run)) }
func (l *runs) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

// play runs steps one after the other and returns the mean time until the last item of one has ended, and that of its
// longest item on a fast engine that is never disturbed.
func play(seed uint64, policy func(*Tracker) placer) (took, floor time.Duration) {
	const steps = 12
	random := rand.New(rand.NewPCG(seed, 7))
	t := New(Home{Domain: "a", Region: "east", Regions: map[string]string{"a": "east"}}, rand.New(rand.NewPCG(seed, 8)))
	engines := servers(playedEngines, playedSlots, "a")
	type phase struct {
		disturbed bool
		until     time.Time
	}
	phases := make([]phase, playedEngines)
	for i := range phases {
		phases[i].until = start
	}
	pace := func(e int, now time.Time) time.Duration {
		f := &phases[e]
		for !now.Before(f.until) {
			f.disturbed = !f.disturbed
			mean := playedCalm
			if f.disturbed {
				mean = playedOther
			}
			f.until = f.until.Add(time.Duration(random.ExpFloat64() * float64(mean)))
		}
		p := playedPace
		if e%3 == 2 {
			p = time.Duration(playedSlower * float64(p))
		}
		if f.disturbed {
			p = time.Duration(playedFactor * float64(p))
		}
		return p
	}
	p := policy(t)
	now := start
	for range steps {
		began, longest := now, 0
		waiting := make([]*run, 0, playedItems)
		for range playedItems {
			events := min(int(20*math.Exp(0.8*random.NormFloat64()))+1, 189)
			if random.Float64() < 0.08 {
				events = min(5*events, 189)
			}
			longest = max(longest, events)
			waiting = append(waiting, &run{events: events, guess: int(float64(events)*math.Exp(0.5*random.NormFloat64())) + 1})
		}
		now = playStep(t, engines, p, pace, waiting, now)
		took += now.Sub(began)
		floor += time.Duration(longest) * playedPace
		now = now.Add(time.Second)
	}
	return took / steps, floor / steps
}

// placer is what a policy asks of the tracker.
type placer struct {
	need func(rest, longest int) Need
	// next returns where a run goes on after an event, if not where it is.
	next func(now time.Time, present catalog.Server, engines []catalog.Server, r *run, n Need) (catalog.Server, bool)
}

func playStep(
	t *Tracker, engines []catalog.Server, p placer, pace func(int, time.Time) time.Duration, waiting []*run, now time.Time,
) time.Time {
	rest := func(r *run) int { return forecast.Rest(r.guess, r.made) }
	index := make(map[string]int)
	for i, s := range engines {
		index[s.ID] = i
	}
	var going runs
	longest := func() int {
		most := 0
		for _, l := range [][]*run{waiting, going} {
			for _, r := range l {
				most = max(most, rest(r))
			}
		}
		return most
	}
	begin := func() {
		var left []*run
		for _, r := range waiting {
			s, ok := t.Pick(now, engines, p.need(rest(r), longest()))
			if !ok {
				left = append(left, r)
				continue
			}
			t.Began(s.ID, now)
			enter(&going, r, index[s.ID], now)
		}
		waiting = left
	}
	sortByGuess(waiting)
	begin()
	for len(going) > 0 {
		r := heap.Pop(&going).(*run)
		now = r.at
		present := engines[r.engine]
		if !r.last.IsZero() {
			t.Paced(present.ID, now.Sub(r.last), now)
		}
		r.made++
		r.last = now
		if r.made == r.events {
			t.Ended(present.ID, "m", Answered, 0, now)
			begin()
			continue
		}
		s, moved := p.next(now, present, engines, r, p.need(rest(r), longest()))
		if moved {
			r.moved = now
			t.Ended(present.ID, "m", Answered, 0, now)
			enter(&going, r, index[s.ID], now)
			continue
		}
		r.at = now.Add(pace(r.engine, now))
		heap.Push(&going, r)
	}
	return now
}

// enter lets an item begin or go on at an engine, whose other items wait while it reads.
func enter(going *runs, r *run, engine int, now time.Time) {
	read := playedPrompt + time.Duration(r.made)*playedText
	for _, o := range *going {
		if o.engine == engine {
			o.at = o.at.Add(read)
		}
	}
	heap.Init(going)
	r.engine, r.last, r.at = engine, time.Time{}, now.Add(playedBegin+read+playedPace)
	heap.Push(going, r)
}

func sortByGuess(l []*run) {
	slices.SortStableFunc(l, func(a, b *run) int { return b.guess - a.guess })
}

// Plays steps on engines that differ for good and are disturbed now and then, against the choice by present paces alone:
// of what a trainer waits for beyond its longest item a third is to be saved.
func TestStepsEndEarlier(t *testing.T) {
	baseline := func(*Tracker) placer {
		return placer{
			need: func(int, int) Need { return Need{Model: "m", Room: true} },
			next: func(time.Time, catalog.Server, []catalog.Server, *run, Need) (catalog.Server, bool) {
				return catalog.Server{}, false
			},
		}
	}
	policy := func(tr *Tracker) placer {
		return placer{
			need: func(rest, longest int) Need {
				return Need{Model: "m", Room: true, Rest: rest, Within: time.Duration(longest) * tr.Fastest()}
			},
			next: func(now time.Time, present catalog.Server, l []catalog.Server, r *run, n Need) (catalog.Server, bool) {
				if now.Sub(r.moved) < playedRest || r.made%8 != 0 && !tr.Disturbed(present.ID, now) {
					return catalog.Server{}, false
				}
				n.Tried = map[string]bool{present.ID: true}
				return tr.Better(now, present, l, n)
			},
		}
	}
	var saved, lost time.Duration
	for seed := range uint64(20) {
		without, floor := play(seed, baseline)
		with, _ := play(seed, policy)
		lost += without - floor
		saved += without - with
	}
	t.Logf("of %s beyond the longest item of a step by present paces, %s are saved", lost/20, saved/20)
	if saved < lost/3 {
		t.Errorf("of %s beyond the longest item of a step, %s are saved", lost/20, saved/20)
	}
}

// Guards against a single late event that counts as a disturbance, and against one that goes on after it has ended.
func TestDisturbed(t *testing.T) {
	tr := tracker()
	tr.Began("a0", start)
	now := start
	step := func(gap time.Duration) bool {
		now = now.Add(gap)
		tr.Paced("a0", gap, now)
		return tr.Disturbed("a0", now)
	}
	for range 30 {
		if step(playedPace) {
			t.Fatal("a steady engine is disturbed")
		}
	}
	if step(3 * playedPace) {
		t.Error("one late event is a disturbance")
	}
	late := false
	for range 2 {
		late = late || step(3*playedPace)
	}
	if !late {
		t.Error("late events are none")
	}
	for i := range 20 {
		if !step(playedPace) {
			return
		}
		if i == 8 {
			t.Fatal("the disturbance goes on")
		}
	}
}

// Guards against items that leave their engines because this process had no processor time for a moment and takes the
// events of all late.
func TestOwnDelayIsNoDisturbance(t *testing.T) {
	tr := tracker()
	l := servers(5, 8, "a")
	now := start
	step := func(gap func(i int) time.Duration) {
		now = now.Add(3 * playedPace)
		for i, s := range l {
			tr.Paced(s.ID, gap(i), now)
		}
	}
	for _, s := range l {
		tr.Began(s.ID, now)
	}
	for range 30 {
		step(func(int) time.Duration { return playedPace })
	}
	for range 4 {
		step(func(int) time.Duration { return 3 * playedPace })
	}
	need := Need{Model: "m", Room: true, Rest: 60, Tried: map[string]bool{"a0": true}}
	if tr.Disturbed("a0", now) {
		t.Error("an engine is disturbed when all are late")
	}
	if s, ok := tr.Better(now, l[0], l, need); ok {
		t.Errorf("work moves to %q when all are late", s.ID)
	}
	if got := tr.Load(now).Paces; len(got) > 0 {
		t.Errorf("other entries are told of %v", got)
	}
	for range 12 {
		step(func(int) time.Duration { return playedPace })
	}
	for range 4 {
		step(func(i int) time.Duration {
			if i == 0 {
				return 3 * playedPace
			}
			return playedPace
		})
	}
	if s, ok := tr.Better(now, l[0], l, need); !ok || s.ID == "a0" {
		t.Error("work stays at the one engine that is disturbed")
	}
}

// Guards against more work at an engine than it runs at once, sent by entries of which each knows its own, and against
// counts of an entry that tells nothing any more.
func TestForeignWorkTakesRoom(t *testing.T) {
	tr := tracker()
	l := servers(2, 8, "a")
	need := Need{Model: "m", Room: true, Rest: 10}
	tr.Told("other", Load{Counts: map[string]int{"a0": 8, "a1": 7}}, start)
	if s, ok := tr.Pick(start, l, need); !ok || s.ID != "a1" {
		t.Errorf("picked %q, want the one with room", s.ID)
	}
	tr.Began("a1", start)
	if s, ok := tr.Pick(start, l, need); ok {
		t.Errorf("picked %q, which is full", s.ID)
	}
	if _, ok := tr.Pick(start.Add(counted+time.Millisecond), l, need); !ok {
		t.Error("counts of long ago take room")
	}
	if got := tr.Load(start).Counts; len(got) != 1 || got["a1"] != 1 {
		t.Errorf("this entry tells %v, want its own request", got)
	}
}

// Guards against work that goes to an engine which another entry sees disturbed.
func TestForeignDisturbance(t *testing.T) {
	tr := tracker()
	l := servers(2, 8, "a")
	for _, s := range l {
		tr.Began(s.ID, start)
		for i := range 10 {
			tr.Paced(s.ID, playedPace, start.Add(time.Duration(i)*playedPace))
		}
		tr.Ended(s.ID, "m", Answered, 0, start)
	}
	now := start.Add(5 * time.Second)
	tr.Told("other", Load{Paces: map[string]time.Duration{"a0": 3 * playedPace, "a1": playedPace}}, now)
	for range 20 {
		if s, _ := tr.Pick(now, l, Need{Model: "m", Room: true, Rest: 30}); s.ID != "a1" {
			t.Fatalf("picked %q, which is disturbed", s.ID)
		}
	}
}

// Guards against long work on a slow engine while short work takes the fast ones, and against long work that waits for a
// fast one although a slow one has room.
func TestShortWorkSparesFastEngines(t *testing.T) {
	tr := tracker()
	l := servers(2, 8, "a")
	for i, s := range l {
		tr.Began(s.ID, start)
		for k := range 40 {
			tr.Paced(s.ID, playedPace*time.Duration(2+i)/2, start.Add(time.Duration(k)*playedPace))
		}
		tr.Ended(s.ID, "m", Answered, 0, start)
	}
	within := 180 * tr.Fastest()
	if s, _ := tr.Pick(start, l, Need{Model: "m", Room: true, Rest: 10, Within: within}); s.ID != "a1" {
		t.Errorf("short work went to %q", s.ID)
	}
	if s, _ := tr.Pick(start, l, Need{Model: "m", Room: true, Rest: 180, Within: within}); s.ID != "a0" {
		t.Errorf("long work went to %q", s.ID)
	}
	for range 8 {
		tr.Began("a0", start)
	}
	if s, ok := tr.Pick(start, l, Need{Model: "m", Room: true, Rest: 180, Within: within}); !ok || s.ID != "a1" {
		t.Errorf("long work went to %q while the fast engine is full", s.ID)
	}
}
