package rollout

import (
	"slices"
	"time"
)

const (
	// overdueFactor times the longest of the newest pauses between two versions is how long a version stays the newest
	// before engines load it whose turn it is not, within overdueLeast.
	overdueFactor = 1.5
	overdueLeast  = 10 * time.Second
	// pausesKept is how many pauses count: trainers that are late name versions in pairs.
	pausesKept = 4
)

// cadence tells how often a trainer names versions of a model.
//
// It answers a load in which a step allows its own version only, or a trainer waits: the version after the present one
// is not named before a step has been made that engines with the version before cannot make.
type cadence struct {
	number int
	at     time.Time // when the newest version was first seen
	pauses []time.Duration
}

// named notes the newest version.
func (c *cadence) named(number int, now time.Time) {
	if number == c.number {
		return
	}
	if c.number > 0 {
		c.pauses = append(c.pauses, now.Sub(c.at))
		c.pauses = c.pauses[max(len(c.pauses)-pausesKept, 0):]
	}
	c.number, c.at = number, now
}

// overdue reports whether the newest version has been so for longer than usual.
func (c *cadence) overdue(now time.Time) bool {
	limit := overdueLeast
	if len(c.pauses) > 0 {
		limit = max(limit, time.Duration(overdueFactor*float64(slices.Max(c.pauses))))
	}
	return now.Sub(c.at) > limit
}
