package place

import (
	"time"

	"bulrushspoke/internal/catalog"
)

// availability says how soon the servers of a service can run a request.
type availability int

const (
	unable    availability = iota // no server may run it
	inBackOff                     // those that may have failed or refused requests a short time ago
	full                          // their slots are in use
	free
)

// Pools are the servers of the services of a route, in the order in which work looks for a server there
// (catalog.Route.Order).
//
// The order is drawn by the weights of the route, which therefore hold as long as each service can run what it is drawn for.
// Work goes to another service rather than wait for, or be refused by, servers that cannot run it now.
type Pools [][]catalog.Server

// StartAmong is Start for the servers of several services. Work that requires a slot goes to the first service that has one
// for it, other work to the first one of those that are most available.
func (t *Tracker) StartAmong(now time.Time, p Pools, n Need) (catalog.Server, bool) {
	for _, servers := range t.Sort(now, p, n) {
		if s, ok := t.Start(now, servers, n); ok {
			return s, true
		}
	}
	return catalog.Server{}, false
}

// PickAmong is Pick for the servers of several services.
func (t *Tracker) PickAmong(now time.Time, p Pools, n Need) (catalog.Server, bool) {
	for _, servers := range t.Sort(now, p, n) {
		if s, ok := t.Pick(now, servers, n); ok {
			return s, true
		}
	}
	return catalog.Server{}, false
}

// Sort returns the servers of those services that may run the work, the most available ones first and otherwise in the given
// order.
func (t *Tracker) Sort(now time.Time, p Pools, n Need) Pools {
	if len(p) <= 1 {
		return p
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	byAvailability := make([]Pools, free+1)
	for _, servers := range p {
		a := t.availability(now, servers, n)
		byAvailability[a] = append(byAvailability[a], servers)
	}
	sorted := make(Pools, 0, len(p))
	for a := free; a > unable; a-- {
		sorted = append(sorted, byAvailability[a]...)
	}
	return sorted
}

// availability returns that of the most available one of the servers.
func (t *Tracker) availability(now time.Time, servers []catalog.Server, n Need) availability {
	most := unable
	for _, s := range servers {
		switch {
		case !n.allows(s) || !t.limits.Allows(s.ID, n.priority(), n.Reserve, now):
		case t.hasRoom(now, s, n):
			return free
		case t.state[s.ID].avoided(n.Model, now):
			most = max(most, inBackOff)
		default:
			most = full
		}
	}
	return most
}

// Servers returns the servers of all services.
func (p Pools) Servers() []catalog.Server {
	if len(p) == 1 {
		return p[0]
	}
	var l []catalog.Server
	for _, servers := range p {
		l = append(l, servers...)
	}
	return l
}
