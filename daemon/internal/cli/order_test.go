package cli

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

func oneSlot(c *config) { c.Servers[0].Slots = 1 }

// Guards against live work that waits for a training stream to end, and against a stream that loses, repeats or
// renumbers its tokens when it is preempted and resumed.
func TestLiveWorkPreemptsTrainingStream(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", oneSlot)
	c, other := dialDaemon(t, d), dialDaemon(t, d)
	w := completionWork("train", 6)
	w.Class = "train"
	c.submit(w)
	e.allowTokens(2)
	eventually(t, "two tokens arrived", func() bool {
		a, _ := d.table.Find(time.Now(), "train")
		return len(a.Tokens()) == 2
	})
	other.submit(completionWork("live", 2))
	if id := <-e.starts; id != "train" {
		t.Fatalf("first request at the engine is %s, want train", id)
	}
	if id := <-e.starts; id != "live" {
		t.Fatalf("second request at the engine is %s, want live", id)
	}
	e.allowTokens(6)
	if r := other.readResult("live", 0); r.done == nil || len(r.tokens) != 2 {
		t.Fatalf("live work was refused or cut short: %+v", r.refuse)
	}
	r := c.readResult("train", 0)
	if diff := cmp.Diff([]string{"t0 ", "t1 ", "t2 ", "t3 ", "t4 ", "t5 "}, r.tokens); diff != "" {
		t.Fatalf("tokens: %s", diff)
	}
	if diff := cmp.Diff([]string{"train", "live", "train.2"}, e.startedIDs()); diff != "" {
		t.Fatalf("requests started by the engine (-want +got): %s", diff)
	}
}

// Guards against suspect work that runs alongside other requests: a crash would also end those, and could not be
// attributed to a single request.
func TestSoloWorkRunsAlone(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dialDaemon(t, d)
	c.submit(completionWork("a", 1))
	<-e.starts
	w := completionWork("solo", 1)
	w.Solo = true
	c.submit(w)
	c.submit(completionWork("b", 1))
	if _, running := d.queues["e1"].Len(); running != 1 {
		t.Fatalf("%d requests running, want 1", running)
	}
	e.allowTokens(3)
	for range 3 {
		c.nextFrame(link.Done)
	}
	if diff := cmp.Diff([]string{"a", "solo", "b"}, e.startedIDs()); diff != "" {
		t.Fatalf("order of requests at the engine (-want +got): %s", diff)
	}
}

// Guards against a full queue that holds new work until its deadline, and against running work after it was refused.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", func(c *config) {
		oneSlot(c)
		c.Queue.Live = 1
	})
	c := dialDaemon(t, d)
	c.submit(completionWork("a", 1))
	if a := c.submit(completionWork("b", 1)); a.State != "queued" || a.Depth != 1 {
		t.Fatalf("ack %+v, want queued", a)
	}
	for range 2 {
		if r := c.submitRefused(completionWork("c", 1)); r.Code != "busy" || r.Ran != "no" || r.Retry == 0 {
			t.Fatalf("refusal %+v, want busy", r)
		}
		// A delayed copy of the refused message must not run even if the queue has room by then.
		e.allowTokens(1)
		c.nextFrame(link.Done)
	}
}

// Guards against work that stays queued beyond its deadline.
func TestDeadlinePassesInTheQueue(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", oneSlot)
	c := dialDaemon(t, d)
	c.submit(completionWork("a", 1))
	w := completionWork("b", 1)
	w.Left = 50
	c.submit(w)
	var r wire.Refuse
	_ = c.nextFrame(link.Refuse).Decode(&r)
	if r.Attempt != "b" || r.Code != "deadline" || r.Ran != "no" {
		t.Fatalf("refusal %+v, want code deadline and ran no", r)
	}
}

// Guards against work that stays queued until its deadline at a server that is down.
func TestQueueOfDownServerIsRefused(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", oneSlot)
	c := dialDaemon(t, d)
	c.submit(completionWork("a", 1))
	<-e.starts
	c.submit(completionWork("b", 1))
	_ = e.Listener.Close()
	e.CloseClientConnections()
	seen := make(map[string]wire.Refuse)
	for range 2 {
		var r wire.Refuse
		_ = c.nextFrame(link.Refuse).Decode(&r)
		seen[r.Attempt] = r
	}
	if r := seen["a"]; r.Code != "crashed" || !r.Sole {
		t.Fatalf("running work: refusal %+v, want crashed and sole", r)
	}
	if r := seen["b"]; r.Code != "no_upstream" || r.Ran != "no" || r.Retry == 0 {
		t.Fatalf("queued work: refusal %+v, want no_upstream, ran no, with a retry delay", r)
	}
	// A connection that was accepted while the listener was closing is still served.
	e.CloseClientConnections()
	eventually(t, "the server is down", func() bool { return !d.queues["e1"].Server().Up })
	if r := c.submitRefused(completionWork("c", 1)); r.Code != "no_upstream" || r.Ran != "no" {
		t.Fatalf("new work: refusal %+v, want no_upstream, ran no", r)
	}
}
