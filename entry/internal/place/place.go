// Package place chooses the server for one attempt.
//
// # Usage
//
//	t := place.New(place.Home{Domain: "a", Region: "east", Regions: regions}, rand)
//	s, ok := t.Pick(now, servers, place.Need{Model: "m", MinVersion: 6})
//	t.Began(s.ID, now)
//	t.Ended(s.ID, "m", place.Answered, took, time.Now())
//
// It answers a load in which a few of many servers are slowed or full while the rest have room: the estimated wait of a
// server is its own time per request, scaled by how full this process has made it, and a server that turned a request
// away is left alone for a moment. Work that makes events for seconds is placed by when it is expected to end (finish.go),
// from the paces that this process sees (pace.go) and from what other entries tell of the engines (foreign.go).
package place

import (
	"math"
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
	// turnedAway is how long a server that refused work for a model is passed over for that model, doubled with each
	// refusal in a row: a full queue takes a fraction of a second to drain, a change of weights a second and more.
	turnedAway     = 100 * time.Millisecond
	turnedAwayMost = 400 * time.Millisecond
	// failing is how long a server that broke a connection is passed over, doubled with each failure in a row.
	failing     = 300 * time.Millisecond
	failingMost = 3 * time.Second
	// alive is how recent the newest event of an engine must be for it to count as merely busy.
	alive = time.Second
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
	Fast       bool // only servers that are not slow
	// Rest is how many events the work is expected to make yet; 0 for work that makes none.
	Rest int
	// Within is the time within which the work may end without harm; 0 if it is to end as soon as it can.
	Within time.Duration
	// Spare is the part of a server's slots that is to stay free, for a need that asks for room.
	Spare float64
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	Answered  Outcome = iota
	Refused           // the server had no room
	Broken            // no whole answer came
	Abandoned         // this process gave it up; says nothing of the server
	Silent            // no event came in time: the server is busy, or hangs
)

// Tracker remembers how servers did.
type Tracker struct {
	home Home
	busy chan struct{} // receives when work begins at an engine

	mu     sync.Mutex
	random *rand.Rand
	state  map[string]*state
	others map[string]foreign // by entry
	looked time.Time          // when behind was determined
	behind bool               // this process takes events late
}

type state struct {
	inflight int
	engine   bool          // it has run work that makes events
	time     time.Duration // moving average of one request's time
	avoid    time.Time     // passed over until then
	failures int           // in a row
	refusals map[string]refusal
	pace     pace
	last     time.Time
}

// refusal is the newest refusal of work for a model.
type refusal struct {
	until time.Time
	count int // in a row
}

// New returns a Tracker that knows no server yet.
func New(h Home, random *rand.Rand) *Tracker {
	return &Tracker{
		home: h, busy: make(chan struct{}, 1), random: random, state: make(map[string]*state),
		others: make(map[string]foreign),
	}
}

// Pick returns the server with the least estimated wait, or for work with time to spare a slower one that is less needed.
// Servers to be passed over are taken only if no other is left, and never when the need asks for room.
func (t *Tracker) Pick(now time.Time, servers []catalog.Server, n Need) (catalog.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pick(now, servers, n)
}

func (t *Tracker) pick(now time.Time, servers []catalog.Server, n Need) (catalog.Server, bool) {
	best, second := -1, -1
	var slowest time.Duration
	if n.Fast {
		slowest = t.slowest(now)
	}
	var bestCost, secondCost float64
	for i, s := range servers {
		if !n.suits(s) || n.Room && !t.open(now, s, n) {
			continue
		}
		st := t.state[s.ID]
		if n.Fast && st != nil && st.pace.slow(slowest, now) {
			continue
		}
		cost := t.cost(now, s, n)
		if st.avoided(n.Model, now) {
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
	if n.Room && n.Within > 0 {
		best = t.spared(now, servers, n, best)
	}
	if n.Rest > 0 {
		t.at(servers[best].ID, now).engine = true
	}
	return servers[best], true
}

// open reports whether a server that suits the work may take it at once.
func (t *Tracker) open(now time.Time, s catalog.Server, n Need) bool {
	return !t.state[s.ID].avoided(n.Model, now) && t.inflight(s.ID, now) < n.slots(s)
}

// avoided reports whether a server is passed over for work for a model.
func (s *state) avoided(model string, now time.Time) bool {
	return s != nil && (now.Before(s.avoid) || now.Before(s.refusals[model].until))
}

// slots returns how many slots of a server the need may fill, one at the least.
func (n Need) slots(s catalog.Server) int {
	return max(s.Slots-int(math.Ceil(n.Spare*float64(s.Slots))), 1)
}

// suits reports whether a server may run the work at all.
func (n Need) suits(s catalog.Server) bool {
	if n.Tried[s.ID] {
		return false
	}
	if n.Model == "" {
		return true
	}
	v, ok := s.Versions[n.Model]
	return ok && v >= n.MinVersion
}

// cost estimates the wait for an answer in seconds, with a small random part that spreads equal servers.
func (t *Tracker) cost(now time.Time, s catalog.Server, n Need) float64 {
	if n.Rest > 0 {
		return t.wait(now, s, n)
	}
	st := t.state[s.ID]
	var own time.Duration
	inflight := 0
	if st != nil {
		inflight = st.inflight
	}
	switch {
	case st != nil && st.pace.known(now):
		own = st.pace.present
	case st != nil && st.pace.usual > 0:
		own = st.pace.usual
	case st != nil && st.time > 0:
		own = st.time
	default:
		own = t.typical(s.Versions != nil)
	}
	fill := float64(inflight) / float64(max(s.Slots, 1))
	c := own.Seconds() * (1 + fill + 4*max(fill-1+1/float64(max(s.Slots, 1)), 0))
	c += t.way(s).Seconds()
	const spread = 0.1 // of the estimate
	return c * (1 + spread*t.random.Float64())
}

// way is what reaching a server takes.
func (t *Tracker) way(s catalog.Server) time.Duration {
	switch {
	case t.home.Regions[s.Domain] != t.home.Region:
		return crossRegion
	case s.Domain != t.home.Domain:
		return crossDomain
	default:
		return 0
	}
}

// Began counts an attempt at a server.
func (t *Tracker) Began(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.began(id, now)
}

func (t *Tracker) began(id string, now time.Time) {
	s := t.at(id, now)
	s.inflight++
	s.last = now
	if !s.engine {
		return
	}
	select {
	case t.busy <- struct{}{}:
	default:
	}
}

// at returns the state of a server, a new one if it is unknown.
func (t *Tracker) at(id string, now time.Time) *state {
	s := t.state[id]
	if s == nil {
		t.forgetOld(now)
		s = &state{last: now}
		t.state[id] = s
	}
	return s
}

// Ended tells how an attempt for a model ended and how long it took; a time of 0 says nothing of the server's speed.
func (t *Tracker) Ended(id, model string, o Outcome, took time.Duration, now time.Time) {
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
		delete(s.refusals, model)
		if took > 0 {
			if s.time == 0 {
				s.time = took
			}
			s.time += time.Duration(smoothing * float64(took-s.time))
		}
	case Refused:
		r := s.refusals[model]
		if now.Before(r.until) {
			return // requests that were sent together count once
		}
		r.until = now.Add(min(turnedAway<<min(r.count, 8), turnedAwayMost))
		r.count++
		if s.refusals == nil {
			s.refusals = make(map[string]refusal)
		}
		s.refusals[model] = r
	case Broken:
		s.fail(now)
	case Silent:
		if now.Sub(s.pace.at) > alive {
			s.fail(now)
		}
	}
}

// fail notes a failure of a server.
func (s *state) fail(now time.Time) {
	s.failures++
	s.avoid = now.Add(min(failing<<min(s.failures-1, 8), failingMost))
}

// forgetOld drops servers that have not been used for long.
func (t *Tracker) forgetOld(now time.Time) {
	for id, s := range t.state {
		if s.inflight == 0 && now.Sub(s.last) > forget {
			delete(t.state, id)
		}
	}
}
