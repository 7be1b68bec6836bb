package place

import (
	"time"

	"bulrushspoke/internal/catalog"
)

const (
	// moving is what a move must save at least: the new server reads the prompt and the text so far, and its events wait
	// for those that it makes for others.
	moving = 80 * time.Millisecond
	// paceClass is how many times slower than another a server is that work does not go to for its own sake: paces of
	// equal servers differ by less.
	paceClass = 1.15
	// doubt is how many times longer than expected work may turn out that is sent to a slow server.
	doubt = 2
	// crowding is how much slower a full engine makes events than an empty one.
	crowding = 0.05
	// equal spreads work among servers where it ends at about the same time.
	equal = 0.01
)

// finish estimates how long work that makes rest events takes at a server.
func (t *Tracker) finish(now time.Time, s catalog.Server, rest int) time.Duration {
	return time.Duration(rest)*t.usual(s) + t.lost(s.ID, now) + t.way(s)
}

// usual returns the usual pace of an engine.
func (t *Tracker) usual(s catalog.Server) time.Duration {
	if st := t.state[s.ID]; st != nil && st.pace.usual > 0 {
		return st.pace.usual
	}
	return t.typical(s.Versions != nil)
}

// lost estimates the time that work loses to what disturbs an engine, as this entry sees it or another one tells.
func (t *Tracker) lost(id string, now time.Time) time.Duration {
	st := t.state[id]
	if st == nil || st.pace.usual == 0 || t.late(now) {
		return 0
	}
	if now.Sub(st.pace.at) < told {
		return st.pace.lost(now)
	}
	if p := t.foreignPace(id, now); float64(p) > slowFactor*float64(st.pace.usual) {
		return wasted(st.pace.usual, p, 0)
	}
	return st.pace.lingers(now)
}

// wait is the cost of an engine for work that makes events, in seconds.
func (t *Tracker) wait(now time.Time, s catalog.Server, n Need) float64 {
	return t.finish(now, s, n.Rest).Seconds() * (1 + crowding*t.fill(s, now) + equal*t.random.Float64())
}

// fill returns the part of a server's slots that is taken.
func (t *Tracker) fill(s catalog.Server, now time.Time) float64 {
	return float64(t.inflight(s.ID, now)) / float64(max(s.Slots, 1))
}

// spared returns the least filled of the servers slower than the best one at which the work still ends in time, or the
// best one if there is none.
//
// It answers a load in which a step waits for its longest items while short ones take the slots of the fast engines.
func (t *Tracker) spared(now time.Time, servers []catalog.Server, n Need, best int) int {
	chosen, least := best, 0.0
	slower := paceClass * float64(t.usual(servers[best]))
	for i, s := range servers {
		if !n.suits(s) || !t.open(now, s, n) || t.lost(s.ID, now) > 0 || float64(t.usual(s)) < slower ||
			doubt*t.finish(now, s, n.Rest) > n.Within {
			continue
		}
		if f := t.fill(s, now); chosen == best || f < least {
			chosen, least = i, f
		}
	}
	return chosen
}

// Better picks a server at which work ends earlier than at its present one by more than moving takes, and counts an
// attempt there as begun.
//
// It answers loads in which long items run on engines that are slow for good, or that are disturbed for about a second
// at a time while others are not: a step waits for its longest item, which meets several disturbances.
func (t *Tracker) Better(
	now time.Time, present catalog.Server, servers []catalog.Server, n Need,
) (catalog.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	here := t.finish(now, present, n.Rest)
	if doubt*here <= n.Within {
		return catalog.Server{}, false
	}
	s, ok := t.pick(now, servers, n)
	if !ok || here-t.finish(now, s, n.Rest) < moving {
		return catalog.Server{}, false
	}
	// Between servers of the same pace only a disturbance is a reason to move, and not to one that is disturbed as well.
	if float64(t.usual(present)) < paceClass*float64(t.usual(s)) && (t.lost(present.ID, now) == 0 || t.lost(s.ID, now) > 0) {
		return catalog.Server{}, false
	}
	t.began(s.ID, now)
	return s, true
}
