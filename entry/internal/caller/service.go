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

// localHeaders lists the header fields that are specific to a connection or to this service and are not forwarded.
var localHeaders = []string{
	"authorization", "connection", "content-length", "host", "keep-alive", "proxy-authenticate", "proxy-authorization",
	"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect", "cookie", "set-cookie",
	"bulrush-request", "bulrush-versions", "date", "server",
}

func isForwarded(name string) bool { return !slices.Contains(localHeaders, strings.ToLower(name)) }

// service serves /v1/services/{name}/{path:*}.
func (h *Handler) service(r *gate.Request) error {
	p, err := h.resolveProfile(time.Now(), r)
	if err != nil {
		return err
	}
	w := p.newWork(r)
	if w.Model, err = url.PathUnescape(r.Param("name")); err != nil {
		return refusal.New(refusal.BadRequest, refusal.NotRun, "caller: the name of the service is not valid")
	}
	if w.Call, err = newCall(r); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	defer watchClose(r.Conn(), func() { cancel(errClientClosed) })()
	if p.Once {
		return h.runOnce(ctx, r, &p, w)
	}
	res, err := h.dispatcher.Run(ctx, dispatch.Job{Work: w, Deadline: p.deadline, Hedge: p.Hedge})
	if err != nil {
		return err
	}
	if res.Reply == nil {
		return refusal.New(refusal.Broken, refusal.Unknown, "caller: answer without a reply")
	}
	h.recordMetrics(&p, r.Identity.Workspace, &res)
	return writeReply(r, res.Reply)
}

func (h *Handler) runOnce(ctx context.Context, r *gate.Request, p *requestProfile, w wire.Work) error {
	key := string(r.Request.Header.Peek(KeyHeader))
	if key == "" {
		return refusal.New(refusal.KeyRequired, refusal.NotRun, "header %s: required", KeyHeader)
	}
	a, err := h.claims.Run(ctx, claim.Call{Work: w, Key: key, Deadline: p.deadline})
	if err != nil {
		return err
	}
	h.recordMetrics(p, r.Identity.Workspace, nil)
	return writeReply(r, &a)
}

// newCall copies the request, because its buffers must not be used after the handler returns. The path is forwarded with
// its original escaping. A path with a ".." segment is refused, since it could leave the root of the service.
func newCall(r *gate.Request) (*wire.Call, error) {
	path := "/" + r.Param("path")
	unescaped, err := url.PathUnescape(path)
	if err != nil || slices.Contains(strings.Split(unescaped, "/"), "..") {
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
		if n := string(name); isForwarded(n) {
			k.Headers[n] = string(value)
		}
	}
	return k, nil
}

func writeReply(r *gate.Request, a *wire.Reply) error {
	if a.Status < 200 || a.Status > 599 {
		return refusal.New(refusal.Broken, refusal.Unknown, "caller: service answered status %d", a.Status)
	}
	r.SetStatusCode(a.Status)
	for name, value := range a.Headers {
		if isForwarded(name) {
			r.Response.Header.Set(name, value)
		}
	}
	r.SetBody(a.Body)
	return nil
}
