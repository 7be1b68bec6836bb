// Package medians keeps the median of the latest values recorded under each name.
//
// # Usage
//
//	v := medians.New[time.Duration](31, 5) // of the last 31 values, once there are 5
//	v.Add("route", took)
//	median := v.Median("route") // 0 while unknown
package medians

import (
	"cmp"
	"slices"
	"sync"
)

// maxNames limits the number of names. All are dropped together at the limit, and learned again from a few values.
const maxNames = 256

// Values holds the medians by name. It is safe for concurrent use.
type Values[T cmp.Ordered] struct {
	window   int
	minCount int

	mu     sync.Mutex
	byName map[string]*series[T]
}

type series[T cmp.Ordered] struct {
	values []T // oldest first
	median T   // zero value until there are enough values
}

// New returns a Values that takes the median of the last window values of a name, once there are minCount of them.
func New[T cmp.Ordered](window, minCount int) *Values[T] {
	return &Values[T]{window: window, minCount: minCount, byName: make(map[string]*series[T])}
}

// Add records a value.
func (v *Values[T]) Add(name string, value T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.byName[name]
	if !ok {
		if len(v.byName) >= maxNames {
			clear(v.byName)
		}
		s = &series[T]{}
		v.byName[name] = s
	}
	s.values = append(s.values, value)
	s.values = s.values[max(len(s.values)-v.window, 0):]
	if len(s.values) >= v.minCount {
		sorted := slices.Sorted(slices.Values(s.values))
		s.median = sorted[len(sorted)/2]
	}
}

// Median returns the median of a name, the zero value while it is unknown.
func (v *Values[T]) Median(name string) T {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, ok := v.byName[name]; ok {
		return s.median
	}
	var unknown T
	return unknown
}
