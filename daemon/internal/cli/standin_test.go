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

// startStandin runs the stand-in engine and returns it with its URL.
func startStandin(t *testing.T, slots int) (*standin.Engine, string) {
	t.Helper()
	e := standin.New(standin.Config{
		Model: "plan", Version: 1, Slots: slots, Rate: 400, CacheBlocks: 64, LoadTime: 20 * time.Millisecond,
		RestartTime: 100 * time.Millisecond, Marker: marker,
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

// checkTokens fails unless the tokens belong to the prompt, each once and in order, with the weight versions in spans.
func checkTokens(t *testing.T, prompt string, tokens []string, spans []wire.Span) {
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

// Guards against a weight load that fails midway, an engine that reverts to old weights after a crash, and tokens
// attributed to a weight version that did not generate them.
func TestStandinReloadsAfterCrash(t *testing.T) {
	e, url := startStandin(t, 4)
	s := newFakeStore(t)
	d := startDaemon(t, url, "", func(c *config) { c.Store.URL = s.URL })
	c := dialDaemon(t, d)
	fails := 2
	e.Control(report.EngineControl{Fail: &fails}, time.Now())
	w := completionWork("a", 400)
	c.submit(w)
	c.nextFrame(link.Chunk)
	c.sendTarget(2, 50)
	runsVersion := func(v int64) func() bool {
		return func() bool { return d.queues["e1"].Server().Up && d.queues["e1"].Server().Version == v }
	}
	eventually(t, "the engine reports version 2", runsVersion(2))
	var done wire.Done
	_ = c.nextFrame(link.Done).Decode(&done)
	a, _ := d.table.Find(time.Now(), "a")
	checkTokens(t, w.Prompt, a.Tokens(), done.Spans)
	e.Crash()
	eventually(t, "the engine reloaded version 2 after its crash", func() bool {
		h := e.History()
		return h.Crashes == 1 && runsVersion(2)() && h.Loads[len(h.Loads)-1].Outcome == "loaded"
	})
}

// Guards against blaming requests that were running when another one crashed the engine, and against losing their
// tokens: they are resumed with the tokens so far, here on the same engine.
func TestStandinCrashedByRequest(t *testing.T) {
	_, url := startStandin(t, 4)
	d := startDaemon(t, url, "", nil)
	c := dialDaemon(t, d)
	c.submit(completionWork("innocent", 300))
	c.nextFrame(link.Chunk)
	crashing := completionWork("bad", 20)
	crashing.Prompt = "plant " + marker
	c.submit(crashing)
	refused := make(map[string]wire.Refuse)
	for range 2 {
		var r wire.Refuse
		_ = c.nextFrame(link.Refuse).Decode(&r)
		refused[r.Attempt] = r
	}
	for id, r := range refused {
		if !r.Crashed || r.Sole || r.Ran != "partial" {
			t.Fatalf("%s: %+v, want a crash with sole false", id, r)
		}
	}
	eventually(t, "the engine is up again", func() bool { return d.queues["e1"].Server().Up })
	a, _ := d.table.Find(time.Now(), "innocent")
	again := completionWork("again", 300)
	again.Held, again.Offset = a.Tokens(), len(a.Tokens())
	again.Spans = a.Done().Spans
	r := c.submitUntilUp(again)
	if r.done == nil || r.done.Total > 300 {
		t.Fatalf("end %+v %+v", r.done, r.refuse)
	}
	checkTokens(t, again.Prompt, append(again.Held, r.tokens...), r.done.Spans)
	crashing.Attempt, crashing.Solo = "alone", true
	c.submit(crashing)
	if r := c.readResult("alone", 0); r.refuse == nil || !r.refuse.Crashed || !r.refuse.Sole {
		t.Fatalf("end %+v %+v, want a crash with sole true", r.done, r.refuse)
	}
}

// submitUntilUp sends work again while it is refused because the server is down, as an entry does. Just after a crash has
// ended the streams, the state of the server may still be up.
func (e *entryLink) submitUntilUp(w wire.Work) result {
	e.t.Helper()
	id := w.Attempt
	for n := range 500 {
		w.Attempt = fmt.Sprintf("%s-%d", id, n)
		var a wire.Ack
		if e.call(link.Work, w, &a) == link.Ack {
			r := e.readResult(w.Attempt, w.Offset)
			if r.refuse == nil || r.refuse.Code != "no_upstream" || r.refuse.Ran != "no" {
				return r
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.t.Fatalf("work %s: the server did not come up again", id)
	return result{}
}

// Guards against streams that lose or repeat tokens when they are preempted and resumed many times.
func TestStandinRepeatedPreemption(t *testing.T) {
	e, url := startStandin(t, 2)
	d := startDaemon(t, url, "", func(c *config) { c.Servers[0].Slots = 2 })
	c, other := dialDaemon(t, d), dialDaemon(t, d)
	trainIDs := []string{"t0", "t1", "t2"}
	for _, id := range trainIDs {
		w := completionWork(id, 250)
		w.Class, w.Predicted, w.Prompt = "train", 2000, "train "+id
		c.submit(w)
	}
	for n := range 6 {
		id := "live" + strings.Repeat("x", n)
		other.submit(completionWork(id, 30))
		if r := other.readResult(id, 0); r.done == nil {
			t.Fatalf("live work was refused: %+v", r.refuse)
		}
	}
	for range trainIDs {
		var done wire.Done
		_ = c.nextFrame(link.Done).Decode(&done)
		a, _ := d.table.Find(time.Now(), done.Attempt)
		checkTokens(t, a.Work().Prompt, a.Tokens(), done.Spans)
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
