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

var quiet = slog.New(slog.DiscardHandler)

// pair links two entries; each implements Peers for the other.
type pair struct {
	handlers map[string]func(context.Context, link.Frame) (string, any, error)
	asked    int
	told     []any
	names    []string
}

func (p *pair) Handle(kind string, f func(context.Context, link.Frame) (string, any, error)) {
	if p.handlers == nil {
		p.handlers = make(map[string]func(context.Context, link.Frame) (string, any, error))
	}
	p.handlers[kind] = f
}

func (p *pair) Linked() []string { return p.names }

func (p *pair) Tell(_ string, body any) { p.told = append(p.told, body) }

func (p *pair) Ask(ctx context.Context, _, kind string, body, answer any) error {
	p.asked++
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
	return cbor.Unmarshal(raw, answer)
}

// rig is a store that two entries reach by servers of their own, so that one can be turned away alone.
func rig(t *testing.T) (*Relay, *objects.Store, *objects.Store, *pair) {
	t.Helper()
	mine, theirs := objects.New(), objects.New()
	client := func(s *objects.Store) *platform.Store {
		server := httptest.NewServer(s)
		t.Cleanup(server.CloseClientConnections)
		pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 4})
		return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), 100*time.Millisecond, pool, quiet)
	}
	p := &pair{names: []string{"b"}}
	New(client(theirs), &pair{}, quiet).Register(p)
	return New(client(mine), p, quiet), mine, theirs, p
}

// Guards against an entry that can do nothing while the store turns it away although another entry reaches the store.
func TestGoesThroughPeer(t *testing.T) {
	for name, f := range map[string]objects.Fault{"refuses": {Refuse: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			r, mine, theirs, _ := rig(t)
			ctx := t.Context()
			mine.Fault(f)
			revision, err := r.Create(ctx, "k", "n", []byte(`1`))
			if err != nil {
				t.Fatal(err)
			}
			if string(theirs.Spec("k", "n")) != `1` {
				t.Fatal("the object does not stand in the store")
			}
			var conflict *store.ConflictError
			if _, err := r.Create(ctx, "k", "n", []byte(`2`)); !errors.As(err, &conflict) ||
				string(conflict.Winner().Value) != `1` || conflict.Winner().Version != revision {
				t.Errorf("a conflict: %v", err)
			}
			if _, err := r.Update(ctx, "k", "n", []byte(`3`), revision); err != nil {
				t.Error(err)
			}
			rec, err := r.Get(ctx, "k", "n")
			if err != nil || string(rec.Spec) != `3` {
				t.Errorf("read %q, %v", rec.Spec, err)
			}
			var absent *store.AbsentError
			if _, err := r.Get(ctx, "k", "other"); !errors.As(err, &absent) {
				t.Errorf("an absent object: %v", err)
			}
			list, at, err := r.List(ctx, "k")
			if err != nil || len(list) != 1 || list[0].Name != "n" {
				t.Errorf("list %v, %v", list, err)
			}
			theirs.Put("k", "m", []byte(`4`))
			changes, _, err := r.Watch(ctx, "k", at, 20*time.Second)
			if err != nil || len(changes) != 1 || changes[0].Name != "m" {
				t.Errorf("changes %v, %v", changes, err)
			}
			theirs.Compact()
			theirs.Put("k", "m", []byte(`5`))
			var gone *store.GoneError
			if _, _, err := r.Watch(ctx, "k", at, time.Second); !errors.As(err, &gone) {
				t.Errorf("a lost history: %v", err)
			}
		})
	}
}

// Guards against calls through another entry, each of which costs two, while the store can be reached.
func TestGoesDirectlyAgain(t *testing.T) {
	r, mine, _, p := rig(t)
	ctx := t.Context()
	mine.Fault(objects.Fault{Refuse: true})
	_, _ = r.Get(ctx, "k", "n")
	mine.Fault(objects.Fault{})
	time.Sleep(probeEvery + 50*time.Millisecond)
	asked := p.asked
	for range 3 {
		_, _ = r.Get(ctx, "k", "n")
	}
	if p.asked != asked {
		t.Errorf("%d calls went through the other entry", p.asked-asked)
	}
}

// Guards against an outage in which each call waits for the store and for the others, and against an answer that does not
// tell whether a write may have taken effect.
func TestOutage(t *testing.T) {
	r, mine, theirs, _ := rig(t)
	ctx := t.Context()
	mine.Fault(objects.Fault{Refuse: true})
	theirs.Fault(objects.Fault{Refuse: true})
	var down *store.DownError
	if _, err := r.Create(ctx, "k", "n", []byte(`1`)); !errors.As(err, &down) || down.Ambiguous() {
		t.Errorf("refused everywhere: %v", err)
	}
	calls := mine.Calls("POST", "k") + theirs.Calls("POST", "k")
	for range 20 {
		if _, err := r.Create(ctx, "k", "n", []byte(`1`)); !errors.As(err, &down) {
			t.Fatal(err)
		}
	}
	if n := mine.Calls("POST", "k") + theirs.Calls("POST", "k") - calls; n > 4 {
		t.Errorf("%d of 20 calls in an outage reached the store", n)
	}
	time.Sleep(probeEvery)
	theirs.Fault(objects.Fault{Silent: true})
	mine.Fault(objects.Fault{Silent: true})
	if _, err := r.Create(ctx, "k", "n", []byte(`1`)); !errors.As(err, &down) || !down.Ambiguous() {
		t.Errorf("silent everywhere: %v", err)
	}
}

// Guards against changes that reach one entry only, and against two entries that both read at short intervals.
func TestSpread(t *testing.T) {
	var applied []string
	feed := func(self string, p *pair) catalog.Feed {
		return Spread(catalog.Feed{
			Kind:    "servers",
			Replace: func([]store.Record, int64, time.Time) {},
			Apply:   func(c store.Change, _ time.Time) { applied = append(applied, self+" "+c.Name) },
		}, self, bound, p, time.Now())
	}
	first, second := &pair{names: []string{"b"}}, &pair{names: []string{"a"}}
	a, b := feed("a", first), feed("b", second)
	if a.Settle() != settleReader || b.Settle() != settleOthers {
		t.Errorf("pauses are %s and %s", a.Settle(), b.Settle())
	}
	now := time.Now()
	a.Apply(store.Change{Record: store.Record{Name: "s", Revision: 4}}, now)
	a.Heard(4, now)
	b.Apply(store.Change{Record: store.Record{Name: "t", Revision: 5}}, now)
	b.Heard(5, now)
	if len(first.told) != 1 || len(second.told) != 0 {
		t.Fatalf("told %d and %d times, want 1 and 0", len(first.told), len(second.told))
	}
	for _, kind := range []string{"servers", "other"} {
		news, _ := first.told[0].(wire.News)
		news.Kind = kind
		raw, err := cbor.Marshal(news)
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
		t.Errorf("a lost answer to the reader's watch holds changes back for %s, 2s are allowed", a.Wait())
	}
	now = time.Now()
	a.Replace([]store.Record{{Name: "u", Revision: 9}}, 9, now)
	a.Heard(9, now)
	if len(first.told) != 2 {
		t.Error("what a list brought after a lost history is not told")
	}
	second.names = nil
	if b.Settle() != settleReader {
		t.Error("without the first entry nobody reads at short intervals")
	}
}
