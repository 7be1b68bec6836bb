package batch

import (
	"errors"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// slowAndFast returns a rig whose first engine makes events twenty times slower than the second, and a manager that knows
// the paces of both. The route may allow one version only.
func slowAndFast(t *testing.T, single bool) (r *rig, m *Manager, slow, fast *engine) {
	t.Helper()
	slow, fast = newEngine(t, 5), newEngine(t, 6)
	slow.set(func(e *engine) { e.gap = 60 * time.Millisecond })
	fast.set(func(e *engine) { e.gap = 3 * time.Millisecond })
	r = newRig(t, slow, fast)
	r.route.SingleVersion = single
	m, stop := r.manager("one", "1")
	t.Cleanup(stop)
	r.submit(m, "warm", payload(5, "w-12", "w2-12"))
	check(t, r.collect(m, "warm", 2), "w-12", "w2-12")
	if len(slow.started()) == 0 || len(fast.started()) == 0 {
		t.Fatal("an engine got no item, so that its pace is unknown")
	}
	return r, m, slow, fast
}

// refuse lets an engine refuse the first runs of an item.
func refuse(id string, runs int) func(e *engine) {
	return func(e *engine) {
		e.answer = func(item string, run int) int {
			if item == id && run <= runs {
				return http.StatusServiceUnavailable
			}
			return 0
		}
	}
}

// Guards against events that are missing, stand twice or bear the wrong version when an item moves while its former
// server goes on.
func TestMove(t *testing.T) {
	t.Parallel()
	r, m, slow, fast := slowAndFast(t, false)
	fast.set(refuse("a-80", 1))
	r.submit(m, "job", payload(5, "a-80"))
	results := r.collect(m, "job", 1)
	check(t, results, "a-80")
	if got := results[0].Versions; !slices.Equal(got, []int{5, 6}) {
		t.Errorf("versions %v, want 5 of the slow engine and 6 of the fast one", got)
	}
	if got := starts(slow, "a-80"); !slices.Equal(got, []string{"a-80@1"}) {
		t.Errorf("the slow engine ran %v", got)
	}
	if got := starts(fast, "a-80"); len(got) != 1 || got[0] == "a-80@1" {
		t.Errorf("the fast engine ran %v, want one run that goes on", got)
	}
}

// Guards against a move that the new server refuses and that ends the run at the present one.
func TestRefusedMove(t *testing.T) {
	t.Parallel()
	r, m, slow, fast := slowAndFast(t, false)
	fast.set(refuse("a-40", 1000))
	r.submit(m, "job", payload(5, "a-40"))
	check(t, r.collect(m, "job", 1), "a-40")
	if got := starts(slow, "a-40"); !slices.Equal(got, []string{"a-40@1"}) {
		t.Errorf("the slow engine ran %v", got)
	}
	fast.mu.Lock()
	defer fast.mu.Unlock()
	if fast.runs["a-40"] < 2 {
		t.Error("the item did not try to move")
	}
}

// Guards against a text of two versions on a route that allows one.
func TestMoveKeepsSingleVersion(t *testing.T) {
	t.Parallel()
	r, m, slow, fast := slowAndFast(t, true)
	fast.set(refuse("a-40", 1))
	r.submit(m, "job", payload(5, "a-40"))
	results := r.collect(m, "job", 1)
	check(t, results, "a-40")
	if got := results[0].Versions; len(got) != 1 {
		t.Errorf("versions %v", got)
	}
	if got := starts(slow, "a-40"); !slices.Equal(got, []string{"a-40@1"}) {
		t.Errorf("the slow engine ran %v", got)
	}
}

// Guards against slots that stay taken after an item has ended while it was about to move.
func TestMoveLeavesNoSlotTaken(t *testing.T) {
	t.Parallel()
	r, m, _, fast := slowAndFast(t, false)
	fast.set(refuse("a-17", 1))
	r.submit(m, "job", payload(5, "a-17", "b-30", "c-9"))
	check(t, r.collect(m, "job", 3), "a-17", "b-30", "c-9")
	deadline := time.Now().Add(5 * time.Second)
	for len(m.Tracker.Load(time.Now()).Counts) > 0 {
		if time.Now().After(deadline) {
			t.Fatalf("still taken: %v", m.Tracker.Load(time.Now()).Counts)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// starts returns the runs of an item that an engine has begun.
func starts(e *engine, id string) []string {
	var l []string
	for _, s := range e.started() {
		if strings.HasPrefix(s, id+"@") {
			l = append(l, s)
		}
	}
	return l
}

// Guards against a step whose time cannot be told from its log line.
func TestStepParts(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 5)
	e.set(func(e *engine) { e.gap = 10 * time.Millisecond })
	r := newRig(t, e)
	m, stop := r.manager("one", "1")
	defer stop()
	r.submit(m, "job", payload(5, "a-30"))
	check(t, r.collect(m, "job", 1), "a-30")
	deadline := time.Now().Add(5 * time.Second)
	for {
		r.steps.mu.Lock()
		sum := 0.0
		for _, seconds := range r.steps.parts {
			sum += seconds
		}
		parts := len(r.steps.parts)
		r.steps.mu.Unlock()
		if parts == 7 && sum >= (30*10*time.Millisecond).Seconds() {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d parts that sum up to %.3f s, of a step of at least 0.3 s", parts, sum)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a leg that has begun and is forgotten, with its slot, when another move begins before it is taken.
func TestMoveIsOverOnceTaken(t *testing.T) {
	m := &move{cancel: func() {}}
	if m.over() {
		t.Error("over while it is in flight")
	}
	l := &leg{}
	if !m.offer(l) {
		t.Fatal("the leg is not wanted")
	}
	m.end()
	if m.over() {
		t.Error("over before its leg is taken")
	}
	if m.take() != l || !m.over() {
		t.Error("not over after its leg was taken")
	}
	if m.drop() != nil {
		t.Error("a leg that was taken is dropped")
	}
	dropped := &move{cancel: func() {}}
	dropped.offer(l)
	if dropped.drop() != l {
		t.Error("a leg that was not taken is not given back")
	}
	if dropped.offer(l) {
		t.Error("a leg is offered to a move that was dropped")
	}
}

// Guards against a server that an item is to move to and that sends bytes without end which are no event, in the head of
// its answer or in the body: the item goes on where it is, and the connection is closed in time.
func TestMoveToEndlessBytes(t *testing.T) {
	for name, begin := range map[string]string{
		"head":     "HTTP/1.1 200 OK\r\nX-Filler: ",
		"headers":  "HTTP/1.1 200 OK\r\n",
		"line":     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ",
		"comments": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fill := strings.Repeat("x", 1<<10)
			switch name {
			case "headers":
				fill = "X-Filler: " + fill + "\r\n"
			case "comments":
				fill = ": " + fill + "\n\n"
			}
			r, m, slow, fast := slowAndFast(t, false)
			closed := make(chan struct{}, moveMost)
			fast.set(func(e *engine) {
				e.spill = func(w http.ResponseWriter, id string, _ int) bool {
					if id != "a-80" {
						return false
					}
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						panic(err) // the server of a test can hand its connection over
					}
					defer func() { _ = c.Close() }()
					_ = c.SetDeadline(time.Now().Add(10 * time.Second))
					_, err = c.Write([]byte(begin))
					for err == nil {
						_, err = c.Write([]byte(fill))
					}
					if !errors.Is(err, os.ErrDeadlineExceeded) {
						closed <- struct{}{}
					}
					return true
				}
			})
			r.submit(m, "job", payload(5, "a-80"))
			check(t, r.collect(m, "job", 1), "a-80")
			if got := starts(slow, "a-80"); !slices.Equal(got, []string{"a-80@1"}) {
				t.Errorf("the slow engine ran %v, want one run to the end", got)
			}
			// An attempt that is left in time is followed by others before the item ends.
			if n := len(closed); n < 2 {
				t.Errorf("%d connections with endless bytes were closed while the item ran, want several", n)
			}
		})
	}
}
