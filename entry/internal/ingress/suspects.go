package ingress

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/wire"
)

const (
	// earlyCrash is the time after the first byte of its answer within which the crash of a server is early. A request that
	// crashes its servers does so when it begins to run; one that runs for long outlives some of its servers by chance.
	earlyCrash = time.Second
	// earlyWeight and lateWeight are the weights of a crash, and blockWeight is the sum from which a request is blocked: after
	// three early crashes or six late ones.
	earlyWeight = 2
	lateWeight  = 1
	blockWeight = 6
	// minBlock is how long a request is blocked at first. After that it may be tried at one server; each crash of such a trial
	// multiplies the time by blockFactor, up to maxBlock.
	minBlock    = 5 * time.Second
	blockFactor = 30
	maxBlock    = 24 * time.Hour
	// aliveTime is the time after a broken connection within which an answer shows that its server has not crashed. A server
	// that has crashed is back after some seconds, at times under the same id.
	aliveTime = time.Second
	// suspectRetention is how long a request is remembered after it was last seen.
	suspectRetention = time.Hour
	// maxSuspects is the maximum number of requests tracked; the one that was last seen longest ago is dropped.
	maxSuspects = 4096
	// maxSnapshot is the maximum number of requests that an entry that has just started is told of.
	maxSnapshot = 256
	// maxCrashes is the maximum number of crashes kept for a request beside those of its trials.
	maxCrashes = 16
)

// Suspects tracks requests under which servers have crashed, at this entry or others. It blocks a request that crashes its
// servers, even if the client repeats it through different entries.
type Suspects struct {
	broadcast func(wire.Crash)
	tracked   atomic.Int64 // number of requests, so that answers need no lock while there is none

	mu     sync.Mutex
	seen   map[uint64]*suspect
	recent map[string]time.Time // by incarnation: the last crash, if it is not older than aliveTime
}

// suspect is a request under which servers have crashed.
type suspect struct {
	crashes []crash // in the order in which they became known
	seenAt  time.Time
	// trialUntil is until when a trial may run, here or at another entry; zero for none. settled is closed at its end.
	trialUntil time.Time
	settled    chan struct{}
}

// settle ends the trial of a request, if there is one.
func (v *suspect) settle() {
	if v.settled != nil {
		close(v.settled)
	}
	v.trialUntil, v.settled = time.Time{}, nil
}

// crash is a connection to a server that broke while the server handled a request.
type crash struct {
	server string // incarnation
	early  bool
	trial  bool // the run began after the request had been blocked
	at     time.Time
}

// weight returns what a crash adds to the sum from which a request is blocked.
func (c crash) weight() int {
	if c.early {
		return earlyWeight
	}
	return lateWeight
}

// run is the run of a request at a server.
type run struct {
	server    catalog.Server
	startedAt time.Time
	headAt    time.Time // when the answer began; zero if it did not
	endedAt   time.Time // when the connection broke
}

// incarnation identifies one start of a server; a server may start again under its id.
func incarnation(s catalog.Server) string {
	return s.ID + "@" + strconv.FormatInt(s.StartedAt, 10)
}

// NewSuspects returns an empty set. It calls broadcast to report local results to other entries; broadcast must not
// block.
func NewSuspects(broadcast func(wire.Crash)) *Suspects {
	return &Suspects{broadcast: broadcast, seen: make(map[uint64]*suspect), recent: make(map[string]time.Time)}
}

// Fingerprint returns a hash of the workspace, empty for none, the request URI and the body, which identifies a request at
// every entry. A workspace cannot have the requests of another one blocked.
func Fingerprint(workspace, uri string, body []byte) uint64 {
	d := xxhash.New()
	// Writes to a digest never fail.
	if workspace != "" {
		// A URI does not begin with a zero byte.
		_, _ = d.WriteString("\x00" + workspace + "\x00")
	}
	_, _ = d.WriteString(uri)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// RecordCrash records a connection that broke while its server handled the request, and reports it to other entries.
func (s *Suspects) RecordCrash(fingerprint uint64, r run, now time.Time) {
	c := wire.Crash{
		Print: fingerprint, Server: incarnation(r.server), Ran: now.Sub(r.startedAt).Milliseconds(),
		Early: r.headAt.IsZero() || r.endedAt.Sub(r.headAt) < earlyCrash,
	}
	c.Trial = s.addCrash(c, r.startedAt, now)
	s.broadcast(c)
}

// RecordResponse clears a request to which a server has responded completely: the crashes had another cause.
func (s *Suspects) RecordResponse(fingerprint uint64) {
	if s.tracked.Load() > 0 && s.remove(fingerprint) {
		s.broadcast(wire.Crash{Print: fingerprint, Answered: true})
	}
}

// RecordAnswer records that a server has begun to answer a request that was sent to it at the given time. It has not crashed
// shortly before, so that the connections that broke then, such as those of a server that resets some of all connections,
// say nothing about their requests.
func (s *Suspects) RecordAnswer(server catalog.Server, sentAt, now time.Time) {
	if s.tracked.Load() == 0 {
		return
	}
	name := incarnation(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.recent[name]; !ok || now.Sub(at) > aliveTime {
		return
	}
	for f, v := range s.seen {
		v.crashes = slices.DeleteFunc(v.crashes, func(c crash) bool {
			return c.server == name && c.at.Before(sentAt) && now.Sub(c.at) <= aliveTime
		})
		if len(v.crashes) == 0 {
			s.drop(f)
		}
	}
}

// ApplyRemote applies a result reported by another entry.
func (s *Suspects) ApplyRemote(c wire.Crash, now time.Time) {
	if c.Answered {
		s.remove(c.Print)
		return
	}
	s.addCrash(c, now.Add(-time.Duration(c.Ran)*time.Millisecond), now)
}

// SendSnapshot reports the crashes of the requests that were last seen again, for an entry that has just started.
func (s *Suspects) SendSnapshot(now time.Time) {
	for _, c := range s.snapshot(now) {
		s.broadcast(c)
	}
}

func (s *Suspects) snapshot(now time.Time) []wire.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := slices.SortedFunc(maps.Keys(s.seen), func(a, b uint64) int { return s.seen[b].seenAt.Compare(s.seen[a].seenAt) })
	var l []wire.Crash
	for _, f := range latest[:min(len(latest), maxSnapshot)] {
		for _, c := range s.seen[f].crashes {
			l = append(l, wire.Crash{Print: f, Server: c.server, Early: c.early, Trial: c.trial, Age: max(now.Sub(c.at).Milliseconds(), 1)})
		}
	}
	return l
}

// remove removes a request and reports whether it was tracked.
func (s *Suspects) remove(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.seen[fingerprint]
	s.drop(fingerprint)
	return ok
}

// drop removes a request; the caller holds mu.
func (s *Suspects) drop(fingerprint uint64) {
	if v := s.seen[fingerprint]; v != nil {
		v.settle()
	}
	delete(s.seen, fingerprint)
	s.tracked.Store(int64(len(s.seen)))
}

// addCrash adds a crash under a run that began at the given time, and reports whether that run was a trial.
func (s *Suspects) addCrash(c wire.Crash, startedAt, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.seen[c.Print]
	if v == nil || now.Sub(v.seenAt) > suspectRetention {
		s.makeRoom()
		v = &suspect{}
		s.seen[c.Print] = v
		s.tracked.Store(int64(len(s.seen)))
	}
	v.seenAt = now
	at := now.Add(-time.Duration(c.Age) * time.Millisecond)
	maps.DeleteFunc(s.recent, func(_ string, at time.Time) bool { return now.Sub(at) > aliveTime })
	s.recent[c.Server] = at
	for _, known := range v.crashes {
		// One crash breaks all runs of the request at its server, and is reported to a new entry by all others.
		if known.server == c.Server && (c.Age > 0 || !known.at.Before(startedAt)) {
			return known.trial
		}
	}
	blockedAt, isBlocked := v.blockedAt()
	trial := c.Trial || isBlocked && c.Age == 0 && startedAt.After(blockedAt)
	if len(v.crashes) < maxCrashes || trial {
		v.crashes = append(v.crashes, crash{server: c.Server, early: c.Early, trial: trial, at: at})
	}
	if trial {
		v.settle()
	}
	return trial
}

// makeRoom drops the request that was last seen longest ago if there are too many; the caller holds mu.
func (s *Suspects) makeRoom() {
	if len(s.seen) < maxSuspects {
		return
	}
	var oldest uint64
	var at time.Time
	for f, v := range s.seen {
		if at.IsZero() || v.seenAt.Before(at) {
			oldest, at = f, v.seenAt
		}
	}
	s.drop(oldest)
}

// verdict is what may happen to a request.
type verdict int

const (
	passes  verdict = iota // it may be sent to a server
	isTrial                // it may be sent to a server, if no trial is running at another entry
	waits                  // a trial is running, after which it may be asked again
	blocked                // it must not be sent
)

// admission says what may happen to a request.
type admission struct {
	verdict verdict
	wait    time.Duration   // until the block or the trial ends at the latest; 0 for the other verdicts
	settled <-chan struct{} // closed when the trial ends; nil for the other verdicts
}

// admit decides what may happen to a request that may take up to the given time. After a trial has been admitted, here or at
// another entry, equal requests wait for its end.
func (s *Suspects) admit(fingerprint uint64, most time.Duration, now time.Time) admission {
	if s.tracked.Load() == 0 {
		return admission{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.seen[fingerprint]
	if v == nil {
		return admission{}
	}
	v.seenAt = now
	until, isBlocked := v.blockedUntil()
	switch {
	case !isBlocked:
		return admission{}
	case now.Before(until):
		return admission{verdict: blocked, wait: until.Sub(now)}
	case now.Before(v.trialUntil):
		return admission{verdict: waits, wait: v.trialUntil.Sub(now), settled: v.settled}
	}
	v.settle()
	v.trialUntil, v.settled = now.Add(most), make(chan struct{})
	return admission{verdict: isTrial, settled: v.settled}
}

// EndTrial notes that the trial of a request has ended, whatever it has shown.
func (s *Suspects) EndTrial(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.seen[fingerprint]; v != nil {
		v.settle()
	}
}

// Blocked reports whether a request that has been admitted must not be sent to another server.
func (s *Suspects) Blocked(fingerprint uint64, now time.Time) bool {
	if s.tracked.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.seen[fingerprint]
	if v == nil {
		return false
	}
	until, isBlocked := v.blockedUntil()
	return isBlocked && now.Before(until)
}

// blockedAt returns when a request had crashed enough servers to be blocked, and whether it has.
func (v *suspect) blockedAt() (time.Time, bool) {
	weight := 0
	for _, c := range v.crashes {
		if weight += c.weight(); weight >= blockWeight {
			return c.at, true
		}
	}
	return time.Time{}, false
}

// blockedUntil returns until when a request is blocked, and whether it has crashed enough servers to be blocked at all. Servers
// that died at the same time are one reason to block it, not several.
func (v *suspect) blockedUntil() (time.Time, bool) {
	if _, isBlocked := v.blockedAt(); !isBlocked {
		return time.Time{}, false
	}
	trials := 0
	var last time.Time
	for _, c := range v.crashes {
		if c.trial {
			trials++
		}
		if c.at.After(last) {
			last = c.at
		}
	}
	block := float64(minBlock) * math.Pow(blockFactor, float64(trials))
	return last.Add(time.Duration(min(block, float64(maxBlock)))), true
}
