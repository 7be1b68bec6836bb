package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

// half is a random source that always returns 0.5.
type half struct{}

func (half) Float64() float64 { return 0.5 }

// node is an entry under test.
type node struct {
	*Peers
	address string
	rev     int64
	noticed atomic.Int64
	unblock chan struct{} // blocks the goroutine that reads from a link until closed, to simulate a silent connection
	pulls   atomic.Int64
}

func (n *node) ForwardedPull(_ context.Context, f wire.ForwardedPull) wire.ForwardedPullAnswer {
	n.pulls.Add(1)
	return wire.ForwardedPullAnswer{Code: f.Run}
}
func (n *node) VerdictCounted(wire.Verdict) {}
func (n *node) Suspect(wire.Suspect)        { <-n.unblock }
func (n *node) Explain(request string) (wire.Trace, bool) {
	if request != n.name {
		return wire.Trace{}, false
	}
	return wire.Trace{Request: request, State: "finished"}, true
}

func start(t *testing.T, name string, rev int64) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{address: l.Addr().String(), rev: rev, unblock: make(chan struct{})}
	quiet := slog.New(slog.DiscardHandler)
	id := link.NewIdentity(name, []byte("s"), func() wire.Hello { return wire.Hello{Name: name, Role: role, Inc: name, Rev: rev} })
	content := func() wire.Config { return wire.Config{Rev: n.rev, Value: []byte(name)} }
	noticed := func(m wire.Notice) { n.noticed.Store(max(n.noticed.Load(), m.Rev)) }
	o := Options{AckTimeout: 300 * time.Millisecond, LinkTimeout: 5 * time.Second, MaxRedialDelay: 50 * time.Millisecond}
	n.Peers = New(name, id, content, noticed, o, half{}, quiet)
	n.SetHandler(n)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = n.Serve(ctx) }()
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { _ = n.Accept(ctx) }}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		close(n.unblock)
		cancel()
		_ = l.Close()
	})
	return n
}

// connectTo makes n dial the other entries.
func (n *node) connectTo(others ...*node) {
	var l []wire.Instance
	for _, o := range others {
		l = append(l, wire.Instance{Name: o.name, Role: role, Address: o.address, State: "live"})
	}
	n.SetInstances(l, time.Now())
}

func await(t *testing.T, ready func() bool) {
	t.Helper()
	for range 4000 {
		if ready() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition was not reached")
}

// Guards against two entries that cannot communicate because only one can dial the other, and against an entry that
// adopts an older configuration than the newest among its peers.
func TestEntries(t *testing.T) {
	a, b, c := start(t, "a", 3), start(t, "b", 5), start(t, "c", 4)
	a.connectTo(b, c)
	await(t, func() bool { return a.Reachable("b") && a.Reachable("c") && b.Reachable("a") })
	if got, err := b.Forward(t.Context(), "a", wire.ForwardedPull{Run: "r"}); err != nil || got.Code != "r" {
		t.Fatalf("pull over the link that the owner opened: %+v, %v", got, err)
	}
	if got, ok := a.Fetch(t.Context(), 4); !ok || got.Rev != 5 || string(got.Value) != "b" {
		t.Fatalf("fetched %+v, %t", got, ok)
	}
	if _, ok := a.Fetch(t.Context(), 6); ok {
		t.Fatal("fetched a revision that nobody holds")
	}
	if got, ok := a.Peers.Explain(t.Context(), "c"); !ok || got.Request != "c" {
		t.Fatalf("request of entry c explained as %+v, %t", got, ok)
	}
	if got, ok := a.Peers.Explain(t.Context(), "x"); ok {
		t.Fatalf("request that nobody knows explained as %+v", got)
	}
	await(t, func() bool { return a.noticed.Load() == 5 })
	a.Announce(wire.Notice{Rev: 9})
	await(t, func() bool { return b.noticed.Load() == 9 && c.noticed.Load() == 9 })
}

// Guards against a pull that waits on a silent connection, and against one that fails although the owner responds on a new
// connection.
func TestForwardOverSilentLink(t *testing.T) {
	a, b := start(t, "a", 0), start(t, "b", 0)
	a.connectTo(b)
	await(t, func() bool { return a.Reachable("b") })
	a.Peers.Suspect(wire.Suspect{}) // blocks b's reader of this link
	await(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, ok := a.Fetch(ctx, 0)
		return !ok
	})
	got, err := a.Forward(t.Context(), "b", wire.ForwardedPull{Run: "r"})
	if err != nil || got.Code != "r" || b.pulls.Load() != 1 {
		t.Fatalf("pull %+v, %v, arrived %d times", got, err, b.pulls.Load())
	}
	var unreachable *UnreachableError
	if _, err := a.Forward(t.Context(), "z", wire.ForwardedPull{}); !errors.As(err, &unreachable) {
		t.Fatalf("pull to an unknown entry: %v", err)
	}
}

// Guards against an entry that uses the part of the others while it cannot hear them, and against one that leaves it unused
// once they are gone.
func TestShare(t *testing.T) {
	a := start(t, "a", 1)
	now := time.Now()
	if got := a.Share(now); got != 1 {
		t.Errorf("the share of a lone entry is %.2f", got)
	}
	a.SetInstances([]wire.Instance{{Name: "b", Role: role}, {Name: "c", Role: role}, {Name: "d", Role: "daemon"}}, now)
	if got := a.Share(now); got != 1.0/3 {
		t.Errorf("the share beside two entries without a link is %.2f", got)
	}
	if got := a.Share(now.Add(presumedGoneAfter)); got != 1 {
		t.Errorf("the share is %.2f though the others are gone", got)
	}
}
