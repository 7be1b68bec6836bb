// Package engine is the stand-in of a model engine.
//
// # Usage
//
//	e := engine.New(engine.Config{Model: "plan", Version: 1, Slots: 8, Rate: 200})
//	err := e.Serve(ctx, listener)
//
// It serves the engine protocol of section 10 of docs/design.md: slots with continuous batching, a prefix cache,
// priorities, resume, cancel, weight swaps in mid-stream, a lagging load report and crashes. Its tokens are those of
// the package token. Counts and history outlive crashes; all else is lost in one.
package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushspoke/standin/report"
	"bulrushspoke/standin/token"
	"bulrushspoke/wire"
)

const (
	tick          = 5 * time.Millisecond   // batching step; tokens of one step travel in one event
	maxStep       = 100 * time.Millisecond // a paused process makes no burst of tokens when it goes on
	headerTimeout = 10 * time.Second
	crashDelay    = 20 * time.Millisecond // after the answer to a control call that asks for a crash
	listenRetry   = 20 * time.Millisecond
)

// Outcomes of a run.
const (
	Waiting   = "waiting"
	Running   = "running"
	Length    = "length"
	Stop      = "stop"
	Cancelled = "cancelled"
	Gone      = "gone" // the client closed the connection
	Crashed   = "crashed"
)

// Config holds the properties of an engine.
type Config struct {
	Model   string
	Version int64         // weights at the start and after each crash
	Slots   int           // requests that run at once
	Rate    float64       // tokens a second of each stream
	Falling float64       // part of the rate that a stream loses when all slots are busy, 0 to 1
	Prefill time.Duration // time for one prompt block that is not in the prefix cache
	Cache   int           // prefix cache in blocks of 64 bytes of prompt
	Swap    time.Duration // time that a load takes
	Lag     time.Duration // age of the load report
	Restart time.Duration // time that connections are refused after a crash
	Marker  string        // a prompt that contains it crashes the engine once it has made a token; empty for none
	Ignore  bool          // ignores fencing tokens
	Weights string        // base URL of the weight store; empty for none
}

// Engine is one model engine.
type Engine struct {
	config Config

	mu      sync.Mutex
	runs    []*run
	waiting []*run // by priority, then arrival
	running []*run
	history report.EngineHistory
	slow    float64
	until   time.Time // end of the slow spell, zero for none
	fails   int
	weights weights
	cache   *prefixes
	loads   []reading
	last    time.Time     // last batching step
	wake    chan struct{} // starts batching
	crash   chan struct{} // closed at a crash
	restart chan struct{} // tells Serve of a crash
}

// run is one request.
type run struct {
	report.EngineRun
	hash     string
	max      int
	stop     int // tokens after which the model stops by itself
	priority int
	crashes  bool
	ready    time.Time // end of its prefill
	credit   float64   // tokens earned and not made yet
	next     int       // index of the next token
	pending  []wire.EngineEvent
	notify   chan struct{}
}

type reading struct {
	at      time.Time
	running int
	waiting int
}

// New returns an engine that has not been started.
func New(c Config) *Engine {
	e := &Engine{config: c, slow: 1, wake: make(chan struct{}, 1), restart: make(chan struct{}, 1)}
	e.reset()
	return e
}

// reset empties everything that a crash loses; the caller holds the lock or is New.
func (e *Engine) reset() {
	e.waiting = nil
	e.running = nil
	e.weights = weights{version: e.config.Version}
	e.cache = newPrefixes(e.config.Cache)
	e.loads = nil
	e.crash = make(chan struct{})
}

// Serve serves on the listener until the context ends. In a crash it closes the listener and listens again on the
// same address after the restart time.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	address := l.Addr().String()
	for {
		if err := e.serve(ctx, l); err != nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(e.config.Restart)
		var err error
		if l, err = listen(ctx, address); err != nil {
			return err
		}
	}
}

// listen retries, because an outgoing connection may hold the port for a moment.
func listen(ctx context.Context, address string) (net.Listener, error) {
	for {
		l, err := net.Listen("tcp", address)
		if err == nil || ctx.Err() != nil {
			return l, err
		}
		time.Sleep(listenRetry)
	}
}

// serve returns nil after a crash.
func (e *Engine) serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
	go func() {
		select {
		case <-ctx.Done():
		case <-e.restart:
		}
		_ = s.Close()
	}()
	go e.batch(ctx)
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Crash drops all connections and all state.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fall(time.Now())
}

// fall crashes the engine; the caller holds the lock.
func (e *Engine) fall(now time.Time) {
	e.history.Crashes++
	for _, r := range slices.Concat(e.running, e.waiting) {
		r.end(Crashed, now)
	}
	for i := range e.history.Loads {
		if e.history.Loads[i].Outcome == loading {
			e.history.Loads[i].Outcome = Crashed
		}
	}
	close(e.crash)
	e.reset()
	select {
	case e.restart <- struct{}{}:
	default:
	}
}

func (r *run) end(outcome string, now time.Time) {
	r.Outcome = outcome
	r.End = now.UnixMilli()
	r.signal()
}

func (r *run) signal() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// submit queues a request.
func (e *Engine) submit(q wire.EngineRequest, now time.Time) *run {
	hash := token.Hash(q.Prompt)
	r := &run{
		EngineRun: report.EngineRun{
			ID: q.ID, Prompt: hash, Start: now.UnixMilli(), Held: len(q.Tokens), Outcome: Waiting, Spans: []wire.Span{},
		},
		hash:     hash,
		max:      q.Max,
		stop:     stopAt(q.Prompt, q.Max),
		priority: q.Priority,
		crashes:  e.config.Marker != "" && strings.Contains(q.Prompt, e.config.Marker),
		next:     len(q.Tokens),
		notify:   make(chan struct{}, 1),
	}
	e.runs = append(e.runs, r)
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority < r.priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, r)
	found, missed := e.cache.add(q.Prompt)
	r.Cached = found
	e.history.Hits += int64(found)
	e.history.Misses += int64(missed)
	r.ready = now.Add(time.Duration(missed) * e.config.Prefill)
	e.admit(now)
	e.note(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r
}

// stopAt returns the number of tokens after which the model stops: the N of "<stop N>" in the prompt, otherwise max.
func stopAt(prompt string, limit int) int {
	_, rest, ok := strings.Cut(prompt, "<stop ")
	if !ok {
		return limit
	}
	digits, _, _ := strings.Cut(rest, ">")
	n, err := strconv.Atoi(digits)
	if err != nil || n <= 0 {
		return limit
	}
	return min(n, limit)
}

// admit gives free slots to waiting requests; the caller holds the lock.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		wait := now.Sub(time.UnixMilli(r.Start))
		r.ready = r.ready.Add(wait)
		r.Begin = now.UnixMilli()
		r.Outcome = Running
		e.running = append(e.running, r)
	}
}

// note records the load for the lagging report; the caller holds the lock.
func (e *Engine) note(now time.Time) {
	e.loads = append(e.loads, reading{at: now, running: len(e.running), waiting: len(e.waiting)})
	for len(e.loads) > 1 && !e.loads[1].at.After(now.Add(-e.config.Lag)) {
		e.loads = e.loads[1:]
	}
}

// leave ends a run that has not ended yet.
func (e *Engine) leave(r *run, outcome string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.End != 0 {
		return
	}
	r.end(outcome, now)
	e.remove(r, now)
}

// remove frees the slot of a run; the caller holds the lock.
func (e *Engine) remove(r *run, now time.Time) {
	same := func(o *run) bool { return o == r }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.admit(now)
	e.note(now)
}

// batch makes tokens until the context ends.
func (e *Engine) batch(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		if e.step(time.Now()) {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
	}
}

// step makes the tokens that are due and reports whether any request runs.
func (e *Engine) step(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	passed := min(now.Sub(e.last), maxStep)
	e.last = now
	rate := e.rate(now)
	for _, r := range slices.Clone(e.running) {
		if now.Before(r.ready) {
			continue
		}
		r.credit += rate * min(passed, now.Sub(r.ready)).Seconds()
		n := min(int(r.credit), r.stop-r.next)
		r.credit -= float64(n)
		e.make(r, n)
		if r.crashes && r.Made > 0 {
			e.fall(now)
			return false
		}
		if r.next >= r.stop {
			e.finish(r, now)
		}
	}
	return len(e.running) > 0
}

// rate returns the present tokens a second of each stream; the caller holds the lock.
func (e *Engine) rate(now time.Time) float64 {
	if !e.until.IsZero() && !now.Before(e.until) {
		e.slow, e.until = 1, time.Time{}
	}
	rate := e.config.Rate / e.slow
	if n := len(e.running); n > 1 && e.config.Slots > 1 {
		rate *= 1 - e.config.Falling*float64(n-1)/float64(e.config.Slots-1)
	}
	return rate
}

// make appends n tokens of the present version; the caller holds the lock.
func (e *Engine) make(r *run, n int) {
	if n <= 0 {
		return
	}
	v := e.weights.version
	ev := wire.EngineEvent{First: r.next, Version: v, Tokens: make([]string, n)}
	for i := range n {
		ev.Tokens[i] = token.Text(r.hash, r.next+i, v)
	}
	last := r.next + n - 1
	if k := len(r.Spans); k > 0 && r.Spans[k-1].Version == v {
		r.Spans[k-1].Last = last
	} else {
		r.Spans = append(r.Spans, wire.Span{First: r.next, Last: last, Version: v})
	}
	r.next += n
	r.Made += n
	e.history.Tokens += int64(n)
	r.pending = append(r.pending, ev)
	r.signal()
}

// finish ends a run with its last event; the caller holds the lock.
func (e *Engine) finish(r *run, now time.Time) {
	reason := Length
	if r.stop < r.max {
		reason = Stop
	}
	r.pending = append(r.pending, wire.EngineEvent{Done: true, Reason: reason})
	r.end(reason, now)
	e.remove(r, now)
}

// History returns all that the engine has seen.
func (e *Engine) History() report.EngineHistory {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.history
	h.Loads = slices.Clone(h.Loads)
	h.Runs = make([]report.EngineRun, len(e.runs))
	for i, r := range e.runs {
		h.Runs[i] = r.EngineRun
		h.Runs[i].Spans = slices.Clone(r.Spans)
	}
	return h
}
