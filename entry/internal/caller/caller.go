// Package caller implements the HTTP API for callers: completions and calls to plain services.
//
// # Usage
//
//	h := caller.New(dispatcher, claims, profiles, caller.Limits{MaxPrompt: 1 << 20}, caller.NewMetrics(meter), logger)
//	h.Register(gate)
//
// The profile of the caller's token sets the class, the deadline, the maximum number of tokens of a completion and whether
// calls may be repeated. Work is cancelled when its client disconnects, except for non-idempotent calls, which run to
// completion. Errors are refusals, which the gate writes as HTTP responses.
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

// VersionsHeader lists the weight versions of a completion by token range, for example 7:0-41,8:42-99.
const VersionsHeader = "Bulrush-Versions"

// KeyHeader carries the idempotency key of a non-idempotent call.
const KeyHeader = gate.KeyHeader

// MaxPromptBytes is the maximum size of a prompt. Messages between processes are limited to 4 MB, and a resumed completion
// sends its tokens along with the prompt.
const MaxPromptBytes = 1 << 20

// Dispatcher runs idempotent work.
type Dispatcher interface {
	Run(ctx context.Context, j dispatch.Job) (dispatch.Result, error)
}

// ClaimRunner runs non-idempotent work.
type ClaimRunner interface {
	Run(ctx context.Context, c claim.Call) (wire.Reply, error)
}

// Profiles gives access to the current configuration.
type Profiles interface {
	Revision() int64
	Profile(name string) (wire.Profile, bool)
}

// Limits are limits on requests in addition to those of the profile.
type Limits struct {
	MaxPrompt int // bytes of a prompt, at most MaxPromptBytes
	MaxTokens int // tokens of a completion; 0 for no limit beyond that of the profile
}

// Recorder records values by workspace and class.
type Recorder interface {
	Record(workspace, class string, value float64)
}

// Metrics holds the metrics of calls. All values are in seconds.
type Metrics struct {
	FirstToken Recorder // time to the first token
	Total      Recorder // time to the end of the response
	QueueWait  Recorder // time in the daemon's queue
}

// NewMetrics registers the metrics of calls.
func NewMetrics(m *meter.Meter) Metrics {
	return Metrics{
		FirstToken: m.Histogram("time_to_first_token", "s", "Time from arrival to the first token."),
		Total:      m.Histogram("total_time", "s", "Time from arrival to the end of the answer."),
		QueueWait:  m.Histogram("queue_wait", "s", "Time in the queue of a daemon."),
	}
}

// Handler serves the HTTP API for callers.
type Handler struct {
	dispatcher Dispatcher
	claims     ClaimRunner
	profiles   Profiles
	limits     Limits
	metrics    Metrics
	logger     *slog.Logger
}

// New returns a Handler. A prompt limit above MaxPromptBytes is reduced to it.
func New(d Dispatcher, c ClaimRunner, p Profiles, l Limits, m Metrics, logger *slog.Logger) *Handler {
	l.MaxPrompt = min(l.MaxPrompt, MaxPromptBytes)
	return &Handler{dispatcher: d, claims: c, profiles: p, limits: l, metrics: m, logger: logger}
}

// Register registers the routes of the API.
func (h *Handler) Register(g *gate.Gate) {
	g.Handle("POST", "/v1/completions", gate.Caller, h.complete)
	g.Handle(gate.Any, "/v1/services/{name}/{path:*}", gate.Caller, h.service)
}

// requestProfile is the profile that applies to one request, with the request's absolute deadline.
type requestProfile struct {
	wire.Profile
	revision  int64
	arrivedAt time.Time
	deadline  time.Time
}

// resolveProfile returns the profile of the request's token. It refuses the request if the profile is unknown or invalid.
func (h *Handler) resolveProfile(now time.Time, r *gate.Request) (requestProfile, error) {
	// The revision is read before the profile. A profile newer than the revision is harmless, an older one is not.
	rev := h.profiles.Revision()
	p, ok := h.profiles.Profile(r.Identity.Profile)
	ran := refusal.NotRun
	if len(r.Request.Header.Peek(KeyHeader)) > 0 {
		// An earlier request with the same key may have run.
		ran = refusal.Unknown
	}
	if !ok {
		return requestProfile{}, refusal.New(refusal.Unready, ran, "caller: profile %s is not known yet", r.Identity.Profile)
	}
	d, err := time.ParseDuration(p.Deadline)
	if err != nil || d <= 0 {
		return requestProfile{}, refusal.New(refusal.Unready, ran, "caller: profile %s has no valid deadline", p.Name)
	}
	if h.limits.MaxTokens > 0 {
		p.Tokens = min(p.Tokens, h.limits.MaxTokens)
	}
	return requestProfile{Profile: p, revision: rev, arrivedAt: now, deadline: now.Add(d)}, nil
}

// newWork returns a work message with the fields that all calls have in common.
func (p *requestProfile) newWork(r *gate.Request) wire.Work {
	return wire.Work{
		Request:   r.ID,
		Workspace: r.Identity.Workspace,
		Profile:   p.Name,
		Class:     p.Class,
		Rev:       p.revision,
	}
}

// recordMetrics records a finished call. The result is nil for non-idempotent calls.
func (h *Handler) recordMetrics(p *requestProfile, workspace string, res *dispatch.Result) {
	h.metrics.Total.Record(workspace, p.Class, time.Since(p.arrivedAt).Seconds())
	if res == nil {
		return
	}
	h.metrics.QueueWait.Record(workspace, p.Class, res.QueueWait.Seconds())
	if !res.FirstTokenAt.IsZero() {
		h.metrics.FirstToken.Record(workspace, p.Class, res.FirstTokenAt.Sub(p.arrivedAt).Seconds())
	}
}
