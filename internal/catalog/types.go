// Package catalog caches the newest known configuration, servers and weight versions of a deployment.
//
// # Usage
//
//	c := catalog.New(logger)
//	go catalog.Follow(ctx, source, feed, logger) // the functions of feed pass changes in the store to c
//	cfg := c.Config()                            // nil before the first configuration is known
//	route, ok := cfg.Match("shop.example", "/orders/7")
//	for _, service := range route.Order(random.IntN) {
//		for _, s := range c.Servers(service) { … }
//	}
//
// Returned values are shared and must not be modified. An object with a lower revision never replaces one with a higher
// revision.
package catalog

import (
	"slices"
	"strings"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/workspace"
)

// Kind is the kind of a route, which determines whether its requests may be retried.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once per attempt of the client.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered with server-sent events; they run at most once unless the route is resumable.
	Stream
	// Batch routes accept batch jobs.
	Batch
)

// Share is a service that gets a part of a route's requests, in proportion to its weight.
type Share struct {
	Service string
	Weight  int
}

// maxWeight is the weight from which on a share gets no more, so that sums of weights do not overflow.
const maxWeight = 1 << 40

// Route describes how requests for a host and path prefix are handled.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Kind          Kind
	Timeout       time.Duration // maximum time to answer a request
	Objective     time.Duration // latency objective; an answer within it earns its full worth
	Priority      int           // 0 is the highest priority; only meaningful if HasPriority
	HasPriority   bool          // the route has a priority
	Open          bool          // requests need no key, whatever workspaces there are
	Shares        []Share
	MaxAttempts   int // maximum of servers that one attempt of a client is sent to; for items, maximum of failed runs
	Resumable     bool
	SingleVersion bool          // all events of a result come from one weight version
	DueAfter      time.Duration // time from the submission of a job until its results are due
	MaxQueueTime  time.Duration // time from the submission of a job after which its items may be terminated
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Batch || r.Resumable }

// Order returns the services of the route in the order in which a request or an item looks for a server there, drawn by
// weight; random returns a random number below its argument. Services that get no requests are left out.
func (r *Route) Order(random func(int) int) []string {
	if services := r.Services(); len(services) <= 1 {
		return services
	}
	var l []string
	left := slices.Clone(r.Shares)
	for {
		left = slices.DeleteFunc(left, func(s Share) bool { return s.Weight <= 0 || slices.Contains(l, s.Service) })
		if len(left) == 0 {
			return l
		}
		l = append(l, left[draw(left, random)].Service)
	}
}

// draw returns the index of a share, drawn by weight.
func draw(shares []Share, random func(int) int) int {
	total := 0
	for _, s := range shares {
		total += min(s.Weight, maxWeight)
	}
	n := random(total)
	for i, s := range shares {
		if n -= min(s.Weight, maxWeight); n < 0 {
			return i
		}
	}
	return 0
}

// Services returns the names of the services of the route, without those that get no requests.
func (r *Route) Services() []string {
	var l []string
	for _, s := range r.Shares {
		if (s.Weight > 0 || len(r.Shares) == 1) && !slices.Contains(l, s.Service) {
			l = append(l, s.Service)
		}
	}
	if len(l) == 0 && len(r.Shares) > 0 {
		return []string{r.Shares[0].Service}
	}
	return l
}

// StartWith returns services with the given one first, if it is among them, and the others in the same order.
func StartWith(service string, services []string) []string {
	i := slices.Index(services, service)
	if i <= 0 {
		return services
	}
	l := slices.Delete(slices.Clone(services), i, i+1)
	return slices.Insert(l, 0, service)
}

// Service is a set of interchangeable servers.
type Service struct {
	Name       string
	HealthPath string   // HTTP path of the health check
	MaxConns   int      // maximum of connections that each server accepts in total
	Slots      int      // requests that an engine runs concurrently; 0 for a plain service
	KVCapacity int      // capacity of an engine's KV cache in tokens
	Models     []string // models that an engine serves
}

// Limits are the limits for requests and connections of clients.
type Limits struct {
	MaxHeaderBytes int // maximum header size in bytes
	MaxBodyBytes   int // maximum body size in bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Revision int64
	Version  int
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces are those whose keys give access; nil if the deployment has no workspaces, in which case no request needs a
	// key.
	Workspaces *workspace.Directory
}

// Match returns the route for a host and path: of all matching routes, the one with the longest prefix.
func (c *Config) Match(host, path string) (*Route, bool) {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best != nil
}

// HasRoute reports whether there is a route of the given kind for the host.
func (c *Config) HasRoute(host string, k Kind) bool {
	for i := range c.Routes {
		if c.Routes[i].Host == host && c.Routes[i].Kind == k {
			return true
		}
	}
	return false
}

// Priority returns the priority of work of a workspace on a route: that of the workspace, otherwise that of the route. 0 is
// the most urgent and workspace.MaxPriority the least.
func (c *Config) Priority(w workspace.Workspace, r *Route) int {
	p := workspace.DefaultPriority
	switch w = c.Workspaces.Current(w); {
	case w.HasPriority:
		p = w.Priority
	case r.HasPriority:
		p = r.Priority
	}
	return min(max(p, 0), workspace.MaxPriority)
}

// Sender returns on whose behalf a request of a workspace is sent to a server of a service. The key is the one that the
// client has sent, empty if it is not known.
func (c *Config) Sender(w workspace.Workspace, r *Route, service, key string) call.Sender {
	s := call.Sender{StripCredentials: c.Workspaces != nil || !w.None(), Workspace: w.Name, StripPriority: c.Workspaces.HasPriority()}
	if s.StripCredentials {
		s.IsSecret = func(text string) bool {
			return key != "" && strings.Contains(text, key) || c.Workspaces.ContainsKey(text)
		}
	}
	if s.StripPriority && c.Services[service].Slots > 0 { // a plain service has no order of its own
		s.HasPriority, s.Priority = true, c.Priority(w, r)
	}
	return s
}

// HasOpenRoute reports whether there is a route of the given kind for the host that needs no key.
func (c *Config) HasOpenRoute(host string, k Kind) bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Host == host && r.Kind == k && r.Open })
}

// Server is one incarnation of a server, as described by its entry in the store.
type Server struct {
	ID        string
	Revision  int64
	Service   string
	Address   string
	Domain    string // failure domain
	Slots     int
	Draining  bool
	StartedAt int64          // start of the incarnation in Unix milliseconds; 0 if unknown
	Versions  map[string]int // weight version of each model
}

// startedAfter reports whether s started after o, or has the higher revision if either start is unknown.
func (s Server) startedAfter(o Server) bool {
	if s.StartedAt > 0 && o.StartedAt > 0 && s.StartedAt != o.StartedAt {
		return s.StartedAt > o.StartedAt
	}
	return s.Revision > o.Revision
}

// Version is a weight version that a trainer published for a model.
type Version struct {
	Model    string
	Number   int
	Revision int64
}
