package balance

import (
	"math/rand/v2"
	"time"
)

// Outcome is the outcome of a selection.
type Outcome int

const (
	// Found means that a server was chosen.
	Found Outcome = iota
	// Full means that this process has as many requests in flight on every suitable server as it may have.
	Full
	// Stale means that no usable server has the required weight version.
	Stale
	// NoServer means that there is no usable server that is not excluded.
	NoServer
)

// Request describes the request that a server is selected for.
type Request struct {
	Tokens       int    // predicted output tokens, or 1 for a call to a plain service
	PrefixTokens int    // prompt tokens that need no prefill on a server with the group's prefix in its cache
	Group        uint64 // hash of the prefix affinity key, 0 for none
	MinVersion   int64  // minimum weight version
	Train        bool   // training request; a live one otherwise
	Solo         bool   // must run alone on the server
	Exclude      []ID   // servers that must not be selected
}

// Policy selects a server.
type Policy interface {
	Pick(now time.Time, a Request) (ID, Outcome)
}

// maxDraws bounds the random draws that look for two eligible servers before all servers are scanned.
const maxDraws = 8

// affinitySlots is the size of the affinity table; groups that map to the same entry replace each other.
const affinitySlots = 4096

// affinity is the server that a group was last sent to.
type affinity struct {
	group uint64
	id    ID
}

// PowerOfTwo implements power-of-two-choices selection: of two random servers it takes the one with the lower predicted time,
// which is its outstanding tokens times its observed time per token, divided by its slots.
type PowerOfTwo struct {
	fleet      *Fleet
	random     *rand.Rand
	affinities [affinitySlots]affinity
}

// NewPowerOfTwo returns the production policy.
func NewPowerOfTwo(f *Fleet, r *rand.Rand) *PowerOfTwo { return &PowerOfTwo{fleet: f, random: r} }

// Pick implements Policy. It prefers servers of the local region, and the server that last ran the group as long as the
// prefill that it saves outweighs its longer queue.
func (p *PowerOfTwo) Pick(now time.Time, a Request) (ID, Outcome) {
	f := p.fleet
	n := now.UnixNano()
	f.sweep(now)
	if a.Solo {
		return f.pickSolo(n, &a)
	}
	id, cost := p.pickInRegion(f.local, n, &a)
	if len(f.remote) > 0 && (id == None || cost > f.settings.MinRegionSaving || f.shouldSpill(id, &a)) {
		other, away := p.pickInRegion(f.remote, n, &a)
		if other != None && (id == None || cost-away > f.settings.MinRegionSaving || f.lessUtilized(other, id, &a)) {
			id, cost = other, away
		}
	}
	if id == None {
		return f.pickFallback(n, &a)
	}
	return p.pickByAffinity(id, cost, n, &a), Found
}

// shouldSpill reports whether another region should be considered: for a live request once live requests occupy
// SpilloverShare of the server's slots, for a training request once all slots are occupied and it would have to wait.
func (f *Fleet) shouldSpill(id ID, a *Request) bool {
	if a.Train {
		return f.states[id].utilization(a) >= 1
	}
	return f.states[id].utilization(a) >= f.settings.SpilloverShare
}

// lessUtilized reports whether server id is loaded enough to spill over and server other has a utilization that is lower
// by at least SpilloverMargin.
func (f *Fleet) lessUtilized(other, id ID, a *Request) bool {
	return f.shouldSpill(id, a) && f.states[id].utilization(a)-f.states[other].utilization(a) >= f.settings.SpilloverMargin
}

// pickInRegion selects among the servers of one region and returns the predicted cost in seconds.
func (p *PowerOfTwo) pickInRegion(ids []ID, now int64, a *Request) (ID, float64) {
	f := p.fleet
	if len(ids) == 0 {
		return None, 0
	}
	best, cost, found := None, 0.0, 0
	for range maxDraws {
		id := ids[p.random.IntN(len(ids))]
		if id == best || !f.eligible(id, now, a) {
			continue
		}
		c := f.cost(&f.states[id], now, a)
		if best == None || c < cost {
			best, cost = id, c
		}
		if found++; found == 2 {
			break
		}
	}
	if best != None {
		return best, cost
	}
	return f.cheapest(ids, now, a)
}

// pickByAffinity returns the server that last ran the group if the prefill that it saves is worth the longer wait and it
// is in the same region as id; otherwise it returns id and records it for the group.
func (p *PowerOfTwo) pickByAffinity(id ID, cost float64, now int64, a *Request) ID {
	if a.Group == 0 {
		return id
	}
	f := p.fleet
	g := &p.affinities[a.Group%affinitySlots]
	if g.group == a.Group && g.id != id && int(g.id) < len(f.states) && f.states[g.id].listed && f.eligible(g.id, now, a) {
		e := &f.states[g.id]
		saved := f.settings.PrefillCost * float64(a.PrefixTokens) * f.worstTime(e, now)
		if f.cost(e, now, a)-saved <= cost && e.server.Region == f.states[id].server.Region {
			return g.id
		}
	}
	g.group, g.id = a.Group, id
	return id
}

// eligible reports whether the server may get the request in normal operation; see pickFallback for the exceptions.
func (f *Fleet) eligible(id ID, now int64, a *Request) bool {
	e := &f.states[id]
	if e.ejectedUntil > now || e.soloInflight > 0 || (e.probation && e.inflight > 0) {
		return false
	}
	return e.server.Usable && e.server.Version >= a.MinVersion && f.hasCapacity(e, a.Train) && !a.excludes(id)
}

// hasCapacity reports whether the requests in flight on the server are below the bound for the class.
func (f *Fleet) hasCapacity(e *state, train bool) bool {
	limit := f.settings.LiveCap
	if train {
		limit = f.settings.TrainCap
	}
	return e.inflight < max(1, int(limit*float64(e.server.Slots)))
}

func (a *Request) excludes(id ID) bool {
	for _, x := range a.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

// cheapest returns the eligible server with the lowest cost, and that cost.
func (f *Fleet) cheapest(ids []ID, now int64, a *Request) (ID, float64) {
	best, cost := None, 0.0
	for _, id := range ids {
		if !f.eligible(id, now, a) {
			continue
		}
		if c := f.cost(&f.states[id], now, a); best == None || c < cost {
			best, cost = id, c
		}
	}
	return best, cost
}

// pickSolo selects the same server for all solo requests, in all processes: each solo request needs a server without other
// requests, and a request that crashes its server should not crash a different one each time.
func (f *Fleet) pickSolo(now int64, a *Request) (ID, Outcome) {
	for _, ids := range [2][]ID{f.local, f.remote} {
		best := None
		for _, id := range ids {
			e := &f.states[id]
			if e.server.Version < a.MinVersion || !f.hasCapacity(e, a.Train) || a.excludes(id) {
				continue
			}
			if best == None || e.soloRank > f.states[best].soloRank {
				best = id
			}
		}
		if best != None {
			return best, Found
		}
	}
	return f.pickFallback(now, a)
}

// pickFallback selects among all usable servers, including those that are ejected, on probation or running solo requests.
// If there is none, the verdict gives the reason.
func (f *Fleet) pickFallback(now int64, a *Request) (ID, Outcome) {
	best, cost, verdict := None, 0.0, NoServer
	for _, ids := range [2][]ID{f.local, f.remote} {
		for _, id := range ids {
			e := &f.states[id]
			switch {
			case !e.server.Usable || a.excludes(id):
			case e.server.Version < a.MinVersion:
				if verdict == NoServer {
					verdict = Stale
				}
			case !f.hasCapacity(e, a.Train):
				verdict = Full
			default:
				if c := f.cost(e, now, a); best == None || c < cost {
					best, cost = id, c
				}
			}
		}
	}
	if best != None {
		return best, Found
	}
	return None, verdict
}
