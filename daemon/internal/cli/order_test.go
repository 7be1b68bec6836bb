package cli

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

func oneSlot(c *config) { c.Servers[0].Slots = 1 }

// Guards against live work that waits behind a training stream, and against a stream that loses, repeats or renumbers
// its tokens when it is preempted and resumed.
func TestLiveWorkPushesOutATrainingStream(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", oneSlot)
	c, other := dial(t, d), dial(t, d)
	w := completion("train", 6)
	w.Class = "train"
	c.work(w)
	e.let(2)
	eventually(t, "two tokens arrived", func() bool {
		a, _ := d.table.Find(time.Now(), "train")
		return len(a.Tokens()) == 2
	})
	other.work(completion("live", 2))
	if id := <-e.starts; id != "train" {
		t.Fatalf("first at the engine is %s", id)
	}
	if id := <-e.starts; id != "live" {
		t.Fatalf("second at the engine is %s", id)
	}
	e.let(6)
	if r := other.read("live", 0); r.done == nil || len(r.tokens) != 2 {
		t.Fatalf("live work ends with %+v", r.refuse)
	}
	r := c.read("train", 0)
	if diff := cmp.Diff([]string{"t0 ", "t1 ", "t2 ", "t3 ", "t4 ", "t5 "}, r.tokens); diff != "" {
		t.Fatalf("tokens: %s", diff)
	}
	if diff := cmp.Diff([]string{"train", "live", "train.2"}, e.runs()); diff != "" {
		t.Fatalf("runs at the engine: %s", diff)
	}
}

// Guards against suspect work that crashes others with it, or is blamed for them.
func TestSoloWorkRunsAlone(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dial(t, d)
	c.work(completion("a", 1))
	<-e.starts
	w := completion("solo", 1)
	w.Solo = true
	c.work(w)
	c.work(completion("b", 1))
	if _, running := d.queues["e1"].Len(); running != 1 {
		t.Fatalf("%d run, want the first only", running)
	}
	e.let(3)
	for range 3 {
		c.next(link.Done)
	}
	if diff := cmp.Diff([]string{"a", "solo", "b"}, e.runs()); diff != "" {
		t.Fatalf("order: %s", diff)
	}
}

// Guards against a full queue that keeps work until its deadline, and against a refusal that is run after all.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", func(c *config) {
		oneSlot(c)
		c.Queue.Live = 1
	})
	c := dial(t, d)
	c.work(completion("a", 1))
	if a := c.work(completion("b", 1)); a.State != "queued" || a.Depth != 1 {
		t.Fatalf("ack %+v, want queued", a)
	}
	for range 2 {
		if r := c.refused(completion("c", 1)); r.Code != "busy" || r.Ran != "no" || r.Retry == 0 {
			t.Fatalf("refusal %+v, want busy", r)
		}
		// A late copy of the refused message must not run, even though there is room by then.
		e.let(1)
		c.next(link.Done)
	}
}

// Guards against work that waits beyond its deadline.
func TestDeadlinePassesInTheQueue(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", oneSlot)
	c := dial(t, d)
	c.work(completion("a", 1))
	w := completion("b", 1)
	w.Left = 50
	c.work(w)
	var r wire.Refuse
	_ = c.next(link.Refuse).Decode(&r)
	if r.Attempt != "b" || r.Code != "deadline" || r.Ran != "no" {
		t.Fatalf("refusal %+v, want deadline as not run", r)
	}
}

// Guards against work queued at a server that died, which would wait for its deadline.
func TestQueueOfALostServerIsRefused(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", oneSlot)
	c := dial(t, d)
	c.work(completion("a", 1))
	<-e.starts
	c.work(completion("b", 1))
	_ = e.Listener.Close()
	e.CloseClientConnections()
	seen := make(map[string]wire.Refuse)
	for range 2 {
		var r wire.Refuse
		_ = c.next(link.Refuse).Decode(&r)
		seen[r.Attempt] = r
	}
	if r := seen["a"]; r.Code != "crashed" || !r.Sole {
		t.Fatalf("running work: %+v", r)
	}
	if r := seen["b"]; r.Code != "no_upstream" || r.Ran != "no" || r.Retry == 0 {
		t.Fatalf("waiting work: %+v", r)
	}
	// A connection that was accepted while the listener closed is still answered.
	e.CloseClientConnections()
	eventually(t, "the server is down", func() bool { return !d.queues["e1"].Server().Up })
	if r := c.refused(completion("c", 1)); r.Code != "no_upstream" || r.Ran != "no" {
		t.Fatalf("new work: %+v", r)
	}
}
