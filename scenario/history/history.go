// Package history checks the invariants of a run against what callers, trainers, engines and services observed.
//
// # Usage
//
//	var h history.History
//	h.Completions = append(h.Completions, …)
//	for _, p := range h.Check() { … }
//
// The checks use no internals of the programs. Each one follows from an invariant in section 3 of docs/design.md. Times
// are in milliseconds.
package history

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"bulrushspoke/standin/report"
	"bulrushspoke/standin/token"
	"bulrushspoke/wire"
)

// NotRun is the value of the field ran of a refusal that guarantees that the request was not executed.
const NotRun = "no"

// Completion is the outcome of one completion request. No other request may use the same prompt.
type Completion struct {
	Prompt       string
	MaxTokens    int
	Start        int64 // Unix time in milliseconds
	FirstToken   int64 // milliseconds to the first token
	Total        int64 // milliseconds to the last byte
	Status       int   // 0 if the connection broke
	Text         string
	Spans        []wire.Span
	FinishReason string
	Code         string // refusal code
	Ran          string
	Message      string // message of a refusal
	Error        string // connection failure or malformed response
}

// Write is the outcome of one call to a plain service under an idempotency key.
type Write struct {
	Key     string
	Path    string
	Start   int64 // Unix time in milliseconds
	End     int64
	Status  int // 0 if the connection broke
	Body    string
	Code    string
	Ran     string
	Message string // message of a refusal
	Error   string
}

// Drain is the time at which a server was told to drain.
type Drain struct {
	Server string
	At     int64 // Unix time in milliseconds
}

// drainNoticeMS is the time from the start of a drain, in milliseconds, after which a server may not receive new work.
const drainNoticeMS = 3000

// History is the record of a run.
type History struct {
	Completions []Completion
	Writes      []Write
	Steps       []report.Step
	Drains      []Drain
	Engines     map[string]report.EngineHistory
	Services    map[string]report.ServiceCounts
}

// Check returns a description of each violated invariant.
func (h *History) Check() []string {
	return slices.Concat(h.steps(), h.writes(), h.completions(), h.refusals(), h.drains())
}

// steps checks that the trainer received each slot exactly once and reported no problem, such as an incomplete sample,
// a sample past its staleness bound or one that no engine generated.
func (h *History) steps() []string {
	var out []string
	for _, s := range h.Steps {
		for _, p := range s.Problems {
			out = append(out, fmt.Sprintf("step %s.%d: %s", s.Run, s.Step, p))
		}
		if s.Duplicates > 0 || s.Samples != s.Slots {
			out = append(out, fmt.Sprintf("step %s.%d: %d samples and %d duplicates for %d slots",
				s.Run, s.Step, s.Samples, s.Duplicates, s.Slots))
		}
	}
	return out
}

// writes checks that no key was executed twice, that each response matches an execution, and that no request refused as
// not run was executed before the refusal.
func (h *History) writes() []string {
	var out []string
	runs := h.runs()
	for _, key := range slices.Sorted(maps.Keys(runs)) {
		if n := len(runs[key]); n > 1 {
			out = append(out, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	for _, w := range h.Writes {
		if p := w.check(runs[w.Key]); p != "" {
			out = append(out, fmt.Sprintf("call with key %s: %s", w.Key, p))
		}
	}
	return out
}

// runs returns the start times of the executions of each key.
func (h *History) runs() map[string][]int64 {
	runs := map[string][]int64{}
	for _, s := range h.Services {
		for _, r := range s.Runs {
			if r.Key != "" {
				runs[r.Key] = append(runs[r.Key], r.At)
			}
		}
	}
	return runs
}

func (w Write) check(runs []int64) string {
	switch {
	case w.Error != "" && w.Status != 0:
		return w.Error
	case w.Status == 200:
		var a report.ServiceAnswer
		if err := json.Unmarshal([]byte(w.Body), &a); err != nil {
			return fmt.Sprintf("malformed answer %q: %v", w.Body, err)
		}
		if a.Path != w.Path || a.Key != w.Key || a.Runs != 1 {
			return fmt.Sprintf("answer %+v is not from the only run of %s", a, w.Path)
		}
		if len(runs) == 0 {
			return "answered, but no service ran it"
		}
	case w.Ran == NotRun:
		for _, at := range runs {
			if at <= w.End {
				return fmt.Sprintf("refused as not run (%s), but it ran %d ms before the refusal", w.Code, w.End-at)
			}
		}
	}
	return ""
}

// completions checks that each answer is complete, was generated from its own prompt and reports the weight versions
// that generated it.
func (h *History) completions() []string {
	var out []string
	for _, c := range h.Completions {
		if p := c.check(); p != "" {
			out = append(out, fmt.Sprintf("completion %.40q: %s", c.Prompt, p))
		}
	}
	return out
}

func (c Completion) check() string {
	if c.Error != "" && c.Status == 200 {
		return c.Error
	}
	if c.Status != 200 || c.Code != "" {
		return ""
	}
	if err := token.Check(c.Prompt, c.Text, c.Spans); err != nil {
		return err.Error()
	}
	tokens, _ := token.Split(c.Text)
	if len(tokens) != c.MaxTokens && c.FinishReason != "stop" {
		return fmt.Sprintf("%d of %d tokens with finish reason %q", len(tokens), c.MaxTokens, c.FinishReason)
	}
	return ""
}

// refusals checks that no engine started a completion that was refused as not run.
func (h *History) refusals() []string {
	engineOf := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(h.Engines)) {
		for _, r := range h.Engines[name].Runs {
			if r.Begin != 0 {
				engineOf[r.Prompt] = name
			}
		}
	}
	var out []string
	for _, c := range h.Completions {
		if c.Ran != NotRun {
			continue
		}
		if name, ok := engineOf[token.Hash(c.Prompt)]; ok {
			out = append(out, fmt.Sprintf("completion %.40q: refused as not run (%s), but %s ran it", c.Prompt, c.Code, name))
		}
	}
	return out
}

// drains checks that no server received work later than drainNoticeMS after its drain started.
func (h *History) drains() []string {
	var out []string
	for _, d := range h.Drains {
		checkStart := func(kind, id string, at int64) {
			if at > d.At+drainNoticeMS {
				out = append(out, fmt.Sprintf("%s received %s %s %d ms after its drain started", d.Server, kind, id, at-d.At))
			}
		}
		for _, r := range h.Engines[d.Server].Runs {
			checkStart("run", r.ID, r.Start)
		}
		for _, r := range h.Services[d.Server].Runs {
			checkStart("call", cmp.Or(r.Key, r.Path), r.At)
		}
	}
	return out
}

// Tokens returns the number of tokens that all engines generated, and how many of them a caller or trainer received.
func (h *History) Tokens() (generated, delivered int64) {
	for _, e := range h.Engines {
		generated += e.Tokens
	}
	for _, s := range h.Steps {
		delivered += s.Tokens
	}
	for _, c := range h.Completions {
		t, _ := token.Split(c.Text)
		delivered += int64(len(t))
	}
	return generated, delivered
}
