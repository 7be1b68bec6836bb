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
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/meter"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const (
	// sweepPeriod is the time between two looks at expired results and orphaned attempts.
	sweepPeriod = time.Second
	// orphanGrace is how long a live attempt goes on without a link that takes its output. An entry replaces a silent
	// link within 1 s.
	orphanGrace = 10 * time.Second
	// maxBody bounds the body of an HTTP request in bytes; no handler of the daemon reads one.
	maxBody     = 64 << 10
	readTimeout = 10 * time.Second
)

// process is the set of parts of a running daemon.
type process struct {
	config    config
	logger    *slog.Logger
	random    *rand.Rand
	meter     *meter.Meter
	text      fasthttp.RequestHandler
	table     *attempt.Table
	queues    map[string]*queue.Queue
	links     *entry.Links
	targets   *engine.Targets
	ownership *ownership.Ownership
	tree      *suture.Supervisor
	leave     chan string
	ready     atomic.Bool
	grace     time.Duration // queueGrace
}

// run runs the daemon until ctx ends or an entry asks it to leave, and drains it.
func run(ctx context.Context, c config, logger *slog.Logger) error {
	l, err := net.Listen("tcp4", c.Listen)
	if err != nil {
		return eris.Wrap(err, "cli: listen")
	}
	p, err := build(c, logger, seed())
	if err != nil {
		return err
	}
	return p.serve(ctx, l)
}

// seed returns the source of all random choices of the process.
func seed() *rand.Rand {
	var b [16]byte
	// Read of crypto/rand never fails.
	_, _ = crand.Read(b[:])
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(b[:8]), binary.LittleEndian.Uint64(b[8:])))
}

// source returns a random source of its own for one part, seeded from that of the process.
func (p *process) source() *rand.Rand {
	return rand.New(rand.NewPCG(p.random.Uint64(), p.random.Uint64()))
}

// build constructs the parts and the supervisor tree.
func build(c config, logger *slog.Logger, random *rand.Rand) (*process, error) {
	m, text, err := meter.New("daemon")
	if err != nil {
		return nil, err
	}
	inc := ulid.Make().String()
	p := &process{
		config: c,
		logger: logger.With("name", c.Name),
		random: random,
		meter:  m,
		text:   text,
		queues: make(map[string]*queue.Queue),
		grace:  queueGrace,
		tree:   supervise.New("daemon", logger),
		leave:  make(chan string, 1),
	}
	// Eras of another incarnation must not be taken for those of this one.
	const eraBits = 40
	base := int(random.Uint64() >> (64 - eraBits))
	p.table = attempt.NewTable(inc, base, time.Now(), attempt.Limits{
		Bytes:   c.Retain.Bytes,
		Keys:    c.Retain.Keys,
		Samples: c.Retain.Samples.Std(),
		Others:  c.Retain.Others.Std(),
	})
	p.targets = engine.NewTargets()
	objects := store.New(c.Store.URL, c.Store.Timeout.Std(), p.logger)
	p.ownership = ownership.New(objects, c.Name, inc, p.logger)
	identity := entry.Config{Name: c.Name, Inc: inc, Domain: c.Domain, Region: c.Region, Grace: c.grace}
	p.links = entry.New(identity, p.table, p.queues, p.targets, p.askLeave, p.logger)
	meters := queue.NewMeters(m)
	for _, s := range c.Servers {
		p.addServer(s, meters)
	}
	p.tree.Add(supervise.Task("sweep", p.sweep))
	return p, nil
}

func (p *process) addServer(s serverConfig, meters queue.Meters) {
	order := admit.DefaultConfig(s.Slots)
	order.Live, order.Train = p.config.Queue.Live, p.config.Queue.Train
	policy := admit.NewFair(order, p.source())
	changed := func(state wire.Server, crashed bool) {
		p.links.Changed(state, crashed)
		if !state.Up {
			p.queues[s.Name].RefuseWaiting(time.Now(), queue.Down(s.Name))
		}
	}
	if s.Kind == "service" {
		v := service.New(service.Config{Name: s.Name, Model: s.Model, URL: s.URL, Slots: s.Slots}, changed, p.logger)
		p.queues[s.Name] = queue.New(policy, v, p.table, meters, p.logger)
		p.tree.Add(supervise.Task("watch "+s.Name, func(ctx context.Context) error {
			return v.Watch(ctx, p.config.Poll.Std())
		}))
	} else {
		e := engine.New(engine.Config{
			Name: s.Name, Model: s.Model, URL: s.URL, Slots: s.Slots, Fencing: s.fencing(),
		}, changed, p.logger)
		p.queues[s.Name] = queue.New(policy, e, p.table, meters, p.logger)
		watching, following := p.source(), p.source()
		p.tree.Add(supervise.Task("watch "+s.Name, func(ctx context.Context) error {
			return e.Watch(ctx, p.config.Poll.Std(), watching)
		}))
		p.tree.Add(supervise.Task("weights "+s.Name, func(ctx context.Context) error {
			return e.Follow(ctx, p.targets, p.ownership, p.config.Stagger.Std(), p.config.Poll.Std(), following)
		}))
	}
	p.tree.Add(supervise.Task("queue "+s.Name, p.queues[s.Name].Serve))
}

// sweep forgets expired results and stops live attempts that no entry reads.
func (p *process) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepPeriod)
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

func (p *process) askLeave(reason string) {
	select {
	case p.leave <- reason:
	default:
	}
}

// serve serves until ctx ends or an entry asks the daemon to leave.
func (p *process) serve(ctx context.Context, l net.Listener) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	treeDone := p.tree.ServeBackground(background)
	identity := link.NewIdentity(p.config.Name, []byte(p.config.Secret), p.links.Hello)
	s := &fasthttp.Server{
		Handler:               supervise.Handler(p.logger, p.handler(identity)),
		ReadTimeout:           readTimeout,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		Logger:                slog.NewLogLogger(p.logger.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	p.ready.Store(true)
	event.Started.Log(p.logger, "listen", l.Addr().String(), "advertise", p.config.Advertise)
	select {
	case err := <-served:
		return eris.Wrap(err, "cli: serve")
	case reason := <-p.leave:
		p.drain(reason)
	case <-ctx.Done():
		p.drain("signal")
	}
	stop()
	if err := <-treeDone; err != nil && !errors.Is(err, context.Canceled) {
		return eris.Wrap(err, "cli: supervisor tree")
	}
	p.links.Close()
	_ = l.Close()
	event.Stopped.Log(p.logger)
	return nil
}

// handler routes the paths of the HTTP listener.
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
			p.text(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}
