package history_test

import (
	"strings"
	"testing"

	"bulrushspoke/scenario/history"
	"bulrushspoke/standin/report"
	"bulrushspoke/standin/token"
	"bulrushspoke/wire"
)

// validHistory returns a history without violations.
func validHistory() history.History {
	text := token.Make("p", 0, 1) + token.Make("p", 1, 2)
	spans := []wire.Span{{First: 0, Last: 0, Version: 1}, {First: 1, Last: 1, Version: 2}}
	return history.History{
		Completions: []history.Completion{
			{Prompt: "p", MaxTokens: 2, Status: 200, Text: text, Spans: spans, FinishReason: "length"},
			{Prompt: "q", MaxTokens: 2, Status: 503, Code: "busy", Ran: history.NotRun},
		},
		Writes: []history.Write{
			{Key: "a", Path: "/x", Status: 200, Body: `{"path":"/x","key":"a","runs":1}`, End: 20},
			{Key: "b", Path: "/x", Status: 503, Code: "busy", Ran: history.NotRun, End: 20},
			{Key: "b", Path: "/x", Status: 200, Body: `{"path":"/x","key":"b","runs":1}`, End: 40},
		},
		Steps:  []report.Step{{Run: "r", Step: 1, Slots: 2, Samples: 2}},
		Drains: []history.Drain{{Server: "e", At: 100}},
		Engines: map[string]report.EngineHistory{"e": {Runs: []report.EngineRun{
			{ID: "1", Prompt: token.Hash("p"), Start: 3100, Begin: 3200},
			{ID: "2", Prompt: token.Hash("q"), Start: 200},
		}}},
		Services: map[string]report.ServiceCounts{"s": {Runs: []report.ServiceRun{
			{Key: "a", Path: "/x", At: 10}, {Key: "b", Path: "/x", At: 30},
		}}},
	}
}

// Guards against a checker that misses a violation or reports one in a valid history.
func TestCheck(t *testing.T) {
	h := validHistory()
	if p := h.Check(); len(p) != 0 {
		t.Fatalf("valid history: %q", p)
	}
	for want, change := range map[string]func(h *history.History){
		"token 1 has version 2, reported as 1": func(h *history.History) {
			h.Completions[0].Spans = []wire.Span{{First: 0, Last: 1, Version: 1}}
		},
		"2 of 3 tokens": func(h *history.History) { h.Completions[0].MaxTokens = 3 },
		"belongs to prompt": func(h *history.History) {
			h.Completions[0].Text = token.Make("q", 0, 1) + token.Make("p", 1, 2)
		},
		"but e ran it":                func(h *history.History) { h.Engines["e"].Runs[1].Begin = 210 },
		"key a ran 2":                 func(h *history.History) { h.Services["s"].Runs[1].Key = "a" },
		"is not from the only run of": func(h *history.History) { h.Writes[0].Path = "/y" },
		"malformed answer":            func(h *history.History) { h.Writes[0].Body = `{"path":` },
		"no service ran":              func(h *history.History) { h.Services = nil },
		"refused as not":              func(h *history.History) { h.Services["s"].Runs[1].At = 15 },
		"1 samples and":               func(h *history.History) { h.Steps[0].Samples = 1 },
		"1 duplicates":                func(h *history.History) { h.Steps[0].Duplicates = 1 },
		"step r.1: stale":             func(h *history.History) { h.Steps[0].Problems = []string{"stale"} },
		"after its drain started":     func(h *history.History) { h.Engines["e"].Runs[0].Start = 3101 },
	} {
		h := validHistory()
		change(&h)
		if got := strings.Join(h.Check(), "; "); !strings.Contains(got, want) {
			t.Fatalf("want %q, got %q", want, got)
		}
	}
}
