package ingress

import (
	"context"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/turn"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/fairness"
)

// waitWithoutObjective is the time within which requests of routes without a latency objective are to be answered if they
// wait for a slot.
const waitWithoutObjective = 200 * time.Millisecond

// Turns decides which requests go to the servers of a service while its slots are short.
type Turns interface {
	Admit(ctx context.Context, now time.Time, r turn.Request) turn.Verdict
	Answered(service, route string, duration time.Duration, now time.Time)
	NoRoom(service string, now time.Time)
}

// takeTurn decides whether a request may go to a server of one of the services, and waits for its turn if need be; if not, it
// returns the attempt to be reported. It returns the services with the one that the request may go to first. returned is how
// often all servers had no room for it.
//
// A request waits at the service that is most available and, if it is refused there, at the next one.
func (g *Ingress) takeTurn(ctx context.Context, q *request, services []string, returned int) ([]string, attempt, bool) {
	if !g.takesTurns(q) {
		return services, attempt{}, true
	}
	candidates := services
	if len(services) > 1 {
		candidates = nil
		for _, servers := range g.Tracker.Sort(time.Now(), g.pools(services), place.Need{}) {
			candidates = append(candidates, servers[0].Service)
		}
		if len(candidates) == 0 {
			return services, attempt{}, true // the placement refuses it
		}
	}
	var refusal attempt
	for _, service := range candidates {
		a, ok := g.takeTurnAt(ctx, q, service, returned)
		if ok {
			return catalog.StartWith(service, services), attempt{}, true
		}
		if refusal.cause == "" || a.retryAfter < refusal.retryAfter {
			refusal = a
		}
		if a.retryAfter == 0 || a.cause == causeLeaving {
			return services, a, false
		}
	}
	return services, refusal, false
}

// takeTurnAt is takeTurn for one service.
func (g *Ingress) takeTurnAt(ctx context.Context, q *request, service string, returned int) (attempt, bool) {
	now := time.Now()
	leaving := attempt{outcome: notRun, cause: causeLeaving, retryAfter: retryLeaving}
	if !g.fits(q, now) {
		return leaving, false
	}
	within, shortened := q.within(now), false
	if until := g.drainUntil.Load(); until != nil && until.Sub(now) < within {
		within, shortened = until.Sub(now), true
	}
	f, _ := g.flow(q)
	v := g.Turns.Admit(ctx, now, turn.Request{
		Service: service, Flow: f, Route: q.route.Name, Within: within, Left: q.left(now), Returned: returned,
	})
	switch {
	case v.OK:
		return attempt{}, true
	case shortened || g.drained.Err() != nil: // another entry has more time
		return leaving, false
	}
	return attempt{outcome: notRun, cause: v.Cause, retryAfter: v.RetryAfter}, false
}

// recordNoRoom records that no server of the services had room for a request.
func (g *Ingress) recordNoRoom(services []string, now time.Time) {
	if g.Turns == nil {
		return
	}
	for _, service := range services {
		g.Turns.NoRoom(service, now)
	}
}

// takesTurns reports whether a request waits for its turn. Without workspaces in the configuration, requests are placed at
// once.
func (g *Ingress) takesTurns(q *request) bool {
	_, ok := g.flow(q)
	return g.Turns != nil && ok
}

// flow returns whose share a request uses; false while the configuration has no workspaces.
func (g *Ingress) flow(q *request) (fairness.Flow, bool) {
	if q.config.Workspaces == nil {
		return fairness.Flow{}, false
	}
	return fairness.Flow{Workspace: q.workspace.Name, Level: q.config.Priority(q.workspace, q.route)}, true
}

// within returns the time left to answer a request within its objective and its deadline.
func (q *request) within(now time.Time) time.Duration {
	left := q.remaining(now)
	if q.route.Objective == 0 {
		return min(left, waitWithoutObjective)
	}
	return min(left, q.route.Objective-now.Sub(q.arrived))
}

// left returns the time left until the deadline that the client has named, or 0 if it has named none.
func (q *request) left(now time.Time) time.Duration {
	if q.Deadline == defaultDeadline {
		return 0
	}
	return max(q.Deadline-now.Sub(q.arrived), 0)
}
