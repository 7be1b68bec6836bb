// Package stagger decides when each server takes a new weight version, so that the servers of a model do not swap at
// the same moment. There is no coordinator: every daemon decides for its own servers.
//
// # Usage
//
//	time.Sleep(stagger.Delay("engine-7", stagger.Place{Rank: 6, Servers: 11}, 10*time.Second))
package stagger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Place is the position of a server among the servers of its model in its failure domain. The zero value is a place
// that is not known.
type Place struct {
	Rank    int // from 0
	Servers int // number of servers
}

// Delay returns the time by which a server puts off a weight change, within [0, window). Servers with known places are
// spread evenly over the window: with loads of at most half the window, at most half of a domain's servers, rounded up,
// swap at once. A hash of the name alone left no server of a domain with three or four of them in service. It remains
// for servers whose place is not known.
func Delay(server string, p Place, window time.Duration) time.Duration {
	if p.Servers > 0 && p.Rank >= 0 && p.Rank < p.Servers {
		return window * time.Duration(p.Rank) / time.Duration(p.Servers)
	}
	const steps = 1 << 20
	return window * time.Duration(xxhash.Sum64String(server)%steps) / steps
}
