// Package rollout keeps the engine on this instance at the weight versions that trainers publish.
//
// # Usage
//
//	r := rollout.New(rollout.Options{Engine: engine, Catalog: catalog, …})
//	err := r.Run(ctx)
//
// Only this daemon sends load orders to its engine, so no lease is needed. The fencing token is the highest store revision
// of a version that the daemon has read; a restarted daemon reads it again. Each order is conditional on the number of
// orders that the engine has accepted, so a delayed order has no effect.
package rollout

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/platform"
)

const (
	// loadPollInterval is the time between two status requests during a load. They stay on the instance and cost nothing.
	loadPollInterval = 150 * time.Millisecond
	// retryInterval is the pause after an order or status request that failed.
	retryInterval = 400 * time.Millisecond
	// idlePollInterval is the time between two status requests while a load waits until the engine is idle.
	idlePollInterval = 250 * time.Millisecond
	// idleLoadDelay is the least time between the publication of a version and its load on an engine that can still serve
	// steps with its present version: a step begins at the publication and needs all engines for its first items.
	idleLoadDelay = time.Second
	// idleOccupancy is the fraction of its slots up to which an engine without waiting requests counts as idle.
	idleOccupancy = 0.6
	// checkInterval is the time between two checks that the engine still has its versions, as it may be replaced.
	checkInterval = 5 * time.Second
	// relistInterval is the time between two reads of the server list while it does not contain the current incarnation
	// of this engine. After an outage, servers reappear in the list within about two seconds.
	relistInterval = time.Second
)

// Engine reports its state and accepts load orders.
type Engine interface {
	Report(ctx context.Context) (platform.Report, error)
	LoadVersion(ctx context.Context, o platform.Order) (platform.OrderOutcome, string, error)
}

// Options configure a Rollout.
type Options struct {
	Name    string // of this daemon, sent as the holder of its orders
	Address string // of the engine, as in the server list
	Service string
	Engine  Engine
	Catalog *catalog.Catalog
	Servers func(ctx context.Context) ([]catalog.Server, error) // the server list, at most seconds old
	Logger  *slog.Logger
}

// Rollout sends load orders to one engine.
type Rollout struct {
	Options
	server    string // incarnation of the engine; empty if unknown
	servers   []catalog.Server
	listedAt  time.Time // when the server list was last read
	listStale bool      // the server list does not contain the current incarnation of this engine
	fence     int64
	models    []string               // assigned to the engine; empty before the first decision
	planned   map[string]plannedLoad // by model
	cadences  map[string]*cadence    // by model
	loading   *load
	loadTime  time.Duration // duration of the shortest load so far; 0 before the first
}

// plannedLoad is the planned load of a version; its time is zero if the engine skips the version.
type plannedLoad struct {
	version  int
	at       time.Time
	whenIdle bool // only while the engine is idle
}

// load is a load in progress.
type load struct {
	model     string
	version   int
	startedAt time.Time
}

// New returns a Rollout.
func New(o Options) *Rollout {
	return &Rollout{Options: o, planned: make(map[string]plannedLoad), cadences: make(map[string]*cadence)}
}

// Run sends load orders until ctx is done.
func (r *Rollout) Run(ctx context.Context) error {
	seen := int64(0)
	for ctx.Err() == nil {
		changed := r.Catalog.Changed()
		published := r.Catalog.Versions()
		now := time.Now()
		if newest := r.relevantRevision(published); newest != seen || r.listStale && now.Sub(r.listedAt) >= relistInterval {
			r.refreshServers(ctx, now)
			seen = newest
		}
		wait := checkInterval
		if len(published) > 0 {
			wait = r.reconcile(ctx, published, time.Now())
		}
		if r.listStale {
			wait = min(wait, relistInterval)
		}
		t := time.NewTimer(wait)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return ctx.Err()
}

func highestRevision(l []catalog.Version) int64 {
	var n int64
	for _, v := range l {
		n = max(n, v.Revision)
	}
	return n
}

// relevantRevision returns the highest revision of the versions that this engine may have to load: those of its models, or
// of all models while none are assigned to it.
func (r *Rollout) relevantRevision(published []catalog.Version) int64 {
	if len(r.models) == 0 {
		return highestRevision(published)
	}
	var own []catalog.Version
	for _, v := range published {
		if slices.Contains(r.models, v.Model) {
			own = append(own, v)
		}
	}
	return highestRevision(own)
}

// refreshServers reads the server list, which determines the models of this engine.
func (r *Rollout) refreshServers(ctx context.Context, now time.Time) {
	r.listedAt = now
	list, err := r.Servers(ctx)
	if err != nil {
		return // logged by the client; the last list stays in use
	}
	before := addresses(r.servers)
	r.servers, r.listStale = nil, true
	for _, s := range catalog.DropSuperseded(list) {
		if s.Service == r.Service && !s.Draining {
			r.servers = append(r.servers, s)
		}
		if s.Address == r.Address {
			r.server, r.listStale = s.ID, false
		}
	}
	if !slices.Equal(before, addresses(r.servers)) {
		clear(r.planned)
	}
}

// addresses returns the sorted addresses of servers.
func addresses(servers []catalog.Server) []string {
	l := make([]string, 0, len(servers))
	for _, s := range servers {
		l = append(l, s.Address)
	}
	slices.Sort(l)
	return l
}

// reconcile sends at most one order and returns how long to wait before the next call.
func (r *Rollout) reconcile(ctx context.Context, published []catalog.Version, now time.Time) time.Duration {
	report, err := r.Engine.Report(ctx)
	if err != nil {
		event.EngineSilent.Log(r.Logger, "cause", err.Error())
		return retryInterval
	}
	if report.Busy {
		return loadPollInterval
	}
	r.finishLoad(report, now)
	if len(report.Versions) == 0 {
		return checkInterval
	}
	v := newView(published, r.servers, r.Address, report.Versions)
	r.updateModels(v)
	r.observeVersions(published, now)
	wait := checkInterval
	for _, n := range published {
		if have, ok := report.Versions[n.Model]; !ok || have >= n.Number || !v.serves(v.self, n.Model) {
			continue
		}
		planned, ok := r.schedule(v, n, now)
		if !ok {
			continue
		}
		if left := planned.at.Sub(now); left > 0 {
			wait = min(wait, left)
			continue
		}
		if planned.whenIdle && !r.isIdle(report) {
			wait = min(wait, idlePollInterval)
			continue
		}
		r.fence = max(r.fence, highestRevision(published))
		return r.order(ctx, n, report, now)
	}
	return wait
}

// updateModels stores the models that are assigned to the engine and logs a change.
func (r *Rollout) updateModels(v view) {
	if m := v.assigned[v.self]; !slices.Equal(m, r.models) {
		event.EngineModelsAssigned.Log(r.Logger, "models", m, "before", r.models, "engines", len(v.engines))
		r.models = m
	}
}

// observeVersions records when versions are published.
func (r *Rollout) observeVersions(published []catalog.Version, now time.Time) {
	for _, n := range published {
		c := r.cadences[n.Model]
		if c == nil {
			c = &cadence{}
			r.cadences[n.Model] = c
		}
		c.observe(n.Number, now)
	}
}

// isIdle reports whether the engine has few enough requests to load a version that is not urgent.
func (r *Rollout) isIdle(report platform.Report) bool {
	slots := 0
	for _, s := range r.servers {
		if s.ID == r.server {
			slots = s.Slots
		}
	}
	return report.Waiting == 0 && float64(report.Running) <= idleOccupancy*float64(slots)
}

// schedule returns when this engine is to load a version; false if it skips the version.
func (r *Rollout) schedule(v view, n catalog.Version, now time.Time) (plannedLoad, bool) {
	overdue := r.cadences[n.Model].overdue(now)
	if s, ok := r.planned[n.Model]; ok && s.version == n.Number && (!s.at.IsZero() || !overdue) {
		return s, !s.at.IsZero()
	}
	t := v.turnFor(n.Model)
	if !t.load && overdue {
		t = turn{load: true, whenIdle: true}
	}
	s := plannedLoad{version: n.Number, whenIdle: t.whenIdle}
	if t.load {
		took := r.loadTime
		if took == 0 {
			took = defaultLoadTime
		}
		s.at = t.startTime(now, took)
	}
	r.planned[n.Model] = s
	return s, t.load
}

// finishLoad logs and measures a load that has ended.
func (r *Rollout) finishLoad(report platform.Report, now time.Time) {
	if r.loading == nil {
		return
	}
	took := now.Sub(r.loading.startedAt)
	reached := report.Versions[r.loading.model]
	event.OrderDone.Log(r.Logger, "model", r.loading.model, "ordered", r.loading.version, "version", reached,
		"ms", took.Milliseconds())
	if reached >= r.loading.version && (r.loadTime == 0 || took < r.loadTime) {
		r.loadTime = took
	}
	r.loading = nil
}

// order sends one order and returns how long to wait before the next call of reconcile.
func (r *Rollout) order(ctx context.Context, v catalog.Version, report platform.Report, now time.Time) time.Duration {
	outcome, server, err := r.Engine.LoadVersion(ctx, platform.Order{
		Server: r.server, Model: v.Model, Version: v.Number, Holder: r.Name, FencingToken: r.fence, ExpectedOrders: report.AcceptedOrders,
	})
	if err != nil {
		event.OrderUnanswered.Log(r.Logger, "model", v.Model, "version", v.Number, "orders", report.AcceptedOrders,
			"cause", err.Error())
		return retryInterval
	}
	event.OrderGiven.Log(r.Logger, "model", v.Model, "version", v.Number, "had", report.Versions[v.Model],
		"revision", v.Revision, "fence", r.fence, "orders", report.AcceptedOrders, "server", r.server, "outcome", int(outcome))
	switch outcome {
	case platform.OrderMisdirected:
		// The list is older than this incarnation of the engine, and probably than those of other engines that were
		// replaced at the same time.
		r.server, r.listStale = server, true
		return 0
	case platform.OrderAccepted:
		r.loading = &load{model: v.Model, version: v.Number, startedAt: now}
		return loadPollInterval
	case platform.OrderAlreadyLoaded:
		return loadPollInterval
	default:
		return retryInterval
	}
}
