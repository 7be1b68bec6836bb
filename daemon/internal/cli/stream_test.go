package cli

import (
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
