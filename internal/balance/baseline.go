package balance

import (
	"math/rand/v2"
	"time"
)

// RoundRobin takes the servers in turn. It is a baseline for the benches.
type RoundRobin struct {
	fleet *Fleet
	next  int
}

// NewRoundRobin returns the baseline.
func NewRoundRobin(f *Fleet) *RoundRobin { return &RoundRobin{fleet: f} }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ time.Time, a Ask) (ID, Verdict) {
	n := p.fleet.count()
	for range n {
		id := p.fleet.at(p.next % n)
		p.next++
		if p.fleet.plain(id, &a) {
			return id, Found
		}
	}
	return None, Absent
}

// LeastReported takes the server with the lowest load report, which lags. It is a baseline for the benches.
type LeastReported struct {
	fleet *Fleet
}

// NewLeastReported returns the baseline.
func NewLeastReported(f *Fleet) *LeastReported { return &LeastReported{fleet: f} }

// Pick implements Policy.
func (p *LeastReported) Pick(_ time.Time, a Ask) (ID, Verdict) {
	best := None
	for i := range p.fleet.count() {
		id := p.fleet.at(i)
		if !p.fleet.plain(id, &a) {
			continue
		}
		if best == None || p.fleet.states[id].server.Reported < p.fleet.states[best].server.Reported {
			best = id
		}
	}
	if best == None {
		return None, Absent
	}
	return best, Found
}

// Random takes any server. It is a baseline for the benches.
type Random struct {
	fleet  *Fleet
	random *rand.Rand
}

// NewRandom returns the baseline.
func NewRandom(f *Fleet, random *rand.Rand) *Random { return &Random{fleet: f, random: random} }

// Pick implements Policy.
func (p *Random) Pick(_ time.Time, a Ask) (ID, Verdict) {
	n := p.fleet.count()
	if n == 0 {
		return None, Absent
	}
	first := p.random.IntN(n)
	for i := range n {
		if id := p.fleet.at((first + i) % n); p.fleet.plain(id, &a) {
			return id, Found
		}
	}
	return None, Absent
}

func (f *Fleet) count() int { return len(f.local) + len(f.remote) }

func (f *Fleet) at(i int) ID {
	if i < len(f.local) {
		return f.local[i]
	}
	return f.remote[i-len(f.local)]
}

// plain is what every policy must respect: usable, not excluded, and the weight version.
func (f *Fleet) plain(id ID, a *Ask) bool {
	s := f.states[id].server
	return s.Usable && s.Version >= a.Floor && !a.excludes(id)
}
