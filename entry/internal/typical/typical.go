// Package typical keeps the usual value of what is measured by name: the median of the last values.
//
// # Usage
//
//	v := typical.New[time.Duration](31, 5) // of the last 31, known from the fifth on
//	v.Note("route", took)
//	usual := v.Of("route") // 0 while unknown
package typical

import (
	"cmp"
	"slices"
	"sync"
)

// namesMost bounds the names that are remembered; they are forgotten together, and learnt again from a few values.
const namesMost = 256

// Values is safe for concurrent use.
type Values[T cmp.Ordered] struct {
	kept  int
	least int

	mu    sync.Mutex
	names map[string]*series[T]
}

type series[T cmp.Ordered] struct {
	last  []T // the newest last
	usual T   // the zero value until there are enough
}

// New returns a Values that takes the last kept values of a name into account, once it has least of them.
func New[T cmp.Ordered](kept, least int) *Values[T] {
	return &Values[T]{kept: kept, least: least, names: make(map[string]*series[T])}
}

// Note takes a value.
func (v *Values[T]) Note(name string, value T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.names[name]
	if !ok {
		if len(v.names) >= namesMost {
			clear(v.names)
		}
		s = &series[T]{}
		v.names[name] = s
	}
	s.last = append(s.last, value)
	s.last = s.last[max(len(s.last)-v.kept, 0):]
	if len(s.last) >= v.least {
		sorted := slices.Sorted(slices.Values(s.last))
		s.usual = sorted[len(sorted)/2]
	}
}

// Of returns the usual value of a name, the zero value while it is unknown.
func (v *Values[T]) Of(name string) T {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, ok := v.names[name]; ok {
		return s.usual
	}
	var unknown T
	return unknown
}
