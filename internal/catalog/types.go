// Package catalog holds the newest known configuration, servers and weight versions of a deployment.
//
// # Usage
//
//	c := catalog.New(logger)
//	go catalog.Follow(ctx, source, feed, logger) // keeps it up to date from the store
//	cfg := c.Config()             // nil before the first configuration is known
//	route, ok := cfg.Match("shop.example", "/orders/7")
//	for _, s := range c.Servers(route.Shares[0].Service) { … }
//
// Everything returned is shared and must not be changed. A lower revision never replaces a higher one.
package catalog

import (
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once for each attempt of the client.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream answers are a series of events; they run at most once unless the route is resumable.
	Stream
	// Batch routes take jobs of many items.
	Batch
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Kind          Kind
	Timeout       time.Duration // a request is answered by then
	Objective     time.Duration // an answer within it earns its full worth
	Priority      int           // 0 is the most urgent
	Shares        []Share
	Attempts      int // most servers that one attempt of a client is sent to; for items, most failed runs
	Resumable     bool
	SingleVersion bool          // all events of a result come from one weight version
	Due           time.Duration // results of a job are due this long after it was submitted
	Queue         time.Duration // an item may be given up this long after its job was submitted
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Batch || r.Resumable }

// Draw returns one of the route's services by their weights; draw returns a random number below its argument.
func (r *Route) Draw(draw func(int) int) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if len(r.Shares) == 1 || total <= 0 {
		return r.Shares[0].Service
	}
	n := draw(total)
	for _, s := range r.Shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// Service is a set of interchangeable servers.
type Service struct {
	Name   string
	Health string   // path of the health check
	Conns  int      // connections that each server accepts from all callers together
	Slots  int      // requests that an engine runs at once; 0 for a plain service
	Memory int      // tokens that an engine holds
	Models []string // models that an engine runs
}

// Limits bound what a client may send.
type Limits struct {
	Header        int // bytes
	Body          int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Revision int64
	Version  int
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Match returns the route of a host with the longest prefix of the path.
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

// Hosts reports whether a host has a route of the given kind.
func (c *Config) Hosts(host string, k Kind) bool {
	for i := range c.Routes {
		if c.Routes[i].Host == host && c.Routes[i].Kind == k {
			return true
		}
	}
	return false
}

// Server is one incarnation of a server.
type Server struct {
	ID       string
	Revision int64
	Service  string
	Address  string
	Domain   string
	Slots    int
	Draining bool
	Born     int64          // start of the incarnation in Unix milliseconds; 0 if unknown
	Versions map[string]int // weight version of each model
}

// after reports whether a server started after another one, or was listed later if either start is unknown.
func (s Server) after(o Server) bool {
	if s.Born > 0 && o.Born > 0 && s.Born != o.Born {
		return s.Born > o.Born
	}
	return s.Revision > o.Revision
}

// Version is the newest weight version that a trainer named.
type Version struct {
	Model    string
	Number   int
	Revision int64
}
