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
// away is left alone for a moment.
package place

import (
	"math"
	"math/rand/v2"
	"slices"
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
	// paceTime is how long the present pace of a server is believed without a new event.
	paceTime = 3 * time.Second
	// paceSpan is the time over which the present pace is averaged; unseen neighbours slow a server for about as long,
	// which is no reason to leave it.
	paceSpan = 800 * time.Millisecond
	// usualSpan is the time over which the usual pace is averaged: servers differ for good.
	usualSpan = 10 * time.Second
	// paceLeast is how many servers must have a pace before one counts as slow.
	paceLeast = 3
	// slowFactor is how many times slower than the median a slow server is.
	slowFactor = 1.4
	// alive is how recent the newest event of an engine must be for it to count as merely busy.
	alive = time.Second
	// silentFactor times the median pace is how long an engine may make no event before others with room are preferred,
	// within silentLeast and the caller's own bound.
	silentFactor = 12
	silentLeast  = 600 * time.Millisecond
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

	mu     sync.Mutex
	random *rand.Rand
	state  map[string]*state
}

type state struct {
	inflight int
	time     time.Duration // moving average of one request's time
	avoid    time.Time     // passed over until then
	failures int           // in a row
	refusals map[string]refusal
	pace     time.Duration // present time between two events of a stream; 0 if none was seen
	usual    time.Duration // the same over a longer time
	paced    time.Time     // when they were last updated
	last     time.Time
}

// refusal is the newest refusal of work for a model.
type refusal struct {
	until time.Time
	count int // in a row
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
	var slowest time.Duration
	if n.Fast {
		slowest = t.slowest(now)
	}
	var bestCost, secondCost float64
	for i, s := range servers {
		if n.Tried[s.ID] || !fits(s, n) {
			continue
		}
		st := t.state[s.ID]
		avoided := st != nil && (now.Before(st.avoid) || now.Before(st.refusals[n.Model].until))
		if n.Room && (avoided || st != nil && st.inflight >= n.slots(s)) {
			continue
		}
		if n.Fast && st != nil && st.slow(slowest, now) {
			continue
		}
		cost := t.cost(now, s, st)
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

// slots returns how many slots of a server the need may fill, one at the least.
func (n Need) slots(s catalog.Server) int {
	return max(s.Slots-int(math.Ceil(n.Spare*float64(s.Slots))), 1)
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
func (t *Tracker) cost(now time.Time, s catalog.Server, st *state) float64 {
	var own time.Duration
	inflight := 0
	if st != nil {
		inflight = st.inflight
	}
	switch {
	case st != nil && st.pace > 0 && now.Sub(st.paced) < paceTime:
		own = st.pace
	case st != nil && st.usual > 0:
		own = st.usual
	case st != nil && st.time > 0:
		own = st.time
	default:
		own = t.typical(s)
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

// typical is the time assumed of a server that has not answered yet: the mean of the usual paces of the others if it is
// an engine.
func (t *Tracker) typical(s catalog.Server) time.Duration {
	if s.Versions == nil {
		return firstTime
	}
	var sum time.Duration
	n := 0
	for _, o := range t.state {
		if o.usual > 0 {
			sum += o.usual
			n++
		}
	}
	if n == 0 {
		return firstTime
	}
	return sum / time.Duration(n)
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
		if now.Sub(s.paced) > alive {
			s.fail(now)
		}
	}
}

// fail notes a failure of a server.
func (s *state) fail(now time.Time) {
	s.failures++
	s.avoid = now.Add(min(failing<<min(s.failures-1, 8), failingMost))
}

// Paced tells the time between two events that a server made for one stream.
func (t *Tracker) Paced(id string, gap time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state[id]
	if s == nil {
		return
	}
	if s.usual == 0 {
		s.usual = gap
	}
	if s.pace == 0 || now.Sub(s.paced) > paceTime {
		s.pace, s.paced = gap, now
		return
	}
	since := now.Sub(s.paced)
	s.pace += part(gap-s.pace, since, paceSpan)
	s.usual += part(gap-s.usual, since, usualSpan)
	s.paced = now
}

// part returns how much of a difference a moving average over span takes up after the given time.
func part(difference, since, span time.Duration) time.Duration {
	return time.Duration(float64(difference) * float64(since) / float64(since+span))
}

// Slow reports whether a server makes events much slower than most others at present.
func (t *Tracker) Slow(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state[id]
	return s != nil && s.slow(t.slowest(now), now)
}

// Patience returns how long an engine may make no event before others with room are preferred, most at the longest.
func (t *Tracker) Patience(most time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(silentFactor*t.median(now), silentLeast), most)
}

// hasPace reports whether a server has a present pace.
func (s *state) hasPace(now time.Time) bool { return s.pace > 0 && now.Sub(s.paced) <= paceTime }

// slow reports whether the present pace of a server exceeds the slowest that is usual; 0 sets no bound.
func (s *state) slow(slowest time.Duration, now time.Time) bool {
	return s.hasPace(now) && slowest > 0 && s.pace > slowest
}

// slowest returns the pace beyond which a server is slow at present, 0 if too few servers have one.
func (t *Tracker) slowest(now time.Time) time.Duration {
	return time.Duration(slowFactor * float64(t.median(now)))
}

// median returns the present pace in the middle of those of all servers, 0 if too few have one.
func (t *Tracker) median(now time.Time) time.Duration {
	var paces []time.Duration
	for _, o := range t.state {
		if o.hasPace(now) {
			paces = append(paces, o.pace)
		}
	}
	if len(paces) < paceLeast {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// forgetOld drops servers that have not been used for long.
func (t *Tracker) forgetOld(now time.Time) {
	for id, s := range t.state {
		if s.inflight == 0 && now.Sub(s.last) > forget {
			delete(t.state, id)
		}
	}
}
