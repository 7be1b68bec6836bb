// Package caller serves the HTTP calls of callers: completions and calls to plain services.
//
// # Usage
//
//	c := caller.New(dispatcher, claims, profiles, caller.Limits{Prompt: 1 << 20}, caller.NewMeters(meter), logger)
//	c.Register(gate)
//
// The profile of the caller's token sets class, deadline, largest answer and whether calls may be repeated. Work whose
// client has gone is cancelled, except for calls that must not be repeated, which run to their end.
package caller

import (
	"context"
	"log/slog"
	"time"

	"bulrushspoke/entry/internal/claim"
	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/entry/internal/gate"
	"bulrushspoke/internal/meter"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// VersionsHeader lists the weight versions of an answer by token segment, such as 7:0-41,8:42-99.
const VersionsHeader = "Bulrush-Versions"

// KeyHeader carries the idempotency key of a call that must not be repeated.
const KeyHeader = gate.KeyHeader

// MaxPrompt is the largest prompt in bytes. A message between processes holds 4 MB, and a resumed answer sends its
// tokens along with the prompt.
const MaxPrompt = 1 << 20

// Dispatcher runs work that may be repeated.
type Dispatcher interface {
	Run(ctx context.Context, j dispatch.Job) (dispatch.Result, error)
}

// Claims runs work that must not be repeated.
type Claims interface {
	Run(ctx context.Context, c claim.Call) (wire.Reply, error)
}

// Profiles is the newest configuration.
type Profiles interface {
	Revision() int64
	Profile(name string) (wire.Profile, bool)
}

// Limits bound what a caller may send, beside those of its profile.
type Limits struct {
	Prompt int // bytes of a prompt, at most MaxPrompt
	Tokens int // tokens of an answer, 0 for the limit of the profile only
}

// Recorder counts values by workspace and class.
type Recorder interface {
	Record(workspace, class string, value float64)
}

// Meters are the metrics of calls, in seconds.
type Meters struct {
	First Recorder // time to the first token
	Total Recorder // time to the end of the answer
	Wait  Recorder // time in the daemon's queue
}

// NewMeters returns the metrics of calls.
func NewMeters(m *meter.Meter) Meters {
	return Meters{
		First: m.Histogram("time_to_first_token", "s", "Time from arrival to the first token."),
		Total: m.Histogram("total_time", "s", "Time from arrival to the end of the answer."),
		Wait:  m.Histogram("queue_wait", "s", "Time in the queue of a daemon."),
	}
}

// Caller serves callers.
type Caller struct {
	dispatcher Dispatcher
	claims     Claims
	profiles   Profiles
	limits     Limits
	meters     Meters
	logger     *slog.Logger
}

// New returns the handlers for callers.
func New(d Dispatcher, c Claims, p Profiles, l Limits, m Meters, logger *slog.Logger) *Caller {
	l.Prompt = min(l.Prompt, MaxPrompt)
	return &Caller{dispatcher: d, claims: c, profiles: p, limits: l, meters: m, logger: logger}
}

// Register routes the paths of callers.
func (c *Caller) Register(g *gate.Gate) {
	g.Handle("POST", "/v1/completions", gate.Caller, c.complete)
	g.Handle(gate.Any, "/v1/services/{name}/{path:*}", gate.Caller, c.service)
}

// resolved is a profile with its deadline applied to one request.
type resolved struct {
	wire.Profile
	rev      int64
	arrived  time.Time
	deadline time.Time
}

// resolve returns the profile of the request's token.
func (c *Caller) resolve(now time.Time, r *gate.Request) (resolved, error) {
	// The revision is read first: a profile that is newer than it is harmless, an older one is not.
	rev := c.profiles.Revision()
	p, ok := c.profiles.Profile(r.Identity.Profile)
	ran := refusal.NotRun
	if len(r.Request.Header.Peek(KeyHeader)) > 0 {
		// An earlier request with the key may have run.
		ran = refusal.Unknown
	}
	if !ok {
		return resolved{}, refusal.New(refusal.Unready, ran, "caller: profile %s is not known yet", r.Identity.Profile)
	}
	d, err := time.ParseDuration(p.Deadline)
	if err != nil || d <= 0 {
		return resolved{}, refusal.New(refusal.Unready, ran, "caller: profile %s has no valid deadline", p.Name)
	}
	if c.limits.Tokens > 0 {
		p.Tokens = min(p.Tokens, c.limits.Tokens)
	}
	return resolved{Profile: p, rev: rev, arrived: now, deadline: now.Add(d)}, nil
}

// work returns the part of a work message that all calls share.
func (p *resolved) work(r *gate.Request) wire.Work {
	return wire.Work{
		Request:   r.ID,
		Workspace: r.Identity.Workspace,
		Profile:   p.Name,
		Class:     p.Class,
		Rev:       p.rev,
	}
}

// record counts a finished call.
func (c *Caller) record(p *resolved, workspace string, res *dispatch.Result) {
	c.meters.Total.Record(workspace, p.Class, time.Since(p.arrived).Seconds())
	if res == nil {
		return
	}
	c.meters.Wait.Record(workspace, p.Class, res.Wait.Seconds())
	if !res.First.IsZero() {
		c.meters.First.Record(workspace, p.Class, res.First.Sub(p.arrived).Seconds())
	}
}
