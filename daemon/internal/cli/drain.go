package cli

import (
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/refusal"
)

const (
	// queueGrace is how long work that waits may still be started once a drain has begun. A server that leaves must get
	// nothing new after 3 s; what waits longer is refused and goes to another server.
	queueGrace = 2 * time.Second
	// drainPoll is the time between two looks at what a drain waits for.
	drainPoll = 20 * time.Millisecond
	// stopLimit bounds the time that stopped attempts may take to end once the drain limit is reached.
	stopLimit = 5 * time.Second
	// linger leaves the last refusals, which are not acknowledged, time to be written before the links close.
	linger = 250 * time.Millisecond
)

// drain announces that the daemon leaves, finishes what it has accepted and hands over the results.
func (p *process) drain(reason string) {
	start := time.Now()
	event.DrainBegins.Log(p.logger, "reason", reason, "attempts", p.table.Active())
	p.links.Leave()
	finished := func() bool {
		if now := time.Now(); now.Sub(start) >= p.grace {
			p.refuseWaiting(now)
		}
		return p.table.Active() == 0
	}
	if !await(p.config.Drain.Std(), finished) {
		event.DrainCut.Log(p.logger, "attempts", p.table.Active())
		for _, l := range p.queues {
			l.CancelAll(time.Now(), "the daemon leaves")
		}
		await(stopLimit, func() bool { return p.table.Active() == 0 })
	}
	await(p.config.Handover.Std(), func() bool {
		results, _ := p.table.Retained()
		return results == 0
	})
	time.Sleep(linger)
	results, _ := p.table.Retained()
	event.DrainEnds.Log(p.logger, "kept", results, "took", time.Since(start).String())
}

// refuseWaiting gives back what was accepted but not started.
func (p *process) refuseWaiting(now time.Time) {
	why := refusal.New(refusal.Leaving, refusal.NotRun, "the daemon leaves")
	for _, q := range p.queues {
		q.RefuseWaiting(now, why)
	}
}

// await polls until ready returns true; it returns false after limit.
func await(limit time.Duration, ready func() bool) bool {
	end := time.Now().Add(limit)
	for !ready() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(drainPoll)
	}
	return true
}
