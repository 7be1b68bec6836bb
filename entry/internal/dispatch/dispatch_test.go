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

// first gives the n-th attempt the n-th plan, and further attempts a good one.
func first(plans ...plan) func(wire.Work) plan {
	return func(wire.Work) plan {
		if len(plans) == 0 {
			return plan{}
		}
		k := plans[0]
		plans = plans[1:]
		return k
	}
}

// Guards against lost, repeated or mixed tokens when a stream goes on elsewhere.
func TestResume(t *testing.T) {
	for _, end := range []string{"lost", "crash", "drain"} {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(4)
			p.plan = first(plan{end: end, after: 5}, plan{end: "lost", after: 7})
			d := dispatcher(p)
			var sunk []string
			j := job("a", 30)
			j.Sink = func(offset int, tokens []string, _ []wire.Span) {
				if offset != len(sunk) {
					t.Fatalf("%s: sink at %d, want %d", end, offset, len(sunk))
				}
				sunk = append(sunk, tokens...)
			}
			r, err := d.Run(t.Context(), j)
			if err != nil {
				t.Fatalf("%s: %v", end, err)
			}
			check(t, r, "a", 30)
			if !slices.Equal(sunk, r.Tokens) {
				t.Fatalf("%s: sink got %v", end, sunk)
			}
			if len(r.Tries) != 3 || r.Tries[2].Outcome != "finished" {
				t.Fatalf("%s: tries %+v", end, r.Tries)
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

// Guards against a stream that is cut off in its middle because servers are busy for a moment.
func TestBusyAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		busy := plan{refuse: refusal.New(refusal.Busy, refusal.NotRun, "full")}
		plans := []plan{{end: "lost", after: 4}}
		for range 25 {
			plans = append(plans, busy)
		}
		p.plan = first(plans...)
		r, err := dispatcher(p).Run(t.Context(), job("a", 12))
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		check(t, r, "a", 12)
	})
}

// Guards against requests that wait for a daemon that has died as long as the pool hopes for its return.
func TestDaemonGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		p.plan = first(plan{end: "silent", after: 4})
		d := dispatcher(p)
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
		r, err := d.Run(t.Context(), job("a", 12))
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		check(t, r, "a", 12)
		if p.starts != 2 || time.Since(begin) > 3*time.Second {
			t.Fatalf("%d attempts in %s of virtual time", p.starts, time.Since(begin))
		}
	})
}

// Guards against tokens that appear twice when a daemon sends more than is missing.
func TestRepeatedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		p.plan = first(plan{repeat: true, end: "lost", after: 6}, plan{repeat: true})
		r, err := dispatcher(p).Run(t.Context(), job("a", 12))
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		check(t, r, "a", 12)
		if p.starts != 2 {
			t.Fatalf("%d attempts, want 2", p.starts)
		}
	})
}

// Guards against an answer that is made again because only its end was lost, and against a result without its attempt,
// which names a sample.
func TestEndLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		p.plan = first(plan{end: "lost", after: 10})
		r, err := dispatcher(p).Run(t.Context(), job("a", 10))
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		check(t, r, "a", 10)
		if p.starts != 1 || r.Attempt != p.streams[0].work.Attempt || r.Server == "" {
			t.Fatalf("%d attempts, result of %q on %q", p.starts, r.Attempt, r.Server)
		}
	})
}

// Guards against a claim of "not run" without proof, and against silence about work that did not run.
func TestRan(t *testing.T) {
	no := refusal.New(refusal.Busy, refusal.NotRun, "full")
	unknown := refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "silent")
	for _, c := range []struct {
		plans []plan
		ran   refusal.Ran
		code  refusal.Code
	}{
		{[]plan{{refuse: no}, {refuse: no}}, refusal.NotRun, refusal.Busy},
		{[]plan{{refuse: no}, {refuse: unknown}}, refusal.Unknown, refusal.OutcomeUnknown},
		{[]plan{{end: "silent"}}, refusal.Unknown, refusal.OutcomeUnknown},
		{[]plan{{end: "silent", after: 3}}, refusal.Partial, refusal.Deadline},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(len(c.plans))
			p.plan = func(wire.Work) plan { return c.plans[min(p.starts, len(c.plans))-1] }
			d := dispatcher(p)
			_, err := d.Run(t.Context(), job("a", 10))
			if e := code(t, err); e.Ran() != c.ran || e.Code() != c.code {
				t.Fatalf("got %v, want %s (ran: %s)", e, c.code, c.ran)
			}
		})
	}
}

// Guards against work that is sent although its caller has gone, and streams that are left running.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		d := dispatcher(p)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(55*time.Millisecond, cancel)
		_, err := d.Run(ctx, job("a", 100))
		if e := code(t, err); e.Code() != refusal.Cancelled || e.Ran() != refusal.Partial {
			t.Fatalf("got %v", e)
		}
		synctest.Wait()
		if !p.streams[0].over {
			t.Fatalf("stream was not cancelled")
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if n := d.route(Engine, "m").fleet.Inflight(0); n != 0 {
			t.Fatalf("%d attempts still counted", n)
		}
	})
}

// Guards against retries that add to an overload.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(8)
		p.plan = func(wire.Work) plan { return plan{refuse: refusal.New(refusal.Busy, refusal.NotRun, "full")} }
		d := dispatcher(p)
		const requests = 1000
		for range requests {
			if _, err := d.Run(t.Context(), job("a", 10)); err == nil {
				t.Fatalf("no refusal")
			}
		}
		if most := requests*11/10 + startLevel; p.starts > most {
			t.Fatalf("%d attempts for %d requests, at most %d", p.starts, requests, most)
		}
	})
}

// Guards against hedges beyond their budget, also when every server is late.
func TestHedgeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(8)
		n := 0
		p.plan = func(wire.Work) plan {
			n++
			return plan{wait: time.Duration(n%7) * 400 * time.Millisecond}
		}
		d := dispatcher(p)
		const requests = 1000
		for range requests {
			j := job("a", 4)
			j.Hedge = true
			r, err := d.Run(t.Context(), j)
			if err != nil {
				t.Fatalf("run: %v", err)
			}
			check(t, r, "a", 4)
		}
		if n := d.Counts(); n.Requests != requests || int(n.Attempts) != p.starts || n.Requests+n.Hedges != n.Attempts {
			t.Fatalf("counts %+v, %d attempts", n, p.starts)
		}
		if most := requests*105/100 + startLevel; p.starts > most || p.starts == requests {
			t.Fatalf("%d attempts for %d requests, at most %d", p.starts, requests, most)
		}
	})
}

// Guards against a live request that waits for a hung server, and against a loser that goes on running.
func TestHedge(t *testing.T) {
	for _, slow := range []plan{{wait: 30 * time.Second}, {end: "silent", after: 3}, {pace: 800 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(4)
			d := dispatcher(p)
			// Training waits long in queues, which says nothing of live work.
			for range 2 * lateSamples {
				d.route(Engine, "m").latency(Train).observe(60)
			}
			p.plan = first(slow)
			j := job("a", 40)
			j.Hedge = true
			r, err := d.Run(t.Context(), j)
			if err != nil {
				t.Fatalf("run: %v", err)
			}
			check(t, r, "a", 40)
			synctest.Wait()
			if len(p.streams) != 2 || !p.streams[0].over || r.Attempt != p.streams[1].work.Attempt {
				t.Fatalf("%d attempts, first over: %t", len(p.streams), p.streams[0].over)
			}
			if r.Tries[0].Outcome != "cancelled" {
				t.Fatalf("loser is %s", r.Tries[0].Outcome)
			}
		})
	}
}

// Guards against a request that crashes one server after another, and against blame on requests beside it.
func TestPoison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(3)
		p.crash["poison"] = true
		d := dispatcher(p)
		var wg sync.WaitGroup
		for _, prompt := range []string{"a", "b", "c", "e", "f", "g", "h"} {
			wg.Go(func() {
				r, err := d.Run(t.Context(), job(prompt, 50))
				if err != nil {
					t.Errorf("bystander %s: %v", prompt, err)
					return
				}
				check(t, r, prompt, 50)
			})
		}
		begin := time.Now()
		_, err := d.Run(t.Context(), job("poison", 50))
		if e := code(t, err); e.Code() != refusal.Poison || e.Ran() != refusal.Partial || e.Retry() <= 0 {
			t.Fatalf("got %v, retry %s", e, e.Retry())
		}
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("final answer was held")
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
		_, err = d.Run(t.Context(), job("poison", 50))
		if e := code(t, err); e.Code() != refusal.Poison || e.Ran() != refusal.NotRun || runs() != 2 {
			t.Fatalf("sent again: %v after %d runs", e, runs())
		}
		time.Sleep(Defaults().Suspicion)
		p.crash["poison"] = false
		if _, err := d.Run(t.Context(), job("poison", 50)); err != nil {
			t.Fatalf("suspicion does not expire: %v", err)
		}
	})
}

// Guards against blame on content that many requests share, such as the samples of a group, when one crash ends them all.
func TestCrashOfGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		p.servers[0].Server.Slots = 8
		p.crash["poison"] = true
		d := dispatcher(p)
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() {
				r, err := d.Run(t.Context(), job("same", 20))
				if err != nil {
					t.Errorf("bystander: %v", err)
					return
				}
				check(t, r, "same", 20)
			})
		}
		_, err := d.Run(t.Context(), job("poison", 20))
		if e := code(t, err); e.Code() != refusal.Poison || p.falls["poison"] != 2 {
			t.Fatalf("%v after %d crashes", e, p.falls["poison"])
		}
		wg.Wait()
	})
}

// Guards against suspicions that other entries do not learn of, or that a finished solo run leaves behind.
func TestSuspicionIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		p.plan = first(plan{end: "crash", after: 2})
		d := dispatcher(p)
		var shared []wire.Suspect
		d.peers = peers(func(s wire.Suspect) { shared = append(shared, s) })
		if _, err := d.Run(t.Context(), job("a", 5)); err != nil {
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
		_, err := d.Run(t.Context(), job("a", 5))
		if e := code(t, err); e.Code() != refusal.Poison || p.starts != 2 {
			t.Fatalf("got %v", e)
		}
		d.Suspect(shared[1])
		if _, err := d.Run(t.Context(), job("a", 5)); err != nil {
			t.Fatalf("cleared elsewhere: %v", err)
		}
	})
}

type peers func(wire.Suspect)

func (f peers) Suspect(s wire.Suspect) { f(s) }

// Guards against samples with tokens older than the floor allows.
func TestFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2)
		p.servers[1].Server.Version = 8
		var floor atomic.Int64
		floor.Store(7)
		d := dispatcher(p)
		j := job("a", 100)
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
		check(t, r, "a", 100)
		if r.Spans[0].Version != 8 || len(r.Spans) != 1 {
			t.Fatalf("spans %v below the floor", r.Spans)
		}
		floor.Store(7)
		time.AfterFunc(105*time.Millisecond, func() { floor.Store(9) })
		j.Sink = func(int, []string, []wire.Span) {}
		_, err = d.Run(t.Context(), j)
		if e := code(t, err); e.Code() != refusal.StaleVersion || e.Ran() != refusal.Partial {
			t.Fatalf("got %v", e)
		}
	})
}

// Guards against training jobs that are refused when all places are taken, and live ones that are held.
func TestFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		d := dispatcher(p)
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				prompt := strings.Repeat("x", i+1)
				j := job(prompt, 20)
				j.Work.Class = Train
				r, err := d.Run(t.Context(), j)
				if err != nil {
					t.Errorf("train: %v", err)
					return
				}
				check(t, r, prompt, 20)
			})
		}
		synctest.Wait()
		if p.starts != 8 {
			t.Fatalf("%d training attempts in flight on 4 slots, want 8", p.starts)
		}
		p.servers[0].Server.Slots = 1
		time.Sleep(30 * time.Millisecond)
		_, err := d.Run(t.Context(), job("live", 1))
		if e := code(t, err); e.Code() != refusal.Busy || e.Ran() != refusal.NotRun || e.Retry() == 0 {
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
		s.Traces = 2
		d := dispatcher(p)
		d.traces = newTraces(s.Traces)
		for _, prompt := range []string{"a", "b", "c"} {
			if _, err := d.Run(t.Context(), job(prompt, 2)); err != nil {
				t.Fatalf("run: %v", err)
			}
		}
		if _, ok := d.Explain("a"); ok || len(d.traces.traces) != 2 {
			t.Fatalf("oldest trace is kept")
		}
		e, ok := d.Explain("c")
		if !ok || e.State != "finished" || len(e.Tries) != 1 || e.Tries[0].Spans[0].Version != 7 {
			t.Fatalf("got %+v", e)
		}
	})
}
