package cli

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

// Guards against a completion without all its tokens, weight versions or its finish reason.
func TestCompletionStreamsToEnd(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dialDaemon(t, d)
	c.submit(completionWork("a", 5))
	e.allowTokens(5)
	r := c.readResult("a", 0)
	if diff := cmp.Diff([]string{"t0 ", "t1 ", "t2 ", "t3 ", "t4 "}, r.tokens); diff != "" {
		t.Fatalf("tokens: %s", diff)
	}
	if r.done == nil || r.done.Finish != "length" || r.done.Total != 5 {
		t.Fatalf("done: %+v, refuse: %+v", r.done, r.refuse)
	}
	if diff := cmp.Diff([]wire.Span{{First: 0, Last: 4, Version: 7}}, r.done.Spans); diff != "" {
		t.Fatalf("spans: %s", diff)
	}
}

// Guards against losing the method, path, status, headers or body of a service call.
func TestServiceCallIsForwarded(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, nil)
	c := dialDaemon(t, d)
	s.permits <- struct{}{}
	w := ledgerWork("a", "", 0)
	w.Once = false
	c.submit(w)
	r := c.readResult("a", 0)
	if r.done == nil || r.done.Reply == nil {
		t.Fatalf("no reply: %+v", r.refuse)
	}
	if p := r.done.Reply; p.Status != 201 || string(p.Body) != "POST log?x=1 1" || p.Headers["Ledger"] != "yes" {
		t.Fatalf("reply %d %q %v", p.Status, p.Body, p.Headers)
	}
}

// Guards against running an attempt twice, or losing or repeating its tokens, when a link went silent and the attempt
// is sent again over a new link.
func TestResentAttemptContinuesFromOffset(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	old := dialDaemon(t, d)
	old.submit(completionWork("a", 6))
	e.allowTokens(3)
	var chunks []string
	for len(chunks) < 3 {
		var m wire.Chunk
		f := old.nextFrame(link.Chunk)
		_ = f.Decode(&m)
		chunks = append(chunks, m.Tokens...)
	}
	fresh := dialDaemon(t, d)
	w := completionWork("a", 6)
	w.Offset = 2
	if a := fresh.submit(w); a.State != "running" {
		t.Fatalf("state %q, want running", a.State)
	}
	e.allowTokens(3)
	r := fresh.readResult("a", 2)
	if diff := cmp.Diff([]string{"t2 ", "t3 ", "t4 ", "t5 "}, r.tokens); diff != "" {
		t.Fatalf("tokens: %s", diff)
	}
	if diff := cmp.Diff([]string{"a"}, e.startedIDs()); diff != "" {
		t.Fatalf("requests started by the engine (-want +got): %s", diff)
	}
}

// Guards against an entry that stops reading and thereby blocks the streams of other entries.
func TestSlowLinkDelaysOnlyItself(t *testing.T) {
	e, s := newFakeEngine(t), newFakeService(t)
	s.padding = 2 << 20
	const calls = 12 // 24 MB of responses fill the buffers of the connection
	d := startDaemon(t, e.URL, s.URL, func(c *config) { c.Servers[1].Slots = calls })
	slow, other := dialDaemon(t, d), dialDaemon(t, d)
	release := make(chan struct{})
	defer close(release)
	slow.blockResults(release)
	for n := range calls {
		w := ledgerWork(fmt.Sprintf("s%d", n), "", 0)
		w.Once = false
		slow.submit(w)
	}
	for range calls {
		s.permits <- struct{}{}
	}
	eventually(t, "all responses have arrived", func() bool { return d.table.Active() == 0 })
	other.submit(completionWork("a", 3))
	e.allowTokens(3)
	if r := other.readResult("a", 0); r.done == nil || len(r.tokens) != 3 {
		t.Fatalf("the stream of the other link was refused or cut short: %+v", r.refuse)
	}
}

// Guards against broken streams when entries disconnect at random and send the attempt again: every token must arrive
// once and in order, and the attempt must not run twice.
func TestStreamSurvivesRandomDisconnects(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	random := rand.New(rand.NewPCG(3, 4))
	const tokens = 60
	var got []string
	for len(got) < tokens {
		c := dialDaemon(t, d)
		w := completionWork("a", tokens)
		w.Offset = len(got)
		c.submit(w)
		want := min(len(got)+1+random.IntN(8), tokens)
		e.allowTokens(want - len(got))
		for len(got) < want {
			var m wire.Chunk
			_ = c.nextFrame(link.Chunk).Decode(&m)
			if m.Offset != len(got) {
				t.Fatalf("chunk at %d, want %d", m.Offset, len(got))
			}
			got = append(got, m.Tokens...)
		}
		c.Close()
	}
	for n, text := range got {
		if text != fmt.Sprintf("t%d ", n) {
			t.Fatalf("token %d is %q", n, text)
		}
	}
	if diff := cmp.Diff([]string{"a"}, e.startedIDs()); diff != "" {
		t.Fatalf("requests started by the engine (-want +got): %s", diff)
	}
}
