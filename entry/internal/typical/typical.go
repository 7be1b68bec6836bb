// Package typical keeps the usual value of durations by name: the median of the last ones.
//
// # Usage
//
//	d := typical.New(31, 5) // of the last 31, known from the fifth on
//	d.Note("route", took)
//	usual := d.Of("route") // 0 while unknown
package typical

import (
	"slices"
	"sync"
	"time"
)

// namesMost bounds the names that are remembered; they are forgotten together, and learnt again from a few values.
const namesMost = 256

// Durations is safe for concurrent use.
type Durations struct {
	kept  int
	least int

	mu    sync.Mutex
	names map[string]*series
}

type series struct {
	last  []time.Duration // the newest last
	usual time.Duration   // 0 until there are enough
}

// New returns a Durations that takes the last kept values of a name into account, once it has least of them.
func New(kept, least int) *Durations {
	return &Durations{kept: kept, least: least, names: make(map[string]*series)}
}

// Note takes a value.
func (d *Durations) Note(name string, value time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.names[name]
	if !ok {
		if len(d.names) >= namesMost {
			clear(d.names)
		}
		s = &series{}
		d.names[name] = s
	}
	s.last = append(s.last, value)
	s.last = s.last[max(len(s.last)-d.kept, 0):]
	if len(s.last) >= d.least {
		sorted := slices.Sorted(slices.Values(s.last))
		s.usual = sorted[len(sorted)/2]
	}
}

// Of returns the usual value of a name, 0 while it is unknown.
func (d *Durations) Of(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.names[name]; ok {
		return s.usual
	}
	return 0
}
