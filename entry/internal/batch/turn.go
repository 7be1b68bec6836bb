package batch

import (
	"context"
	"slices"
	"time"

	"bulrushspoke/entry/internal/turn"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/fairness"
)

// Turns decides which job starts an item when a server has room.
type Turns interface {
	StartItems(now time.Time, job any, o turn.Offer) int
	Withdraw(now time.Time, service string, job any)
	ItemEnded(service string, f fairness.Flow)
}

// flow returns whose share the items of a job use; false while the configuration has no workspaces.
func (j *Job) flow(route *catalog.Route) (fairness.Flow, bool) {
	c := j.manager.Catalog.Config()
	if c == nil || c.Workspaces == nil {
		return fairness.Flow{}, false
	}
	return fairness.Flow{Workspace: j.workspace.Name, Level: c.Priority(j.workspace, route)}, true
}

// offerTexts offers the items that wait for a server, has those started whose turn it is, and returns how many still wait.
func (j *Job) offerTexts(
	ctx context.Context, now time.Time, texts []*item, route *catalog.Route, f fairness.Flow,
) int {
	services := route.Services()
	j.mu.Lock()
	former := j.offeredTo
	j.offeredTo = services
	j.mu.Unlock()
	for _, service := range former {
		if !slices.Contains(services, service) {
			j.manager.Turns.Withdraw(now, service, j)
		}
	}
	picked := make(map[string][]*item, len(services))
	for _, it := range texts {
		service := j.pickService(it, route, now)
		picked[service] = append(picked[service], it)
	}
	waiting := 0
	for _, service := range services {
		waiting += j.offer(ctx, now, service, picked[service], route, f)
	}
	return waiting
}

// offer offers items that wait for a server of a service, in place of those offered for it before.
func (j *Job) offer(
	ctx context.Context, now time.Time, service string, open []*item, route *catalog.Route, f fairness.Flow,
) int {
	return j.manager.Turns.StartItems(now, j, turn.Offer{
		Service: service, Flow: f, Waiting: len(open),
		Start: func(now time.Time) bool {
			if ctx.Err() != nil || !j.stateCurrent(now) {
				return false
			}
			open = slices.DeleteFunc(open, j.startedOrDone)
			for _, it := range open {
				if j.startText(ctx, now, it, service, route, func() { j.manager.Turns.ItemEnded(service, f) }) {
					return true
				}
			}
			return false
		},
	})
}

// startedOrDone reports whether the text of an item needs no server any more. Another goroutine may have started it since
// the item was offered.
func (j *Job) startedOrDone(it *item) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return it.running || it.textDone || it.done
}

// withdrawOffers removes the offers of a job that runs no more items.
func (j *Job) withdrawOffers() {
	j.mu.Lock()
	services := j.offeredTo
	j.mu.Unlock()
	for _, service := range services {
		j.manager.Turns.Withdraw(time.Now(), service, j)
	}
}
