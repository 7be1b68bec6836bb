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
	// lateDeviations is the number of mean deviations beyond the mean after which a first token is late.
	lateDeviations = 4
	// lateClip bounds an observation, in means; the estimate still follows when all answers become late.
	lateClip = 3
	// lateSamples is the number of observations before the estimate is used.
	lateSamples = 20
	// latencyWeight is the weight of a new observation of the first token's latency.
	latencyWeight = 1.0 / 16
	// lengthWeight is the weight of a new observation of an answer's length.
	lengthWeight = 1.0 / 16
	// tokenBytes is the mean number of bytes of a prompt token.
	tokenBytes = 4
	// forcedRefresh bounds how often jobs without a server make the list of candidates be read again.
	forcedRefresh = 2 * time.Millisecond
	// pollEvery is how often waiting work looks for servers that have appeared; it grows by itself with each pollShare
	// of waiting jobs, so that a whole step that waits does not take up the entry.
	pollEvery = 250 * time.Millisecond
	pollShare = 64
)

type routeKey struct {
	kind  string
	model string
}

// route is what the dispatcher knows of the servers of one model; the dispatcher's lock guards it.
type route struct {
	fleet   *balance.Fleet
	policy  *balance.Paced
	places  map[balance.ID]Candidate
	synced  time.Time
	waiters []chan struct{}
	list    []Candidate        // as the pool gave it last
	lengths map[string]float64 // part of the largest answer that is used, by profile
	first   map[string]*latency
}

// latency estimates the time until the first token of one class, since training waits far longer than live work.
type latency struct {
	mean   float64 // seconds
	spread float64 // mean deviation in seconds
	count  int
}

// lease is the place of one attempt on a server.
type lease struct {
	dispatcher *Dispatcher
	route      *route
	id         balance.ID
	place      Candidate
	owed       int
	last       time.Time
	began      time.Time
	class      string
	solo       bool
	first      bool
	ended      bool
}

func (d *Dispatcher) route(kind, model string) *route {
	k := routeKey{kind: kind, model: model}
	r, ok := d.routes[k]
	if !ok {
		f := balance.NewFleet(d.region, balance.Defaults())
		r = &route{
			fleet:   f,
			policy:  balance.NewPaced(f, d.random),
			places:  make(map[balance.ID]Candidate),
			lengths: make(map[string]float64),
			first:   make(map[string]*latency),
		}
		d.routes[k] = r
	}
	return r
}

// sync takes the list of candidates from the pool if the present one is too old.
func (d *Dispatcher) sync(now time.Time, kind, model string, force bool) *route {
	r := d.route(kind, model)
	age := d.settings.Refresh
	if force {
		age = forcedRefresh
	}
	if !r.synced.IsZero() && now.Sub(r.synced) < age {
		return r
	}
	r.synced = now
	candidates := d.pool.Candidates(kind, model)
	if same(candidates, r.list) {
		return r
	}
	r.list = candidates
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
	r.fleet.Sync(now, servers)
	clear(r.places)
	for _, c := range candidates {
		r.places[r.fleet.Find(c.Server.Name)] = c
	}
	return r
}

// same reports whether two lists are one; the pool returns the same list while nothing has changed.
func same(a, b []Candidate) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// place chooses a server and takes a place on it.
func (d *Dispatcher) place(now time.Time, w *wire.Work, owed int, except []string, fresh bool) (*lease, balance.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kind, model := target(w)
	r := d.sync(now, kind, model, fresh)
	a := balance.Ask{
		Tokens: owed,
		Prefix: len(w.Prompt)/tokenBytes + len(w.Held),
		Floor:  w.Floor,
		Train:  w.Class == Train,
		Solo:   w.Solo,
	}
	if w.Group != "" {
		a.Group = xxhash.Sum64String(w.Group)
	}
	for _, name := range except {
		if id := r.fleet.Find(name); id != balance.None {
			a.Except = append(a.Except, id)
		}
	}
	id, verdict := r.policy.Pick(now, a)
	if verdict != balance.Found {
		return nil, verdict
	}
	r.fleet.Start(now, id, owed, a.Train)
	if w.Solo {
		r.fleet.Solo(id, true)
	}
	return &lease{
		dispatcher: d, route: r, id: id, place: r.places[id], owed: owed, began: now, last: now, class: w.Class, solo: w.Solo,
	}, verdict
}

// progress records tokens of the attempt.
func (l *lease) progress(now time.Time, tokens int) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.ended {
		return
	}
	gap := now.Sub(l.last)
	if !l.first {
		l.first = true
		l.route.latency(l.class).observe(now.Sub(l.began).Seconds())
		if l.class == Train {
			gap = 0
		}
	}
	l.route.fleet.Progress(now, l.id, tokens, gap, l.class == Train)
	l.owed -= tokens
	l.last = now
}

// end gives the place back and wakes one waiting job.
func (l *lease) end(now time.Time) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.route.fleet.End(now, l.id, l.owed, l.class == Train)
	if l.solo {
		l.route.fleet.Solo(l.id, false)
	}
	l.route.wake()
}

// slow reports whether a stream with the given seconds per token is an outlier among the servers of its model.
func (l *lease) slow(pace float64) bool {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return pace > balance.Defaults().EjectFactor*l.route.fleet.Typical()
}

// linked reports whether the daemon of the attempt can be reached.
func (l *lease) linked(now time.Time) bool {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sync(now, l.place.Server.Kind, l.place.Server.Model, false)
	return l.route.places[l.id].Linked
}

// late returns the silence after which the attempt counts as late.
func (l *lease) late() time.Duration {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	e := l.route.latency(l.class)
	if e.count < lateSamples {
		return d.settings.HedgeFirst
	}
	limit := time.Duration((e.mean + lateDeviations*e.spread) * float64(time.Second))
	return max(d.settings.HedgeAfter, limit)
}

func (r *route) latency(class string) *latency {
	e, ok := r.first[class]
	if !ok {
		e = &latency{}
		r.first[class] = e
	}
	return e
}

func (e *latency) observe(seconds float64) {
	e.count++
	if e.count == 1 {
		e.mean, e.spread = seconds, seconds/2
		return
	}
	// A few very late answers must not raise the limit that detects them.
	seconds = min(seconds, lateClip*e.mean)
	e.spread += latencyWeight * (math.Abs(seconds-e.mean) - e.spread)
	e.mean += latencyWeight * (seconds - e.mean)
}

func (r *route) wake() {
	if len(r.waiters) == 0 {
		return
	}
	close(r.waiters[0])
	r.waiters = r.waiters[1:]
}

// await waits until a place was given back or it is time to look for new servers.
func (d *Dispatcher) await(ctx context.Context, w *wire.Work) error {
	ch := make(chan struct{})
	d.mu.Lock()
	r := d.route(target(w))
	r.waiters = append(r.waiters, ch)
	poll := time.Duration(1+len(r.waiters)/pollShare) * pollEvery
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
	if i := slices.Index(r.waiters, ch); i >= 0 {
		r.waiters = slices.Delete(r.waiters, i, i+1)
	} else if ctx.Err() != nil {
		// The wake-up came too late for this job; another one takes it.
		r.wake()
	}
	return ctx.Err()
}

// predict returns the expected number of tokens of an answer.
func (d *Dispatcher) predict(w *wire.Work) int {
	if w.Call != nil {
		return 1
	}
	if w.Predicted > 0 {
		return w.Predicted
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	part, ok := d.route(target(w)).lengths[w.Profile]
	if !ok {
		part = 1
	}
	return max(1, int(part*float64(w.Max)))
}

// learn records the length of a finished answer.
func (d *Dispatcher) learn(w *wire.Work, tokens int) {
	if w.Max <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	lengths := d.route(target(w)).lengths
	part, ok := lengths[w.Profile]
	if !ok {
		part = 1
	}
	lengths[w.Profile] = part + lengthWeight*(float64(tokens)/float64(w.Max)-part)
}

func target(w *wire.Work) (kind, model string) {
	if w.Call != nil {
		return Service, w.Model
	}
	return Engine, w.Model
}

// Mark fills in what the dispatcher knows of upstreams: own attempts in flight and ejection.
func (d *Dispatcher) Mark(now time.Time, upstreams []wire.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range upstreams {
		u := &upstreams[i]
		r, ok := d.routes[routeKey{kind: u.Server.Kind, model: u.Server.Model}]
		if !ok {
			continue
		}
		if id := r.fleet.Find(u.Server.Name); id != balance.None {
			u.Inflight = r.fleet.Inflight(id)
			u.Ejected = r.fleet.Ejected(now, id)
		}
	}
}

// Place is a place on a server, taken for work that another package sends.
type Place struct {
	Candidate
	lease *lease
}

// End gives the place back; done tells whether the server answered.
func (p *Place) End(now time.Time, done bool) {
	if done {
		p.lease.progress(now, 1)
	}
	p.lease.end(now)
}

// Choose takes a place for w on a server that skip does not exclude. Its error is a *refusal.Error, not run.
func (d *Dispatcher) Choose(now time.Time, w *wire.Work, skip func(Candidate) bool) (*Place, error) {
	var except []string
	d.mu.Lock()
	for _, c := range d.sync(now, Service, w.Model, false).places {
		if skip(c) {
			except = append(except, c.Server.Name)
		}
	}
	d.mu.Unlock()
	l, verdict := d.place(now, w, 1, except, false)
	if l == nil {
		l, verdict = d.place(now, w, 1, except, true)
	}
	if l == nil {
		r := run{d: d, work: *w, ran: refusal.NotRun}
		return nil, r.none(verdict)
	}
	d.sent()
	return &Place{Candidate: l.place, lease: l}, nil
}

// Attempt returns a new attempt identifier.
func (d *Dispatcher) Attempt(now time.Time) string { return d.attempt(now) }
