// Package prefill estimates how long prompts wait for engines to process them, and what they cost other work there.
//
// # Usage
//
//	l := prefill.New()
//	t := prefill.NewTicket(prompt, workspace) // nil if the request states nothing about its prompt
//	cost := l.Cost(t, server, load) // for each server that may run the request
//	l.Start(t, server, load, now)   // at the chosen one
//	l.FirstEvent(t, now)            // the prompt has been processed
//	l.End(t, complete, now)         // in any case
//
// # Load
//
// An engine processes prompts one after the other, in chunks between the tokens of its other requests. A prompt of tens of
// thousands of tokens takes as long as several events; prompts behind it wait for it, and the events of running requests come
// late. The package is designed for some fifty engines with eight slots each, for prompts of which most take a few
// milliseconds and a few a second, and for clients whose figures may be wrong: they change the choice among servers by a
// bounded cost and never exclude one.
//
// A part of a prompt that an engine processes for an earlier request is not processed again.
package prefill

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/internal/call"
)

const (
	// defaultTokenTime is the assumed time to process a prompt token until it has been measured.
	defaultTokenTime = 5 * time.Microsecond
	// minTokenTime and maxTokenTime bound the measured time.
	minTokenTime = 500 * time.Nanosecond
	maxTokenTime = 2 * time.Millisecond
	// minSampleTokens is the number of tokens from which a prompt measures the time per token. It takes longer than the rest of
	// the time to the first event.
	minSampleTokens = 4000
	// dominantTime is the time to the first event of a long prompt from which the prompt accounts for nearly all of it.
	dominantTime = 500 * time.Millisecond
	// runningShare is the part of the time to process a prompt by which the events of a running request come later: chunks
	// alternate with events.
	runningShare = 0.5
	// maxWait and maxInterference bound the cost of prompts that are ahead and of the delay of other requests. Figures may be wrong, and
	// a server must not be avoided for good.
	maxWait         = 2 * time.Second
	maxInterference = time.Second
	// maxAhead is the time of waiting prompts at a server from which work that can wait does not start there, and maxDeferral how
	// long it is delayed. Below this, an engine has enough queued work to stay busy; above it, an item may start earlier at
	// another server.
	maxAhead    = 150 * time.Millisecond
	maxDeferral = 500 * time.Millisecond
	// minAheadTokens is the number of waiting tokens below which nothing is delayed, whatever the measured speed: about the
	// chunk that an engine processes between two events.
	minAheadTokens = 2048
	// minWeight and maxWeight bound how many requests one counts as that has much less or more output to come than usual.
	minWeight = 0.5
	maxWeight = 2.0
	// cachedTime is how long a part of a prompt is assumed to stay in the cache of an engine after its last use, and
	// maxCachedParts how many parts are remembered of each engine.
	cachedTime     = 30 * time.Second
	maxCachedParts = 64
	// retention is how long the state of an engine without requests is kept.
	retention = time.Minute
)

// Ticket is a request with a prompt at one engine. A nil ticket is a request that states nothing about its prompt.
type Ticket struct {
	sender    string // whose figures these are; empty if unknown
	prompt    call.Prompt
	parts     []part
	readyAt   time.Time // when the request could have started first
	server    string    // empty before the start and after the end
	service   string
	uncached  int // prompt tokens to be processed
	startedAt time.Time
	firstAt   time.Time // zero while the prompt waits
	alone     bool      // nothing else waited at the start, and a slot was free
}

// part is a part of a prompt. Clients choose the ids, so what is remembered of them has a fixed size.
type part struct {
	id     uint64 // hash
	tokens int
}

// NewTicket returns the ticket of a request, nil if the figures of its prompt are zero. The sender is the name of the workspace
// that states them, empty if there are no workspaces: it limits the influence of one sender on the measurements.
func NewTicket(p call.Prompt, sender string) *Ticket {
	if p.Tokens <= 0 && p.Output <= 0 {
		return nil
	}
	t := &Ticket{sender: sender, prompt: p, parts: make([]part, 0, len(p.Parts))}
	for _, o := range p.Parts {
		t.parts = append(t.parts, part{id: xxhash.Sum64String(o.ID), tokens: o.Tokens})
	}
	return t
}

// Server is what is known of an engine beside the requests with tickets.
type Server struct {
	ID       string
	Service  string
	Slots    int
	Requests int // requests of all entries, with and without tickets
	Waiting  int // prompt tokens that wait, of other entries
}

// Load holds the prompts at the engines. It is not safe for concurrent use.
type Load struct {
	servers map[string]*server
	times   map[string]*tokenTime // by service
	last    *server               // the one looked up last; nil if unknown
	lastID  string
	output  estimate // expected output of requests, in tokens
}

// server is the load of one engine.
type server struct {
	waiting  int // prompt tokens that wait
	prompts  int // prompts that wait
	tickets  []*Ticket
	cached   map[uint64]time.Time // last use of each part
	pending  map[uint64]int       // waiting prompts with each part
	lastUsed time.Time
}

// tokenTime is the measured speed of a service, in seconds.
type tokenTime struct {
	perToken  estimate // of a prompt
	base      estimate // time to the first event apart from the prompt
	perOutput estimate // of the expected output
	output    estimate // from the first event to the end
}

// New returns a Load without any prompts.
func New() *Load {
	return &Load{servers: make(map[string]*server), times: make(map[string]*tokenTime)}
}

// Cost returns the time that a request waits at a server for a slot, for the prompts ahead and for its own prompt, and the
// delay that its prompt causes to the other requests there.
func (l *Load) Cost(t *Ticket, s Server, now time.Time) time.Duration {
	if t == nil {
		return 0
	}
	waiting, prompts := s.Waiting, 0
	if k := l.at(s.ID); k != nil {
		waiting += k.waiting
		prompts = k.prompts
	}
	perToken := l.TokenTime(s.Service)
	own := time.Duration(l.uncached(t, s.ID, now)) * perToken
	delayed := float64(prompts) + runningShare*float64(max(s.Requests-prompts, 0))
	interference := time.Duration(delayed * float64(own))
	ahead := time.Duration(waiting)*perToken + l.slotWait(s)
	return min(ahead, maxWait) + min(own, maxWait) + min(interference, maxInterference)
}

// at returns the load of an engine, nil if there is none. A choice looks each engine up several times in a row.
func (l *Load) at(id string) *server {
	if l.lastID != id || id == "" {
		l.last, l.lastID = l.servers[id], id
	}
	return l.last
}

// slotWait returns how long a request waits for a slot of a server, whose requests end one after the other.
func (l *Load) slotWait(s Server) time.Duration {
	m := l.times[s.Service]
	if m == nil || s.Slots <= 0 || s.Requests < s.Slots {
		return 0
	}
	return time.Duration(s.Requests-s.Slots+1) * m.output.duration() / time.Duration(s.Slots)
}

// Active reports whether a server has requests with tickets.
func (l *Load) Active(id string) bool {
	k := l.at(id)
	return k != nil && len(k.tickets) > 0
}

// Defer reports whether a request that can wait should not start at a server yet, because the prompts ahead take long.
func (l *Load) Defer(t *Ticket, s Server, now time.Time) bool {
	if t == nil {
		return false
	}
	waiting := s.Waiting
	if k := l.at(s.ID); k != nil {
		waiting += k.waiting
	}
	if waiting < minAheadTokens || time.Duration(waiting)*l.TokenTime(s.Service) < maxAhead {
		return false
	}
	if t.readyAt.IsZero() {
		t.readyAt = now
	}
	return now.Sub(t.readyAt) < maxDeferral
}

// Weight returns by how much the requests with tickets at a server differ from their number: requests with much output to come
// count as more than one, and those with little as less.
func (l *Load) Weight(id string, now time.Time) float64 {
	k := l.at(id)
	if k == nil || l.output.value <= 0 {
		return 0
	}
	w := 0.0
	for _, t := range k.tickets {
		rest := float64(t.prompt.Output)
		if rest <= 0 {
			continue
		}
		if m := l.times[t.service]; m != nil && m.perOutput.value > 0 && !t.firstAt.IsZero() {
			rest = max(rest-now.Sub(t.firstAt).Seconds()/m.perOutput.value, 0)
		}
		w += min(max(rest/l.output.value, minWeight), maxWeight) - 1
	}
	return w
}

// Start records that a request starts at a server, and returns how long its prompt takes.
func (l *Load) Start(t *Ticket, s Server, now time.Time) time.Duration {
	if t == nil || t.server != "" {
		return 0
	}
	k := l.at(s.ID)
	if k == nil {
		l.evict(now)
		k = &server{cached: make(map[uint64]time.Time), pending: make(map[uint64]int)}
		l.servers[s.ID] = k
		l.last, l.lastID = k, s.ID
	}
	t.server, t.service, t.startedAt, t.firstAt = s.ID, s.Service, now, time.Time{}
	t.uncached = l.uncached(t, s.ID, now)
	t.alone = k.prompts == 0 && s.Waiting == 0 && s.Requests < s.Slots
	k.waiting += t.uncached
	k.prompts++
	k.tickets = append(k.tickets, t)
	k.lastUsed = now
	for _, p := range t.parts {
		k.pending[p.id]++
	}
	if t.prompt.Output > 0 {
		l.output.add(float64(t.prompt.Output), t.sender, now)
	}
	return time.Duration(t.uncached) * l.TokenTime(s.Service)
}

// FirstEvent records that the prompt of a request has been processed. Further calls have no effect.
func (l *Load) FirstEvent(t *Ticket, now time.Time) {
	if t == nil || t.server == "" || !t.firstAt.IsZero() {
		return
	}
	t.firstAt = now
	k := l.at(t.server)
	k.stopWaiting(t)
	k.use(t.parts, now)
	k.lastUsed = now
	if t.alone {
		l.measure(t, now)
	}
}

// End records that a request has ended; complete reports whether its whole output was generated. Further calls have no effect.
func (l *Load) End(t *Ticket, complete bool, now time.Time) {
	if t == nil || t.server == "" {
		return
	}
	k := l.at(t.server)
	switch {
	case t.firstAt.IsZero():
		k.stopWaiting(t)
	case complete:
		m := l.measured(t.service)
		took := now.Sub(t.firstAt).Seconds()
		m.output.add(took, t.sender, now)
		if t.prompt.Output > 0 {
			m.perOutput.add(took/float64(t.prompt.Output), t.sender, now)
		}
	}
	for i, o := range k.tickets {
		if o == t {
			k.tickets[i] = k.tickets[len(k.tickets)-1]
			k.tickets[len(k.tickets)-1] = nil
			k.tickets = k.tickets[:len(k.tickets)-1]
			break
		}
	}
	k.lastUsed = now
	t.server, t.readyAt = "", time.Time{}
}

// Waiting returns the prompt tokens that wait at a server.
func (l *Load) Waiting(id string) int {
	if k := l.at(id); k != nil {
		return k.waiting
	}
	return 0
}

// Total returns the prompt tokens that wait at all servers.
func (l *Load) Total() int {
	n := 0
	for _, k := range l.servers {
		n += k.waiting
	}
	return n
}

// uncached returns how many tokens of a prompt a server has to process: all from the first part on that is
// neither cached nor part of a waiting prompt.
func (l *Load) uncached(t *Ticket, id string, now time.Time) int {
	rest := t.prompt.Tokens
	k := l.at(id)
	if k == nil {
		return rest
	}
	for _, p := range t.parts {
		if used, ok := k.cached[p.id]; k.pending[p.id] == 0 && (!ok || now.Sub(used) > cachedTime) {
			break
		}
		rest -= p.tokens
	}
	return max(rest, 0)
}

// stopWaiting removes a prompt from those that wait.
func (k *server) stopWaiting(t *Ticket) {
	k.waiting -= t.uncached
	k.prompts--
	for _, p := range t.parts {
		if k.pending[p.id]--; k.pending[p.id] <= 0 {
			delete(k.pending, p.id)
		}
	}
}

// use records the use of the parts of a prompt.
func (k *server) use(parts []part, now time.Time) {
	for _, p := range parts {
		if _, ok := k.cached[p.id]; !ok && len(k.cached) >= maxCachedParts {
			k.forgetOldest()
		}
		k.cached[p.id] = now
	}
}

// forgetOldest forgets the part that has not been used for the longest time.
func (k *server) forgetOldest() {
	var oldest uint64
	var at time.Time
	for id, used := range k.cached {
		if at.IsZero() || used.Before(at) {
			oldest, at = id, used
		}
	}
	delete(k.cached, oldest)
}

// TokenTime returns the time that the servers of a service take for a prompt token.
func (l *Load) TokenTime(service string) time.Duration {
	if t := l.times[service]; t != nil && t.perToken.value > 0 {
		return min(max(t.perToken.duration(), minTokenTime), maxTokenTime)
	}
	return defaultTokenTime
}

// measured returns the measurements of a service.
func (l *Load) measured(service string) *tokenTime {
	t := l.times[service]
	if t == nil {
		t = &tokenTime{}
		l.times[service] = t
	}
	return t
}

// measure records the time to the first event of a request that did not wait for others.
func (l *Load) measure(k *Ticket, now time.Time) {
	t, took, tokens := l.measured(k.service), now.Sub(k.startedAt), k.uncached
	if tokens < minSampleTokens {
		t.base.add((took - time.Duration(tokens)*l.TokenTime(k.service)).Seconds(), k.sender, now)
		return
	}
	if t.base.value == 0 && took < dominantTime {
		return // the time per token cannot be told from the rest
	}
	t.perToken.add((took.Seconds()-t.base.value)/float64(tokens), k.sender, now)
}

// evict drops the state of engines that have been without requests for some time.
func (l *Load) evict(now time.Time) {
	for id, k := range l.servers {
		if len(k.tickets) == 0 && now.Sub(k.lastUsed) > retention {
			delete(l.servers, id)
		}
	}
	l.last, l.lastID = nil, ""
}
