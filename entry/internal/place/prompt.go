package place

import (
	"time"

	"bulrushspoke/entry/internal/prefill"
	"bulrushspoke/internal/catalog"
)

// promptCost returns what the prompt of a request adds to the cost of a server: 0 if its size is unknown.
func (t *Tracker) promptCost(s catalog.Server, n Need, now time.Time) time.Duration {
	if n.Ticket == nil {
		return 0
	}
	return t.prompts.Cost(n.Ticket, t.promptServer(s, now), now)
}

// promptServer returns what is known of the load of an engine beside its prompts.
func (t *Tracker) promptServer(s catalog.Server, now time.Time) prefill.Server {
	c := t.countRequests(s.ID, now)
	return prefill.Server{ID: s.ID, Service: s.Service, Slots: s.Slots, Requests: c.requests, Waiting: c.waiting}
}

// promptReportThreshold is the time to process a prompt from which other entries are told at once that it waits. It is about half of
// the time between two events of an engine; shorter ones delay nobody that much.
const promptReportThreshold = 20 * time.Millisecond

// startPrompt records that a prompt has been sent to a server. The caller counts the request afterwards.
func (t *Tracker) startPrompt(s catalog.Server, n Need, now time.Time) {
	if n.Ticket == nil {
		return
	}
	if t.prompts.Start(n.Ticket, t.promptServer(s, now), now) >= promptReportThreshold {
		t.signalWork()
	}
}

// FirstEvent records that a server has processed the prompt of a request. Further calls, and those without a ticket, have no
// effect.
func (t *Tracker) FirstEvent(k *prefill.Ticket, now time.Time) {
	if k == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prompts.FirstEvent(k, now)
}

// Release records that a request with a ticket has ended, and whether it was completed. It may be repeated.
func (t *Tracker) Release(k *prefill.Ticket, complete bool, now time.Time) {
	if k == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prompts.End(k, complete, now)
}

// TokenTime returns the time that the servers of a service are assumed to take for a prompt token.
func (t *Tracker) TokenTime(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prompts.TokenTime(service)
}

// WaitingTokens returns the prompt tokens of this process that wait at all servers.
func (t *Tracker) WaitingTokens() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prompts.Total()
}
