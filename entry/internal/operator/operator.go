// Package operator serves the calls of operators: configuration, upstreams, steps, single requests, drain, health and
// metrics.
//
// # Usage
//
//	operator.New(operator.Options{Config: holder, Pool: pool, …}).Routes(g)
//
// A configuration is read with its revision in the header ETag and written with If-Match (0 if there is none yet) and
// Change-Id. A write that lost against another change answers 409 with the configuration that won.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/entry/internal/config"
	"bulrushspoke/entry/internal/gate"
	"bulrushspoke/internal/profile"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/settings"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// ChangeHeader names a change of the configuration; the same change is applied once.
const ChangeHeader = "Change-Id"

const (
	// applyLimit bounds a change of the configuration, reading back included.
	applyLimit = 10 * time.Second
	// storeRetry is when a change refused because of the store may be tried again.
	storeRetry = 2 * time.Second
	// maxChange is the longest identifier of a change, in bytes.
	maxChange = 100
)

// Config holds the configuration.
type Config interface {
	Document() (wire.Document, int64)
	Apply(ctx context.Context, doc wire.Document, base int64) (int64, error)
}

// Pool knows the daemons.
type Pool interface {
	Upstreams() []wire.Upstream
	Drain(ctx context.Context, daemon, reason string) error
}

// Options are what the calls need. Mark, Steps and Explain may be nil.
type Options struct {
	Config  Config
	Pool    Pool
	Mark    func(now time.Time, l []wire.Upstream) // notes which servers are ejected
	Steps   func() []wire.StepStatus
	Explain func(id string) (wire.Trace, bool)
	Ready   func() error // tells why the entry is not ready to serve
	Metrics fasthttp.RequestHandler
}

// Operator serves the calls.
type Operator struct {
	o Options
}

// New returns the calls without routes.
func New(o Options) *Operator { return &Operator{o: o} }

// Routes adds the paths.
func (o *Operator) Routes(g *gate.Gate) {
	g.Handle(fasthttp.MethodGet, "/v1/config", gate.Operator, o.config)
	g.Handle(fasthttp.MethodPut, "/v1/config", gate.Operator, o.apply)
	g.Handle(fasthttp.MethodGet, "/v1/upstreams", gate.Operator, o.upstreams)
	g.Handle(fasthttp.MethodPost, "/v1/upstreams/{name}/drain", gate.Operator, o.drain)
	g.Handle(fasthttp.MethodGet, "/v1/steps", gate.Operator, o.steps)
	g.Handle(fasthttp.MethodGet, "/v1/explain/{id}", gate.Operator, o.explain)
	g.Handle(fasthttp.MethodGet, "/metrics", gate.Operator, func(r *gate.Request) error {
		o.o.Metrics(r.RequestCtx)
		return nil
	})
	g.Handle(fasthttp.MethodGet, "/health/live", gate.Public, func(*gate.Request) error { return nil })
	g.Handle(fasthttp.MethodGet, "/health/ready", gate.Public, func(*gate.Request) error { return o.o.Ready() })
}

func (o *Operator) config(r *gate.Request) error {
	doc, rev := o.o.Config.Document()
	return answer(r, doc, rev)
}

func answer(r *gate.Request, doc wire.Document, rev int64) error {
	r.Response.Header.Set(fasthttp.HeaderETag, strconv.Quote(strconv.FormatInt(rev, 10)))
	return r.JSON(configAnswer(doc, rev))
}

func configAnswer(doc wire.Document, rev int64) wire.ConfigAnswer {
	if doc.Profiles == nil {
		doc.Profiles = []wire.Profile{}
	}
	return wire.ConfigAnswer{Revision: rev, Document: doc}
}

func (o *Operator) apply(r *gate.Request) error {
	base, err := strconv.ParseInt(strings.Trim(string(r.Request.Header.Peek(fasthttp.HeaderIfMatch)), `"`), 10, 64)
	if err != nil || base < 0 {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "If-Match must hold the revision that the change replaces")
	}
	change := string(r.Request.Header.Peek(ChangeHeader))
	if change == "" || len(change) > maxChange {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "%s must hold 1 to %d bytes", ChangeHeader, maxChange)
	}
	doc, err := profile.Parse(r.PostBody())
	if err != nil {
		return invalid(err)
	}
	doc.Change = change
	if doc.Author == "" {
		doc.Author = r.Identity.Workspace
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyLimit)
	defer cancel()
	rev, err := o.o.Config.Apply(ctx, doc, base)
	if err != nil {
		return failed(r, err)
	}
	held, now := o.o.Config.Document()
	if now != rev {
		// Another change is in force already; the answer still names the revision of this one.
		held = doc
	}
	return answer(r, held, rev)
}

func invalid(err error) error {
	var e *settings.Error
	if errors.As(err, &e) {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "%s is %s: %s", e.Path(), e.Value(), e.Allowed())
	}
	return err
}

// failed answers a change that was not accepted.
func failed(r *gate.Request, err error) error {
	var conflict *config.ConflictError
	var down *store.DownError
	switch {
	case errors.As(err, &conflict):
		return conflicted(r, conflict)
	case errors.As(err, &down) && down.Ambiguous():
		return refusal.New(refusal.OutcomeUnknown, refusal.Unknown,
			"the store did not answer; repeat the change with the same %s", ChangeHeader).After(storeRetry)
	case errors.As(err, &down):
		return refusal.New(refusal.StoreDown, refusal.NotRun, "the store does not answer").After(storeRetry)
	}
	return invalid(err)
}

func conflicted(r *gate.Request, c *config.ConflictError) error {
	doc, rev := c.Winner()
	ran := refusal.NotRun
	text := "another change is in force"
	if c.Possible() {
		ran = refusal.Unknown
		text = "another change is in force; this one may have been in force before it"
	}
	e := refusal.New(refusal.Conflict, ran, "%s: %s at revision %d", text, doc.Change, rev)
	body, err := json.Marshal(wire.ConfigConflict{Error: gate.Problem(e, r.ID), Winner: configAnswer(doc, rev)})
	if err != nil {
		return err
	}
	r.Response.Header.Set(fasthttp.HeaderETag, strconv.Quote(strconv.FormatInt(rev, 10)))
	r.SetStatusCode(e.Code().Status())
	r.SetContentType("application/json")
	r.SetBody(body)
	return nil
}

func (o *Operator) upstreams(r *gate.Request) error {
	l := o.o.Pool.Upstreams()
	if l == nil {
		l = []wire.Upstream{}
	}
	if o.o.Mark != nil {
		o.o.Mark(time.Now(), l)
	}
	return r.JSON(wire.UpstreamList{Upstreams: l})
}

func (o *Operator) drain(r *gate.Request) error {
	q := wire.DrainRequest{}
	if len(r.PostBody()) > 0 {
		if err := r.Decode(&q); err != nil {
			return err
		}
	}
	if q.Reason == "" {
		q.Reason = "asked by an operator of " + r.Identity.Workspace
	}
	return o.o.Pool.Drain(context.Background(), r.Param("name"), q.Reason)
}

func (o *Operator) steps(r *gate.Request) error {
	l := []wire.StepStatus{}
	if o.o.Steps != nil {
		l = append(l, o.o.Steps()...)
	}
	return r.JSON(wire.StepList{Steps: l})
}

func (o *Operator) explain(r *gate.Request) error {
	id := r.Param("id")
	if o.o.Explain != nil {
		if t, ok := o.o.Explain(id); ok {
			return r.JSON(t)
		}
	}
	return refusal.New(refusal.NotFound, refusal.NotRun, "no entry that answers knows request %s", id)
}
