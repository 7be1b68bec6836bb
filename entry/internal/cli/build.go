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
	settled "bulrushspoke/entry/internal/config"
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

// entry is the whole program.
type entry struct {
	inc     string
	logger  *slog.Logger
	leaving atomic.Bool

	store      *store.Client
	holder     *settled.Holder
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

// random is a seeded source for several tasks.
type random struct {
	mu sync.Mutex
	r  *rand.Rand
}

// Float64 returns a number from 0 to 1.
func (r *random) Float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.Float64()
}

// IntN returns a number from 0 to below n.
func (r *random) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.IntN(n)
}

// seeds draws independent seeds from the seed of the settings, or from the system if that is 0.
func seeds(seed uint64) *rand.ChaCha8 {
	var s [32]byte
	if seed == 0 {
		_, _ = crand.Read(s[:]) // never fails
	} else {
		binary.LittleEndian.PutUint64(s[:], seed)
	}
	return rand.NewChaCha8(s)
}

// draw returns a seed of its own for one package.
func draw(c *rand.ChaCha8) (s [32]byte) {
	_, _ = c.Read(s[:]) // never fails
	return s
}

// build makes all parts of the program and connects them.
func build(c config, logger *slog.Logger) (*entry, error) {
	m, text, err := meter.New("entry")
	if err != nil {
		return nil, err
	}
	source := seeds(c.Seed)
	jitter := &random{r: rand.New(rand.NewChaCha8(draw(source)))}
	e := &entry{inc: ulid.Make().String(), logger: logger}
	e.store = store.New(c.Store.URL, c.Store.Timeout.Std(), logger)
	e.holder = settled.New(e.store, jitter, logger)
	id := link.NewIdentity(c.Name, []byte(c.Secret), func() wire.Hello { return e.hello(c) })
	e.pool = daemon.New(id, e.holder, e.noticed, daemon.Options{
		Ack:    c.Timeouts.Ack.Std(),
		Resume: c.Timeouts.Resume.Std(),
		Redial: c.Timeouts.Redial.Std(),
	}, jitter, logger)
	e.peers = peer.New(c.Name, id, e.holder.Content, e.noticed, peer.Options{
		Ack:    c.Timeouts.Ack.Std(),
		Resume: c.Timeouts.Ack.Std(),
		Redial: c.Timeouts.Redial.Std(),
	}, jitter, logger)
	e.holder.Use(e.peers)
	e.holder.OnChange(func(rev int64) { e.announce(wire.Notice{Rev: rev}) })
	e.poller = instances.New(c.Instances.URL, c.Instances.Interval.Std(), c.fixed(), jitter, e.list, logger)
	links := dispatch.Links{Pool: e.pool}
	e.dispatcher = dispatch.New(links, e.peers, e.holder, c.Region, draw(source), dispatch.Defaults(), logger)
	e.weights = weights.New(e.store, e.pool, e.peers, newID, rand.New(rand.NewChaCha8(draw(source))), logger)
	e.trainer = trainer.New(trainer.Options{
		Self:       wire.Owner{Name: c.Name, Inc: e.inc},
		Store:      e.store,
		Dispatcher: e.dispatcher,
		Pool:       e.pool,
		Peers:      e.peers,
		Config:     e.holder,
		Weights:    e.weights,
		Meter:      trainer.NewMeters(m),
		Limits:     stepLimits(c),
		IDs:        newID,
		Rand:       rand.New(rand.NewChaCha8(draw(source))),
		Logger:     logger,
	})
	e.peers.Use(peerHandler{Trainer: e.trainer, dispatcher: e.dispatcher})
	e.gate = gate.New(tokens(c), gate.Limits{
		Body:   c.Limits.Body,
		Header: c.Limits.Header,
		Read:   c.Timeouts.Read.Std(),
		Write:  c.Timeouts.Write.Std(),
		Idle:   c.Timeouts.Idle.Std(),
	}, e.holder, logger)
	operator.New(operator.Options{
		Config:  e.holder,
		Pool:    e.pool,
		Mark:    e.dispatcher.Mark,
		Steps:   e.trainer.Steps,
		Explain: e.explain,
		Ready:   e.ready,
		Metrics: text,
	}).Routes(e.gate)
	claims := claim.New(e.store, links, e.dispatcher, e.holder, claim.Defaults(), logger)
	limits := caller.Limits{Prompt: c.Limits.Body, Tokens: c.Limits.Tokens}
	caller.New(e.dispatcher, claims, e.holder, limits, caller.NewMeters(m), logger).Register(e.gate)
	e.trainer.Register(e.gate)
	e.sweeper = claim.NewSweeper(e.store, jitter)
	e.links = &fasthttp.Server{
		Handler:               supervise.Handler(logger, acceptLinks(e.peers)),
		NoDefaultServerHeader: true,
		ReadTimeout:           c.Timeouts.Read.Std(),
		IdleTimeout:           c.Timeouts.Idle.Std(),
		// A link is opened by a bare upgrade request.
		MaxRequestBodySize: 1,
		Logger:             slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	e.measure(m)
	return e, nil
}

// explain returns what this entry or another one knows of a request.
func (e *entry) explain(request string) (wire.Trace, bool) {
	if t, ok := e.dispatcher.Explain(request); ok {
		return t, true
	}
	return e.peers.Explain(context.Background(), request)
}

// newID returns the identifier of a write.
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

// measure exports the state of the entry.
func (e *entry) measure(m *meter.Meter) {
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

// start runs all tasks until life ends; the returned channel is closed then.
func (e *entry) start(life context.Context, public, links net.Listener) <-chan struct{} {
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
		_ = tree.Serve(life)
	}()
	return ended
}

// close hands over the steps that this entry runs; the requests in flight have ended.
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

// noticed takes revisions and weight targets that a link brings.
func (e *entry) noticed(n wire.Notice) {
	e.holder.Notice(n.Rev)
	e.weights.Offer(n.Targets)
}

// announce tells all daemons and entries of a revision or weight targets.
func (e *entry) announce(n wire.Notice) {
	e.pool.Announce(n)
	e.peers.Announce(n)
}

// list takes a list of instances.
func (e *entry) list(l []wire.Instance) {
	now := time.Now()
	e.pool.List(l, now)
	e.peers.List(l, now)
}

// ready tells why the entry is not to get requests.
func (e *entry) ready() error {
	if e.leaving.Load() {
		return refusal.New(refusal.Unready, refusal.NotRun, "the entry is leaving")
	}
	if e.holder.Revision() == 0 {
		return refusal.New(refusal.Unready, refusal.NotRun, "no configuration is held yet")
	}
	return nil
}

// acceptLinks returns the handler of the address on which other entries open links.
func acceptLinks(p *peer.Peers) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != link.Path {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		// A failed upgrade has its answer already.
		_ = p.Accept(ctx)
	}
}
