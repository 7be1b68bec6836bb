package ingress

import (
	"context"
	"net/http"
	"strings"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/workspace"
)

// keyTimeout bounds how long a request with an unknown key waits for a newer configuration. It allows for one read that
// begins at once; a refusal must be sent within 300 ms.
const keyTimeout = refreshTimeout + 20*time.Millisecond

// minSecret is the length in bytes from which credentials without a workspace, which may be a key that this process does not
// know yet, are treated as a secret, and from which a key is masked in the bodies of jobs. Shorter texts occur by chance.
const minSecret = 8

// authenticator determines the workspace of requests.
type authenticator struct {
	catalog *catalog.Catalog
	refresh *refresher // nil if a newer configuration cannot be read
}

// authenticate returns the workspace of a request with the given key, empty if it has none, and the configuration that the
// request is served under. It returns false if the request needs a key and has no valid one. The function open reports
// whether the request needs no key under a configuration.
//
// A key that the configuration of this process does not have may be newer than the configuration. The request waits until
// the newest one has been read, or arrives in another way.
func (i authenticator) authenticate(
	ctx context.Context, c *catalog.Config, key string, open func(*catalog.Config) bool,
) (workspace.Workspace, *catalog.Config, bool) {
	w, ok := lookup(c, key, open)
	if ok || key == "" {
		return w, c, ok
	}
	c = i.awaitNewer(ctx, c, func(n *catalog.Config) bool {
		_, ok := lookup(n, key, open)
		return ok
	})
	w, ok = lookup(c, key, open)
	return w, c, ok
}

// awaitNewer waits until a configuration newer than c meets a condition, for as long as there is a read of the newest
// one to wait for. It returns the newest configuration.
func (i authenticator) awaitNewer(
	ctx context.Context, c *catalog.Config, accept func(*catalog.Config) bool,
) *catalog.Config {
	if i.refresh == nil {
		return c
	}
	done := i.refresh.request(time.Now())
	if done == nil {
		return i.catalog.Config()
	}
	timeout := time.NewTimer(keyTimeout)
	defer timeout.Stop()
	for {
		changed := i.catalog.Changed()
		if c = i.catalog.Config(); accept(c) {
			return c
		}
		select {
		case <-changed:
		case <-done:
			return i.catalog.Config()
		case <-timeout.C:
			return c
		case <-ctx.Done():
			return c
		}
	}
}

// lookup returns the workspace that a key belongs to under a configuration, and false if access is refused.
func lookup(c *catalog.Config, key string, open func(*catalog.Config) bool) (workspace.Workspace, bool) {
	if c.Workspaces == nil {
		return workspace.Workspace{}, true
	}
	if key != "" {
		if w, ok := c.Workspaces.Lookup(key); ok {
			return w, true
		}
	}
	return workspace.Workspace{}, open(c)
}

// authenticate is the step that determines the workspace of a request. It is the only place that does.
func (g *Ingress) authenticate(q *request) Reply {
	w, c, ok := g.authenticator.authenticate(q.http.Context(), q.config, q.key, q.open)
	q.config = c
	if !ok {
		return Reply{Status: http.StatusUnauthorized, Cause: "missing or unknown key", Close: q.http.ContentLength != 0}
	}
	q.workspace = w
	if c.Workspaces != nil && w.None() && len(q.key) < minSecret {
		q.key = "" // no key, and headers may contain it by chance
	}
	if c.Workspaces != nil && (q.containsKey(q.ID) || c.Workspaces.ContainsKey(q.ID)) {
		return Reply{Status: http.StatusBadRequest, Cause: "the request id contains a key", Close: q.http.ContentLength != 0}
	}
	return Reply{}
}

// open reports whether a request needs no key under a configuration. Calls for jobs go by the routes of batch jobs of their
// host, since a job is not served by the route that matches the path of the call.
func (q *request) open(c *catalog.Config) bool {
	if q.isJobCall() && c.HasRoute(q.host, catalog.Batch) {
		return c.HasOpenRoute(q.host, catalog.Batch)
	}
	r, ok := c.Match(q.host, q.http.URL.Path)
	return ok && r.Open
}

// containsKey reports whether a text contains the key of the request.
func (q *request) containsKey(text string) bool { return q.key != "" && strings.Contains(text, q.key) }

// redact returns a text of the client for the log, without its key.
func (q *request) redact(text string) string {
	if !q.containsKey(text) {
		return text
	}
	return strings.ReplaceAll(text, q.key, "[key]")
}
