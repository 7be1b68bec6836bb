package dispatch

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// scripted gives the n-th attempt the n-th script, and further attempts one that succeeds.
func scripted(scripts ...script) func(wire.Work) script {
	return func(wire.Work) script {
		if len(scripts) == 0 {
			return script{}
		}
		s := scripts[0]
		scripts = scripts[1:]
		return s
	}
}

// Guards against lost, repeated or mixed-up tokens when a stream is resumed on another server.
func TestResume(t *testing.T) {
	for _, end := range []string{"lost", "crash", "drain"} {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(4)
			p.script = scripted(script{end: end, after: 5}, script{end: "lost", after: 7})
			d := newDispatcher(p)
			var received []string
			j := newJob("a", 30)
			j.Sink = func(offset int, tokens []string, _ []wire.Span) {
				if offset != len(received) {
					t.Fatalf("%s: sink at %d, want %d", end, offset, len(received))
				}
				received = append(received, tokens...)
			}
			r, err := d.Run(t.Context(), j)
			if err != nil {
				t.Fatalf("%s: %v", end, err)
			}
			checkResult(t, r, "a", 30)
			if !slices.Equal(received, r.Tokens) {
				t.Fatalf("%s: sink got %v", end, received)
			}
			if len(r.Attempts) != 3 || r.Attempts[2].Outcome != "finished" {
				t.Fatalf("%s: attempts %+v", end, r.Attempts)
			}
			if held := p.streams[1].work.Held; len(held) < 5 {
				t.Fatalf("%s: resumed after %d tokens", end, len(held))
			}
			if !slices.Equal(p.dropped, []string{r.Attempt}) {
				t.Fatalf("%s: dropped %v, want %s", end, p.dropped, r.Attempt)
			}
		})
	}
}

// Guards against a started stream that is cut off because all servers are briefly busy.
func TestBusyAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		busy := script{refuse: refusal.New(refusal.Busy, refusal.NotRun, "full")}
		scripts := []script{{end: "lost", after: 4}}
		for range 25 {
			scripts = append(scripts, busy)
		}
		p.script = scripted(scripts...)
		r, err := newDispatcher(p).Run(t.Context(), newJob("a", 12))
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		checkResult(t, r, "a", 12)
	})
}

// Guards against requests that wait for a dead daemon as long as the pool waits for it to return.
func TestDaemonGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		p.script = scripted(script{end: "silent", after: 4})
		d := newDispatcher(p)
		time.AfterFunc(100*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			for i := range p.servers {
				if p.servers[i].Server.Name == p.streams[0].work.Server {
					p.servers[i].Linked = false
				}
			}
		})
		begin := time.Now()
		r, err := d.Run(t.Context(), newJob("a", 12))
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		checkResult(t, r, "a", 12)
		if p.starts != 2 || time.Since(begin) > 3*time.Second {
			t.Fatalf("%d attempts in %s of virtual time", p.starts, time.Since(begin))
		}
	})
}

// Guards against duplicate tokens when a daemon sends tokens that the entry already holds.
func TestRepeatedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		p.script = scripted(script{resend: true, end: "lost", after: 6}, script{resend: true})
		r, err := newDispatcher(p).Run(t.Context(), newJob("a", 12))
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		checkResult(t, r, "a", 12)
		if p.starts != 2 {
			t.Fatalf("%d attempts, want 2", p.starts)
		}
	})
}

// Guards against an answer that is generated again because only its end message was lost, and against a result without
// its attempt identifier, by which a sample is named.
func TestEndLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		p.script = scripted(script{end: "lost", after: 10})
		r, err := newDispatcher(p).Run(t.Context(), newJob("a", 10))
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		checkResult(t, r, "a", 10)
		if p.starts != 1 || r.Attempt != p.streams[0].work.Attempt || r.Server == "" {
			t.Fatalf("%d attempts, result of %q on %q", p.starts, r.Attempt, r.Server)
		}
	})
}

// Guards against a refusal that claims "not run" without proof, and against one that omits it despite proof.
func TestRan(t *testing.T) {
	no := refusal.New(refusal.Busy, refusal.NotRun, "full")
	unknown := refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "silent")
	for _, c := range []struct {
		scripts []script
		ran     refusal.Ran
		code    refusal.Code
	}{
		{[]script{{refuse: no}, {refuse: no}}, refusal.NotRun, refusal.Busy},
		{[]script{{refuse: no}, {refuse: unknown}}, refusal.Unknown, refusal.OutcomeUnknown},
		{[]script{{end: "silent"}}, refusal.Unknown, refusal.OutcomeUnknown},
		{[]script{{end: "silent", after: 3}}, refusal.Partial, refusal.Deadline},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(len(c.scripts))
			p.script = func(wire.Work) script { return c.scripts[min(p.starts, len(c.scripts))-1] }
			d := newDispatcher(p)
			_, err := d.Run(t.Context(), newJob("a", 10))
			if e := asRefusal(t, err); e.Ran() != c.ran || e.Code() != c.code {
				t.Fatalf("got %v, want %s (ran: %s)", e, c.code, c.ran)
			}
		})
	}
}

// Guards against work that is sent, and streams that keep running, after their caller has cancelled.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		d := newDispatcher(p)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(55*time.Millisecond, cancel)
		_, err := d.Run(ctx, newJob("a", 100))
		if e := asRefusal(t, err); e.Code() != refusal.Cancelled || e.Ran() != refusal.Partial {
			t.Fatalf("got %v", e)
		}
		synctest.Wait()
		if !p.streams[0].ended {
			t.Fatalf("stream was not cancelled")
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if n := d.serverSet(Engine, "m").fleet.Inflight(0); n != 0 {
			t.Fatalf("%d attempts still counted", n)
		}
	})
}

// Guards against retries that amplify an overload.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(8)
		p.script = func(wire.Work) script { return script{refuse: refusal.New(refusal.Busy, refusal.NotRun, "full")} }
		d := newDispatcher(p)
		const requests = 1000
		for range requests {
			if _, err := d.Run(t.Context(), newJob("a", 10)); err == nil {
				t.Fatalf("no refusal")
			}
		}
		if limit := requests*11/10 + initialBudget; p.starts > limit {
			t.Fatalf("%d attempts for %d requests, at most %d", p.starts, requests, limit)
		}
	})
}

// Guards against hedges beyond their budget, also when every server is late.
func TestHedgeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(8)
		n := 0
		p.script = func(wire.Work) script {
			n++
			return script{firstTokenDelay: time.Duration(n%7) * 400 * time.Millisecond}
		}
		d := newDispatcher(p)
		const requests = 1000
		for range requests {
			j := newJob("a", 4)
			j.Hedge = true
			r, err := d.Run(t.Context(), j)
			if err != nil {
				t.Fatalf("run: %v", err)
			}
			checkResult(t, r, "a", 4)
		}
		if n := d.Counts(); n.Requests != requests || int(n.Attempts) != p.starts || n.Requests+n.Hedges != n.Attempts {
			t.Fatalf("counts %+v, %d attempts", n, p.starts)
		}
		if limit := requests*105/100 + initialBudget; p.starts > limit || p.starts == requests {
			t.Fatalf("%d attempts for %d requests, at most %d", p.starts, requests, limit)
		}
	})
}

// Guards against a live request that waits for a hung server, and against a losing attempt that keeps running.
func TestHedge(t *testing.T) {
	for _, slow := range []script{{firstTokenDelay: 30 * time.Second}, {end: "silent", after: 3}, {tokenInterval: 800 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(4)
			d := newDispatcher(p)
			// Training waits long in queues, which must not raise the hedge delay of live work.
			for range 2 * minObservations {
				d.serverSet(Engine, "m").latency(Train).observe(60)
			}
			p.script = scripted(slow)
			j := newJob("a", 40)
			j.Hedge = true
			r, err := d.Run(t.Context(), j)
			if err != nil {
				t.Fatalf("run: %v", err)
			}
			checkResult(t, r, "a", 40)
			synctest.Wait()
			if len(p.streams) != 2 || !p.streams[0].ended || r.Attempt != p.streams[1].work.Attempt {
				t.Fatalf("%d attempts, first ended: %t", len(p.streams), p.streams[0].ended)
			}
			if r.Attempts[0].Outcome != "cancelled" {
				t.Fatalf("losing attempt is %s, want cancelled", r.Attempts[0].Outcome)
			}
		})
	}
}

// Guards against a request that crashes one server after another, and against blaming the requests that run beside it.
func TestPoison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(3)
		p.crashing["poison"] = true
		d := newDispatcher(p)
		var wg sync.WaitGroup
		for _, prompt := range []string{"a", "b", "c", "e", "f", "g", "h"} {
			wg.Go(func() {
				r, err := d.Run(t.Context(), newJob(prompt, 50))
				if err != nil {
					t.Errorf("bystander %s: %v", prompt, err)
					return
				}
				checkResult(t, r, prompt, 50)
			})
		}
		begin := time.Now()
		_, err := d.Run(t.Context(), newJob("poison", 50))
		if e := asRefusal(t, err); e.Code() != refusal.Poison || e.Ran() != refusal.Partial || e.RetryAfter() <= 0 {
			t.Fatalf("got %v, retry %s", e, e.RetryAfter())
		}
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("final refusal was delayed")
		}
		wg.Wait()
		runs := func() (n int) {
			for _, s := range p.streams {
				if s.work.Prompt == "poison" {
					n++
				}
			}
			return n
		}
		if runs() != 2 {
			t.Fatalf("poison ran %d times, want 2", runs())
		}
		_, err = d.Run(t.Context(), newJob("poison", 50))
		if e := asRefusal(t, err); e.Code() != refusal.Poison || e.Ran() != refusal.NotRun || runs() != 2 {
			t.Fatalf("sent again: %v after %d runs", e, runs())
		}
		time.Sleep(Defaults().SuspectTTL)
		p.crashing["poison"] = false
		if _, err := d.Run(t.Context(), newJob("poison", 50)); err != nil {
			t.Fatalf("suspicion does not expire: %v", err)
		}
	})
}

// Guards against blaming content that many requests share, such as the samples of a group, when one crash ends them
// all.
func TestCrashOfGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		p.servers[0].Server.Slots = 8
		p.crashing["poison"] = true
		d := newDispatcher(p)
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() {
				r, err := d.Run(t.Context(), newJob("same", 20))
				if err != nil {
					t.Errorf("bystander: %v", err)
					return
				}
				checkResult(t, r, "same", 20)
			})
		}
		_, err := d.Run(t.Context(), newJob("poison", 20))
		if e := asRefusal(t, err); e.Code() != refusal.Poison || p.crashes["poison"] != 2 {
			t.Fatalf("%v after %d crashes", e, p.crashes["poison"])
		}
		wg.Wait()
	})
}

// Guards against suspicions that are not shared with other entries, or that remain after a solo run has finished.
func TestSuspicionIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		p.script = scripted(script{end: "crash", after: 2})
		d := newDispatcher(p)
		var shared []wire.Suspect
		d.peers = peersFunc(func(s wire.Suspect) { shared = append(shared, s) })
		if _, err := d.Run(t.Context(), newJob("a", 5)); err != nil {
			t.Fatalf("run: %v", err)
		}
		if len(shared) != 2 || shared[0].Crashes != 1 || shared[1].Crashes != 0 {
			t.Fatalf("shared %+v", shared)
		}
		if !p.streams[1].work.Solo {
			t.Fatalf("suspect did not run alone")
		}
		shared[0].Crashes = 2
		d.Suspect(shared[0])
		_, err := d.Run(t.Context(), newJob("a", 5))
		if e := asRefusal(t, err); e.Code() != refusal.Poison || p.starts != 2 {
			t.Fatalf("got %v", e)
		}
		d.Suspect(shared[1])
		if _, err := d.Run(t.Context(), newJob("a", 5)); err != nil {
			t.Fatalf("refused although another entry cleared the suspicion: %v", err)
		}
	})
}

type peersFunc func(wire.Suspect)

func (f peersFunc) Suspect(s wire.Suspect) { f(s) }

// Guards against samples with tokens below the version floor.
func TestFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		p.servers[1].Server.Version = 8
		var floor atomic.Int64
		floor.Store(7)
		d := newDispatcher(p)
		j := newJob("a", 100)
		j.Work.Class = Train
		j.Floor = floor.Load
		p.servers[1].Server.Up = false
		time.AfterFunc(105*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			floor.Store(8)
			p.servers[1].Server.Up = true
		})
		r, err := d.Run(t.Context(), j)
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		checkResult(t, r, "a", 100)
		if r.Spans[0].Version != 8 || len(r.Spans) != 1 {
			t.Fatalf("spans %v below the floor", r.Spans)
		}
		floor.Store(7)
		time.AfterFunc(105*time.Millisecond, func() { floor.Store(9) })
		j.Sink = func(int, []string, []wire.Span) {}
		_, err = d.Run(t.Context(), j)
		if e := asRefusal(t, err); e.Code() != refusal.StaleVersion || e.Ran() != refusal.Partial {
			t.Fatalf("got %v", e)
		}
	})
}

// Guards against training jobs that are refused, and live ones that wait, when all servers are at capacity.
func TestFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		d := newDispatcher(p)
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				prompt := strings.Repeat("x", i+1)
				j := newJob(prompt, 20)
				j.Work.Class = Train
				r, err := d.Run(t.Context(), j)
				if err != nil {
					t.Errorf("train: %v", err)
					return
				}
				checkResult(t, r, prompt, 20)
			})
		}
		synctest.Wait()
		if p.starts != 8 {
			t.Fatalf("%d training attempts in flight on 4 slots, want 8", p.starts)
		}
		p.servers[0].Server.Slots = 1
		time.Sleep(30 * time.Millisecond)
		_, err := d.Run(t.Context(), newJob("live", 1))
		if e := asRefusal(t, err); e.Code() != refusal.Busy || e.Ran() != refusal.NotRun || e.RetryAfter() == 0 {
			t.Fatalf("got %v", e)
		}
		wg.Wait()
	})
}

// Guards against a trace store that grows without bound or loses attempts.
func TestExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		s := Defaults()
		s.MaxTraces = 2
		d := newDispatcher(p)
		d.traces = newTraces(s.MaxTraces)
		for _, prompt := range []string{"a", "b", "c"} {
			if _, err := d.Run(t.Context(), newJob(prompt, 2)); err != nil {
				t.Fatalf("run: %v", err)
			}
		}
		if _, ok := d.Explain("a"); ok || len(d.traces.byRequest) != 2 {
			t.Fatalf("oldest trace was not evicted")
		}
		e, ok := d.Explain("c")
		if !ok || e.State != "finished" || len(e.Tries) != 1 || e.Tries[0].Spans[0].Version != 7 {
			t.Fatalf("got %+v", e)
		}
	})
}
