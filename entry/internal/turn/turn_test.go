package turn

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/fairness"
	"bulrushspoke/internal/link"
)

// mesh connects the Turns of a test.
type mesh struct {
	handlers []func(context.Context, link.Frame) (string, any, error)
	reports  atomic.Int64
}

// meshPeers delivers each message to the handlers of all other entries.
type meshPeers struct {
	mesh *mesh
	self int
}

func (p meshPeers) Handle(_ string, f func(context.Context, link.Frame) (string, any, error)) {
	p.mesh.handlers = append(p.mesh.handlers, f)
}

func (p meshPeers) Broadcast(kind string, body any) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		panic(err) // wire types always encode
	}
	p.mesh.reports.Add(1)
	for i, h := range p.mesh.handlers {
		if i != p.self {
			go func() { _, _, _ = h(context.Background(), link.Frame{Kind: kind, Body: raw}) }() // the tests check the effects
		}
	}
}

func (p meshPeers) Share(time.Time) float64 { return 1 }

func (p meshPeers) Connected() []string { return make([]string, len(p.mesh.handlers)-1) }

// slotCounter counts the requests at a server, which runs as many as it has slots and keeps the others waiting.
type slotCounter struct {
	inflight atomic.Int64
	running  chan struct{}
}

func (c *slotCounter) Full(_ time.Time, servers []catalog.Server, extra int) bool {
	return int(c.inflight.Load()) >= slots(servers)+extra
}

type discard struct{}

func (discard) Add(int64, ...string)           {}
func (discard) Record(string, string, float64) {}

const work = 20 * time.Millisecond

func newTurns(m *mesh, name string) (*Turns, *slotCounter) {
	c := catalog.New(slog.New(slog.DiscardHandler))
	c.ApplyServer(catalog.Server{ID: "s", Revision: 1, Service: "v", Slots: 4})
	slots := &slotCounter{running: make(chan struct{}, 4)}
	t := New(Options{
		Name: name, Catalog: c, Tracker: slots, Peers: meshPeers{mesh: m, self: len(m.handlers)}, Waits: discard{},
		Refused: discard{}, Logger: slog.New(slog.DiscardHandler),
	})
	t.Register()
	return t, slots
}

// request sends a request like the ingress and returns whether it was served.
func request(ctx context.Context, t *Turns, c *slotCounter, workspace string, within time.Duration) (bool, Verdict) {
	v := t.Admit(ctx, time.Now(), Request{Service: "v", Flow: fairness.Flow{Workspace: workspace}, Within: within})
	if !v.OK {
		return false, v
	}
	began := time.Now()
	c.inflight.Add(1)
	c.running <- struct{}{}
	time.Sleep(work)
	<-c.running
	c.inflight.Add(-1)
	t.Answered("v", "r", time.Since(began), time.Now())
	return true, v
}

// Guards against a request that is not woken when a slot frees, a waiting request that outlives its client, an overload
// that lets a large workspace displace a small one, reports that do not reach other entries, and reports that go on after
// the overload.
func TestRequestsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &mesh{}
		turns, c := newTurns(m, "a")
		other, otherSlots := newTurns(m, "b")
		_, _ = request(ctx, other, otherSlots, "small", time.Second)
		go func() { _ = turns.Run(ctx) }() // ends with ctx
		var mu sync.Mutex
		served, asked, waited := map[string]int{}, map[string]int{}, 0
		send := func(workspace string) {
			began := time.Now()
			ok, v := request(ctx, turns, c, workspace, 200*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			asked[workspace]++
			if ok {
				served[workspace]++
			} else if v.RetryAfter <= 0 {
				t.Errorf("refused without a time to come back: %+v", v)
			}
			if ok && time.Since(began) > work {
				waited++
			}
			if time.Since(began) > 250*time.Millisecond {
				t.Errorf("a request took %v", time.Since(began))
			}
		}
		for i := range 2000 {
			go send("large")
			if i%25 == 0 {
				go send("small")
			}
			time.Sleep(2 * time.Millisecond)
		}
		gone, leave := context.WithCancel(ctx)
		for range 20 {
			go func() { _, _ = request(gone, turns, c, "large", time.Second) }()
		}
		synctest.Wait()
		if turns.Waiting() == 0 || !other.known("v").queue.Scarce(time.Now()) {
			t.Errorf("%d requests wait under overload, or the other entry does not know of it", turns.Waiting())
		}
		leave()
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		t.Logf("served %v of %v, %d after a wait", served, asked, waited)
		// 4 slots of 20 ms answer 800 requests in 4 s. The large workspace is to get what the small one leaves, but for a
		// twentieth. Without waiting, a slot would stay free until the next request; at least a seventh is served after a wait.
		left := 800 - served["small"]
		if served["small"] < asked["small"] || served["large"] < left-800/20 || waited < left/7 {
			t.Errorf("served %v of %v, %d after a wait", served, asked, waited)
		}
		if turns.Waiting() > 0 {
			t.Errorf("%d requests wait without a client", turns.Waiting())
		}
		sent := m.reports.Load()
		time.Sleep(5 * time.Second)
		if n := m.reports.Load(); sent < 20 || sent > 40 || n > sent {
			t.Errorf("%d reports were sent in 4 s of overload and %d after it", sent, n-sent)
		}
	})
}

// Guards against a request that waits although its service has no server left, and against one that is let go without need
// when the catalog changes otherwise.
func TestWaitEndsWithTheLastServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns, c := newTurns(&mesh{}, "a")
		c.inflight.Add(5)
		go func() {
			time.Sleep(5 * time.Millisecond)
			turns.Catalog.ApplyServer(catalog.Server{ID: "x", Revision: 2, Service: "other", Slots: 1})
			time.Sleep(5 * time.Millisecond)
			turns.Catalog.RemoveServer("s", 3, time.Now())
		}()
		r := Request{Service: "v", Flow: fairness.Flow{Workspace: "w"}, Within: 200 * time.Millisecond}
		for _, want := range []time.Duration{10 * time.Millisecond, 0} {
			at := time.Now()
			v := turns.Admit(t.Context(), at, r)
			// The request goes on to the placement, which refuses it as one without a server.
			if d := time.Since(at); !v.OK || d != want {
				t.Errorf("%+v after %v, want %v", v, d, want)
			}
		}
		if n := turns.Waiting(); n > 0 {
			t.Errorf("%d requests wait", n)
		}
	})
}

// Guards against a shortage whose end is not logged unless a request follows.
func TestEndOfShortageIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		turns, c := newTurns(&mesh{}, "a")
		turns.Logger = slog.New(slog.NewTextHandler(&log, nil))
		c.inflight.Add(5)
		_ = turns.Admit(t.Context(), time.Now(), Request{Service: "v", Flow: fairness.Flow{Workspace: "w"}, Within: 50 * time.Millisecond})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if l := log.String(); strings.Count(l, "event=1080") != 1 || strings.Count(l, "event=1081") != 1 {
			t.Errorf("logged %q", l)
		}
	})
}

// Guards against requests of clients that wait for slots of engines, which items of jobs take as soon as they are free.
func TestRequestsDoNotWaitForItems(t *testing.T) {
	turns, c := newTurns(&mesh{}, "a")
	turns.Catalog.ApplyServer(catalog.Server{ID: "s", Revision: 2, Service: "v", Slots: 4, Versions: map[string]int{"m": 1}})
	c.inflight.Add(9)
	v := turns.Admit(t.Context(), time.Unix(1_800_000_000, 0), Request{Service: "v", Flow: fairness.Flow{Workspace: "w"}})
	if !v.OK || turns.known("v").short {
		t.Errorf("a request to a busy engine gets %+v", v)
	}
}

// Guards against a job whose items find no server and that keeps slots from jobs with more of their share.
func TestUnfitItemsArePassedOver(t *testing.T) {
	turns, _ := newTurns(&mesh{}, "a")
	now := time.Unix(1_800_000_000, 0)
	for _, job := range []string{"a fits", "b unfit", "c fits"} {
		now = now.Add(failureTTL)
		left := turns.StartItems(now, job, Offer{
			Service: "v", Flow: fairness.Flow{Workspace: job}, Waiting: 3, Start: func(time.Time) bool { return job != "b unfit" },
		})
		if want := map[string]int{"b unfit": 3}[job]; left != want {
			t.Errorf("%d items of job %s wait", left, job)
		}
	}
}
