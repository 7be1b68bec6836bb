// Package gate is the HTTP server of the entry: it authenticates requests, enforces limits and routes them.
//
// # Usage
//
//	g := gate.New(tokens, limits, profiles, logger)
//	g.Handle("POST", "/v1/steps/{run}/{step}/pull", gate.Trainer, pull)
//	err := g.Serve(listener)
//
// A handler returns a *refusal.Error to refuse a request. Any other error is logged, and the client receives an internal
// error. Byte slices of a request are valid only until its handler returns. A handler that streams its response calls Stream,
// which counts the request as in flight until the last byte is written. A path parameter such as {path:*} matches the rest of
// the path.
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

// Any matches every method.
const Any = router.MethodWild

// RequestHeader is the response header with the request id.
const RequestHeader = "Bulrush-Request"

const jsonType = "application/json"

// Identity is the identity that a bearer token stands for.
type Identity struct {
	Workspace string
	Profile   string
	Role      string // caller, trainer or operator
}

// Profiles looks up the profile that limits the concurrent requests of a workspace.
type Profiles interface {
	Profile(name string) (wire.Profile, bool)
}

// Limits bound the resources that one client can use.
type Limits struct {
	MaxBodyBytes   int           // maximum size of a request body in bytes
	MaxHeaderBytes int           // maximum size of the request line and headers in bytes
	ReadTimeout    time.Duration // timeout for reading a whole request
	WriteTimeout   time.Duration // timeout for each write to a connection
	IdleTimeout    time.Duration // timeout for the next request on a connection
}

// Handler serves requests for a path. An error that it returns is sent to the client as a refusal.
type Handler func(r *Request) error

// Gate is the HTTP server.
type Gate struct {
	tokens   map[string]Identity
	limits   Limits
	profiles Profiles
	logger   *slog.Logger
	routes   *router.Router
	server   *fasthttp.Server
	inflight concurrencyLimiter
	onRefuse func(refusal.Code)
}

// New returns a server without routes.
func New(tokens map[string]Identity, limits Limits, profiles Profiles, logger *slog.Logger) *Gate {
	g := &Gate{tokens: tokens, limits: limits, profiles: profiles, logger: logger, routes: router.New()}
	g.onRefuse = func(refusal.Code) {}
	g.routes.RedirectTrailingSlash = false
	g.routes.RedirectFixedPath = false
	g.routes.HandleOPTIONS = false
	g.routes.NotFound = g.notFound(refusal.NotFound, "no such path")
	g.routes.MethodNotAllowed = g.notFound(refusal.NotFound, "no such method for this path")
	g.server = &fasthttp.Server{
		Handler:               supervise.Handler(g.logger, g.routes.Handler),
		ErrorHandler:          g.readFailed,
		NoDefaultServerHeader: true,
		ReadBufferSize:        limits.MaxHeaderBytes,
		MaxRequestBodySize:    limits.MaxBodyBytes,
		HeaderReceived:        g.requestConfig,
		ReadTimeout:           limits.ReadTimeout,
		IdleTimeout:           limits.IdleTimeout,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return g
}

// Handle registers h for a method and a pattern such as /v1/steps/{run}/{step}/pull, for tokens of the given role. It must
// not be called after Serve.
func (g *Gate) Handle(method, pattern, role string, h Handler) {
	g.routes.Handle(method, pattern, func(ctx *fasthttp.RequestCtx) {
		r := g.newRequest(ctx)
		defer g.recover(r)
		if err := g.admit(r, role); err != nil {
			g.refuse(r, refusalOfKeyed(r, err))
			return
		}
		defer r.releaseSlot()
		if err := h(r); err != nil {
			g.refuse(r, err)
		}
	})
}

// OnRefuse sets a function that is called with the code of each refusal. It must not be called after Serve.
func (g *Gate) OnRefuse(f func(refusal.Code)) { g.onRefuse = f }

// Serve serves requests on l until Shutdown is called.
func (g *Gate) Serve(l net.Listener) error {
	return g.server.Serve(&listener{Listener: l, writeTimeout: g.limits.WriteTimeout})
}

// Shutdown stops accepting connections and waits until all requests and streams have ended or ctx is done.
func (g *Gate) Shutdown(ctx context.Context) error {
	return g.server.ShutdownWithContext(ctx)
}

func (g *Gate) newRequest(ctx *fasthttp.RequestCtx) *Request {
	r := &Request{RequestCtx: ctx, ID: ulid.Make().String(), logger: g.logger}
	ctx.Response.Header.Set(RequestHeader, r.ID)
	return r
}

// admit checks the token, its role and the concurrency limit of the workspace.
func (g *Gate) admit(r *Request, role string) error {
	if role == Public {
		return nil
	}
	if err := g.authenticate(r); err != nil {
		return err
	}
	if r.Identity.Role != role {
		return refusal.New(refusal.Forbidden, refusal.NotRun, "role %s may not call this path", r.Identity.Role)
	}
	// Operators are exempt, so that they can act while a workspace is at its limit.
	if role == Operator {
		return nil
	}
	p, ok := g.profiles.Profile(r.Identity.Profile)
	if !ok {
		return refusal.New(refusal.Unready, refusal.NotRun, "profile %s is not known yet", r.Identity.Profile).
			WithRetryAfter(retryUnready)
	}
	key := r.Identity.Workspace + "\x00" + r.Identity.Profile
	if !g.inflight.acquire(key, p.Concurrency) {
		return refusal.New(refusal.TooManyRequests, refusal.NotRun, "workspace %s already has %d requests in flight",
			r.Identity.Workspace, p.Concurrency).WithRetryAfter(retryTooMany)
	}
	r.release = func() { g.inflight.release(key) }
	return nil
}

// KeyHeader is the header with the idempotency key of a request that may be executed at most once.
const KeyHeader = "Idempotency-Key"

// refusalOfKeyed adapts a refusal of a request with an idempotency key. The key has not been looked up yet, and an earlier
// request with the same key may have run, so the refusal must not say that it has not.
func refusalOfKeyed(r *Request, err error) error {
	var e *refusal.Error
	if len(r.Request.Header.Peek(KeyHeader)) == 0 || !errors.As(err, &e) {
		return err
	}
	if c := e.Code(); c == refusal.TooManyRequests || c == refusal.Unready {
		return e.WithRan(refusal.Unknown)
	}
	return err
}

// Retry-After values of refusals by admit.
const (
	retryUnready = time.Second
	retryTooMany = time.Second
)

// requestConfig limits the body size of requests without a valid token, so that such clients cannot exhaust memory.
func (g *Gate) requestConfig(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if _, ok := g.lookup(h); ok {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: 1}
}

func (g *Gate) lookup(h *fasthttp.RequestHeader) (Identity, bool) {
	token, ok := strings.CutPrefix(string(h.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return Identity{}, false
	}
	i, ok := g.tokens[token]
	return i, ok
}

func (g *Gate) authenticate(r *Request) error {
	var ok bool
	r.Identity, ok = g.lookup(&r.Request.Header)
	if !ok {
		r.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		return refusal.New(refusal.Unauthorized, refusal.NotRun, "a known bearer token is required")
	}
	return nil
}

// notFound handles requests without a matching route. Clients without a valid token are refused as unauthorized.
func (g *Gate) notFound(code refusal.Code, text string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		r := g.newRequest(ctx)
		if err := g.authenticate(r); err != nil {
			g.refuse(r, err)
			return
		}
		g.refuse(r, refusal.New(code, refusal.NotRun, "%s", text))
	}
}

// readFailed responds to a request that could not be read or parsed.
func (g *Gate) readFailed(ctx *fasthttp.RequestCtx, err error) {
	r := g.newRequest(ctx)
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		if err := g.authenticate(r); err != nil {
			g.refuse(r, err)
			break
		}
		g.refuse(r, refusal.New(refusal.TooLarge, refusal.NotRun, "the body exceeds %d bytes", g.limits.MaxBodyBytes))
	case errors.As(err, &small):
		g.refuse(r, refusal.New(refusal.TooLarge, refusal.NotRun, "the header exceeds %d bytes", g.limits.MaxHeaderBytes))
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		g.refuse(r, refusal.New(refusal.BadRequest, refusal.NotRun, "the request was not complete within %s", g.limits.ReadTimeout))
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		g.refuse(r, refusal.New(refusal.BadRequest, refusal.NotRun, "the request is not valid HTTP"))
	}
	ctx.SetConnectionClose()
}

// refuse writes err as the response.
func (g *Gate) refuse(r *Request, err error) {
	var e *refusal.Error
	if !errors.As(err, &e) {
		event.RequestFailed.Log(g.logger, "request", r.ID, "cause", err.Error())
		e = refusal.New(refusal.Internal, refusal.Unknown, "internal error")
	}
	g.onRefuse(e.Code())
	ctx := r.RequestCtx
	ctx.Response.ResetBody()
	ctx.SetStatusCode(e.Code().Status())
	ctx.SetContentType(jsonType)
	if e.RetryAfter() > 0 {
		// The header is in whole seconds; rounding up prevents early retries.
		seconds := int64((e.RetryAfter() + time.Second - 1) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	body, err := json.Marshal(wire.ErrorBody{Error: Problem(e, r.ID)})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// Problem returns the error object of a refusal, for responses that a handler writes itself, such as a stream that has begun.
func Problem(e *refusal.Error, request string) wire.Problem {
	return wire.Problem{
		Code:    string(e.Code()),
		Message: e.Message(),
		Ran:     string(e.Ran()),
		Retry:   e.RetryAfter().Milliseconds(),
		Request: request,
	}
}

// recover responds to a request whose handler panicked.
func (g *Gate) recover(r *Request) {
	if v := recover(); v != nil {
		event.TaskPanicked.Log(g.logger, "task", "request", "request", r.ID, "cause", v, "stack", string(debug.Stack()))
		g.refuse(r, refusal.New(refusal.Internal, refusal.Unknown, "internal error"))
	}
}

// Request is a request with its id and, unless the path is public, the identity of its client.
type Request struct {
	*fasthttp.RequestCtx
	Identity Identity
	ID       string

	logger    *slog.Logger
	release   func()
	streaming bool
}

// Param returns the path parameter of the given name, or an empty string.
func (r *Request) Param(name string) string {
	s, _ := r.UserValue(name).(string)
	return s
}

// JSON responds with status 200 and v encoded as JSON.
func (r *Request) JSON(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r.SetContentType(jsonType)
	r.SetBody(body)
	return nil
}

// Decode decodes the JSON body into v. Its error is a bad_request refusal.
func (r *Request) Decode(v any) error {
	if err := json.Unmarshal(r.PostBody(), v); err != nil {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "body: %s", err)
	}
	return nil
}

// Stream responds with the bytes that f writes. It returns at once; f runs in a goroutine of its own and must not use the
// request. Writes fail once the client has disconnected.
func (r *Request) Stream(f func(w *bufio.Writer)) {
	r.streaming = true
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

// releaseSlot ends the count of the request as in flight, unless its stream has yet to end.
func (r *Request) releaseSlot() {
	if r.release != nil && !r.streaming {
		r.release()
	}
}

// discardLogger discards the log of the server, as any client can cause its messages about broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
