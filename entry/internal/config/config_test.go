package config

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// fakeStore is a store with one object. The responses to its next writes are lost as lostAnswers says: a kept write
// takes effect, a dropped one does not.
type fakeStore struct {
	mu          sync.Mutex
	object      store.Object
	writes      int
	down        bool
	lostAnswers []string
	afterLost   func(s *fakeStore) // runs once, after a lost write
	watches     chan wire.Entry
}

const (
	kept    = "kept"
	dropped = "dropped"
)

func (s *fakeStore) Get(context.Context, string, string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Object{}, store.NewUnavailableError(false, "down")
	}
	if s.object.Version == 0 {
		return store.Object{}, &store.NotFoundError{}
	}
	return s.object, nil
}

func (s *fakeStore) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	return s.Update(ctx, kind, name, value, 0)
}

func (s *fakeStore) Update(_ context.Context, kind, name string, value []byte, version int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fate := ""
	if len(s.lostAnswers) > 0 {
		fate, s.lostAnswers = s.lostAnswers[0], s.lostAnswers[1:]
	}
	if fate != dropped {
		if s.object.Version != version {
			return 0, store.NewConflictError(kind, name, s.object)
		}
		s.put(value)
	}
	if fate == "" {
		return s.object.Version, nil
	}
	if s.afterLost != nil {
		s.afterLost(s)
		s.afterLost = nil
	}
	return 0, store.NewUnavailableError(true, "answer lost")
}

func (s *fakeStore) put(value []byte) {
	s.object = store.Object{Value: value, Version: s.object.Version + 1}
	s.writes++
}

func (s *fakeStore) Watch(ctx context.Context, _, _ string, _ int64, _ time.Duration) (wire.Listing, error) {
	select {
	case e := <-s.watches:
		return wire.Listing{Objects: []wire.Entry{e}}, nil
	case <-ctx.Done():
		return wire.Listing{}, ctx.Err()
	}
}

func document(change, profile string) wire.Document {
	return wire.Document{Change: change, Profiles: []wire.Profile{{Name: profile, Class: "live"}}}
}

func text(d wire.Document) []byte {
	for i := range d.Profiles {
		d.Profiles[i].Deadline, d.Profiles[i].Tokens, d.Profiles[i].Concurrency = "1s", 1, 1
	}
	b, _ := json.Marshal(d)
	return b
}

func newHolder(s *fakeStore) *Holder {
	return New(s, rand.New(rand.NewPCG(1, 2)), slog.New(slog.DiscardHandler))
}

// Guards against concurrent changes that are merged or silently overwritten, and against a change that is written
// twice.
func TestApplyRace(t *testing.T) {
	s := &fakeStore{}
	h := newHolder(s)
	rev, err := h.Apply(t.Context(), document("first", "a"), 0)
	if err != nil || rev != 1 {
		t.Fatalf("first change: revision %d, %v", rev, err)
	}
	_, err = h.Apply(t.Context(), document("second", "b"), 0)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Possible() {
		t.Fatalf("second change on an old revision: %v", err)
	}
	if winner, rev := conflict.Winner(); winner.Change != "first" || rev != 1 {
		t.Fatalf("winner %+v at revision %d", winner, rev)
	}
	if rev, err := h.Apply(t.Context(), document("first", "a"), 0); err != nil || rev != 1 || s.writes != 1 {
		t.Fatalf("the repeated change: revision %d, %d writes, %v", rev, s.writes, err)
	}
	if _, ok := h.Profile("b"); ok {
		t.Fatal("the lost change is in force")
	}
}

// Guards against a change whose outcome is reported wrongly, or that is written twice, because the store's response was
// lost.
func TestApplyLostAnswer(t *testing.T) {
	other := text(document("other", "b"))
	cases := []struct {
		name        string
		lostAnswers []string
		afterLost   func(*fakeStore)
		writes      int
		rev         int64
		winner      string
	}{
		{name: "took effect", lostAnswers: []string{kept}, writes: 1, rev: 1},
		{name: "did not take effect", lostAnswers: []string{dropped, dropped}, writes: 1, rev: 1},
		{name: "lost twice", lostAnswers: []string{dropped, kept}, writes: 1, rev: 1},
		{name: "overwritten", lostAnswers: []string{kept}, afterLost: func(s *fakeStore) { s.put(other) }, writes: 2, winner: "other"},
		{name: "lost the race", lostAnswers: []string{dropped}, afterLost: func(s *fakeStore) { s.put(other) }, writes: 1, winner: "other"},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{lostAnswers: c.lostAnswers, afterLost: c.afterLost}
			rev, err := newHolder(s).Apply(t.Context(), document("mine", "a"), 0)
			var conflict *ConflictError
			if errors.As(err, &conflict) != (c.winner != "") || err != nil && conflict == nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			if conflict != nil && (conflict.winner.Change != c.winner || !conflict.Possible()) {
				t.Fatalf("%s: conflict %+v", c.name, conflict)
			}
			if rev != c.rev || s.writes != c.writes {
				t.Fatalf("%s: revision %d, %d writes", c.name, rev, s.writes)
			}
		})
	}
}

// Guards against a change that is reported as refused although it may be in force.
func TestApplyUnresolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{lostAnswers: []string{kept}, afterLost: func(s *fakeStore) { s.down = true }}
		_, err := newHolder(s).Apply(t.Context(), document("mine", "a"), 0)
		var down *store.UnavailableError
		if !errors.As(err, &down) || !down.Ambiguous() {
			t.Fatalf("a change that cannot be read back: %v", err)
		}
	})
}

// Guards against a configuration that is replaced by an older watch event, invalid content or a deletion.
func TestHigherRevisionsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{watches: make(chan wire.Entry)}
		h := newHolder(s)
		var seen []int64
		h.OnChange(func(rev int64) { seen = append(seen, rev) })
		go func() { _ = h.Serve(t.Context()) }()
		for _, e := range []wire.Entry{
			{Name: Name, Version: 7, Value: text(document("seven", "a"))},
			{Name: Name, Version: 5, Value: text(document("five", "b"))},
			{Name: Name, Version: 8, Value: []byte(`{"profiles": 1}`)},
			{Name: Name, Version: 9, Gone: true},
		} {
			s.watches <- e
		}
		synctest.Wait()
		doc, rev := h.Document()
		if rev != 7 || doc.Change != "seven" || len(seen) != 1 {
			t.Fatalf("revision %d, change %s, changes %v", rev, doc.Change, seen)
		}
	})
}

type fakePeers struct{ held wire.Config }

func (p *fakePeers) Fetch(_ context.Context, rev int64) (wire.Config, bool) {
	return p.held, p.held.Rev >= rev
}

// Guards against an entry that starts during a store outage and does not fetch the configuration that its peers hold,
// or delays work that waits for a revision that a peer has.
func TestPeersInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{down: true, watches: make(chan wire.Entry)}
		h := newHolder(s)
		p := &fakePeers{held: wire.Config{Rev: 3, Value: text(document("three", "a"))}}
		h.SetPeers(p)
		go func() { _ = h.Serve(t.Context()) }()
		time.Sleep(time.Second)
		synctest.Wait()
		if h.Revision() != 3 {
			t.Fatalf("revision %d, the peer holds 3", h.Revision())
		}
		p.held = wire.Config{Rev: 4, Value: text(document("four", "a"))}
		h.NoteRevision(4)
		h.EnsureRevision(t.Context(), 4)
		if h.Revision() != 4 {
			t.Fatalf("revision %d after a notice of 4", h.Revision())
		}
	})
}
