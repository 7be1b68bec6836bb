package main

import (
	"context"
	"math/rand/v2"
	"time"

	"bulrushspoke/internal/call"
)

const (
	// limitWindow is the time over which the requests at a server with a limit are counted, and limitSettle the time after
	// its first statement from which they are checked.
	limitWindow = 4 * time.Second
	limitSettle = 4 * time.Second
	// limitNoticeLag is how long an entry may take to act on a limit that it has passed on.
	limitNoticeLag = 500 * time.Millisecond
	// limitFactor and limitSlack bound the requests in limitWindow, as a multiple of the limit and a number of requests.
	limitFactor = 1.5
	limitSlack  = 5
	// limitDuration is how long a server states a limit. It covers the time without faults.
	limitDuration = 13 * time.Second
	maxLimitDelay = 2 * time.Second // until the first limit of a run
	minLimitRate  = 2.0
	maxLimitRate  = 6.0
)

// statedLimit is a limit that one incarnation of a server has stated, and the requests that it got meanwhile.
type statedLimit struct {
	rate     float64
	from     time.Time
	ended    bool
	exceeded bool              // has been reported
	told     map[int]time.Time // when the first answer with the limit was sent, by entry
	arrivals []arrival
}

// arrival is a request of an entry that had passed on the limit.
type arrival struct {
	at    time.Time
	entry int
}

// limitServers makes a server of each plain service state a limit of its request rate for limitDuration. It has a source of
// its own, so that a seed stands for the same series of faults as without limits.
func (e *env) limitServers(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	pause(ctx, time.Duration(random.Float64()*float64(maxLimitDelay)))
	limited := make(map[string]*server)
	for _, s := range e.servers {
		if !s.engine && limited[s.service] == nil {
			limited[s.service] = s
			s.setLimit(call.Limit{Stated: true, Rate: minLimitRate + (maxLimitRate-minLimitRate)*random.Float64()})
		}
	}
	pause(ctx, limitDuration)
	for _, s := range limited {
		s.setLimit(call.Limit{})
	}
}

func (s *server) setLimit(l call.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = l
	s.recordLimit()
}

// recordLimit records the limit that the present incarnation states; the caller holds mu.
func (s *server) recordLimit() {
	if s.limit.Stated {
		s.env.checker.recordLimit(s.id, s.limit.Rate, time.Now())
	} else {
		s.env.checker.recordLimitEnded(s.id)
	}
}

// stated returns the limit that the server states, and records that the entry of a request learns it.
func (s *server) stated(request string) call.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit.Stated {
		s.env.checker.recordTold(request, s.id, time.Now())
	}
	return s.limit
}

// recordLimit records that a server states a limit from now on.
func (c *checker) recordLimit(server string, rate float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits[server] = &statedLimit{rate: rate, from: now, told: make(map[int]time.Time)}
	c.counts["limits"]++
}

// recordLimitEnded records that a server states no limit any more.
func (c *checker) recordLimitEnded(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.limits[server]; l != nil {
		l.ended = true
	}
}

// recordTold records that a server sends an answer with its limit to the entry of a request.
func (c *checker) recordTold(request, server string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, q := c.limits[server], c.requests[request]
	if l == nil || q == nil {
		return
	}
	if _, ok := l.told[q.entry]; !ok {
		l.told[q.entry] = now
	}
}

// recordArrival records that a request has reached a server, and checks the number of requests that it got from the entries
// that know its limit and were undisturbed.
func (c *checker) recordArrival(request, server string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, q := c.limits[server], c.requests[request]
	if l == nil || q == nil || l.ended {
		return
	}
	if told, ok := l.told[q.entry]; !ok || now.Sub(told) < limitNoticeLag {
		return
	}
	l.arrivals = append(l.arrivals, arrival{at: now, entry: q.entry})
	if now.Sub(l.from) < limitSettle {
		return
	}
	c.counts["limited"]++
	n := 0
	for _, a := range l.arrivals {
		if now.Sub(a.at) < limitWindow && !c.disturbedBetween(a.entry, now.Add(-limitWindow), now, true) {
			n++
		}
	}
	if allowed := limitFactor*l.rate*limitWindow.Seconds() + limitSlack; float64(n) > allowed && !l.exceeded {
		l.exceeded = true
		c.reportLocked("LIMIT", "server %s with a limit of %.1f a second got %d requests in %s, allowed are %.1f", server, l.rate, n,
			limitWindow, allowed)
	}
}
