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

const testTimeout = 20 * time.Second // generous limit for every wait in these tests

type testDaemon struct {
	*process
	address string
	stop    context.CancelFunc
	exited  chan error
}

// startDaemon runs a complete daemon in front of an engine and a service and waits until its servers are up.
func startDaemon(t *testing.T, engine, service string, change func(*config)) *testDaemon {
	t.Helper()
	c := defaults()
	c.Name, c.Domain, c.Region, c.Secret = "d1", "nord-a", "nord", "test secret"
	c.Listen = "127.0.0.1:0"
	c.Store.URL = "http://127.0.0.1:1"
	c.Stagger = 0
	c.Poll = settings.Duration(50 * time.Millisecond)
	c.Handover = settings.Duration(testTimeout)
	if engine != "" {
		c.Servers = append(c.Servers, serverConfig{Name: "e1", Kind: "engine", Model: "plan", URL: engine, Slots: 4})
	}
	if service != "" {
		c.Servers = append(c.Servers, serverConfig{Name: "s1", Kind: "service", Model: "ledger", URL: service, Slots: 4})
	}
	if change != nil {
		change(&c)
	}
	p, err := newProcess(c, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatalf("build: %v", err)
	}
	l, err := net.Listen("tcp4", c.Listen)
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &testDaemon{process: p, address: l.Addr().String(), stop: stop, exited: make(chan error, 1)}
	go func() { d.exited <- p.serve(ctx, l) }()
	t.Cleanup(stop)
	for name := range p.queues {
		eventually(t, "server "+name+" is up", func() bool { return p.queues[name].Server().Up })
	}
	return d
}

func eventually(t *testing.T, condition string, ready func() bool) {
	t.Helper()
	if !waitFor(testTimeout, ready) {
		t.Fatalf("timed out waiting for: %s", condition)
	}
}

// entryLink is a link to the daemon on which the test acts as an entry; it collects the received frames.
type entryLink struct {
	*link.Conn
	t      *testing.T
	frames chan link.Frame
	unread []link.Frame                  // frames of other attempts, received by readResult
	gate   atomic.Pointer[chan struct{}] // blocks the receive handler at a result until closed
}

// blockResults makes the receive handler block at the next result until release is closed.
func (e *entryLink) blockResults(release chan struct{}) { e.gate.Store(&release) }

func dialDaemon(t *testing.T, d *testDaemon) *entryLink {
	t.Helper()
	e := &entryLink{t: t, frames: make(chan link.Frame, 10_000)}
	id := link.NewIdentity("entry", []byte("test secret"), func() wire.Hello {
		return wire.Hello{Name: "entry", Inc: "i", Role: "entry"}
	})
	h := link.HandlerFunc(func(_ *link.Conn, f link.Frame) error {
		if c := e.gate.Load(); c != nil && f.Kind == link.Done {
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

// call sends a message, decodes the body of the reply into reply and returns the kind of the reply.
func (e *entryLink) call(kind string, body, reply any) string {
	e.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

// submit sends work and fails unless it is acknowledged.
func (e *entryLink) submit(w wire.Work) wire.Ack {
	e.t.Helper()
	var a wire.Ack
	if kind := e.call(link.Work, w, &a); kind != link.Ack {
		e.t.Fatalf("work %s: reply %s, want ack", w.Attempt, kind)
	}
	return a
}

// submitRefused sends work and fails unless it is refused.
func (e *entryLink) submitRefused(w wire.Work) wire.Refuse {
	e.t.Helper()
	var r wire.Refuse
	if kind := e.call(link.Work, w, &r); kind != link.Refuse {
		e.t.Fatalf("work %s: reply %s, want refuse", w.Attempt, kind)
	}
	return r
}

// result is the complete output of one attempt over one link.
type result struct {
	tokens []string
	spans  []wire.Span
	done   *wire.Done
	refuse *wire.Refuse
}

// nextFrame returns the next frame of one of the given kinds and discards others.
func (e *entryLink) nextFrame(kinds ...string) link.Frame {
	e.t.Helper()
	timer := time.After(testTimeout)
	for {
		select {
		case f := <-e.frames:
			for _, k := range kinds {
				if f.Kind == k {
					return f
				}
			}
		case <-timer:
			e.t.Fatalf("timed out waiting for a message of kind %v", kinds)
		}
	}
}

// readResult collects the output of an attempt from an offset on and fails on a gap or a repeated token. Frames of other
// attempts are kept for later calls: the daemon reports each attempt from a goroutine of its own, so attempts that end one
// after the other may be reported in any order.
func (e *entryLink) readResult(id string, from int) result {
	e.t.Helper()
	var r result
	pending := e.unread
	e.unread = nil
	for {
		var f link.Frame
		if len(pending) > 0 {
			f, pending = pending[0], pending[1:]
		} else {
			f = e.nextFrame(link.Chunk, link.Done, link.Refuse)
		}
		if e.collect(f, id, from, &r) {
			e.unread = append(e.unread, pending...)
			return r
		}
	}
}

// collect adds a frame to the output of an attempt and reports whether the output is complete.
func (e *entryLink) collect(f link.Frame, id string, from int, r *result) bool {
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
	e.unread = append(e.unread, f)
	return false
}

func completionWork(id string, tokens int) wire.Work {
	return wire.Work{
		Attempt: id, Server: "e1", Class: "live", Workspace: "t", Profile: "p", Request: "r" + id,
		Left: 60_000, Model: "plan", Prompt: "plant", Max: tokens,
	}
}

func ledgerWork(id, key string, era int) wire.Work {
	return wire.Work{
		Attempt: id, Server: "s1", Class: "live", Workspace: "t", Profile: "p", Request: "r" + id, Left: 60_000,
		Once: true, Key: key, Era: era, Call: &wire.Call{Method: "POST", Path: "/log?x=1", Body: []byte("b")},
	}
}
