package relay

import (
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
	"bulrushspoke/standin/objects"
	"bulrushspoke/wire"
)

var discardLogger = slog.New(slog.DiscardHandler)

// fakePeers implements Peers and Broadcaster. Requests are answered by the handlers registered with it.
type fakePeers struct {
	handlers   map[string]func(context.Context, link.Frame) (string, any, error)
	requests   int
	broadcasts []any
	connected  []string
}

func (p *fakePeers) Handle(kind string, f func(context.Context, link.Frame) (string, any, error)) {
	if p.handlers == nil {
		p.handlers = make(map[string]func(context.Context, link.Frame) (string, any, error))
	}
	p.handlers[kind] = f
}

func (p *fakePeers) Connected() []string { return p.connected }

func (p *fakePeers) Broadcast(_ string, body any) { p.broadcasts = append(p.broadcasts, body) }

func (p *fakePeers) Request(ctx context.Context, _, kind string, body, reply any) error {
	p.requests++
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	_, got, err := p.handlers[kind](ctx, link.Frame{Kind: kind, ID: 1, Body: raw})
	if err != nil {
		return err
	}
	if raw, err = cbor.Marshal(got); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, reply)
}

// newRelays returns a Relay that is connected to a second one. Each uses its own server of the store, so that faults can
// be injected for one of them alone.
func newRelays(t *testing.T) (*Relay, *objects.Store, *objects.Store, *fakePeers) {
	t.Helper()
	localStore, peerStore := objects.New(), objects.New()
	client := func(s *objects.Store) *platform.Store {
		server := httptest.NewServer(s)
		t.Cleanup(server.CloseClientConnections)
		pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 4})
		return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), 100*time.Millisecond, pool, discardLogger)
	}
	p := &fakePeers{connected: []string{"b"}}
	New(client(peerStore), &fakePeers{}, discardLogger).Register(p)
	return New(client(localStore), p, discardLogger), localStore, peerStore, p
}

// Guards against calls that fail while the store rejects this entry but another entry can reach it.
func TestGoesThroughPeer(t *testing.T) {
	for name, f := range map[string]objects.Fault{"refuses": {Unavailable: true}, "silent": {NoResponse: true}} {
		t.Run(name, func(t *testing.T) {
			r, localStore, peerStore, _ := newRelays(t)
			ctx := t.Context()
			localStore.SetFault(f)
			revision, err := r.Create(ctx, "k", "n", []byte(`1`))
			if err != nil {
				t.Fatal(err)
			}
			if string(peerStore.Spec("k", "n")) != `1` {
				t.Fatal("the object is not in the store")
			}
			var conflict *store.ConflictError
			if _, err := r.Create(ctx, "k", "n", []byte(`2`)); !errors.As(err, &conflict) ||
				string(conflict.Current().Value) != `1` || conflict.Current().Version != revision {
				t.Errorf("a conflict: %v", err)
			}
			if _, err := r.Update(ctx, "k", "n", []byte(`3`), revision); err != nil {
				t.Error(err)
			}
			rec, err := r.Get(ctx, "k", "n")
			if err != nil || string(rec.Spec) != `3` {
				t.Errorf("read %q, %v", rec.Spec, err)
			}
			var absent *store.NotFoundError
			if _, err := r.Get(ctx, "k", "other"); !errors.As(err, &absent) {
				t.Errorf("an absent object: %v", err)
			}
			peerStore.SetFault(objects.Fault{MaxBytes: 4})
			var large *store.TooLargeError
			if _, err := r.Create(ctx, "k", "large", []byte(`12345`)); !errors.As(err, &large) {
				t.Errorf("an object that is too large: %v", err)
			}
			peerStore.SetFault(objects.Fault{})
			list, at, err := r.List(ctx, "k")
			if err != nil || len(list) != 1 || list[0].Name != "n" {
				t.Errorf("list %v, %v", list, err)
			}
			peerStore.Put("k", "m", []byte(`4`))
			changes, _, err := r.Watch(ctx, "k", at, 20*time.Second)
			if err != nil || len(changes) != 1 || changes[0].Name != "m" {
				t.Errorf("changes %v, %v", changes, err)
			}
			peerStore.Compact()
			peerStore.Put("k", "m", []byte(`5`))
			var gone *store.ExpiredError
			if _, _, err := r.Watch(ctx, "k", at, time.Second); !errors.As(err, &gone) {
				t.Errorf("a lost history: %v", err)
			}
		})
	}
}

// Guards against calls that are relayed, at twice the cost, although the store is available again.
func TestReturnsToDirectCalls(t *testing.T) {
	r, localStore, _, p := newRelays(t)
	ctx := t.Context()
	localStore.SetFault(objects.Fault{Unavailable: true})
	_, _ = r.Get(ctx, "k", "n")
	localStore.SetFault(objects.Fault{})
	time.Sleep(probeInterval + 50*time.Millisecond)
	before := p.requests
	for range 3 {
		_, _ = r.Get(ctx, "k", "n")
	}
	if p.requests != before {
		t.Errorf("%d calls were relayed through the other entry", p.requests-before)
	}
}

// Guards against an outage in which each call waits for the store and for other entries, and against an error that does
// not tell whether a write may have taken effect.
func TestOutage(t *testing.T) {
	r, localStore, peerStore, _ := newRelays(t)
	ctx := t.Context()
	localStore.SetFault(objects.Fault{Unavailable: true})
	peerStore.SetFault(objects.Fault{Unavailable: true})
	var down *store.UnavailableError
	if _, err := r.Create(ctx, "k", "n", []byte(`1`)); !errors.As(err, &down) || down.Ambiguous() {
		t.Errorf("refused everywhere: %v", err)
	}
	calls := localStore.Calls("POST", "k") + peerStore.Calls("POST", "k")
	for range 20 {
		if _, err := r.Create(ctx, "k", "n", []byte(`1`)); !errors.As(err, &down) {
			t.Fatal(err)
		}
	}
	if n := localStore.Calls("POST", "k") + peerStore.Calls("POST", "k") - calls; n > 4 {
		t.Errorf("%d of 20 calls in an outage reached the store", n)
	}
	time.Sleep(probeInterval)
	peerStore.SetFault(objects.Fault{NoResponse: true})
	localStore.SetFault(objects.Fault{NoResponse: true})
	if _, err := r.Create(ctx, "k", "n", []byte(`1`)); !errors.As(err, &down) || !down.Ambiguous() {
		t.Errorf("silent everywhere: %v", err)
	}
}

// Guards against changes that reach only one entry, and against two entries that both watch at short intervals.
func TestSpread(t *testing.T) {
	var applied []string
	feed := func(self string, p *fakePeers) catalog.Feed {
		return ShareFeed(catalog.Feed{
			Kind:    "servers",
			Replace: func([]store.Record, int64, time.Time) {},
			Apply:   func(c store.Change, _ time.Time) { applied = append(applied, self+" "+c.Name) },
		}, self, maxDelay, p, time.Now())
	}
	first, second := &fakePeers{connected: []string{"b"}}, &fakePeers{connected: []string{"a"}}
	a, b := feed("a", first), feed("b", second)
	if a.Interval() != leaderPause || b.Interval() != followerPause {
		t.Errorf("pauses are %s and %s", a.Interval(), b.Interval())
	}
	now := time.Now()
	a.Apply(store.Change{Record: store.Record{Name: "s", Revision: 4}}, now)
	a.OnSuccess(4, now)
	b.Apply(store.Change{Record: store.Record{Name: "t", Revision: 5}}, now)
	b.OnSuccess(5, now)
	if len(first.broadcasts) != 1 || len(second.broadcasts) != 0 {
		t.Fatalf("%d and %d messages sent, want 1 and 0", len(first.broadcasts), len(second.broadcasts))
	}
	for _, kind := range []string{"servers", "other"} {
		message, _ := first.broadcasts[0].(wire.News)
		message.Kind = kind
		raw, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := second.handlers[link.News+" servers"](t.Context(), link.Frame{Body: raw}); err != nil {
			t.Fatal(err)
		}
	}
	if d := cmp.Diff([]string{"a s", "b t", "b s"}, applied); d != "" {
		t.Errorf("applied (-want +got):\n%s", d)
	}
	if a.Wait() > 2*time.Second {
		t.Errorf("a lost response to the leader's watch delays changes by %s, want at most 2s", a.Wait())
	}
	now = time.Now()
	a.Replace([]store.Record{{Name: "u", Revision: 9}}, 9, now)
	a.OnSuccess(9, now)
	if len(first.broadcasts) != 2 {
		t.Error("the objects of a list after a lost history were not sent")
	}
	second.connected = nil
	if b.Interval() != leaderPause {
		t.Error("without the first entry no entry watches at short intervals")
	}
}
