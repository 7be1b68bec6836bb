// Package ratelimit keeps requests within the rates that servers state as their limit.
//
// # Usage
//
//	l := ratelimit.New(logger)
//	l.Record(id, answer.Limit, sentAt, now) // for each answer of a server
//	if l.Allows(id, ratelimit.Live, 0, now) {
//		l.Take(id, ratelimit.Live, now) // for each request that is sent
//	} else {
//		wait := l.Reject(id, remaining, now) // for each request that is rejected: when to come back
//	}
//	for _, r := range l.TakeReports() { … } // to be sent to the other senders, which call Apply
//	l.Forget(id)                            // the incarnation of the server has ended
//
// A limit, in requests a second, applies to the requests of all senders together. Each sender counts its own requests and
// those that the others report in a leaky bucket that drains at the stated rate. Two senders may use the same free place
// before they hear of each other; the excess is paid back, as both requests drain before the next one is allowed. Senders
// that cannot hear all others use the part of the rate that SetShare returns.
//
// A limit holds until the server answers a request that was sent after the limit became known and states no limit any
// more, or until its incarnation ends.
package ratelimit

import (
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/event"
)

const (
	// burstTime is the time for which unused rate accumulates. A limit of less than one request in this time allows single
	// requests.
	burstTime = time.Second
	// minRate replaces lower rates. A server that states a rate of 0 must get a request now and then, because only an
	// answer shows that the limit has ended.
	minRate = 0.2
	// maxRate is the rate above which a limit is ignored.
	maxRate = 1e6
	// maxDebt is the time after which a server gets a request in any case. Places beyond that are not promised, and reports
	// of other senders do not add to it.
	maxDebt = time.Minute
	// endedRetention is the time after the end of a limit in which reports of senders that do not know of the end yet are
	// ignored.
	endedRetention = 2 * time.Second
	// optionalShare is the fraction of the bucket that optional requests may fill.
	optionalShare = 0.5
	// logRatio is the ratio of two rates from which a change of a limit is logged.
	logRatio = 1.25
)

// Priority is the priority of a request under a limit.
type Priority int

// Priorities, the highest first.
const (
	Live       Priority = iota // somebody waits for the answer
	Background                 // can wait; leaves places to the rejected live requests that will return
	Optional                   // improves something that also works without it, such as a hedge
)

// Report describes what a sender has observed of a limit and used of it since its last report.
type Report struct {
	Server   string
	Rate     float64 // requests a second
	Fresh    bool    // the server has just stated this rate
	Ended    bool    // the server states no limit any more
	Sent     int     // requests
	Promised int     // change of the number of rejected requests that are expected to return
	Level    float64 // requests of all senders that have not drained yet; only in snapshots
}

// Limiter holds the limits of servers and their use. It is safe for concurrent use.
type Limiter struct {
	logger  *slog.Logger
	inForce atomic.Int64 // number of limits in force, so that servers without one cost no lock

	mu         sync.Mutex
	share      func(now time.Time) float64
	limits     map[string]*limit // by server ID
	invalid    map[string]bool   // servers whose last stated limit was invalid, by ID
	unreported chan struct{}
}

// limit is the limit of one server and its use by all senders.
type limit struct {
	rate       float64 // stated rate, in requests a second
	loggedRate float64
	knownAt    time.Time // when the server's newest statement became known
	endedAt    time.Time // zero while the limit is in force

	level     float64 // requests that have not drained yet
	promised  float64 // rejected requests that are expected to return
	drainedAt time.Time

	report  Report // not taken yet
	changed bool   // report has changed
}

// New returns a Limiter that knows no limit and uses the whole rate of each.
func New(logger *slog.Logger) *Limiter {
	return &Limiter{
		logger: logger, share: func(time.Time) float64 { return 1 }, limits: make(map[string]*limit),
		invalid: make(map[string]bool), unreported: make(chan struct{}, 1),
	}
}

// SetShare sets the function that returns the part of each rate, from 0 to 1, that the senders which hear each other may use
// together. It must not call the Limiter.
func (l *Limiter) SetShare(share func(now time.Time) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
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
	k := l.active(id)
	if s.Stated && s.Rate <= maxRate {
		if k == nil || k.rate != s.Rate {
			k = l.set(id, s.Rate, now)
			k.report.Fresh = true
			l.changed(k)
		}
		k.knownAt = now
		return
	}
	if k == nil || !sentAt.After(k.knownAt) {
		return
	}
	l.end(id, k, now)
	k.report.Ended = true
	l.changed(k)
}

// active returns the limit of a server that is in force, or nil; the caller holds mu.
func (l *Limiter) active(id string) *limit {
	if k := l.limits[id]; k != nil && k.endedAt.IsZero() {
		return k
	}
	return nil
}

// set stores the rate of a server; the caller holds mu. A new limit starts with a full bucket, because the server has just
// received requests that were not counted. A changed one keeps the fill ratio of its bucket.
func (l *Limiter) set(id string, rate float64, now time.Time) *limit {
	k := l.active(id)
	if k == nil {
		k = &limit{rate: rate, knownAt: now, drainedAt: now, report: Report{Server: id}}
		k.level = k.capacity(l.share(now))
		l.limits[id] = k
		l.inForce.Add(1)
	} else {
		share := l.drain(k, now)
		former := k.capacity(share)
		k.rate = rate
		k.level *= k.capacity(share) / former
	}
	if k.loggedRate == 0 || max(rate, k.loggedRate) >= logRatio*min(rate, k.loggedRate) {
		k.loggedRate = rate
		event.LimitStated.Log(l.logger, "server", id, "rate", rate)
	}
	return k
}

// end marks the limit of a server as ended; the caller holds mu.
func (l *Limiter) end(id string, k *limit, now time.Time) {
	k.endedAt = now
	l.inForce.Add(-1)
	k.report = Report{Server: id}
	event.LimitEnded.Log(l.logger, "server", id, "rate", k.rate)
}

// changed marks the report of a limit as not taken; the caller holds mu.
func (l *Limiter) changed(k *limit) {
	k.changed = true
	select {
	case l.unreported <- struct{}{}:
	default:
	}
}

// perSecond returns the rate of a limit for senders with the given share of it.
func (k *limit) perSecond(share float64) float64 { return max(k.rate, minRate) * share }

// capacity returns the number of requests that may be sent at once after a pause.
func (k *limit) capacity(share float64) float64 {
	return max(k.perSecond(share)*burstTime.Seconds(), 1)
}

// drain drains the bucket of a limit up to now and returns the present share; the caller holds mu. Promised places drain
// once the bucket is empty, because nobody has returned for them.
func (l *Limiter) drain(k *limit, now time.Time) float64 {
	share := l.share(now)
	drained := max(now.Sub(k.drainedAt).Seconds(), 0) * k.perSecond(share)
	k.drainedAt = now
	k.promised = max(k.promised-max(drained-k.level, 0), 0)
	k.level = max(k.level-drained, 0)
	return share
}

// Allows reports whether a request may be sent to a server now. A background request leaves the reserve, a fraction of the
// bucket, to live ones.
func (l *Limiter) Allows(id string, p Priority, reserve float64, now time.Time) bool {
	if l.inForce.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.active(id)
	if k == nil {
		return true
	}
	capacity := k.capacity(l.drain(k, now))
	switch p {
	case Live:
		return k.level+1 <= capacity
	case Background:
		return k.level+k.promised+1 <= max((1-reserve)*capacity, 1)
	default:
		return k.level+k.promised+1 <= optionalShare*capacity
	}
}

// Take counts a request that is sent to a server.
func (l *Limiter) Take(id string, p Priority, now time.Time) {
	if l.inForce.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.active(id)
	if k == nil {
		return
	}
	l.drain(k, now)
	k.level++
	k.report.Sent++
	if p == Live && k.promised >= 1 {
		k.promised--
		k.report.Promised--
	}
	l.changed(k)
}

// Delay returns the time until a live request may be sent to a server after those that were rejected before it, and whether
// the server has a limit.
func (l *Limiter) Delay(id string, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.active(id)
	if k == nil {
		return 0, false
	}
	return l.delay(k, now), true
}

func (l *Limiter) delay(k *limit, now time.Time) time.Duration {
	share := l.drain(k, now)
	seconds := (k.level + k.promised + 1 - k.capacity(share)) / k.perSecond(share)
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

// Reject returns the time until a live request that is rejected may be sent to a server, after those rejected before it. It
// promises that place if the request can return within the given time.
func (l *Limiter) Reject(id string, within time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.active(id)
	if k == nil {
		return 0
	}
	wait := l.delay(k, now)
	if wait <= min(within, maxDebt) {
		k.promised++
		k.report.Promised++
		l.changed(k)
	}
	return wait
}

// Forget drops the limit of a server whose incarnation has ended.
func (l *Limiter) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active(id) != nil {
		l.inForce.Add(-1)
	}
	delete(l.limits, id)
	delete(l.invalid, id)
}

// Limited returns the number of servers with a limit.
func (l *Limiter) Limited() int { return int(l.inForce.Load()) }

// valid reports whether the numbers of a report are usable.
func (r Report) valid() bool {
	return r.Rate >= 0 && r.Rate <= maxRate && r.Sent >= 0 && r.Level >= 0 && !math.IsInf(r.Level, 0)
}
