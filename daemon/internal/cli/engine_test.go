package cli

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

// Guards against tokens attributed to the requested weight version or to the version at the start of the stream.
func TestVersionChangeInMidStream(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dialDaemon(t, d)
	c.submit(completionWork("a", 4))
	e.allowTokens(2)
	c.nextFrame(link.Chunk)
	eventually(t, "two tokens arrived", func() bool {
		a, _ := d.table.Find(time.Now(), "a")
		return len(a.Tokens()) == 2
	})
	e.setVersion(8)
	e.allowTokens(2)
	var done wire.Done
	_ = c.nextFrame(link.Done).Decode(&done)
	want := []wire.Span{{First: 0, Last: 1, Version: 7}, {First: 2, Last: 3, Version: 8}}
	if diff := cmp.Diff(want, done.Spans); diff != "" {
		t.Fatalf("spans: %s", diff)
	}
	if v := d.queues["e1"].Server().Version; v != 8 {
		t.Fatalf("version of the server is %d, want 8", v)
	}
}

// Guards against a sample that keeps running although its tokens are older than its staleness bound allows.
func TestFloorStopsAnAttempt(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dialDaemon(t, d)
	w := completionWork("a", 4)
	w.Floor = 7
	c.submit(w)
	e.allowTokens(1)
	c.nextFrame(link.Chunk)
	// The engine reverts to an older version, as it does when it restarts from its disk.
	e.setVersion(6)
	e.allowTokens(1)
	r := c.readResult("a", 1)
	if r.refuse == nil || r.refuse.Code != "stale_version" || r.refuse.Ran != "partial" {
		t.Fatalf("end %+v %+v, want stale_version", r.done, r.refuse)
	}
	eventually(t, "the engine was asked to stop", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.cancelChans) == 0
	})
}

// Guards against losing the tokens of a stream in a crash, and against blaming attempts that were merely running when
// the engine crashed.
func TestCrashKeepsTokensAndReportsSoleRequest(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dialDaemon(t, d)
	for _, sole := range []bool{true, false} {
		ids := []string{"alone"}
		if !sole {
			ids = []string{"x", "y"}
		}
		for _, id := range ids {
			c.submit(completionWork(id, 9))
			<-e.starts
		}
		e.allowTokens(len(ids))
		eventually(t, "tokens arrived", func() bool {
			n := 0
			for _, id := range ids {
				a, _ := d.table.Find(time.Now(), id)
				n += len(a.Tokens())
			}
			return n == len(ids)
		})
		e.CloseClientConnections()
		got := 0
		for range ids {
			var m wire.Refuse
			_ = c.nextFrame(link.Refuse).Decode(&m)
			if m.Code != "crashed" || !m.Crashed || m.Ran != "partial" || m.Sole != sole {
				t.Fatalf("refusal %+v, want crashed with sole %t", m, sole)
			}
			a, _ := d.table.Find(time.Now(), m.Attempt)
			got += len(a.Tokens())
		}
		if got != len(ids) {
			t.Fatalf("%d tokens are kept, want %d", got, len(ids))
		}
		eventually(t, "the engine is up again", func() bool { return d.queues["e1"].Server().Up })
	}
}

// Guards against a resumed stream that restarts from the beginning or renumbers its tokens.
func TestHeldTokensAreResumed(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dialDaemon(t, d)
	w := completionWork("a", 4)
	w.Held, w.Offset = []string{"h0", "h1"}, 2
	w.Spans = []wire.Span{{First: 0, Last: 1, Version: 6}}
	c.submit(w)
	e.allowTokens(2)
	r := c.readResult("a", 2)
	if diff := cmp.Diff([]string{"t2 ", "t3 "}, r.tokens); diff != "" {
		t.Fatalf("tokens: %s", diff)
	}
	want := []wire.Span{{First: 0, Last: 1, Version: 6}, {First: 2, Last: 3, Version: 7}}
	if diff := cmp.Diff(want, r.done.Spans); diff != "" || r.done.Total != 4 {
		t.Fatalf("total %d, spans: %s", r.done.Total, diff)
	}
}

// Guards against a cancelled stream that keeps its slot on the engine.
func TestCancelStopsTheStream(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dialDaemon(t, d)
	c.submit(completionWork("a", 4))
	<-e.starts
	if err := c.Notify(link.Cancel, wire.Cancel{Attempt: "a", Reason: "client gone"}); err != nil {
		t.Fatalf("cancel: %v", err)
	}
	if r := c.readResult("a", 0); r.refuse == nil || r.refuse.Code != "cancelled" {
		t.Fatalf("end %+v %+v, want cancelled", r.done, r.refuse)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.cancelChans) != 0 {
		t.Fatalf("the engine still runs %v", e.cancelChans)
	}
}

// Guards against running work under an outdated configuration.
func TestStaleConfigurationIsRefused(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dialDaemon(t, d)
	w := completionWork("a", 1)
	w.Rev = 9
	c.submit(w)
	old := completionWork("b", 1)
	old.Rev = 8
	if r := c.submitRefused(old); r.Code != "stale_config" || r.Ran != "no" || r.Rev != 9 {
		t.Fatalf("refusal %+v, want stale_config at revision 9", r)
	}
	old.Rev = 9
	c.submit(old)
}
