package reward

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/ratelimit"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

// Guards against calls that are given up too early or never, and against retry delays that do not grow or have no
// limit.
func TestRetryAndGiveUp(t *testing.T) {
	const maxFailures = 3
	var c Call
	if c.Due(start) {
		t.Error("a call is due before its text is complete")
	}
	c.Ready(start)
	if !c.Due(start) {
		t.Error("a call is not due although its text is complete")
	}
	now := start
	for range 20 {
		for _, o := range []Outcome{Refused, Lost, Rejected} {
			if c.Ended(o, now); c.Exhausted(maxFailures) {
				t.Fatal("call given up although no server failed")
			}
		}
		if c.Due(now) || !c.Due(now.Add(maxRetryDelay)) {
			t.Fatalf("next attempt is due after %s, want more than 0 and at most maxRetryDelay", c.nextAttempt.Sub(now))
		}
		now = now.Add(maxRetryDelay)
	}
	c.Ready(now)
	for i := 1; i <= maxFailures; i++ {
		c.Ended(Failed, now)
		if got := c.Exhausted(maxFailures); got != (i == maxFailures) {
			t.Errorf("after %d failures: call given up is %t", i, got)
		}
	}
}

// Guards against a first attempt that waits for a silent server as long as the whole call may take, and against
// attempts that exceed the timeout of the route.
func TestAttemptTimeout(t *testing.T) {
	var c Call
	c.Ready(start)
	var got []time.Duration
	for range 5 {
		got = append(got, c.AttemptTimeout(400*time.Millisecond, 2*time.Second))
		c.Ended(Lost, start)
	}
	want := []time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second, 2 * time.Second, 2 * time.Second}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("attempt timeouts (-want +got):\n%s", d)
	}
	if d := (&Call{}).AttemptTimeout(0, 0); d <= 0 || d > defaultMaxAttemptTime {
		t.Errorf("attempt timeout without objective and timeout of the route is %s", d)
	}
}

// Guards against calls of a group with many open items that go before the call of a group that lacks only one score.
func TestSort(t *testing.T) {
	l := []PendingCall{
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

// request is a request to a simulated server.
type request struct {
	entry    int // that sent it
	server   string
	live     bool
	arrival  time.Duration
	duration time.Duration
}

// execution is a request in progress.
type execution struct {
	request
	end time.Duration
}

// endQueue is a heap of executions, ordered by their end.
type endQueue []execution

func (h endQueue) Len() int           { return len(h) }
func (h endQueue) Less(i, j int) bool { return h[i].end < h[j].end }
func (h endQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endQueue) Push(x any) {
	if r, ok := x.(execution); ok {
		*h = append(*h, r)
	}
}

func (h *endQueue) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

// simulate runs bursts of calls beside live requests on servers with queues, in virtual time. It returns the latencies
// of both that ended within the simulated time. If allAtOnce is set, each call is sent as soon as its text is
// complete.
func simulate(seed uint64, allAtOnce bool) (live, calls []time.Duration) {
	const (
		servers, slots = 5, 6
		liveWork       = 21 * time.Millisecond
		callWork       = 80 * time.Millisecond
		burst          = 68
		every          = 2 * time.Second
		simulated      = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 1))
	tr := place.New(place.Home{Domain: "a", Region: "r", Regions: map[string]string{"a": "r"}}, ratelimit.New(slog.New(slog.DiscardHandler)), random)
	var list []catalog.Server
	free, queue := make(map[string]int), make(map[string][]request)
	for i := range servers {
		id := fmt.Sprintf("s%d", i)
		list = append(list, catalog.Server{ID: id, Domain: "a", Slots: slots})
		free[id] = slots
	}
	var running endQueue
	now := time.Duration(0)
	spread := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + random.Float64())) }
	admit := func(w request) {
		tr.Began(w.server, start.Add(now))
		if free[w.server] == 0 {
			queue[w.server] = append(queue[w.server], w)
			return
		}
		free[w.server]--
		heap.Push(&running, execution{request: w, end: now + w.duration})
	}
	type waiting struct {
		call    Call
		arrival time.Duration
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
			admit(request{server: s.ID, arrival: w.arrival, duration: spread(callWork)})
		}
		backlog = left
	}
	nextLive, nextBurst := time.Duration(0), every/2
	for now < simulated {
		switch {
		case len(running) > 0 && running[0].end <= min(nextLive, nextBurst):
			done := running[0]
			heap.Pop(&running)
			now = done.end
			tr.Ended(done.server, "", place.Answered, done.duration, start.Add(now))
			if done.live {
				live = append(live, now-done.arrival)
			} else {
				calls = append(calls, now-done.arrival)
			}
			free[done.server]++
			if q := queue[done.server]; len(q) > 0 {
				queue[done.server] = q[1:]
				free[done.server]--
				heap.Push(&running, execution{request: q[0], end: now + q[0].duration})
			}
			send()
		case nextLive <= nextBurst:
			now = nextLive
			s, _ := tr.Pick(start.Add(now), list, place.Need{})
			admit(request{server: s.ID, live: true, arrival: now, duration: spread(liveWork)})
			nextLive += time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))
		default:
			now = nextBurst
			for range burst {
				w := &waiting{arrival: now}
				w.call.Ready(start.Add(now))
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

// Simulates steps whose texts are completed in bursts, beside live requests to the same servers. The baseline sends
// every call at once, so that live requests queue behind the burst. Calls that leave slots free must keep the p99 of
// live requests under half the objective of 200 ms, and their own p99 within twice the baseline.
func TestCallsLeaveRoomForLiveRequests(t *testing.T) {
	const objective = 200 * time.Millisecond
	for seed := range uint64(5) {
		baseLive, baseCalls := simulate(seed, true)
		live, calls := simulate(seed, false)
		l, c := quantile(live, 0.99), quantile(calls, 0.99)
		bl, bc := quantile(baseLive, 0.99), quantile(baseCalls, 0.99)
		t.Logf("seed %d: live p99 %s, baseline %s; calls p99 %s, baseline %s", seed, l, bl, c, bc)
		if l >= bl || l > objective/2 {
			t.Errorf("seed %d: live p99 is %s, baseline %s", seed, l, bl)
		}
		if c > 2*bc {
			t.Errorf("seed %d: calls p99 is %s, baseline %s", seed, c, bc)
		}
	}
}

// Guards against calls that starve behind live requests which fill all slots but the reserved ones.
func TestCallsAreNotStarved(t *testing.T) {
	tr := place.New(place.Home{Domain: "a", Region: "r", Regions: map[string]string{"a": "r"}}, ratelimit.New(slog.New(slog.DiscardHandler)), rand.New(rand.NewPCG(1, 1)))
	list := []catalog.Server{{ID: "s", Domain: "a", Slots: 6}}
	for range 8 {
		tr.Began("s", start)
	}
	var c Call
	c.Ready(start)
	if _, ok := tr.Pick(start, list, c.Need(start, nil)); ok {
		t.Error("a new call competes with live requests for an overloaded server")
	}
	late := start.Add(yieldTime + time.Millisecond)
	if _, ok := tr.Pick(late, list, c.Need(late, nil)); !ok {
		t.Error("a call still yields after yieldTime")
	}
}
