// Package history judges a run of the programs by what callers, trainers, engines and services saw from the outside.
//
// # Usage
//
//	var h history.History
//	h.Completions = append(h.Completions, …)
//	for _, p := range h.Check() { … }
//
// It holds no knowledge of the programs: every rule follows from an invariant of section 3 of docs/design.md.
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

// NotRun is the value of the field ran that claims proof that no work was done.
const NotRun = "no"

// Completion is one call for a completion; its prompt must be used by this call alone.
type Completion struct {
	Prompt string
	Max    int
	Start  int64 // Unix time in milliseconds
	First  int64 // milliseconds to the first token
	Whole  int64 // milliseconds to the end
	Status int   // 0 if the connection broke
	Text   string
	Spans  []wire.Span
	Finish string
	Code   string // refusal code
	Ran    string
	Reason string // message of a refusal
	Error  string // broken connection or malformed answer
}

// Write is one call of a plain service.
type Write struct {
	Key    string
	Path   string
	Start  int64 // Unix time in milliseconds
	End    int64
	Status int // 0 if the connection broke
	Body   string
	Code   string
	Ran    string
	Reason string // message of a refusal
	Error  string
}

// Leave is the time at which an upstream was told to leave.
type Leave struct {
	Server string
	At     int64 // Unix time in milliseconds
}

// leaveLimit is the time after which a leaving upstream receives no new work, in milliseconds.
const leaveLimit = 3000

// History is everything that was seen.
type History struct {
	Completions []Completion
	Writes      []Write
	Steps       []report.Step
	Leaves      []Leave
	Engines     map[string]report.EngineHistory
	Services    map[string]report.ServiceCounts
}

// Check returns all violations of the invariants.
func (h *History) Check() []string {
	return slices.Concat(h.steps(), h.writes(), h.completions(), h.refusals(), h.leaves())
}

// steps checks that each slot was received once and whole, within its bound, with samples that an engine made.
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

// writes checks that no key ran twice, that an answer tells of a run, and that "not run" is true.
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

// runs returns the start times of the runs of each key.
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
			return fmt.Sprintf("answer %q is cut: %v", w.Body, err)
		}
		if a.Path != w.Path || a.Key != w.Key || a.Runs != 1 {
			return fmt.Sprintf("answer %+v belongs to another run than that of %s", a, w.Path)
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

// completions checks that each answer is whole, belongs to its own prompt and names the versions that made it.
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
	if len(tokens) != c.Max && c.Finish != "stop" {
		return fmt.Sprintf("%d of %d tokens with finish reason %q", len(tokens), c.Max, c.Finish)
	}
	return ""
}

// refusals checks that no engine ran a completion that was refused as not run.
func (h *History) refusals() []string {
	began := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(h.Engines)) {
		for _, r := range h.Engines[name].Runs {
			if r.Begin != 0 {
				began[r.Prompt] = name
			}
		}
	}
	var out []string
	for _, c := range h.Completions {
		if c.Ran != NotRun {
			continue
		}
		if name, ok := began[token.Hash(c.Prompt)]; ok {
			out = append(out, fmt.Sprintf("completion %.40q: refused as not run (%s), but %s ran it", c.Prompt, c.Code, name))
		}
	}
	return out
}

// leaves checks that no server received work once it had had time to leave.
func (h *History) leaves() []string {
	var out []string
	for _, l := range h.Leaves {
		late := func(kind, id string, at int64) {
			if at > l.At+leaveLimit {
				out = append(out, fmt.Sprintf("%s received %s %s %d ms after it was told to leave", l.Server, kind, id, at-l.At))
			}
		}
		for _, r := range h.Engines[l.Server].Runs {
			late("run", r.ID, r.Start)
		}
		for _, r := range h.Services[l.Server].Runs {
			late("call", cmp.Or(r.Key, r.Path), r.At)
		}
	}
	return out
}

// Tokens returns the tokens that all engines made, and those among them that a caller or trainer received.
func (h *History) Tokens() (made, used int64) {
	for _, e := range h.Engines {
		made += e.Tokens
	}
	for _, s := range h.Steps {
		used += s.Tokens
	}
	for _, c := range h.Completions {
		t, _ := token.Split(c.Text)
		used += int64(len(t))
	}
	return made, used
}
