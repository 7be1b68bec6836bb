package place

import (
	"time"

	"bulrushspoke/internal/catalog"
)

const (
	// maxReuseShare is the share of the lowest cost by which a server with an idle connection may cost more and is still
	// chosen. Servers of equal speed differ by the random part of their costs and by what single answers add to the moving
	// average; one that takes 1.5 times as long as the others exceeds it after three answers.
	maxReuseShare = 0.25
	// maxReuseCost limits the same in seconds. It is below the transfer time between two regions (12 ms), so that no
	// connection draws a request into another region, and above the one between failure domains.
	maxReuseCost = 0.01
)

// Connections knows the idle connections to servers.
type Connections interface {
	// Idle returns how many idle connections to an incarnation the next requests may use.
	Idle(address, incarnation string, now time.Time) int
	// AtLeastTwoIdle reports whether there are at least two such connections, to any servers.
	AtLeastTwoIdle(now time.Time) bool
}

// SetConnections makes the choice of servers prefer those with idle connections. It must be called before any choice.
func (t *Tracker) SetConnections(c Connections) { t.connections = c }

// pickConnected returns the index of the server to choose in place of the cheapest one: the cheapest with an idle connection
// among those that cost about as much. costs holds the costs of the servers, negative for those that must not be chosen.
//
// A new connection costs a round trip and is billed. Requests of one entry to a service are seconds apart; spread evenly
// over all servers, they would find their connections expired. A process with a single idle connection chooses by cost alone.
func (t *Tracker) pickConnected(now time.Time, servers []catalog.Server, costs []float64, cheapest int) int {
	idle := func(i int) int { return t.connections.Idle(servers[i].Address, servers[i].ID, now) }
	if idle(cheapest) > 0 {
		return cheapest
	}
	limit := costs[cheapest] + min(maxReuseShare*costs[cheapest], maxReuseCost)
	chosen, count := cheapest, 0 // count is the number of idle connections found
	for i, c := range costs {
		if i == cheapest || c < 0 || c > limit || chosen != cheapest && c >= costs[chosen] {
			continue
		}
		if n := idle(i); n > 0 {
			chosen = i
			count += n
		}
	}
	if chosen == cheapest || count < 2 && !t.connections.AtLeastTwoIdle(now) {
		return cheapest
	}
	return chosen
}
