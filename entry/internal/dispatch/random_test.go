package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// drawScripts returns scripts for the attempts of one job. At most one is a crash, and none beside a poison request,
// since a second crash would rightly be attributed to the job.
func drawScripts(rt *rapid.T, name string, crashed bool) []script {
	var out []script
	for i, kind := range rapid.SliceOfN(rapid.IntRange(0, 8), 0, 5).Draw(rt, name) {
		s := script{after: rapid.IntRange(0, 12).Draw(rt, fmt.Sprintf("%s after %d", name, i))}
		switch kind {
		case 0:
			s.refuse = refusal.New(refusal.Busy, refusal.NotRun, "full")
		case 1:
			s.refuse = refusal.New(refusal.Leaving, refusal.NotRun, "leaving")
		case 2:
			s.refuse = refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "silent")
		case 3:
			s.end = "lost"
		case 4:
			s.end = "drain"
		case 5:
			if !crashed {
				s.end = "crash"
			}
			crashed = true
		case 6:
			s.tokenInterval = 500 * time.Millisecond
		case 7:
			s.firstTokenDelay = 5 * time.Second
		default:
			s.end, s.after = "silent", max(1, s.after)
		}
		out = append(out, s)
	}
	return out
}

type outcome struct {
	result Result
	err    error
}

// Guards, under any mix of failures, against wrong or mixed-up answers, false claims of "not run", attempts beyond the
// budgets, requests blamed for crashes of a poison request and capacity that is never released.
func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		jobs := rapid.IntRange(1, 12).Draw(rt, "jobs")
		scripts := make(map[string][]script)
		classes := rapid.SliceOfN(rapid.SampledFrom([]string{Live, Train}), jobs, jobs).Draw(rt, "classes")
		starts := rapid.SliceOfN(rapid.IntRange(0, 300), jobs, jobs).Draw(rt, "starts")
		hedge := rapid.Bool().Draw(rt, "hedge")
		poison := rapid.Bool().Draw(rt, "poison")
		for i := range jobs {
			prompt := fmt.Sprintf("p%d", i)
			scripts[prompt] = drawScripts(rt, prompt, poison)
		}
		if poison {
			scripts["p0"] = nil
		}
		p := newPool(3)
		p.crashing["p0"] = poison
		p.script = func(w wire.Work) script {
			remaining := scripts[w.Prompt]
			if len(remaining) == 0 {
				return script{}
			}
			scripts[w.Prompt] = remaining[1:]
			return remaining[0]
		}
		d := newDispatcher(p)
		outcomes := make([]outcome, jobs)
		synctest.Test(t, func(*testing.T) {
			var wg sync.WaitGroup
			for i := range jobs {
				wg.Go(func() {
					time.Sleep(time.Duration(starts[i]) * time.Millisecond)
					j := newJob(fmt.Sprintf("p%d", i), 20)
					j.Work.Class = classes[i]
					j.Hedge = hedge
					j.Deadline = time.Now().Add(10 * time.Minute)
					outcomes[i].result, outcomes[i].err = d.Run(context.Background(), j)
				})
			}
			wg.Wait()
			synctest.Wait()
		})
		for i, o := range outcomes {
			// A sample is never refused as poison, whatever its servers do.
			checkOutcome(rt, p, fmt.Sprintf("p%d", i), poison && i == 0 && classes[i] == Live, o)
		}
		checkSettled(rt, d, p, jobs)
	})
}

// checkOutcome compares what one caller received with what ran.
func checkOutcome(rt *rapid.T, p *fakePool, prompt string, poison bool, o outcome) {
	var refused *refusal.Error
	switch {
	case o.err == nil && poison:
		rt.Fatalf("poison was answered")
	case o.err == nil:
		checkResult(rt, o.result, prompt, 20)
		return
	case !errors.As(o.err, &refused):
		rt.Fatalf("%s: error is not a refusal: %v", prompt, o.err)
	}
	runs := p.runs[prompt]
	switch {
	case refused.Ran() == refusal.NotRun && runs > 0:
		rt.Fatalf("%s ran %d times, but was refused as not run", prompt, runs)
	case poison != (refused.Code() == refusal.Poison):
		rt.Fatalf("%s: %v", prompt, refused)
	case poison && p.crashes[prompt] != 2:
		rt.Fatalf("poison crashed %d servers, want 2", p.crashes[prompt])
	case refused.Code() == refusal.Deadline:
		rt.Fatalf("%s was refused only at its deadline", prompt)
	}
}

// checkSettled checks that all attempts, leases and probes have ended and that the retry budget was kept.
func checkSettled(rt *rapid.T, d *Dispatcher, p *fakePool, jobs int) {
	for i := range p.servers {
		if n := d.serverSet(Engine, "m").fleet.Inflight(d.serverSet(Engine, "m").fleet.Find(p.servers[i].Server.Name)); n != 0 {
			rt.Fatalf("%d attempts still counted as in flight on server %d", n, i)
		}
	}
	seen, repeats := map[string]bool{}, 0
	for _, s := range p.streams {
		if !s.ended {
			rt.Fatalf("an attempt of %s still runs", s.work.Prompt)
		}
		if seen[s.work.Prompt] && len(s.work.Held) == 0 {
			repeats++
		}
		seen[s.work.Prompt] = true
	}
	if limit := initialBudget + float64(jobs)*Defaults().RetryRatio; float64(repeats) > limit {
		rt.Fatalf("%d attempts repeated from the start for %d jobs, at most %.1f", repeats, jobs, limit)
	}
	for fingerprint, e := range d.suspects.entries {
		if e.probing {
			rt.Fatalf("solo run of suspect %d has not ended", fingerprint)
		}
	}
}
