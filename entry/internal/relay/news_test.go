package relay

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
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

// bound is the time in which news must be everywhere.
const bound = 2500 * time.Millisecond

func feedOf(self string, m *member, now time.Time) catalog.Feed {
	return Spread(catalog.Feed{
		Kind:    "config",
		Replace: func([]store.Record, int64, time.Time) {},
		Apply:   func(store.Change, time.Time) {},
	}, self, bound, m, now)
}

// read makes a feed take a change as from a watch.
func read(f catalog.Feed, revision int64, now time.Time) {
	f.Apply(store.Change{Record: store.Record{Name: "main", Revision: revision}}, now)
	f.Heard(revision, now)
}

// Guards against an entry that misses a change for as long as its own watch hangs: the reader told of it while their link
// was broken, and the store's answer to the watch is lost.
func TestMissedNews(t *testing.T) {
	for name, next := range map[string]func(a catalog.Feed, now time.Time){
		"nothing follows":  func(a catalog.Feed, now time.Time) { a.Heard(8, now) },
		"a change follows": func(a catalog.Feed, now time.Time) { read(a, 9, now) },
		"a list follows": func(a catalog.Feed, now time.Time) {
			a.Replace([]store.Record{{Name: "main", Revision: 7}}, 9, now)
			a.Heard(9, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			second := &member{others: []string{"a"}}
			first := &member{others: []string{"b"}, to: []*member{second}}
			a, b := feedOf("a", first, now), feedOf("b", second, now)
			read(a, 4, now)
			a.Heard(5, now)
			if renewed(b) {
				t.Error("an entry that has heard of the change watches again")
			}
			first.lost = true
			read(a, 7, now)
			first.lost = false
			next(a, now)
			if !renewed(b) {
				t.Fatal("an entry that has missed a change is not told so")
			}
			if b.Wait() > bound {
				t.Errorf("the new watch may hang for %s", b.Wait())
			}
			a.Heard(10, now)
			if renewed(b) {
				t.Error("the watch is made again before it had an answer")
			}
			b.Heard(11, now)
			if b.Wait() != waitOthers {
				t.Errorf("after the answer a watch takes %s", b.Wait())
			}
			a.Heard(11, now)
			read(a, 12, now)
			if renewed(b) {
				t.Error("an entry that is up to date watches again")
			}
		})
	}
}

// Guards against servers that are given up after an outage of the store by entries that are told of their missing entries,
// without the grace that the reader allows, and against that grace where only the calls of one entry have failed.
func TestEndOfOutageIsTold(t *testing.T) {
	for name, tc := range map[string]struct {
		play func(a, b catalog.Feed, now time.Time)
		want bool // the second entry takes it for the end of an outage
	}{
		"told by the reader": {want: true, play: func(a, _ catalog.Feed, now time.Time) {
			a.Failed(now)
			a.Restored(now)
			read(a, 7, now)
		}},
		"told once": {play: func(a, _ catalog.Feed, now time.Time) {
			a.Heard(6, now)
			read(a, 7, now)
		}},
		"noticed while the reader still fails": {want: true, play: func(a, b catalog.Feed, now time.Time) {
			a.Failed(now)
			b.Failed(now)
			b.Restored(now)
		}},
		"own calls failed": {play: func(a, b catalog.Feed, now time.Time) {
			b.Failed(now)
			read(a, 7, now)
			b.Restored(now)
		}},
	} {
		now := time.Now()
		second := &member{others: []string{"a"}}
		restored := false
		feed := func(self string, m *member, note func(time.Time)) catalog.Feed {
			return Spread(catalog.Feed{
				Kind: "servers", Apply: func(store.Change, time.Time) {}, Restored: note,
			}, self, bound, m, now)
		}
		a := feed("a", &member{others: []string{"b"}, to: []*member{second}}, func(time.Time) {})
		b := feed("b", second, func(time.Time) { restored = true })
		read(a, 4, now)
		if tc.play(a, b, now); restored != tc.want {
			t.Errorf("%s: taken for the end of an outage: %t, want %t", name, restored, tc.want)
		}
	}
}

// Guards against news that are late at an entry whose reader has fallen silent: the time without a word, the call and its
// answer must fit into the bound. Another entry may be linked that reads for nobody.
func TestSilentReader(t *testing.T) {
	now := time.Now()
	m := &member{others: []string{"a"}}
	f := feedOf("b", m, now)
	if f.Wait() != waitOthers || f.Settle() != settleOthers {
		t.Errorf("right after the start a watch takes %s, and the pause %s", f.Wait(), f.Settle())
	}
	select {
	case <-f.Renew:
	case <-time.After(bound):
		t.Fatal("an entry that hears no reader goes on to wait")
	}
	if d := time.Since(now); d > bound-spareWait {
		t.Errorf("it waited %s of %s", d, bound)
	}
	if f.Wait() > bound || f.Settle() != settleReader {
		t.Errorf("without a reader a watch takes %s, and the pause %s", f.Wait(), f.Settle())
	}
	a := feedOf("a", &member{others: []string{"b"}, to: []*member{m}}, time.Now())
	a.Failed(time.Now())
	if f.Settle() != settleOthers {
		t.Error("an entry tries by itself although the reader tells that it goes on trying")
	}
}

// Guards against a reader that is heard too seldom to be relied on, whatever the bound of the deployment.
func TestReaderIsHeard(t *testing.T) {
	for _, bound := range []time.Duration{0, time.Second, 1800 * time.Millisecond, 4 * time.Second} {
		f := Spread(catalog.Feed{Kind: "config"}, "a", bound, &member{}, time.Now())
		if bound == 0 {
			bound = usualBound
		}
		if silent := time.Duration(silentShare * float64(bound)); f.Wait()+f.Settle() >= silent {
			t.Errorf("bound %s: the reader speaks every %s, and is relied on for %s", bound, f.Wait()+f.Settle(), silent)
		}
	}
}
