package engine

import (
	"sync"

	"bulrushspoke/internal/stagger"
	"bulrushspoke/wire"
)

// Targets keeps the highest weight target of each model, and the places of the servers.
type Targets struct {
	mu      sync.Mutex
	highest map[string]wire.Target
	places  map[string]stagger.Place // by server name
	changed chan struct{}
}

// NewTargets returns an empty set.
func NewTargets() *Targets {
	return &Targets{
		highest: make(map[string]wire.Target),
		places:  make(map[string]stagger.Place),
		changed: make(chan struct{}),
	}
}

// Offer takes a target over if its fencing token is higher and its version not lower than what was seen: an engine
// that ignores fencing tokens would otherwise be sent back to old weights by a late message.
func (t *Targets) Offer(n wire.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	have := t.highest[n.Model]
	if n.Fence <= have.Fence || n.Version < have.Version {
		return
	}
	t.highest[n.Model] = n
	close(t.changed)
	t.changed = make(chan struct{})
}

// Settle takes over the place of a server, which applies to the next target.
func (t *Targets) Settle(p wire.Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.places[p.Server] = stagger.Place{Rank: p.Rank, Servers: p.Servers}
}

// place returns the place of a server, zero if none was sent.
func (t *Targets) place(server string) stagger.Place {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.places[server]
}

// All returns the highest targets.
func (t *Targets) All() []wire.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []wire.Target
	for _, n := range t.highest {
		all = append(all, n)
	}
	return all
}

// of returns the target of a model and a channel that is closed at the next change.
func (t *Targets) of(model string) (wire.Target, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.highest[model], t.changed
}
