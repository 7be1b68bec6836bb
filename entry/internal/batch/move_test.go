package batch

import (
	"errors"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

// slowAndFast returns a rig whose first engine generates events twenty times slower than the second, and a manager that
// has seen both. With single set, the route allows one weight version only.
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
	checkTexts(t, r.collect(m, "warm", 2), "w-12", "w2-12")
	if len(slow.started()) == 0 || len(fast.started()) == 0 {
		t.Fatal("an engine got no item, so its speed is unknown")
	}
	return r, m, slow, fast
}

// refuse makes an engine refuse the first runs of an item.
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

// Guards against missing or duplicate events, and against wrong versions, when an item moves while its former server
// continues.
func TestMove(t *testing.T) {
	t.Parallel()
	r, m, slow, fast := slowAndFast(t, false)
	fast.set(refuse("a-80", 1))
	r.submit(m, "job", payload(5, "a-80"))
	results := r.collect(m, "job", 1)
	checkTexts(t, results, "a-80")
	if got := results[0].Versions; !slices.Equal(got, []int{5, 6}) {
		t.Errorf("versions %v, want 5 of the slow engine and 6 of the fast one", got)
	}
	if got := starts(slow, "a-80"); !slices.Equal(got, []string{"a-80@1"}) {
		t.Errorf("the slow engine ran %v", got)
	}
	if got := starts(fast, "a-80"); len(got) != 1 || got[0] == "a-80@1" {
		t.Errorf("the fast engine ran %v, want one resumed run", got)
	}
}

// Guards against a refused move that interrupts the run at the current server.
func TestRefusedMove(t *testing.T) {
	t.Parallel()
	r, m, slow, fast := slowAndFast(t, false)
	fast.set(refuse("a-40", 1000))
	r.submit(m, "job", payload(5, "a-40"))
	checkTexts(t, r.collect(m, "job", 1), "a-40")
	if got := starts(slow, "a-40"); !slices.Equal(got, []string{"a-40@1"}) {
		t.Errorf("the slow engine ran %v", got)
	}
	fast.mu.Lock()
	defer fast.mu.Unlock()
	if fast.runs["a-40"] < 2 {
		t.Error("no move was tried")
	}
}

// Guards against a text of two weight versions on a route that allows one.
func TestMoveKeepsSingleVersion(t *testing.T) {
	t.Parallel()
	r, m, slow, fast := slowAndFast(t, true)
	fast.set(refuse("a-40", 1))
	r.submit(m, "job", payload(5, "a-40"))
	results := r.collect(m, "job", 1)
	checkTexts(t, results, "a-40")
	if got := results[0].Versions; len(got) != 1 {
		t.Errorf("versions %v", got)
	}
	if got := starts(slow, "a-40"); !slices.Equal(got, []string{"a-40@1"}) {
		t.Errorf("the slow engine ran %v", got)
	}
}

// Guards against leaking slots when an item completes while a move is pending.
func TestMoveReleasesSlots(t *testing.T) {
	t.Parallel()
	r, m, _, fast := slowAndFast(t, false)
	fast.set(refuse("a-17", 1))
	r.submit(m, "job", payload(5, "a-17", "b-30", "c-9"))
	checkTexts(t, r.collect(m, "job", 3), "a-17", "b-30", "c-9")
	deadline := time.Now().Add(5 * time.Second)
	for len(m.Tracker.Load(time.Now()).Counts) > 0 {
		if time.Now().After(deadline) {
			t.Fatalf("slots still in use: %v", m.Tracker.Load(time.Now()).Counts)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// starts returns the runs of an item that an engine has started.
func starts(e *engine, id string) []string {
	var l []string
	for _, s := range e.started() {
		if strings.HasPrefix(s, id+"@") {
			l = append(l, s)
		}
	}
	return l
}

// Guards against parts of a step that are not recorded or do not add up to its duration.
func TestStepParts(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 5)
	e.set(func(e *engine) { e.gap = 10 * time.Millisecond })
	r := newRig(t, e)
	m, stop := r.manager("one", "1")
	defer stop()
	r.submit(m, "job", payload(5, "a-30"))
	checkTexts(t, r.collect(m, "job", 1), "a-30")
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
			t.Fatalf("%d parts with a sum of %.3f s, want 7 parts of at least 0.3 s", parts, sum)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against losing a started segment and its slot, because another move starts before the segment is accepted.
func TestMoveFinishesOnceAccepted(t *testing.T) {
	m := &move{cancel: func() {}}
	if m.hasFinished() {
		t.Error("finished while a request is in flight")
	}
	l := &segment{}
	if !m.offer(l) {
		t.Fatal("the segment is rejected")
	}
	m.finish()
	if m.hasFinished() {
		t.Error("finished before its segment is accepted")
	}
	if m.accept() != l || !m.hasFinished() {
		t.Error("not finished after its segment was accepted")
	}
	if m.drop() != nil {
		t.Error("an accepted segment is dropped")
	}
	dropped := &move{cancel: func() {}}
	dropped.offer(l)
	if dropped.drop() != l {
		t.Error("a segment that was not accepted is not returned")
	}
	if dropped.offer(l) {
		t.Error("a dropped move takes a segment")
	}
}

// Guards against a new server that sends endless bytes without an event, in the headers or the body of its response:
// the item continues at its current server, and the connection is closed in time.
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
			closed := make(chan struct{}, maxMoves)
			fast.set(func(e *engine) {
				e.hijack = func(w http.ResponseWriter, id string, _ int) bool {
					if id != "a-80" {
						return false
					}
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						panic(err) // test servers support hijacking
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
			checkTexts(t, r.collect(m, "job", 1), "a-80")
			if got := starts(slow, "a-80"); !slices.Equal(got, []string{"a-80@1"}) {
				t.Errorf("the slow engine ran %v, want one complete run", got)
			}
			// Attempts that are cancelled in time are followed by others before the item completes.
			if n := len(closed); n < 2 {
				t.Errorf("%d connections with endless bytes were closed while the item ran, want several", n)
			}
		})
	}
}

// Guards against items that move to another server of a service that their route has left.
func TestNoMoveOnceRouteHasChanged(t *testing.T) {
	t.Parallel()
	r, m, slow, fast := slowAndFast(t, false)
	slow.set(func(e *engine) { e.gap = 30 * time.Millisecond })
	fast.set(refuse("a-150", 1000))
	tries := func() int {
		fast.mu.Lock()
		defer fast.mu.Unlock()
		return fast.runs["a-150"]
	}
	r.submit(m, "job", payload(5, "a-150"))
	await(t, "a move is tried", func() bool { return tries() > 0 })
	moved := r.route
	moved.Shares = []catalog.Share{{Service: "other", Weight: 1}}
	same := r.server(0, 98) // a server of the new service, so that an interrupted item can go on
	same.ID, same.Service = "other", "other"
	m.Catalog.ApplyServer(same)
	m.Catalog.ApplyConfig(catalog.Config{Revision: 2, Routes: []catalog.Route{moved}})
	time.Sleep(moveTimeout) // a try may be in flight
	before := tries()
	checkTexts(t, r.collect(m, "job", 1), "a-150")
	if n := tries() - before; n > 0 {
		t.Errorf("%d moves to the former service were tried", n)
	}
}

// Guards against a healthy server that is avoided because an item was to move there after its last event, which leaves the
// server nothing to send.
func TestMoveAfterLastEvent(t *testing.T) {
	for name, c := range map[string]struct {
		unframed bool
		want     place.Outcome
	}{
		"framed": {false, place.Answered}, "unframed": {true, place.Abandoned},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, newEngine(t, 1))
			m, _ := r.manager("a", "a1")
			r.engines[0].set(func(e *engine) {
				e.hijack = func(w http.ResponseWriter, _ string, _ int) bool {
					if c.unframed {
						w.Header().Set("Transfer-Encoding", "identity")
					}
					return false
				}
			})
			spec, err := platform.DecodeJob("j", payload(1, "g-3"))
			if err != nil {
				t.Fatal(err)
			}
			j := newJob(m, spec, wire.JobState{Host: "h", Path: "/p/", Total: 1}, nil, time.Now())
			next := &segment{server: r.server(0, 1), after: 3, startedAt: time.Now()}
			outcome, cause := j.openSegment(t.Context(), j.items["g-3"], next, &r.route)
			if outcome != c.want || cause != causeNoEvents {
				t.Errorf("the outcome is %d (%s), want %d", outcome, cause, c.want)
			}
		})
	}
}
