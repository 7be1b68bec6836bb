// Package operator serves the HTTP API of operators: configuration, upstreams, draining, steps, traces of requests, health
// checks and metrics.
//
// # Usage
//
//	operator.New(operator.Options{Config: holder, Pool: pool, …}).Routes(g)
//
// Reading the configuration returns its revision in the header ETag. A write needs the revision that it replaces in If-Match
// (0 if there is none yet) and the identifier of the change in Change-Id. If another change has replaced that revision, the
// response is 409 with the configuration in force.
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

// ChangeHeader is the header with the identifier of a configuration change. A change is applied once, even if it is sent
// again.
const ChangeHeader = "Change-Id"

const (
	// applyTimeout is the timeout for a configuration change, including the read that follows the write.
	applyTimeout = 10 * time.Second
	// retryStore is the Retry-After of a change that failed because the store did not respond.
	retryStore = 2 * time.Second
	// maxChangeBytes is the maximum length of a change identifier in bytes.
	maxChangeBytes = 100
)

// Config reads and changes the configuration.
type Config interface {
	Document() (wire.Document, int64)
	Apply(ctx context.Context, doc wire.Document, base int64) (int64, error)
}

// Pool lists upstreams and drains daemons.
type Pool interface {
	Upstreams() []wire.Upstream
	Drain(ctx context.Context, daemon, reason string) error
}

// Options are the dependencies of an Operator. FillUpstreams, Steps and Explain may be nil.
type Options struct {
	Config        Config
	Pool          Pool
	FillUpstreams func(now time.Time, l []wire.Upstream) // sets the attempts in flight and the ejection of the servers in l
	Steps         func() []wire.StepStatus
	Explain       func(id string) (wire.Trace, bool)
	Ready         func() error // returns the reason why the entry is not ready, or nil
	Metrics       fasthttp.RequestHandler
}

// Operator serves the operator API.
type Operator struct {
	options Options
}

// New returns an Operator.
func New(o Options) *Operator { return &Operator{options: o} }

// Routes registers the paths of the API.
func (o *Operator) Routes(g *gate.Gate) {
	g.Handle(fasthttp.MethodGet, "/v1/config", gate.Operator, o.config)
	g.Handle(fasthttp.MethodPut, "/v1/config", gate.Operator, o.apply)
	g.Handle(fasthttp.MethodGet, "/v1/upstreams", gate.Operator, o.upstreams)
	g.Handle(fasthttp.MethodPost, "/v1/upstreams/{name}/drain", gate.Operator, o.drain)
	g.Handle(fasthttp.MethodGet, "/v1/steps", gate.Operator, o.steps)
	g.Handle(fasthttp.MethodGet, "/v1/explain/{id}", gate.Operator, o.explain)
	g.Handle(fasthttp.MethodGet, "/metrics", gate.Operator, func(r *gate.Request) error {
		o.options.Metrics(r.RequestCtx)
		return nil
	})
	g.Handle(fasthttp.MethodGet, "/health/live", gate.Public, func(*gate.Request) error { return nil })
	g.Handle(fasthttp.MethodGet, "/health/ready", gate.Public, func(*gate.Request) error { return o.options.Ready() })
}

func (o *Operator) config(r *gate.Request) error {
	doc, rev := o.options.Config.Document()
	return writeConfig(r, doc, rev)
}

func writeConfig(r *gate.Request, doc wire.Document, rev int64) error {
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
	if change == "" || len(change) > maxChangeBytes {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "%s must hold 1 to %d bytes", ChangeHeader, maxChangeBytes)
	}
	doc, err := profile.Parse(r.PostBody())
	if err != nil {
		return invalidConfig(err)
	}
	doc.Change = change
	if doc.Author == "" {
		doc.Author = r.Identity.Workspace
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	rev, err := o.options.Config.Apply(ctx, doc, base)
	if err != nil {
		return applyFailed(r, err)
	}
	current, currentRev := o.options.Config.Document()
	if currentRev != rev {
		// Another change has already replaced this one; the response still has the document and revision of this change.
		current = doc
	}
	return writeConfig(r, current, rev)
}

func invalidConfig(err error) error {
	var e *settings.Error
	if errors.As(err, &e) {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "%s is %s: %s", e.Path(), e.Value(), e.Allowed())
	}
	return err
}

// applyFailed returns the refusal for an error of Config.Apply, or writes the response to a conflict.
func applyFailed(r *gate.Request, err error) error {
	var conflict *config.ConflictError
	var down *store.UnavailableError
	switch {
	case errors.As(err, &conflict):
		return writeConflict(r, conflict)
	case errors.As(err, &down) && down.Ambiguous():
		return refusal.New(refusal.OutcomeUnknown, refusal.Unknown,
			"the store did not answer; repeat the change with the same %s", ChangeHeader).WithRetryAfter(retryStore)
	case errors.As(err, &down):
		return refusal.New(refusal.StoreDown, refusal.NotRun, "the store does not answer").WithRetryAfter(retryStore)
	}
	return invalidConfig(err)
}

func writeConflict(r *gate.Request, c *config.ConflictError) error {
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
	l := o.options.Pool.Upstreams()
	if l == nil {
		l = []wire.Upstream{}
	}
	if o.options.FillUpstreams != nil {
		o.options.FillUpstreams(time.Now(), l)
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
	return o.options.Pool.Drain(context.Background(), r.Param("name"), q.Reason)
}

func (o *Operator) steps(r *gate.Request) error {
	l := []wire.StepStatus{}
	if o.options.Steps != nil {
		l = append(l, o.options.Steps()...)
	}
	return r.JSON(wire.StepList{Steps: l})
}

func (o *Operator) explain(r *gate.Request) error {
	id := r.Param("id")
	if o.options.Explain != nil {
		if t, ok := o.options.Explain(id); ok {
			return r.JSON(t)
		}
	}
	return refusal.New(refusal.NotFound, refusal.NotRun, "no entry that answers knows request %s", id)
}
