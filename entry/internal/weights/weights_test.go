package weights

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// fakeStore is an in-memory store of one object. beforeWrite runs once, before the next write; loseAnswer makes the
// next write take effect and return an ambiguous error.
type fakeStore struct {
	object      store.Object
	beforeWrite func()
	loseAnswer  bool
}

func (m *fakeStore) Get(context.Context, string, string) (store.Object, error) {
	if m.object.Version == 0 {
		return store.Object{}, &store.NotFoundError{}
	}
	return m.object, nil
}

func (m *fakeStore) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	return m.Update(ctx, kind, name, value, 0)
}

func (m *fakeStore) Update(_ context.Context, kind, name string, value []byte, version int64) (int64, error) {
	if f := m.beforeWrite; f != nil {
		m.beforeWrite = nil
		f()
	}
	if m.object.Version != version {
		return 0, store.NewConflictError(kind, name, m.object)
	}
	m.object = store.Object{Value: value, Version: version + 1}
	if m.loseAnswer {
		m.loseAnswer = false
		return 0, store.NewUnavailableError(true, "lost")
	}
	return m.object.Version, nil
}

func (m *fakeStore) List(context.Context, string, string) (wire.Listing, error) {
	return wire.Listing{}, nil
}

func (m *fakeStore) Watch(context.Context, string, string, int64, time.Duration) (wire.Listing, error) {
	return wire.Listing{}, nil
}

type announcements []wire.Target

func (a *announcements) Announce(n wire.Notice) { *a = append(*a, n.Targets...) }

func newTargets(s Store, daemons *announcements) *Targets {
	ids := 0
	return New(s, daemons, &announcements{}, func() string { ids++; return string(rune('a' + ids)) },
		rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
}

func code(err error) refusal.Code {
	var r *refusal.Error
	if !errors.As(err, &r) {
		return ""
	}
	return r.Code()
}

// Guards against a target whose weight version decreases, against targets without an increasing fencing token, and
// against a target that is announced to daemons twice.
func TestPublish(t *testing.T) {
	m, announced := &fakeStore{}, &announcements{}
	a, b := newTargets(m, announced), newTargets(m, &announcements{})
	ctx := context.Background()
	if err := a.Publish(ctx, "plan", 3); err != nil {
		t.Fatalf("publish: %v", err)
	}
	if err := b.Publish(ctx, "plan", 2); code(err) != refusal.Conflict || b.Version("plan") != 3 {
		t.Fatalf("a lower version gives %v and version %d", err, b.Version("plan"))
	}
	m.loseAnswer = true
	if err := a.Publish(ctx, "plan", 4); err != nil {
		t.Fatalf("publish with a lost answer: %v", err)
	}
	if err := a.Publish(ctx, "plan", 4); err != nil {
		t.Fatalf("repeated publish: %v", err)
	}
	m.beforeWrite = func() {
		if err := b.Publish(ctx, "plan", 6); err != nil {
			t.Fatalf("publish: %v", err)
		}
	}
	if err := a.Publish(ctx, "plan", 5); code(err) != refusal.Conflict {
		t.Fatalf("a race with a higher version gives %v, want a conflict", err)
	}
	want := announcements{
		{Model: "plan", Version: 3, Fence: 1}, {Model: "plan", Version: 4, Fence: 2}, {Model: "plan", Version: 6, Fence: 3},
	}
	if len(*announced) != len(want) {
		t.Fatalf("daemons were told %v, want %v", *announced, want)
	}
	for i := range want {
		if (*announced)[i] != want[i] {
			t.Fatalf("daemons were told %v, want %v", *announced, want)
		}
	}
}

// Guards against a late notice that restores an older target.
func TestLateNotice(t *testing.T) {
	announced := &announcements{}
	g := newTargets(&fakeStore{}, announced)
	g.Apply([]wire.Target{{Model: "plan", Version: 5, Fence: 9}})
	g.Apply([]wire.Target{{Model: "plan", Version: 4, Fence: 8}, {Model: "plan", Version: 5, Fence: 9}})
	if g.Version("plan") != 5 || len(*announced) != 1 {
		t.Fatalf("version is %d after %d announcements, want 5 after 1", g.Version("plan"), len(*announced))
	}
}
