package ingress

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/entry/internal/turn"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/wire"
)

// keyHeader holds the credentials of the workspace of withKeys.
var keyHeader = platformtest.SenderHeaders(platformtest.Sender{Credentials: platformtest.KeyCredentials(testKey)})

func setHeaders(h http.Header, values map[string]string) {
	for name, value := range values {
		h.Set(name, value)
	}
}

// fakeTurns gives its verdicts one after another and records what it is told. It serves one request at a time.
type fakeTurns struct {
	verdicts  []turn.Verdict
	asked     []turn.Request
	noRoom    int
	answered  int
	durations chan time.Duration // of answers; may be nil
}

func (f *fakeTurns) Admit(_ context.Context, _ time.Time, r turn.Request) turn.Verdict {
	f.asked = append(f.asked, r)
	v := f.verdicts[0]
	f.verdicts = f.verdicts[1:]
	return v
}

func (f *fakeTurns) Answered(_, _ string, d time.Duration, _ time.Time) {
	f.answered++
	if f.durations != nil {
		f.durations <- d
	}
}

func (f *fakeTurns) NoRoom(string, time.Time) { f.noRoom++ }

// Guards against requests of workspaces that go to servers out of turn, that are given up although a slot frees in time, or
// that are refused without the time to come back; and against a change for requests without a workspace.
func TestRequestsOfWorkspacesTakeTurns(t *testing.T) {
	ok, refused := turn.Verdict{OK: true}, turn.Verdict{RetryAfter: 700 * time.Millisecond, Cause: "no slot"}
	for _, c := range []struct {
		name       string
		workspace  bool
		verdicts   []turn.Verdict
		full       int // requests that the server refuses first
		status     int
		retryAfter string
		returned   []int // what Admit was asked
		sent       int   // requests that the server got
	}{
		{name: "no workspace", status: 503, full: 9, retryAfter: "0.15", sent: 1},
		{name: "room", workspace: true, verdicts: []turn.Verdict{ok}, status: 200, returned: []int{0}, sent: 1},
		{name: "refused", workspace: true, verdicts: []turn.Verdict{refused}, status: 503, retryAfter: "0.7", returned: []int{0}},
		{name: "waits", workspace: true, verdicts: []turn.Verdict{ok, ok, ok}, full: 2, status: 200, returned: []int{0, 1, 2}, sent: 3},
		{name: "no slot frees", workspace: true, verdicts: []turn.Verdict{ok, refused}, full: 9, status: 503, retryAfter: "0.7", returned: []int{0, 1}, sent: 1},
	} {
		left := c.full
		s := newServer(t, func(n net.Conn, q *http.Request, body string) bool {
			if left--; left >= 0 {
				return refuse(n, q, body)
			}
			return respondOK(n, q, body)
		})
		r := newRig(t, catalog.Route{Kind: catalog.Unsafe, Objective: 200 * time.Millisecond, Priority: 3}, s)
		f := &fakeTurns{verdicts: c.verdicts}
		r.ingress.Turns = f
		if c.workspace {
			r.withKeys(t)
		}
		r.deadline = 2 * time.Second
		resp, _, err := r.send(t, "POST", "/p/", "x", keyHeader)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != c.status || resp.Header.Get("Retry-After") != c.retryAfter || len(s.requests()) != c.sent {
			t.Errorf("%s: got %d with Retry-After %q after %d requests at the server", c.name, resp.StatusCode,
				resp.Header.Get("Retry-After"), len(s.requests()))
		}
		if len(f.asked) != len(c.returned) {
			t.Fatalf("%s: asked for %d turns", c.name, len(f.asked))
		}
		for i, a := range f.asked {
			if a.Returned != c.returned[i] || a.Flow.Workspace != "alder" || a.Flow.Level != 2 || a.Within <= 0 || a.Within > 200*time.Millisecond ||
				a.Left <= time.Second || a.Left > 2*time.Second {
				t.Errorf("%s: turn %d was asked for as %+v", c.name, i, a)
			}
		}
		// A refusal by all servers is a sign of shortage by itself, as a returned request; others are none.
		if want := min(c.full, c.sent); f.noRoom != 0 || f.answered != c.sent-want {
			t.Errorf("%s: told of %d refusals and %d answers", c.name, f.noRoom, f.answered)
		}
	}
}

// Guards against a service that counts as short of slots because one of its servers refuses requests that another one takes.
func TestRefusalThatAnotherServerMakesGoodIsNoSign(t *testing.T) {
	for _, c := range []struct {
		name     string
		other    script
		returned []int
		status   int
	}{
		{name: "another server takes it", other: respondOK, returned: []int{0}, status: 200},
		{name: "all refuse", other: refuse, returned: []int{0, 1}, status: 503},
	} {
		r := newRig(t, catalog.Route{Kind: catalog.Unsafe, Objective: 200 * time.Millisecond}, newServer(t, refuse), newServer(t, c.other))
		f := &fakeTurns{verdicts: []turn.Verdict{{OK: true}, {RetryAfter: time.Second}}}
		r.ingress.Turns = f
		r.withKeys(t)
		for range 3 { // the refusing server is tried first in some of them
			f.asked, f.verdicts = nil, []turn.Verdict{{OK: true}, {RetryAfter: time.Second}}
			resp, _, err := r.send(t, "POST", "/p/", "x", keyHeader)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != c.status || f.noRoom != 0 || len(f.asked) != len(c.returned) {
				t.Errorf("%s: status %d, told of %d refusals, asked for %d turns", c.name, resp.StatusCode, f.noRoom, len(f.asked))
				continue
			}
			for i, a := range f.asked {
				if a.Returned != c.returned[i] {
					t.Errorf("%s: turn %d was asked for as %+v", c.name, i, a)
				}
			}
		}
	}
}

// Guards against the time that a client needs to receive an answer being taken for that of the server, and against the fast
// errors of a failing server being taken for answers.
func TestOnlyTheTimeOfTheServerCounts(t *testing.T) {
	const size = 8 << 20 // more than the socket buffers hold
	for _, c := range []struct {
		name     string
		answer   script
		pause    time.Duration // of the reader
		answered int
	}{
		{name: "slow reader", answered: 1, pause: 300 * time.Millisecond, answer: func(n net.Conn, q *http.Request, _ string) bool {
			return write(n, "200 OK\r\n"+signed(q), strings.Repeat("x", size))
		}},
		{name: "error", answer: func(n net.Conn, q *http.Request, _ string) bool {
			return write(n, "500 Internal Server Error\r\n"+signed(q), "x")
		}},
	} {
		r := newRig(t, catalog.Route{Kind: catalog.Unsafe, Objective: 200 * time.Millisecond}, newServer(t, c.answer))
		f := &fakeTurns{verdicts: []turn.Verdict{{OK: true}}, durations: make(chan time.Duration, 1)}
		r.ingress.Turns = f
		r.withKeys(t)
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.URL+"/p/", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		q.Host = "h.example"
		platformtest.SetRequestHeaders(q.Header, call.Request{ID: "r1"})
		setHeaders(q.Header, keyHeader)
		resp, err := r.Client().Do(q)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(c.pause)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		_ = resp.Body.Close()
		if c.answered == 0 {
			r.Close() // waits for the handler
			if len(f.durations) > 0 {
				t.Errorf("%s: counts as an answer", c.name)
			}
			continue
		}
		select {
		case d := <-f.durations:
			if d >= c.pause {
				t.Errorf("%s: the answer took %v", c.name, d)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: does not count as an answer", c.name)
		}
	}
}

// waitingTurns never lets a request go.
type waitingTurns struct {
	fakeTurns
}

func (w *waitingTurns) Admit(ctx context.Context, _ time.Time, r turn.Request) turn.Verdict {
	w.asked = append(w.asked, r)
	timer := time.NewTimer(max(r.Within, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return turn.Verdict{RetryAfter: 2 * time.Second, Cause: "no slot"}
	case <-ctx.Done():
		return turn.Verdict{Cause: "cancelled"}
	}
}

// Guards against a request that waits for a slot during a graceful stop although it cannot be served any more, or that waits
// beyond the end of the stop, and against a client that is told to come back late although other entries would take its
// request.
func TestGracefulStopEndsWaits(t *testing.T) {
	const drain, objective = 100 * time.Millisecond, 200 * time.Millisecond
	for _, c := range []struct {
		name  string
		kind  catalog.Kind
		after time.Duration // from the request to the beginning of the stop
		asked int
		took  time.Duration
	}{
		{name: "cannot end in time", kind: catalog.Unsafe, asked: 0, took: 0},
		{name: "wait is bounded", kind: catalog.Safe, asked: 1, took: drain},
		{name: "stop begins during the wait", kind: catalog.Safe, after: 50 * time.Millisecond, asked: 1, took: 150 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := catalog.Route{
					Host: "h.example", Prefix: "/p/", Kind: c.kind, Objective: objective, Timeout: 5 * time.Second, MaxAttempts: 1,
					Shares: []catalog.Share{{Service: "v", Weight: 1}},
				}
				logger := slog.New(slog.DiscardHandler)
				cat := catalog.New(logger)
				config := configFor(t, 1, testKey)
				config.Routes = []catalog.Route{route}
				cat.ApplyConfig(config)
				w := &waitingTurns{}
				g := New(Options{
					Catalog: cat, Random: rand.New(rand.NewPCG(1, 1)), Suspects: NewSuspects(func(wire.Crash) {}), Logger: logger, Turns: w,
				})
				began := time.Now()
				if c.after == 0 {
					g.Drain(began.Add(drain), began)
				} else {
					time.AfterFunc(c.after, func() { g.Drain(time.Now().Add(drain), time.Now()) })
				}
				resp, q := httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/p/", nil)
				setHeaders(q.Header, keyHeader)
				g.ServeHTTP(resp, q)
				if d := time.Since(began); d != c.took || len(w.asked) != c.asked {
					t.Errorf("answered after %v, asked for %d turns", d, len(w.asked))
				}
				if resp.Code != http.StatusServiceUnavailable || resp.Header().Get("Retry-After") != "0.05" {
					t.Errorf("got %d with Retry-After %q", resp.Code, resp.Header().Get("Retry-After"))
				}
			})
		})
	}
}
