// Package ingress serves the platform's clients: it matches each request with a route and passes it on to a server.
//
// # Usage
//
//	g := ingress.New(ingress.Options{Catalog: catalog, Pool: pool, …})
//	server := &http.Server{Handler: g}
//
// The listener is net/http and not fasthttp, because a request must be given up soon after its client has left, and a
// fasthttp handler is not told of that.
package ingress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
)

const (
	// defaultDeadline holds for clients that name none; the usual limit of HTTP clients.
	defaultDeadline = 30 * time.Second
	// defaultBody bounds a request's body before a configuration sets a limit, in bytes.
	defaultBody = 1 << 20
	// retryNoConfig is when a client may come back to a process that has no configuration yet: it is usually read
	// within a second of the start.
	retryNoConfig = 500 * time.Millisecond
	// retryNoServer is when a client may come back if every server is out: servers return after some seconds.
	retryNoServer = 500 * time.Millisecond
	// retryFull is when a client may come back to servers without room; queues of short requests drain in that time.
	retryFull = 150 * time.Millisecond
)

// Jobs serves batch jobs.
type Jobs interface {
	Submit(ctx context.Context, r *catalog.Route, id string, body []byte, now time.Time) Reply
	Results(ctx context.Context, id string, after int, wait time.Duration) Reply
	Body(ctx context.Context, id, item string) Reply
	End(ctx context.Context, id string) Reply
}

// Reply is an answer of this process's own.
type Reply struct {
	Status int
	Body   []byte
	JSON   bool
	Retry  time.Duration // when the client may come back; 0 does not say
	Cause  string        // for the log
}

// Random draws numbers; it is safe for several tasks.
type Random interface {
	IntN(n int) int
}

// Options are the parts that an Ingress works with.
type Options struct {
	Catalog  *catalog.Catalog
	Pool     *upstream.Pool
	Tracker  *place.Tracker
	Jobs     Jobs
	Random   Random
	Memory   int64 // bytes that bodies in progress may take
	Observe  func(route string, status int, took time.Duration)
	Logger   *slog.Logger
	Suspects *Suspects
}

// Ingress is the handler of client requests.
type Ingress struct {
	Options
	headers platform.Headers
	leaving atomic.Bool
	held    atomic.Int64 // bytes of bodies in progress
}

// New returns an Ingress.
func New(o Options) *Ingress { return &Ingress{Options: o} }

// Leave makes clients reconnect elsewhere after their next answer.
func (g *Ingress) Leave() { g.leaving.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{
		Request: g.headers.Request(r.Header),
		http:    r,
		arrived: arrived,
	}
	if q.Deadline <= 0 {
		q.Deadline = defaultDeadline
	}
	c := g.Catalog.Config()
	if c == nil {
		g.reply(w, q, Reply{Status: http.StatusServiceUnavailable, Retry: retryNoConfig, Cause: "no configuration yet"})
		return
	}
	q.config = c
	host := hostname(r.Host)
	if jc := platform.DecodeJobCall(r.Method, r.URL.Path, r.URL.Query()); jc.Operation != platform.NoOperation &&
		c.Hosts(host, catalog.Batch) {
		g.serveJob(w, q, jc)
		return
	}
	route, ok := c.Match(host, r.URL.Path)
	if !ok {
		g.reply(w, q, Reply{Status: http.StatusNotFound, Cause: "no route"})
		return
	}
	q.route = route
	reply := g.body(http.NewResponseController(w), q)
	defer func() { g.held.Add(-q.held) }()
	if reply.Status != 0 {
		// A kept connection would have to take the rest of the body before the answer is sent.
		w.Header().Set("Connection", "close")
		g.reply(w, q, reply)
		return
	}
	if route.Kind == catalog.Batch && r.Method == http.MethodPost {
		g.reply(w, q, g.Jobs.Submit(r.Context(), route, q.ID, q.body, arrived))
		return
	}
	g.forward(w, q)
}

// request is one request of a client.
type request struct {
	call.Request
	http    *http.Request
	arrived time.Time
	config  *catalog.Config
	route   *catalog.Route
	body    []byte
	held    int64 // bytes reserved for the body

	job      string // that a call concerns
	attempts int
	servers  []string
}

// left returns how long the client and the operator are still ready to wait.
func (q *request) left(now time.Time) time.Duration {
	d := q.Deadline
	if q.route != nil && q.route.Timeout > 0 && q.route.Timeout < d {
		d = q.route.Timeout
	}
	return d - now.Sub(q.arrived)
}

// body reads the whole body of a request within the limits and the time that is left. A reply with a status is the answer
// to a request whose body was not taken.
func (g *Ingress) body(c *http.ResponseController, q *request) Reply {
	limit := int64(q.config.Limits.Body)
	if limit <= 0 {
		limit = defaultBody
	}
	length := q.http.ContentLength
	if length > limit {
		return Reply{Status: http.StatusRequestEntityTooLarge, Cause: "body over the limit"}
	}
	if length == 0 {
		return Reply{}
	}
	err := g.hold(q, max(length, 0))
	if err == nil {
		err = g.read(c, q, limit)
	}
	var late net.Error
	switch {
	case errors.Is(err, errMemory):
		return Reply{Status: http.StatusServiceUnavailable, Retry: retryFull, Cause: err.Error()}
	case errors.As(err, &late) && late.Timeout():
		return Reply{Status: http.StatusRequestTimeout, Cause: "body: " + err.Error()}
	case err != nil:
		return Reply{Status: http.StatusBadRequest, Cause: "body: " + err.Error()}
	case int64(len(q.body)) > limit:
		return Reply{Status: http.StatusRequestEntityTooLarge, Cause: "body over the limit"}
	}
	return Reply{}
}

// errMemory tells that bodies in progress take all the memory that they may.
var errMemory = errors.New("ingress: no memory for the body")

// hold reserves memory for a body until the request ends.
func (g *Ingress) hold(q *request, n int64) error {
	q.held += n
	if g.held.Add(n) > g.Memory {
		return errMemory
	}
	return nil
}

// read reads the body; memory for one with a length has been reserved.
func (g *Ingress) read(c *http.ResponseController, q *request, limit int64) error {
	if err := c.SetReadDeadline(q.arrived.Add(q.left(q.arrived))); err != nil {
		return err
	}
	var err error
	if n := q.http.ContentLength; n > 0 {
		q.body = make([]byte, n)
		_, err = io.ReadFull(q.http.Body, q.body)
	} else {
		q.body, err = io.ReadAll(io.LimitReader(&holding{ingress: g, request: q}, limit+1))
	}
	if err != nil {
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

// holding reads a body of unknown length and reserves memory for what it has read.
type holding struct {
	ingress *Ingress
	request *request
}

// Read implements io.Reader.
func (h *holding) Read(b []byte) (int, error) {
	n, err := h.request.http.Body.Read(b)
	if held := h.ingress.hold(h.request, int64(n)); held != nil {
		return n, held
	}
	return n, err
}

func (g *Ingress) serveJob(w http.ResponseWriter, q *request, c platform.JobCall) {
	ctx := q.http.Context()
	q.job = c.Job
	switch c.Operation {
	case platform.ReadResults:
		g.reply(w, q, g.Jobs.Results(ctx, c.Job, c.After, q.Wait))
	case platform.ReadBody:
		g.reply(w, q, g.Jobs.Body(ctx, c.Job, c.Item))
	case platform.EndJob:
		g.reply(w, q, g.Jobs.End(ctx, c.Job))
	}
}

// reply sends an answer of our own.
func (g *Ingress) reply(w http.ResponseWriter, q *request, a Reply) {
	h := w.Header()
	if q.ID != "" {
		g.headers.Identify(h, q.ID)
	}
	if a.JSON {
		h.Set("Content-Type", "application/json")
	}
	if a.Retry > 0 {
		platform.RetryAfter(h, a.Retry.Seconds())
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		a.Cause = "client left: " + err.Error()
	}
	g.decided(q, a.Status, a.Cause)
}

// decided logs and measures the outcome of a request.
func (g *Ingress) decided(q *request, status int, cause string) {
	took := time.Since(q.arrived)
	name := "job"
	if q.route != nil {
		name = q.route.Name
	}
	if g.Observe != nil {
		g.Observe(name, status, took)
	}
	e := event.RequestServed
	if status >= http.StatusBadRequest {
		e = event.RequestRefused
	}
	var revision int64
	if q.config != nil {
		revision = q.config.Revision
	}
	e.Log(g.Logger, "request", q.ID, "job", q.job, "method", q.http.Method, "path", q.http.URL.Path, "route", name, "status", status,
		"cause", cause, "ms", took.Milliseconds(), "attempts", q.attempts, "servers", q.servers, "config", revision)
}

// hostname returns the host without its port.
func hostname(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		return h[:i]
	}
	return h
}
