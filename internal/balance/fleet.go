// Package balance decides which server a request is sent to.
//
// # Usage
//
//	f := balance.NewFleet("nord", balance.Defaults())
//	f.Sync(now, servers)
//	p := balance.NewPaced(f, rand.New(rand.NewPCG(seed, 0)))
//	id, verdict := p.Pick(now, balance.Ask{Tokens: 200})
//	f.Start(now, id, 200, false)
//	f.Progress(now, id, 8, gap, false)
//	f.End(now, id, 192, false)
//
// The package only decides: it starts no goroutine, reads no clock and draws random numbers from the given source,
// so that a run with the same seed and the same calls gives the same choices. It is not safe for concurrent use.
// One Fleet holds the servers of one model or plain service.
package balance

import (
	"hash/fnv"
	"slices"
	"time"
)

// ID names a server of a fleet. It stays valid while the server is listed or has requests in flight.
type ID int32

// None is the ID of no server.
const None ID = -1

// Server is one candidate.
type Server struct {
	Name     string
	Region   string
	Slots    int   // requests that it runs at once
	Version  int64 // weight version, 0 for plain services
	Usable   bool  // linked, up and not leaving
	Reported int   // running and waiting requests of its last report; only the baseline LeastReported reads it
}

// Settings are the constants of the decisions.
type Settings struct {
	// Cross is the wait in seconds that another region must save before the billed link is used.
	Cross float64
	// Crowded is the part of a server's slots that own live requests may take before live work looks at another region;
	// above it live work begins to wait. Relief is how much less of its slots a server there must have taken.
	Crowded float64
	Relief  float64
	// LiveCap and TrainCap bound the own requests in flight on a server, in multiples of its slots. Training stops
	// earlier, so that live work always finds room in the daemon's queue.
	LiveCap  float64
	TrainCap float64
	// PrefixCost is the cost of computing one prompt token, as a part of the cost of generating one.
	PrefixCost float64
	// EjectFactor ejects a server whose time per token is this many times the median.
	EjectFactor float64
	// Stay is the part of the usable servers that is never ejected.
	Stay float64
	// Pause is how long an ejected server gets no new work. It doubles up to MaxPause each time that the server is found
	// slow again.
	Pause    time.Duration
	MaxPause time.Duration
}

// Defaults returns the settings for production.
func Defaults() Settings {
	return Settings{
		Cross:       0.5,
		Crowded:     0.6,
		Relief:      0.3,
		LiveCap:     4,
		TrainCap:    2,
		PrefixCost:  0.1,
		EjectFactor: 3,
		Stay:        0.5,
		Pause:       time.Second,
		MaxPause:    4 * time.Second,
	}
}

const (
	// firstPace is the time per token in seconds that is assumed before anything was observed.
	firstPace = 0.02
	// paceMemory is the number of tokens after which an observation has half of the weight in the average.
	paceMemory = 32
	// quietTokens is the least number of tokens that a server may owe before its silence counts as slowness, and
	// quietBursts the least number of progress reports.
	quietTokens = 8
	quietBursts = 2
	// outlierFactor bounds one observation, in units of the pace that ejects a server: a stream that was preempted and
	// resumed brings a single token after a long gap, which says nothing about the server.
	outlierFactor = 2
	// burstWeight is the weight of a new observation of the tokens of one progress report.
	burstWeight = 1.0 / 64
	// sweepEvery is the pause between two searches for outliers.
	sweepEvery = 100 * time.Millisecond
	// minEvidence is the number of observed tokens before a server may be ejected for its average.
	minEvidence = 16
	// fullEvidence is the number of observed tokens after which a server that came back and was not ejected again takes
	// its full share, even if it is somewhat slow.
	fullEvidence = 128
	// reentryFactor sets the time per token after a pause, in medians: the server is tried again, but not preferred.
	reentryFactor = 2
	// maxStrikes bounds the doubling of the pause.
	maxStrikes = 8
	// yieldWeight is the weight of outstanding training tokens in the choice for live work.
	yieldWeight = 0.05
	// calmFactor ends a pause early once streams still in flight progress faster than this many medians.
	calmFactor = 1.5
)

type state struct {
	server   Server
	listed   bool
	inflight int
	urgent   int     // live requests among them
	live     float64 // outstanding tokens of own live requests
	train    float64 // outstanding tokens of own training requests
	pace     float64 // seconds per token
	evidence int     // tokens observed since the server joined or came back
	last     int64   // last progress in Unix nanoseconds, or the start of the first request in flight
	until    int64   // end of the ejection in Unix nanoseconds, 0 if not ejected
	rank     uint64  // order in which servers are taken for solo requests, the same in every process
	solos    int     // own solo requests in flight
	strikes  int     // ejections since the server was last found normal
	probing  bool    // back after a pause: one request at a time until there is evidence
}

// Fleet holds the servers of one model with what was observed of them.
type Fleet struct {
	region   string
	settings Settings
	states   []state
	names    map[string]ID
	free     []ID
	local    []ID
	remote   []ID
	typical  float64
	burst    float64 // tokens of one progress report, averaged
	swept    int64
	scratch  []float64
	slow     []ID
}

// NewFleet returns an empty fleet as seen from region.
func NewFleet(region string, settings Settings) *Fleet {
	return &Fleet{region: region, settings: settings, names: make(map[string]ID), typical: firstPace}
}

// Sync replaces the list of servers; what was observed of servers that stay is kept.
func (f *Fleet) Sync(now time.Time, servers []Server) {
	for i := range f.states {
		f.states[i].listed = false
	}
	f.local, f.remote = f.local[:0], f.remote[:0]
	for _, s := range servers {
		id, ok := f.names[s.Name]
		if !ok {
			id = f.add(now, s.Name)
		}
		e := &f.states[id]
		if ok {
			s.Reported = e.server.Reported
		}
		e.server, e.listed = s, true
		switch {
		case !s.Usable:
		case s.Region == f.region:
			f.local = append(f.local, id)
		default:
			f.remote = append(f.remote, id)
		}
	}
	for name, id := range f.names {
		if e := &f.states[id]; !e.listed && e.inflight == 0 {
			delete(f.names, name)
			f.free = append(f.free, id)
		}
	}
	// The order of a map is random; a fixed order keeps the choices reproducible.
	slices.Sort(f.free)
}

func (f *Fleet) add(now time.Time, name string) ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	e := state{pace: f.typical, last: now.UnixNano(), rank: h.Sum64()}
	if n := len(f.free); n > 0 {
		id := f.free[n-1]
		f.free = f.free[:n-1]
		f.states[id] = e
		f.names[name] = id
		return id
	}
	id := ID(len(f.states))
	f.states = append(f.states, e)
	f.names[name] = id
	return id
}

// Find returns the ID of a server, or None.
func (f *Fleet) Find(name string) ID {
	if id, ok := f.names[name]; ok {
		return id
	}
	return None
}

// Server returns the server with the given ID.
func (f *Fleet) Server(id ID) Server { return f.states[id].server }

// Inflight returns the number of own requests on the server.
func (f *Fleet) Inflight(id ID) int { return f.states[id].inflight }

// Ejected reports whether the server gets no new work because it is an outlier.
func (f *Fleet) Ejected(now time.Time, id ID) bool { return f.states[id].until > now.UnixNano() }

// Pace returns the observed seconds per token of the server.
func (f *Fleet) Pace(id ID) float64 { return f.states[id].pace }

// Typical returns the median seconds per token of the fleet.
func (f *Fleet) Typical() float64 { return f.typical }

// Start records a request of the given predicted tokens; train tells its class.
func (f *Fleet) Start(now time.Time, id ID, tokens int, train bool) {
	e := &f.states[id]
	if e.inflight == 0 {
		e.last = now.UnixNano()
	}
	e.inflight++
	if !train {
		e.urgent++
	}
	*e.owed(train) += float64(max(tokens, 1))
}

// Solo records that a request which must run alone is sent to the server, or has ended. Other requests avoid the server
// meanwhile.
func (f *Fleet) Solo(id ID, begins bool) {
	if begins {
		f.states[id].solos++
		return
	}
	f.states[id].solos--
}

// owed returns the outstanding tokens of a class.
func (e *state) owed(train bool) *float64 {
	if train {
		return &e.train
	}
	return &e.live
}

// pay takes tokens off what is outstanding.
func (e *state) pay(tokens int, train bool) {
	o := e.owed(train)
	*o = max(0, *o-float64(tokens))
}

// Progress records tokens that a request produced within gap; a gap of 0 tells nothing about the pace, as for the first
// tokens of training work, which waits in the daemon's queue on purpose.
func (f *Fleet) Progress(now time.Time, id ID, tokens int, gap time.Duration, train bool) {
	if tokens <= 0 {
		return
	}
	e := &f.states[id]
	e.last = now.UnixNano()
	e.pay(tokens, train)
	e.evidence += tokens
	f.burst += burstWeight * (float64(tokens) - f.burst)
	if gap > 0 {
		weight := float64(tokens) / float64(tokens+paceMemory)
		pace := min(gap.Seconds()/float64(tokens), outlierFactor*f.settings.EjectFactor*f.typical)
		e.pace += weight * (pace - e.pace)
	}
	f.sweep(now)
}

// End records the end of a request that still owed left tokens.
func (f *Fleet) End(_ time.Time, id ID, left int, train bool) {
	e := &f.states[id]
	e.inflight--
	if !train {
		e.urgent--
	}
	e.pay(max(left, 0), train)
	if e.inflight == 0 {
		e.live, e.train = 0, 0
	}
}

// Report records the number of requests that a server said it has.
func (f *Fleet) Report(id ID, load int) { f.states[id].server.Reported = load }

// silence returns the time per token that the silence of a server with requests in flight means.
func (f *Fleet) silence(e *state, now int64) float64 {
	if e.inflight == 0 {
		return 0
	}
	return float64(now-e.last) / (max(quietTokens, quietBursts*f.burst) * 1e9)
}

// effective returns the time per token, with silence counted as slowness.
func (f *Fleet) effective(e *state, now int64) float64 { return max(e.pace, f.silence(e, now)) }

// cost returns the predicted seconds until a request is finished. Live work pushes training out, so the training that is
// outstanding hardly delays it; counted in full, it would hide where live work piles up.
func (f *Fleet) cost(e *state, now int64, a *Ask) float64 {
	train := e.train
	if !a.Train {
		train *= yieldWeight
	}
	return (e.live + train + float64(a.Tokens)) * f.effective(e, now) / float64(max(e.server.Slots, 1))
}

// crowding returns the part of the server's slots that own requests take which the request asked for must wait for.
func (e *state) crowding(a *Ask) float64 {
	n := e.urgent
	if a.Train {
		n = e.inflight
	}
	return float64(n) / float64(max(e.server.Slots, 1))
}

// sweep ejects outliers, slowest first, and takes servers back whose streams progress normally again.
func (f *Fleet) sweep(now time.Time) {
	n := now.UnixNano()
	if n-f.swept < int64(sweepEvery) {
		return
	}
	f.swept = n
	f.scratch = f.scratch[:0]
	for _, ids := range [2][]ID{f.local, f.remote} {
		for _, id := range ids {
			if e := &f.states[id]; e.evidence > 0 {
				f.scratch = append(f.scratch, f.effective(e, n))
			}
		}
	}
	if len(f.scratch) == 0 {
		return
	}
	slices.Sort(f.scratch)
	f.typical = f.scratch[(len(f.scratch)-1)/2]
	f.eject(n)
}

func (f *Fleet) eject(now int64) {
	f.slow = f.slow[:0]
	out := 0
	for _, ids := range [2][]ID{f.local, f.remote} {
		for _, id := range ids {
			e := &f.states[id]
			f.readmit(e, now)
			if e.until != 0 {
				out++
			} else if f.outlier(e, now) {
				f.slow = append(f.slow, id)
			}
		}
	}
	usable := len(f.local) + len(f.remote)
	room := int(float64(usable)*(1-f.settings.Stay)) - out
	slices.SortFunc(f.slow, func(a, b ID) int {
		x, y := f.effective(&f.states[a], now), f.effective(&f.states[b], now)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return int(a - b)
		}
	})
	for _, id := range f.slow[:max(0, min(room, len(f.slow)))] {
		e := &f.states[id]
		e.until = now + int64(min(f.settings.MaxPause, f.settings.Pause<<min(e.strikes, maxStrikes)))
		e.strikes++
		e.evidence = 0
		e.probing = false
	}
}

func (f *Fleet) outlier(e *state, now int64) bool {
	limit := f.settings.EjectFactor * f.typical
	if f.silence(e, now) > limit {
		return true
	}
	return e.evidence >= minEvidence && e.pace > limit
}

// readmit ends an ejection after its pause, or earlier on evidence from streams in flight. After the pause the old
// average says nothing about the present, so it is replaced.
func (f *Fleet) readmit(e *state, now int64) {
	if e.until == 0 {
		calm := e.evidence >= minEvidence && f.effective(e, now) < calmFactor*f.typical
		if calm || e.evidence >= fullEvidence {
			e.probing, e.strikes = false, 0
		}
		return
	}
	calm := e.evidence >= minEvidence && f.effective(e, now) < calmFactor*f.typical
	if now < e.until && !calm {
		return
	}
	if !calm {
		e.pace = min(e.pace, reentryFactor*f.typical)
		e.evidence = 0
		e.last = now
		e.probing = true
	}
	e.until = 0
}
