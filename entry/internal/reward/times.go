package reward

import (
	"sync"
	"time"

	"bulrushspoke/entry/internal/typical"
)

const (
	// timesKept is the number of successful calls from which the usual time of a route's calls is taken, and timesLeast
	// the fewest.
	timesKept  = 31
	timesLeast = 5
	// routesMost bounds the routes whose second attempts are counted.
	routesMost = 256
	// lateFactor is how many times its usual time a call may take before it is sent to another server as well.
	lateFactor = 3
	// lateLeast bounds that time from below.
	lateLeast = 50 * time.Millisecond
	// secondMost bounds the second attempts that are saved up.
	secondMost = 10
)

// SecondShare is how many second attempts each success allows: servers that are all slow get little more work by them.
const SecondShare = 0.1

// Times holds how long successful calls took, by route. It is safe for concurrent use.
type Times struct {
	took *typical.Values[time.Duration]

	mu    sync.Mutex
	spare map[string]float64 // second attempts that are allowed
}

// NewTimes returns a Times that has seen no call.
func NewTimes() *Times {
	return &Times{took: typical.New[time.Duration](timesKept, timesLeast), spare: make(map[string]float64)}
}

// Note takes the time of a successful call.
func (t *Times) Note(route string, took time.Duration) {
	t.took.Note(route, took)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.spare[route]; !ok && len(t.spare) >= routesMost {
		clear(t.spare)
	}
	t.spare[route] = min(t.spare[route]+SecondShare, secondMost)
}

// Late returns the time after which a call without an answer is to be sent to another server as well; most if the usual
// time is not known.
//
// It answers a load in which a few servers are slow or stay silent: the score of the last text decides when a step ends,
// and an attempt alone is given up much later, as the bound has to suit all servers.
func (t *Times) Late(route string, most time.Duration) time.Duration {
	usual := t.took.Of(route)
	if usual == 0 {
		return most
	}
	return min(max(lateFactor*usual, lateLeast), most)
}

// Second reports whether a call may be sent to another server as well, and counts it.
func (t *Times) Second(route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.spare[route] < 1 {
		return false
	}
	t.spare[route]--
	return true
}
