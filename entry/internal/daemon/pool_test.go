package daemon

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"bulrushspoke/internal/link"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// fakeDaemon is a daemon that handles work messages as a test says.
type fakeDaemon struct {
	mu     sync.Mutex
	inc    string
	links  []*link.Conn
	work   []wire.Work
	drains int
	places []wire.Place
	answer func(n int, c *link.Conn, f link.Frame, w wire.Work) // n counts the work messages from 1
}

func (d *fakeDaemon) Serve(c *link.Conn, f link.Frame) error {
	if f.Kind == link.Drain {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.drains++
	}
	if f.Kind == link.Notice {
		return d.notice(f)
	}
	if f.Kind != link.Work {
		return nil
	}
	var w wire.Work
	if err := f.Decode(&w); err != nil {
		return err
	}
	d.mu.Lock()
	d.work = append(d.work, w)
	n := len(d.work)
	d.mu.Unlock()
	d.answer(n, c, f, w)
	return nil
}

func (d *fakeDaemon) seen() []wire.Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]wire.Work(nil), d.work...)
}

// opened returns the links that were opened, in order.
func (d *fakeDaemon) opened() []*link.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*link.Conn(nil), d.links...)
}

func (d *fakeDaemon) drained() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drains
}

func (d *fakeDaemon) restart(inc string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inc = inc
	for _, c := range d.links {
		c.Close()
	}
}

type fakeConfig struct{ rev int64 }

func (c *fakeConfig) Revision() int64                           { return c.rev }
func (c *fakeConfig) EnsureRevision(_ context.Context, r int64) { c.rev = max(c.rev, r) }

// start runs the fake daemon and a pool that is linked to it.
func start(t *testing.T, d *fakeDaemon, options Options) *Pool {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	id := link.NewIdentity("w", []byte("s"), func() wire.Hello {
		d.mu.Lock()
		defer d.mu.Unlock()
		return wire.Hello{Name: "w", Role: "daemon", Inc: d.inc, Servers: []wire.Server{
			{Name: "w/0", Kind: "engine", Model: "plan", Up: true, Slots: 2},
		}}
	})
	opened := func(c *link.Conn) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.links = append(d.links, c)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { _ = link.Accept(ctx, id, d, opened, logger) }}
	go func() { _ = server.Serve(l) }()
	identity := link.NewIdentity("e", []byte("s"), func() wire.Hello { return wire.Hello{Name: "e", Role: "entry"} })
	p := New(identity, &fakeConfig{}, func(wire.Notice) {}, options, rand.New(rand.NewPCG(1, 2)), logger)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = l.Close()
	})
	p.SetInstances([]wire.Instance{{Name: "w", Role: "daemon", Address: l.Addr().String(), State: "live"}}, time.Now())
	await(t, func() bool { return p.Linked() == 1 && len(d.opened()) == 1 })
	return p
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

func options() Options {
	return Options{Ack: 300 * time.Millisecond, Resume: 10 * time.Second, Redial: 50 * time.Millisecond}
}

func work() wire.Work {
	return wire.Work{Attempt: "a1", Server: "w/0", Model: "plan", Max: 10, Left: 60_000}
}

func chunk(offset int, tokens ...string) wire.Chunk {
	return wire.Chunk{Attempt: "a1", Offset: offset, Tokens: tokens, Spans: []wire.Span{
		{Version: 7, First: offset, Last: offset + len(tokens) - 1},
	}}
}

func ack(c *link.Conn, f link.Frame) {
	_ = c.Reply(f, link.Ack, wire.Ack{State: "running"})
}

func send(c *link.Conn, kind string, bodies ...any) {
	for _, b := range bodies {
		_ = c.Send(context.Background(), kind, b)
	}
}

// read reads a stream to its end and returns its text and the message or error that ended it.
func read(t *testing.T, s *Stream) (string, Event, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var text strings.Builder
	for {
		e, err := s.Next(ctx)
		if err != nil || e.Chunk == nil {
			return text.String(), e, err
		}
		text.WriteString(strings.Join(e.Chunk.Tokens, ""))
	}
}

// Guards against a request that stalls on a silent connection, and against a second attempt instead of a resend.
func TestSilentLinkReplaced(t *testing.T) {
	d := &fakeDaemon{inc: "i1", answer: func(n int, c *link.Conn, f link.Frame, _ wire.Work) {
		if n == 1 {
			return
		}
		ack(c, f)
		send(c, link.Chunk, chunk(0, "x"))
		send(c, link.Done, wire.Done{Attempt: "a1", Total: 1})
	}}
	p := start(t, d, options())
	s, err := p.Start(t.Context(), "w", work())
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	if text, e, err := read(t, s); text != "x" || e.Done == nil || err != nil {
		t.Fatalf("read %q, %+v, %v", text, e, err)
	}
	if w := d.seen(); len(w) != 2 || w[0].Attempt != w[1].Attempt || len(d.opened()) != 2 {
		t.Fatalf("work %+v over %d links", w, len(d.opened()))
	}
	if p.Inflight() != 0 || p.serverInflight("w/0") != 0 {
		t.Fatal("the ended stream still counts")
	}
}

// Guards against a stream that repeats or skips tokens after its link broke.
func TestResumeFromOffset(t *testing.T) {
	d := &fakeDaemon{inc: "i1", answer: func(n int, c *link.Conn, f link.Frame, w wire.Work) {
		ack(c, f)
		if n == 1 {
			send(c, link.Chunk, chunk(0, "a", "b"))
			return
		}
		send(c, link.Chunk, chunk(w.Offset, "c"))
		send(c, link.Done, wire.Done{Attempt: "a1", Total: 3})
	}}
	p := start(t, d, options())
	s, err := p.Start(t.Context(), "w", work())
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	first, err := s.Next(t.Context())
	if err != nil {
		t.Fatalf("first chunk: %v", err)
	}
	d.opened()[0].Close()
	text, e, err := read(t, s)
	if got := strings.Join(first.Chunk.Tokens, "") + text; got != "abc" || e.Done == nil {
		t.Fatalf("read %q, %+v, %v", got, e, err)
	}
	if w := d.seen(); len(w) != 2 || w[1].Offset != 2 || w[1].Attempt != "a1" {
		t.Fatalf("resumed with %+v", w)
	}
}

// Guards against a stream that stalls on a connection that became silent after the acknowledgement.
func TestSilentInMidStream(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	d := &fakeDaemon{inc: "i1", answer: func(n int, c *link.Conn, f link.Frame, w wire.Work) {
		ack(c, f)
		send(c, link.Chunk, chunk(w.Offset, "x"))
		if n == 1 {
			<-release // blocks the reader of the link, so that nothing more is answered
			return
		}
		send(c, link.Done, wire.Done{Attempt: "a1", Total: 2})
	}}
	p := start(t, d, options())
	s, err := p.Start(t.Context(), "w", work())
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	if text, e, err := read(t, s); text != "xx" || e.Done == nil || err != nil {
		t.Fatalf("read %q, %+v, %v", text, e, err)
	}
}

// Guards against an answer that ends early because its last chunk is missing, and against a refused attempt that is
// sent again to get a missing chunk.
func TestMissingPart(t *testing.T) {
	d := &fakeDaemon{inc: "i1", answer: func(n int, c *link.Conn, f link.Frame, _ wire.Work) {
		ack(c, f)
		if n == 1 {
			send(c, link.Done, wire.Done{Attempt: "a1", Total: 2})
			send(c, link.Chunk, chunk(0, "a"))
			return
		}
		send(c, link.Chunk, chunk(1, "b"))
	}}
	p := start(t, d, options())
	s, err := p.Start(t.Context(), "w", work())
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	if text, e, err := read(t, s); text != "ab" || e.Done == nil || err != nil {
		t.Fatalf("read %q, %+v, %v", text, e, err)
	}
	before := len(d.seen())
	d.answer = func(_ int, c *link.Conn, f link.Frame, _ wire.Work) {
		ack(c, f)
		send(c, link.Refuse, wire.Refuse{
			Attempt: "a1", Code: "leaving", Ran: "partial", Offset: 1, Tokens: []string{"b"},
			Spans: []wire.Span{{Version: 7, First: 1, Last: 1}},
		})
	}
	if s, err = p.Start(t.Context(), "w", work()); err != nil {
		t.Fatalf("start: %v", err)
	}
	if text, e, err := read(t, s); text != "" || e.Refuse == nil || err != nil {
		t.Fatalf("read %q, %+v, %v", text, e, err)
	}
	if n := len(d.seen()) - before; n != 1 {
		t.Fatalf("a refused attempt was sent %d times", n)
	}
}

// Guards against an attempt that runs twice because a restarted daemon does not know it.
func TestRestartedDaemon(t *testing.T) {
	d := &fakeDaemon{inc: "i1", answer: func(_ int, c *link.Conn, f link.Frame, _ wire.Work) {
		ack(c, f)
		send(c, link.Chunk, chunk(0, "a", "b"))
	}}
	p := start(t, d, options())
	s, err := p.Start(t.Context(), "w", work())
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	if _, err := s.Next(t.Context()); err != nil {
		t.Fatalf("first chunk: %v", err)
	}
	d.restart("i2")
	var lost *LostError
	if _, _, err := read(t, s); !errors.As(err, &lost) || lost.Offset() != 2 || !lost.Sent() {
		t.Fatalf("the stream ended with %v", err)
	}
	if w := d.seen(); len(w) != 1 {
		t.Fatalf("the attempt was sent %d times", len(w))
	}
	if _, err := p.Start(t.Context(), "w", work()); err != nil {
		t.Fatalf("a new start at the new incarnation: %v", err)
	}
}

// Guards against work that is reported as not run although it was sent, when the daemon restarts before it
// acknowledges.
func TestUnacknowledgedIsUnknown(t *testing.T) {
	d := &fakeDaemon{inc: "i1"}
	d.answer = func(int, *link.Conn, link.Frame, wire.Work) { d.restart("i2") }
	p := start(t, d, options())
	var refused *refusal.Error
	_, err := p.Start(t.Context(), "w", work())
	if !errors.As(err, &refused) || refused.Code() != refusal.OutcomeUnknown || refused.Ran() != refusal.Unknown {
		t.Fatalf("start gives %v, want an unknown outcome", err)
	}
}

// Guards against a call that was claimed for one incarnation of a daemon but is sent to the next, which does not have
// the tombstones of the first.
func TestClaimBindsToIncarnation(t *testing.T) {
	d := &fakeDaemon{inc: "i2", answer: func(_ int, c *link.Conn, f link.Frame, _ wire.Work) { ack(c, f) }}
	p := start(t, d, options())
	w := work()
	w.Once, w.Key, w.Inc = true, "k", "i1"
	var refused *refusal.Error
	_, err := p.Start(t.Context(), "w", w)
	if !errors.As(err, &refused) || refused.Ran() != refusal.NotRun || len(d.seen()) != 0 {
		t.Fatalf("start gives %v after %d messages, want a refusal as not run and none", err, len(d.seen()))
	}
}

// Guards against work that fails because the daemon has a newer configuration, and against a refusal that loses its
// proof of execution.
func TestRefusals(t *testing.T) {
	d := &fakeDaemon{inc: "i1", answer: func(n int, c *link.Conn, f link.Frame, _ wire.Work) {
		switch n {
		case 1:
			_ = c.Reply(f, link.Refuse, wire.Refuse{Attempt: "a1", Code: "stale_config", Ran: "no", Rev: 9})
		case 2:
			ack(c, f)
		default:
			_ = c.Reply(f, link.Refuse, wire.Refuse{Attempt: "a1", Code: "busy", Ran: "no", Retry: 50})
		}
	}}
	p := start(t, d, options())
	s, err := p.Start(t.Context(), "w", work())
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	if w := d.seen(); len(w) != 2 || w[1].Rev != 9 {
		t.Fatalf("sent %+v", w)
	}
	s.Cancel("test")
	var e *refusal.Error
	if _, err := p.Start(t.Context(), "w", work()); !errors.As(err, &e) || e.Code() != refusal.Busy || e.Ran() != refusal.NotRun {
		t.Fatalf("busy daemon: %v", err)
	}
	if _, err := p.Start(t.Context(), "x", work()); !errors.As(err, &e) || e.Ran() != refusal.NotRun {
		t.Fatalf("unknown daemon: %v", err)
	}
}

// Guards against new work for a daemon that has announced that it is leaving, and against candidates that lag behind
// the link.
func TestLeaving(t *testing.T) {
	d := &fakeDaemon{inc: "i1"}
	p := start(t, d, options())
	if c := p.Candidates("engine", "plan"); len(c) != 1 || !c[0].Linked || c[0].Leaving || c[0].Inc != "i1" {
		t.Fatalf("candidates %+v", c)
	}
	_ = d.opened()[0].Notify(link.State, wire.State{Leaving: true})
	await(t, func() bool { return p.Candidates("engine", "plan")[0].Leaving })
	d.restart("i2")
	await(t, func() bool {
		c := p.Candidates("engine", "plan")
		return len(c) == 1 && c[0].Inc == "i2" && c[0].Linked && !c[0].Leaving
	})
	p.SetInstances(nil, time.Now())
	if len(p.Candidates("engine", "plan")) != 1 {
		t.Fatal("a linked daemon was removed because the list omits it")
	}
}

// Guards against work for an instance that the platform lists as leaving, and against an outdated list that drains the
// restarted daemon of the same name.
func TestListedAsLeaving(t *testing.T) {
	d := &fakeDaemon{inc: "i1"}
	p := start(t, d, options())
	list := func(state string) {
		p.SetInstances([]wire.Instance{{Name: "w", Role: "daemon", Address: p.peer("w").address, State: state}}, time.Now())
	}
	leaving := func() bool { return p.Candidates("engine", "plan")[0].Leaving }
	list("leaving")
	list("leaving")
	await(t, func() bool { return d.drained() == 1 && leaving() })
	d.restart("i2")
	await(t, func() bool {
		c := p.Candidates("engine", "plan")[0]
		return c.Inc == "i2" && c.Linked && c.Leaving
	})
	list("leaving")
	list("live")
	await(t, func() bool { return !leaving() })
	if _, err := p.Query(t.Context(), "nobody", wire.Ask{}); err == nil {
		t.Fatal("an unknown daemon answered")
	}
	if d.drained() != 1 {
		t.Fatalf("%d drain messages", d.drained())
	}
}

// Guards against a malformed message that affects more than its own link.
func TestMalformedMessage(t *testing.T) {
	d := &fakeDaemon{inc: "i1", answer: func(n int, c *link.Conn, f link.Frame, w wire.Work) {
		ack(c, f)
		if n == 1 {
			send(c, link.Chunk, chunk(0, "a"), "no chunk")
			return
		}
		send(c, link.Chunk, chunk(w.Offset, "b"))
		send(c, link.Done, wire.Done{Attempt: "a1", Total: 2})
	}}
	p := start(t, d, options())
	s, err := p.Start(t.Context(), "w", work())
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	if text, e, err := read(t, s); text != "ab" || e.Done == nil || len(d.opened()) != 2 {
		t.Fatalf("read %q, %+v, %v over %d links", text, e, err, len(d.opened()))
	}
}

// Guards against answers with tokens that are missing, duplicated, out of order or attributed to a wrong weight
// version, for any order and overlap of chunks.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "tokens")
		whole := wire.Chunk{}
		for i := range n {
			whole.Tokens = append(whole.Tokens, string(rune('a'+i)))
			whole.Spans = appendSpans(whole.Spans, []wire.Span{{Version: int64(i / 7), First: i, Last: i}})
		}
		held := rapid.IntRange(0, n-1).Draw(t, "held")
		o := reorderBuffer{next: held, maxTokens: n}
		var got wire.Chunk
		drain := func() {
			if c, ok := o.take("a"); ok {
				if c.Offset != held+len(got.Tokens) {
					t.Fatalf("a part at %d after %d tokens", c.Offset, held+len(got.Tokens))
				}
				got.Tokens = append(got.Tokens, c.Tokens...)
				got.Spans = appendSpans(got.Spans, c.Spans)
			}
		}
		var parts []wire.Chunk
		for i := held; i < n; {
			size := rapid.IntRange(1, n-i).Draw(t, "size")
			parts = append(parts, part(whole, i, i+size))
			i += size
		}
		parts = append(parts, part(whole, rapid.IntRange(held, n-1).Draw(t, "repeat"), n))
		parts = rapid.Permutation(parts).Draw(t, "order")
		for _, c := range parts {
			if err := o.add(c); err != nil {
				if o.outOfOrderTokens <= n {
					t.Fatalf("add: %v", err)
				}
				return
			}
			if rapid.Bool().Draw(t, "take") {
				drain()
			}
		}
		drain()
		want := part(whole, held, n)
		if d := cmp.Diff(want.Tokens, got.Tokens); d != "" || o.gap() {
			t.Fatalf("tokens (-want +got), gap %t:\n%s", o.gap(), d)
		}
		if d := cmp.Diff(want.Spans, got.Spans); d != "" {
			t.Fatalf("versions (-want +got):\n%s", d)
		}
	})
}

// part returns tokens first to end of a chunk.
func part(c wire.Chunk, first, end int) wire.Chunk {
	p := trimBefore(c, first)
	p.Offset = first
	p.Tokens = p.Tokens[:end-first]
	var spans []wire.Span
	for _, s := range p.Spans {
		if s.First < end {
			spans = append(spans, wire.Span{Version: s.Version, First: s.First, Last: min(s.Last, end-1)})
		}
	}
	p.Spans = spans
	return p
}

// Guards against a daemon that fills the entry's memory or sends tokens without their weight versions.
func TestOrderRefuses(t *testing.T) {
	bare := chunk(0, "a", "b")
	bare.Spans = bare.Spans[:0]
	for _, c := range []wire.Chunk{chunk(9, "a", "b"), chunk(-1, "a"), bare} {
		o := reorderBuffer{maxTokens: 10}
		if err := o.add(c); err == nil {
			t.Fatalf("accepted %+v", c)
		}
	}
	o := reorderBuffer{maxTokens: 4}
	if o.add(chunk(2, "a", "b")) != nil || o.add(chunk(1, "a", "b", "c")) == nil {
		t.Fatal("parts beyond a gap are not bounded")
	}
}
