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

// memoryStore is a store in memory. With dropNextReply set, the next write takes effect but its reply is lost.
type memoryStore struct {
	objects       map[string]store.Object
	version       int64
	dropNextReply bool
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: make(map[string]store.Object)} }

func (m *memoryStore) Get(_ context.Context, kind, name string) (store.Object, error) {
	o, ok := m.objects[kind+"/"+name]
	if !ok {
		return o, &store.NotFoundError{}
	}
	return o, nil
}

func (m *memoryStore) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	return m.Update(ctx, kind, name, value, 0)
}

func (m *memoryStore) Update(_ context.Context, kind, name string, value []byte, version int64) (int64, error) {
	if o := m.objects[kind+"/"+name]; o.Version != version {
		return 0, store.NewConflictError(kind, name, o)
	}
	m.version++
	m.objects[kind+"/"+name] = store.Object{Value: value, Version: m.version}
	if m.dropNextReply {
		m.dropNextReply = false
		return 0, store.NewUnavailableError(true, "lost")
	}
	return m.version, nil
}

func (m *memoryStore) Delete(_ context.Context, kind, name string, _ int64) error {
	delete(m.objects, kind+"/"+name)
	return nil
}

func (m *memoryStore) List(_ context.Context, kind, prefix string) (wire.Listing, error) {
	var l wire.Listing
	for id, o := range m.objects {
		if name, ok := strings.CutPrefix(id, kind+"/"); ok && strings.HasPrefix(name, prefix) {
			l.Objects = append(l.Objects, wire.Entry{Name: name, Version: o.Version})
		}
	}
	return l, nil
}

func record(kind, writer string) wire.Record { return wire.Record{Kind: kind, Writer: writer} }

func openLog(t *testing.T, m *memoryStore) (context.Context, *Log) {
	ctx := context.Background()
	l := New(m, "r", 1)
	r := record(KindSpec, "a")
	r.Spec = &wire.Spec{Run: "r", Step: 1}
	if err := l.Append(ctx, r); err != nil {
		t.Fatalf("append: %v", err)
	}
	return ctx, l
}

// Guards against a record that is written twice, or attributed to another writer, when the reply to its append is lost.
func TestLostAnswer(t *testing.T) {
	m := newMemoryStore()
	ctx, l := openLog(t, m)
	m.dropNextReply = true
	if err := l.Append(ctx, record(KindCommit, "b")); err != nil {
		t.Fatalf("append with a lost answer: %v", err)
	}
	if l.NextPosition() != 2 || len(m.objects) != 2 {
		t.Fatalf("next position is %d with %d objects, want 2 and 2", l.NextPosition(), len(m.objects))
	}
}

// Guards against two writers at one position.
func TestTakenPosition(t *testing.T) {
	m := newMemoryStore()
	ctx, l := openLog(t, m)
	other := New(m, "r", 1)
	if err := other.Read(ctx, func(wire.Record) error { return nil }); err != nil {
		t.Fatalf("read: %v", err)
	}
	if err := other.Append(ctx, record(KindOwner, "b")); err != nil {
		t.Fatalf("append: %v", err)
	}
	var taken *PositionTakenError
	if err := l.Append(ctx, record(KindCommit, "c")); !errors.As(err, &taken) || taken.Record().Writer != "b" {
		t.Fatalf("late append gives %v, want the record of b", err)
	}
}

// Guards against a writer that is paused until the log is deleted and then starts it again.
func TestAppendAfterDeletion(t *testing.T) {
	m := newMemoryStore()
	ctx, l := openLog(t, m)
	other := New(m, "r", 1)
	if err := other.Read(ctx, func(wire.Record) error { return nil }); err != nil {
		t.Fatalf("read: %v", err)
	}
	if err := other.Close(ctx, record(KindEnd, "d")); err != nil {
		t.Fatalf("close: %v", err)
	}
	var ended *EndedError
	if err := l.Append(ctx, record(KindCommit, "c")); !errors.As(err, &ended) {
		t.Fatalf("append after the end gives %v, want an EndedError", err)
	}
	if len(m.objects) != 1 {
		t.Fatalf("%d objects are left, want the end marker alone", len(m.objects))
	}
	if err := New(m, "r", 1).Append(ctx, record(KindSpec, "e")); !errors.As(err, &ended) || ended.Record().Spec == nil {
		t.Fatalf("late open gives %v, want the end marker with its spec", err)
	}
}

// Guards against parts above the size limit of an object, lost groups, a lost reply that counts as an outage, and a
// group that is accepted although it can never be stored.
func TestParts(t *testing.T) {
	var groups []wire.Group
	for range 5 {
		groups = append(groups, wire.Group{Name: "g", Prompt: strings.Repeat("<", 60<<10), Samples: 1, Tokens: 1})
	}
	split, err := SplitGroups(groups)
	if err != nil || len(split) < 2 {
		t.Fatalf("%d parts, %v; want several", len(split), err)
	}
	m := newMemoryStore()
	ctx, l := openLog(t, m)
	m.dropNextReply = true
	if err := l.WriteParts(ctx, 7, split); err != nil {
		t.Fatalf("write: %v", err)
	}
	for id, o := range m.objects {
		if len(o.Value) > store.MaxValueBytes {
			t.Fatalf("%s takes %d bytes", id, len(o.Value))
		}
	}
	got, err := l.ReadParts(ctx, wire.Spec{Digest: 7, Parts: len(split)})
	if err != nil || !cmp.Equal(got, groups) {
		t.Fatalf("groups differ after a round trip: %v", err)
	}
	if _, err := SplitGroups([]wire.Group{{Prompt: strings.Repeat("x", store.MaxValueBytes)}}); err == nil {
		t.Fatal("a group of 1 MB was accepted")
	}
}
