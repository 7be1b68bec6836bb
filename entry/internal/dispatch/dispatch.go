// Package dispatch runs each request to its end on suitable servers.
//
// # Usage
//
//	d := dispatch.New(dispatch.Links{Pool: pool}, peers, config, "nord", seed, dispatch.Defaults(), logger)
//	result, err := d.Run(ctx, dispatch.Job{Work: work, Deadline: deadline})
//	var refused *refusal.Error
//	if errors.As(err, &refused) { … }
//
// A job may take several attempts. An attempt that is lost, crashes or drains is continued elsewhere after the tokens
// it has produced. An attempt that repeats work is paid from the workspace's retry budget; a second attempt beside a late
// one is paid from the hedge budget as well. Requests that must not be repeated are run by package claim.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"bulrushspoke/entry/internal/daemon"
	"bulrushspoke/wire"
)

// Candidate is one server that work can be sent to.
type Candidate = daemon.Candidate

// Event is one message of a stream; exactly one field is set.
type Event = daemon.Event

// Stream is one attempt that a daemon has acknowledged.
type Stream interface {
	// Next returns the next message; an error means that the attempt is lost or ctx has ended.
	Next(ctx context.Context) (Event, error)
	Cancel(reason string)
}

// Pool reaches the daemons.
type Pool interface {
	Candidates(kind, model string) []Candidate
	// Start returns once the daemon has acknowledged the attempt; its errors are *refusal.Error.
	Start(ctx context.Context, daemon string, w wire.Work) (Stream, error)
	Drop(daemon string, attempts ...string)
}

// Links is the pool of links to the daemons.
type Links struct {
	*daemon.Pool
}

// Start implements Pool.
func (l Links) Start(ctx context.Context, daemon string, w wire.Work) (Stream, error) {
	s, err := l.Pool.Start(ctx, daemon, w)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Peers reaches the other entries.
type Peers interface {
	Suspect(s wire.Suspect)
}

// Config is the newest configuration.
type Config interface {
	Revision() int64
	Profile(name string) (wire.Profile, bool)
}

// Classes of work.
const (
	Live  = "live"
	Train = "train"
)

// Kinds of servers.
const (
	Engine  = "engine"
	Service = "service"
)

// Job is one request to run to its end on any suitable server.
type Job struct {
	Work     wire.Work // without attempt, server, left, held, spans, solo
	Deadline time.Time
	Hedge    bool
	// Floor returns the lowest weight version that may still produce tokens; nil for none.
	Floor func() int64
	// Sink receives tokens in order, without gaps or repeats; it must not block and may be nil.
	Sink func(offset int, tokens []string, spans []wire.Span)
}

// Result is the whole answer of a job.
type Result struct {
	Tokens  []string
	Spans   []wire.Span
	Finish  string
	Reply   *wire.Reply
	Attempt string
	Daemon  string
	Server  string
	Tries   []wire.Try
	First   time.Time     // arrival of the first tokens, zero for calls
	Wait    time.Duration // time in the queue of the daemon that finished it
}

// Settings are the constants of the dispatcher.
type Settings struct {
	// RetryRatio is the part of a workspace's requests that may be repeated, RetryBurst the repeats it may save up.
	RetryRatio float64
	RetryBurst float64
	// HedgeRatio is the part of all requests that may be hedged, HedgeBurst the hedges that may be saved up.
	HedgeRatio float64
	HedgeBurst float64
	// HedgeAfter is the shortest silence that counts as late, HedgeFirst the one used until enough was observed.
	HedgeAfter time.Duration
	HedgeFirst time.Duration
	// Suspicion is how long a content fingerprint stays suspect.
	Suspicion time.Duration
	// Refresh is how old the list of candidates may be; an upstream that leaves is avoided after this time.
	Refresh time.Duration
	// Retry is the mean time after which a refused caller is asked to come back.
	Retry time.Duration
	// Traces is the number of requests that can be explained.
	Traces int
}

// Defaults returns the settings for production. Hedges and retries together stay within the 10% of extra load that the
// design allows, because a hedge is paid from both budgets. The bursts let the requests that run on a quarter of the
// servers be hedged at once when these become slow: with a burst of 5 hedges the p99 of a small fleet doubled.
func Defaults() Settings {
	return Settings{
		RetryRatio: 0.10,
		RetryBurst: 100,
		HedgeRatio: 0.05,
		HedgeBurst: 50,
		HedgeAfter: 50 * time.Millisecond,
		HedgeFirst: time.Second,
		Suspicion:  10 * time.Minute,
		Refresh:    20 * time.Millisecond,
		Retry:      time.Second,
		Traces:     8192,
	}
}

// Dispatcher runs jobs.
type Dispatcher struct {
	pool     Pool
	peers    Peers
	config   Config
	region   string
	settings Settings
	logger   *slog.Logger
	suspects *suspects
	traces   *traces

	mu      sync.Mutex
	source  *rand.ChaCha8
	random  *rand.Rand
	routes  map[routeKey]*route
	budgets map[string]*budget
	hedges  *budget
	counts  Counts
}

// New returns a dispatcher for an entry in region. The seed must differ between processes, because attempt identifiers
// are drawn from it.
func New(
	pool Pool, peers Peers, config Config, region string, seed [32]byte, settings Settings, logger *slog.Logger,
) *Dispatcher {
	source := rand.NewChaCha8(seed)
	return &Dispatcher{
		pool:     pool,
		peers:    peers,
		config:   config,
		region:   region,
		settings: settings,
		logger:   logger,
		suspects: newSuspects(settings.Suspicion),
		traces:   newTraces(settings.Traces),
		source:   source,
		random:   rand.New(source),
		routes:   make(map[routeKey]*route),
		budgets:  make(map[string]*budget),
		hedges:   newBudget(settings.HedgeRatio, settings.HedgeBurst),
	}
}

// Run runs a job to its end. The error is a *refusal.Error and is returned as soon as it is final.
func (d *Dispatcher) Run(ctx context.Context, j Job) (Result, error) {
	if !j.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.Deadline)
		defer cancel()
	}
	r := newRun(d, j)
	r.offer()
	result, err := r.run(ctx)
	result.Tries = r.trace.End(err)
	if err != nil {
		return result, err
	}
	return result, nil
}

// Explain returns what is known of a request.
func (d *Dispatcher) Explain(request string) (wire.Trace, bool) { return d.traces.get(request) }

// Trace begins the record of a request that another package runs.
func (d *Dispatcher) Trace(w *wire.Work) *Trace { return d.traces.begin(w) }

// Suspect takes a suspicion from another entry.
func (d *Dispatcher) Suspect(s wire.Suspect) { d.suspects.merge(time.Now(), s) }

// attempt returns a new attempt identifier.
func (d *Dispatcher) attempt(now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return ulid.MustNew(ulid.Timestamp(now), d.source).String()
}

// retryAfter returns a jittered time after which a refused caller may come back, so that callers refused together do
// not return together.
func (d *Dispatcher) retryAfter() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration((0.5 + d.random.Float64()) * float64(d.settings.Retry))
}
