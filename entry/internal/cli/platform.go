package cli

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"

	"bulrushspoke/entry/internal/batch"
	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/entry/internal/member"
	"bulrushspoke/entry/internal/occupancy"
	"bulrushspoke/entry/internal/peer"
	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/relay"
	"bulrushspoke/entry/internal/retire"
	"bulrushspoke/entry/internal/sweep"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/linelog"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/meter"
	"bulrushspoke/internal/node"
	"bulrushspoke/internal/program"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

const (
	// dialTimeout bounds a new connection to a server, one lost opening packet included.
	dialTimeout = 1200 * time.Millisecond
	// idleMost bounds idle connections to servers; each takes a descriptor and two small buffers.
	idleMost = 256
	// storeIdle bounds idle connections to the store; the calls of one entry seldom overlap more.
	storeIdle = 16
	// collectPercent is how much the heap grows between two runs of the garbage collector. Memory is dear, but events wait
	// for the processor while it runs.
	collectPercent = 100
	// memoryShare is the part of the instance's memory that the garbage collector keeps the process within.
	memoryShare = 0.7
	// bodyShare is the part of it that bodies in progress, and as much again that open jobs, may take.
	bodyShare = 0.15
	// filesShare is the number of descriptors that the platform keeps for files.
	filesShare = 200
	// clientShare and serverShare are the parts of the other descriptors that connections of clients and to servers may
	// take; a request in progress needs one of each. The rest is for the store, other entries, probes and metrics.
	clientShare = 0.45
	serverShare = 0.45
	// readHeader bounds the time for a request's head; the platform's clients are bound to less.
	readHeader = 10 * time.Second
	// clientIdle exceeds the idle time of the platform's clients, so that no request crosses our close.
	clientIdle = 60 * time.Second
	// stopMargin is kept of the grace before SIGKILL.
	stopMargin = time.Second
	// unreadyTime is how long the load balancer takes to notice that a process is leaving: two probes a second apart.
	unreadyTime = 2500 * time.Millisecond
	// keepFactor times the time for which results must be readable is how long a job stays in the store: its trainer may
	// still have it open, and clocks differ by seconds.
	keepFactor = 4
	// handoverTime bounds the handover of open jobs.
	handoverTime = 3500 * time.Millisecond
	// redialMost is the longest pause between two dials of another entry.
	redialMost = time.Second
	// metricsPort is where an instance serves its metrics, outside of the ports that the platform draws.
	metricsPort = 9464
)

// onPlatform is the program on the users' platform.
type onPlatform struct {
	settings node.Settings
	secret   []byte // that entries prove to each other
	inc      string
	logger   *slog.Logger
	lines    *linelog.Writer
	leaving  atomic.Bool

	store   *platform.Store
	catalog *catalog.Catalog
	peers   *peer.Peers
	batch   *batch.Manager
	ingress *ingress.Ingress
	server  *http.Server
	metrics fasthttp.RequestHandler
	tree    *suture.Supervisor
}

// preparePlatform loads the settings that the platform gives.
func preparePlatform() (program.Serve, error) {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return nil, err
	}
	var secret []byte
	// An instance without clients has no links to other entries.
	if s.Ingress != "" {
		if secret, err = program.Secret(); err != nil {
			return nil, err
		}
	}
	return func(ctx context.Context, _ io.Writer) error { return servePlatform(ctx, s, secret) }, nil
}

// readSettings checks the settings that the platform gives at present.
func readSettings() error {
	_, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	return err
}

// servePlatform runs the program until ctx ends.
func servePlatform(ctx context.Context, s node.Settings, secret []byte) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	debug.SetGCPercent(collectPercent)
	lines, logger := program.Lines(s.Name)
	defer lines.Close()
	p := &onPlatform{
		settings: s,
		secret:   secret,
		inc:      ulid.Make().String(),
		lines:    lines,
		logger:   logger,
	}
	life, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.build(life); err != nil {
		return err
	}
	go supervise.Guard(logger, "reload", func() { program.OnHangup(life, readSettings, logger) })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The tree ends with life only.
		_ = p.tree.Serve(life)
	}()
	event.Started.Log(p.logger, "inc", p.inc, "role", s.Role, "domain", s.Domain, "ingress", s.Ingress, "memory", s.Memory)
	<-ctx.Done()
	event.Stopping.Log(p.logger)
	p.stop()
	cancel()
	select {
	case <-ended:
	case <-time.After(stopMargin):
	}
	event.Stopped.Log(p.logger, "dropped", lines.Dropped())
	return nil
}

// build makes the parts that the instance has a use for.
func (p *onPlatform) build(life context.Context) error {
	s := p.settings
	p.tree = supervise.New("entry", p.logger)
	pool := upstream.New(upstream.Limits{Dial: dialTimeout, Idle: idleMost, Open: sockets(s.Descriptors, serverShare)})
	// Calls of the store have connections of their own, so that requests cannot take them all.
	calls := upstream.New(upstream.Limits{Dial: dialTimeout, Idle: storeIdle})
	p.store = platform.NewStore(s.Store.Address, program.StoreTimeout, calls, p.logger)
	m, text, err := meter.New("entry")
	if err != nil {
		return err
	}
	p.metrics = text
	p.measure(m, pool, calls)
	p.listen("metrics", net.JoinHostPort(s.IP, strconv.Itoa(metricsPort)), func(l net.Listener) error {
		return p.fast(p.metrics).Serve(l)
	})
	if s.Ingress == "" {
		p.task("retirement", func(ctx context.Context) error {
			return retire.Run(ctx, s.Name, p.store, p.logger)
		})
		p.task("sweep", sweep.New(p.store, keepFactor*s.Bounds.Status, p.logger).Run)
		return nil
	}
	return p.buildEntry(life, pool, m)
}

// buildEntry makes the parts that serve clients.
func (p *onPlatform) buildEntry(life context.Context, pool *upstream.Pool, m *meter.Meter) error {
	s := p.settings
	p.catalog = catalog.New(p.logger)
	source := seeds(0)
	tracker := place.New(place.Home{Domain: s.Domain, Region: s.Region, Regions: s.Regions},
		rand.New(rand.NewChaCha8(draw(source))))
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.Ports.First))
	self := wire.Member{Address: address, Inc: p.inc, Domain: s.Domain, Region: s.Region}
	hello := func() wire.Hello {
		return wire.Hello{
			Name: s.Name, Role: "entry", Inc: p.inc, Domain: s.Domain, Region: s.Region, Leaving: p.leaving.Load(),
			Cores: s.Cores,
		}
	}
	identity := link.NewIdentity(s.Name, p.secret, hello)
	chance := &random{r: rand.New(rand.NewChaCha8(draw(source)))}
	p.peers = peer.New(s.Name, identity, func() wire.Config { return wire.Config{} }, func(wire.Notice) {}, peer.Options{
		Ack: time.Second, Resume: time.Second, Redial: redialMost,
	}, chance, p.logger)
	objects := relay.New(p.store, p.peers, p.logger)
	objects.Register(p.peers)
	p.batch = batch.New(life, batch.Options{
		Self: self, Name: s.Name, Cores: s.Cores, Store: objects, Peers: p.peers, Catalog: p.catalog, Pool: pool, Tracker: tracker,
		Keep: s.Bounds.Status, Value: s.Store.Value, Memory: int64(bodyShare * float64(s.Memory)), Logger: p.logger, Link: s.Link,
		Outage: objects.Outage, Random: chance,
		Steps: m.Histogram("step_part", "s", "Parts of the time until a step has what its trainer waits for, of its last item."),
	})
	p.batch.Register(p.peers)
	sharer := occupancy.New(s.Name, tracker, p.peers)
	sharer.Register()
	p.task("occupancy", sharer.Run)
	p.peers.OnJoin(p.batch.Joined)
	waits := m.Histogram("request", "s", "Time from arrival to the answer.")
	p.ingress = ingress.New(ingress.Options{
		Catalog: p.catalog, Pool: pool, Tracker: tracker, Jobs: p.batch,
		Random:   chance,
		Memory:   int64(bodyShare * float64(s.Memory)),
		Suspects: p.suspects(),
		Logger:   p.logger,
		Observe: func(route string, status int, took time.Duration) {
			waits.Record(route, strconv.Itoa(status/100*100), took.Seconds())
		},
	})
	p.server = &http.Server{
		Handler:           p.ingress,
		ReadHeaderTimeout: readHeader,
		IdleTimeout:       clientIdle,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	p.listen("links", address, func(l net.Listener) error { return p.fast(acceptLinks(p.peers)).Serve(l) })
	p.listen("readiness", s.Readiness, func(l net.Listener) error { return p.fast(p.answerReady).Serve(l) })
	p.listen("ingress", s.Ingress, func(l net.Listener) error {
		err := p.server.Serve(ingress.Bound(l, sockets(s.Descriptors, clientShare), p.logger))
		if errors.Is(err, http.ErrServerClosed) {
			<-life.Done()
		}
		return err
	})
	p.task("entries", p.peers.Serve)
	p.task("membership", member.New(s.Name, self, p.store, p.peers, p.logger).Run)
	feeder, now := platform.NewFeeder(p.catalog, p.logger), time.Now()
	for kind, bound := range map[string]time.Duration{
		platform.KindConfig: s.Bounds.Config, platform.KindServers: s.Bounds.Drain,
	} {
		p.follow(objects, relay.Spread(feeder.Fill(catalog.Feed{Kind: kind}), s.Name, bound, p.peers, now))
	}
	return nil
}

// suspects returns the set of requests that crash their servers, which entries tell each other of.
func (p *onPlatform) suspects() *ingress.Suspects {
	s := ingress.NewSuspects(func(fingerprint uint64, answered bool) {
		p.peers.Tell(link.Crash, wire.Crash{Print: fingerprint, Answered: answered})
	})
	p.peers.Handle(link.Crash, func(_ context.Context, f link.Frame) (string, any, error) {
		var c wire.Crash
		if err := f.Decode(&c); err != nil {
			return "", nil, err
		}
		s.Heard(c.Print, c.Answered, time.Now())
		return "", nil, nil
	})
	return s
}

// sockets returns the part of the descriptors that one use may take, 0 for no bound if the platform sets none.
func sockets(descriptors int, share float64) int {
	return int(share * float64(max(descriptors-filesShare, 0)))
}

func (p *onPlatform) follow(s catalog.Source, f catalog.Feed) {
	p.task("news of "+f.Kind, func(ctx context.Context) error { return catalog.Follow(ctx, s, f, p.logger) })
}

func (p *onPlatform) task(name string, f func(context.Context) error) {
	p.tree.Add(supervise.Task(name, f))
}

// listen serves an address; the listener is opened again if it fails.
func (p *onPlatform) listen(name, address string, serve func(net.Listener) error) {
	p.task(name, func(ctx context.Context) error {
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { _ = l.Close() })
		defer stop()
		return serve(l)
	})
}

func (p *onPlatform) fast(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               supervise.Handler(p.logger, h),
		NoDefaultServerHeader: true,
		ReadTimeout:           readHeader,
		IdleTimeout:           clientIdle,
		MaxRequestBodySize:    1,
		Logger:                slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

// answerReady tells the load balancer whether this process takes clients: it must know routes and servers.
func (p *onPlatform) answerReady(ctx *fasthttp.RequestCtx) {
	if p.leaving.Load() || p.catalog.Config() == nil || !p.catalog.Known() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// stop leaves the load balancer, hands over the jobs and finishes the requests in flight.
func (p *onPlatform) stop() {
	p.leaving.Store(true)
	if p.server == nil {
		return
	}
	p.ingress.Leave()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTime)
	p.batch.Handover(ctx)
	cancel()
	time.Sleep(unreadyTime - min(time.Since(began), unreadyTime))
	ctx, cancel = context.WithTimeout(context.Background(), p.settings.Bounds.Grace-time.Since(began)-stopMargin)
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		event.StopCut.Log(p.logger, "cause", err.Error())
	}
}

// measure exports the state of the process.
func (p *onPlatform) measure(m *meter.Meter, pool, calls *upstream.Pool) {
	m.Gauge("store_calls", "Calls of the object store, waiting watches included.",
		func() float64 { return float64(p.store.Calls()) })
	m.Gauge("server_connections", "Connections opened to servers and the store.",
		func() float64 { return float64(pool.Dials() + calls.Dials()) })
	m.Gauge("log_lines_dropped", "Log lines that found no room.",
		func() float64 { return float64(p.lines.Dropped()) })
}
