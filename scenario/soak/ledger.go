package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"bulrushspoke/platform"
)

const (
	// settle is how long after a 202 an entry may not yet know a job.
	settle = time.Second
	// contact is how long an entry must have been undisturbed before a rule with a time bound holds for it.
	contact = 4 * time.Second
	// configLag is how long after its acknowledgement an old configuration may be used.
	configLag = 2500 * time.Millisecond
	// drainLag is how long after a server said that it leaves requests may still reach it.
	drainLag = 2500 * time.Millisecond
	// cancelLag is how long after the end of a job its items may still reach servers.
	cancelLag = 3 * time.Second
	// lossSlack is the time within which a request may cross the close of its connection.
	lossSlack = 200 * time.Millisecond
	// goneLag is how long a server may work on for a client that has left; some is added for the machine's own delays.
	goneLag = 750 * time.Millisecond
	// itemAttempts is the route's bound of failed runs of an item.
	itemAttempts = 3
	// crashesAllowed is how many servers a request may crash before it is given up, and how often it may come after that.
	crashesAllowed = 3
	// plainAttempts is the route's bound of servers for one request.
	plainAttempts = 3
)

// request is what a client asked of a plain route.
type request struct {
	id      string
	unsafe  bool
	line    string // method and address
	body    string
	route   string
	entry   int
	sent    time.Time
	runs    int
	answers []string
	status  int       // that its client got; 0 for none yet, -1 for a broken connection
	left    time.Time // when its client abandoned it
	ended   time.Time // when its server noticed that
}

// period is a time in which an entry was disturbed; one without an end lasts.
type period struct {
	from, to time.Time
	planned  bool // by a stop that it was asked for
}

// ledger holds what clients and servers have seen, and judges it.
type ledger struct {
	start time.Time

	mu        sync.Mutex
	requests  map[string]*request
	items     map[string]*item
	batches   map[string]*batch
	events    map[string]bool // data of all events that servers made
	holders   map[string]string
	fences    map[string]int64
	drained   map[string]time.Time   // by server
	crashes   map[string][]time.Time // of servers, by the body of the request that crashed them
	retries   map[string]int         // crashes that should not have been
	configs   []configured
	disturbed map[int][]*period // by entry
	verdicts  []string
	counts    map[string]int
}

// configured is a configuration with the time of its acknowledgement.
type configured struct {
	at       time.Time
	services map[string]string // by route
}

func newLedger(now time.Time) *ledger {
	return &ledger{
		start: now, requests: map[string]*request{}, items: map[string]*item{}, batches: map[string]*batch{},
		events: map[string]bool{}, holders: map[string]string{}, fences: map[string]int64{},
		drained: map[string]time.Time{}, crashes: map[string][]time.Time{}, retries: map[string]int{},
		disturbed: map[int][]*period{}, counts: map[string]int{},
	}
}

// broken notes a broken rule.
func (l *ledger) broken(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(rule, format, args...)
}

// breaks notes a broken rule; the caller holds mu, as that of all methods below that say so.
func (l *ledger) breaks(rule, format string, args ...any) {
	l.verdicts = append(l.verdicts,
		fmt.Sprintf("%s at %.1f s: %s", rule, time.Since(l.start).Seconds(), fmt.Sprintf(format, args...)))
}

// storeEntry stands for the store among the entries that are disturbed.
const storeEntry = -1

// disturb notes that an entry is disturbed, until the returned function is called.
func (l *ledger) disturb(entry int, planned bool) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &period{from: time.Now(), planned: planned}
	l.disturbed[entry] = append(l.disturbed[entry], p)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		p.to = time.Now()
	}
}

// disturbedIn reports whether an entry was disturbed in a time, by planned stops too if they count; the caller holds mu.
func (l *ledger) disturbedIn(entry int, from, to time.Time, planned bool) bool {
	return slices.ContainsFunc(l.disturbed[entry], func(p *period) bool {
		return (planned || !p.planned) && p.from.Before(to) && (p.to.IsZero() || p.to.After(from))
	})
}

// calm reports whether nothing but planned stops disturbed an entry in a time; the caller holds mu.
func (l *ledger) calm(entry int, from, to time.Time) bool {
	return !l.disturbedIn(entry, from, to, false)
}

// inTouch reports whether an entry and the store were undisturbed for long enough; the caller holds mu.
func (l *ledger) inTouch(entry int, from, to time.Time) bool {
	return !l.disturbedIn(entry, from.Add(-contact), to, true) && !l.disturbedIn(storeEntry, from.Add(-contact), to, true)
}

// configure notes the service of each route from now on.
func (l *ledger) configure(services map[string]string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, configured{at: now, services: services})
}

// allowed returns the services that a route has had since a time, empty ones where it was absent; the caller holds mu.
func (l *ledger) allowed(route string, since time.Time) []string {
	var services []string
	for i, c := range l.configs {
		if i+1 < len(l.configs) && l.configs[i+1].at.Before(since) {
			continue
		}
		services = append(services, c.services[route])
	}
	return services
}

// asks notes a request that is about to be sent.
func (l *ledger) asks(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[q.id] = q
	l.counts["requests"]++
}

// drains notes that a server has said that it leaves.
func (l *ledger) drains(server string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained[server] = now
}

// late judges a request that reaches a server which has said long ago that it leaves; the caller holds mu.
func (l *ledger) late(id, server string, calm bool, now time.Time) {
	if at, ok := l.drained[server]; ok && now.Sub(at) > drainLag && calm {
		l.breaks("DRAIN", "request %s reaches server %s %s after it said that it leaves", id, server, now.Sub(at))
	}
}

// ran notes that a plain server began to work and returns the number of the run.
func (l *ledger) ran(id, server, service, line, body string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	if q == nil {
		l.breaks("UNASKED", "a server runs request %q that no client sent", id)
		return 0
	}
	q.runs++
	l.late(id, server, l.inTouch(q.entry, now.Add(-drainLag), now), now)
	if q.line != line || q.body != body {
		l.breaks("UNASKED", "request %s is changed to %s %q", id, line, body)
	}
	since := l.start
	if l.inTouch(q.entry, q.sent.Add(-configLag), now) {
		since = q.sent.Add(-configLag)
	}
	if !slices.Contains(l.allowed(q.route, since), service) {
		l.breaks("ROUTE", "request %s of route %s is run by %s", id, q.route, service)
	}
	switch {
	case q.unsafe && q.runs > 1:
		l.breaks("TWICE", "request %s runs %d times", id, q.runs)
	case q.runs > plainAttempts:
		l.breaks("BUDGET", "request %s runs %d times", id, q.runs)
	}
	return q.runs
}

// leaves notes that a client abandons its request.
func (l *ledger) leaves(q *request, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.left = now
}

// poisoned judges a request that has crashed a server: entries that know of three such servers give it up.
func (l *ledger) poisoned(body, id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[body] = append(l.crashes[body], now)
	l.counts["poisoned"]++
	q := l.requests[id]
	if n := len(l.crashes[body]); q != nil && n > crashesAllowed && now.Sub(l.crashes[body][crashesAllowed-1]) > contact &&
		l.inTouch(q.entry, now, now) {
		if l.retries[body]++; l.retries[body] > crashesAllowed {
			l.breaks("BUDGET", "request %s crashes the %dth server", id, n)
		}
	}
}

// answered notes a whole answer of a server.
func (l *ledger) answered(id, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.requests[id]; q != nil {
		q.answers = append(q.answers, answer)
	}
}

// abandoned notes that a server has learned of a client that left.
func (l *ledger) abandoned(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.requests[id]; q != nil {
		q.ended = now
	}
}

// got judges the answer to a plain request.
func (l *ledger) got(q *request, status int, signed bool, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.status = status
	l.counts["status "+strconv.Itoa(status)]++
	now := time.Now()
	switch status {
	case http.StatusOK:
		l.counts["served"]++
		if !signed || !slices.Contains(q.answers, body) {
			l.breaks("MIXED", "request %s got %q, its servers answered %q", q.id, body, q.answers)
		}
	case http.StatusNotFound:
		absent := slices.Contains(l.allowed(q.route, q.sent.Add(-configLag)), "")
		if !absent && (l.inTouch(q.entry, q.sent.Add(-configLag), now) || !slices.Contains(l.allowed(q.route, l.start), "")) {
			l.breaks("DENIED", "request %s of route %s got 404", q.id, q.route)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if q.unsafe && q.runs > 0 {
			l.breaks("REFUSED", "request %s was answered %d and has run", q.id, status)
		}
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		l.breaks("DENIED", "request %s got %d", q.id, status)
	}
}

// lost judges a connection that ended without an answer to a request that was sent.
func (l *ledger) lost(q *request, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.status = -1
	l.counts["lost"]++
	if l.calm(q.entry, q.sent, now) && (q.runs > 0 || now.Sub(q.sent) > lossSlack) {
		l.breaks("LOST", "the connection of request %s to entry %d ended after %s, %d runs", q.id, q.entry, now.Sub(q.sent), q.runs)
	}
}

// rate returns how many plain requests were sent on routes that are always there, and how many of them were served.
func (l *ledger) rate() (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.requests {
		if q.route == "late" || !q.left.IsZero() || q.status == 0 {
			continue
		}
		sent++
		if q.status == http.StatusOK {
			served++
		}
	}
	return sent, served
}

// ordered judges an order to an engine.
func (l *ledger) ordered(server string, o platform.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["orders"]++
	if h, ok := l.holders[server]; ok && h != o.Holder {
		l.breaks("ONE", "engine %s has orders of %s and %s", server, h, o.Holder)
	}
	if o.Fence < l.fences[server] {
		l.breaks("ONE", "engine %s has fencing token %d after %d", server, o.Fence, l.fences[server])
	}
	l.holders[server], l.fences[server] = o.Holder, max(l.fences[server], o.Fence)
}

// finish judges what shows only at the end and returns all verdicts.
func (l *ledger) finish() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.batches {
		if !b.refused {
			continue
		}
		for _, it := range b.Items {
			if known := l.items[it.ID]; len(known.jobs) == 1 && (known.finished || known.failures > 0) {
				l.breaks("REFUSED", "item %s of the refused job %s has run", it.ID, b.ID)
			}
		}
	}
	working, left := 0, 0
	for _, q := range l.requests {
		if q.left.IsZero() || q.runs == 0 || !l.calm(q.entry, q.sent, q.left.Add(goneLag)) {
			continue
		}
		left++
		if q.ended.IsZero() || q.ended.Sub(q.left) > goneLag {
			working++
		}
	}
	if left >= 4 && 4*working > left {
		l.breaks("GONE", "servers work on for %d of %d clients that have left", working, left)
	}
	return l.verdicts
}
