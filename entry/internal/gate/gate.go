// Package gate is the HTTP server of the entry: it authenticates, bounds and routes requests.
//
// # Usage
//
//	g := gate.New(tokens, limits, profiles, logger)
//	g.Handle("POST", "/v1/steps/{run}/{step}/pull", gate.Trainer, pull)
//	err := g.Serve(listener)
//
// A handler returns a *refusal.Error to refuse a request; any other error is answered as internal and logged. Byte
// slices of a request are valid only until its handler returns. A handler that streams its answer calls Stream, which
// keeps the workspace's place until the last byte is written. A pattern part such as {path:*} takes the rest of a path.
package gate

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// Roles of tokens. Public paths need no token.
const (
	Public   = ""
	Caller   = "caller"
	Trainer  = "trainer"
	Operator = "operator"
)

// Any as a method routes all methods.
const Any = router.MethodWild

// RequestHeader names the request in each answer.
const RequestHeader = "Bulrush-Request"

const jsonType = "application/json"

// Identity is what a bearer token maps to.
type Identity struct {
	Workspace string
	Profile   string
	Role      string // caller, trainer or operator
}

// Profiles finds the profile that bounds a workspace's concurrent requests.
type Profiles interface {
	Profile(name string) (wire.Profile, bool)
}

// Limits bound what one client can take up.
type Limits struct {
	Body   int           // bytes of a request body
	Header int           // bytes of a request's line and header
	Read   time.Duration // time to read a whole request
	Write  time.Duration // time for one write to a client to make progress
	Idle   time.Duration // time that a connection may wait for its next request
}

// Handler serves one path; the error it returns is written as a typed refusal.
type Handler func(r *Request) error

// Gate is the HTTP server.
type Gate struct {
	tokens   map[string]Identity
	limits   Limits
	profiles Profiles
	logger   *slog.Logger
	routes   *router.Router
	server   *fasthttp.Server
	places   places
	refused  func(refusal.Code)
}

// New returns a server without routes.
func New(tokens map[string]Identity, limits Limits, profiles Profiles, logger *slog.Logger) *Gate {
	g := &Gate{tokens: tokens, limits: limits, profiles: profiles, logger: logger, routes: router.New()}
	g.refused = func(refusal.Code) {}
	g.routes.RedirectTrailingSlash = false
	g.routes.RedirectFixedPath = false
	g.routes.HandleOPTIONS = false
	g.routes.NotFound = g.absent(refusal.NotFound, "no such path")
	g.routes.MethodNotAllowed = g.absent(refusal.NotFound, "no such method for this path")
	g.server = &fasthttp.Server{
		Handler:               supervise.Handler(g.logger, g.routes.Handler),
		ErrorHandler:          g.unreadable,
		NoDefaultServerHeader: true,
		ReadBufferSize:        limits.Header,
		MaxRequestBodySize:    limits.Body,
		HeaderReceived:        g.bound,
		ReadTimeout:           limits.Read,
		IdleTimeout:           limits.Idle,
		CloseOnShutdown:       true,
		Logger:                quiet{},
	}
	return g
}

// Handle routes a method and pattern such as /v1/steps/{run}/{step}/pull to h for tokens of the given role. It must
// not be called once Serve runs.
func (g *Gate) Handle(method, pattern, role string, h Handler) {
	g.routes.Handle(method, pattern, func(ctx *fasthttp.RequestCtx) {
		r := g.request(ctx)
		defer g.recover(r)
		if err := g.admit(r, role); err != nil {
			g.refuse(r, keyed(r, err))
			return
		}
		defer r.leave()
		if err := h(r); err != nil {
			g.refuse(r, err)
		}
	})
}

// OnRefuse calls f with the code of each refusal; it must not be called once Serve runs.
func (g *Gate) OnRefuse(f func(refusal.Code)) { g.refused = f }

// Serve answers requests on l until Shutdown.
func (g *Gate) Serve(l net.Listener) error {
	return g.server.Serve(&listener{Listener: l, write: g.limits.Write})
}

// Shutdown stops accepting connections and waits until every request and stream has ended or ctx ends.
func (g *Gate) Shutdown(ctx context.Context) error {
	return g.server.ShutdownWithContext(ctx)
}

func (g *Gate) request(ctx *fasthttp.RequestCtx) *Request {
	r := &Request{RequestCtx: ctx, ID: ulid.Make().String(), logger: g.logger}
	ctx.Response.Header.Set(RequestHeader, r.ID)
	return r
}

// admit checks the token and role and takes a place of the workspace.
func (g *Gate) admit(r *Request, role string) error {
	if role == Public {
		return nil
	}
	if err := g.identify(r); err != nil {
		return err
	}
	if r.Identity.Role != role {
		return refusal.New(refusal.Forbidden, refusal.NotRun, "role %s may not call this path", r.Identity.Role)
	}
	// Operators are not counted, so that they can act while a workspace is at its limit.
	if role == Operator {
		return nil
	}
	p, ok := g.profiles.Profile(r.Identity.Profile)
	if !ok {
		return refusal.New(refusal.Unready, refusal.NotRun, "profile %s is not known yet", r.Identity.Profile).
			After(unreadyRetry)
	}
	key := r.Identity.Workspace + "\x00" + r.Identity.Profile
	if !g.places.take(key, p.Concurrency) {
		return refusal.New(refusal.TooMany, refusal.NotRun, "workspace %s already has %d requests in flight",
			r.Identity.Workspace, p.Concurrency).After(busyRetry)
	}
	r.release = func() { g.places.give(key) }
	return nil
}

// KeyHeader carries the idempotency key of a request that may run at most once.
const KeyHeader = "Idempotency-Key"

// keyed keeps a repeat of a request from being refused as not run before its key was looked up: an earlier request with
// the key may have run.
func keyed(r *Request, err error) error {
	var e *refusal.Error
	if len(r.Request.Header.Peek(KeyHeader)) == 0 || !errors.As(err, &e) {
		return err
	}
	if c := e.Code(); c == refusal.TooMany || c == refusal.Unready {
		return e.WithRan(refusal.Unknown)
	}
	return err
}

// Retry times of refusals at the door.
const (
	unreadyRetry = time.Second
	busyRetry    = time.Second
)

// bound keeps clients without a token from filling the memory with bodies.
func (g *Gate) bound(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if _, ok := g.known(h); ok {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: 1}
}

func (g *Gate) known(h *fasthttp.RequestHeader) (Identity, bool) {
	token, ok := strings.CutPrefix(string(h.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return Identity{}, false
	}
	i, ok := g.tokens[token]
	return i, ok
}

func (g *Gate) identify(r *Request) error {
	var ok bool
	r.Identity, ok = g.known(&r.Request.Header)
	if !ok {
		r.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		return refusal.New(refusal.Unauthorized, refusal.NotRun, "a known bearer token is required")
	}
	return nil
}

// absent answers for paths without a route, to holders of a token only.
func (g *Gate) absent(code refusal.Code, text string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		r := g.request(ctx)
		if err := g.identify(r); err != nil {
			g.refuse(r, err)
			return
		}
		g.refuse(r, refusal.New(code, refusal.NotRun, "%s", text))
	}
}

// unreadable answers a request that could not be read.
func (g *Gate) unreadable(ctx *fasthttp.RequestCtx, err error) {
	r := g.request(ctx)
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		if err := g.identify(r); err != nil {
			g.refuse(r, err)
			break
		}
		g.refuse(r, refusal.New(refusal.TooLarge, refusal.NotRun, "the body exceeds %d bytes", g.limits.Body))
	case errors.As(err, &small):
		g.refuse(r, refusal.New(refusal.TooLarge, refusal.NotRun, "the header exceeds %d bytes", g.limits.Header))
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		g.refuse(r, refusal.New(refusal.BadRequest, refusal.NotRun, "the request was not complete within %s", g.limits.Read))
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		g.refuse(r, refusal.New(refusal.BadRequest, refusal.NotRun, "the request is not valid HTTP"))
	}
	ctx.SetConnectionClose()
}

// refuse writes err as the answer.
func (g *Gate) refuse(r *Request, err error) {
	var e *refusal.Error
	if !errors.As(err, &e) {
		event.RequestFailed.Log(g.logger, "request", r.ID, "cause", err.Error())
		e = refusal.New(refusal.Internal, refusal.Unknown, "internal error")
	}
	g.refused(e.Code())
	ctx := r.RequestCtx
	ctx.Response.ResetBody()
	ctx.SetStatusCode(e.Code().Status())
	ctx.SetContentType(jsonType)
	if e.Retry() > 0 {
		// The header has whole seconds; rounding up keeps a client from coming back early.
		seconds := int64((e.Retry() + time.Second - 1) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	body, err := json.Marshal(wire.ErrorBody{Error: Problem(e, r.ID)})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// Problem returns the error body of a refusal, for answers that have already begun.
func Problem(e *refusal.Error, request string) wire.Problem {
	return wire.Problem{
		Code:    string(e.Code()),
		Message: e.Message(),
		Ran:     string(e.Ran()),
		Retry:   e.Retry().Milliseconds(),
		Request: request,
	}
}

// recover answers a request whose handler panicked.
func (g *Gate) recover(r *Request) {
	if v := recover(); v != nil {
		event.TaskPanicked.Log(g.logger, "task", "request", "request", r.ID, "cause", v, "stack", string(debug.Stack()))
		g.refuse(r, refusal.New(refusal.Internal, refusal.Unknown, "internal error"))
	}
}

// Request is an authenticated request with its identity and request id.
type Request struct {
	*fasthttp.RequestCtx
	Identity Identity
	ID       string

	logger   *slog.Logger
	release  func()
	streamed bool
}

// Param returns the part of the path that the pattern calls name, or an empty string.
func (r *Request) Param(name string) string {
	s, _ := r.UserValue(name).(string)
	return s
}

// JSON answers with status 200 and v as JSON.
func (r *Request) JSON(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r.SetContentType(jsonType)
	r.SetBody(body)
	return nil
}

// Decode reads the body as JSON into v; its error is a bad_request refusal.
func (r *Request) Decode(v any) error {
	if err := json.Unmarshal(r.PostBody(), v); err != nil {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "body: %s", err)
	}
	return nil
}

// Stream answers with the bytes that f writes. It returns at once; f runs in a task of its own and must not use the
// request. Writes fail once the client is gone.
func (r *Request) Stream(f func(w *bufio.Writer)) {
	r.streamed = true
	release, id, logger := r.release, r.ID, r.logger
	r.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer func() {
			if release != nil {
				release()
			}
			if v := recover(); v != nil {
				event.TaskPanicked.Log(logger, "task", "stream", "request", id, "cause", v, "stack", string(debug.Stack()))
			}
		}()
		f(w)
	})
}

// leave gives the workspace's place back unless a stream still holds it.
func (r *Request) leave() {
	if r.release != nil && !r.streamed {
		r.release()
	}
}

// quiet drops the server's own lines about broken connections, which clients cause at will.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
