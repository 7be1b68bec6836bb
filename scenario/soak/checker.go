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
	// acceptLag is the time after a 202 within which an entry may not know the job yet.
	acceptLag = time.Second
	// minUndisturbed is how long an entry must have been undisturbed before rules with a time bound apply to it.
	minUndisturbed = 4 * time.Second
	// configLag is how long the previous configuration may be used after a new one was acknowledged.
	configLag = 2500 * time.Millisecond
	// drainLag is how long requests may still reach a server after it announced its drain.
	drainLag = 2500 * time.Millisecond
	// cancelLag is how long items may still reach servers after the end of their job was acknowledged.
	cancelLag = 3 * time.Second
	// closeRaceLimit is the time within which an entry may close an idle connection on which a request is in flight.
	closeRaceLimit = 200 * time.Millisecond
	// abandonLag is how long a server may go on working for a client that has disconnected, including scheduling delays of
	// the machine.
	abandonLag = 750 * time.Millisecond
	// maxItemAttempts is the route's limit on failed runs of an item.
	maxItemAttempts = 3
	// maxCrashes is the number of servers that a request may crash before entries reject it. Up to as many further crashes
	// are tolerated after that.
	maxCrashes = 3
	// maxRequestAttempts is the route's limit on servers that one request is sent to.
	maxRequestAttempts = 3
)

// request is a client's request to a plain route, with what its client and its servers saw of it.
type request struct {
	id           string
	unsafe       bool
	requestLine  string // method and request URI
	body         string
	route        string
	entry        int
	space        string // workspace of the client
	key          string
	spare        bool // the key comes and goes
	sentAt       time.Time
	runs         int
	responses    []string  // complete response bodies of servers
	status       int       // seen by the client; 0 for none yet, -1 for a lost connection
	abandonedAt  time.Time // when the client disconnected; zero if it did not
	cancelSeenAt time.Time // when a server noticed that
}

// disturbance is an interval in which a fault affected an entry or the store. It is in progress if to is zero.
type disturbance struct {
	from, to time.Time
	planned  bool // a stop by SIGTERM
}

// checker records what clients and servers see, and checks it against the rules.
type checker struct {
	start   time.Time
	entries int

	mu            sync.Mutex
	requests      map[string]*request
	items         map[string]*itemRecord
	jobs          map[string]*submittedJob
	sentEvents    map[string]bool         // data of all events that engines sent
	holders       map[string]string       // of the last order, by engine
	fencingTokens map[string]int64        // highest of the orders, by engine
	drainStarts   map[string]time.Time    // by server
	limits        map[string]*statedLimit // by server
	crashTimes    map[string][]time.Time  // server crashes, by body of the request
	excessCrashes map[string]int          // crashes that entries should have prevented, by body of the request
	configs       []appliedConfig
	usage         usageLog
	disturbances  map[int][]*disturbance // by index of the entry, or storeIndex
	violations    []string
	counts        map[string]int
}

// appliedConfig is a configuration with the time at which the store acknowledged it.
type appliedConfig struct {
	appliedAt time.Time
	services  map[string][]string // by route
	spares    map[string]bool     // spare keys that it holds
}

func newChecker(now time.Time) *checker {
	return &checker{
		start: now, requests: map[string]*request{}, items: map[string]*itemRecord{}, jobs: map[string]*submittedJob{},
		sentEvents: map[string]bool{}, holders: map[string]string{}, fencingTokens: map[string]int64{},
		drainStarts: map[string]time.Time{}, limits: map[string]*statedLimit{}, crashTimes: map[string][]time.Time{}, excessCrashes: map[string]int{},
		disturbances: map[int][]*disturbance{}, counts: map[string]int{}, usage: newUsageLog(),
	}
}

// report records the violation of a rule.
func (c *checker) report(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportLocked(rule, format, args...)
}

// reportLocked is report for callers that hold mu.
func (c *checker) reportLocked(rule, format string, args ...any) {
	c.violations = append(c.violations,
		fmt.Sprintf("%s at %.1f s: %s", rule, time.Since(c.start).Seconds(), fmt.Sprintf(format, args...)))
}

// storeIndex is the index of the store in checker.disturbances.
const storeIndex = -1

// disturb records that an entry or the store is disturbed until the returned function is called.
func (c *checker) disturb(entry int, planned bool) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &disturbance{from: time.Now(), planned: planned}
	c.disturbances[entry] = append(c.disturbances[entry], d)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		d.to = time.Now()
	}
}

// disturbedBetween reports whether an entry was disturbed at any time between from and to. Planned stops count only if
// planned is set. The caller holds mu.
func (c *checker) disturbedBetween(entry int, from, to time.Time, planned bool) bool {
	return slices.ContainsFunc(c.disturbances[entry], func(d *disturbance) bool {
		return (planned || !d.planned) && d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
	})
}

// undisturbed reports whether an entry was disturbed by nothing but planned stops between from and to. The caller holds mu.
func (c *checker) undisturbed(entry int, from, to time.Time) bool {
	return !c.disturbedBetween(entry, from, to, false)
}

// timeBoundsHold reports whether rules with a time bound apply to an entry between from and to: neither the entry nor the
// store was disturbed since minUndisturbed before from. The caller holds mu.
func (c *checker) timeBoundsHold(entry int, from, to time.Time) bool {
	return !c.disturbedBetween(entry, from.Add(-minUndisturbed), to, true) && !c.disturbedBetween(storeIndex, from.Add(-minUndisturbed), to, true)
}

// recordConfig records the service of each route and the spare keys from now on.
func (c *checker) recordConfig(services map[string][]string, spares map[string]bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configs = append(c.configs, appliedConfig{appliedAt: now, services: services, spares: spares})
}

// servicesSince returns the services of a route in all configurations in force after since, with an empty string for each
// configuration without the route. The caller holds mu.
func (c *checker) servicesSince(route string, since time.Time) []string {
	var services []string
	for i, cfg := range c.configs {
		if i+1 < len(c.configs) && c.configs[i+1].appliedAt.Before(since) {
			continue
		}
		if _, ok := cfg.services[route]; !ok {
			services = append(services, "")
		}
		services = append(services, cfg.services[route]...)
	}
	return services
}

// recordRequest records a request that is about to be sent.
func (c *checker) recordRequest(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[q.id] = q
	c.counts["requests"]++
}

// recordDrain records that a server has announced its drain.
func (c *checker) recordDrain(server string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainStarts[server] = now
}

// checkDrain checks that a request does not reach a server more than drainLag after the server announced its drain. The
// caller holds mu, and sets enforced if the entries that could send the request were undisturbed.
func (c *checker) checkDrain(id, server string, enforced bool, now time.Time) {
	if at, ok := c.drainStarts[server]; ok && now.Sub(at) > drainLag && enforced {
		c.reportLocked("DRAIN", "request %s reached server %s %s after it announced its drain", id, server, now.Sub(at))
	}
}

// recordRun records that a plain server began to run a request, and checks the run. It returns the number of runs of the
// request.
func (c *checker) recordRun(id, server, service, line, body string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.requests[id]
	if q == nil {
		c.reportLocked("UNASKED", "server ran request %q, which no client sent", id)
		return 0
	}
	q.runs++
	c.recordBegun(q, false, now)
	c.checkDrain(id, server, c.timeBoundsHold(q.entry, now.Add(-drainLag), now), now)
	if q.requestLine != line || q.body != body {
		c.reportLocked("UNASKED", "request %s reached a server changed, as %s %q", id, line, body)
	}
	since := c.start
	if c.timeBoundsHold(q.entry, q.sentAt.Add(-configLag), now) {
		since = q.sentAt.Add(-configLag)
	}
	if !slices.Contains(c.servicesSince(q.route, since), service) {
		c.reportLocked("ROUTE", "request %s of route %s ran on service %s", id, q.route, service)
	}
	c.checkKey(q, since)
	switch {
	case q.unsafe && q.runs > 1:
		c.reportLocked("TWICE", "unsafe request %s ran %d times", id, q.runs)
	case q.runs > maxRequestAttempts:
		c.reportLocked("BUDGET", "request %s ran %d times", id, q.runs)
	}
	return q.runs
}

// recordAbandon records that a client abandons its request.
func (c *checker) recordAbandon(q *request, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.abandonedAt = now
}

// recordCrash records that a request crashed a server, and checks that entries reject the request once it has crashed
// maxCrashes servers.
func (c *checker) recordCrash(body, id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashTimes[body] = append(c.crashTimes[body], now)
	c.counts["poisoned"]++
	q := c.requests[id]
	if n := len(c.crashTimes[body]); q != nil && n > maxCrashes && now.Sub(c.crashTimes[body][maxCrashes-1]) > minUndisturbed &&
		c.timeBoundsHold(q.entry, now, now) {
		if c.excessCrashes[body]++; c.excessCrashes[body] > maxCrashes {
			c.reportLocked("BUDGET", "request %s crashed server number %d", id, n)
		}
	}
}

// recordResponse records a complete response of a server.
func (c *checker) recordResponse(id, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.requests[id]; q != nil {
		q.responses = append(q.responses, body)
	}
}

// recordCancelSeen records that a server noticed that the client had disconnected.
func (c *checker) recordCancelSeen(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.requests[id]; q != nil {
		q.cancelSeenAt = now
	}
}

// checkResponse checks the response to a plain request.
func (c *checker) checkResponse(q *request, status int, signed bool, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.status = status
	c.counts["status "+strconv.Itoa(status)]++
	now := time.Now()
	switch status {
	case http.StatusOK:
		c.counts["served"]++
		if !signed || !slices.Contains(q.responses, body) {
			c.reportLocked("MIXED", "request %s got response %q, its servers sent %q", q.id, body, q.responses)
		}
	case http.StatusUnauthorized, http.StatusForbidden:
		c.checkDenied(q, now)
	case http.StatusNotFound:
		absent := slices.Contains(c.servicesSince(q.route, q.sentAt.Add(-configLag)), "")
		if !absent && (c.timeBoundsHold(q.entry, q.sentAt.Add(-configLag), now) || !slices.Contains(c.servicesSince(q.route, c.start), "")) {
			c.reportLocked("DENIED", "request %s of route %s got status 404", q.id, q.route)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if q.unsafe && q.runs > 0 {
			c.reportLocked("REFUSED", "request %s was rejected with status %d, but had run", q.id, status)
		}
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		c.reportLocked("DENIED", "request %s got unexpected status %d", q.id, status)
	}
}

// checkLostConnection checks a connection that was closed before the response to a request that had been sent.
func (c *checker) checkLostConnection(q *request, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.status = -1
	c.counts["lost"]++
	if c.undisturbed(q.entry, q.sentAt, now) && (q.runs > 0 || now.Sub(q.sentAt) > closeRaceLimit) {
		c.reportLocked("LOST", "connection of request %s to entry %d closed without a response after %s and %d runs", q.id, q.entry, now.Sub(q.sentAt), q.runs)
	}
}

// servedCounts returns how many finished requests were sent to the plain routes that every configuration has, and how many
// of them were served. Abandoned requests are left out.
func (c *checker) servedCounts() (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.requests {
		if q.route == "late" || q.spare || !q.abandonedAt.IsZero() || q.status == 0 {
			continue
		}
		sent++
		if q.status == http.StatusOK {
			served++
		}
	}
	return sent, served
}

// checkOrder checks that the orders to an engine have the same holder and fencing tokens that do not decrease.
func (c *checker) checkOrder(server string, o platform.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["orders"]++
	if h, ok := c.holders[server]; ok && h != o.Holder {
		c.reportLocked("ONE", "engine %s got orders of holders %s and %s", server, h, o.Holder)
	}
	if o.FencingToken < c.fencingTokens[server] {
		c.reportLocked("ONE", "engine %s got fencing token %d after %d", server, o.FencingToken, c.fencingTokens[server])
	}
	c.holders[server], c.fencingTokens[server] = o.Holder, max(c.fencingTokens[server], o.FencingToken)
}

// finish checks what can be checked only at the end of a run, and returns all violations.
func (c *checker) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sj := range c.jobs {
		if !sj.refused {
			continue
		}
		for _, it := range sj.Items {
			if known := c.items[it.ID]; len(known.jobs) == 1 && (known.finished || known.failures > 0) {
				c.reportLocked("REFUSED", "item %s of rejected job %s ran", it.ID, sj.ID)
			}
		}
	}
	stillWorking, abandoned := 0, 0
	for _, q := range c.requests {
		if q.abandonedAt.IsZero() || q.runs == 0 || !c.undisturbed(q.entry, q.sentAt, q.abandonedAt.Add(abandonLag)) {
			continue
		}
		abandoned++
		if q.cancelSeenAt.IsZero() || q.cancelSeenAt.Sub(q.abandonedAt) > abandonLag {
			stillWorking++
		}
	}
	if abandoned >= 4 && 4*stillWorking > abandoned {
		c.reportLocked("GONE", "servers went on working for %d of %d clients that had disconnected", stillWorking, abandoned)
	}
	return c.violations
}
