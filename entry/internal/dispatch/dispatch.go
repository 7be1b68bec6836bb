// Package dispatch runs each request to its end on suitable servers, with retries, resumption and hedging.
//
// # Usage
//
//	d := dispatch.New(dispatch.DaemonPool{Pool: pool}, peers, config, "nord", seed, dispatch.Defaults(), logger)
//	result, err := d.Run(ctx, dispatch.Job{Work: work, Deadline: deadline})
//	var refused *refusal.Error
//	if errors.As(err, &refused) { … }
//
// A job may take several attempts. If an attempt is lost, its server crashes or its daemon drains, the next attempt
// resumes on another server after the tokens produced so far. An attempt that repeats work is charged to the retry
// budget of the workspace. A hedge, a second attempt that runs beside a late one, is charged to the hedge budget as
// well. Requests that must not be repeated are run by package claim.
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

// Candidate is a server that work can be sent to.
type Candidate = daemon.Candidate

// Event is one message of a stream; exactly one field is set.
type Event = daemon.Event

// Stream delivers the messages of an attempt that a daemon has acknowledged.
type Stream interface {
	// Next returns the next message. An error means that the attempt is lost or that ctx is done.
	Next(ctx context.Context) (Event, error)
	Cancel(reason string)
}

// Pool lists servers and sends attempts to their daemons.
type Pool interface {
	Candidates(kind, model string) []Candidate
	// Start returns once the daemon has acknowledged the attempt; its errors are *refusal.Error.
	Start(ctx context.Context, daemon string, w wire.Work) (Stream, error)
	Drop(daemon string, attempts ...string)
}

// DaemonPool adapts a daemon.Pool to the interface Pool.
type DaemonPool struct {
	*daemon.Pool
}

// Start implements Pool.
func (l DaemonPool) Start(ctx context.Context, daemon string, w wire.Work) (Stream, error) {
	s, err := l.Pool.Start(ctx, daemon, w)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Peers sends messages to the other entries.
type Peers interface {
	Suspect(s wire.Suspect)
}

// Config gives access to the newest known configuration.
type Config interface {
	Revision() int64
	Profile(name string) (wire.Profile, bool)
}

// Urgency classes of work.
const (
	Live  = "live"
	Train = "train"
)

// Kinds of servers.
const (
	Engine  = "engine"
	Service = "service"
)

// Job is a request that may run on any suitable server and may be repeated.
type Job struct {
	Work     wire.Work // Attempt, Server, Left, Held, Spans and Solo are set for each attempt
	Deadline time.Time
	Hedge    bool
	// Floor returns the lowest weight version that may still produce tokens; nil means that any version may.
	Floor func() int64
	// Sink receives the tokens in order, without gaps or repeats. It must not block; nil if only the result is needed.
	Sink func(offset int, tokens []string, spans []wire.Span)
}

// Result is the whole answer of a job. After an error it holds only the attempts, tokens and spans so far.
type Result struct {
	Tokens       []string
	Spans        []wire.Span
	Finish       string
	Reply        *wire.Reply
	Attempt      string
	Daemon       string
	Server       string
	Attempts     []wire.Try
	FirstTokenAt time.Time     // arrival of the first tokens; zero for calls
	QueueWait    time.Duration // time in the queue of the daemon that finished the job
}

// Settings are the tuning parameters of the dispatcher.
type Settings struct {
	// RetryRatio is the fraction of a workspace's requests that may be retried, RetryBurst the largest number of unused
	// retries that a workspace can accumulate.
	RetryRatio float64
	RetryBurst float64
	// HedgeRatio is the fraction of the requests with hedging enabled that may be hedged, HedgeBurst the largest number
	// of unused hedges that can accumulate.
	HedgeRatio float64
	HedgeBurst float64
	// MinHedgeDelay is the shortest silence that counts as late. InitialHedgeDelay is used until enough latencies have
	// been observed.
	MinHedgeDelay     time.Duration
	InitialHedgeDelay time.Duration
	// SuspectTTL is how long a content fingerprint stays suspect.
	SuspectTTL time.Duration
	// CandidateMaxAge is the age at which the cached list of candidates is read again. A leaving upstream gets no new
	// work after this time.
	CandidateMaxAge time.Duration
	// RetryAfter is the mean delay after which a refused caller is asked to retry.
	RetryAfter time.Duration
	// MaxTraces is the number of requests whose traces are kept.
	MaxTraces int
}

// Defaults returns the settings for production. Hedges and retries together add at most 10% to the load, as the design
// allows, because a hedge is charged to both budgets. The bursts are large enough to hedge at once all requests that
// run on a quarter of the servers when these become slow: with a burst of 5 hedges, the p99 of a small fleet doubled.
func Defaults() Settings {
	return Settings{
		RetryRatio:        0.10,
		RetryBurst:        100,
		HedgeRatio:        0.05,
		HedgeBurst:        50,
		MinHedgeDelay:     50 * time.Millisecond,
		InitialHedgeDelay: time.Second,
		SuspectTTL:        10 * time.Minute,
		CandidateMaxAge:   20 * time.Millisecond,
		RetryAfter:        time.Second,
		MaxTraces:         8192,
	}
}

// Dispatcher runs jobs. It is safe for concurrent use.
type Dispatcher struct {
	pool     Pool
	peers    Peers
	config   Config
	region   string
	settings Settings
	logger   *slog.Logger
	suspects *suspects
	traces   *traces

	mu           sync.Mutex
	source       *rand.ChaCha8
	random       *rand.Rand
	serverSets   map[serverSetKey]*serverSet
	retryBudgets map[string]*budget
	hedgeBudget  *budget
	counts       Counts
}

// New returns a dispatcher for an entry in region. The seed must differ between processes, because attempt identifiers
// are generated from it. Peers and config may be nil.
func New(
	pool Pool, peers Peers, config Config, region string, seed [32]byte, settings Settings, logger *slog.Logger,
) *Dispatcher {
	source := rand.NewChaCha8(seed)
	return &Dispatcher{
		pool:         pool,
		peers:        peers,
		config:       config,
		region:       region,
		settings:     settings,
		logger:       logger,
		suspects:     newSuspects(settings.SuspectTTL),
		traces:       newTraces(settings.MaxTraces),
		source:       source,
		random:       rand.New(source),
		serverSets:   make(map[serverSetKey]*serverSet),
		retryBudgets: make(map[string]*budget),
		hedgeBudget:  newBudget(settings.HedgeRatio, settings.HedgeBurst),
	}
}

// Run runs a job until it is answered or refused. The error is a *refusal.Error, returned as soon as it is final.
func (d *Dispatcher) Run(ctx context.Context, j Job) (Result, error) {
	if !j.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.Deadline)
		defer cancel()
	}
	r := newRun(d, j)
	r.countRequest()
	result, err := r.run(ctx)
	result.Attempts = r.trace.End(err)
	if err != nil {
		return result, err
	}
	return result, nil
}

// Explain returns the trace of a request if it is still kept.
func (d *Dispatcher) Explain(request string) (wire.Trace, bool) { return d.traces.get(request) }

// BeginTrace begins the trace of a request that another package runs.
func (d *Dispatcher) BeginTrace(w *wire.Work) *Trace { return d.traces.begin(w) }

// Suspect merges a suspicion received from another entry.
func (d *Dispatcher) Suspect(s wire.Suspect) { d.suspects.merge(time.Now(), s) }

// newAttemptID returns a new attempt identifier.
func (d *Dispatcher) newAttemptID(now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return ulid.MustNew(ulid.Timestamp(now), d.source).String()
}

// retryAfter returns a jittered delay for a refused caller, so that callers refused together do not retry together.
func (d *Dispatcher) retryAfter() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration((0.5 + d.random.Float64()) * float64(d.settings.RetryAfter))
}
