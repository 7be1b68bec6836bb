// Package engine runs attempts on one model engine and commands its weights.
//
// # Usage
//
//	e := engine.New(config, changed, logger)
//	end, stopped := e.Run(ctx, a, run)
//
// The version of each token is the one that the engine reports with the event that carries it. A stream that breaks
// without its last event is taken for a crash of the engine.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"bulrushspoke/daemon/internal/attempt"
	"bulrushspoke/daemon/internal/exchange"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

const (
	// commandTimeout bounds the short calls: version, load and cancel.
	commandTimeout = time.Second
	// cancelGrace is how long a cancelled stream may take to end by itself before its connection is closed.
	cancelGrace = 2 * time.Second
	// maxEvent bounds one line of a stream, in bytes.
	maxEvent = 1 << 20
	// maxProblem bounds the text of an error answer that goes into a message, in bytes.
	maxProblem = 512
)

// Finish reasons of the engine protocol.
const (
	reasonCancelled = "cancelled"
	reasonLength    = "length"
)

// Priorities of the engine protocol; higher runs first.
const (
	priorityTrain = 0
	priorityLive  = 1
)

// Config describes one engine.
type Config struct {
	Name  string
	Model string
	URL   string // such as http://127.0.0.1:9000
	Slots int
	// Fencing is true if the engine refuses commands with an old fencing token.
	Fencing bool
}

// Engine is the client of one engine.
type Engine struct {
	config  Config
	changed func(s wire.Server, crashed bool)
	logger  *slog.Logger
	client  *fasthttp.Client

	mu      sync.Mutex
	up      bool
	version int64
	fence   int64         // highest token that the engine has seen
	misses  int           // version reads in a row without an answer
	losses  int           // times that the engine was found dead
	epoch   int           // counts crashes
	active  map[*run]bool // streams in flight
	sizes   map[int]int   // streams in flight at the crash that ended an epoch
	recheck chan struct{} // asks the watching task to read the version now
}

// run is one stream in flight.
type run struct {
	epoch int
}

// New returns the client of an engine; changed is called after each change of its state.
func New(c Config, changed func(s wire.Server, crashed bool), logger *slog.Logger) *Engine {
	return &Engine{
		config:  c,
		changed: changed,
		logger:  logger.With("server", c.Name),
		client: &fasthttp.Client{
			ReadTimeout:               commandTimeout,
			WriteTimeout:              commandTimeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
		active:  make(map[*run]bool),
		sizes:   make(map[int]int),
		recheck: make(chan struct{}, 1),
	}
}

// Server returns the state of the engine.
func (e *Engine) Server() wire.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server()
}

func (e *Engine) server() wire.Server {
	return wire.Server{
		Name: e.config.Name, Kind: "engine", Model: e.config.Model,
		Slots: e.config.Slots, Up: e.up, Version: e.version,
	}
}

// Run streams an attempt until it ends or ctx ends; stopped tells that ctx ended it. The number of the run
// distinguishes the runs of an attempt that was preempted and resumed.
func (e *Engine) Run(ctx context.Context, a *attempt.Attempt, number int) (end attempt.End, stopped bool) {
	if err := e.checkFloor(a); err != nil {
		return attempt.End{Refusal: err}, false
	}
	if w := a.Work(); len(a.Tokens()) >= w.Max {
		// It was stopped after its last token.
		return attempt.End{Finish: reasonLength}, false
	}
	r := e.begin()
	defer e.finish(r)
	id := a.ID()
	if number > 1 {
		id = fmt.Sprintf("%s.%d", id, number)
	}
	// The connection outlives ctx by the grace, so that the last tokens of a cancelled stream are kept.
	conn, hang := context.WithCancel(context.WithoutCancel(ctx))
	defer hang()
	defer context.AfterFunc(ctx, func() {
		time.AfterFunc(cancelGrace, hang)
		e.cancel(id)
	})()
	x, err := exchange.Open(conn, e.request(a, id))
	if err != nil {
		return e.broken(ctx, a, r, err)
	}
	defer x.Close()
	if status := x.Response().StatusCode(); status != fasthttp.StatusOK {
		body, _ := x.ReadAll(maxProblem)
		return refuse(a, refusal.Broken, "engine answered %d: %s", status, body), false
	}
	end, stopped = e.stream(ctx, a, r, x.Body())
	if end.Refusal != nil && !end.Crashed {
		e.cancel(id)
	}
	return end, stopped
}

func (e *Engine) request(a *attempt.Attempt, id string) *fasthttp.Request {
	w := a.Work()
	priority := priorityLive
	if w.Class == attempt.Train {
		priority = priorityTrain
	}
	body, err := json.Marshal(wire.EngineRequest{
		ID: id, Prompt: w.Prompt, Tokens: a.Tokens(), Max: w.Max, Priority: priority,
	})
	if err != nil {
		panic(eris.Wrap(err, "engine: request"))
	}
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI(e.config.URL + "/v1/completions")
	req.SetBody(body)
	return req
}

// stream reads events until the last one.
func (e *Engine) stream(ctx context.Context, a *attempt.Attempt, r *run, body io.Reader) (attempt.End, bool) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEvent)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		var ev wire.EngineEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return refuse(a, refusal.Broken, "engine sent an event that is not valid: %v", err), false
		}
		if err := e.take(a, ev); err != nil {
			return attempt.End{Refusal: err}, false
		}
		if !ev.Done {
			continue
		}
		if ev.Reason != reasonCancelled {
			return attempt.End{Finish: ev.Reason}, false
		}
		if ctx.Err() != nil {
			return attempt.End{}, true
		}
		return refuse(a, refusal.Broken, "engine cancelled the stream"), false
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return e.broken(ctx, a, r, err)
}

// take adds the tokens of an event to the attempt.
func (e *Engine) take(a *attempt.Attempt, ev wire.EngineEvent) *refusal.Error {
	if len(ev.Tokens) == 0 {
		return nil
	}
	e.streamed(ev.Version)
	if floor := a.Work().Floor; ev.Version < floor {
		return refusal.New(refusal.StaleVersion, ran(a), "engine runs version %d, below %d", ev.Version, floor)
	}
	if err := a.Append(time.Now(), ev.First, ev.Tokens, ev.Version); err != nil {
		return refusal.New(refusal.Broken, ran(a), "%v", err)
	}
	return nil
}

// broken tells how an attempt ends whose connection failed.
func (e *Engine) broken(ctx context.Context, a *attempt.Attempt, r *run, err error) (attempt.End, bool) {
	var dial *exchange.DialError
	if errors.As(err, &dial) {
		if exchange.Refused(err) {
			e.lost(false)
		}
		e.Recheck()
		if ctx.Err() != nil {
			return attempt.End{}, true
		}
		return refuse(a, refusal.NoUpstream, "engine does not answer: %v", err), false
	}
	if ctx.Err() != nil {
		return attempt.End{}, true
	}
	sole := e.crashed(r)
	end := attempt.End{Crashed: true, Sole: sole}
	end.Refusal = refusal.New(refusal.Crashed, refusal.Partial, "engine broke the stream: %v", err)
	return end, false
}

// ran tells what is proved about an attempt that the engine refused or that stops between events.
func ran(a *attempt.Attempt) refusal.Ran {
	if len(a.Tokens()) > len(a.Work().Held) {
		return refusal.Partial
	}
	return refusal.NotRun
}

func refuse(a *attempt.Attempt, code refusal.Code, format string, args ...any) attempt.End {
	return attempt.End{Refusal: refusal.New(code, ran(a), format, args...)}
}

// checkFloor refuses work that the present version cannot serve.
func (e *Engine) checkFloor(a *attempt.Attempt) *refusal.Error {
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	if floor := a.Work().Floor; version != 0 && version < floor {
		e.Recheck()
		return refusal.New(refusal.StaleVersion, ran(a), "engine runs version %d, below %d", version, floor)
	}
	return nil
}

func (e *Engine) begin() *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &run{epoch: e.epoch}
	e.active[r] = true
	return r
}

func (e *Engine) finish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, r)
}

// crashed notes the crash that broke a stream and reports whether nothing else ran. All streams that one crash breaks
// see the number of streams at the first break.
func (e *Engine) crashed(r *run) bool {
	e.mu.Lock()
	first := r.epoch == e.epoch
	if first {
		e.sizes = map[int]int{e.epoch: len(e.active)}
		e.epoch++
	}
	sole := e.sizes[r.epoch] == 1
	e.mu.Unlock()
	if first {
		event.EngineCrashed.Log(e.logger)
		e.lost(true)
	}
	return sole
}

// lost notes that the engine does not answer.
func (e *Engine) lost(crashed bool) {
	e.mu.Lock()
	was := e.up
	e.up = false
	e.losses++
	s := e.server()
	e.mu.Unlock()
	e.Recheck()
	if was || crashed {
		e.changed(s, crashed)
	}
}

// seen notes a version that the engine has reported.
func (e *Engine) seen(version int64) {
	e.mu.Lock()
	back := !e.up
	same := !back && e.version == version
	e.up = true
	e.version = version
	s := e.server()
	e.mu.Unlock()
	if back {
		event.ServerUp.Log(e.logger, "version", version)
	}
	if !same {
		e.changed(s, false)
	}
}

// streamed notes the version of a stream's event. Events wait in buffers, so that an older version than the last one
// read is no proof that the engine has gone back.
func (e *Engine) streamed(version int64) {
	e.mu.Lock()
	older := version < e.version
	e.mu.Unlock()
	if older {
		e.Recheck()
		return
	}
	e.seen(version)
}

// cancel asks the engine to stop a stream.
func (e *Engine) cancel(id string) {
	status, _, err := e.do(fasthttp.MethodDelete, "/v1/completions/"+id, nil)
	if err != nil || status >= fasthttp.StatusInternalServerError {
		event.EngineCancelFailed.Log(e.logger, "attempt", id, "status", status, "cause", fmt.Sprint(err))
	}
}

// do makes one short call.
func (e *Engine) do(method, path string, body []byte) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(strings.TrimSuffix(e.config.URL, "/") + path)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := e.client.DoTimeout(req, resp, commandTimeout); err != nil {
		return 0, nil, eris.Wrap(err, "engine: "+path)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
