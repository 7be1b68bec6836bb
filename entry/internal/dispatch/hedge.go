package dispatch

import (
	"context"
	"slices"
	"time"

	"bulrushspoke/internal/balance"
)

// untilNextCheck returns the time until the attempts must be checked again, for the version floor, a stall or a hedge.
func (rc *race) untilNextCheck(now time.Time) time.Duration {
	d := idleCheckInterval
	if rc.job.Floor != nil {
		d = floorCheckInterval
	}
	for _, a := range rc.attempts {
		if rc.silenceCounts(a) {
			d = min(d, a.lastProgress.Add(stallTimeout).Sub(now))
		}
		d = min(d, unlinkedTimeout)
	}
	d = max(0, d)
	if !rc.hedgeable() || len(rc.attempts) == 0 {
		return d
	}
	at := rc.attempts[0].lastProgress.Add(rc.attempts[0].lateAfter())
	if len(rc.attempts) > 1 {
		at = rc.hedgedAt.Add(maxHold)
	}
	if at.Before(rc.nextHedge) {
		at = rc.nextHedge
	}
	return max(0, min(d, at.Sub(now)))
}

// silenceCounts reports whether the silence of an attempt can mean a stall. Until the first token it cannot for
// training, which waits in the daemon's queue, nor for a suspect, which waits until its server is idle: both waits are
// unbounded.
func (rc *race) silenceCounts(a *attempt) bool {
	return a.produced > 0 || (rc.work.Class == Live && !a.work.Solo)
}

// stalledAttempt returns an attempt that has made no progress for stallTimeout, or for unlinkedTimeout while its daemon
// has no link, or nil.
func (rc *race) stalledAttempt(now time.Time) *attempt {
	for _, a := range rc.attempts {
		silence := now.Sub(a.lastProgress)
		if rc.silenceCounts(a) && silence >= stallTimeout || silence >= unlinkedTimeout && !a.lease.linked(now) {
			return a
		}
	}
	return nil
}

func (rc *race) hedgeable() bool {
	return rc.job.Hedge && rc.work.Class == Live && !rc.probe && (rc.hedges < maxHedges || len(rc.attempts) > 1)
}

// checkLate hedges a late attempt. If a hedge already runs, it commits to a slow primary whose tokens have been held
// back for maxHold.
func (rc *race) checkLate(ctx context.Context, now time.Time) {
	if !rc.hedgeable() || len(rc.attempts) == 0 {
		return
	}
	a := rc.attempts[0]
	late := a.lateAfter()
	if len(rc.attempts) > 1 {
		if rc.primarySlow && len(a.buffered) > 0 && now.Sub(rc.hedgedAt) >= maxHold {
			rc.commit(a)
		}
		rc.nextHedge = now.Add(late)
		return
	}
	if now.Sub(a.lastProgress) >= late {
		// After a pause in mid-stream, one more token does not show that the stream is fast again, so the primary then
		// counts as slow.
		rc.startHedge(ctx, now, a, a.produced > 0)
	}
}

// hedgeSlow hedges a stream that makes progress, but much more slowly than usual for its model.
func (rc *race) hedgeSlow(ctx context.Context, now time.Time) {
	if len(rc.attempts) != 1 || !rc.hedgeable() || now.Before(rc.nextHedge) {
		return
	}
	a := rc.attempts[0]
	if a.produced >= speedWindowTokens && rc.expectedTokens() > speedWindowTokens && a.lease.slow(a.secondsPerToken) {
		rc.startHedge(ctx, now, a, true)
	}
}

// startHedge starts a second attempt beside a if there is a server and budget for it. If slow is set, tokens of a are
// held back for maxHold.
func (rc *race) startHedge(ctx context.Context, now time.Time, a *attempt, slow bool) {
	rc.nextHedge = now.Add(a.lateAfter())
	w := rc.nextWork(now)
	l, verdict := rc.d.acquire(now, &w, rc.expectedTokens(), append(slices.Clone(rc.excluded), a.work.Server), false)
	if verdict != balance.Found {
		return
	}
	if !rc.d.allowHedge(rc.work.Workspace) {
		l.release(now)
		return
	}
	rc.hedges++
	rc.hedgedAt, rc.primarySlow = now, slow
	rc.launch(ctx, l)
}
