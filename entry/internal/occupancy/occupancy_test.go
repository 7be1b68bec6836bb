package occupancy

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

// network delivers what one entry tells to the handlers of the others.
type network struct {
	mu       sync.Mutex
	handlers []func(context.Context, link.Frame) (string, any, error)
	messages int
}

func (n *network) Tell(kind string, body any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	raw, err := cbor.Marshal(body)
	if err != nil {
		panic(err) // wire types encode
	}
	for _, h := range n.handlers {
		_, _, _ = h(context.Background(), link.Frame{Kind: kind, Body: raw}) // the tests look at what the handlers did
	}
}

func (n *network) Handle(_ string, f func(context.Context, link.Frame) (string, any, error)) {
	n.handlers = append(n.handlers, f)
}

func (n *network) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages
}

func tracker() *place.Tracker {
	return place.New(place.Home{Domain: "d", Region: "r", Regions: map[string]string{"d": "r"}}, rand.New(rand.NewPCG(1, 1)))
}

// Guards against an entry that fills an engine which another has filled, one that goes on believing it full, and messages
// while nothing runs.
func TestShare(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	here, there := tracker(), tracker()
	n := &network{}
	New("there", there, n).Register()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = New("here", here, n).Run(ctx) // ends with ctx only
	}()
	l := []catalog.Server{{ID: "e", Domain: "d", Slots: 2, Versions: map[string]int{"m": 1}}}
	need := place.Need{Model: "m", Room: true, Rest: 10}
	room := func() bool {
		_, ok := there.Pick(time.Now(), l, need)
		return ok
	}
	for range 2 {
		s, _ := here.Pick(time.Now(), l, need)
		here.Began(s.ID, time.Now())
	}
	eventually(t, "the other entry believes that the engine has room", func() bool { return !room() })
	for range 2 {
		here.Ended("e", "m", place.Answered, 0, time.Now())
	}
	eventually(t, "the other entry believes that the engine is full", room)
	last := n.count()
	time.Sleep(3 * tellEvery)
	if got := n.count(); got > last+1 {
		t.Errorf("%d messages while nothing runs", got-last)
	}
	cancel()
	<-done
}

// Guards against a message that ends the process or counts.
func TestBadMessage(t *testing.T) {
	there := tracker()
	n := &network{}
	New("there", there, n).Register()
	for _, body := range []any{"text", wire.Crash{}, []int{1}} {
		raw, err := cbor.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		_, _, _ = n.handlers[0](t.Context(), link.Frame{Kind: link.Taken, Body: raw}) // an error closes the link
	}
	l := []catalog.Server{{ID: "e", Domain: "d", Slots: 1, Versions: map[string]int{"m": 1}}}
	if _, ok := there.Pick(time.Now(), l, place.Need{Model: "m", Room: true, Rest: 1}); !ok {
		t.Error("a message that cannot be read takes a slot")
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
