package cli

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

// Guards against an answer that lacks tokens, versions or the finish reason.
func TestCompletionStreamsToItsEnd(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dial(t, d)
	c.work(completion("a", 5))
	e.let(5)
	r := c.read("a", 0)
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

// Guards against a call to a service that loses its method, path, status, headers or body.
func TestServiceCallIsPassedThrough(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, nil)
	c := dial(t, d)
	s.let <- struct{}{}
	w := ledger("a", "", 0)
	w.Once = false
	c.work(w)
	r := c.read("a", 0)
	if r.done == nil || r.done.Reply == nil {
		t.Fatalf("no reply: %+v", r.refuse)
	}
	if p := r.done.Reply; p.Status != 201 || string(p.Body) != "POST log?x=1 1" || p.Headers["Ledger"] != "yes" {
		t.Fatalf("reply %d %q %v", p.Status, p.Body, p.Headers)
	}
}

// Guards against a link that went silent: the attempt is sent again over a new link and must neither run twice nor
// lose or repeat tokens.
func TestResentAttemptContinuesFromItsOffset(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	old := dial(t, d)
	old.work(completion("a", 6))
	e.let(3)
	var chunks []string
	for len(chunks) < 3 {
		var m wire.Chunk
		f := old.next(link.Chunk)
		_ = f.Decode(&m)
		chunks = append(chunks, m.Tokens...)
	}
	fresh := dial(t, d)
	w := completion("a", 6)
	w.Offset = 2
	if a := fresh.work(w); a.State != "running" {
		t.Fatalf("state %q, want running", a.State)
	}
	e.let(3)
	r := fresh.read("a", 2)
	if diff := cmp.Diff([]string{"t2 ", "t3 ", "t4 ", "t5 "}, r.tokens); diff != "" {
		t.Fatalf("tokens: %s", diff)
	}
	if diff := cmp.Diff([]string{"a"}, e.runs()); diff != "" {
		t.Fatalf("runs at the engine: %s", diff)
	}
}

// Guards against an entry that stops reading and holds up the streams of others.
func TestSlowLinkDelaysOnlyItself(t *testing.T) {
	e, s := newFakeEngine(t), newFakeService(t)
	s.pad = 2 << 20
	const calls = 12 // 24 MB of answers fill the buffers of the connection
	d := startDaemon(t, e.URL, s.URL, func(c *config) { c.Servers[1].Slots = calls })
	slow, other := dial(t, d), dial(t, d)
	release := make(chan struct{})
	defer close(release)
	slow.hold(release)
	for n := range calls {
		w := ledger(fmt.Sprintf("s%d", n), "", 0)
		w.Once = false
		slow.work(w)
	}
	for range calls {
		s.let <- struct{}{}
	}
	eventually(t, "all answers are there", func() bool { return d.table.Active() == 0 })
	other.work(completion("a", 3))
	e.let(3)
	if r := other.read("a", 0); r.done == nil || len(r.tokens) != 3 {
		t.Fatalf("the other link gets %+v", r.refuse)
	}
}

// Guards against streams that break while entries are cut off and send them again at random: every token must arrive
// once and in order, and nothing may run twice.
func TestStreamSurvivesRandomCuts(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	random := rand.New(rand.NewPCG(3, 4))
	const tokens = 60
	var got []string
	for len(got) < tokens {
		c := dial(t, d)
		w := completion("a", tokens)
		w.Offset = len(got)
		c.work(w)
		want := min(len(got)+1+random.IntN(8), tokens)
		e.let(want - len(got))
		for len(got) < want {
			var m wire.Chunk
			_ = c.next(link.Chunk).Decode(&m)
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
	if diff := cmp.Diff([]string{"a"}, e.runs()); diff != "" {
		t.Fatalf("runs at the engine: %s", diff)
	}
}
