package caller

import (
	"context"
	"net/url"
	"slices"
	"strings"
	"time"

	"bulrushspoke/entry/internal/claim"
	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/entry/internal/gate"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// kept lists header fields that belong to one connection or to this service, and are not passed on.
var kept = []string{
	"authorization", "connection", "content-length", "host", "keep-alive", "proxy-authenticate", "proxy-authorization",
	"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect", "cookie", "set-cookie",
	"bulrush-request", "bulrush-versions", "date", "server",
}

func passed(name string) bool { return !slices.Contains(kept, strings.ToLower(name)) }

// service serves calls to plain services.
func (c *Caller) service(r *gate.Request) error {
	p, err := c.resolve(time.Now(), r)
	if err != nil {
		return err
	}
	w := p.work(r)
	if w.Model, err = url.PathUnescape(r.Param("name")); err != nil {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "caller: the name of the service is not valid")
	}
	if w.Call, err = call(r); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	defer watch(r.Conn(), func() { cancel(errGone) })()
	if p.Once {
		return c.once(ctx, r, &p, w)
	}
	res, err := c.dispatcher.Run(ctx, dispatch.Job{Work: w, Deadline: p.deadline, Hedge: p.Hedge})
	if err != nil {
		return err
	}
	if res.Reply == nil {
		return refusal.New(refusal.Broken, refusal.Unknown, "caller: answer without a reply")
	}
	c.record(&p, r.Identity.Workspace, &res)
	return reply(r, res.Reply)
}

func (c *Caller) once(ctx context.Context, r *gate.Request, p *resolved, w wire.Work) error {
	key := string(r.Request.Header.Peek(KeyHeader))
	if key == "" {
		return refusal.New(refusal.KeyRequired, refusal.NotRun, "header %s: required", KeyHeader)
	}
	a, err := c.claims.Run(ctx, claim.Call{Work: w, Key: key, Deadline: p.deadline})
	if err != nil {
		return err
	}
	c.record(p, r.Identity.Workspace, nil)
	return reply(r, &a)
}

// call copies a request, whose bytes must not be used after its handler. Its path is passed on as it was escaped; a
// path that leaves the root of the service is refused.
func call(r *gate.Request) (*wire.Call, error) {
	path := "/" + r.Param("path")
	plain, err := url.PathUnescape(path)
	if err != nil || slices.Contains(strings.Split(plain, "/"), "..") {
		return nil, refusal.New(refusal.BadRequest, refusal.NotRun, "caller: the path of the call is not valid")
	}
	if q := r.URI().QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	k := &wire.Call{
		Method:  string(r.Method()),
		Path:    path,
		Headers: wire.CallHeaders{},
		Body:    slices.Clone(r.PostBody()),
	}
	for name, value := range r.Request.Header.All() {
		if n := string(name); passed(n) {
			k.Headers[n] = string(value)
		}
	}
	return k, nil
}

func reply(r *gate.Request, a *wire.Reply) error {
	if a.Status < 200 || a.Status > 599 {
		return refusal.New(refusal.Broken, refusal.Unknown, "caller: service answered status %d", a.Status)
	}
	r.SetStatusCode(a.Status)
	for name, value := range a.Headers {
		if passed(name) {
			r.Response.Header.Set(name, value)
		}
	}
	r.SetBody(a.Body)
	return nil
}
