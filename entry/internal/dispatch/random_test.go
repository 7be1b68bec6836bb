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

// drawPlans returns the behaviour of the attempts of one job. At most one is a crash, and none beside a poison request,
// since a second one would rightly be blamed on the job.
func drawPlans(rt *rapid.T, name string, crashed bool) []plan {
	var out []plan
	for i, kind := range rapid.SliceOfN(rapid.IntRange(0, 8), 0, 5).Draw(rt, name) {
		k := plan{after: rapid.IntRange(0, 12).Draw(rt, fmt.Sprintf("%s after %d", name, i))}
		switch kind {
		case 0:
			k.refuse = refusal.New(refusal.Busy, refusal.NotRun, "full")
		case 1:
			k.refuse = refusal.New(refusal.Leaving, refusal.NotRun, "leaving")
		case 2:
			k.refuse = refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "silent")
		case 3:
			k.end = "lost"
		case 4:
			k.end = "drain"
		case 5:
			if !crashed {
				k.end = "crash"
			}
			crashed = true
		case 6:
			k.pace = 500 * time.Millisecond
		case 7:
			k.wait = 5 * time.Second
		default:
			k.end, k.after = "silent", max(1, k.after)
		}
		out = append(out, k)
	}
	return out
}

type outcome struct {
	result Result
	err    error
}

// Guards against wrong or mixed answers, false claims of "not run", attempts beyond the budgets, blame on bystanders of
// a poison request and places that are never given back, under any mix of failures.
func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		jobs := rapid.IntRange(1, 12).Draw(rt, "jobs")
		plans := make(map[string][]plan)
		classes := rapid.SliceOfN(rapid.SampledFrom([]string{Live, Train}), jobs, jobs).Draw(rt, "classes")
		starts := rapid.SliceOfN(rapid.IntRange(0, 300), jobs, jobs).Draw(rt, "starts")
		hedge := rapid.Bool().Draw(rt, "hedge")
		poison := rapid.Bool().Draw(rt, "poison")
		for i := range jobs {
			prompt := fmt.Sprintf("p%d", i)
			plans[prompt] = drawPlans(rt, prompt, poison)
		}
		if poison {
			plans["p0"] = nil
		}
		p := newPool(3)
		p.crash["p0"] = poison
		p.plan = func(w wire.Work) plan {
			l := plans[w.Prompt]
			if len(l) == 0 {
				return plan{}
			}
			plans[w.Prompt] = l[1:]
			return l[0]
		}
		d := dispatcher(p)
		outcomes := make([]outcome, jobs)
		synctest.Test(t, func(*testing.T) {
			var wg sync.WaitGroup
			for i := range jobs {
				wg.Go(func() {
					time.Sleep(time.Duration(starts[i]) * time.Millisecond)
					j := job(fmt.Sprintf("p%d", i), 20)
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
			judge(rt, p, fmt.Sprintf("p%d", i), poison && i == 0, o)
		}
		settled(rt, d, p, jobs)
	})
}

// judge compares what one caller got with what ran.
func judge(rt *rapid.T, p *pool, prompt string, poison bool, o outcome) {
	var refused *refusal.Error
	switch {
	case o.err == nil && poison:
		rt.Fatalf("poison was answered")
	case o.err == nil:
		check(rt, o.result, prompt, 20)
		return
	case !errors.As(o.err, &refused):
		rt.Fatalf("%s: error without type: %v", prompt, o.err)
	}
	runs := p.runs[prompt]
	switch {
	case refused.Ran() == refusal.NotRun && runs > 0:
		rt.Fatalf("%s ran %d times, but was refused as not run", prompt, runs)
	case poison != (refused.Code() == refusal.Poison):
		rt.Fatalf("%s: %v", prompt, refused)
	case poison && p.falls[prompt] != 2:
		rt.Fatalf("poison crashed %d servers, want 2", p.falls[prompt])
	case refused.Code() == refusal.Deadline:
		rt.Fatalf("%s was held until its deadline", prompt)
	}
}

// settled checks the books after all jobs.
func settled(rt *rapid.T, d *Dispatcher, p *pool, jobs int) {
	for i := range p.servers {
		if n := d.route(Engine, "m").fleet.Inflight(d.route(Engine, "m").fleet.Find(p.servers[i].Server.Name)); n != 0 {
			rt.Fatalf("%d attempts still counted on server %d", n, i)
		}
	}
	seen, repeats := map[string]bool{}, 0
	for _, s := range p.streams {
		if !s.over {
			rt.Fatalf("an attempt of %s still runs", s.work.Prompt)
		}
		if seen[s.work.Prompt] && len(s.work.Held) == 0 {
			repeats++
		}
		seen[s.work.Prompt] = true
	}
	if most := startLevel + float64(jobs)*Defaults().RetryRatio; float64(repeats) > most {
		rt.Fatalf("%d repeats from nothing for %d jobs, at most %.1f", repeats, jobs, most)
	}
	for print, e := range d.suspects.entries {
		if e.trial {
			rt.Fatalf("suspect %d stays on trial", print)
		}
	}
}
