// Package place chooses the server for one attempt.
//
// # Usage
//
//	t := place.New(place.Home{Domain: "a", Region: "east", Regions: regions}, rand)
//	s, ok := t.Pick(now, servers, place.Need{Model: "m", MinVersion: 6})
//	t.Began(s.ID)
//	defer t.Ended(s.ID, place.Outcome{…}, now)
//
// It answers a load in which a few of many servers are slowed or full while the rest have room: the estimated wait of a
// server is its own time per request, scaled by how full this process has made it, and a server that turned a request
// away is left alone for a moment.
package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"bulrushspoke/internal/catalog"
)

const (
	// smoothing is the weight of the newest sample in the moving average of a server's time per request.
	smoothing = 0.2
	// firstTime is assumed of a server that has not answered yet.
	firstTime = 30 * time.Millisecond
	// crossDomain and crossRegion are added for a server farther away; they stand for the transfer and its price.
	crossDomain = 2 * time.Millisecond
	crossRegion = 60 * time.Millisecond
	// turnedAway is how long a server that refused for lack of room is passed over.
	turnedAway = 150 * time.Millisecond
	// failing is how long a server that broke a connection is passed over, doubled with each failure in a row.
	failing     = 300 * time.Millisecond
	failingMost = 3 * time.Second
	// forget is how long an unused server is remembered.
	forget = time.Minute
)

// Home is where this process runs.
type Home struct {
	Domain  string
	Region  string
	Regions map[string]string // region of each failure domain
}

// Need is what a server must offer.
type Need struct {
	Model      string // empty for a plain service
	MinVersion int    // oldest weight version allowed
	Tried      map[string]bool
	Room       bool // only servers with a free slot as far as this process knows
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	Answered  Outcome = iota
	Refused           // the server had no room
	Broken            // no whole answer came
	Abandoned         // this process gave it up; says nothing of the server
)

// Tracker remembers how servers did.
type Tracker struct {
	home Home

	mu     sync.Mutex
	random *rand.Rand
	state  map[string]*state
}

type state struct {
	inflight int
	time     time.Duration // moving average of one request's time
	avoid    time.Time     // passed over until then
	failures int           // in a row
	last     time.Time
}

// New returns a Tracker that knows no server yet.
func New(h Home, random *rand.Rand) *Tracker {
	return &Tracker{home: h, random: random, state: make(map[string]*state)}
}

// Pick returns the server with the least estimated wait. Servers to be passed over are taken only if no other is left,
// and never when the need asks for room.
func (t *Tracker) Pick(now time.Time, servers []catalog.Server, n Need) (catalog.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, second := -1, -1
	var bestCost, secondCost float64
	for i, s := range servers {
		if n.Tried[s.ID] || !fits(s, n) {
			continue
		}
		st := t.state[s.ID]
		avoided := st != nil && now.Before(st.avoid)
		if n.Room && (avoided || st != nil && st.inflight >= s.Slots) {
			continue
		}
		cost := t.cost(s, st)
		if avoided {
			if second < 0 || cost < secondCost {
				second, secondCost = i, cost
			}
			continue
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		best = second
	}
	if best < 0 {
		return catalog.Server{}, false
	}
	return servers[best], true
}

// fits reports whether a server may run the work at all.
func fits(s catalog.Server, n Need) bool {
	if n.Model == "" {
		return true
	}
	v, ok := s.Versions[n.Model]
	return ok && v >= n.MinVersion
}

// cost estimates the wait for an answer in seconds, with a small random part that spreads equal servers.
func (t *Tracker) cost(s catalog.Server, st *state) float64 {
	own, inflight := firstTime, 0
	if st != nil {
		inflight = st.inflight
		if st.time > 0 {
			own = st.time
		}
	}
	fill := float64(inflight) / float64(max(s.Slots, 1))
	c := own.Seconds() * (1 + fill + 4*max(fill-1+1/float64(max(s.Slots, 1)), 0))
	switch {
	case t.home.Regions[s.Domain] != t.home.Region:
		c += crossRegion.Seconds()
	case s.Domain != t.home.Domain:
		c += crossDomain.Seconds()
	}
	const spread = 0.1 // of the estimate
	return c * (1 + spread*t.random.Float64())
}

// Began counts an attempt at a server.
func (t *Tracker) Began(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state[id]
	if s == nil {
		t.forgetOld(now)
		s = &state{}
		t.state[id] = s
	}
	s.inflight++
	s.last = now
}

// Ended tells how an attempt ended and how long it took; a time of 0 says nothing of the server's speed.
func (t *Tracker) Ended(id string, o Outcome, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state[id]
	if s == nil {
		return
	}
	s.inflight--
	switch o {
	case Answered:
		s.failures = 0
		s.avoid = time.Time{}
		if took > 0 {
			if s.time == 0 {
				s.time = took
			}
			s.time += time.Duration(smoothing * float64(took-s.time))
		}
	case Refused:
		s.avoid = now.Add(turnedAway)
	case Broken:
		s.failures++
		s.avoid = now.Add(min(failing<<min(s.failures-1, 8), failingMost))
	}
}

// Inflight returns the attempts in progress at a server.
func (t *Tracker) Inflight(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.state[id]; s != nil {
		return s.inflight
	}
	return 0
}

// forgetOld drops servers that have not been used for long.
func (t *Tracker) forgetOld(now time.Time) {
	for id, s := range t.state {
		if s.inflight == 0 && now.Sub(s.last) > forget {
			delete(t.state, id)
		}
	}
}
