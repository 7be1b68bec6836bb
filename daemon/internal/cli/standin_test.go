package cli

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"bulrushspoke/internal/link"
	standin "bulrushspoke/standin/engine"
	"bulrushspoke/standin/report"
	"bulrushspoke/standin/token"
	"bulrushspoke/wire"
)

const marker = "<crash>"

// serveEngine runs the stand-in of an engine and returns it with its URL.
func serveEngine(t *testing.T, slots int) (*standin.Engine, string) {
	t.Helper()
	e := standin.New(standin.Config{
		Model: "plan", Version: 1, Slots: slots, Rate: 400, Cache: 64, Swap: 20 * time.Millisecond,
		Restart: 100 * time.Millisecond, Marker: marker,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Serve(ctx, l) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("engine: %v", err)
		}
	})
	return e, "http://" + l.Addr().String()
}

// checkText fails unless the tokens are those of the prompt, each once and in order, from version to version.
func checkText(t *testing.T, prompt string, tokens []string, spans []wire.Span) {
	t.Helper()
	versions := make([]int64, len(tokens))
	for _, s := range spans {
		for n := s.First; n <= s.Last; n++ {
			versions[n] = s.Version
		}
	}
	for n, text := range tokens {
		k, err := token.Parse(text)
		if err != nil || k.Index != n || k.Hash != token.Hash(prompt) || k.Version != versions[n] {
			t.Fatalf("token %d of version %d is %q, %v", n, versions[n], text, err)
		}
	}
}

// Guards against a swap that fails partway, an engine that falls back in a crash, and tokens that are attributed to
// a version that did not make them.
func TestStandinLoadsAndFallsBack(t *testing.T) {
	e, url := serveEngine(t, 4)
	s := newFakeStore(t)
	d := startDaemon(t, url, "", func(c *config) { c.Store.URL = s.URL })
	c := dial(t, d)
	fails := 2
	e.Control(report.EngineControl{Fail: &fails}, time.Now())
	w := completion("a", 400)
	c.work(w)
	c.next(link.Chunk)
	c.target(2, 50)
	at := func(v int64) func() bool {
		return func() bool { return d.queues["e1"].Server().Up && d.queues["e1"].Server().Version == v }
	}
	eventually(t, "version 2 is read back", at(2))
	var done wire.Done
	_ = c.next(link.Done).Decode(&done)
	a, _ := d.table.Find(time.Now(), "a")
	checkText(t, w.Prompt, a.Tokens(), done.Spans)
	e.Crash()
	eventually(t, "the engine crashed and was repaired", func() bool {
		h := e.History()
		return h.Crashes == 1 && at(2)() && h.Loads[len(h.Loads)-1].Outcome == "loaded"
	})
}

// Guards against blame of work that ran beside a crash, and against tokens that are lost in it: the work goes on
// elsewhere with its tokens, here on the same engine.
func TestStandinCrashesOnOneRequest(t *testing.T) {
	_, url := serveEngine(t, 4)
	d := startDaemon(t, url, "", nil)
	c := dial(t, d)
	c.work(completion("innocent", 300))
	c.next(link.Chunk)
	bad := completion("bad", 20)
	bad.Prompt = "plant " + marker
	c.work(bad)
	refused := make(map[string]wire.Refuse)
	for range 2 {
		var r wire.Refuse
		_ = c.next(link.Refuse).Decode(&r)
		refused[r.Attempt] = r
	}
	for id, r := range refused {
		if !r.Crashed || r.Sole || r.Ran != "partial" {
			t.Fatalf("%s: %+v, want a crash that nobody is blamed for", id, r)
		}
	}
	eventually(t, "the engine is back", func() bool { return d.queues["e1"].Server().Up })
	a, _ := d.table.Find(time.Now(), "innocent")
	again := completion("again", 300)
	again.Held, again.Offset = a.Tokens(), len(a.Tokens())
	again.Spans = a.Done().Spans
	r := c.retry(again)
	if r.done == nil || r.done.Total > 300 {
		t.Fatalf("end %+v %+v", r.done, r.refuse)
	}
	checkText(t, again.Prompt, append(again.Held, r.tokens...), r.done.Spans)
	bad.Attempt, bad.Solo = "alone", true
	c.work(bad)
	if r := c.read("alone", 0); r.refuse == nil || !r.refuse.Crashed || !r.refuse.Sole {
		t.Fatalf("end %+v %+v, want a crash when alone", r.done, r.refuse)
	}
}

// retry sends work until it is not refused for a server that does not answer, as an entry does. The state of a server
// can still say that it answers when its crash has just ended the streams.
func (e *entryLink) retry(w wire.Work) result {
	e.t.Helper()
	id := w.Attempt
	for n := range 500 {
		w.Attempt = fmt.Sprintf("%s-%d", id, n)
		var a wire.Ack
		if e.call(link.Work, w, &a) == link.Ack {
			r := e.read(w.Attempt, w.Offset)
			if r.refuse == nil || r.refuse.Code != "no_upstream" || r.refuse.Ran != "no" {
				return r
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.t.Fatalf("work %s: the server does not answer again", id)
	return result{}
}

// Guards against streams that lose or repeat tokens while they are preempted and resumed again and again.
func TestStandinManyPreemptions(t *testing.T) {
	e, url := serveEngine(t, 2)
	d := startDaemon(t, url, "", func(c *config) { c.Servers[0].Slots = 2 })
	c, other := dial(t, d), dial(t, d)
	trains := []string{"t0", "t1", "t2"}
	for _, id := range trains {
		w := completion(id, 250)
		w.Class, w.Predicted, w.Prompt = "train", 2000, "train "+id
		c.work(w)
	}
	for n := range 6 {
		id := "live" + strings.Repeat("x", n)
		other.work(completion(id, 30))
		if r := other.read(id, 0); r.done == nil {
			t.Fatalf("live work is refused: %+v", r.refuse)
		}
	}
	for range trains {
		var done wire.Done
		_ = c.next(link.Done).Decode(&done)
		a, _ := d.table.Find(time.Now(), done.Attempt)
		checkText(t, a.Work().Prompt, a.Tokens(), done.Spans)
	}
	resumed := 0
	for _, r := range e.History().Runs {
		if r.Held > 0 {
			resumed++
		}
	}
	if resumed == 0 {
		t.Fatalf("no training stream was preempted and resumed")
	}
}
