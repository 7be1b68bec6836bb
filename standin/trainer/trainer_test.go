package trainer_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"bulrushspoke/standin/token"
	"bulrushspoke/standin/trainer"
	"bulrushspoke/wire"
)

const slots = 4

// entry is a fake entry that returns one sample per pull; the cursor is the number of samples returned so far.
type entry struct {
	t      *testing.T
	step   wire.StepRequest
	change func(a *wire.PullAnswer)
	fail   func(pull int) bool
	pulls  int
	opens  int
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/steps":
		e.opens++
		_ = json.NewDecoder(r.Body).Decode(&e.step)
	case strings.HasSuffix(r.URL.Path, "/pull"):
		e.pulls++
		if e.fail != nil && e.fail(e.pulls) {
			panic(http.ErrAbortHandler)
		}
		var q wire.PullRequest
		_ = json.NewDecoder(r.Body).Decode(&q)
		n, _ := strconv.Atoi(q.Cursor)
		text := token.Make(e.step.Groups[0].Prompt, 0, 5)
		a := wire.PullAnswer{
			Cursor: strconv.Itoa(n + 1), Checked: q.Version, Left: slots - n - 1, Done: n+1 == slots,
			Samples: []wire.Sample{{
				Group: "g0", Index: n, Text: text, Tokens: 1, Spans: []wire.Span{{Version: 5}},
			}},
		}
		if e.change != nil {
			e.change(&a)
		}
		_ = json.NewEncoder(w).Encode(a)
	}
}

// Guards against a trainer that does not report a violation by an entry, or reports one for correct responses and for
// connections that break.
func TestChecks(t *testing.T) {
	for name, c := range map[string]struct {
		entry entry
		want  string
	}{
		"good":      {entry{}, ""},
		"broken":    {entry{fail: func(n int) bool { return n == 2 || n == 3 }}, ""},
		"duplicate": {entry{change: func(a *wire.PullAnswer) { a.Samples[0].Index = 0 }}, "received twice"},
		"stale": {entry{change: func(a *wire.PullAnswer) {
			a.Samples[0].Text = strings.ReplaceAll(a.Samples[0].Text, ".5 ", ".3 ")
			a.Samples[0].Spans[0].Version = 3
		}}, "2 versions old"},
		"attributed": {entry{change: func(a *wire.PullAnswer) { a.Samples[0].Spans[0].Version = 4 }}, "reported as 4"},
		"cut":        {entry{change: func(a *wire.PullAnswer) { a.Samples[0].Text = "" }}, "0 of"},
		"lost":       {entry{change: func(a *wire.PullAnswer) { a.Done = true }}, "of 4 slots received"},
	} {
		e := c.entry
		e.t = t
		h := httptest.NewServer(&e)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		s := trainer.Run(ctx, trainer.Config{
			Entries: []string{h.URL, h.URL}, Run: "r", Step: 1, Version: 5, Groups: 1, SamplesPerGroup: slots,
			TokensPerSample: 1, StalenessBound: 1,
		})
		cancel()
		h.Close()
		got := strings.Join(s.Problems, "; ")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Fatalf("%s: problems %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a trainer that accepts a response that was checked against an older weight version than its own.
func TestRejectsOldCheck(t *testing.T) {
	old := true
	e := &entry{t: t, change: func(a *wire.PullAnswer) {
		if old {
			a.Checked = 4
			old = false
		}
	}}
	h := httptest.NewServer(e)
	defer h.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := trainer.Run(ctx, trainer.Config{
		Entries: []string{h.URL}, Run: "r", Step: 1, Version: 5, Groups: 1, SamplesPerGroup: slots, TokensPerSample: 1,
		StalenessBound: 1,
	})
	if s.Rejected != 1 || s.Samples != slots || len(s.Problems) != 0 {
		t.Fatalf("summary %+v", s)
	}
}
