package reward

import (
	"container/heap"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/ratelimit"
)

// sender is an entry with calls that wait for a server.
type sender struct {
	tracker *place.Tracker
	waiting []*Call
}

// flood lets several entries send their calls to the one server that has no limit, after the time in which calls yield. It
// returns how many calls the server has answered and how many it has refused, as its slots and its queue were full.
func flood(seed uint64) (answered, refused int) {
	const (
		entries, callsEach = 20, 200
		slots, queueLength = 6, 24
		work               = 80 * time.Millisecond
		poll               = 100 * time.Millisecond
		simulated          = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 3))
	list := []catalog.Server{{ID: "s", Domain: "a", Slots: slots}}
	now, began := time.Duration(0), start.Add(yieldTime+time.Second)
	all := make([]*sender, entries)
	for i := range all {
		home := place.Home{Domain: "a", Region: "r", Regions: map[string]string{"a": "r"}}
		all[i] = &sender{tracker: place.New(home, ratelimit.New(slog.New(slog.DiscardHandler)), random)}
		for range callsEach {
			c := &Call{}
			c.Ready(start)
			all[i].waiting = append(all[i].waiting, c)
		}
	}
	var running endQueue
	var queue []int // entries whose calls are queued at the server
	execute := func(entry int) {
		heap.Push(&running, execution{request: request{entry: entry}, end: now + time.Duration(float64(work)*(0.5+random.Float64()))})
	}
	send := func(entry int) {
		e := all[entry]
		var left []*Call
		for _, c := range e.waiting {
			at := began.Add(now)
			if !c.Due(at) {
				left = append(left, c)
				continue
			}
			if _, ok := e.tracker.Start(at, list, c.Need(at, nil)); !ok {
				left = append(left, c)
				continue
			}
			switch {
			case len(running) < slots:
				execute(entry)
			case len(queue) < queueLength:
				queue = append(queue, entry)
			default:
				refused++
				e.tracker.Ended("s", "", place.Refused, 0, at)
				c.Ended(Refused, at)
				left = append(left, c)
			}
		}
		e.waiting = left
	}
	next := make([]time.Duration, entries)
	for i := range next {
		next[i] = time.Duration(random.Int64N(int64(poll)))
	}
	for now < simulated {
		first := 0
		for i := range next {
			if next[i] < next[first] {
				first = i
			}
		}
		if len(running) == 0 || next[first] < running[0].end {
			now = next[first]
			next[first] += poll
			send(first)
			continue
		}
		done := heap.Pop(&running).(execution)
		now = done.end
		answered++
		all[done.entry].tracker.Ended("s", "", place.Answered, work, began.Add(now))
		if len(queue) > 0 {
			execute(queue[0])
			queue = queue[1:]
		}
		send(done.entry)
	}
	return answered, refused
}

// Guards against calls that flood the only server that still takes them, which then refuses or resets live requests, too.
func TestLateCallsDoNotFloodLastServer(t *testing.T) {
	const possible = 20 * 6 / 0.08 // calls in the simulated time, if all slots were always in use
	for seed := range uint64(5) {
		answered, refused := flood(seed)
		t.Logf("seed %d: %d answered, %d refused", seed, answered, refused)
		if refused > answered {
			t.Errorf("seed %d: %d calls refused for %d answered", seed, refused, answered)
		}
		if float64(answered) < 0.8*possible {
			t.Errorf("seed %d: %d calls answered, %.0f are possible", seed, answered, possible)
		}
	}
}
