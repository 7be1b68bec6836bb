// Package ratelimit keeps track of the request rates that servers state as their limit.
//
// # Usage
//
//	l := ratelimit.New(logger)
//	l.Record(id, answer.Limit, sentAt, now) // for each answer of a server
//	l.Forget(id)                            // the incarnation of the server has ended
//
// A limit applies to the requests of all senders together. It holds until the server answers a request that was sent after
// the limit became known and states no limit any more, or until its incarnation ends.
package ratelimit

import (
	"log/slog"
	"sync"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/event"
)

// logRatio is the ratio of two rates from which a change of a limit is logged.
const logRatio = 1.25

// Limiter holds the limits of servers. It is safe for concurrent use.
type Limiter struct {
	logger *slog.Logger

	mu      sync.Mutex
	limits  map[string]*limit // by server ID
	invalid map[string]bool   // servers whose last stated limit was invalid, by ID
}

// limit is the limit of one server.
type limit struct {
	rate       float64 // stated rate, in requests a second
	loggedRate float64
	knownAt    time.Time // when the server's newest statement became known
}

// New returns a Limiter that knows no limit.
func New(logger *slog.Logger) *Limiter {
	return &Limiter{logger: logger, limits: make(map[string]*limit), invalid: make(map[string]bool)}
}

// Record applies what a server states in its answer to a request that was sent at the given time. An invalid value leaves
// the known limit in force.
func (l *Limiter) Record(id string, s call.Limit, sentAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Invalid {
		if !l.invalid[id] {
			event.LimitInvalid.Log(l.logger, "server", id)
		}
		l.invalid[id] = true
		return
	}
	delete(l.invalid, id)
	known := l.limits[id]
	if s.Stated {
		l.set(id, s.Rate, now)
		return
	}
	if known == nil || !sentAt.After(known.knownAt) {
		return
	}
	delete(l.limits, id)
	event.LimitEnded.Log(l.logger, "server", id, "rate", known.rate)
}

// set stores the limit of a server; the caller holds mu.
func (l *Limiter) set(id string, rate float64, now time.Time) {
	k := l.limits[id]
	if k == nil {
		k = &limit{}
		l.limits[id] = k
	}
	k.rate, k.knownAt = rate, now
	if k.loggedRate == 0 || max(rate, k.loggedRate) >= logRatio*min(rate, k.loggedRate) {
		k.loggedRate = rate
		event.LimitStated.Log(l.logger, "server", id, "rate", rate)
	}
}

// Forget drops the limit of a server whose incarnation has ended.
func (l *Limiter) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.limits, id)
	delete(l.invalid, id)
}

// Limited returns the number of servers with a limit.
func (l *Limiter) Limited() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits)
}
