package cli

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"

	"bulrushspoke/daemon/internal/attempt"
	"bulrushspoke/daemon/internal/engine"
	"bulrushspoke/daemon/internal/entry"
	"bulrushspoke/daemon/internal/ownership"
	"bulrushspoke/daemon/internal/queue"
	"bulrushspoke/daemon/internal/service"
	"bulrushspoke/internal/admit"
	"bulrushspoke/internal/budget"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/meter"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const (
	// sweepInterval is the interval at which expired results and orphaned attempts are collected.
	sweepInterval = time.Second
	// orphanGrace is how long a live attempt keeps running without a link that reads its output. An entry replaces a
	// silent link within 1 s.
	orphanGrace = 10 * time.Second
	// maxBodyBytes bounds the body of an HTTP request; no handler of the daemon reads one.
	maxBodyBytes = 64 << 10
	readTimeout  = 10 * time.Second
	// writeTimeout is how long a probe or a collector of metrics may take for its answer. Links have a timeout of their own.
	writeTimeout = 10 * time.Second
	// maxConns bounds the connections that have not authenticated as links; health probes and metrics need a few.
	maxConns = 256
)

// process holds the components of a running daemon.
type process struct {
	config        config
	logger        *slog.Logger
	random        *rand.Rand
	meter         *meter.Meter
	metrics       fasthttp.RequestHandler
	table         *attempt.Table
	queues        map[string]*queue.Queue
	links         *entry.Links
	targets       *engine.Targets
	ownership     *ownership.Ownership
	supervisor    *suture.Supervisor
	drainRequests chan string
	ready         atomic.Bool
	drainGrace    time.Duration // the constant queueGrace, except in tests
}

// run runs the daemon until ctx ends or an entry requests a drain, then drains it.
func run(ctx context.Context, c config, logger *slog.Logger) error {
	l, err := net.Listen("tcp4", c.Listen)
	if err != nil {
		return eris.Wrap(err, "cli: listen")
	}
	p, err := newProcess(c, logger, newRandom())
	if err != nil {
		return err
	}
	return p.serve(ctx, l)
}

// newRandom returns a randomly seeded generator; those of all components are derived from it.
func newRandom() *rand.Rand {
	var b [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = crand.Read(b[:])
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(b[:8]), binary.LittleEndian.Uint64(b[8:])))
}

// deriveRandom returns a generator for one component, seeded from the generator of the process.
func (p *process) deriveRandom() *rand.Rand {
	return rand.New(rand.NewPCG(p.random.Uint64(), p.random.Uint64()))
}

// newProcess constructs the components and the supervisor tree.
func newProcess(c config, logger *slog.Logger, random *rand.Rand) (*process, error) {
	m, metrics, err := meter.New("daemon")
	if err != nil {
		return nil, err
	}
	inc := ulid.Make().String()
	p := &process{
		config:        c,
		logger:        logger.With("name", c.Name),
		random:        random,
		meter:         m,
		metrics:       metrics,
		queues:        make(map[string]*queue.Queue),
		drainGrace:    queueGrace,
		supervisor:    supervise.New("daemon", logger),
		drainRequests: make(chan string, 1),
	}
	// A random base keeps the eras of other incarnations distinct from those of this one.
	const eraBits = 40
	base := int(random.Uint64() >> (64 - eraBits))
	p.table = attempt.NewTable(inc, base, time.Now(), attempt.Limits{
		MaxBytes:        c.Retain.Bytes,
		MaxKeys:         c.Retain.Keys,
		SampleRetention: c.Retain.Samples.Std(),
		ResultRetention: c.Retain.Others.Std(),
	})
	p.targets = engine.NewTargets()
	objects := store.New(c.Store.URL, c.Store.Timeout.Std(), p.logger)
	p.ownership = ownership.New(objects, c.Name, inc, p.logger)
	linkConfig := entry.Config{Name: c.Name, Incarnation: inc, Domain: c.Domain, Region: c.Region, AskGrace: c.askGrace}
	p.links = entry.New(linkConfig, p.table, p.queues, p.targets, p.requestDrain, p.logger)
	meters := queue.NewMeters(m)
	for _, s := range c.Servers {
		p.addServer(s, meters)
	}
	p.supervisor.Add(supervise.Task("sweep", p.sweep))
	return p, nil
}

func (p *process) addServer(s serverConfig, meters queue.Meters) {
	admission := admit.DefaultConfig(s.Slots)
	admission.MaxLive, admission.MaxTrain = p.config.Queue.Live, p.config.Queue.Train
	policy := admit.NewFair(admission, p.deriveRandom())
	onChange := func(state wire.Server, crashed bool) {
		p.links.ServerChanged(state, crashed)
		if !state.Up {
			p.queues[s.Name].RefuseWaiting(time.Now(), queue.ServerDown(s.Name))
		}
	}
	if s.Kind == "service" {
		v := service.New(service.Config{Name: s.Name, Model: s.Model, URL: s.URL, Slots: s.Slots}, onChange, p.logger)
		p.queues[s.Name] = queue.New(policy, v, p.table, meters, p.logger)
		p.supervisor.Add(supervise.Task("watch "+s.Name, func(ctx context.Context) error {
			return v.Watch(ctx, p.config.Poll.Std())
		}))
	} else {
		e := engine.New(engine.Config{
			Name: s.Name, Model: s.Model, URL: s.URL, Slots: s.Slots, Fencing: s.fencingEnabled(),
		}, onChange, p.logger)
		p.queues[s.Name] = queue.New(policy, e, p.table, meters, p.logger)
		watchRandom, followRandom := p.deriveRandom(), p.deriveRandom()
		p.supervisor.Add(supervise.Task("watch "+s.Name, func(ctx context.Context) error {
			return e.Watch(ctx, p.config.Poll.Std(), watchRandom)
		}))
		p.supervisor.Add(supervise.Task("weights "+s.Name, func(ctx context.Context) error {
			return e.Follow(ctx, p.targets, p.ownership, p.config.Stagger.Std(), p.config.Poll.Std(), followRandom)
		}))
	}
	p.supervisor.Add(supervise.Task("queue "+s.Name, p.queues[s.Name].Serve))
}

// sweep removes expired results and cancels live attempts whose output no entry reads.
func (p *process) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			for _, a := range p.table.Sweep(now, orphanGrace) {
				p.queues[a.Work().Server].Cancel(now, a, "no entry reads the output")
			}
		}
	}
}

func (p *process) requestDrain(reason string) {
	select {
	case p.drainRequests <- reason:
	default:
	}
}

// serve accepts connections on l until ctx ends or an entry requests a drain, then drains the daemon and stops it.
func (p *process) serve(ctx context.Context, l net.Listener) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	supervisorDone := p.supervisor.ServeBackground(background)
	identity := link.NewIdentity(p.config.Name, []byte(p.config.Secret), p.links.Hello)
	s := &fasthttp.Server{
		Handler:               supervise.Handler(p.logger, p.handler(identity)),
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		Logger:                slog.NewLogLogger(p.logger.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	limited := budget.Listen(l, budget.ListenerOptions{Name: "daemon", Most: maxConns, Logger: p.logger})
	go func() { served <- s.Serve(limited) }()
	p.ready.Store(true)
	event.Started.Log(p.logger, "listen", l.Addr().String(), "advertise", p.config.Advertise)
	select {
	case err := <-served:
		return eris.Wrap(err, "cli: serve")
	case reason := <-p.drainRequests:
		p.drain(reason)
	case <-ctx.Done():
		p.drain("signal")
	}
	stop()
	if err := <-supervisorDone; err != nil && !errors.Is(err, context.Canceled) {
		return eris.Wrap(err, "cli: supervisor tree")
	}
	p.links.Close()
	_ = l.Close()
	event.Stopped.Log(p.logger)
	return nil
}

// handler returns the HTTP handler for links, health checks and metrics.
func (p *process) handler(identity *link.Identity) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case link.Path:
			if err := link.Accept(ctx, identity, p.links, p.links.Opened, p.logger); err != nil {
				ctx.SetStatusCode(fasthttp.StatusBadRequest)
			}
		case "/health/live":
			ctx.SetBodyString("live\n")
		case "/health/ready":
			if !p.ready.Load() || p.links.Leaving() {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
				ctx.SetBodyString("leaving\n")
				return
			}
			ctx.SetBodyString("ready\n")
		case "/metrics":
			p.metrics(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}
