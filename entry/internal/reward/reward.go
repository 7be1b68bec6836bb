// Package reward decides when the reward calls of a job are sent, how long each may take and when one is given up.
//
// # Usage
//
//	var c reward.Call
//	c.Asked(now) // the text is whole
//	if c.Due(now) { … send with a deadline of c.Allow(objective, timeout) … }
//	if c.Ended(reward.Failed, attempts, time.Now()) { … give the item up … }
//
// It answers a load in which the texts of a step end in bursts and their calls share plain servers with live requests:
// calls leave a part of each server's slots to live requests until they have waited for long, and calls of the groups
// that are nearest to whole go first, since a trainer uses whole groups only.
package reward

import (
	"cmp"
	"slices"
	"time"

	"bulrushspoke/entry/internal/place"
)

const (
	// usualTime is allowed for an attempt on routes that set no objective.
	usualTime = time.Second
	// longestTime bounds an attempt on routes that set no timeout.
	longestTime = 10 * time.Second
	// patience is how long a call leaves room for live requests before it competes with them.
	patience = 2 * time.Second
	// spareShare is the part of a server's slots that calls leave to live requests.
	spareShare = 1.0 / 3
	// refusedPause is the time to the next attempt after a refusal; the queue of a plain server drains in less.
	refusedPause = 50 * time.Millisecond
	// pauseLeast is the time to the next attempt after one that failed or got lost, doubled with each in a row. The first
	// repeat goes out at once, to another server.
	pauseLeast = 50 * time.Millisecond
	pauseMost  = 2 * time.Second
)

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	Refused Outcome = iota // it has not run
	Lost                   // no whole answer to it came in time
	Failed                 // the server's own failure, which counts against the call
	Denied                 // any other answer that is no success
)

// Call is the state of one reward call. The zero value is that of an item whose text is not whole.
type Call struct {
	asked  time.Time
	next   time.Time
	failed int // answers that count against it
	tries  int // attempts without a success that may have run
}

// Asked notes that the text is whole; a call that was asked before begins anew.
func (c *Call) Asked(now time.Time) { *c = Call{asked: now} }

// Due reports whether the next attempt may be sent.
func (c *Call) Due(now time.Time) bool { return !c.asked.IsZero() && !now.Before(c.next) }

// Tries returns the number of attempts that may have run.
func (c *Call) Tries() int { return c.tries }

// Allow returns how long the next attempt may take, given the objective and the timeout of its route (0 if unset): twice
// the objective at first, so that a slow or silent server is left for another one early, and doubled with each try.
func (c *Call) Allow(objective, timeout time.Duration) time.Duration {
	if objective <= 0 {
		objective = usualTime / 2
	}
	if timeout <= 0 {
		timeout = longestTime
	}
	const doublings = 8 // beyond any timeout
	return min(2*objective<<min(c.tries, doublings), timeout)
}

// Need returns what a server must offer to the next attempt, by the time that the call has waited.
func (c *Call) Need(now time.Time, tried map[string]bool) place.Need {
	if now.Sub(c.asked) > patience {
		return place.Need{Tried: tried}
	}
	return place.Need{Tried: tried, Room: true, Reserve: spareShare}
}

// Ended notes how an attempt ended. It returns true if the call is to be given up: most answers of its servers' own
// failure have come.
func (c *Call) Ended(o Outcome, most int, now time.Time) bool {
	if o == Refused {
		c.next = now.Add(refusedPause)
		return false
	}
	if o == Failed {
		c.failed++
	}
	c.next = now
	if c.tries > 0 {
		const doublings = 8
		c.next = now.Add(min(pauseLeast<<min(c.tries-1, doublings), pauseMost))
	}
	c.tries++
	return c.failed >= most
}

// Waiting is a call that waits to be sent.
type Waiting struct {
	Item  string
	Group string
	Index int // of the item in its job
}

// Sort puts the calls of the groups with the fewest open items first; open is the number of items of each group whose
// outcome is not known.
func Sort(l []Waiting, open map[string]int) {
	slices.SortFunc(l, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(open[a.Group], open[b.Group]), cmp.Compare(a.Index, b.Index))
	})
}
