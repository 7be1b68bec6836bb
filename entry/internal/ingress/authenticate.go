package ingress

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
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
	// withoutWorkspaces is the revision of the configuration that was in force when the newest one was last read and had no
	// workspaces; -1 for none.
	withoutWorkspaces *atomic.Int64
}

func newAuthenticator(c *catalog.Catalog, r *refresher) authenticator {
	a := authenticator{catalog: c, refresh: r, withoutWorkspaces: new(atomic.Int64)}
	a.withoutWorkspaces.Store(-1)
	return a
}

// access is what a request needs under a configuration.
type access interface {
	// open reports whether the request needs no key.
	open(c *catalog.Config) bool
	// scoped reports whether the outcome of the request depends on the workspace, also if it needs no key.
	scoped(c *catalog.Config) bool
}

// authenticate returns the workspace of a request with the given key, empty if it has none, and the configuration that the
// request is served under. It returns false if the request needs a key and has no valid one.
//
// A key that the configuration of this process does not have may be newer than the configuration. The request waits until
// the newest one has been read, or arrives in another way.
func (a authenticator) authenticate(
	ctx context.Context, c *catalog.Config, key string, q access,
) (workspace.Workspace, *catalog.Config, bool) {
	settled := func(n *catalog.Config) bool {
		w, ok := lookup(n, key, q)
		return ok && (!w.None() || n.Workspaces == nil || !q.scoped(n))
	}
	if key != "" && !settled(c) {
		c = a.awaitNewer(ctx, c, settled)
	}
	w, ok := lookup(c, key, q)
	return w, c, ok
}

// awaitWorkspaces waits until a configuration with workspaces arrives, for as long as there is a read of the newest one to
// wait for, and returns the newest configuration. Once a read has shown that the newest one has no workspaces, it returns
// at once while the same configuration is in force: otherwise a deployment without workspaces would read the store for each
// call for an unknown job.
func (a authenticator) awaitWorkspaces(ctx context.Context) *catalog.Config {
	c := a.catalog.Config() // the one of the request may be older
	if c.Workspaces != nil || a.refresh == nil || a.withoutWorkspaces.Load() == c.Revision {
		return c
	}
	before := a.refresh.succeeded.Load()
	c = a.awaitNewer(ctx, c, func(n *catalog.Config) bool { return n.Workspaces != nil })
	if c.Workspaces == nil && a.refresh.succeeded.Load() > before {
		a.withoutWorkspaces.Store(c.Revision)
	}
	return c
}

// awaitNewer waits until a configuration newer than c meets a condition, for as long as there is a read of the newest
// one to wait for. It returns the newest configuration.
func (a authenticator) awaitNewer(
	ctx context.Context, c *catalog.Config, accept func(*catalog.Config) bool,
) *catalog.Config {
	if a.refresh == nil {
		return c
	}
	done := a.refresh.request(time.Now())
	if done == nil {
		return a.catalog.Config()
	}
	timeout := time.NewTimer(keyTimeout)
	defer timeout.Stop()
	for {
		changed := a.catalog.Changed()
		if c = a.catalog.Config(); accept(c) {
			return c
		}
		select {
		case <-changed:
		case <-done:
			return a.catalog.Config()
		case <-timeout.C:
			return c
		case <-ctx.Done():
			return c
		}
	}
}

// lookup returns the workspace that a key belongs to under a configuration, and false if access is refused.
func lookup(c *catalog.Config, key string, q access) (workspace.Workspace, bool) {
	if c.Workspaces == nil {
		return workspace.Workspace{}, true
	}
	if key != "" {
		if w, ok := c.Workspaces.Lookup(key); ok {
			return w, true
		}
	}
	return workspace.Workspace{}, q.open(c)
}

// authenticate is the step that determines the workspace of a request. It is the only place that does.
func (g *Ingress) authenticate(q *request) Reply {
	w, c, ok := g.authenticator.authenticate(q.http.Context(), q.config, q.key, requestAccess{request: q, hosts: g.jobHosts})
	q.config = c
	if !ok && g.jobHosts.undecided(q, c) {
		return Reply{
			Status: http.StatusServiceUnavailable, RetryAfter: retryNoConfig, Cause: "jobs of the host not listed yet",
			Close: q.http.ContentLength != 0,
		}
	}
	if !ok {
		return unauthorized(q)
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

// unauthorized returns the reply to a request that needs a key and has no valid one.
func unauthorized(q *request) Reply {
	return Reply{Status: http.StatusUnauthorized, Cause: "missing or unknown key", Close: q.http.ContentLength != 0}
}

// requestAccess implements access for a request.
type requestAccess struct {
	request *request
	hosts   *jobHosts
}

// open implements access. Calls for jobs go by the routes of batch jobs of their host, since a job is not served by the
// route that matches the path of the call. The last such routes count after they were removed: what was submitted without a
// key must remain readable without one.
func (a requestAccess) open(c *catalog.Config) bool {
	q := a.request
	if q.isJobCall() {
		if c.HasRoute(q.host, catalog.Batch) {
			return c.HasOpenRoute(q.host, catalog.Batch)
		}
		if open, _ := a.hosts.needNoKey(q.host, c); open {
			return true
		}
	}
	r, ok := c.Match(q.host, q.http.URL.Path)
	return ok && r.Open
}

// scoped implements access: jobs belong to workspaces.
func (a requestAccess) scoped(c *catalog.Config) bool {
	q := a.request
	if q.isJobCall() {
		return c.HasRoute(q.host, catalog.Batch) || a.hosts.mayHaveJobs(q.host, c)
	}
	r, ok := c.Match(q.host, q.http.URL.Path)
	return ok && q.submitsJobTo(r)
}

// containsKey reports whether a text contains the key of the request.
func (q *request) containsKey(text string) bool {
	if q.workspace.None() && len(q.key) < minSecret {
		return false // short credentials that are no key occur in other texts by chance
	}
	return q.key != "" && strings.Contains(text, q.key)
}

// redact returns a text of the client for the log, without its key.
func (q *request) redact(text string) string {
	if !q.containsKey(text) {
		return text
	}
	return strings.ReplaceAll(text, q.key, "[key]")
}
