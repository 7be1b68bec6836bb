package steplog

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// memory is a store in memory; lose makes the next create take effect without an answer.
type memory struct {
	objects map[string]store.Object
	version int64
	lose    bool
}

func newMemory() *memory { return &memory{objects: make(map[string]store.Object)} }

func (m *memory) Get(_ context.Context, kind, name string) (store.Object, error) {
	o, ok := m.objects[kind+"/"+name]
	if !ok {
		return o, &store.AbsentError{}
	}
	return o, nil
}

func (m *memory) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	return m.Update(ctx, kind, name, value, 0)
}

func (m *memory) Update(_ context.Context, kind, name string, value []byte, version int64) (int64, error) {
	if o := m.objects[kind+"/"+name]; o.Version != version {
		return 0, store.NewConflictError(kind, name, o)
	}
	m.version++
	m.objects[kind+"/"+name] = store.Object{Value: value, Version: m.version}
	if m.lose {
		m.lose = false
		return 0, store.NewDownError(true, "lost")
	}
	return m.version, nil
}

func (m *memory) Delete(_ context.Context, kind, name string, _ int64) error {
	delete(m.objects, kind+"/"+name)
	return nil
}

func (m *memory) List(_ context.Context, kind, prefix string) (wire.Listing, error) {
	var l wire.Listing
	for id, o := range m.objects {
		if name, ok := strings.CutPrefix(id, kind+"/"); ok && strings.HasPrefix(name, prefix) {
			l.Objects = append(l.Objects, wire.Entry{Name: name, Version: o.Version})
		}
	}
	return l, nil
}

func record(kind, writer string) wire.Record { return wire.Record{Kind: kind, Writer: writer} }

func begin(t *testing.T, m *memory) (context.Context, *Log) {
	ctx := context.Background()
	l := New(m, "r", 1)
	r := record(Spec, "a")
	r.Spec = &wire.Spec{Run: "r", Step: 1}
	if err := l.Append(ctx, r); err != nil {
		t.Fatalf("append: %v", err)
	}
	return ctx, l
}

// Guards against a record that is written twice, or taken for another's, when the answer to its append is lost.
func TestLostAnswer(t *testing.T) {
	m := newMemory()
	ctx, l := begin(t, m)
	m.lose = true
	if err := l.Append(ctx, record(Give, "b")); err != nil {
		t.Fatalf("append with a lost answer: %v", err)
	}
	if l.Next() != 2 || len(m.objects) != 2 {
		t.Fatalf("next position is %d with %d objects, want 2 and 2", l.Next(), len(m.objects))
	}
}

// Guards against two writers at one position.
func TestTakenPosition(t *testing.T) {
	m := newMemory()
	ctx, l := begin(t, m)
	other := New(m, "r", 1)
	if err := other.Read(ctx, func(wire.Record) error { return nil }); err != nil {
		t.Fatalf("read: %v", err)
	}
	if err := other.Append(ctx, record(Owner, "b")); err != nil {
		t.Fatalf("append: %v", err)
	}
	var taken *TakenError
	if err := l.Append(ctx, record(Give, "c")); !errors.As(err, &taken) || taken.Record().Writer != "b" {
		t.Fatalf("late append gives %v, want the record of b", err)
	}
}

// Guards against a writer that sleeps until the log is deleted and then begins it anew.
func TestAppendAfterDeletion(t *testing.T) {
	m := newMemory()
	ctx, l := begin(t, m)
	other := New(m, "r", 1)
	if err := other.Read(ctx, func(wire.Record) error { return nil }); err != nil {
		t.Fatalf("read: %v", err)
	}
	if err := other.Close(ctx, record(End, "d")); err != nil {
		t.Fatalf("close: %v", err)
	}
	var over *EndedError
	if err := l.Append(ctx, record(Give, "c")); !errors.As(err, &over) {
		t.Fatalf("append after the end gives %v, want an EndedError", err)
	}
	if len(m.objects) != 1 {
		t.Fatalf("%d objects are left, want the end marker alone", len(m.objects))
	}
	if err := New(m, "r", 1).Append(ctx, record(Spec, "e")); !errors.As(err, &over) || over.Record().Spec == nil {
		t.Fatalf("late open gives %v, want the end marker with its spec", err)
	}
}

// Guards against parts over the size of an object, lost groups, a lost answer that counts as an outage, and a group that
// can never be stored.
func TestParts(t *testing.T) {
	var groups []wire.Group
	for range 5 {
		groups = append(groups, wire.Group{Name: "g", Prompt: strings.Repeat("<", 60<<10), Samples: 1, Tokens: 1})
	}
	split, err := Split(groups)
	if err != nil || len(split) < 2 {
		t.Fatalf("%d parts, %v; want several", len(split), err)
	}
	m := newMemory()
	ctx, l := begin(t, m)
	m.lose = true
	if err := l.WriteParts(ctx, 7, split); err != nil {
		t.Fatalf("write: %v", err)
	}
	for id, o := range m.objects {
		if len(o.Value) > store.MaxValue {
			t.Fatalf("%s takes %d bytes", id, len(o.Value))
		}
	}
	got, err := l.ReadParts(ctx, wire.Spec{Digest: 7, Parts: len(split)})
	if err != nil || !cmp.Equal(got, groups) {
		t.Fatalf("groups differ after a round trip: %v", err)
	}
	if _, err := Split([]wire.Group{{Prompt: strings.Repeat("x", store.MaxValue)}}); err == nil {
		t.Fatal("a group of 1 MB was accepted")
	}
}
