package batch

import (
	"slices"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/catalog"
)

// serviceOrder is the order in which an attempt looks for a server at the services of a route. The zero value has none.
type serviceOrder struct {
	route    *catalog.Route
	services []string
}

// of returns the services of a route in an order drawn by weight, which stays the same until the configuration changes. Work that
// waits looks at each slot that frees, so a new draw at each look would give most slots to the first service that frees one.
func (o *serviceOrder) of(route *catalog.Route, random func(int) int) []string {
	if o.route != route {
		o.route, o.services = route, route.Order(random)
	}
	return o.services
}

// textServices returns the services of the route in the order in which an item looks for a server there. The first one is that
// of the server that is to confirm the end of its text, if any.
func (j *Job) textServices(it *item, route *catalog.Route) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := it.textOrder.of(route, j.manager.Random.IntN)
	if it.ending.asked {
		return l
	}
	return catalog.StartWith(it.ending.server.Service, l)
}

// callServices returns the services of the route in the order in which the reward call of an item looks for a server there.
func (j *Job) callServices(it *item, route *catalog.Route) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return it.callOrder.of(route, j.manager.Random.IntN)
}

// servedServices returns the services of the route that have servers, or all if none has.
func (j *Job) servedServices(route *catalog.Route) []string {
	all := route.Services()
	served := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return len(j.manager.Catalog.Servers(name)) == 0 })
	if len(served) == 0 {
		return all
	}
	return served
}

// pools returns the servers of services.
func (j *Job) pools(services []string) place.Pools {
	p := make(place.Pools, 0, len(services))
	for _, name := range services {
		p = append(p, j.manager.Catalog.Servers(name))
	}
	return p
}
