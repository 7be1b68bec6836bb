// Package place selects the server for each attempt.
//
// # Usage
//
//	t := place.New(place.Home{Domain: "a", Region: "east", Regions: regions}, limiter, rand)
//	s, ok := t.Start(now, servers, place.Need{Model: "m", MinVersion: 6})
//	t.Ended(s.ID, "m", place.Answered, took, time.Now())
//
// The estimated wait at a server is its own time per request, scaled by the load that this process has put on it. A
// server that refused a request is skipped for a short back-off. This keeps requests off the few servers of a fleet
// that are slowed or full while the others have capacity.
//
// A server that states a limit of its request rate gets no more than that (package ratelimit). Work that may wait leaves
// places to live requests.
//
// Requests that state the size of their prompts are placed by the prompts that wait at each engine as well (prompt.go).
//
// Work of a route that is split between services goes to the first one, in the order drawn for it, that can run it now
// (pools.go).
//
// Streaming work that runs for seconds is placed by its expected completion time (finish.go), which is derived from
// the event intervals that this process observes (interval.go) and from the load that other entries report (remote.go).
package place

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"bulrushspoke/entry/internal/prefill"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/ratelimit"
)

const (
	// ewmaWeight is the weight of the newest measurement in the moving average of a server's time per request.
	ewmaWeight = 0.2
	// defaultServiceTime is assumed for a server that has not answered yet.
	defaultServiceTime = 30 * time.Millisecond
	// crossDomainPenalty and crossRegionPenalty are added to the cost of a server in another failure domain or region.
	// They account for the transfer time and its price.
	crossDomainPenalty = 2 * time.Millisecond
	crossRegionPenalty = 60 * time.Millisecond
	// refusalBackoff is how long a server that refused work for a model is skipped for that model. It doubles with each
	// consecutive refusal: a full queue drains in a fraction of a second, a change of weights takes a second or more.
	refusalBackoff    = 100 * time.Millisecond
	maxRefusalBackoff = 400 * time.Millisecond
	// failureBackoff is how long a server is skipped after an attempt without a complete answer. It doubles with each
	// consecutive failure.
	failureBackoff    = 300 * time.Millisecond
	maxFailureBackoff = 3 * time.Second
	// maxWindow is the window from which on a plain server is no longer restricted.
	maxWindow = 64
	// livenessWindow is the maximum age of an engine's newest event for a silent attempt to count as a busy engine, not
	// as a failure.
	livenessWindow = time.Second
	// idleServerTTL is how long the state of an unused server is kept.
	idleServerTTL = time.Minute
)

// Home is the location of this process.
type Home struct {
	Domain  string
	Region  string
	Regions map[string]string // region of each failure domain
}

// Need describes what an attempt requires of a server.
type Need struct {
	Model       string // empty for a plain service
	MinVersion  int    // oldest weight version allowed
	Tried       map[string]bool
	RequireSlot bool // only servers with a free slot, as far as this process knows; the work may wait
	Optional    bool // work that is useful only at servers with capacity to spare
	Overdue     bool // work that has waited long enough to compete with requests whose clients wait
	ExcludeSlow bool // only servers that are not slow at present
	NewConn     bool // the request is sent on a new connection, whatever connections are idle
	// RemainingEvents is the number of events the work is still expected to generate, 0 for work that streams no events.
	RemainingEvents int
	// TimeBudget is the time in which the work may finish without delaying anything else, 0 if it should finish as early as
	// possible.
	TimeBudget time.Duration
	// Ticket holds the size of the prompt, nil if it is unknown. Start and PickFaster start it.
	Ticket *prefill.Ticket
	// Reserve is the fraction of a server's slots, and of its limit, to keep free; if negative, so many more requests than
	// slots may be there. It applies only to a need that asks for room.
	Reserve float64
}

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of attempts.
const (
	Answered  Outcome = iota
	Refused           // not accepted by the server, such as for lack of room
	Failed            // no complete answer arrived
	Abandoned         // given up by this process, which says nothing about the server
	Silent            // no event arrived in time: the server is busy or hangs
)

// Tracker records the load, speed and failures of servers. It is safe for concurrent use.
type Tracker struct {
	home        Home
	limits      *ratelimit.Limiter
	connections Connections   // nil if idle connections do not count
	workStarted chan struct{} // signalled when work starts at an engine

	mu            sync.Mutex
	random        *rand.Rand
	costs         []float64 // of the servers of one choice; reused
	state         map[string]*state
	prompts       *prefill.Load
	counted       requestCount          // while the servers of a choice are compared
	remoteSums    map[string]remoteSum  // of the loads reported by other entries, by engine
	remoteExpires time.Time             // when a part of the sums expires
	remote        map[string]remoteLoad // load reported by other entries, by entry
	lagCheckedAt  time.Time             // when wasLagging was determined
	wasLagging    bool                  // this process receives events late
}

type state struct {
	inflight    int
	engine      bool          // it has run streaming work
	serviceTime time.Duration // moving average of the time per request
	avoidUntil  time.Time     // skipped until then
	failures    int           // consecutive
	refusals    map[string]refusal
	window      float64 // requests that a plain server takes from this process at once, 0 for no restriction
	intervals   intervals
	lastUsed    time.Time
}

// refusal is the most recent refusal of work for a model.
type refusal struct {
	until time.Time
	count int // consecutive
}

// New returns a Tracker that has no state of any server and keeps requests within the limits.
func New(h Home, limits *ratelimit.Limiter, random *rand.Rand) *Tracker {
	return &Tracker{
		home: h, limits: limits, workStarted: make(chan struct{}, 1), random: random, state: make(map[string]*state),
		prompts: prefill.New(), remote: make(map[string]remoteLoad), remoteSums: make(map[string]remoteSum),
	}
}

// Start picks a server and records an attempt there as started.
func (t *Tracker) Start(now time.Time, servers []catalog.Server, n Need) (catalog.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.pick(now, servers, n)
	if ok {
		t.startPrompt(s, n, now)
		t.began(s.ID, n.priority(), now)
	}
	return s, ok
}

// Reject returns when a client may come back whose request no server takes because of the servers' limits, and keeps a
// place for it if that is within the given time. It returns false if no server with a limit could run the request.
func (t *Tracker) Reject(
	now time.Time, servers []catalog.Server, n Need, within time.Duration,
) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, least := "", time.Duration(0)
	for _, s := range servers {
		if !n.allows(s) {
			continue
		}
		if wait, limited := t.limits.Delay(s.ID, now); limited && (first == "" || wait < least) {
			first, least = s.ID, wait
		}
	}
	if first == "" {
		return 0, false
	}
	return t.limits.Reject(first, within, now), true
}

// Pick returns the server with the lowest estimated wait. Work with a time budget may go to a slower server, which
// leaves the faster ones to work that needs them. Servers in back-off are used only if no other is left, and never if
// the need asks for room.
func (t *Tracker) Pick(now time.Time, servers []catalog.Server, n Need) (catalog.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pick(now, servers, n)
}

func (t *Tracker) pick(now time.Time, servers []catalog.Server, n Need) (catalog.Server, bool) {
	best, fallback := -1, -1
	var slowThreshold time.Duration
	if n.ExcludeSlow {
		slowThreshold = t.slowThreshold(now)
	}
	var bestCost, fallbackCost float64
	t.costs = t.costs[:0]
	defer t.dropRequestCount()
	for i, s := range servers {
		t.costs = append(t.costs, -1)
		if !n.allows(s) {
			continue
		}
		t.cacheRequestCount(s.ID, n, now)
		if n.RequireSlot && !t.hasRoom(now, s, n) || !t.limits.Allows(s.ID, n.priority(), n.Reserve, now) {
			continue
		}
		if n.RequireSlot && n.Ticket != nil && t.prompts.Defer(n.Ticket, t.promptServer(s, now), now) {
			continue
		}
		st := t.state[s.ID]
		if n.ExcludeSlow && st != nil && st.intervals.exceeds(slowThreshold, now) {
			continue
		}
		cost := t.cost(now, s, n)
		if st.avoided(n.Model, now) {
			if fallback < 0 || cost < fallbackCost {
				fallback, fallbackCost = i, cost
			}
			continue
		}
		t.costs[i] = cost
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best >= 0 && t.connections != nil && !n.NewConn {
		best = t.pickConnected(now, servers, t.costs, best)
	}
	if best < 0 {
		best = fallback
	}
	if best < 0 {
		return catalog.Server{}, false
	}
	if n.RequireSlot && n.TimeBudget > 0 {
		best = t.pickSlower(now, servers, n, best)
	}
	if n.RemainingEvents > 0 {
		t.serverState(servers[best].ID, now).engine = true
	}
	return servers[best], true
}

// hasRoom reports whether a server is not in back-off and has a slot for the work. The caller checks that the need
// allows the server.
func (t *Tracker) hasRoom(now time.Time, s catalog.Server, n Need) bool {
	st := t.state[s.ID]
	return !st.avoided(n.Model, now) && t.inflight(s.ID, now) < min(n.usableSlots(s), st.windowSize())
}

// windowSize returns the number of requests that may wait or run at a server at once, as far as it has shown by refusals.
func (s *state) windowSize() int {
	if s == nil || s.window == 0 {
		return math.MaxInt
	}
	return int(s.window)
}

// narrowWindow halves the window of a plain server that has refused a request: others send to it as well.
func (s *state) narrowWindow() { s.window = max(float64(s.inflight)/2, 1) }

// widenWindow adds about one request to the window of a plain server for each window of answers.
func (s *state) widenWindow() {
	if s.window == 0 {
		return
	}
	if s.window += 1 / s.window; s.window > maxWindow {
		s.window = 0
	}
}

// avoided reports whether a server is in back-off for a model.
func (s *state) avoided(model string, now time.Time) bool {
	return s != nil && (now.Before(s.avoidUntil) || now.Before(s.refusals[model].until))
}

// usableSlots returns how many slots of a server the work may fill, at least one.
func (n Need) usableSlots(s catalog.Server) int {
	return max(s.Slots-int(math.Ceil(n.Reserve*float64(s.Slots))), 1)
}

// priority returns the priority of the work under a limit.
func (n Need) priority() ratelimit.Priority {
	switch {
	case n.Optional:
		return ratelimit.Optional
	case n.RequireSlot && !n.Overdue:
		return ratelimit.Background
	default:
		return ratelimit.Live
	}
}

// allows reports whether a server may run the work, regardless of its load.
func (n Need) allows(s catalog.Server) bool {
	if n.Tried[s.ID] {
		return false
	}
	if n.Model == "" {
		return true
	}
	v, ok := s.Versions[n.Model]
	return ok && v >= n.MinVersion
}

// cost estimates the wait for an answer in seconds, with a small random part that spreads work over equal servers.
func (t *Tracker) cost(now time.Time, s catalog.Server, n Need) float64 {
	if n.RemainingEvents > 0 {
		return t.engineCost(now, s, n)
	}
	st := t.state[s.ID]
	var serviceTime time.Duration
	inflight := 0
	if st != nil {
		inflight = st.inflight
	}
	switch {
	case st != nil && st.intervals.valid(now):
		serviceTime = st.intervals.current
	case st != nil && st.intervals.baseline > 0:
		serviceTime = st.intervals.baseline
	case st != nil && st.serviceTime > 0:
		serviceTime = st.serviceTime
	default:
		serviceTime = t.initialEstimate(s.Versions != nil)
	}
	load := float64(inflight)
	if n.Ticket != nil {
		load = max(load+t.prompts.Weight(s.ID, now), 0)
	}
	utilization := load / float64(max(s.Slots, 1))
	c := serviceTime.Seconds() * (1 + utilization + 4*max(utilization-1+1/float64(max(s.Slots, 1)), 0))
	c += (t.networkPenalty(s) + t.promptCost(s, n, now)).Seconds()
	const jitter = 0.1 // fraction of the estimate
	return c * (1 + jitter*t.random.Float64())
}

// networkPenalty returns the cost of reaching a server from this process.
func (t *Tracker) networkPenalty(s catalog.Server) time.Duration {
	switch {
	case t.home.Regions[s.Domain] != t.home.Region:
		return crossRegionPenalty
	case s.Domain != t.home.Domain:
		return crossDomainPenalty
	default:
		return 0
	}
}

// Began records that an attempt has started at a server that was chosen by Pick.
func (t *Tracker) Began(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.began(id, ratelimit.Background, now)
}

func (t *Tracker) began(id string, p ratelimit.Priority, now time.Time) {
	t.limits.Take(id, p, now)
	s := t.serverState(id, now)
	s.inflight++
	s.lastUsed = now
	if s.engine {
		t.signalWork()
	}
}

// signalWork has the load of this process published soon.
func (t *Tracker) signalWork() {
	select {
	case t.workStarted <- struct{}{}:
	default:
	}
}

// serverState returns the state of a server, which it creates for an unknown one.
func (t *Tracker) serverState(id string, now time.Time) *state {
	s := t.state[id]
	if s == nil {
		t.evictIdle(now)
		s = &state{lastUsed: now}
		t.state[id] = s
	}
	return s
}

// Ended records how an attempt for a model ended and how long it took. A duration of 0 does not count towards the
// server's speed.
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
		s.avoidUntil = time.Time{}
		delete(s.refusals, model)
		s.widenWindow()
		if took > 0 {
			if s.serviceTime == 0 {
				s.serviceTime = took
			}
			s.serviceTime += time.Duration(ewmaWeight * float64(took-s.serviceTime))
		}
	case Refused:
		r := s.refusals[model]
		if now.Before(r.until) {
			return // refusals of concurrent requests count once
		}
		if !s.engine {
			s.narrowWindow()
		}
		r.until = now.Add(min(refusalBackoff<<min(r.count, 8), maxRefusalBackoff))
		r.count++
		if s.refusals == nil {
			s.refusals = make(map[string]refusal)
		}
		s.refusals[model] = r
	case Failed:
		s.recordFailure(now)
	case Silent:
		if now.Sub(s.intervals.updated) > livenessWindow {
			s.recordFailure(now)
		}
	}
}

// recordFailure counts a failure and starts the back-off of a server.
func (s *state) recordFailure(now time.Time) {
	s.failures++
	s.avoidUntil = now.Add(min(failureBackoff<<min(s.failures-1, 8), maxFailureBackoff))
}

// evictIdle drops the state of servers that have been unused for idleServerTTL.
func (t *Tracker) evictIdle(now time.Time) {
	for id, s := range t.state {
		if s.inflight == 0 && now.Sub(s.lastUsed) > idleServerTTL {
			delete(t.state, id)
		}
	}
}
