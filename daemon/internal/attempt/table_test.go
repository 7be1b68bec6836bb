package attempt

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	limits = Limits{MaxBytes: 1 << 20, MaxKeys: 4, SampleRetention: 30 * time.Minute, ResultRetention: 2 * time.Minute}
)

func onceWork(id, key string, era int) wire.Work {
	return wire.Work{Attempt: id, Once: true, Key: key, Era: era, Call: &wire.Call{}, Left: 1000}
}

func mustAdmit(t *testing.T, tb *Table, now time.Time, w wire.Work) *Attempt {
	t.Helper()
	a, fresh, err := tb.Admit(now, w)
	if err != nil || !fresh {
		t.Fatalf("admit %s: fresh %t, %v", w.Attempt, fresh, err)
	}
	return a
}

// Guards against a delayed copy of a work message that runs after the first copy was refused as not run.
func TestRefusedAttemptStaysRefused(t *testing.T) {
	tb := NewTable("i", 100, start, limits)
	w := wire.Work{Attempt: "a", Max: 4, Left: 1000}
	tb.Refuse(start, mustAdmit(t, tb, start, w), refusal.New(refusal.Busy, refusal.NotRun, "full"))
	for _, later := range []time.Duration{time.Millisecond, Era} {
		if _, fresh, err := tb.Admit(start.Add(later), w); fresh || err == nil || err.Code() != refusal.Busy {
			t.Fatalf("after %v: fresh %t, %v, want the first refusal", later, fresh, err)
		}
	}
}

// Guards against a key of an expired era that is reported as not run or is started again.
func TestForgottenEraIsUnknown(t *testing.T) {
	tb := NewTable("i", 100, start, limits)
	a := mustAdmit(t, tb, start, onceWork("a", "k", 100))
	tb.Finish(start, a, End{Finish: "stop", Reply: &wire.Reply{Status: 200}})
	if f := tb.Ask(start, wire.Ask{Key: "k", Inc: "i", Era: 100}); f.State != "finished" {
		t.Fatalf("fate %q, want finished", f.State)
	}
	later := start.Add((keyEras + 1) * Era)
	tb.Sweep(later, time.Second)
	if f := tb.Ask(later, wire.Ask{Key: "k", Inc: "i", Era: 100}); f.State != "unknown" {
		t.Fatalf("fate %q, want unknown", f.State)
	}
	if _, _, err := tb.Admit(later, onceWork("b", "k", 100)); err == nil || err.Ran() != refusal.Unknown {
		t.Fatalf("work of an expired era: %v, want a refusal with an unknown outcome", err)
	}
}

// Guards against unbounded memory use by keys: the oldest era is removed first, and its keys are then reported as unknown.
func TestKeysAreBounded(t *testing.T) {
	tb := NewTable("i", 100, start, limits)
	later := start.Add(Era)
	for n := range limits.MaxKeys {
		tb.Ask(start, wire.Ask{Key: fmt.Sprint(n), Inc: "i", Era: 100})
	}
	if f := tb.Ask(start, wire.Ask{Key: "more", Inc: "i", Era: 100}); f.State != "unknown" {
		t.Fatalf("fate beyond the limit %q, want unknown", f.State)
	}
	if _, _, err := tb.Admit(start, onceWork("a", "more", 100)); err == nil || err.Code() != refusal.Busy {
		t.Fatalf("work beyond the limit: %v, want busy", err)
	}
	if f := tb.Ask(later, wire.Ask{Key: "x", Inc: "i", Era: 101}); f.State != "none" {
		t.Fatalf("fate in the next era %q, want none", f.State)
	}
	if f := tb.Ask(later, wire.Ask{Key: "0", Inc: "i", Era: 100}); f.State != "unknown" {
		t.Fatalf("fate in the removed era %q, want unknown", f.State)
	}
}

// Guards against finished samples that are removed before the owner of the step has committed them, and against results
// that are never removed.
func TestResultsStayUntilDropOrExpiry(t *testing.T) {
	tb := NewTable("i", 100, start, limits)
	slot := &wire.Slot{Run: "r", Step: 3, Group: "g"}
	for _, id := range []string{"sample", "dropped"} {
		a := mustAdmit(t, tb, start, wire.Work{Attempt: id, Max: 4, Slot: slot, Left: 1000})
		if err := a.Append(start, 0, []string{"x"}, 7); err != nil {
			t.Fatalf("append: %v", err)
		}
		tb.Finish(start, a, End{Finish: "stop"})
	}
	other := mustAdmit(t, tb, start, wire.Work{Attempt: "other", Max: 4, Left: 1000})
	tb.Finish(start, other, End{Finish: "stop"})
	tb.Drop(start, []string{"dropped"})
	tb.Sweep(start.Add(limits.ResultRetention+time.Second), time.Second)
	h := tb.Collect("r", 3)
	if len(h.Samples) != 1 || h.Samples[0].Attempt != "sample" || len(h.Samples[0].Tokens) != 1 {
		t.Fatalf("held samples %+v, want one with one token", h.Samples)
	}
	if a, err := tb.Find(start.Add(limits.ResultRetention), "other"); a != nil || err == nil {
		t.Fatalf("an expired result is still found, or not refused: %v", err)
	}
	tb.Sweep(start.Add(limits.SampleRetention+time.Second), time.Second)
	if n, bytes := tb.Retained(); n != 0 || bytes != 0 {
		t.Fatalf("%d results with %d bytes are left, want none", n, bytes)
	}
}

// Guards against unbounded memory use by results, and against samples that are evicted before less valuable results.
func TestBytesAreBounded(t *testing.T) {
	tb := NewTable("i", 100, start, Limits{MaxBytes: 3000, MaxKeys: 4, SampleRetention: time.Hour, ResultRetention: time.Hour})
	body := make([]byte, 1000)
	for n := range 4 {
		w := wire.Work{Attempt: fmt.Sprint(n), Max: 4, Left: 1000}
		if n == 0 {
			w.Slot = &wire.Slot{Run: "r"}
		}
		tb.Finish(start, mustAdmit(t, tb, start, w), End{Reply: &wire.Reply{Body: body}})
	}
	if _, bytes := tb.Retained(); bytes > 3000 {
		t.Fatalf("results use %d bytes, want at most 3000", bytes)
	}
	if a, _ := tb.Find(start, "0"); a == nil {
		t.Fatalf("the sample was evicted before other results")
	}
}

// Guards against output with a gap, with repeated tokens or with more tokens than requested.
func TestAppendKeepsOrder(t *testing.T) {
	a := newAttempt(start, wire.Work{Attempt: "a", Max: 4, Held: []string{"h"}, Spans: []wire.Span{{Version: 6}}})
	for _, s := range []struct {
		first  int
		tokens []string
		ok     bool
	}{
		{2, []string{"gap"}, false},
		{1, []string{"b", "c"}, true},
		{0, []string{"h", "b"}, true},
		{2, []string{"c", "d"}, true},
		{4, []string{"e"}, false},
	} {
		if err := a.Append(start, s.first, s.tokens, 7); (err == nil) != s.ok {
			t.Fatalf("append at %d: %v", s.first, err)
		}
	}
	if got := fmt.Sprint(a.Tokens()); got != "[h b c d]" {
		t.Fatalf("tokens %s", got)
	}
	if got := fmt.Sprint(a.Done().Spans); got != "[{0 0 6} {1 3 7}]" {
		t.Fatalf("spans %s", got)
	}
}

// claims models the claims of one key. Work is only sent in eras for which a claim was made, and a new claim is made only
// after proof that the key did not run under the last one. Copies of work may be delayed.
type claims struct {
	eras []int
	runs int
}

// Guards against a key that runs twice, or that runs after an entry was told that it never will, for any sequence of work,
// Ask, Finish, Drop, Sweep and passing time.
func TestAnyOrderRunsAKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := NewTable("i", 100, start, Limits{MaxBytes: 4000, MaxKeys: 6, SampleRetention: time.Minute, ResultRetention: time.Minute})
		now := start
		keys := [3]claims{{eras: []int{100}}, {eras: []int{100}}, {eras: []int{100}}}
		denied := make(map[string]bool) // by key and era
		var open []*Attempt
		for n := range rapid.IntRange(1, 150).Draw(t, "steps") {
			k := rapid.IntRange(0, len(keys)-1).Draw(t, "key")
			c := &keys[k]
			key, last := fmt.Sprint(k), c.eras[len(c.eras)-1]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				era := rapid.SampledFrom(c.eras).Draw(t, "era")
				a, fresh, _ := tb.Admit(now, onceWork(fmt.Sprint(n), key, era))
				if !fresh {
					continue
				}
				if denied[fmt.Sprint(key, era)] {
					t.Fatalf("key %s starts in era %d after it was reported as not run", key, era)
				}
				if c.runs++; c.runs > 1 {
					t.Fatalf("key %s runs twice", key)
				}
				open = append(open, a)
			case 1, 2:
				if f := tb.Ask(now, wire.Ask{Key: key, Inc: "i", Era: last}); f.State != "none" {
					continue
				}
				denied[fmt.Sprint(key, last)] = true
				if now := tb.Era(now); now > last {
					c.eras = append(c.eras, now)
				}
			case 3:
				if len(open) == 0 {
					continue
				}
				a := open[0]
				open = open[1:]
				e := End{Reply: &wire.Reply{Status: 200}}
				if rapid.Bool().Draw(t, "unstarted") {
					e = End{Refusal: refusal.New(refusal.Deadline, refusal.NotRun, "late")}
					w := a.Work()
					denied[fmt.Sprint(w.Key, w.Era)] = true
					keys[w.Key[0]-'0'].runs--
				}
				tb.Finish(now, a, e)
			case 4:
				tb.Drop(now, []string{fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id"))})
			case 5:
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Second)
				tb.Sweep(now, time.Second)
			}
		}
	})
}
