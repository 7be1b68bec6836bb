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
)

// lapseGrace is how long a server whose entry went missing during an outage of the store stays in use after the
// outage: entries of live servers are back within about two seconds.
const lapseGrace = 2 * time.Second

const (
	// lastUse is how long the last server of a service stays in use after its own notice that it leaves; it goes on
	// serving for some seconds.
	lastUse = time.Second
	// noticeTime is how long a notice is remembered; a server that leaves is gone by then.
	noticeTime = 10 * time.Minute
	// removalTime is how long a removal is remembered. News that were read before it come later by an outage of the store
	// or the pause of a process, which last minutes at most.
	removalTime = 10 * time.Minute
)

// removal is the newest removal of an entry.
type removal struct {
	revision int64
	at       time.Time
}

// notice is a server's own word that it is about to leave. It holds for one incarnation.
type notice struct {
	born int64
	at   time.Time
	last bool // in use still, since its service has no other server
}

// Catalog holds what is known. It is safe for concurrent use.
type Catalog struct {
	logger *slog.Logger
	config atomic.Pointer[Config]
	view   atomic.Pointer[view]

	mu       sync.Mutex
	servers  map[string]Server
	lapsed   map[string]time.Time // when a missing server is given up
	removed  map[string]removal   // by id of the server
	restored time.Time            // end of the last outage of the store
	notices  map[string]notice    // by id of the server
	versions map[string]Version
	changed  chan struct{}
	known    atomic.Bool
}

// view is an immutable arrangement of the servers in use.
type view struct {
	byService map[string][]Server
	byID      map[string]Server
}

// New returns an empty catalog.
func New(logger *slog.Logger) *Catalog {
	c := &Catalog{
		logger:   logger,
		servers:  make(map[string]Server),
		lapsed:   make(map[string]time.Time),
		removed:  make(map[string]removal),
		notices:  make(map[string]notice),
		versions: make(map[string]Version),
		changed:  make(chan struct{}),
	}
	c.view.Store(&view{})
	return c
}

// Config returns the newest configuration, nil if none is known.
func (c *Catalog) Config() *Config { return c.config.Load() }

// Known reports whether the list of servers has been read.
func (c *Catalog) Known() bool { return c.known.Load() }

// Servers returns the servers of a service that take new work, in order of their ids.
func (c *Catalog) Servers(service string) []Server { return c.view.Load().byService[service] }

// Server returns a server by its id, also while it is draining.
func (c *Catalog) Server(id string) (Server, bool) {
	s, ok := c.view.Load().byID[id]
	return s, ok
}

// Version returns the newest version named for a model.
func (c *Catalog) Version(model string) (Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.versions[model]
	return v, ok
}

// Versions returns the newest version of each model, in order of their names.
func (c *Catalog) Versions() []Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := slices.Collect(maps.Values(c.versions))
	slices.SortFunc(l, func(a, b Version) int { return strings.Compare(a.Model, b.Model) })
	return l
}

// Changed returns a channel that is closed at the next change.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// signal wakes all who wait for a change; the caller holds mu.
func (c *Catalog) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ApplyConfig takes a configuration if it is newer than the one held.
func (c *Catalog) ApplyConfig(n Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.config.Load(); held != nil && held.Revision >= n.Revision {
		return false
	}
	c.config.Store(&n)
	c.signal()
	event.ConfigApplied.Log(c.logger, "revision", n.Revision, "version", n.Version, "routes", len(n.Routes))
	return true
}

// ApplyVersion takes a weight version if it is newer than the one held.
func (c *Catalog) ApplyVersion(v Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, ok := c.versions[v.Model]; ok && held.Revision >= v.Revision {
		return false
	}
	c.versions[v.Model] = v
	c.signal()
	event.VersionNamed.Log(c.logger, "model", v.Model, "version", v.Number, "revision", v.Revision)
	return true
}

// Restored tells that the store answers again after an outage.
func (c *Catalog) Restored(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restored = now
}

// ReplaceServers takes a complete list of the servers, read at the given revision.
func (c *Catalog) ReplaceServers(list []Server, revision int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		c.put(s)
	}
	for id, s := range c.servers {
		if !present[id] && s.Revision < revision {
			c.remove(id, revision, now)
		}
	}
	c.arrange()
	c.known.Store(true)
}

// ApplyServer takes one entry that was written.
func (c *Catalog) ApplyServer(s Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(s)
	c.arrange()
}

// RemoveServer takes the removal of an entry at the given revision.
func (c *Catalog) RemoveServer(id string, revision int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.servers[id]; ok && s.Revision > revision {
		return
	}
	c.remove(id, revision, now)
	c.arrange()
}

// Heard takes an answer that a server gave to the request with the given id. It returns what the answer says of the request,
// and notes the server's own notice that it leaves.
func (c *Catalog) Heard(s Server, a call.Answer, id string, now time.Time) call.Meaning {
	m := a.Meaning(id)
	if a.Leaving && m != call.Foreign {
		c.Leaves(s, now)
	}
	return m
}

// Leaves takes a server's own notice that it is about to leave: it gets no new work from now on, whatever its entry says.
// The last server of a service stays in use for a moment.
func (c *Catalog) Leaves(s Server, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, ok := c.notices[s.ID]; ok && n.born == s.Born {
		return
	}
	if held, ok := c.servers[s.ID]; ok && held.Born != s.Born {
		return // of a former incarnation
	}
	maps.DeleteFunc(c.notices, func(_ string, n notice) bool { return now.Sub(n.at) > noticeTime })
	c.notices[s.ID] = notice{born: s.Born, at: now}
	event.ServerLeaves.Log(c.logger, "server", s.ID, "born", s.Born)
	c.arrange()
	if held, ok := c.servers[s.ID]; !ok || held.Draining || len(c.view.Load().byService[s.Service]) > 0 {
		return
	}
	c.notices[s.ID] = notice{born: s.Born, at: now, last: true}
	c.arrange()
	time.AfterFunc(lastUse, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.notices[s.ID].born == s.Born {
			c.notices[s.ID] = notice{born: s.Born, at: now}
			c.arrange()
		}
	})
}

// leaves reports whether a server has said that it is about to leave, and whether it is to be used for want of another;
// the caller holds mu.
func (c *Catalog) leaves(s Server) (leaving, last bool) {
	n, ok := c.notices[s.ID]
	if !ok || n.born != s.Born {
		return false, false
	}
	return true, n.last
}

func (c *Catalog) put(s Server) {
	held, ok := c.servers[s.ID]
	if ok && held.Revision > s.Revision {
		return
	}
	// A watch that goes on after an outage repeats what others have told meanwhile, and must not undo the removal.
	if gone, ok := c.removed[s.ID]; ok && gone.revision >= s.Revision {
		return
	}
	delete(c.removed, s.ID)
	delete(c.lapsed, s.ID)
	c.servers[s.ID] = s
	switch {
	case !ok:
		event.ServerKnown.Log(c.logger, "server", s.ID, "address", s.Address, "revision", s.Revision, "draining", s.Draining)
	case held.Draining != s.Draining || held.Born != s.Born:
		event.ServerChanged.Log(c.logger, "server", s.ID, "revision", s.Revision, "draining", s.Draining, "born", s.Born)
	}
}

// remove takes a server out of use, at once or after the grace that follows an outage; entries up to the revision of the
// removal don't bring it back.
func (c *Catalog) remove(id string, revision int64, now time.Time) {
	maps.DeleteFunc(c.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removalTime })
	c.removed[id] = removal{revision: max(revision, c.removed[id].revision), at: now}
	if _, ok := c.servers[id]; !ok {
		return
	}
	if until := c.restored.Add(lapseGrace); now.Before(until) && !c.servers[id].Draining {
		if _, ok := c.lapsed[id]; !ok {
			c.lapsed[id] = until
			time.AfterFunc(until.Sub(now), func() { c.giveUp(id, until) })
		}
		return
	}
	delete(c.servers, id)
	delete(c.lapsed, id)
	event.ServerGone.Log(c.logger, "server", id)
}

// giveUp removes a server whose entry has not come back.
func (c *Catalog) giveUp(id string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lapsed[id].Equal(until) {
		return
	}
	delete(c.servers, id)
	delete(c.lapsed, id)
	event.ServerGone.Log(c.logger, "server", id, "cause", "not back after an outage of the store")
	c.arrange()
}

// Current leaves out servers whose address another one of their service has taken since: the entry of one that crashed
// stays until it has missed some heartbeats, and until then that of its successor stands beside it. Entries of other
// services don't count, as they may come from a writer that knows no better.
func Current(servers []Server) []Server {
	type place struct{ service, address string }
	newest := make(map[place]Server, len(servers))
	for _, s := range servers {
		p := place{service: s.Service, address: s.Address}
		if o, ok := newest[p]; !ok || s.after(o) {
			newest[p] = s
		}
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s Server) bool {
		return s.Address != "" && newest[place{service: s.Service, address: s.Address}].ID != s.ID
	})
}

// arrange publishes the servers; the caller holds mu.
func (c *Catalog) arrange() {
	v := &view{byService: make(map[string][]Server), byID: make(map[string]Server, len(c.servers))}
	var last, all []Server
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		all = append(all, c.servers[id])
		v.byID[id] = c.servers[id]
	}
	for _, s := range Current(all) {
		leaving, only := c.leaves(s)
		switch {
		case s.Draining:
		case !leaving:
			v.byService[s.Service] = append(v.byService[s.Service], s)
		case only:
			last = append(last, s)
		}
	}
	for _, s := range last {
		if len(v.byService[s.Service]) == 0 {
			v.byService[s.Service] = []Server{s}
		}
	}
	c.view.Store(v)
	c.signal()
}
