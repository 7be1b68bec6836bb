package reward

import (
	"sync"
	"time"

	"bulrushspoke/entry/internal/medians"
)

const (
	// timesWindow is the number of the latest successful calls of a route whose median time is used, and minTimes the
	// number required for it.
	timesWindow = 31
	minTimes    = 5
	// maxRoutes limits the number of routes for which hedge budgets are kept.
	maxRoutes = 256
	// hedgeDelayFactor times the median time of its route is how long a call may take before a hedge is sent to another
	// server.
	hedgeDelayFactor = 3
	// minHedgeDelay is the lower limit of that time.
	minHedgeDelay = 50 * time.Millisecond
	// maxHedgeBudget limits the hedges that a route may accumulate.
	maxHedgeBudget = 10
)

// HedgeRatio is how many hedges each success adds to the budget of its route. It limits the load that hedges add
// while all servers are slow.
const HedgeRatio = 0.1

// HedgePolicy holds the durations of successful calls and the hedge budgets, by route. It is safe for concurrent use.
type HedgePolicy struct {
	took *medians.Values[time.Duration]

	mu          sync.Mutex
	hedgeBudget map[string]float64 // hedges that are allowed
}

// NewHedgePolicy returns a HedgePolicy without any call.
func NewHedgePolicy() *HedgePolicy {
	return &HedgePolicy{took: medians.New[time.Duration](timesWindow, minTimes), hedgeBudget: make(map[string]float64)}
}

// Observe records the duration of a successful call.
func (t *HedgePolicy) Observe(route string, took time.Duration) {
	t.took.Add(route, took)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.hedgeBudget[route]; !ok && len(t.hedgeBudget) >= maxRoutes {
		clear(t.hedgeBudget)
	}
	t.hedgeBudget[route] = min(t.hedgeBudget[route]+HedgeRatio, maxHedgeBudget)
}

// HedgeDelay returns the time after which a call without an answer is hedged, at most the limit. It returns the limit if the
// median time is unknown.
//
// The score of the last text decides when a step ends, and a few servers may be slow or silent. The timeout of an
// attempt alone helps much later, as it has to suit all servers.
func (t *HedgePolicy) HedgeDelay(route string, limit time.Duration) time.Duration {
	median := t.took.Median(route)
	if median == 0 {
		return limit
	}
	return min(max(hedgeDelayFactor*median, minHedgeDelay), limit)
}

// TakeHedge reports whether a call may be hedged, and takes the hedge from the budget.
func (t *HedgePolicy) TakeHedge(route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hedgeBudget[route] < 1 {
		return false
	}
	t.hedgeBudget[route]--
	return true
}
