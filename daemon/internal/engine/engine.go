// Package engine runs attempts on one model engine and controls which weights it loads.
//
// # Usage
//
//	e := engine.New(config, changed, logger)
//	end, stopped := e.Run(ctx, a, run)
//
// The version of a token is the one that the engine reports in the event with the token. A stream that ends without its
// last event counts as a crash of the engine.
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
	"bulrushspoke/internal/httpstatus"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

const (
	// commandTimeout is the timeout of the short calls: version, load and cancel.
	commandTimeout = time.Second
	// cancelGrace is the time that a cancelled stream has to end by itself before its connection is closed.
	cancelGrace = 2 * time.Second
	// maxEventBytes is the size limit of one line of a stream.
	maxEventBytes = 1 << 20
	// maxAnswerBytes is the size limit of the body of the answer to a short call.
	maxAnswerBytes = 64 << 10
	// maxErrorBytes is the size limit of the body of an error response, which is copied into the refusal.
	maxErrorBytes = 512
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
	// Fencing is set if the engine refuses commands with an old fencing token.
	Fencing bool
}

// Engine is the client of one engine.
type Engine struct {
	config  Config
	changed func(s wire.Server, crashed bool)
	logger  *slog.Logger
	client  *fasthttp.Client

	mu              sync.Mutex
	up              bool
	version         int64
	fence           int64         // highest fencing token that the engine has seen
	failedReads     int           // consecutive version reads that failed
	downCount       int           // times that the engine was marked as down by an attempt
	epoch           int           // number of crashes so far
	active          map[*run]bool // streams in flight
	inflightAtCrash map[int]int   // streams in flight at the crash that ended an epoch
	recheck         chan struct{} // makes Watch read the version now
}

// run is one stream in flight.
type run struct {
	epoch int
}

// New returns the client of an engine. changed is called after each change of the engine's state.
func New(c Config, changed func(s wire.Server, crashed bool), logger *slog.Logger) *Engine {
	return &Engine{
		config:  c,
		changed: changed,
		logger:  logger.With("server", c.Name),
		client: &fasthttp.Client{
			DialTimeout:               httpstatus.DialTimeout,
			ReadTimeout:               commandTimeout,
			WriteTimeout:              commandTimeout,
			MaxResponseBodySize:       maxAnswerBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
		active:          make(map[*run]bool),
		inflightAtCrash: make(map[int]int),
		recheck:         make(chan struct{}, 1),
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

// Run streams an attempt until it ends or ctx is done; stopped is true if ctx ended it. The run number distinguishes the
// runs of an attempt that was preempted and resumed.
func (e *Engine) Run(ctx context.Context, a *attempt.Attempt, number int) (end attempt.End, stopped bool) {
	if err := e.checkMinVersion(a); err != nil {
		return attempt.End{Refusal: err}, false
	}
	if w := a.Work(); len(a.Tokens()) >= w.Max {
		// The attempt was preempted after its last token.
		return attempt.End{Finish: reasonLength}, false
	}
	r := e.addRun()
	defer e.removeRun(r)
	id := a.ID()
	if number > 1 {
		id = fmt.Sprintf("%s.%d", id, number)
	}
	// The connection stays open for cancelGrace after ctx, so that the last tokens of a cancelled stream are received.
	conn, closeConn := context.WithCancel(context.WithoutCancel(ctx))
	defer closeConn()
	defer context.AfterFunc(ctx, func() {
		time.AfterFunc(cancelGrace, closeConn)
		e.cancel(id)
	})()
	x, err := exchange.Open(conn, e.request(a, id))
	var invalid *httpstatus.InvalidError
	if errors.As(err, &invalid) {
		e.cancel(id)
		return attempt.End{Refusal: refusal.New(refusal.Broken, refusal.Unknown, "engine sent an invalid status: %v", err)}, false
	}
	if err != nil {
		return e.connFailed(ctx, a, r, err)
	}
	defer x.Close()
	if status := x.Response().StatusCode(); status != fasthttp.StatusOK {
		body, _ := x.ReadAll(maxErrorBytes)
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

// stream reads the events of a response up to the last one.
func (e *Engine) stream(ctx context.Context, a *attempt.Attempt, r *run, body io.Reader) (attempt.End, bool) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		var ev wire.EngineEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return refuse(a, refusal.Broken, "engine sent an event that is not valid: %v", err), false
		}
		if err := e.appendTokens(a, ev); err != nil {
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
	return e.connFailed(ctx, a, r, err)
}

// appendTokens adds the tokens of an event to the attempt.
func (e *Engine) appendTokens(a *attempt.Attempt, ev wire.EngineEvent) *refusal.Error {
	if len(ev.Tokens) == 0 {
		return nil
	}
	e.observeVersion(ev.Version)
	if floor := a.Work().Floor; ev.Version < floor {
		return refusal.New(refusal.StaleVersion, ran(a), "engine runs version %d, below %d", ev.Version, floor)
	}
	if err := a.Append(time.Now(), ev.First, ev.Tokens, ev.Version); err != nil {
		return refusal.New(refusal.Broken, ran(a), "%v", err)
	}
	return nil
}

// connFailed returns the end of an attempt whose connection failed.
func (e *Engine) connFailed(ctx context.Context, a *attempt.Attempt, r *run, err error) (attempt.End, bool) {
	var dial *exchange.DialError
	if errors.As(err, &dial) {
		if exchange.Refused(err) {
			e.markDown(false)
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
	sole := e.recordCrash(r)
	end := attempt.End{Crashed: true, Sole: sole}
	end.Refusal = refusal.New(refusal.Crashed, refusal.Partial, "engine broke the stream: %v", err)
	return end, false
}

// ran returns what is known about the execution of an attempt that the engine refused or that stops between two events.
func ran(a *attempt.Attempt) refusal.Ran {
	if len(a.Tokens()) > len(a.Work().Held) {
		return refusal.Partial
	}
	return refusal.NotRun
}

func refuse(a *attempt.Attempt, code refusal.Code, format string, args ...any) attempt.End {
	return attempt.End{Refusal: refusal.New(code, ran(a), format, args...)}
}

// checkMinVersion refuses work that requires a newer version than the engine's.
func (e *Engine) checkMinVersion(a *attempt.Attempt) *refusal.Error {
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	if floor := a.Work().Floor; version != 0 && version < floor {
		e.Recheck()
		return refusal.New(refusal.StaleVersion, ran(a), "engine runs version %d, below %d", version, floor)
	}
	return nil
}

func (e *Engine) addRun() *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &run{epoch: e.epoch}
	e.active[r] = true
	return r
}

func (e *Engine) removeRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, r)
}

// recordCrash records the crash that ended a stream and reports whether no other stream was in flight. All streams that
// are ended by the same crash use the number of streams in flight at the first of them.
func (e *Engine) recordCrash(r *run) bool {
	e.mu.Lock()
	first := r.epoch == e.epoch
	if first {
		e.inflightAtCrash = map[int]int{e.epoch: len(e.active)}
		e.epoch++
	}
	sole := e.inflightAtCrash[r.epoch] == 1
	e.mu.Unlock()
	if first {
		event.EngineCrashed.Log(e.logger)
		e.markDown(true)
	}
	return sole
}

// markDown records that the engine does not answer.
func (e *Engine) markDown(crashed bool) {
	e.mu.Lock()
	was := e.up
	e.up = false
	e.downCount++
	s := e.server()
	e.mu.Unlock()
	e.Recheck()
	if was || crashed {
		e.changed(s, crashed)
	}
}

// setVersion records a version that the engine has reported, which also shows that the engine is up.
func (e *Engine) setVersion(version int64) {
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

// observeVersion records the version in an event of a stream. Events may be buffered, so a version older than the last one
// read does not prove that the engine went back to it; then the version is read again.
func (e *Engine) observeVersion(version int64) {
	e.mu.Lock()
	older := version < e.version
	e.mu.Unlock()
	if older {
		e.Recheck()
		return
	}
	e.setVersion(version)
}

// cancel asks the engine to stop a stream.
func (e *Engine) cancel(id string) {
	status, _, err := e.do(fasthttp.MethodDelete, "/v1/completions/"+id, nil)
	if err != nil || status >= fasthttp.StatusInternalServerError {
		event.EngineCancelFailed.Log(e.logger, "attempt", id, "status", status, "cause", fmt.Sprint(err))
	}
}

// do makes one short call and returns the status and the body of the response.
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
