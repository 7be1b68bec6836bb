package balance

import (
	"math/rand/v2"
	"time"
)

// Verdict tells why a choice was or was not possible.
type Verdict int

const (
	// Found means that a server was chosen.
	Found Verdict = iota
	// Full means that every suitable server has as many own requests as allowed.
	Full
	// Stale means that no server has the weight version that is needed.
	Stale
	// Absent means that there is no usable server.
	Absent
)

// Ask describes a request.
type Ask struct {
	Tokens int    // predicted tokens of the answer, or 1 for a call to a plain service
	Prefix int    // prompt tokens that a server with the group's prefix in its cache saves
	Group  uint64 // hash of the prefix affinity key, 0 for none
	Floor  int64  // lowest weight version
	Train  bool   // class train
	Solo   bool   // must run alone on its server
	Except []ID   // servers that must not be chosen
}

// Policy chooses a server.
type Policy interface {
	Pick(now time.Time, a Ask) (ID, Verdict)
}

// probes bounds the random draws before all servers are scanned.
const probes = 8

// affinities is the size of the table of groups; groups with the same place displace each other.
const affinities = 4096

type affinity struct {
	group uint64
	id    ID
}

// Paced chooses the better of two random servers by outstanding tokens times observed time per token.
type Paced struct {
	fleet  *Fleet
	random *rand.Rand
	groups [affinities]affinity
}

// NewPaced returns the policy for production.
func NewPaced(f *Fleet, random *rand.Rand) *Paced { return &Paced{fleet: f, random: random} }

// Pick implements Policy. It prefers the local region, and the server that last ran the group while the saved
// prompt computation outweighs its queue.
func (p *Paced) Pick(now time.Time, a Ask) (ID, Verdict) {
	f := p.fleet
	n := now.UnixNano()
	f.sweep(now)
	if a.Solo {
		return f.solo(n, &a)
	}
	id, cost := p.region(f.local, n, &a)
	if len(f.remote) > 0 && (id == None || cost > f.settings.Cross || f.crowded(id, &a)) {
		other, away := p.region(f.remote, n, &a)
		if other != None && (id == None || cost-away > f.settings.Cross || f.relieves(other, id, &a)) {
			id, cost = other, away
		}
	}
	if id == None {
		return f.rescue(n, &a)
	}
	return p.prefer(id, cost, n, &a), Found
}

// crowded reports whether work should look for a server in another region: live work once live work takes a part of the
// local server's slots, training once its slots are all taken and it would only wait there.
func (f *Fleet) crowded(id ID, a *Ask) bool {
	if a.Train {
		return f.states[id].crowding(a) >= 1
	}
	return f.states[id].crowding(a) >= f.settings.Crowded
}

// relieves reports whether a server of another region is enough emptier than a crowded one.
func (f *Fleet) relieves(other, id ID, a *Ask) bool {
	return f.crowded(id, a) && f.states[id].crowding(a)-f.states[other].crowding(a) >= f.settings.Relief
}

// region chooses among the servers of one region and returns the predicted cost in seconds.
func (p *Paced) region(ids []ID, now int64, a *Ask) (ID, float64) {
	f := p.fleet
	if len(ids) == 0 {
		return None, 0
	}
	best, cost, found := None, 0.0, 0
	for range probes {
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
	return f.scan(ids, now, a)
}

// prefer returns the group's last server if the prefix in its cache is worth the longer wait.
func (p *Paced) prefer(id ID, cost float64, now int64, a *Ask) ID {
	if a.Group == 0 {
		return id
	}
	f := p.fleet
	g := &p.groups[a.Group%affinities]
	if g.group == a.Group && g.id != id && int(g.id) < len(f.states) && f.states[g.id].listed && f.eligible(g.id, now, a) {
		e := &f.states[g.id]
		saved := f.settings.PrefixCost * float64(a.Prefix) * f.effective(e, now)
		if f.cost(e, now, a)-saved <= cost && e.server.Region == f.states[id].server.Region {
			return g.id
		}
	}
	g.group, g.id = a.Group, id
	return id
}

func (f *Fleet) eligible(id ID, now int64, a *Ask) bool {
	e := &f.states[id]
	if e.until > now || e.solos > 0 || (e.probing && e.inflight > 0) {
		return false
	}
	return e.server.Usable && e.server.Version >= a.Floor && f.room(e, a.Train) && !a.excludes(id)
}

func (f *Fleet) room(e *state, train bool) bool {
	limit := f.settings.LiveCap
	if train {
		limit = f.settings.TrainCap
	}
	return e.inflight < max(1, int(limit*float64(e.server.Slots)))
}

func (a *Ask) excludes(id ID) bool {
	for _, x := range a.Except {
		if x == id {
			return true
		}
	}
	return false
}

// scan returns the cheapest eligible server.
func (f *Fleet) scan(ids []ID, now int64, a *Ask) (ID, float64) {
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

// solo chooses the same server for all solo requests, in every process: each of them empties its server, and a request
// that crashes its server should always hit the same one.
func (f *Fleet) solo(now int64, a *Ask) (ID, Verdict) {
	for _, ids := range [2][]ID{f.local, f.remote} {
		best := None
		for _, id := range ids {
			e := &f.states[id]
			if e.server.Version < a.Floor || !f.room(e, a.Train) || a.excludes(id) {
				continue
			}
			if best == None || e.rank > f.states[best].rank {
				best = id
			}
		}
		if best != None {
			return best, Found
		}
	}
	return f.rescue(now, a)
}

// rescue chooses an ejected server, or one that is on probation or runs solo requests, if nothing else is left, and
// otherwise tells what is missing.
func (f *Fleet) rescue(now int64, a *Ask) (ID, Verdict) {
	best, cost, verdict := None, 0.0, Absent
	for _, ids := range [2][]ID{f.local, f.remote} {
		for _, id := range ids {
			e := &f.states[id]
			switch {
			case !e.server.Usable || a.excludes(id):
			case e.server.Version < a.Floor:
				if verdict == Absent {
					verdict = Stale
				}
			case !f.room(e, a.Train):
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
