package cli

import (
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/refusal"
)

const (
	// queueGrace is how long queued work may still be started after a drain begins. A leaving server must start no new
	// work after 3 s, so work still queued by then is refused and goes to another server.
	queueGrace = 2 * time.Second
	// drainPollInterval is the interval at which a drain checks the conditions it waits for.
	drainPollInterval = 20 * time.Millisecond
	// cancelTimeout bounds how long a drain waits for cancelled attempts to end once its time limit is reached.
	cancelTimeout = 5 * time.Second
	// closeDelay is the time for writing the last refusals, which are not acknowledged, before the links are closed.
	closeDelay = 250 * time.Millisecond
)

// drain announces that the daemon is leaving, finishes the accepted work and waits until entries have taken the results.
func (p *process) drain(reason string) {
	start := time.Now()
	event.DrainBegins.Log(p.logger, "reason", reason, "attempts", p.table.Active())
	p.links.Leave()
	finished := func() bool {
		if now := time.Now(); now.Sub(start) >= p.drainGrace {
			p.refuseQueued(now)
		}
		return p.table.Active() == 0
	}
	if !waitFor(p.config.Drain.Std(), finished) {
		event.DrainTimedOut.Log(p.logger, "attempts", p.table.Active())
		for _, q := range p.queues {
			q.CancelAll(time.Now(), "the daemon leaves")
		}
		waitFor(cancelTimeout, func() bool { return p.table.Active() == 0 })
	}
	waitFor(p.config.Handover.Std(), func() bool {
		results, _ := p.table.Retained()
		return results == 0
	})
	time.Sleep(closeDelay)
	results, _ := p.table.Retained()
	event.DrainEnds.Log(p.logger, "kept", results, "took", time.Since(start).String())
}

// refuseQueued refuses the work that was accepted but not started.
func (p *process) refuseQueued(now time.Time) {
	cause := refusal.New(refusal.Leaving, refusal.NotRun, "the daemon leaves")
	for _, q := range p.queues {
		q.RefuseWaiting(now, cause)
	}
}

// waitFor polls ready until it returns true, or returns false after limit.
func waitFor(limit time.Duration, ready func() bool) bool {
	end := time.Now().Add(limit)
	for !ready() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}
