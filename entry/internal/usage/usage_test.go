package usage

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/ratelimit"
	"bulrushspoke/wire"
)

// fakePeers delivers each message to the handlers of all other entries.
type fakePeers struct {
	mesh *mesh
	self int
}

type mesh struct {
	mu       sync.Mutex
	handlers []func(context.Context, link.Frame) (string, any, error)
}

func (p fakePeers) Handle(_ string, f func(context.Context, link.Frame) (string, any, error)) {
	p.mesh.handlers = append(p.mesh.handlers, f)
}

func (p fakePeers) Broadcast(kind string, body any) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	raw, err := cbor.Marshal(body)
	if err != nil {
		panic(err) // wire types always encode
	}
	for i, h := range p.mesh.handlers {
		if i != p.self {
			_, _, _ = h(context.Background(), link.Frame{Kind: kind, Body: raw}) // the tests check the effects of the handlers
		}
	}
}

var server = catalog.Server{ID: "s", Revision: 1, Service: "v", StartedAt: 7, Slots: 4}

func newEntry(m *mesh) (*catalog.Catalog, *Sharer) {
	c := catalog.New(slog.New(slog.DiscardHandler))
	c.ApplyServer(server)
	s := New(c, fakePeers{mesh: m, self: len(m.handlers)})
	s.Register()
	return c, s
}

func answer(limit float64) call.Answer {
	return call.Answer{ID: "r", Signature: "x", Limit: call.Limit{Stated: limit > 0, Rate: limit}}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

// Guards against an entry that learns of a limit, of its use by other entries or of its end only from its own requests, and
// against one that starts later and learns nothing.
func TestEntriesShareLimits(t *testing.T) {
	m := &mesh{}
	here, s := newEntry(m)
	there, _ := newEntry(m)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx) // ends with ctx only
	}()
	defer func() {
		cancel()
		<-done
	}()
	now := time.Now()
	here.RecordAnswer(server, answer(0.5), "r", now, now)
	eventually(t, "the other entry does not learn of the limit", func() bool { return there.Limits().Limited() == 1 })
	full := func() time.Duration {
		wait, _ := there.Limits().Delay("s", now)
		return wait
	}
	before := full()
	here.Limits().Take("s", ratelimit.Live, now)
	eventually(t, "the other entry does not count the request", func() bool { return full() > before+time.Second })
	late, _ := newEntry(m)
	s.SendSnapshot(time.Now())
	if wait, limited := late.Limits().Delay("s", now); !limited || wait < time.Second {
		t.Errorf("an entry that starts later waits %s (limited: %t)", wait, limited)
	}
	sent := time.Now()
	here.RecordAnswer(server, answer(0), "r", sent, sent.Add(time.Millisecond))
	eventually(t, "the other entries do not learn of the end", func() bool {
		return there.Limits().Limited() == 0 && late.Limits().Limited() == 0
	})
}

// Guards against reports about another incarnation of a server, or about one that is not known, that are applied.
func TestReportsOfOtherIncarnations(t *testing.T) {
	c, s := newEntry(&mesh{})
	s.apply(wire.Limits{Servers: []wire.ServerLimit{
		{Server: "s", Born: 6, Rate: 1, Fresh: true}, {Server: "unknown", Rate: 1, Fresh: true},
	}}, time.Now())
	if n := c.Limits().Limited(); n != 0 {
		t.Errorf("%d limits known, want none", n)
	}
	s.apply(wire.Limits{Servers: []wire.ServerLimit{{Server: "s", Born: 7, Rate: 1, Fresh: true}}}, time.Now())
	newer := server
	newer.Revision, newer.StartedAt = 2, 8
	if c.Limits().Limited() != 1 {
		t.Error("the limit of the present incarnation is ignored")
	}
	c.ApplyServer(newer)
	if c.Limits().Limited() != 0 {
		t.Error("the limit outlasts the incarnation")
	}
}
