package engine

import (
	"sync"

	"bulrushspoke/internal/stagger"
	"bulrushspoke/wire"
)

// Targets stores the newest weight target of each model, and the positions of the servers in the order of loading.
type Targets struct {
	mu      sync.Mutex
	highest map[string]wire.Target
	places  map[string]stagger.Position // by server name
	changed chan struct{}
}

// NewTargets returns an empty Targets.
func NewTargets() *Targets {
	return &Targets{
		highest: make(map[string]wire.Target),
		places:  make(map[string]stagger.Position),
		changed: make(chan struct{}),
	}
}

// Offer stores a target if its fencing token is higher and its version not lower than those of the stored one. Otherwise a
// delayed message would make an engine that ignores fencing tokens load old weights.
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

// SetPlace stores the position of a server, which applies from the next target on.
func (t *Targets) SetPlace(p wire.Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.places[p.Server] = stagger.Position{Rank: p.Rank, Servers: p.Servers}
}

// place returns the position of a server, or the zero value if none was received.
func (t *Targets) place(server string) stagger.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.places[server]
}

// All returns the newest target of each model.
func (t *Targets) All() []wire.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []wire.Target
	for _, n := range t.highest {
		all = append(all, n)
	}
	return all
}

// get returns the target of a model and a channel that is closed at the next change of any target.
func (t *Targets) get(model string) (wire.Target, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.highest[model], t.changed
}
