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
	first, second, third := NewTicket(prompt, ""), NewTicket(other, ""), NewTicket(prompt, "")
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
	if NewTicket(call.Prompt{}, "") != nil {
		t.Error("a request without figures has a ticket")
	}
}

// Guards against wrong figures that exclude a server, and against work that is delayed for ever.
func TestCostIsBounded(t *testing.T) {
	l := New()
	s := Server{ID: "a", Slots: 8, Requests: 8, Waiting: 1 << 30}
	ticket := NewTicket(call.Prompt{Tokens: 1 << 30}, "")
	if got := l.Cost(ticket, s, start); got > 2*maxWait+maxInterference {
		t.Errorf("the cost is %s", got)
	}
	if !l.Defer(ticket, s, start) || !l.Defer(ticket, s, start.Add(maxDeferral/2)) || l.Defer(ticket, s, start.Add(maxDeferral)) {
		t.Error("work is not delayed by waiting prompts, or for too long")
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
		k := NewTicket(call.Prompt{Tokens: tokens}, "")
		l.Start(k, s, start)
		l.FirstEvent(k, start.Add(took))
		l.End(k, true, start.Add(took))
	}
	const perToken, base = 100 * time.Microsecond, 40 * time.Millisecond
	for range 30 {
		run(10, base)
		run(10_000, base+10_000*perToken)
	}
	if got := l.TokenTime(""); got < perToken*8/10 || got > perToken*12/10 {
		t.Errorf("a token takes %s, want about %s", got, perToken)
	}
	run(10_000, time.Minute)
	if got := l.TokenTime(""); got > 2*perToken {
		t.Errorf("after one late event a token takes %s", got)
	}
}

// Guards against one sender whose wrong figures change the speed that is assumed for all, and against items that are delayed
// behind a short prompt.
func TestWrongFiguresOfOneSender(t *testing.T) {
	l := New()
	s := Server{ID: "a", Slots: 8}
	now := start
	run := func(sender string, p call.Prompt, first, end time.Duration) {
		now = now.Add(time.Second)
		k := NewTicket(p, sender)
		l.Start(k, s, now)
		l.FirstEvent(k, now.Add(first))
		l.End(k, true, now.Add(end))
	}
	honest := func(i int) {
		sender := string(rune('b' + i%4))
		run(sender, call.Prompt{Tokens: 10, Output: 20}, 20*time.Millisecond, time.Second)
		run(sender, call.Prompt{Tokens: 10_000, Output: 20}, time.Second, 2*time.Second)
	}
	check := func(what string) {
		t.Helper()
		full := s
		full.Requests = 8
		perToken, wait, output := l.TokenTime(""), l.slotWait(full), l.output.value
		if perToken < 80*time.Microsecond || perToken > 120*time.Microsecond || wait < 100*time.Millisecond || output != 20 {
			t.Errorf("%s: a token takes %s, a slot is free after %s, the expected output is %g", what, perToken, wait, output)
		}
	}
	for i := range 12 {
		honest(i)
	}
	check("without wrong figures")
	for range 40 {
		run("a", call.Prompt{Tokens: 1 << 20, Output: 1 << 20}, 600*time.Millisecond, 601*time.Millisecond)
	}
	check("after overstated prompts")
	for range 40 {
		run("a", call.Prompt{Tokens: 4000, Output: 1}, 20*time.Second, 20*time.Second)
	}
	check("after understated prompts")
	l = New()
	for range 40 {
		run("a", call.Prompt{Tokens: 4000}, 20*time.Second, 20*time.Second)
	}
	if got := l.TokenTime(""); got != defaultTokenTime {
		t.Errorf("a single sender sets the time per token to %s", got)
	}
	for range 40 {
		run("", call.Prompt{Tokens: 4000}, 20*time.Second, 20*time.Second)
	}
	l.Start(NewTicket(call.Prompt{Tokens: 100}, ""), s, now)
	if l.TokenTime("") < time.Millisecond || l.Defer(NewTicket(call.Prompt{Tokens: 100}, ""), s, now) {
		t.Error("an item is delayed behind a prompt of 100 tokens")
	}
}

// Guards against a refusal after which a part that the engine had processed before counts as not cached.
func TestRefusalKeepsCachedParts(t *testing.T) {
	l := New()
	s := Server{ID: "a", Slots: 8}
	p := call.Prompt{Tokens: 20_000, Parts: []call.PromptPart{{ID: "shared", Tokens: 20_000}}}
	refused := NewTicket(p, "")
	l.Start(refused, s, start)
	l.End(refused, false, start)
	if got := l.uncached(NewTicket(p, ""), "a", start); got != 20_000 {
		t.Errorf("after a refusal %d tokens are not cached, want all", got)
	}
	first := NewTicket(p, "")
	l.Start(first, s, start)
	l.FirstEvent(first, start)
	l.End(first, true, start)
	again := NewTicket(p, "")
	l.Start(again, s, start.Add(time.Second))
	l.End(again, false, start.Add(time.Second))
	if got := l.uncached(NewTicket(p, ""), "a", start.Add(time.Second)); got != 0 {
		t.Errorf("after a refusal %d tokens of a cached prompt are not cached", got)
	}
}
