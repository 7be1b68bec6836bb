package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bulrushspoke/internal/job"
	"bulrushspoke/platform"
	"bulrushspoke/scenario/rig"
)

// regressions are seeds that broke a promise once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{2, "an entry that was given a job late, after another had taken it over, showed less of it than was read before"},
	{302, "an entry missed a configuration: it was paused while another told it of the change, and its own watch had gone silent"},
}

// firstSeeds are played each time beside the regressions, two by two.
var firstSeeds = []uint64{1}

const testLimit = 3 * time.Minute

// TestSoak plays a few seeds; make soak plays many.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("plays half a minute for each seed")
	}
	bin := t.TempDir()
	root := filepath.Join("..", "..")
	if err := rig.Build(root, bin, map[string]string{"bulrush-entry": "entry", "bulrush-daemon": "daemon"}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	seeds := firstSeeds
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	t.Run("seeds", func(t *testing.T) {
		for i, seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				network := firstNetwork + (os.Getpid()+i)%(lastNetwork-firstNetwork+1)
				logs, err := os.MkdirTemp("", "soak")
				if err != nil {
					t.Fatal(err)
				}
				o, err := play(ctx, bin, logs, network, seed, size{entries: 3, engines: 4, plain: 2, models: 2})
				if err != nil {
					t.Fatal(err)
				}
				t.Log(o)
				if len(o.verdicts) > 0 {
					t.Fatalf("the logs are kept in %s", logs)
				}
				if err := os.RemoveAll(logs); err != nil {
					t.Error(err)
				}
			})
		}
	})
}

// Guards against a ledger that finds nothing: each case breaks one promise.
func TestLedger(t *testing.T) {
	now := time.Now()
	accepted := func(l *ledger) *batch {
		b := l.submits(job.Job{ID: "j", MinVersion: 2, Items: []job.Item{
			{ID: "i", Path: "/items-of/m/2", Body: []byte("x")}, {ID: "k", Path: "/items-of/m/1", Body: []byte("y")},
		}})
		l.accepted(b, now.Add(-time.Minute))
		return b
	}
	page := func(text string, versions ...int) job.Page {
		return job.Page{Total: 2, Next: 1, Results: []job.Result{{Item: "i", Text: text, Versions: versions}}}
	}
	asked := func(l *ledger, unsafe bool) *request {
		q := &request{id: "q", line: "POST /safe/q", body: "b", route: "safe", unsafe: unsafe, sent: now}
		l.asks(q)
		return q
	}
	for _, tc := range []struct {
		rule  string
		wrong func(l *ledger)
	}{
		{"TWICE", func(l *ledger) {
			asked(l, true)
			l.ran("q", "s", "cards", "POST /safe/q", "b", now)
			l.ran("q", "s", "cards", "POST /safe/q", "b", now)
		}},
		{"BUDGET", func(l *ledger) {
			asked(l, false)
			for range plainAttempts + 1 {
				l.ran("q", "s", "cards", "POST /safe/q", "b", now)
			}
		}},
		{"BUDGET", func(l *ledger) {
			asked(l, false)
			for range crashesAllowed {
				l.poisoned("b", "q", now.Add(-2*contact))
			}
			for range crashesAllowed + 1 {
				l.poisoned("b", "q", now)
			}
		}},
		{"UNASKED", func(l *ledger) { l.ran("other", "s", "cards", "POST /safe/q", "b", now) }},
		{"UNASKED", func(l *ledger) { asked(l, false); l.ran("q", "s", "cards", "POST /safe/r", "b", now) }},
		{"UNASKED", func(l *ledger) { l.began("i", "s", "/items-of/m/2", "x", now) }},
		{"UNASKED", func(l *ledger) {
			l.ended(accepted(l), now.Add(-2*cancelLag))
			l.began("i", "s", "/items-of/m/2", "x", now)
		}},
		{"ROUTE", func(l *ledger) { asked(l, false); l.ran("q", "s", "tables", "POST /safe/q", "b", now) }},
		{"DRAIN", func(l *ledger) {
			asked(l, true)
			l.drains("s", now.Add(-2*drainLag))
			l.ran("q", "s", "cards", "POST /safe/q", "b", now)
		}},
		{"DRAIN", func(l *ledger) {
			accepted(l)
			l.drains("s", now.Add(-2*drainLag))
			l.began("i", "s", "/items-of/m/2", "x", now)
		}},
		{"REFUSED", func(l *ledger) {
			q := asked(l, true)
			l.ran("q", "s", "cards", "POST /safe/q", "b", now)
			l.got(q, 503, false, "")
		}},
		{"REFUSED", func(l *ledger) {
			b := l.submits(job.Job{ID: "j", Items: []job.Item{{ID: "i"}}})
			l.refused(b)
			l.finished("i")
			l.finish()
		}},
		{"MIXED", func(l *ledger) {
			q := asked(l, false)
			l.answered("q", "fine")
			l.got(q, 200, true, "fin")
		}},
		{"MIXED", func(l *ledger) {
			q := asked(l, false)
			l.answered("q", "fine")
			l.got(q, 200, false, "fine")
		}},
		{"MIXED", func(l *ledger) { l.page(accepted(l), 0, page("i.1.2", 2)) }},
		{"MIXED", func(l *ledger) { l.page(accepted(l), 0, job.Page{Total: 3}) }},
		{"MIXED", func(l *ledger) {
			l.page(accepted(l), 0, job.Page{Total: 2, Next: 1, Results: []job.Result{{Item: "i", State: job.Terminated}}})
		}},
		{"MIXED", func(l *ledger) { l.body(accepted(l), "i", []byte("z"), 0, now) }},
		{"DENIED", func(l *ledger) { l.got(asked(l, false), 404, false, "") }},
		{"DENIED", func(l *ledger) { l.got(asked(l, false), 403, false, "") }},
		{"LOST", func(l *ledger) { l.lost(asked(l, false), now.Add(2*lossSlack)) }},
		{"LOST", func(l *ledger) { l.absent(accepted(l), 0, now) }},
		{"LOST", func(l *ledger) { l.body(accepted(l), "i", nil, 0, now) }},
		{"ORDER", func(l *ledger) { l.made("i.1.2"); l.page(accepted(l), 0, page("i.1.2\ni.1.2", 2)) }},
		{"ORDER", func(l *ledger) { l.made("i.1.2"); l.page(accepted(l), 0, page("i.1.2\ni.2.2", 2)) }},
		{"VERSION", func(l *ledger) {
			l.made("i.1.1")
			l.made("i.2.2")
			l.page(accepted(l), 0, page("i.1.1\ni.2.2", 1, 2))
		}},
		{"VERSION", func(l *ledger) {
			l.made("i.1.2")
			l.made("i.2.3")
			l.page(accepted(l), 0, page("i.1.2\ni.2.3", 3))
		}},
		{"TWICE", func(l *ledger) {
			b := accepted(l)
			l.made("i.1.2")
			l.made("i.2.2")
			l.page(b, 0, page("i.1.2\ni.2.2", 2))
			l.page(b, 1, job.Page{Total: 2, Next: 2, Results: page("i.1.2\ni.2.2", 2).Results})
		}},
		{"TWICE", func(l *ledger) {
			b := accepted(l)
			l.made("i.1.2")
			l.made("i.2.2")
			l.page(b, 0, page("i.1.2\ni.2.2", 2))
			l.page(b, 0, job.Page{Total: 2, Next: 1, Results: []job.Result{{Item: "k", Text: "k.1.2", Versions: []int{2}}}})
		}},
		{"ONE", func(l *ledger) {
			l.ordered("e", platform.Order{Holder: "a", Fence: 3})
			l.ordered("e", platform.Order{Holder: "b", Fence: 4})
		}},
		{"ONE", func(l *ledger) {
			l.ordered("e", platform.Order{Holder: "a", Fence: 3})
			l.ordered("e", platform.Order{Holder: "a", Fence: 2})
		}},
		{"GONE", func(l *ledger) {
			for i := range 4 {
				q := &request{id: fmt.Sprint(i), line: "POST /safe/q", body: "b", route: "safe", sent: now}
				l.asks(q)
				l.ran(q.id, "s", "cards", "POST /safe/q", "b", now)
				l.leaves(q, now)
				l.abandoned(q.id, now.Add(2*goneLag))
			}
			l.finish()
		}},
	} {
		l := newLedger(now.Add(-time.Hour))
		l.configure(map[string]string{"safe": "cards"}, now.Add(-time.Hour))
		tc.wrong(l)
		if len(l.verdicts) != 1 || !strings.HasPrefix(l.verdicts[0], tc.rule+" ") {
			t.Errorf("want one broken rule, %s: %q", tc.rule, l.verdicts)
		}
	}
}

// Guards against verdicts on what disturbed entries may do.
func TestLedgerExcuses(t *testing.T) {
	now := time.Now()
	l := newLedger(now.Add(-time.Hour))
	l.configure(map[string]string{"safe": "cards"}, now.Add(-time.Hour))
	l.disturb(0, false)()
	q := &request{id: "q", route: "safe", sent: now.Add(-time.Second)}
	l.asks(q)
	l.lost(q, now.Add(time.Second))
	b := l.submits(job.Job{ID: "j", Items: []job.Item{{ID: "i"}}})
	l.accepted(b, now.Add(-time.Minute))
	l.absent(b, 0, now)
	if len(l.verdicts) > 0 {
		t.Errorf("verdicts: %q", l.verdicts)
	}
	l.absent(b, 1, now)
	if len(l.verdicts) != 1 {
		t.Errorf("another entry is excused too: %q", l.verdicts)
	}
}
