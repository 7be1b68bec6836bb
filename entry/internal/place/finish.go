package place

import (
	"time"

	"bulrushspoke/internal/catalog"
)

const (
	// moveCost is the minimum time that a move must save: the new server reads the prompt and the text so far, and the
	// events of the moved work queue behind those that the server generates for other work.
	moveCost = 80 * time.Millisecond
	// speedClassRatio is the ratio of baseline intervals from which a server counts as slower than another one. Servers
	// of equal speed differ by less.
	speedClassRatio = 1.15
	// estimateMargin is how many times its estimate work may take and still finish in time on a slow server.
	estimateMargin = 2
	// loadSlowdown is the relative increase of an engine's event interval from empty to full.
	loadSlowdown = 0.05
	// tieJitter is the relative random part that spreads work over servers with about the same completion time.
	tieJitter = 0.01
)

// completionTime estimates how long work with rest remaining events takes on a server.
func (t *Tracker) completionTime(now time.Time, s catalog.Server, rest int) time.Duration {
	return time.Duration(rest)*t.baseline(s) + t.expectedLoss(s.ID, now) + t.networkPenalty(s)
}

// baseline returns the baseline event interval of an engine, or an initial estimate if it is unknown.
func (t *Tracker) baseline(s catalog.Server) time.Duration {
	if st := t.state[s.ID]; st != nil && st.intervals.baseline > 0 {
		return st.intervals.baseline
	}
	return t.initialEstimate(s.Versions != nil)
}

// expectedLoss estimates the time that work loses to a transient slowdown of an engine, as observed by this entry or
// reported by another one.
func (t *Tracker) expectedLoss(id string, now time.Time) time.Duration {
	st := t.state[id]
	if st == nil || st.intervals.baseline == 0 || t.lagging(now) {
		return 0
	}
	if now.Sub(st.intervals.updated) < remoteIntervalTTL {
		return st.intervals.expectedLoss(now)
	}
	if interval := t.remoteInterval(id, now); float64(interval) > slowFactor*float64(st.intervals.baseline) {
		return slowdownLoss(st.intervals.baseline, interval, 0)
	}
	return st.intervals.decayedLoss(now)
}

// engineCost returns the cost of an engine for streaming work, in seconds.
func (t *Tracker) engineCost(now time.Time, s catalog.Server, n Need) float64 {
	return (t.completionTime(now, s, n.RemainingEvents) + t.promptCost(s, n, now)).Seconds() *
		(1 + loadSlowdown*t.utilization(s, now) + tieJitter*t.random.Float64())
}

// utilization returns the fraction of a server's slots that is occupied.
func (t *Tracker) utilization(s catalog.Server, now time.Time) float64 {
	return float64(t.inflight(s.ID, now)) / float64(max(s.Slots, 1))
}

// pickSlower returns the index of the least utilized server that is slower than the best one and still finishes the
// work in time, or best if there is none.
//
// A step waits for its longest items, so short ones must not occupy the slots of the fast engines.
func (t *Tracker) pickSlower(now time.Time, servers []catalog.Server, n Need, best int) int {
	chosen, least := best, 0.0
	minInterval := speedClassRatio * float64(t.baseline(servers[best]))
	maxPromptCost := t.promptCost(servers[best], n, now)
	for i, s := range servers {
		if !n.allows(s) {
			continue
		}
		t.cacheRequestCount(s.ID, n, now)
		if !t.hasRoom(now, s, n) || !t.limits.Allows(s.ID, n.priority(), n.Reserve, now) || t.expectedLoss(s.ID, now) > 0 ||
			float64(t.baseline(s)) < minInterval || t.promptCost(s, n, now) > maxPromptCost ||
			estimateMargin*t.completionTime(now, s, n.RemainingEvents) > n.TimeBudget {
			continue
		}
		if f := t.utilization(s, now); chosen == best || f < least {
			chosen, least = i, f
		}
	}
	return chosen
}

// PickFaster picks a server on which work finishes earlier than on its present one by more than the cost of a move, and
// records an attempt there as started. It returns false if the work should stay.
//
// It addresses long items on engines that are permanently slow, or that slow down for about a second at a time while
// others do not: a step waits for its longest item, which meets several such slowdowns.
func (t *Tracker) PickFaster(
	now time.Time, present catalog.Server, servers []catalog.Server, n Need,
) (catalog.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := t.completionTime(now, present, n.RemainingEvents)
	if estimateMargin*remaining <= n.TimeBudget {
		return catalog.Server{}, false
	}
	n.Optional = true
	s, ok := t.pick(now, servers, n)
	if !ok || remaining-t.completionTime(now, s, n.RemainingEvents) < moveCost+t.promptCost(s, n, now) {
		return catalog.Server{}, false
	}
	// Between servers of the same speed only a slowdown is a reason to move, and not to a server that is slowed as well.
	if float64(t.baseline(present)) < speedClassRatio*float64(t.baseline(s)) &&
		(t.expectedLoss(present.ID, now) == 0 || t.expectedLoss(s.ID, now) > 0) {
		return catalog.Server{}, false
	}
	t.startPrompt(s, n, now)
	t.began(s.ID, n.priority(), now)
	return s, true
}
