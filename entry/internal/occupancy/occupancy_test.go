package occupancy

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/ratelimit"
	"bulrushspoke/wire"
)

// fakePeers delivers each message to all registered handlers.
type fakePeers struct {
	mu       sync.Mutex
	handlers []func(context.Context, link.Frame) (string, any, error)
	messages int
}

func (n *fakePeers) Broadcast(kind string, body any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	raw, err := cbor.Marshal(body)
	if err != nil {
		panic(err) // wire types always encode
	}
	for _, h := range n.handlers {
		_, _, _ = h(context.Background(), link.Frame{Kind: kind, Body: raw}) // the tests check the effects of the handlers
	}
}

func (n *fakePeers) Handle(_ string, f func(context.Context, link.Frame) (string, any, error)) {
	n.handlers = append(n.handlers, f)
}

func (n *fakePeers) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages
}

func newTracker() *place.Tracker {
	return place.New(place.Home{Domain: "d", Region: "r", Regions: map[string]string{"d": "r"}},
		ratelimit.New(slog.New(slog.DiscardHandler)), rand.New(rand.NewPCG(1, 1)))
}

// Guards against an entry that sends work to an engine that another entry has filled, that considers the engine full after
// the work has ended, or that sends messages while nothing is in flight.
func TestShare(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	here, there := newTracker(), newTracker()
	n := &fakePeers{}
	New("there", there, n).Register()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = New("here", here, n).Run(ctx) // ends with ctx only
	}()
	l := []catalog.Server{{ID: "e", Domain: "d", Slots: 2, Versions: map[string]int{"m": 1}}}
	need := place.Need{Model: "m", RequireSlot: true, RemainingEvents: 10}
	room := func() bool {
		_, ok := there.Pick(time.Now(), l, need)
		return ok
	}
	for range 2 {
		s, _ := here.Pick(time.Now(), l, need)
		here.Began(s.ID, time.Now())
	}
	eventually(t, "the other entry still considers the engine to have room", func() bool { return !room() })
	for range 2 {
		here.Ended("e", "m", place.Answered, 0, time.Now())
	}
	eventually(t, "the other entry still considers the engine full", room)
	last := n.count()
	time.Sleep(3 * publishInterval)
	if got := n.count(); got > last+1 {
		t.Errorf("%d messages while nothing is in flight", got-last)
	}
	cancel()
	<-done
}

// Guards against a malformed message that crashes the process or is counted as load.
func TestBadMessage(t *testing.T) {
	there := newTracker()
	n := &fakePeers{}
	New("there", there, n).Register()
	for _, body := range []any{"text", wire.Crash{}, []int{1}} {
		raw, err := cbor.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		_, _, _ = n.handlers[0](t.Context(), link.Frame{Kind: link.Taken, Body: raw}) // an error closes the link
	}
	l := []catalog.Server{{ID: "e", Domain: "d", Slots: 1, Versions: map[string]int{"m": 1}}}
	if _, ok := there.Pick(time.Now(), l, place.Need{Model: "m", RequireSlot: true, RemainingEvents: 1}); !ok {
		t.Error("a malformed message takes a slot")
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}
