package catalog

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/ratelimit"
)

// missingGrace is how long a server whose entry is missing after an outage of the store stays in use. The entries of
// running servers reappear within about two seconds after the outage.
const missingGrace = 2 * time.Second

// maxFormerHosts bounds the hosts that are remembered after their route of batch jobs was removed.
const maxFormerHosts = 1024

const (
	// lastServerGrace is how long the last server of a service stays in use after its own notice that it is about to leave:
	// it goes on serving for some seconds.
	lastServerGrace = time.Second
	// noticeRetention is how long a notice is kept; a leaving server has stopped by then.
	noticeRetention = 10 * time.Minute
	// removalRetention is how long a removal is kept. Changes that were read before the removal may be applied after it,
	// delayed by an outage of the store or by the pause of a process, which last minutes at most.
	removalRetention = 10 * time.Minute
)

// removal is the newest removal of a server's entry.
type removal struct {
	revision int64
	at       time.Time
}

// notice records a server's own statement that it is about to leave. It applies to one incarnation.
type notice struct {
	born int64
	at   time.Time
	keep bool // still in use because the service has no other server
}

// Catalog holds the newest known objects. It is safe for concurrent use.
type Catalog struct {
	logger *slog.Logger
	limits *ratelimit.Limiter
	config atomic.Pointer[Config]
	view   atomic.Pointer[view]

	mu       sync.Mutex
	servers  map[string]Server
	missing  map[string]time.Time // by server ID: when a server whose entry is missing is removed
	removed  map[string]removal   // by server ID
	restored time.Time            // end of the last outage of the store
	notices  map[string]notice    // by server ID
	versions map[string]Version
	former   []string // hosts that had a route of batch jobs, oldest first
	opened   []string // of these, the hosts whose last such route needed no key, oldest first
	changed  chan struct{}
	newer    chan struct{} // closed at the next change of the configuration
	listed   atomic.Bool
}

// view is an immutable index of the servers.
type view struct {
	byService map[string][]Server // servers that take new requests
	byID      map[string]Server
}

// New returns an empty catalog.
func New(logger *slog.Logger) *Catalog {
	c := &Catalog{
		logger:   logger,
		limits:   ratelimit.New(logger),
		servers:  make(map[string]Server),
		missing:  make(map[string]time.Time),
		removed:  make(map[string]removal),
		notices:  make(map[string]notice),
		versions: make(map[string]Version),
		changed:  make(chan struct{}),
		newer:    make(chan struct{}),
	}
	c.view.Store(&view{})
	return c
}

// Limits returns the limiter with the limits that the servers state. Those of former incarnations are dropped.
func (c *Catalog) Limits() *ratelimit.Limiter { return c.limits }

// Config returns the newest configuration, or nil if none is known.
func (c *Catalog) Config() *Config { return c.config.Load() }

// Synced reports whether a complete list of the servers has been applied.
func (c *Catalog) Synced() bool { return c.listed.Load() }

// Servers returns the servers of a service that take new requests, ordered by ID.
func (c *Catalog) Servers(service string) []Server { return c.view.Load().byService[service] }

// Server returns the server with the given ID, even if it is draining.
func (c *Catalog) Server(id string) (Server, bool) {
	s, ok := c.view.Load().byID[id]
	return s, ok
}

// Version returns the newest weight version of a model.
func (c *Catalog) Version(model string) (Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.versions[model]
	return v, ok
}

// Versions returns the newest weight version of each model, ordered by model name.
func (c *Catalog) Versions() []Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := slices.Collect(maps.Values(c.versions))
	slices.SortFunc(l, func(a, b Version) int { return strings.Compare(a.Model, b.Model) })
	return l
}

// Changed returns a channel that is closed at the next change of the catalog.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// ConfigChanged returns a channel that is closed at the next change of the configuration.
func (c *Catalog) ConfigChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newer
}

// notifyChanged closes the channel returned by Changed; the caller holds mu.
func (c *Catalog) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ApplyConfig stores a configuration and reports whether it is newer than the stored one; older ones are ignored.
func (c *Catalog) ApplyConfig(n Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.config.Load(); held != nil && held.Revision >= n.Revision {
		return false
	}
	if held := c.config.Load(); held != nil {
		c.rememberBatchHosts(held)
	}
	c.config.Store(&n)
	c.notifyChanged()
	close(c.newer)
	c.newer = make(chan struct{})
	event.ConfigApplied.Log(c.logger, "revision", n.Revision, "version", n.Version, "routes", len(n.Routes))
	return true
}

// rememberBatchHosts notes the hosts of a configuration that have a route of batch jobs; the caller holds mu.
func (c *Catalog) rememberBatchHosts(n *Config) {
	for i := range n.Routes {
		if r := &n.Routes[i]; r.Kind == Batch && !slices.Contains(c.former, r.Host) {
			c.former = append(c.former, r.Host)
		}
	}
	c.former = slices.Delete(c.former, 0, max(len(c.former)-maxFormerHosts, 0))
	c.opened = slices.DeleteFunc(c.opened, func(host string) bool { return n.HasRoute(host, Batch) })
	for i := range n.Routes {
		if r := &n.Routes[i]; r.Kind == Batch && r.Open && !slices.Contains(c.opened, r.Host) {
			c.opened = append(c.opened, r.Host)
		}
	}
	c.opened = slices.Delete(c.opened, 0, max(len(c.opened)-maxFormerHosts, 0))
}

// HadOpenBatchRoute reports whether the host had a route of batch jobs that needed no key in the last former configuration
// that had any for it.
func (c *Catalog) HadOpenBatchRoute(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.opened, host)
}

// HadBatchRoute reports whether a former configuration had a route of batch jobs for the host.
func (c *Catalog) HadBatchRoute(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.former, host)
}

// ApplyVersion stores a weight version and reports whether it is newer than the stored one; older ones are ignored.
func (c *Catalog) ApplyVersion(v Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, ok := c.versions[v.Model]; ok && held.Revision >= v.Revision {
		return false
	}
	c.versions[v.Model] = v
	c.notifyChanged()
	event.VersionNamed.Log(c.logger, "model", v.Model, "version", v.Number, "revision", v.Revision)
	return true
}

// StoreRestored records that the store answers again after an outage.
func (c *Catalog) StoreRestored(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restored = now
}

// ReplaceServers applies a complete list of the servers that was read at the given revision.
func (c *Catalog) ReplaceServers(list []Server, revision int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		c.putServer(s)
	}
	for id, s := range c.servers {
		if !present[id] && s.Revision < revision {
			c.dropServer(id, revision, now)
		}
	}
	c.publish()
	c.listed.Store(true)
}

// ApplyServer applies the entry of one server that was created or updated.
func (c *Catalog) ApplyServer(s Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.putServer(s)
	c.publish()
}

// RemoveServer applies the removal of a server's entry at the given revision.
func (c *Catalog) RemoveServer(id string, revision int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.servers[id]; ok && s.Revision > revision {
		return
	}
	c.dropServer(id, revision, now)
	c.publish()
}

// RecordAnswer returns the meaning of an answer of server s for the request with the given id, sent at the given time. It
// records what the server states about itself: that it is about to leave, or a limit of its request rate.
func (c *Catalog) RecordAnswer(s Server, a call.Answer, id string, sentAt, now time.Time) call.Meaning {
	m := a.Meaning(id)
	if m == call.Foreign {
		return m
	}
	if a.Leaving {
		c.MarkLeaving(s, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, ok := c.servers[s.ID]; ok && held.StartedAt == s.StartedAt {
		c.limits.Record(s.ID, a.Limit, sentAt, now)
	}
	return m
}

// MarkLeaving records a server's own notice that it is about to leave. It gets no new requests from now on, whatever its
// entry says. The last server of a service stays in use for lastServerGrace.
func (c *Catalog) MarkLeaving(s Server, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, ok := c.notices[s.ID]; ok && n.born == s.StartedAt {
		return
	}
	if held, ok := c.servers[s.ID]; ok && held.StartedAt != s.StartedAt {
		return // notice of a former incarnation
	}
	maps.DeleteFunc(c.notices, func(_ string, n notice) bool { return now.Sub(n.at) > noticeRetention })
	c.notices[s.ID] = notice{born: s.StartedAt, at: now}
	event.ServerLeaves.Log(c.logger, "server", s.ID, "born", s.StartedAt)
	c.publish()
	if held, ok := c.servers[s.ID]; !ok || held.Draining || len(c.view.Load().byService[s.Service]) > 0 {
		return
	}
	c.notices[s.ID] = notice{born: s.StartedAt, at: now, keep: true}
	c.publish()
	time.AfterFunc(lastServerGrace, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.notices[s.ID].born == s.StartedAt {
			c.notices[s.ID] = notice{born: s.StartedAt, at: now}
			c.publish()
		}
	})
}

// Leaving reports whether a server is about to leave or has left, according to its entry or to its own notice.
func (c *Catalog) Leaving(s Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.servers[s.ID]
	leaving, _ := c.leaveState(s)
	return !ok || held.Draining || leaving
}

// leaveState reports whether a server has given notice that it is about to leave, and whether it stays in use because its
// service has no other server; the caller holds mu.
func (c *Catalog) leaveState(s Server) (leaving, last bool) {
	n, ok := c.notices[s.ID]
	if !ok || n.born != s.StartedAt {
		return false, false
	}
	return true, n.keep
}

// putServer stores the entry of a server unless a newer entry or removal is known; the caller holds mu.
func (c *Catalog) putServer(s Server) {
	held, ok := c.servers[s.ID]
	if ok && held.Revision > s.Revision {
		return
	}
	// A watch that is resumed after an outage repeats changes that were already received from other processes. They must not
	// undo the removal.
	if gone, ok := c.removed[s.ID]; ok && gone.revision >= s.Revision {
		return
	}
	delete(c.removed, s.ID)
	delete(c.missing, s.ID)
	c.servers[s.ID] = s
	switch {
	case !ok:
		event.ServerKnown.Log(c.logger, "server", s.ID, "address", s.Address, "revision", s.Revision, "draining", s.Draining)
	case held.Draining != s.Draining || held.StartedAt != s.StartedAt:
		if held.StartedAt != s.StartedAt {
			c.limits.Forget(s.ID)
		}
		event.ServerChanged.Log(c.logger, "server", s.ID, "revision", s.Revision, "draining", s.Draining, "born", s.StartedAt)
	}
}

// dropServer removes a server, at once or after missingGrace if the store was down until recently. Entries up to the
// revision of the removal do not add it again. The caller holds mu.
func (c *Catalog) dropServer(id string, revision int64, now time.Time) {
	maps.DeleteFunc(c.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removalRetention })
	c.removed[id] = removal{revision: max(revision, c.removed[id].revision), at: now}
	if _, ok := c.servers[id]; !ok {
		return
	}
	if until := c.restored.Add(missingGrace); now.Before(until) && !c.servers[id].Draining {
		if _, ok := c.missing[id]; !ok {
			c.missing[id] = until
			time.AfterFunc(until.Sub(now), func() { c.expireMissing(id, until) })
		}
		return
	}
	delete(c.servers, id)
	delete(c.missing, id)
	c.limits.Forget(id)
	event.ServerGone.Log(c.logger, "server", id)
}

// expireMissing removes a server whose entry has not reappeared.
func (c *Catalog) expireMissing(id string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.missing[id].Equal(until) {
		return
	}
	delete(c.servers, id)
	delete(c.missing, id)
	c.limits.Forget(id)
	event.ServerGone.Log(c.logger, "server", id, "cause", "entry did not reappear after an outage of the store")
	c.publish()
}

// DropSuperseded returns the servers without those whose address is now used by a newer server of the same service. The entry of
// a crashed server remains until it has missed some heartbeats; until then it exists beside the entry of its successor.
// Servers of other services at the same address are ignored, because the writer of their entries may have wrong data.
func DropSuperseded(servers []Server) []Server {
	type place struct{ service, address string }
	newest := make(map[place]Server, len(servers))
	for _, s := range servers {
		p := place{service: s.Service, address: s.Address}
		if o, ok := newest[p]; !ok || s.startedAfter(o) {
			newest[p] = s
		}
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s Server) bool {
		return s.Address != "" && newest[place{service: s.Service, address: s.Address}].ID != s.ID
	})
}

// publish rebuilds the view and notifies waiters; the caller holds mu.
func (c *Catalog) publish() {
	v := &view{byService: make(map[string][]Server), byID: make(map[string]Server, len(c.servers))}
	var last, all []Server
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		all = append(all, c.servers[id])
		v.byID[id] = c.servers[id]
	}
	for _, s := range DropSuperseded(all) {
		leaving, keep := c.leaveState(s)
		switch {
		case s.Draining:
		case !leaving:
			v.byService[s.Service] = append(v.byService[s.Service], s)
		case keep:
			last = append(last, s)
		}
	}
	for _, s := range last {
		if len(v.byService[s.Service]) == 0 {
			v.byService[s.Service] = []Server{s}
		}
	}
	c.view.Store(v)
	c.notifyChanged()
}
