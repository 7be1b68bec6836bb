package rollout

import (
	"slices"
	"time"
)

const (
	// A version is overdue once it has been the newest for overdueFactor times the longest recent interval between two
	// versions, and for minOverdue at least. Engines then load it even if it is not their turn.
	overdueFactor = 1.5
	minOverdue    = 10 * time.Second
	// maxIntervals is the number of recent intervals that are kept. One is not enough, because late trainers publish
	// versions in pairs.
	maxIntervals = 4
)

// cadence tracks how often a trainer publishes versions of a model.
//
// It detects a stalled trainer: if a step accepts only its own version, or the trainer is waiting, the next version is
// not published before a step completes that engines with the previous version cannot serve.
type cadence struct {
	number    int
	at        time.Time // when the newest version was first seen
	intervals []time.Duration
}

// observe records the newest version.
func (c *cadence) observe(number int, now time.Time) {
	if number == c.number {
		return
	}
	if c.number > 0 {
		c.intervals = append(c.intervals, now.Sub(c.at))
		c.intervals = c.intervals[max(len(c.intervals)-maxIntervals, 0):]
	}
	c.number, c.at = number, now
}

// overdue reports whether the newest version has been the newest for longer than usual.
func (c *cadence) overdue(now time.Time) bool {
	limit := minOverdue
	if len(c.intervals) > 0 {
		limit = max(limit, time.Duration(overdueFactor*float64(slices.Max(c.intervals))))
	}
	return now.Sub(c.at) > limit
}
