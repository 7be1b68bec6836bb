// Package stagger delays the load of a new weight version by a different time on each server, so that the servers of a
// model do not all load it at once. There is no coordinator: each daemon computes the delays of its own servers.
//
// # Usage
//
//	time.Sleep(stagger.Delay("engine-7", stagger.Position{Rank: 6, Servers: 11}, 10*time.Second))
package stagger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Position is the position of a server among the servers of its model in its failure domain. The zero value means that the
// position is unknown.
type Position struct {
	Rank    int // position, from 0
	Servers int // number of servers
}

// Delay returns the time by which a server delays a weight change, within [0, window). Servers with a known position are
// spread evenly over the window: if a load takes at most half the window, at most half of a domain's servers, rounded
// up, load at the same time. A server of unknown position gets a delay from a hash of its name. The hash alone is not
// enough: it left no server in service in a domain with three or four servers of a model.
func Delay(server string, p Position, window time.Duration) time.Duration {
	if p.Servers > 0 && p.Rank >= 0 && p.Rank < p.Servers {
		return window * time.Duration(p.Rank) / time.Duration(p.Servers)
	}
	const buckets = 1 << 20
	return window * time.Duration(xxhash.Sum64String(server)%buckets) / buckets
}
