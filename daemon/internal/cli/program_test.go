package cli

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bulrushspoke/internal/link"
	"bulrushspoke/internal/settings"
	"bulrushspoke/wire"
)

const limit = 20 * time.Second // generous bound of every wait in these tests

type daemon struct {
	*process
	address string
	stop    context.CancelFunc
	ended   chan error
}

// startDaemon runs a whole daemon in front of an engine and a service.
func startDaemon(t *testing.T, engine, service string, change func(*config)) *daemon {
	t.Helper()
	c := defaults()
	c.Name, c.Domain, c.Region, c.Secret = "d1", "nord-a", "nord", "test secret"
	c.Listen = "127.0.0.1:0"
	c.Store.URL = "http://127.0.0.1:1"
	c.Stagger = 0
	c.Poll = settings.Duration(50 * time.Millisecond)
	c.Handover = settings.Duration(limit)
	if engine != "" {
		c.Servers = append(c.Servers, serverConfig{Name: "e1", Kind: "engine", Model: "plan", URL: engine, Slots: 4})
	}
	if service != "" {
		c.Servers = append(c.Servers, serverConfig{Name: "s1", Kind: "service", Model: "ledger", URL: service, Slots: 4})
	}
	if change != nil {
		change(&c)
	}
	p, err := build(c, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatalf("build: %v", err)
	}
	l, err := net.Listen("tcp4", c.Listen)
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{process: p, address: l.Addr().String(), stop: stop, ended: make(chan error, 1)}
	go func() { d.ended <- p.serve(ctx, l) }()
	t.Cleanup(stop)
	for name := range p.queues {
		eventually(t, "server "+name+" is up", func() bool { return p.queues[name].Server().Up })
	}
	return d
}

func eventually(t *testing.T, what string, ready func() bool) {
	t.Helper()
	if !await(limit, ready) {
		t.Fatalf("not in time: %s", what)
	}
}

// entryLink is a link of a test in the role of an entry; it collects what it receives.
type entryLink struct {
	*link.Conn
	t      *testing.T
	frames chan link.Frame
	passed []link.Frame                  // of other attempts, seen while one was read
	wait   atomic.Pointer[chan struct{}] // the reading task waits for it once a result arrives
}

// hold stops the reading task at the next result until release is closed.
func (e *entryLink) hold(release chan struct{}) { e.wait.Store(&release) }

func dial(t *testing.T, d *daemon) *entryLink {
	t.Helper()
	e := &entryLink{t: t, frames: make(chan link.Frame, 10_000)}
	id := link.NewIdentity("entry", []byte("test secret"), func() wire.Hello {
		return wire.Hello{Name: "entry", Inc: "i", Role: "entry"}
	})
	h := link.HandlerFunc(func(_ *link.Conn, f link.Frame) error {
		if c := e.wait.Load(); c != nil && f.Kind == link.Done {
			<-*c
		}
		e.frames <- f
		return nil
	})
	c, err := link.Dial(t.Context(), d.address, id, h, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	e.Conn = c
	t.Cleanup(c.Close)
	return e
}

// call sends a message and returns the kind of the reply and stores its body in reply.
func (e *entryLink) call(kind string, body, reply any) string {
	e.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	f, err := e.Call(ctx, kind, body)
	if err != nil {
		e.t.Fatalf("%s: %v", kind, err)
	}
	if err := f.Decode(reply); err != nil {
		e.t.Fatalf("%s: %v", kind, err)
	}
	return f.Kind
}

// work sends work that must be acknowledged.
func (e *entryLink) work(w wire.Work) wire.Ack {
	e.t.Helper()
	var a wire.Ack
	if kind := e.call(link.Work, w, &a); kind != link.Ack {
		e.t.Fatalf("work %s: reply %s, want ack", w.Attempt, kind)
	}
	return a
}

// refused sends work that must be refused.
func (e *entryLink) refused(w wire.Work) wire.Refuse {
	e.t.Helper()
	var r wire.Refuse
	if kind := e.call(link.Work, w, &r); kind != link.Refuse {
		e.t.Fatalf("work %s: reply %s, want refuse", w.Attempt, kind)
	}
	return r
}

// result is the whole output of one attempt over one link.
type result struct {
	tokens []string
	spans  []wire.Span
	done   *wire.Done
	refuse *wire.Refuse
}

// next returns the next message of a kind; others are passed over.
func (e *entryLink) next(kinds ...string) link.Frame {
	e.t.Helper()
	timer := time.After(limit)
	for {
		select {
		case f := <-e.frames:
			for _, k := range kinds {
				if f.Kind == k {
					return f
				}
			}
		case <-timer:
			e.t.Fatalf("no message of kind %v", kinds)
		}
	}
}

// read collects the output of an attempt from an offset on and fails on a gap or a repeat. What comes of other attempts
// meanwhile is kept for their reads: attempts that end one after the other are told by tasks of their own.
func (e *entryLink) read(id string, from int) result {
	e.t.Helper()
	var r result
	kept := e.passed
	e.passed = nil
	for {
		var f link.Frame
		if len(kept) > 0 {
			f, kept = kept[0], kept[1:]
		} else {
			f = e.next(link.Chunk, link.Done, link.Refuse)
		}
		if e.take(f, id, from, &r) {
			e.passed = append(e.passed, kept...)
			return r
		}
	}
}

// take adds a frame to the output of an attempt, and reports whether that is at its end.
func (e *entryLink) take(f link.Frame, id string, from int, r *result) bool {
	e.t.Helper()
	switch f.Kind {
	case link.Chunk:
		var c wire.Chunk
		_ = f.Decode(&c)
		if c.Attempt != id {
			break
		}
		if c.Offset != from+len(r.tokens) {
			e.t.Fatalf("chunk at offset %d, want %d", c.Offset, from+len(r.tokens))
		}
		r.tokens = append(r.tokens, c.Tokens...)
		r.spans = append(r.spans, c.Spans...)
		return false
	case link.Done:
		var d wire.Done
		_ = f.Decode(&d)
		if d.Attempt != id {
			break
		}
		r.done = &d
		return true
	case link.Refuse:
		var refused wire.Refuse
		_ = f.Decode(&refused)
		if refused.Attempt != id {
			break
		}
		r.refuse = &refused
		r.tokens = append(r.tokens, refused.Tokens...)
		return true
	}
	e.passed = append(e.passed, f)
	return false
}

func completion(id string, tokens int) wire.Work {
	return wire.Work{
		Attempt: id, Server: "e1", Class: "live", Workspace: "t", Profile: "p", Request: "r" + id,
		Left: 60_000, Model: "plan", Prompt: "plant", Max: tokens,
	}
}

func ledger(id, key string, era int) wire.Work {
	return wire.Work{
		Attempt: id, Server: "s1", Class: "live", Workspace: "t", Profile: "p", Request: "r" + id, Left: 60_000,
		Once: true, Key: key, Era: era, Call: &wire.Call{Method: "POST", Path: "/log?x=1", Body: []byte("b")},
	}
}
