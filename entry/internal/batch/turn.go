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

// offerTexts offers the items that wait for a server, has those started whose turn it is, and returns how many still wait. On
// a split route an item is offered to the service that comes first for it, and to all services if it finds no server there.
func (j *Job) offerTexts(
	ctx context.Context, now time.Time, texts []*item, route *catalog.Route, f fairness.Flow,
) int {
	services := j.servedServices(route)
	j.mu.Lock()
	former := j.offeredTo
	j.offeredTo = services
	j.mu.Unlock()
	for _, service := range former {
		if !slices.Contains(services, service) {
			j.manager.Turns.Withdraw(now, service, j)
		}
	}
	if len(services) == 1 {
		return j.offer(ctx, now, services[0], texts, route, f)
	}
	first := make(map[string][]*item, len(services))
	for _, it := range texts {
		order := j.textServices(it, route)
		i := slices.IndexFunc(order, func(name string) bool { return slices.Contains(services, name) })
		first[order[i]] = append(first[order[i]], it)
	}
	for _, service := range services {
		j.offer(ctx, now, service, first[service], route, f)
	}
	// What still waits takes any slot that frees. Each service gets its own copy, since it removes what has started.
	left := slices.DeleteFunc(slices.Clone(texts), j.startedOrDone)
	for _, service := range services {
		j.offer(ctx, now, service, slices.Clone(left), route, f)
	}
	return len(slices.DeleteFunc(left, j.startedOrDone))
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
				if j.startText(ctx, now, it, []string{service}, route, func() { j.manager.Turns.ItemEnded(service, f) }) {
					return true
				}
			}
			return false
		},
	})
}

// startedOrDone reports whether the text of an item needs no server any more. Another goroutine may have started it since
// the item was offered. An item that is claimed may find no server, and waits on then.
func (j *Job) startedOrDone(it *item) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return it.running && !it.claimed || it.textDone || it.done
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
