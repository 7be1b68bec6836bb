// Package balance selects the server for each request: a client-side load balancer with outlier ejection.
//
// # Usage
//
//	f := balance.NewFleet("nord", balance.Defaults())
//	f.Sync(now, servers)
//	p := balance.NewPowerOfTwo(f, rand.New(rand.NewPCG(seed, 0)))
//	id, verdict := p.Pick(now, balance.Ask{Tokens: 200}) // id is balance.None unless verdict is balance.Found
//	f.Start(now, id, 200, false)
//	f.Progress(now, id, 8, gap, false)
//	f.End(now, id, 192, false)
//
// The package does no I/O: it starts no goroutines, reads no clock and draws random numbers only from the given source,
// so the same seed and the same sequence of calls give the same selections. It is not safe for concurrent use.
// One Fleet holds the servers of one model or plain service. Costs are in seconds and load is in tokens.
package balance

import (
	"hash/fnv"
	"slices"
	"time"
)

// ID identifies a server within a fleet. It stays valid while the server is listed or has requests in flight.
type ID int32

// None is returned in place of an ID if there is no such server.
const None ID = -1

// Server describes a server that requests can be sent to.
type Server struct {
	Name     string
	Region   string
	Slots    int   // requests that the server runs concurrently
	Version  int64 // weight version, 0 for plain services
	Usable   bool  // connected, up and not shutting down
	Reported int   // running and queued requests according to the last load report; used only by LeastReported
}

// Settings are the parameters of server selection and outlier ejection.
type Settings struct {
	// MinRegionSaving is the least reduction of the predicted cost, in seconds, for which a request is sent to another
	// region, because traffic between regions is billed.
	MinRegionSaving float64
	// SpilloverShare is the fraction of a server's slots occupied by live requests of this process from which live
	// requests may spill over to another region; above it live requests start to queue. SpilloverMargin is how much
	// lower this fraction must be on the server of the other region.
	SpilloverShare  float64
	SpilloverMargin float64
	// LiveCap and TrainCap bound the requests that this process has in flight on a server, in multiples of its slots.
	// The bound for training is lower, so that the daemon's queue always has room for live requests.
	LiveCap  float64
	TrainCap float64
	// PrefillCost is the cost of computing one prompt token as a fraction of the cost of generating one token.
	PrefillCost float64
	// EjectFactor is the multiple of the fleet's median time per token above which a server is ejected.
	EjectFactor float64
	// MinKeptShare is the fraction of the usable servers that always stays in use.
	MinKeptShare float64
	// EjectionTime is how long an ejected server gets no new requests. It doubles, up to MaxEjectionTime, each time the
	// server is found slow again.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
}

// Defaults returns the production settings.
func Defaults() Settings {
	return Settings{
		MinRegionSaving: 0.5,
		SpilloverShare:  0.6,
		SpilloverMargin: 0.3,
		LiveCap:         4,
		TrainCap:        2,
		PrefillCost:     0.1,
		EjectFactor:     3,
		MinKeptShare:    0.5,
		EjectionTime:    time.Second,
		MaxEjectionTime: 4 * time.Second,
	}
}

const (
	// initialTokenTime is the time per token, in seconds, that is assumed before the first observation.
	initialTokenTime = 0.02
	// averageTokens is the number of tokens at which one observation gets half of the weight in the moving average.
	averageTokens = 32
	// The time since a server's last progress is divided by the larger of minSilentTokens and the tokens of
	// minSilentReports average progress reports, so that the usual gap between two reports does not count as slowness.
	minSilentTokens  = 8
	minSilentReports = 2
	// maxObservationFactor bounds a single observation, in multiples of the time per token at which a server is ejected:
	// a stream that was preempted and resumed reports one token after a long gap, which does not reflect the server's
	// speed.
	maxObservationFactor = 2
	// reportWeight is the weight of the newest progress report in the moving average of tokens per report.
	reportWeight = 1.0 / 64
	// sweepInterval is the minimum time between two checks for outliers.
	sweepInterval = 100 * time.Millisecond
	// minObservedTokens is the number of observed tokens that is needed to eject a server for its average time per token.
	minObservedTokens = 16
	// probationTokens is the number of observed tokens after which a readmitted server leaves probation, even if it is
	// somewhat slow.
	probationTokens = 128
	// readmitFactor bounds the time per token of a readmitted server, in multiples of the median: the server is tried
	// again, but not preferred.
	readmitFactor = 2
	// maxDoublings bounds how often the ejection time is doubled.
	maxDoublings = 8
	// trainWeight is the weight of outstanding training tokens in the cost of a live request.
	trainWeight = 0.05
	// recoveredFactor is the multiple of the median time per token below which a server counts as recovered. An ejection
	// ends early if the requests still in flight progress that fast.
	recoveredFactor = 1.5
)

type state struct {
	server       Server
	listed       bool
	inflight     int
	liveInflight int     // live requests in flight
	liveTokens   float64 // predicted tokens of live requests that were not produced yet
	trainTokens  float64 // the same for training requests
	tokenTime    float64 // moving average of the seconds per token
	observed     int     // tokens since the server was added, ejected or readmitted
	lastProgress int64   // Unix nanoseconds of the last progress, or of the start of the first request in flight
	ejectedUntil int64   // Unix nanoseconds; 0 if not ejected
	soloRank     uint64  // hash of the name; solo requests go to the highest rank, which is the same in all processes
	soloInflight int     // solo requests in flight
	ejections    int     // since the server last recovered
	probation    bool    // readmitted after its ejection time: one request at a time until it has recovered
}

// Fleet holds the servers of one model or plain service, with their load and observed speed. Load counts only the
// requests of this process.
type Fleet struct {
	region          string
	settings        Settings
	states          []state
	byName          map[string]ID
	freeIDs         []ID
	local           []ID
	remote          []ID
	medianTokenTime float64
	reportTokens    float64 // moving average of the tokens of one progress report
	lastSweep       int64
	tokenTimes      []float64
	outliers        []ID
}

// NewFleet returns an empty fleet; servers in region count as local.
func NewFleet(region string, settings Settings) *Fleet {
	return &Fleet{region: region, settings: settings, byName: make(map[string]ID), medianTokenTime: initialTokenTime}
}

// Sync replaces the list of servers. Servers that stay in the list keep their load and observations.
func (f *Fleet) Sync(now time.Time, servers []Server) {
	for i := range f.states {
		f.states[i].listed = false
	}
	f.local, f.remote = f.local[:0], f.remote[:0]
	for _, s := range servers {
		id, ok := f.byName[s.Name]
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
	for name, id := range f.byName {
		if e := &f.states[id]; !e.listed && e.inflight == 0 {
			delete(f.byName, name)
			f.freeIDs = append(f.freeIDs, id)
		}
	}
	// Map iteration order is random; sorting keeps the assignment of IDs reproducible.
	slices.Sort(f.freeIDs)
}

func (f *Fleet) add(now time.Time, name string) ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	e := state{tokenTime: f.medianTokenTime, lastProgress: now.UnixNano(), soloRank: h.Sum64()}
	if n := len(f.freeIDs); n > 0 {
		id := f.freeIDs[n-1]
		f.freeIDs = f.freeIDs[:n-1]
		f.states[id] = e
		f.byName[name] = id
		return id
	}
	id := ID(len(f.states))
	f.states = append(f.states, e)
	f.byName[name] = id
	return id
}

// Find returns the ID of the server with the given name, or None.
func (f *Fleet) Find(name string) ID {
	if id, ok := f.byName[name]; ok {
		return id
	}
	return None
}

// Server returns the description of a server.
func (f *Fleet) Server(id ID) Server { return f.states[id].server }

// Inflight returns the number of requests that this process has in flight on the server.
func (f *Fleet) Inflight(id ID) int { return f.states[id].inflight }

// Ejected reports whether the server is ejected as an outlier.
func (f *Fleet) Ejected(now time.Time, id ID) bool { return f.states[id].ejectedUntil > now.UnixNano() }

// TokenTime returns the moving average of the server's seconds per token.
func (f *Fleet) TokenTime(id ID) float64 { return f.states[id].tokenTime }

// MedianTokenTime returns the median seconds per token of the fleet.
func (f *Fleet) MedianTokenTime() float64 { return f.medianTokenTime }

// Start records that a request with the given number of predicted tokens was sent; train is true for training requests.
func (f *Fleet) Start(now time.Time, id ID, tokens int, train bool) {
	e := &f.states[id]
	if e.inflight == 0 {
		e.lastProgress = now.UnixNano()
	}
	e.inflight++
	if !train {
		e.liveInflight++
	}
	*e.outstanding(train) += float64(max(tokens, 1))
}

// Solo records that a solo request, one that must run alone on its server, was sent to the server or has ended. Other
// requests avoid the server in the meantime.
func (f *Fleet) Solo(id ID, begins bool) {
	if begins {
		f.states[id].soloInflight++
		return
	}
	f.states[id].soloInflight--
}

// outstanding returns the counter of outstanding tokens of a class.
func (e *state) outstanding(train bool) *float64 {
	if train {
		return &e.trainTokens
	}
	return &e.liveTokens
}

// deduct subtracts tokens from the outstanding tokens of a class.
func (e *state) deduct(tokens int, train bool) {
	o := e.outstanding(train)
	*o = max(0, *o-float64(tokens))
}

// Progress records that a request produced tokens within gap. With a gap of 0 the time per token is not updated; this is
// used for the first tokens of training requests, whose wait in the daemon's queue is intended.
func (f *Fleet) Progress(now time.Time, id ID, tokens int, gap time.Duration, train bool) {
	if tokens <= 0 {
		return
	}
	e := &f.states[id]
	e.lastProgress = now.UnixNano()
	e.deduct(tokens, train)
	e.observed += tokens
	f.reportTokens += reportWeight * (float64(tokens) - f.reportTokens)
	if gap > 0 {
		weight := float64(tokens) / float64(tokens+averageTokens)
		tokenTime := min(gap.Seconds()/float64(tokens), maxObservationFactor*f.settings.EjectFactor*f.medianTokenTime)
		e.tokenTime += weight * (tokenTime - e.tokenTime)
	}
	f.sweep(now)
}

// End records the end of a request; left is the number of its predicted tokens that it has not produced.
func (f *Fleet) End(_ time.Time, id ID, left int, train bool) {
	e := &f.states[id]
	e.inflight--
	if !train {
		e.liveInflight--
	}
	e.deduct(max(left, 0), train)
	if e.inflight == 0 {
		e.liveTokens, e.trainTokens = 0, 0
	}
}

// SetReportedLoad records the number of requests in a load report of the server.
func (f *Fleet) SetReportedLoad(id ID, load int) { f.states[id].server.Reported = load }

// stallTime returns the time per token that is assumed for a server from the time since its last progress; 0 if no
// requests are in flight.
func (f *Fleet) stallTime(e *state, now int64) float64 {
	if e.inflight == 0 {
		return 0
	}
	return float64(now-e.lastProgress) / (max(minSilentTokens, minSilentReports*f.reportTokens) * 1e9)
}

// worstTime returns the larger of the observed time per token and the one assumed from missing progress.
func (f *Fleet) worstTime(e *state, now int64) float64 { return max(e.tokenTime, f.stallTime(e, now)) }

// cost returns the predicted seconds until a request is finished. Live requests preempt training requests, so outstanding
// training tokens hardly delay them; counted in full, they would hide which servers are loaded with live requests.
func (f *Fleet) cost(e *state, now int64, a *Request) float64 {
	train := e.trainTokens
	if !a.Train {
		train *= trainWeight
	}
	return (e.liveTokens + train + float64(a.Tokens)) * f.worstTime(e, now) / float64(max(e.server.Slots, 1))
}

// utilization returns the requests of this process that request a would have to wait for, as a fraction of the server's
// slots.
func (e *state) utilization(a *Request) float64 {
	n := e.liveInflight
	if a.Train {
		n = e.inflight
	}
	return float64(n) / float64(max(e.server.Slots, 1))
}

// sweep updates the median time per token, ejects outliers and readmits servers, at most once per sweepInterval.
func (f *Fleet) sweep(now time.Time) {
	n := now.UnixNano()
	if n-f.lastSweep < int64(sweepInterval) {
		return
	}
	f.lastSweep = n
	f.tokenTimes = f.tokenTimes[:0]
	for _, ids := range [2][]ID{f.local, f.remote} {
		for _, id := range ids {
			if e := &f.states[id]; e.observed > 0 {
				f.tokenTimes = append(f.tokenTimes, f.worstTime(e, n))
			}
		}
	}
	if len(f.tokenTimes) == 0 {
		return
	}
	slices.Sort(f.tokenTimes)
	f.medianTokenTime = f.tokenTimes[(len(f.tokenTimes)-1)/2]
	f.ejectOutliers(n)
}

// ejectOutliers readmits recovered servers and ejects outliers, slowest first, as far as MinKeptShare allows.
func (f *Fleet) ejectOutliers(now int64) {
	f.outliers = f.outliers[:0]
	ejected := 0
	for _, ids := range [2][]ID{f.local, f.remote} {
		for _, id := range ids {
			e := &f.states[id]
			f.readmit(e, now)
			if e.ejectedUntil != 0 {
				ejected++
			} else if f.isOutlier(e, now) {
				f.outliers = append(f.outliers, id)
			}
		}
	}
	usable := len(f.local) + len(f.remote)
	room := int(float64(usable)*(1-f.settings.MinKeptShare)) - ejected
	slices.SortFunc(f.outliers, func(a, b ID) int {
		x, y := f.worstTime(&f.states[a], now), f.worstTime(&f.states[b], now)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return int(a - b)
		}
	})
	for _, id := range f.outliers[:max(0, min(room, len(f.outliers)))] {
		e := &f.states[id]
		e.ejectedUntil = now + int64(min(f.settings.MaxEjectionTime, f.settings.EjectionTime<<min(e.ejections, maxDoublings)))
		e.ejections++
		e.observed = 0
		e.probation = false
	}
}

func (f *Fleet) isOutlier(e *state, now int64) bool {
	limit := f.settings.EjectFactor * f.medianTokenTime
	if f.stallTime(e, now) > limit {
		return true
	}
	return e.observed >= minObservedTokens && e.tokenTime > limit
}

// readmit ends an ejection after its time, or earlier if the requests in flight show that the server has recovered. After
// the ejection time the old average no longer reflects the server's speed, so it is bounded and the server is put on
// probation. For servers that are not ejected, it ends the probation once they have recovered.
func (f *Fleet) readmit(e *state, now int64) {
	if e.ejectedUntil == 0 {
		recovered := e.observed >= minObservedTokens && f.worstTime(e, now) < recoveredFactor*f.medianTokenTime
		if recovered || e.observed >= probationTokens {
			e.probation, e.ejections = false, 0
		}
		return
	}
	recovered := e.observed >= minObservedTokens && f.worstTime(e, now) < recoveredFactor*f.medianTokenTime
	if now < e.ejectedUntil && !recovered {
		return
	}
	if !recovered {
		e.tokenTime = min(e.tokenTime, readmitFactor*f.medianTokenTime)
		e.observed = 0
		e.lastProgress = now
		e.probation = true
	}
	e.ejectedUntil = 0
}
