package relay

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// member is one of several entries; what they tell reaches the others unless the message is lost.
type member struct {
	handlers map[string]func(context.Context, link.Frame) (string, any, error)
	others   []string
	to       []*member
	lost     bool // what this entry tells does not arrive
}

func (m *member) Handle(kind string, f func(context.Context, link.Frame) (string, any, error)) {
	m.handlers = map[string]func(context.Context, link.Frame) (string, any, error){kind: f}
}

func (m *member) Linked() []string { return m.others }

func (m *member) Ask(context.Context, string, string, any, any) error { return nil }

func (m *member) Tell(kind string, body any) {
	raw, err := cbor.Marshal(body)
	if err != nil || m.lost {
		return
	}
	for _, other := range m.to {
		if _, _, err := other.handlers[kind](context.Background(), link.Frame{Kind: kind, Body: raw}); err != nil {
			panic(err) // the handler decodes what was just encoded
		}
	}
}

// renewed reports whether a feed's watch is to be made again.
func renewed(f catalog.Feed) bool {
	select {
	case <-f.Renew:
		return true
	default:
		return false
	}
}

func feedOf(self string, m *member, now time.Time) catalog.Feed {
	return Spread(catalog.Feed{
		Kind:    "config",
		Replace: func([]store.Record, int64, time.Time) {},
		Apply:   func(store.Change, time.Time) {},
	}, self, m, now)
}

// Guards against an entry that misses a change for as long as its own watch hangs: the reader told of it while their link
// was broken, and the store's answer to the watch is lost.
func TestMissedNews(t *testing.T) {
	now := time.Now()
	second := &member{others: []string{"a"}}
	first := &member{others: []string{"b"}, to: []*member{second}}
	a, b := feedOf("a", first, now), feedOf("b", second, now)
	change := func(revision int64) {
		a.Apply(store.Change{Record: store.Record{Name: "main", Revision: revision}}, now)
	}

	change(4)
	a.Heard(5, now)
	if renewed(b) {
		t.Error("an entry that has heard of the change watches again")
	}
	first.lost = true
	change(7)
	a.Heard(7, now)
	first.lost = false
	a.Heard(8, now)
	if !renewed(b) {
		t.Fatal("an entry that has missed a change is not told so")
	}
	if b.Wait() > waitReader {
		t.Errorf("the new watch may hang for %s", b.Wait())
	}
	a.Heard(8, now)
	if renewed(b) {
		t.Error("the watch is made again before it had an answer")
	}
	b.Heard(9, now)
	if b.Wait() != waitOthers {
		t.Errorf("after the answer a watch takes %s", b.Wait())
	}
	a.Heard(9, now)
	if renewed(b) {
		t.Error("an entry that is up to date watches again")
	}
}

// Guards against entries that wait for a reader who does not reach them: it is linked to another that reads for nobody.
func TestUnheardReader(t *testing.T) {
	long := time.Now().Add(-silentReader)
	m := &member{others: []string{"a"}}
	f := feedOf("b", m, long)
	if f.Wait() != waitReader || f.Settle() != settleReader {
		t.Errorf("without a reader a watch takes %s, and the pause %s", f.Wait(), f.Settle())
	}
	raw, err := cbor.Marshal(wire.News{Kind: "config", Records: []wire.StoreRecord{}})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := m.handlers[link.News+" config"](t.Context(), link.Frame{Body: raw}); err != nil {
		t.Fatal(err)
	}
	if f.Wait() != waitOthers {
		t.Errorf("with a reader a watch takes %s", f.Wait())
	}
}
