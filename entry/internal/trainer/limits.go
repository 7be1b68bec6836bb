package trainer

import (
	"regexp"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// Limits bounds the size of a step.
type Limits struct {
	// Groups and Samples are the largest numbers of each in one step.
	Groups  int
	Samples int
	// Tokens is the largest number of tokens of one sample.
	Tokens int
	// SpecBytes is the largest total size of the prompts and group names.
	SpecBytes int
}

// DefaultLimits returns limits with headroom above the target of 4,096 samples per step.
func DefaultLimits() Limits {
	return Limits{Groups: 4096, Samples: 16384, Tokens: 65536, SpecBytes: 16 << 20}
}

var (
	// runName excludes the dot, which separates the parts of object names.
	runName   = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)
	groupName = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,64}$`)
)

func badRequest(format string, args ...any) error {
	return refusal.New(refusal.BadRequest, refusal.NotRun, "trainer: "+format, args...)
}

func tooLarge(format string, args ...any) error {
	return refusal.New(refusal.TooLarge, refusal.NotRun, "trainer: "+format, args...)
}

// check validates a step and returns its number of samples. Its error is a *refusal.Error.
func (l Limits) check(r wire.StepRequest, p wire.Profile) (int, error) {
	if !runName.MatchString(r.Run) {
		return 0, badRequest("run %q: 1 to 64 letters, digits, _ and - are allowed", r.Run)
	}
	if r.Step < 0 || r.Model == "" || len(r.Groups) == 0 {
		return 0, badRequest("a step needs a number of at least 0, a model and groups")
	}
	if len(r.Groups) > l.Groups {
		return 0, tooLarge("%d groups, at most %d", len(r.Groups), l.Groups)
	}
	names := make(map[string]bool, len(r.Groups))
	slots, size := 0, 0
	for _, g := range r.Groups {
		if !groupName.MatchString(g.Name) || names[g.Name] {
			return 0, badRequest("group %q: unique names of 1 to 64 letters, digits, _, . and - are allowed", g.Name)
		}
		names[g.Name] = true
		if g.Samples < 1 || g.Tokens < 1 {
			return 0, badRequest("group %s: samples and tokens must be at least 1", g.Name)
		}
		if maxTokens := min(l.Tokens, p.Tokens); g.Tokens > maxTokens {
			return 0, tooLarge("group %s: %d tokens, at most %d", g.Name, g.Tokens, maxTokens)
		}
		if g.Samples > l.Samples {
			return 0, tooLarge("group %s: %d samples, at most %d", g.Name, g.Samples, l.Samples)
		}
		slots += g.Samples
		size += len(g.Name) + len(g.Prompt)
	}
	if slots > l.Samples {
		return 0, tooLarge("%d samples, at most %d", slots, l.Samples)
	}
	if size > l.SpecBytes {
		return 0, tooLarge("prompts take %d bytes, at most %d", size, l.SpecBytes)
	}
	return slots, nil
}
