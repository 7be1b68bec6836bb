package balance

import (
	"math/rand/v2"
	"time"
)

// RoundRobin selects the servers in turn. It is a baseline for the benchmarks.
type RoundRobin struct {
	fleet *Fleet
	next  int
}

// NewRoundRobin returns a RoundRobin policy.
func NewRoundRobin(f *Fleet) *RoundRobin { return &RoundRobin{fleet: f} }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ time.Time, a Request) (ID, Outcome) {
	n := p.fleet.count()
	for range n {
		id := p.fleet.at(p.next % n)
		p.next++
		if p.fleet.allowed(id, &a) {
			return id, Found
		}
	}
	return None, NoServer
}

// LeastReported selects the server with the lowest reported load, which lags behind the actual load. It is a baseline for
// the benchmarks.
type LeastReported struct {
	fleet *Fleet
}

// NewLeastReported returns a LeastReported policy.
func NewLeastReported(f *Fleet) *LeastReported { return &LeastReported{fleet: f} }

// Pick implements Policy.
func (p *LeastReported) Pick(_ time.Time, a Request) (ID, Outcome) {
	best := None
	for i := range p.fleet.count() {
		id := p.fleet.at(i)
		if !p.fleet.allowed(id, &a) {
			continue
		}
		if best == None || p.fleet.states[id].server.Reported < p.fleet.states[best].server.Reported {
			best = id
		}
	}
	if best == None {
		return None, NoServer
	}
	return best, Found
}

// Random selects a random server. It is a baseline for the benchmarks.
type Random struct {
	fleet  *Fleet
	random *rand.Rand
}

// NewRandom returns a Random policy.
func NewRandom(f *Fleet, random *rand.Rand) *Random { return &Random{fleet: f, random: random} }

// Pick implements Policy.
func (p *Random) Pick(_ time.Time, a Request) (ID, Outcome) {
	n := p.fleet.count()
	if n == 0 {
		return None, NoServer
	}
	first := p.random.IntN(n)
	for i := range n {
		if id := p.fleet.at((first + i) % n); p.fleet.allowed(id, &a) {
			return id, Found
		}
	}
	return None, NoServer
}

// count returns the number of usable servers.
func (f *Fleet) count() int { return len(f.local) + len(f.remote) }

// at returns the i-th usable server, local servers first.
func (f *Fleet) at(i int) ID {
	if i < len(f.local) {
		return f.local[i]
	}
	return f.remote[i-len(f.local)]
}

// allowed reports whether the server is usable, not excluded and has the required weight version, which every policy must
// respect.
func (f *Fleet) allowed(id ID, a *Request) bool {
	s := f.states[id].server
	return s.Usable && s.Version >= a.MinVersion && !a.excludes(id)
}
