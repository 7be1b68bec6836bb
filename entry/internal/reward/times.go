package reward

import (
	"slices"
	"sync"
	"time"
)

const (
	// timesKept is the number of successful calls from which the usual time of a route's calls is taken, and timesLeast
	// the fewest.
	timesKept  = 31
	timesLeast = 5
	// timesRoutes bounds the routes that are remembered.
	timesRoutes = 256
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
	mu     sync.Mutex
	routes map[string]*times
}

type times struct {
	took  []time.Duration // the newest last
	usual time.Duration   // their median, 0 until there are enough
	spare float64         // second attempts that are allowed
}

// NewTimes returns a Times that has seen no call.
func NewTimes() *Times { return &Times{routes: make(map[string]*times)} }

// Note takes the time of a successful call.
func (t *Times) Note(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.routes[route]
	if !ok {
		if len(t.routes) >= timesRoutes {
			clear(t.routes)
		}
		r = &times{}
		t.routes[route] = r
	}
	r.spare = min(r.spare+SecondShare, secondMost)
	r.took = append(r.took, took)
	r.took = r.took[max(len(r.took)-timesKept, 0):]
	if len(r.took) >= timesLeast {
		sorted := slices.Sorted(slices.Values(r.took))
		r.usual = sorted[len(sorted)/2]
	}
}

// Late returns the time after which a call without an answer is to be sent to another server as well; most if the usual
// time is not known.
//
// It answers a load in which a few servers are slow or stay silent: the score of the last text decides when a step ends,
// and an attempt alone is given up much later, as the bound has to suit all servers.
func (t *Times) Late(route string, most time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.routes[route]
	if !ok || r.usual == 0 {
		return most
	}
	return min(max(lateFactor*r.usual, lateLeast), most)
}

// Second reports whether a call may be sent to another server as well, and counts it.
func (t *Times) Second(route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.routes[route]
	if !ok || r.spare < 1 {
		return false
	}
	r.spare--
	return true
}
