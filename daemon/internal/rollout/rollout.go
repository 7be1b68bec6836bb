// Package rollout brings the engine on this instance to the weight versions that trainers name.
//
// # Usage
//
//	r := rollout.New(rollout.Options{Engine: engine, Catalog: catalog, …})
//	err := r.Run(ctx)
//
// The daemon is the only one to give its engine orders, so no lease is needed: its fencing token is the highest store
// revision of a version that it has read, which a restarted daemon reads again. Each order names the number of orders
// that the engine has accepted, so one that is carried out late does nothing.
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
	// pollBusy is the time between two reports while an order is carried out; a report from the same instance is free.
	pollBusy = 150 * time.Millisecond
	// retryOrder is the pause after an order or report without an answer.
	retryOrder = 400 * time.Millisecond
	// pollQuiet is the time between two reports while a load waits for a quiet moment.
	pollQuiet = 250 * time.Millisecond
	// quietAfter is the earliest time after the naming of a version at which an engine that may still serve loads it: a
	// step begins at its naming and needs all engines for its first items.
	quietAfter = time.Second
	// quietShare is the part of an engine's slots that may be taken in a quiet moment.
	quietShare = 0.6
	// repair is the time between two checks that the engine still has its versions: an engine may be replaced.
	repair = 5 * time.Second
	// lookAgain is the time between two looks at a list of servers that does not hold this engine as it is: entries come
	// back within about two seconds of an outage.
	lookAgain = time.Second
)

// Engine takes orders.
type Engine interface {
	Report(ctx context.Context) (platform.Report, error)
	Load(ctx context.Context, o platform.Order) (platform.Outcome, string, error)
}

// Options are the parts that a Rollout works with.
type Options struct {
	Name    string // holder of the orders
	Address string // of the engine, as in the list of servers
	Service string
	Engine  Engine
	Catalog *catalog.Catalog
	Servers func(ctx context.Context) ([]catalog.Server, error) // the list of servers, seconds old at most
	Logger  *slog.Logger
}

// Rollout gives orders to one engine.
type Rollout struct {
	Options
	server   string // incarnation of the engine; empty if unknown
	servers  []catalog.Server
	looked   time.Time // when the list was last read
	doubtful bool      // the list does not hold this engine as it is
	fence    int64
	models   []string             // that the engine is for; empty before the first decision
	turns    map[string]scheduled // by model
	paces    map[string]*cadence  // by model
	loading  *load
	took     time.Duration // of the shortest load seen; 0 before the first
}

// scheduled is when a version is to be loaded.
type scheduled struct {
	version int
	at      time.Time
	quiet   bool // not before the engine has little to do
}

// load is an order being carried out.
type load struct {
	model   string
	version int
	began   time.Time
}

// New returns a Rollout.
func New(o Options) *Rollout {
	return &Rollout{Options: o, turns: make(map[string]scheduled), paces: make(map[string]*cadence)}
}

// Run gives orders until ctx ends.
func (r *Rollout) Run(ctx context.Context) error {
	seen := int64(0)
	for ctx.Err() == nil {
		changed := r.Catalog.Changed()
		named := r.Catalog.Versions()
		now := time.Now()
		if newest := r.concerns(named); newest != seen || r.doubtful && now.Sub(r.looked) >= lookAgain {
			r.look(ctx, now)
			seen = newest
		}
		wait := repair
		if len(named) > 0 {
			wait = r.step(ctx, named, time.Now())
		}
		if r.doubtful {
			wait = min(wait, lookAgain)
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

func highest(l []catalog.Version) int64 {
	var n int64
	for _, v := range l {
		n = max(n, v.Revision)
	}
	return n
}

// concerns returns the highest revision of the versions that this engine may have to load: those of its models, or
// all while it is for none.
func (r *Rollout) concerns(named []catalog.Version) int64 {
	if len(r.models) == 0 {
		return highest(named)
	}
	var own []catalog.Version
	for _, v := range named {
		if slices.Contains(r.models, v.Model) {
			own = append(own, v)
		}
	}
	return highest(own)
}

// look reads the list of servers, which decides which models this engine is for.
func (r *Rollout) look(ctx context.Context, now time.Time) {
	r.looked = now
	list, err := r.Servers(ctx)
	if err != nil {
		return // the client has logged it; the last list goes on to count
	}
	before := addresses(r.servers)
	r.servers, r.doubtful = nil, true
	for _, s := range catalog.Current(list) {
		if s.Service == r.Service && !s.Draining {
			r.servers = append(r.servers, s)
		}
		if s.Address == r.Address {
			r.server, r.doubtful = s.ID, false
		}
	}
	if !slices.Equal(before, addresses(r.servers)) {
		clear(r.turns)
	}
}

// addresses returns the addresses of servers in order.
func addresses(servers []catalog.Server) []string {
	l := make([]string, 0, len(servers))
	for _, s := range servers {
		l = append(l, s.Address)
	}
	slices.Sort(l)
	return l
}

// step gives at most one order and returns how long to wait for the next look.
func (r *Rollout) step(ctx context.Context, named []catalog.Version, now time.Time) time.Duration {
	report, err := r.Engine.Report(ctx)
	if err != nil {
		event.EngineUnheard.Log(r.Logger, "cause", err.Error())
		return retryOrder
	}
	if report.Busy {
		return pollBusy
	}
	r.loaded(report, now)
	if len(report.Versions) == 0 {
		return repair
	}
	v := newView(named, r.servers, r.Address, report.Versions)
	r.assign(v)
	r.follow(named, now)
	wait := repair
	for _, n := range named {
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
		if planned.quiet && !r.quiet(report) {
			wait = min(wait, pollQuiet)
			continue
		}
		r.fence = max(r.fence, highest(named))
		return r.order(ctx, n, report, now)
	}
	return wait
}

// assign notes which models the engine is for.
func (r *Rollout) assign(v view) {
	if m := v.shares[v.self]; !slices.Equal(m, r.models) {
		event.EngineAssigned.Log(r.Logger, "models", m, "before", r.models, "engines", len(v.engines))
		r.models = m
	}
}

// follow notes when versions are named.
func (r *Rollout) follow(named []catalog.Version, now time.Time) {
	for _, n := range named {
		c := r.paces[n.Model]
		if c == nil {
			c = &cadence{}
			r.paces[n.Model] = c
		}
		c.named(n.Number, now)
	}
}

// quiet reports whether the engine has little to do.
func (r *Rollout) quiet(report platform.Report) bool {
	slots := 0
	for _, s := range r.servers {
		if s.ID == r.server {
			slots = s.Slots
		}
	}
	return report.Waiting == 0 && float64(report.Running) <= quietShare*float64(slots)
}

// schedule returns when this engine is to load a version; false if it leaves the version out.
func (r *Rollout) schedule(v view, n catalog.Version, now time.Time) (scheduled, bool) {
	overdue := r.paces[n.Model].overdue(now)
	if s, ok := r.turns[n.Model]; ok && s.version == n.Number && (!s.at.IsZero() || !overdue) {
		return s, !s.at.IsZero()
	}
	t := v.turnFor(n.Model)
	if !t.load && overdue {
		t = turn{load: true, quiet: true}
	}
	s := scheduled{version: n.Number, quiet: t.quiet}
	if t.load {
		took := r.took
		if took == 0 {
			took = firstLoad
		}
		s.at = t.at(now, took)
	}
	r.turns[n.Model] = s
	return s, t.load
}

// loaded notes the end of a load.
func (r *Rollout) loaded(report platform.Report, now time.Time) {
	if r.loading == nil {
		return
	}
	took := now.Sub(r.loading.began)
	reached := report.Versions[r.loading.model]
	event.OrderDone.Log(r.Logger, "model", r.loading.model, "ordered", r.loading.version, "version", reached,
		"ms", took.Milliseconds())
	if reached >= r.loading.version && (r.took == 0 || took < r.took) {
		r.took = took
	}
	r.loading = nil
}

// order gives one order.
func (r *Rollout) order(ctx context.Context, v catalog.Version, report platform.Report, now time.Time) time.Duration {
	outcome, server, err := r.Engine.Load(ctx, platform.Order{
		Server: r.server, Model: v.Model, Version: v.Number, Holder: r.Name, Fence: r.fence, Orders: report.Orders,
	})
	if err != nil {
		event.OrderUnanswered.Log(r.Logger, "model", v.Model, "version", v.Number, "orders", report.Orders,
			"cause", err.Error())
		return retryOrder
	}
	event.OrderGiven.Log(r.Logger, "model", v.Model, "version", v.Number, "had", report.Versions[v.Model],
		"revision", v.Revision, "fence", r.fence, "orders", report.Orders, "server", r.server, "outcome", int(outcome))
	switch outcome {
	case platform.OrderMisplaced:
		// The list is older than the engine, and most likely than others that were replaced with it.
		r.server, r.doubtful = server, true
		return 0
	case platform.OrderAccepted:
		r.loading = &load{model: v.Model, version: v.Number, began: now}
		return pollBusy
	case platform.OrderHolds:
		return pollBusy
	default:
		return retryOrder
	}
}
