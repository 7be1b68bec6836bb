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
// next write take effect and return an ambiguous error. errors holds the errors of the next writes, which have no effect
// yet.
type fakeStore struct {
	object      store.Object
	beforeWrite func()
	loseAnswer  bool
	afterWrite  func()
	errors      []error
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
	if len(m.errors) > 0 {
		err := m.errors[0]
		m.errors = m.errors[1:]
		return 0, err
	}
	if m.object.Version != version {
		return 0, store.NewConflictError(kind, name, m.object)
	}
	m.object = store.Object{Value: value, Version: version + 1}
	if f := m.afterWrite; f != nil {
		f()
	}
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

// Guards against a publisher that is told "not run" although an earlier write of the same call may still take effect.
func TestUnansweredPublishMayBeInForce(t *testing.T) {
	lost, down := store.NewUnavailableError(true, "lost"), store.NewUnavailableError(false, "status 503")
	busy := store.NewConflictError(kind, "plan", store.Object{})
	for name, tc := range map[string]struct {
		errors []error
		higher bool // another publisher replaces the version that was written
		code   refusal.Code
		ran    refusal.Ran
	}{
		"never sent":        {errors: []error{down}, code: refusal.StoreDown, ran: refusal.NotRun},
		"sent, then down":   {errors: []error{lost, down}, code: refusal.StoreDown, ran: refusal.Unknown},
		"sent, then busy":   {errors: []error{lost, busy, busy, busy, busy, busy, busy, busy}, code: refusal.Busy, ran: refusal.Unknown},
		"replaced":          {higher: true, code: refusal.Conflict, ran: refusal.Unknown},
		"never in the race": {errors: []error{busy, busy, busy, busy, busy, busy, busy, busy}, code: refusal.Busy, ran: refusal.NotRun},
	} {
		m := &fakeStore{errors: tc.errors}
		if tc.higher {
			m.loseAnswer = true
			m.afterWrite = func() {
				m.object = store.Object{Value: []byte(`{"model":"plan","version":9,"writer":"x"}`), Version: 2}
			}
		}
		err := newTargets(m, &announcements{}).Publish(context.Background(), "plan", 3)
		var r *refusal.Error
		if !errors.As(err, &r) || r.Code() != tc.code || r.Ran() != tc.ran {
			t.Errorf("%s: got %v, want %s with ran %s", name, err, tc.code, tc.ran)
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
