package cli

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"bulrushspoke/entry/internal/caller"
	"bulrushspoke/entry/internal/claim"
	configuration "bulrushspoke/entry/internal/config"
	"bulrushspoke/entry/internal/daemon"
	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/entry/internal/gate"
	"bulrushspoke/entry/internal/instances"
	"bulrushspoke/entry/internal/operator"
	"bulrushspoke/entry/internal/peer"
	"bulrushspoke/entry/internal/trainer"
	"bulrushspoke/entry/internal/weights"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/meter"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// entry holds the components of the program when it runs from a settings file.
type entry struct {
	inc     string
	logger  *slog.Logger
	leaving atomic.Bool

	store      *store.Client
	holder     *configuration.Holder
	pool       *daemon.Pool
	peers      *peer.Peers
	poller     *instances.Poller
	dispatcher *dispatch.Dispatcher
	weights    *weights.Targets
	trainer    *trainer.Trainer
	sweeper    *claim.Sweeper
	gate       *gate.Gate
	links      *fasthttp.Server
}

// lockedRand is a seeded source of random numbers that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

// Float64 returns a number in [0, 1).
func (r *lockedRand) Float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.Float64()
}

// IntN returns a number in [0, n).
func (r *lockedRand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.IntN(n)
}

// newSeedSource returns a source of independent seeds. It is initialized from the given seed, or by the system if that
// is 0.
func newSeedSource(seed uint64) *rand.ChaCha8 {
	var s [32]byte
	if seed == 0 {
		_, _ = crand.Read(s[:]) // never fails
	} else {
		binary.LittleEndian.PutUint64(s[:], seed)
	}
	return rand.NewChaCha8(s)
}

// nextSeed returns the seed for the random source of one component.
func nextSeed(c *rand.ChaCha8) (s [32]byte) {
	_, _ = c.Read(s[:]) // never fails
	return s
}

// build creates the components of the program and connects them.
func build(c config, logger *slog.Logger) (*entry, error) {
	metrics, metricsHandler, err := meter.New("entry")
	if err != nil {
		return nil, err
	}
	source := newSeedSource(c.Seed)
	jitter := &lockedRand{r: rand.New(rand.NewChaCha8(nextSeed(source)))}
	e := &entry{inc: ulid.Make().String(), logger: logger}
	e.store = store.New(c.Store.URL, c.Store.Timeout.Std(), logger)
	e.holder = configuration.New(e.store, jitter, logger)
	id := link.NewIdentity(c.Name, []byte(c.Secret), func() wire.Hello { return e.hello(c) })
	e.pool = daemon.New(id, e.holder, e.handleNotice, daemon.Options{
		Ack:    c.Timeouts.Ack.Std(),
		Resume: c.Timeouts.Resume.Std(),
		Redial: c.Timeouts.Redial.Std(),
	}, jitter, logger)
	e.peers = peer.New(c.Name, id, e.holder.Content, e.handleNotice, peer.Options{
		AckTimeout:     c.Timeouts.Ack.Std(),
		LinkTimeout:    c.Timeouts.Ack.Std(),
		MaxRedialDelay: c.Timeouts.Redial.Std(),
	}, jitter, logger)
	e.holder.SetPeers(e.peers)
	e.holder.OnChange(func(rev int64) { e.announce(wire.Notice{Rev: rev}) })
	e.poller = instances.New(c.Instances.URL, c.Instances.Interval.Std(), c.staticInstances(), jitter, e.updateInstances, logger)
	links := dispatch.DaemonPool{Pool: e.pool}
	e.dispatcher = dispatch.New(links, e.peers, e.holder, c.Region, nextSeed(source), dispatch.Defaults(), logger)
	e.weights = weights.New(e.store, e.pool, e.peers, newID, rand.New(rand.NewChaCha8(nextSeed(source))), logger)
	e.trainer = trainer.New(trainer.Options{
		Self:       wire.Owner{Name: c.Name, Inc: e.inc},
		Store:      e.store,
		Dispatcher: e.dispatcher,
		Pool:       e.pool,
		Peers:      e.peers,
		Config:     e.holder,
		Weights:    e.weights,
		Meter:      trainer.NewMeters(metrics),
		Limits:     stepLimits(c),
		NewID:      newID,
		Rand:       rand.New(rand.NewChaCha8(nextSeed(source))),
		Logger:     logger,
	})
	e.peers.SetHandler(peerHandler{Trainer: e.trainer, dispatcher: e.dispatcher})
	e.gate = gate.New(tokens(c), gate.Limits{
		MaxBodyBytes:   c.Limits.Body,
		MaxHeaderBytes: c.Limits.Header,
		ReadTimeout:    c.Timeouts.Read.Std(),
		WriteTimeout:   c.Timeouts.Write.Std(),
		IdleTimeout:    c.Timeouts.Idle.Std(),
	}, e.holder, logger)
	operator.New(operator.Options{
		Config:        e.holder,
		Pool:          e.pool,
		FillUpstreams: e.dispatcher.FillUpstreams,
		Steps:         e.trainer.Steps,
		Explain:       e.explain,
		Ready:         e.ready,
		Metrics:       metricsHandler,
	}).Routes(e.gate)
	claims := claim.New(e.store, links, e.dispatcher, e.holder, claim.Defaults(), logger)
	limits := caller.Limits{MaxPrompt: c.Limits.Body, MaxTokens: c.Limits.Tokens}
	caller.New(e.dispatcher, claims, e.holder, limits, caller.NewMetrics(metrics), logger).Register(e.gate)
	e.trainer.Register(e.gate)
	e.sweeper = claim.NewSweeper(e.store, jitter)
	e.links = &fasthttp.Server{
		Handler:               supervise.Handler(logger, acceptLinks(e.peers)),
		NoDefaultServerHeader: true,
		ReadTimeout:           c.Timeouts.Read.Std(),
		IdleTimeout:           c.Timeouts.Idle.Std(),
		// Links are opened by upgrade requests, which have no body.
		MaxRequestBodySize: 1,
		Logger:             slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	e.registerMetrics(metrics)
	return e, nil
}

// explain returns the trace of a request from this entry or another one.
func (e *entry) explain(request string) (wire.Trace, bool) {
	if t, ok := e.dispatcher.Explain(request); ok {
		return t, true
	}
	return e.peers.Explain(context.Background(), request)
}

// newID returns a new identifier for a write.
func newID() string { return ulid.Make().String() }

func stepLimits(c config) trainer.Limits {
	l := trainer.DefaultLimits()
	l.Groups = c.Limits.Groups
	l.Samples = c.Limits.Samples
	l.Tokens = c.Limits.Tokens
	return l
}

func tokens(c config) map[string]gate.Identity {
	m := make(map[string]gate.Identity, len(c.Tokens))
	for _, t := range c.Tokens {
		m[t.Token] = gate.Identity{Workspace: t.Workspace, Profile: t.Profile, Role: t.Role}
	}
	return m
}

// registerMetrics exports gauges and counters of the entry.
func (e *entry) registerMetrics(m *meter.Meter) {
	m.Gauge("daemons_linked", "Daemons whose link works.", func() float64 { return float64(e.pool.Linked()) })
	m.Gauge("attempts_inflight", "Attempts that have not ended.", func() float64 { return float64(e.pool.Inflight()) })
	m.Gauge("requests_offered", "Requests given to the dispatcher.",
		func() float64 { return float64(e.dispatcher.Counts().Requests) })
	m.Gauge("attempts_sent", "Attempts sent to servers.",
		func() float64 { return float64(e.dispatcher.Counts().Attempts) })
	m.Gauge("retries", "Attempts paid from a retry budget.",
		func() float64 { return float64(e.dispatcher.Counts().Retries) })
	m.Gauge("hedges", "Attempts paid from the hedge budget.",
		func() float64 { return float64(e.dispatcher.Counts().Hedges) })
	m.Gauge("config_revision", "Revision of the configuration in force here.",
		func() float64 { return float64(e.holder.Revision()) })
	m.Gauge("store_calls", "Calls of the object store, waiting watches included.",
		func() float64 { return float64(e.store.Calls()) })
	m.Gauge("store_down", "1 while the object store does not answer.", func() float64 {
		if e.store.Down() {
			return 1
		}
		return 0
	})
	refused := m.Counter("refused", "Refused requests by code.", "code")
	e.gate.OnRefuse(func(code refusal.Code) { refused.Add(1, string(code)) })
}

// start runs all tasks until lifetime ends. The returned channel is closed once they have stopped.
func (e *entry) start(lifetime context.Context, public, links net.Listener) <-chan struct{} {
	tree := supervise.New("entry", e.logger)
	tree.Add(supervise.Task("daemons", e.pool.Serve))
	tree.Add(supervise.Task("entries", e.peers.Serve))
	tree.Add(supervise.Task("configuration", e.holder.Serve))
	tree.Add(supervise.Task("weight targets", e.weights.Run))
	tree.Add(supervise.Task("instances", e.poller.Serve))
	tree.Add(supervise.Task("old claims", e.sweeper.Serve))
	tree.Add(supervise.Task("http", func(ctx context.Context) error {
		if err := e.gate.Serve(public); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}))
	tree.Add(supervise.Task("links", func(ctx context.Context) error {
		go func() {
			<-ctx.Done()
			_ = links.Close()
		}()
		return e.links.Serve(links)
	}))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = tree.Serve(lifetime)
	}()
	return ended
}

// close hands over the steps that this entry owns. It is called after the requests in flight have ended.
func (e *entry) close() { e.trainer.Close() }

func (e *entry) hello(c config) wire.Hello {
	return wire.Hello{
		Name:    c.Name,
		Role:    "entry",
		Inc:     e.inc,
		Domain:  c.Domain,
		Region:  c.Region,
		Rev:     e.holder.Revision(),
		Leaving: e.leaving.Load(),
		Targets: e.weights.All(),
	}
}

// handleNotice processes a notice of configuration revisions and weight targets that arrived over a link.
func (e *entry) handleNotice(n wire.Notice) {
	e.holder.NoteRevision(n.Rev)
	e.weights.Apply(n.Targets)
}

// announce sends a notice of a revision or of weight targets to all daemons and entries.
func (e *entry) announce(n wire.Notice) {
	e.pool.Announce(n)
	e.peers.Announce(n)
}

// updateInstances applies a new list of instances to the links.
func (e *entry) updateInstances(l []wire.Instance) {
	now := time.Now()
	e.pool.SetInstances(l, now)
	e.peers.SetInstances(l, now)
}

// ready returns an error that says why the entry must not get requests, or nil.
func (e *entry) ready() error {
	if e.leaving.Load() {
		return refusal.New(refusal.Unready, refusal.NotRun, "the entry is leaving")
	}
	if e.holder.Revision() == 0 {
		return refusal.New(refusal.Unready, refusal.NotRun, "no configuration is held yet")
	}
	return nil
}

// acceptLinks returns the HTTP handler that accepts links from other entries.
func acceptLinks(p *peer.Peers) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != link.Path {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		// A failed upgrade has been answered already.
		_ = p.Accept(ctx)
	}
}
