package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/platform/platformtest"
)

const (
	workspaceCount = 3
	keyPrefix      = "soakkey-" // of all keys; occurs nowhere else
	sparesPerSpace = 2          // keys of a workspace that come and go
	spareRatio     = 0.2        // fraction of the requests with such a key
	forgeRatio     = 0.1        // fraction of the requests and items that state another workspace, or repeat their key
	minKeyInterval = 300 * time.Millisecond
	maxKeyInterval = 2 * time.Second
	probeInterval  = 20 // reads of a reader for each call with the key of another workspace, on average
	keyStream      = 20 // stream of the random numbers of key changes
)

// spaceName returns the workspace of client, model or trainer n.
func spaceName(n int) string { return fmt.Sprintf("space%d", n%workspaceCount) }

// permanentKey returns the key of a workspace that every configuration holds.
func permanentKey(space string) string { return keyPrefix + space + "-permanent" }

// spareKey returns key n of a workspace that comes and goes.
func spareKey(space string, n int) string { return fmt.Sprintf("%s%s-spare%d", keyPrefix, space, n) }

// entries returns the workspaces of a configuration that holds the given spare keys.
func entries(spares map[string]bool) []workspace.Entry {
	var l []workspace.Entry
	for i := range workspaceCount {
		space := spaceName(i)
		w := workspace.Entry{Workspace: workspace.Workspace{Name: space}, Keys: []string{permanentKey(space)}}
		for n := range sparesPerSpace {
			if k := spareKey(space, n); spares[k] {
				w.Keys = append(w.Keys, k)
			}
		}
		l = append(l, w)
	}
	return l
}

// authorize sets the credentials of a client.
func authorize(h http.Header, key string) {
	for name, value := range platformtest.SenderHeaders(platformtest.Sender{Credentials: platformtest.KeyCredentials(key)}) {
		h.Set(name, value)
	}
}

// changeKeys adds and revokes spare keys until ctx ends. It has a source of its own, as limitServers.
func (e *env) changeKeys(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, keyStream))
	for pause(ctx, minKeyInterval+time.Duration(random.Int64N(int64(maxKeyInterval-minKeyInterval)))) {
		key := spareKey(spaceName(random.IntN(workspaceCount)), random.IntN(sparesPerSpace))
		e.mu.Lock()
		e.spares[key] = !e.spares[key]
		c := e.config
		c.Version++
		e.putConfig(c)
		e.mu.Unlock()
	}
}

// putConfig writes a configuration with the present spare keys to the store. The caller holds mu.
func (e *env) putConfig(c catalog.Config) {
	e.config = c
	services := map[string][]string{}
	for _, r := range c.Routes {
		services[r.Name] = r.Services()
	}
	e.objects.Put(platformtest.Config, platformtest.Main, platformtest.EncodeConfigWithWorkspaces(c, entries(e.spares)...))
	e.checker.recordConfig(services, maps.Clone(e.spares), time.Now())
}

// checkUnconfigured checks that entries answer 503 with any key and without one, while the store has no configuration.
func (e *env) checkUnconfigured(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	pool := upstream.New(upstream.Limits{Dial: time.Second})
	for i := range e.size.entries {
		for _, key := range []string{"", permanentKey(spaceName(0)), keyPrefix + "unknown"} {
			h := http.Header{}
			if key != "" {
				authorize(h, key)
			}
			for ctx.Err() == nil {
				a, err := exchange(ctx, pool, e.address(netProcess, firstEntry+i, portIngress), upstream.Request{
					Method: http.MethodPost, URI: "/safe/early", Host: host, Header: h,
				})
				if err != nil { // it does not listen yet
					sleep.For(ctx, watchInterval)
					continue
				}
				if a.status != http.StatusServiceUnavailable {
					e.checker.report("KEY", "entry %d without a configuration answered %d to key %q", i, a.status, key)
				}
				break
			}
		}
	}
}

// probeJob calls a job with the key of a workspace that has no job of its ID, and checks that it is shown nothing.
func (t *trainer) probeJob(ctx context.Context, sj *submittedJob, entry int) {
	foreign := t.as(spaceName(workspaceCount - 1)) // without a trainer, if there are fewer models
	if t.env.size.models >= workspaceCount || foreign.space == sj.space {
		return
	}
	uri, _, _ := platformtest.ResultsURI(sj.ID, 0, 0)
	q := upstream.Request{Method: http.MethodGet, URI: uri}
	switch t.random.IntN(4) {
	case 0:
		q.URI = platformtest.BodyURI(sj.ID, sj.Items[0].ID)
	case 1:
		q = upstream.Request{Method: http.MethodDelete, URI: platformtest.JobURI(sj.ID)}
	}
	a, err := foreign.call(ctx, entry, q, "")
	t.env.checker.checkForeign(sj, foreign.space, q.Method+" "+q.URI, a.status, err)
}

// checkForeign checks the answer to a call for a job with the key of another workspace.
func (c *checker) checkForeign(sj *submittedJob, space, what string, status int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["foreign"]++
	if err == nil && status < http.StatusBadRequest {
		c.reportLocked("FOREIGN", "%s of job %s of %s got status %d with a key of %s", what, sj.ID, sj.space, status, space)
	}
}

// checkSender checks what the headers of a request to a server state about its sender.
func (c *checker) checkSender(id string, h http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, values := range h {
		if strings.Contains(strings.Join(values, " "), keyPrefix) {
			c.reportLocked("KEY", "request %s reached a server with a key in header %s", id, name)
		}
	}
	space := platformtest.DecodeSender(h).Workspace
	want := []string{}
	if q := c.requests[id]; q != nil {
		want = append(want, q.space)
	} else if it := c.items[id]; it != nil {
		for _, sj := range it.jobs {
			want = append(want, sj.space)
		}
	}
	if len(want) > 0 && !slices.Contains(want, space) {
		c.reportLocked("KEY", "request %s of workspaces %q reached a server in the name of %q", id, want, space)
	}
}

// checkKey checks that a request that runs has a key of a configuration that may be in force. The caller holds mu.
func (c *checker) checkKey(q *request, since time.Time) {
	if q.spare && !slices.Contains(c.heldSince(q.key, since), true) {
		c.reportLocked("REVOKED", "request %s ran with key %s, which no configuration has held since %s before it was sent", q.id, q.key,
			q.sentAt.Sub(since))
	}
}

// checkDenied checks a 401 or 403. The caller holds mu.
func (c *checker) checkDenied(q *request, now time.Time) {
	since := c.start
	if c.timeBoundsHold(q.entry, q.sentAt.Add(-configLag), now) {
		since = q.sentAt.Add(-configLag)
	}
	if q.status == http.StatusForbidden || !q.spare || !slices.Contains(c.heldSince(q.key, since), false) {
		c.reportLocked("DENIED", "request %s with key %s got status %d", q.id, q.key, q.status)
	}
}

// heldSince returns, for each configuration in force after since, whether it holds a spare key. The caller holds mu.
func (c *checker) heldSince(key string, since time.Time) []bool {
	var held []bool
	for i, cfg := range c.configs {
		if i+1 == len(c.configs) || !c.configs[i+1].appliedAt.Before(since) {
			held = append(held, cfg.spares[key])
		}
	}
	return held
}
