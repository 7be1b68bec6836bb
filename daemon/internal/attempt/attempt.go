// Package attempt remembers the attempts of a daemon: their output, their end, and the keys of calls that may run
// only once.
//
// # Usage
//
//	t := attempt.NewTable(inc, base, time.Now(), limits)
//	a, fresh, err := t.Admit(now, work)
//	a.Append(first, tokens, version)
//	t.Finish(now, a, attempt.End{Finish: "stop"})
//
// An attempt is found by its id for as long as it may still be sent again. Keys are kept by era; an era is a fixed
// length of time whose number a claim names.
package attempt

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// States of an attempt, as an ack names them.
const (
	Queued   = "queued"
	Running  = "running"
	Finished = "finished"
)

// Classes of work.
const (
	Live  = "live"
	Train = "train"
)

// OutputError tells that an upstream produced output that does not fit the attempt.
type OutputError struct {
	cause string
}

// Error implements error.
func (e *OutputError) Error() string { return "attempt: output does not fit: " + e.cause }

// End is how an attempt ended: with a finish reason, a reply or a refusal.
type End struct {
	Finish  string
	Reply   *wire.Reply
	Refusal *refusal.Error
	Crashed bool // the server crashed while the attempt ran
	Sole    bool // nothing else ran on the server when it crashed
	Running int  // attempts that run on the server after this one
	Waiting int  // attempts that wait for the server
}

// Output is a part of an attempt's output. End is set once no tokens follow.
type Output struct {
	Offset int
	Tokens []string
	Spans  []wire.Span
	Rest   bool // more tokens are there already
	End    *End
}

// Attempt is one run of a piece of work on one server.
type Attempt struct {
	work     wire.Work
	arrived  time.Time
	deadline time.Time

	mu       sync.Mutex
	changed  chan struct{}
	tokens   []string
	spans    []wire.Span
	started  time.Time
	first    time.Time
	ended    time.Time
	end      *End
	runs     int
	detach   context.CancelFunc
	attached uint64
	orphan   time.Time
}

func newAttempt(now time.Time, w wire.Work) *Attempt {
	a := &Attempt{
		work:     w,
		arrived:  now,
		deadline: now.Add(time.Duration(w.Left) * time.Millisecond),
		changed:  make(chan struct{}),
		tokens:   append([]string(nil), w.Held...),
		orphan:   now,
	}
	for _, s := range w.Spans {
		a.spans = addSpan(a.spans, s)
	}
	return a
}

// ID returns the attempt id.
func (a *Attempt) ID() string { return a.work.Attempt }

// Work returns the work message; it is not to be changed.
func (a *Attempt) Work() *wire.Work { return &a.work }

// Arrived returns the time at which the work arrived.
func (a *Attempt) Arrived() time.Time { return a.arrived }

// Deadline returns the time at which the work is of no more use.
func (a *Attempt) Deadline() time.Time { return a.deadline }

// Start marks the beginning of a run on the server and returns its number, 1 for the first.
func (a *Attempt) Start(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs == 0 {
		a.started = now
	}
	a.runs++
	return a.runs
}

// State returns the state as an ack names it.
func (a *Attempt) State() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state()
}

func (a *Attempt) state() string {
	if a.end != nil {
		return Finished
	}
	if a.runs > 0 {
		return Running
	}
	return Queued
}

// End returns how the attempt ended, nil before that.
func (a *Attempt) End() *End {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end
}

// Tokens returns the tokens so far, held ones included; they are not to be changed.
func (a *Attempt) Tokens() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens[:len(a.tokens):len(a.tokens)]
}

// Append adds tokens whose first one has the given offset in the whole answer, and the version that produced them.
// Tokens that are already there are passed over; a gap, or more tokens than the work allows, gives an *OutputError.
func (a *Attempt) Append(now time.Time, first int, tokens []string, version int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	have := len(a.tokens)
	if first > have {
		return &OutputError{cause: fmt.Sprintf("tokens from %d on after %d tokens", first, have)}
	}
	if first+len(tokens) <= have {
		return nil
	}
	if first+len(tokens) > a.work.Max {
		return &OutputError{cause: fmt.Sprintf("%d tokens, at most %d", first+len(tokens), a.work.Max)}
	}
	a.tokens = append(a.tokens, tokens[have-first:]...)
	a.spans = addSpan(a.spans, wire.Span{First: have, Last: len(a.tokens) - 1, Version: version})
	if a.first.IsZero() {
		a.first = now
	}
	a.wake()
	return nil
}

func (a *Attempt) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// finish stores the end; it reports false if the attempt has ended before.
func (a *Attempt) finish(now time.Time, e End) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return false
	}
	a.end = &e
	a.ended = now
	a.wake()
	return true
}

// Next returns tokens from an offset on, up to limit of them and about size bytes, and a channel that is closed once
// there is more.
func (a *Attempt) Next(from, limit, size int) (Output, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	from = max(0, min(from, len(a.tokens)))
	to := from
	for to < len(a.tokens) && to < from+limit && size > 0 {
		size -= len(a.tokens[to])
		to++
	}
	o := Output{Offset: from, Tokens: a.tokens[from:to:to], Spans: clip(a.spans, from, to)}
	o.Rest = to < len(a.tokens)
	if !o.Rest {
		o.End = a.end
	}
	return o, a.changed
}

// Done returns the message that tells of a finished attempt.
func (a *Attempt) Done() wire.Done {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := wire.Done{
		Attempt: a.work.Attempt,
		Spans:   append([]wire.Span(nil), a.spans...),
		Total:   len(a.tokens),
		Wait:    a.started.Sub(a.arrived).Milliseconds(),
		Whole:   a.ended.Sub(a.started).Milliseconds(),
	}
	if !a.first.IsZero() {
		d.First = a.first.Sub(a.started).Milliseconds()
	}
	if a.end != nil {
		d.Finish = a.end.Finish
		d.Reply = a.end.Reply
		d.Running = a.end.Running
		d.Waiting = a.end.Waiting
	}
	return d
}

// Times returns the wait in the queue, the time to the first token (0 if there was none) and the total time, all
// since arrival.
func (a *Attempt) Times() (wait, first, total time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.started.IsZero() {
		wait = a.started.Sub(a.arrived)
	}
	if !a.first.IsZero() {
		first = a.first.Sub(a.arrived)
	}
	return wait, first, a.ended.Sub(a.arrived)
}

// Attach gives the output of the attempt to one reader: the context of an earlier reader ends. The returned function
// gives it up again.
func (a *Attempt) Attach(ctx context.Context) (context.Context, func(now time.Time)) {
	ctx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.detach != nil {
		a.detach()
	}
	a.detach = cancel
	a.attached++
	a.orphan = time.Time{}
	mine := a.attached
	return ctx, func(now time.Time) {
		cancel()
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.attached == mine {
			a.detach = nil
			a.orphan = now
		}
	}
}

// Orphaned returns the time since when no reader takes the output; it is zero while there is one.
func (a *Attempt) Orphaned() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.orphan
}

// size estimates the memory of the output in bytes.
func (a *Attempt) size() int64 {
	const header = 16 // bytes of a string header
	a.mu.Lock()
	defer a.mu.Unlock()
	n := int64(len(a.work.Prompt) + len(a.tokens)*header)
	for _, t := range a.tokens {
		n += int64(len(t))
	}
	if a.work.Call != nil {
		n += int64(len(a.work.Call.Body))
	}
	if a.end != nil && a.end.Reply != nil {
		n += int64(len(a.end.Reply.Body))
	}
	return n
}

// held describes the sample, with its output if whole is true.
func (a *Attempt) held(whole bool) wire.HeldSample {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := wire.HeldSample{Attempt: a.work.Attempt, Server: a.work.Server, Slot: *a.work.Slot}
	if whole {
		h.Tokens = a.tokens[:len(a.tokens):len(a.tokens)]
		h.Spans = append([]wire.Span(nil), a.spans...)
	}
	return h
}

// addSpan appends a span and joins it with the last one if the version is the same.
func addSpan(spans []wire.Span, s wire.Span) []wire.Span {
	if n := len(spans); n > 0 && spans[n-1].Version == s.Version && spans[n-1].Last+1 == s.First {
		spans[n-1].Last = s.Last
		return spans
	}
	return append(spans, s)
}

// clip returns the spans of the tokens from offset from up to but without to.
func clip(spans []wire.Span, from, to int) []wire.Span {
	var out []wire.Span
	for _, s := range spans {
		first, last := max(s.First, from), min(s.Last, to-1)
		if first <= last {
			out = append(out, wire.Span{First: first, Last: last, Version: s.Version})
		}
	}
	return out
}
