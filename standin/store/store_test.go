package store_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	client "bulrushspoke/internal/store"
	"bulrushspoke/standin/report"
	"bulrushspoke/standin/store"
	"bulrushspoke/wire"
)

const timeout = 10 * time.Second

func start(t *testing.T, timeout time.Duration) (*store.Store, *client.Client) {
	t.Helper()
	s := store.New()
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return s, client.New(h.URL, timeout, slog.New(slog.DiscardHandler))
}

// Guards against a conditional write that is applied although the object has changed since the version that it names.
func TestConditionalWrites(t *testing.T) {
	ctx := context.Background()
	_, c := start(t, timeout)
	first, err := c.Create(ctx, "claim", "ledger.a/b c", []byte("one"))
	if err != nil {
		t.Fatalf("create: %v", err)
	}
	var conflict *client.ConflictError
	if _, err := c.Create(ctx, "claim", "ledger.a/b c", []byte("two")); !errors.As(err, &conflict) {
		t.Fatalf("second create: %v, want a conflict", err)
	}
	if w := conflict.Current(); w.Version != first || string(w.Value) != "one" {
		t.Fatalf("conflict shows %d %q, want %d \"one\"", w.Version, w.Value, first)
	}
	other, err := c.Create(ctx, "weights", "plan", []byte("x"))
	if err != nil || other <= first {
		t.Fatalf("version of another kind is %d (%v), want above %d", other, err, first)
	}
	second, err := c.Update(ctx, "claim", "ledger.a/b c", []byte("three"), first)
	if err != nil || second <= other {
		t.Fatalf("update: version %d (%v), want above %d", second, err, other)
	}
	if _, err := c.Update(ctx, "claim", "ledger.a/b c", []byte("four"), first); !errors.As(err, &conflict) {
		t.Fatalf("update at an old version: %v, want a conflict", err)
	}
	if err := c.Delete(ctx, "claim", "ledger.a/b c", first); !errors.As(err, &conflict) {
		t.Fatalf("delete at an old version: %v, want a conflict", err)
	}
	if err := c.Delete(ctx, "claim", "ledger.a/b c", second); err != nil {
		t.Fatalf("delete: %v", err)
	}
	if _, err := c.Update(ctx, "claim", "ledger.a/b c", nil, second); !errors.As(err, &conflict) ||
		conflict.Current().Version != 0 {
		t.Fatalf("update of an absent object: %v, want a conflict with version 0", err)
	}
}

// Guards against a lost response that is reported as a definite failure, and against a write that is not applied
// because its response is lost.
func TestLostAnswer(t *testing.T) {
	ctx := context.Background()
	s, c := start(t, timeout)
	n, kind := 1, "step"
	s.Control(report.StoreControl{Lose: &n, LoseKind: &kind})
	if _, err := c.Create(ctx, "claim", "k", []byte("v")); err != nil {
		t.Fatalf("write of another kind: %v", err)
	}
	var down *client.UnavailableError
	if _, err := c.Create(ctx, "step", "r.1.0", []byte("v")); !errors.As(err, &down) || !down.Ambiguous() {
		t.Fatalf("lost answer: %v, want an ambiguous error", err)
	}
	if o, err := c.Get(ctx, "step", "r.1.0"); err != nil || string(o.Value) != "v" {
		t.Fatalf("read back %q, %v", o.Value, err)
	}
	if _, err := c.Create(ctx, "step", "r.1.1", []byte("v")); err != nil {
		t.Fatalf("write after the lost one: %v", err)
	}
}

// Guards against a watch that misses a change or a deletion, and against one call that is counted several times.
func TestWatch(t *testing.T) {
	ctx := context.Background()
	s, c := start(t, timeout)
	v, err := c.Create(ctx, "config", "current", []byte("a"))
	if err != nil {
		t.Fatalf("create: %v", err)
	}
	type result struct {
		l   wire.Listing
		err error
	}
	got := make(chan result, 1)
	go func() {
		l, err := c.Watch(ctx, "config", "cur", v, time.Minute)
		got <- result{l, err}
	}()
	for s.Counts().Calls["watch"] == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := c.Create(ctx, "config", "other", []byte("x")); err != nil {
		t.Fatalf("create: %v", err)
	}
	w, err := c.Update(ctx, "config", "current", []byte("b"), v)
	if err != nil {
		t.Fatalf("update: %v", err)
	}
	r := <-got
	if r.err != nil || len(r.l.Objects) != 1 || string(r.l.Objects[0].Value) != "b" || r.l.Objects[0].Version != w {
		t.Fatalf("watch answered %+v, %v", r.l, r.err)
	}
	if err := c.Delete(ctx, "config", "current", w); err != nil {
		t.Fatalf("delete: %v", err)
	}
	l, err := c.Watch(ctx, "config", "cur", r.l.Version, time.Minute)
	if err != nil || len(l.Objects) != 1 || !l.Objects[0].Gone || l.Version <= w {
		t.Fatalf("watch of a deletion answered %+v, %v", l, err)
	}
	if l, err = c.Watch(ctx, "config", "", l.Version, 0); err != nil || len(l.Objects) != 0 {
		t.Fatalf("watch without a change answered %+v, %v", l, err)
	}
	if n := s.Counts().Calls["watch"]; n != 3 {
		t.Fatalf("%d watches counted, want 3", n)
	}
}

// Guards against a write that is applied in an outage, and against a hanging call that gets a response.
func TestOutage(t *testing.T) {
	ctx := context.Background()
	s, c := start(t, 200*time.Millisecond)
	for _, mode := range []string{store.OutageRefuse, store.OutageHang} {
		s.Control(report.StoreControl{Outage: &mode})
		var down *client.UnavailableError
		if _, err := c.Create(ctx, "claim", mode, []byte("v")); !errors.As(err, &down) {
			t.Fatalf("write in outage %s: %v", mode, err)
		}
		if down.Ambiguous() != (mode == store.OutageHang) {
			t.Fatalf("outage %s is ambiguous: %t", mode, down.Ambiguous())
		}
	}
	none := ""
	s.Control(report.StoreControl{Outage: &none})
	l, err := c.List(ctx, "claim", "")
	if err != nil || len(l.Objects) != 0 {
		t.Fatalf("after the outage: %+v, %v", l, err)
	}
}
