// Package engine simulates a model engine.
//
// # Usage
//
//	e := engine.New(engine.Config{Model: "plan", Version: 1, Slots: 8, Rate: 200})
//	err := e.Serve(ctx, listener)
//
// It serves the engine protocol of section 10 of docs/design.md: slots with continuous batching, a prefix cache,
// priorities, resume, cancellation, weight changes within a stream, a delayed load report and crashes. Its tokens are
// those of the package token. Counters, history and injected faults survive a crash; all other state is lost.
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
	batchInterval    = 5 * time.Millisecond   // tokens of one batching step are sent in one event
	maxStepTime      = 100 * time.Millisecond // limits the tokens that are generated at once after the process was paused
	headerTimeout    = 10 * time.Second
	crashDelay       = 20 * time.Millisecond // after the response to a control request
	listenRetryDelay = 20 * time.Millisecond
)

// Outcomes of a request.
const (
	Waiting      = "waiting"
	Running      = "running"
	Length       = "length"
	Stop         = "stop"
	Cancelled    = "cancelled"
	Disconnected = "gone" // the client closed the connection
	Crashed      = "crashed"
)

// Config holds the properties of an engine.
type Config struct {
	Model           string
	Version         int64         // weight version at the start and after each crash
	Slots           int           // requests that run concurrently
	Rate            float64       // tokens per second of each stream
	BusySlowdown    float64       // fraction of Rate lost when all slots are busy, 0 to 1; grows linearly with busy slots
	PrefillPerBlock time.Duration // time for one prompt block that is not in the prefix cache
	CacheBlocks     int           // size of the prefix cache in blocks of 64 bytes of prompt
	LoadTime        time.Duration // time to load a weight version, after its download
	LoadLag         time.Duration // age of the load report
	RestartTime     time.Duration // time after a crash during which connections are refused
	Marker          string        // a prompt that contains it crashes the engine after its first tokens; empty for none
	IgnoreFencing   bool          // accepts loads with an old fencing token
	WeightStoreURL  string        // base URL of the weight store; empty for none
}

// Engine is one simulated model engine. It is an http.Handler.
type Engine struct {
	config Config

	mu           sync.Mutex
	runs         []*run
	waiting      []*run // by priority, then arrival
	running      []*run
	history      report.EngineHistory
	slowdown     float64
	slowUntil    time.Time // end of the slowdown, zero for no limit
	failingLoads int
	weights      weightState
	cache        *prefixCache
	loadReadings []loadReading
	lastStep     time.Time     // time of the last batching step
	wake         chan struct{} // resumes batching after a request was submitted
	crashed      chan struct{} // closed by a crash
	restart      chan struct{} // signals a crash to Serve
}

// run is one completion request.
type run struct {
	report.EngineRun
	hash          string
	maxTokens     int
	stopAfter     int // number of tokens, held ones included, at which the model stops
	priority      int
	triggersCrash bool
	prefillEnd    time.Time // end of the prefill
	credit        float64   // tokens that are due but not generated yet, with the fraction of the next one
	nextIndex     int       // index of the next token
	pending       []wire.EngineEvent
	notify        chan struct{}
}

// loadReading is the load at one time, kept for the delayed load report.
type loadReading struct {
	at      time.Time
	running int
	waiting int
}

// New returns an engine; Serve starts it.
func New(c Config) *Engine {
	e := &Engine{config: c, slowdown: 1, wake: make(chan struct{}, 1), restart: make(chan struct{}, 1)}
	e.reset()
	return e
}

// reset clears all state that is lost in a crash. The caller holds the lock, except in New.
func (e *Engine) reset() {
	e.waiting = nil
	e.running = nil
	e.weights = weightState{version: e.config.Version}
	e.cache = newPrefixCache(e.config.CacheBlocks)
	e.loadReadings = nil
	e.crashed = make(chan struct{})
}

// Serve serves on the listener until the context ends. After a crash it closes the listener, waits for the restart time
// and listens on the same address again.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	address := l.Addr().String()
	for {
		if err := e.serve(ctx, l); err != nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(e.config.RestartTime)
		var err error
		if l, err = listen(ctx, address); err != nil {
			return err
		}
	}
}

// listen listens on the address. It retries until the context ends, because an outgoing connection may briefly use the
// port.
func listen(ctx context.Context, address string) (net.Listener, error) {
	for {
		l, err := net.Listen("tcp", address)
		if err == nil || ctx.Err() != nil {
			return l, err
		}
		time.Sleep(listenRetryDelay)
	}
}

// serve serves on one listener until the context ends or the engine crashes; it returns nil in both cases.
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
	go e.batchLoop(ctx)
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Crash closes all connections and discards the state that does not survive a crash.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked(time.Now())
}

// crashLocked crashes the engine; the caller holds the lock.
func (e *Engine) crashLocked(now time.Time) {
	e.history.Crashes++
	for _, r := range slices.Concat(e.running, e.waiting) {
		r.end(Crashed, now)
	}
	for i := range e.history.Loads {
		if e.history.Loads[i].Outcome == loading {
			e.history.Loads[i].Outcome = Crashed
		}
	}
	close(e.crashed)
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

// submit queues a request; the caller holds the lock.
func (e *Engine) submit(q wire.EngineRequest, now time.Time) *run {
	hash := token.Hash(q.Prompt)
	r := &run{
		EngineRun: report.EngineRun{
			ID: q.ID, Prompt: hash, Start: now.UnixMilli(), Held: len(q.Tokens), Outcome: Waiting, Spans: []wire.Span{},
		},
		hash:          hash,
		maxTokens:     q.Max,
		stopAfter:     stopLength(q.Prompt, q.Max),
		priority:      q.Priority,
		triggersCrash: e.config.Marker != "" && strings.Contains(q.Prompt, e.config.Marker),
		nextIndex:     len(q.Tokens),
		notify:        make(chan struct{}, 1),
	}
	e.runs = append(e.runs, r)
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority < r.priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, r)
	hits, misses := e.cache.insert(q.Prompt)
	r.Cached = hits
	e.history.Hits += int64(hits)
	e.history.Misses += int64(misses)
	r.prefillEnd = now.Add(time.Duration(misses) * e.config.PrefillPerBlock)
	e.admit(now)
	e.recordLoad(now)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r
}

// stopLength returns the number of tokens at which the model stops: the N of "<stop N>" in the prompt, but at most
// limit. It returns limit if the prompt has no such text.
func stopLength(prompt string, limit int) int {
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

// admit assigns free slots to waiting requests; the caller holds the lock.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		wait := now.Sub(time.UnixMilli(r.Start))
		r.prefillEnd = r.prefillEnd.Add(wait)
		r.Begin = now.UnixMilli()
		r.Outcome = Running
		e.running = append(e.running, r)
	}
}

// recordLoad records the load for the delayed load report; the caller holds the lock.
func (e *Engine) recordLoad(now time.Time) {
	e.loadReadings = append(e.loadReadings, loadReading{at: now, running: len(e.running), waiting: len(e.waiting)})
	for len(e.loadReadings) > 1 && !e.loadReadings[1].at.After(now.Add(-e.config.LoadLag)) {
		e.loadReadings = e.loadReadings[1:]
	}
}

// abort ends a run, unless it has ended already, without sending a last event.
func (e *Engine) abort(r *run, outcome string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.End != 0 {
		return
	}
	r.end(outcome, now)
	e.remove(r, now)
}

// remove removes a run from its slot or the queue and admits waiting ones; the caller holds the lock.
func (e *Engine) remove(r *run, now time.Time) {
	same := func(o *run) bool { return o == r }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.admit(now)
	e.recordLoad(now)
}

// batchLoop generates tokens until the context ends.
func (e *Engine) batchLoop(ctx context.Context) {
	t := time.NewTicker(batchInterval)
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

// step generates the tokens that are due and reports whether any request is running.
func (e *Engine) step(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	passed := min(now.Sub(e.lastStep), maxStepTime)
	e.lastStep = now
	rate := e.tokenRate(now)
	for _, r := range slices.Clone(e.running) {
		if now.Before(r.prefillEnd) {
			continue
		}
		r.credit += rate * min(passed, now.Sub(r.prefillEnd)).Seconds()
		n := min(int(r.credit), r.stopAfter-r.nextIndex)
		r.credit -= float64(n)
		e.generate(r, n)
		if r.triggersCrash && r.Made > 0 {
			e.crashLocked(now)
			return false
		}
		if r.nextIndex >= r.stopAfter {
			e.finish(r, now)
		}
	}
	return len(e.running) > 0
}

// tokenRate returns the current tokens per second of each stream; the caller holds the lock.
func (e *Engine) tokenRate(now time.Time) float64 {
	if !e.slowUntil.IsZero() && !now.Before(e.slowUntil) {
		e.slowdown, e.slowUntil = 1, time.Time{}
	}
	rate := e.config.Rate / e.slowdown
	if n := len(e.running); n > 1 && e.config.Slots > 1 {
		rate *= 1 - e.config.BusySlowdown*float64(n-1)/float64(e.config.Slots-1)
	}
	return rate
}

// generate appends n tokens of the current weight version; the caller holds the lock.
func (e *Engine) generate(r *run, n int) {
	if n <= 0 {
		return
	}
	v := e.weights.version
	ev := wire.EngineEvent{First: r.nextIndex, Version: v, Tokens: make([]string, n)}
	for i := range n {
		ev.Tokens[i] = token.Text(r.hash, r.nextIndex+i, v)
	}
	last := r.nextIndex + n - 1
	if k := len(r.Spans); k > 0 && r.Spans[k-1].Version == v {
		r.Spans[k-1].Last = last
	} else {
		r.Spans = append(r.Spans, wire.Span{First: r.nextIndex, Last: last, Version: v})
	}
	r.nextIndex += n
	r.Made += n
	e.history.Tokens += int64(n)
	r.pending = append(r.pending, ev)
	r.signal()
}

// finish completes a run and queues its last event; the caller holds the lock.
func (e *Engine) finish(r *run, now time.Time) {
	reason := Length
	if r.stopAfter < r.maxTokens {
		reason = Stop
	}
	r.pending = append(r.pending, wire.EngineEvent{Done: true, Reason: reason})
	r.end(reason, now)
	e.remove(r, now)
}

// History returns a copy of the history.
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
