package reward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/catalog"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

// Guards against calls that are given up too early or never, and against pauses that do not grow or never end.
func TestEnded(t *testing.T) {
	const most = 3
	var c Call
	if c.Due(start) {
		t.Error("a call is due before the text is whole")
	}
	c.Asked(start)
	if !c.Due(start) {
		t.Error("a call is not due once the text is whole")
	}
	now := start
	for range 20 {
		if c.Ended(Refused, most, now) || c.Ended(Lost, most, now) || c.Ended(Denied, most, now) {
			t.Fatal("given up without a failure of the server")
		}
		if c.Due(now) || !c.Due(now.Add(pauseMost)) {
			t.Fatalf("the next attempt is due at %s", c.next.Sub(now))
		}
		now = now.Add(pauseMost)
	}
	c.Asked(now)
	for i := 1; i <= most; i++ {
		if got := c.Ended(Failed, most, now); got != (i == most) {
			t.Errorf("given up after %d failures: %t", i, got)
		}
	}
}

// Guards against a first attempt that waits for a silent server as long as the whole call may take, and against attempts
// that exceed the route's timeout.
func TestAllow(t *testing.T) {
	var c Call
	c.Asked(start)
	var got []time.Duration
	for range 5 {
		got = append(got, c.Allow(400*time.Millisecond, 2*time.Second))
		c.Ended(Lost, 1, start)
	}
	want := []time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second, 2 * time.Second, 2 * time.Second}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("times of the attempts (-want +got):\n%s", d)
	}
	if d := (&Call{}).Allow(0, 0); d <= 0 || d > longestTime {
		t.Errorf("without objective and timeout an attempt may take %s", d)
	}
}

// Guards against calls of a group that is far from whole before those of one that waits for its last score.
func TestSort(t *testing.T) {
	l := []Waiting{
		{Item: "a1", Group: "a", Index: 0},
		{Item: "a2", Group: "a", Index: 1},
		{Item: "b1", Group: "b", Index: 2},
		{Item: "c1", Group: "c", Index: 3},
	}
	Sort(l, map[string]int{"a": 4, "b": 2, "c": 1})
	var got []string
	for _, w := range l {
		got = append(got, w.Item)
	}
	if d := cmp.Diff([]string{"c1", "b1", "a1", "a2"}, got); d != "" {
		t.Errorf("order (-want +got):\n%s", d)
	}
}

// work is a request that a simulated server runs.
type work struct {
	server string
	live   bool
	came   time.Duration
	takes  time.Duration
}

// run is work in progress.
type run struct {
	work
	ends time.Duration
}

// ending is a heap of runs by their end.
type ending []run

func (h ending) Len() int           { return len(h) }
func (h ending) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h ending) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *ending) Push(x any) {
	if r, ok := x.(run); ok {
		*h = append(*h, r)
	}
}

func (h *ending) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

// play runs bursts of calls beside live requests on servers with queues, in virtual time, and returns the waits of both
// until their work is done. With all at once, each call is sent as soon as its text is whole.
func play(seed uint64, allAtOnce bool) (live, calls []time.Duration) {
	const (
		servers, slots = 5, 6
		liveWork       = 21 * time.Millisecond
		callWork       = 80 * time.Millisecond
		burst          = 68
		every          = 2 * time.Second
		length         = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 1))
	tr := place.New(place.Home{Domain: "a", Region: "r", Regions: map[string]string{"a": "r"}}, random)
	var list []catalog.Server
	free, queue := make(map[string]int), make(map[string][]work)
	for i := range servers {
		id := fmt.Sprintf("s%d", i)
		list = append(list, catalog.Server{ID: id, Domain: "a", Slots: slots})
		free[id] = slots
	}
	var running ending
	now := time.Duration(0)
	spread := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + random.Float64())) }
	enter := func(w work) {
		tr.Began(w.server, start.Add(now))
		if free[w.server] == 0 {
			queue[w.server] = append(queue[w.server], w)
			return
		}
		free[w.server]--
		heap.Push(&running, run{work: w, ends: now + w.takes})
	}
	type waiting struct {
		call Call
		came time.Duration
	}
	var backlog []*waiting
	send := func() {
		var left []*waiting
		for _, w := range backlog {
			need := place.Need{}
			if !allAtOnce {
				need = w.call.Need(start.Add(now), nil)
			}
			s, ok := tr.Pick(start.Add(now), list, need)
			if !ok {
				left = append(left, w)
				continue
			}
			enter(work{server: s.ID, came: w.came, takes: spread(callWork)})
		}
		backlog = left
	}
	nextLive, nextBurst := time.Duration(0), every/2
	for now < length {
		switch {
		case len(running) > 0 && running[0].ends <= min(nextLive, nextBurst):
			done := running[0]
			heap.Pop(&running)
			now = done.ends
			tr.Ended(done.server, "", place.Answered, done.takes, start.Add(now))
			if done.live {
				live = append(live, now-done.came)
			} else {
				calls = append(calls, now-done.came)
			}
			free[done.server]++
			if q := queue[done.server]; len(q) > 0 {
				queue[done.server] = q[1:]
				free[done.server]--
				heap.Push(&running, run{work: q[0], ends: now + q[0].takes})
			}
			send()
		case nextLive <= nextBurst:
			now = nextLive
			s, _ := tr.Pick(start.Add(now), list, place.Need{})
			enter(work{server: s.ID, live: true, came: now, takes: spread(liveWork)})
			nextLive += time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))
		default:
			now = nextBurst
			for range burst {
				w := &waiting{came: now}
				w.call.Asked(start.Add(now))
				backlog = append(backlog, w)
			}
			send()
			nextBurst += every
		}
	}
	return live, calls
}

func quantile(l []time.Duration, q float64) time.Duration {
	slices.Sort(l)
	return l[int(q*float64(len(l)-1))]
}

// Plays steps whose texts end in bursts beside live requests to the same servers. The baseline sends every call at once:
// live requests then wait behind the queues of the burst. Calls that leave room must keep the slowest live requests well
// under the objective of 200 ms, and must not wait twice as long themselves.
func TestCallsLeaveRoomForLiveRequests(t *testing.T) {
	const objective = 200 * time.Millisecond
	for seed := range uint64(5) {
		baseLive, baseCalls := play(seed, true)
		live, calls := play(seed, false)
		l, c := quantile(live, 0.99), quantile(calls, 0.99)
		bl, bc := quantile(baseLive, 0.99), quantile(baseCalls, 0.99)
		t.Logf("seed %d: live p99 %s, baseline %s; calls p99 %s, baseline %s", seed, l, bl, c, bc)
		if l >= bl || l > objective/2 {
			t.Errorf("seed %d: live requests wait %s, %s by the baseline", seed, l, bl)
		}
		if c > 2*bc {
			t.Errorf("seed %d: calls wait %s, %s by the baseline", seed, c, bc)
		}
	}
}

// Guards against calls that starve behind live requests which fill all but the spared slots.
func TestCallsAreNotStarved(t *testing.T) {
	tr := place.New(place.Home{Domain: "a", Region: "r", Regions: map[string]string{"a": "r"}}, rand.New(rand.NewPCG(1, 1)))
	list := []catalog.Server{{ID: "s", Domain: "a", Slots: 6}}
	for range 8 {
		tr.Began("s", start)
	}
	var c Call
	c.Asked(start)
	if _, ok := tr.Pick(start, list, c.Need(start, nil)); ok {
		t.Error("a new call competes with live requests for a full server")
	}
	late := start.Add(patience + time.Millisecond)
	if _, ok := tr.Pick(late, list, c.Need(late, nil)); !ok {
		t.Error("a call that has waited for long still makes way")
	}
}
