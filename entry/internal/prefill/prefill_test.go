package prefill

import (
	"testing"
	"time"

	"bulrushspoke/internal/call"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

// Guards against prompts that wait for ever because an attempt ends twice, never begins or gets no event, and against shared
// parts that count each time.
func TestWaitingPrompts(t *testing.T) {
	l := New()
	s := Server{ID: "a", Slots: 8}
	prompt := call.Prompt{Parts: []call.PromptPart{{ID: "shared", Tokens: 1000}, {ID: "own", Tokens: 16}}, Tokens: 1016}
	other := prompt
	other.Parts = []call.PromptPart{{ID: "shared", Tokens: 1000}, {ID: "other", Tokens: 16}}
	first, second, third := NewTicket(prompt), NewTicket(other), NewTicket(prompt)
	l.Start(first, s, start)
	l.Start(second, s, start)
	if got := l.Waiting("a"); got != 1032 {
		t.Errorf("%d tokens wait, want 1032: the shared part counts once", got)
	}
	l.FirstEvent(first, start)
	l.FirstEvent(first, start)
	if got := l.Waiting("a"); got != 16 {
		t.Errorf("%d tokens wait after the first event of one prompt, want 16", got)
	}
	for range 2 {
		l.End(second, false, start)
		l.End(first, true, start)
	}
	l.End(third, false, start)
	l.End(nil, false, start)
	if l.Total() != 0 || l.Active("a") {
		t.Errorf("%d tokens wait after all requests have ended", l.Total())
	}
	l.Start(third, s, start.Add(cachedTime+time.Second))
	if got := l.Waiting("a"); got != 1016 {
		t.Errorf("%d tokens wait long after the last use of the shared part, want 1016", got)
	}
	if NewTicket(call.Prompt{}) != nil {
		t.Error("a request without figures has a ticket")
	}
}

// Guards against wrong figures that exclude a server, and against work that is held for ever.
func TestCostIsBounded(t *testing.T) {
	l := New()
	s := Server{ID: "a", Slots: 8, Requests: 8, Waiting: 1 << 30}
	ticket := NewTicket(call.Prompt{Tokens: 1 << 30})
	if got := l.Cost(ticket, s, start); got > 2*maxWait+maxInterference {
		t.Errorf("the cost is %s", got)
	}
	if !l.Defer(ticket, s, start) || !l.Defer(ticket, s, start.Add(maxDeferral/2)) || l.Defer(ticket, s, start.Add(maxDeferral)) {
		t.Error("work is not held behind waiting prompts, or for too long")
	}
	if l.Defer(ticket, Server{ID: "b", Slots: 8}, start) || l.Cost(nil, s, start) != 0 || l.Defer(nil, s, start) {
		t.Error("an empty server or a request without figures has a cost")
	}
}

// Guards against a long prompt that is not told from a short one since the speed of the engines is not measured, and against
// one late event that spoils the measurement.
func TestSpeedIsMeasured(t *testing.T) {
	l := New()
	s := Server{ID: "a", Slots: 8}
	run := func(tokens int, took time.Duration) {
		k := NewTicket(call.Prompt{Tokens: tokens})
		l.Start(k, s, start)
		l.FirstEvent(k, start.Add(took))
		l.End(k, true, start.Add(took))
	}
	const perToken, base = 100 * time.Microsecond, 40 * time.Millisecond
	for range 30 {
		run(10, base)
		run(10_000, base+10_000*perToken)
	}
	if got := l.perToken(""); got < perToken*8/10 || got > perToken*12/10 {
		t.Errorf("a token takes %s, want about %s", got, perToken)
	}
	run(10_000, time.Minute)
	if got := l.perToken(""); got > 2*perToken {
		t.Errorf("after one late event a token takes %s", got)
	}
}
