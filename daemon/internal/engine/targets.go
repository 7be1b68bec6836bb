package engine

import (
	"sync"

	"bulrushspoke/wire"
)

// Targets keeps the highest weight target of each model.
type Targets struct {
	mu      sync.Mutex
	highest map[string]wire.Target
	changed chan struct{}
}

// NewTargets returns an empty set.
func NewTargets() *Targets {
	return &Targets{highest: make(map[string]wire.Target), changed: make(chan struct{})}
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
