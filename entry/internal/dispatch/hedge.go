package dispatch

import (
	"context"
	"slices"
	"time"

	"bulrushspoke/internal/balance"
)

// until returns the time until something is to be checked.
func (c *race) until(now time.Time) time.Duration {
	d := idleTimer
	if c.job.Floor != nil {
		d = floorEvery
	}
	for _, t := range c.tries {
		if c.stalls(t) {
			d = min(d, t.last.Add(stallAfter).Sub(now))
		}
		d = min(d, unlinkedAfter)
	}
	d = max(0, d)
	if !c.hedgeable() || len(c.tries) == 0 {
		return d
	}
	at := c.tries[0].last.Add(c.tries[0].late())
	if len(c.tries) > 1 {
		at = c.hedged.Add(holdFor)
	}
	if at.Before(c.check) {
		at = c.check
	}
	return max(0, min(d, at.Sub(now)))
}

// stalls reports whether silence of an attempt counts. Training that has not begun waits in a queue, and a suspect until
// its server is empty, as long as it takes.
func (c *race) stalls(t *try) bool {
	return t.produced > 0 || (c.work.Class == Live && !t.work.Solo)
}

// stalled returns an attempt that has made no progress for too long or whose daemon is gone, or nil.
func (c *race) stalled(now time.Time) *try {
	for _, t := range c.tries {
		quiet := now.Sub(t.last)
		if c.stalls(t) && quiet >= stallAfter || quiet >= unlinkedAfter && !t.lease.linked(now) {
			return t
		}
	}
	return nil
}

func (c *race) hedgeable() bool {
	return c.job.Hedge && c.work.Class == Live && !c.trial && (c.hedges < maxHedges || len(c.tries) > 1)
}

// watch starts a hedge for a late attempt, and ends a race that takes too long.
func (c *race) watch(ctx context.Context, now time.Time) {
	if !c.hedgeable() || len(c.tries) == 0 {
		return
	}
	t := c.tries[0]
	late := t.late()
	if len(c.tries) > 1 {
		if c.slow && len(t.tokens) > 0 && now.Sub(c.hedged) >= holdFor {
			c.win(t)
		}
		c.check = now.Add(late)
		return
	}
	if now.Sub(t.last) >= late {
		// The next token of a stream that has begun does not show that it is fast again.
		c.hedge(ctx, now, t, t.produced > 0)
	}
}

// hedgeLate starts a hedge for a stream that progresses, but much slower than is usual for the model.
func (c *race) hedgeLate(ctx context.Context, now time.Time) {
	if len(c.tries) != 1 || !c.hedgeable() || now.Before(c.check) {
		return
	}
	t := c.tries[0]
	if t.produced >= slowTokens && c.owed() > slowTokens && t.lease.slow(t.pace) {
		c.hedge(ctx, now, t, true)
	}
}

// hedge starts a second attempt beside t if there is a server and a budget for it.
func (c *race) hedge(ctx context.Context, now time.Time, t *try, slow bool) {
	c.check = now.Add(t.late())
	w := c.next(now)
	l, verdict := c.d.place(now, &w, c.owed(), append(slices.Clone(c.except), t.work.Server), false)
	if verdict != balance.Found {
		return
	}
	if !c.d.hedge(c.work.Workspace) {
		l.end(now)
		return
	}
	c.hedges++
	c.hedged, c.slow = now, slow
	c.launch(ctx, l)
}
