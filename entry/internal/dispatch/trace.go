package dispatch

import (
	"errors"
	"slices"
	"sync"
	"time"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// maxTracedAttempts bounds the attempts kept for one request; later ones are not recorded.
const maxTracedAttempts = 64

// Outcomes of attempts that are not refusal codes.
const (
	outcomeRunning   = "running"
	outcomeCancelled = "cancelled"

	// Finished is the outcome of an attempt that returned the answer.
	Finished = "finished"
)

// traces keeps the most recent requests in a ring buffer.
type traces struct {
	mu        sync.Mutex
	ring      []string
	next      int
	byRequest map[string]*Trace
}

// Trace records the attempts of one request.
type Trace struct {
	owner *traces
	trace wire.Trace
	index map[string]int // position in trace.Tries by attempt
}

func newTraces(size int) *traces {
	return &traces{ring: make([]string, max(size, 1)), byRequest: make(map[string]*Trace)}
}

// begin returns the trace of a request, which is an existing one if the request has been run before.
func (t *traces) begin(w *wire.Work) *Trace {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byRequest[w.Request]; ok {
		e.trace.State, e.trace.Code = outcomeRunning, ""
		return e
	}
	e := &Trace{owner: t, index: make(map[string]int)}
	e.trace = wire.Trace{Request: w.Request, Workspace: w.Workspace, Profile: w.Profile, State: outcomeRunning}
	if old := t.ring[t.next]; old != "" {
		delete(t.byRequest, old)
	}
	t.ring[t.next] = w.Request
	t.next = (t.next + 1) % len(t.ring)
	t.byRequest[w.Request] = e
	return e
}

func (t *traces) get(request string) (wire.Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byRequest[request]
	if !ok {
		return wire.Trace{}, false
	}
	return e.copy(), true
}

func (e *Trace) copy() wire.Trace {
	c := e.trace
	c.Tries = slices.Clone(c.Tries)
	for i := range c.Tries {
		c.Tries[i].Spans = slices.Clone(c.Tries[i].Spans)
	}
	return c
}

// StartAttempt records the start of an attempt.
func (e *Trace) StartAttempt(now time.Time, attempt, daemon, server string) {
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()
	if len(e.trace.Tries) >= maxTracedAttempts {
		return
	}
	e.index[attempt] = len(e.trace.Tries)
	e.trace.Tries = append(e.trace.Tries, wire.Try{
		Attempt: attempt, Daemon: daemon, Server: server, Start: now.UnixMilli(), Outcome: outcomeRunning,
	})
}

// EndAttempt records the outcome of an attempt.
func (e *Trace) EndAttempt(now time.Time, attempt, outcome string, spans []wire.Span) {
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()
	i, ok := e.index[attempt]
	if !ok {
		return
	}
	t := &e.trace.Tries[i]
	t.Outcome = outcome
	t.Spans = slices.Clone(spans)
	t.Whole = now.UnixMilli() - t.Start
}

// End records the outcome of the request and returns its attempts.
func (e *Trace) End(err error) []wire.Try {
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()
	e.trace.State = Finished
	var refused *refusal.Error
	if errors.As(err, &refused) {
		e.trace.State = "refused"
		e.trace.Code = string(refused.Code())
	}
	return e.copy().Tries
}
