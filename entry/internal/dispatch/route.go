package dispatch

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/internal/balance"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

const (
	// lateDeviations is the number of mean deviations above the mean after which a first token is late.
	lateDeviations = 4
	// maxObservationMeans clamps an observation, in multiples of the mean. The estimate still follows when all answers
	// become late.
	maxObservationMeans = 3
	// minObservations is the number of observations before the latency estimate is used.
	minObservations = 20
	// latencyWeight is the weight of a new observation in the first-token latency estimate.
	latencyWeight = 1.0 / 16
	// lengthWeight is the weight of a new observation in the answer length estimate.
	lengthWeight = 1.0 / 16
	// bytesPerToken is the mean size of a prompt token.
	bytesPerToken = 4
	// forcedRefreshInterval is the shortest interval at which jobs without a server can force a refresh of the
	// candidates.
	forcedRefreshInterval = 2 * time.Millisecond
	// pollInterval is how often waiting jobs look for new servers. The interval grows by this amount for each
	// waitersPerInterval waiting jobs, so that a whole step that waits does not overload the entry.
	pollInterval       = 250 * time.Millisecond
	waitersPerInterval = 64
)

type serverSetKey struct {
	kind  string
	model string
}

// serverSet holds what the dispatcher knows of the servers of one model or plain service. It is guarded by
// Dispatcher.mu.
type serverSet struct {
	fleet        *balance.Fleet
	policy       *balance.PowerOfTwo
	candidates   map[balance.ID]Candidate
	refreshedAt  time.Time
	waiters      []chan struct{}
	listed       []Candidate         // as last returned by the pool
	lengthRatios map[string]float64  // mean answer length as a fraction of the maximum, by profile
	firstToken   map[string]*latency // by class
}

// latency estimates the time to the first token. It is kept per class, since training waits far longer than live work.
type latency struct {
	mean      float64 // seconds
	deviation float64 // mean deviation in seconds
	count     int
}

// lease is the capacity reserved on a server for one attempt.
type lease struct {
	dispatcher   *Dispatcher
	servers      *serverSet
	id           balance.ID
	candidate    Candidate
	remaining    int // expected tokens still to come
	lastProgress time.Time
	started      time.Time
	class        string
	solo         bool
	gotFirst     bool
	ended        bool
}

func (d *Dispatcher) serverSet(kind, model string) *serverSet {
	k := serverSetKey{kind: kind, model: model}
	s, ok := d.serverSets[k]
	if !ok {
		f := balance.NewFleet(d.region, balance.Defaults())
		s = &serverSet{
			fleet:        f,
			policy:       balance.NewPowerOfTwo(f, d.random),
			candidates:   make(map[balance.ID]Candidate),
			lengthRatios: make(map[string]float64),
			firstToken:   make(map[string]*latency),
		}
		d.serverSets[k] = s
	}
	return s
}

// refreshServers reads the list of candidates from the pool if the cached one is too old. The caller holds d.mu.
func (d *Dispatcher) refreshServers(now time.Time, kind, model string, force bool) *serverSet {
	s := d.serverSet(kind, model)
	age := d.settings.CandidateMaxAge
	if force {
		age = forcedRefreshInterval
	}
	if !s.refreshedAt.IsZero() && now.Sub(s.refreshedAt) < age {
		return s
	}
	s.refreshedAt = now
	candidates := d.pool.Candidates(kind, model)
	if sameList(candidates, s.listed) {
		return s
	}
	s.listed = candidates
	servers := make([]balance.Server, 0, len(candidates))
	for _, c := range candidates {
		servers = append(servers, balance.Server{
			Name:    c.Server.Name,
			Region:  c.Region,
			Slots:   c.Server.Slots,
			Version: c.Server.Version,
			Usable:  c.Linked && c.Server.Up && !c.Leaving,
		})
	}
	s.fleet.Sync(now, servers)
	clear(s.candidates)
	for _, c := range candidates {
		s.candidates[s.fleet.Find(c.Server.Name)] = c
	}
	return s
}

// sameList reports whether a and b are the same slice; the pool returns the same one while nothing has changed.
func sameList(a, b []Candidate) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// acquire chooses a server for w and reserves capacity on it.
func (d *Dispatcher) acquire(now time.Time, w *wire.Work, tokens int, except []string, force bool) (*lease, balance.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kind, model := target(w)
	s := d.refreshServers(now, kind, model, force)
	a := balance.Request{
		Tokens:       tokens,
		PrefixTokens: len(w.Prompt)/bytesPerToken + len(w.Held),
		MinVersion:   w.Floor,
		Train:        w.Class == Train,
		Solo:         w.Solo,
	}
	if w.Group != "" {
		a.Group = xxhash.Sum64String(w.Group)
	}
	for _, name := range except {
		if id := s.fleet.Find(name); id != balance.None {
			a.Exclude = append(a.Exclude, id)
		}
	}
	id, verdict := s.policy.Pick(now, a)
	if verdict != balance.Found {
		return nil, verdict
	}
	s.fleet.Start(now, id, tokens, a.Train)
	if w.Solo {
		s.fleet.Solo(id, true)
	}
	return &lease{
		dispatcher: d, servers: s, id: id, candidate: s.candidates[id], remaining: tokens,
		started: now, lastProgress: now, class: w.Class, solo: w.Solo,
	}, verdict
}

// recordProgress records tokens received from the attempt.
func (l *lease) recordProgress(now time.Time, tokens int) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.ended {
		return
	}
	gap := now.Sub(l.lastProgress)
	if !l.gotFirst {
		l.gotFirst = true
		l.servers.latency(l.class).observe(now.Sub(l.started).Seconds())
		if l.class == Train {
			gap = 0
		}
	}
	l.servers.fleet.Progress(now, l.id, tokens, gap, l.class == Train)
	l.remaining -= tokens
	l.lastProgress = now
}

// release returns the capacity and wakes one waiting job.
func (l *lease) release(now time.Time) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.servers.fleet.End(now, l.id, l.remaining, l.class == Train)
	if l.solo {
		l.servers.fleet.Solo(l.id, false)
	}
	l.servers.wakeOne()
}

// slow reports whether a stream with the given time per token is an outlier among the servers of its model.
func (l *lease) slow(secondsPerToken float64) bool {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return secondsPerToken > balance.Defaults().EjectFactor*l.servers.fleet.MedianTokenTime()
}

// linked reports whether the entry has a link to the daemon of the attempt.
func (l *lease) linked(now time.Time) bool {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshServers(now, l.candidate.Server.Kind, l.candidate.Server.Model, false)
	return l.servers.candidates[l.id].Linked
}

// lateAfter returns the silence after which the attempt counts as late.
func (l *lease) lateAfter() time.Duration {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	e := l.servers.latency(l.class)
	if e.count < minObservations {
		return d.settings.InitialHedgeDelay
	}
	limit := time.Duration((e.mean + lateDeviations*e.deviation) * float64(time.Second))
	return max(d.settings.MinHedgeDelay, limit)
}

func (s *serverSet) latency(class string) *latency {
	e, ok := s.firstToken[class]
	if !ok {
		e = &latency{}
		s.firstToken[class] = e
	}
	return e
}

func (e *latency) observe(seconds float64) {
	e.count++
	if e.count == 1 {
		e.mean, e.deviation = seconds, seconds/2
		return
	}
	// Clamped so that a few very late answers do not raise the limit that detects them.
	seconds = min(seconds, maxObservationMeans*e.mean)
	e.deviation += latencyWeight * (math.Abs(seconds-e.mean) - e.deviation)
	e.mean += latencyWeight * (seconds - e.mean)
}

func (s *serverSet) wakeOne() {
	if len(s.waiters) == 0 {
		return
	}
	close(s.waiters[0])
	s.waiters = s.waiters[1:]
}

// waitForRelease waits until capacity is released or it is time to look for new servers.
func (d *Dispatcher) waitForRelease(ctx context.Context, w *wire.Work) error {
	ch := make(chan struct{})
	d.mu.Lock()
	s := d.serverSet(target(w))
	s.waiters = append(s.waiters, ch)
	poll := time.Duration(1+len(s.waiters)/waitersPerInterval) * pollInterval
	d.mu.Unlock()
	t := time.NewTimer(poll)
	defer t.Stop()
	select {
	case <-ch:
		return ctx.Err()
	case <-t.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(s.waiters, ch); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	} else if ctx.Err() != nil {
		// The job was woken but its context is done, so another waiting job is woken.
		s.wakeOne()
	}
	return ctx.Err()
}

// predictTokens returns the expected number of tokens of an answer.
func (d *Dispatcher) predictTokens(w *wire.Work) int {
	if w.Call != nil {
		return 1
	}
	if w.Predicted > 0 {
		return w.Predicted
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ratio, ok := d.serverSet(target(w)).lengthRatios[w.Profile]
	if !ok {
		ratio = 1
	}
	return max(1, int(ratio*float64(w.Max)))
}

// recordLength records the length of a finished answer for later predictions.
func (d *Dispatcher) recordLength(w *wire.Work, tokens int) {
	if w.Max <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	lengths := d.serverSet(target(w)).lengthRatios
	ratio, ok := lengths[w.Profile]
	if !ok {
		ratio = 1
	}
	lengths[w.Profile] = ratio + lengthWeight*(float64(tokens)/float64(w.Max)-ratio)
}

func target(w *wire.Work) (kind, model string) {
	if w.Call != nil {
		return Service, w.Model
	}
	return Engine, w.Model
}

// FillUpstreams sets the fields of upstreams that the dispatcher knows: attempts of this entry in flight, and ejection.
func (d *Dispatcher) FillUpstreams(now time.Time, upstreams []wire.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range upstreams {
		u := &upstreams[i]
		s, ok := d.serverSets[serverSetKey{kind: u.Server.Kind, model: u.Server.Model}]
		if !ok {
			continue
		}
		if id := s.fleet.Find(u.Server.Name); id != balance.None {
			u.Inflight = s.fleet.Inflight(id)
			u.Ejected = s.fleet.Ejected(now, id)
		}
	}
}

// Reservation is capacity reserved on a server for work that another package sends.
type Reservation struct {
	Candidate
	lease *lease
}

// Release releases the capacity. Done tells whether the server answered.
func (p *Reservation) Release(now time.Time, done bool) {
	if done {
		p.lease.recordProgress(now, 1)
	}
	p.lease.release(now)
}

// Acquire reserves capacity for w on a server for which skip returns false. Its error is a *refusal.Error with NotRun.
func (d *Dispatcher) Acquire(now time.Time, w *wire.Work, skip func(Candidate) bool) (*Reservation, error) {
	var except []string
	d.mu.Lock()
	for _, c := range d.refreshServers(now, Service, w.Model, false).candidates {
		if skip(c) {
			except = append(except, c.Server.Name)
		}
	}
	d.mu.Unlock()
	l, verdict := d.acquire(now, w, 1, except, false)
	if l == nil {
		l, verdict = d.acquire(now, w, 1, except, true)
	}
	if l == nil {
		r := jobRun{d: d, work: *w, ran: refusal.NotRun}
		return nil, r.noServer(verdict)
	}
	d.countAttempt()
	return &Reservation{Candidate: l.candidate, lease: l}, nil
}

// NewAttemptID returns a new attempt identifier.
func (d *Dispatcher) NewAttemptID(now time.Time) string { return d.newAttemptID(now) }
