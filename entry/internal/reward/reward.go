// Package reward schedules the reward calls of a job: when each is sent, how long an attempt may take and when a call
// is given up.
//
// # Usage
//
//	var c reward.Call
//	c.Ready(now) // the text is complete
//	if c.Due(now) { … send with a timeout of c.AttemptTimeout(objective, timeout) … }
//	c.Ended(reward.Failed, time.Now())
//	if c.Exhausted(attempts) { … give the item up … }
//
// The texts of a step are completed in bursts, and their calls share plain servers with live requests. Calls therefore
// leave a part of each server's slots to live requests until they have waited for some time, and the calls of groups
// with the fewest open items go first, since a trainer uses complete groups only.
package reward

import (
	"cmp"
	"slices"
	"time"

	"bulrushspoke/entry/internal/place"
)

const (
	// defaultAttemptTime is the time for the first attempt on routes that set no objective.
	defaultAttemptTime = time.Second
	// defaultMaxAttemptTime limits the time for an attempt on routes that set no timeout.
	defaultMaxAttemptTime = 10 * time.Second
	// yieldTime is how long a call leaves slots to live requests before it competes with them.
	yieldTime = 2 * time.Second
	// reservedShare is the fraction of a server's slots that calls leave to live requests.
	reservedShare = 1.0 / 3
	// overdueShare is the fraction of a server's slots up to which overdue calls may queue there beyond the slots.
	overdueShare = 1.0
	// minRefusalDelay is the delay of the next attempt after a refusal. The queue of a plain server drains in less. It
	// doubles with each consecutive refusal up to maxRefusalDelay.
	minRefusalDelay = 50 * time.Millisecond
	maxRefusalDelay = 800 * time.Millisecond
	// minRetryDelay is the delay before the next attempt after one that failed or was lost; it doubles with each further
	// one up to maxRetryDelay. The first retry has no delay, as it goes to another server.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of attempts.
const (
	Refused  Outcome = iota // not executed
	Lost                    // no complete answer arrived in time
	Failed                  // the server reported its own failure, which counts towards the limit of the call
	Rejected                // any other unsuccessful answer
)

// Call is the state of one reward call. The zero value is a call whose text is not complete.
type Call struct {
	readyAt     time.Time
	nextAttempt time.Time
	failures    int // answers that count towards the limit of the call
	attempts    int // unsuccessful attempts that may have been executed
	refusals    int // consecutive
}

// Ready records that the text is complete. A call that was asked before starts anew.
func (c *Call) Ready(now time.Time) { *c = Call{readyAt: now} }

// Due reports whether the next attempt may be sent.
func (c *Call) Due(now time.Time) bool { return !c.readyAt.IsZero() && !now.Before(c.nextAttempt) }

// Attempts returns the number of unsuccessful attempts that may have been executed.
func (c *Call) Attempts() int { return c.attempts }

// AttemptTimeout returns how long the next attempt may take, given the objective and the timeout of its route (0 if unset). It
// is twice the objective at first, so that a slow or silent server is soon left for another one, and doubles with each
// attempt.
func (c *Call) AttemptTimeout(objective, timeout time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultAttemptTime / 2
	}
	if timeout <= 0 {
		timeout = defaultMaxAttemptTime
	}
	const doublings = 8 // enough to exceed any timeout
	return min(2*objective<<min(c.attempts, doublings), timeout)
}

// Need returns what the next attempt requires of a server, which depends on how long the call has waited.
func (c *Call) Need(now time.Time, tried map[string]bool) place.Need {
	if now.Sub(c.readyAt) > yieldTime {
		return place.Need{Tried: tried, RequireSlot: true, Reserve: -overdueShare, Overdue: true}
	}
	return place.Need{Tried: tried, RequireSlot: true, Reserve: reservedShare}
}

// Ended records how an attempt ended.
func (c *Call) Ended(o Outcome, now time.Time) {
	const doublings = 8
	if o == Refused {
		c.nextAttempt = now.Add(min(minRefusalDelay<<min(c.refusals, doublings), maxRefusalDelay))
		c.refusals++
		return
	}
	c.refusals = 0
	if o == Failed {
		c.failures++
	}
	c.nextAttempt = now
	if c.attempts > 0 {
		c.nextAttempt = now.Add(min(minRetryDelay<<min(c.attempts-1, doublings), maxRetryDelay))
	}
	c.attempts++
}

// Exhausted reports whether the call must be given up, which is after maxFailures failures reported by servers.
func (c *Call) Exhausted(maxFailures int) bool { return c.failures > 0 && c.failures >= maxFailures }

// PendingCall is a call that waits to be sent.
type PendingCall struct {
	Item  string
	Group string
	Index int // position of the item in its job
}

// Sort orders calls by the number of open items in their group, fewest first, then by index. An item is open while its
// outcome is unknown; open holds their number by group.
func Sort(l []PendingCall, open map[string]int) {
	slices.SortFunc(l, func(a, b PendingCall) int {
		return cmp.Or(cmp.Compare(open[a.Group], open[b.Group]), cmp.Compare(a.Index, b.Index))
	})
}
