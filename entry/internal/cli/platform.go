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
	"bulrushspoke/entry/internal/duty"
	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/entry/internal/member"
	"bulrushspoke/entry/internal/occupancy"
	"bulrushspoke/entry/internal/peer"
	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/relay"
	"bulrushspoke/entry/internal/retire"
	"bulrushspoke/entry/internal/sweep"
	"bulrushspoke/entry/internal/turn"
	"bulrushspoke/entry/internal/usage"
	"bulrushspoke/internal/budget"
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
	// dialTimeout bounds opening a connection to a server; it allows for one lost SYN.
	dialTimeout = 1200 * time.Millisecond
	// maxIdleConns bounds idle connections to servers; each costs a descriptor and a buffer of 4 KB. An entry that runs the
	// steps of one trainer has two of them open, of up to 192 items each, and connections for other requests beside them.
	maxIdleConns = 512
	// maxIdleStoreConns bounds idle connections to the store; an entry seldom has more calls in progress at a time.
	maxIdleStoreConns = 16
	// gcPercent is the GOGC value. Memory is scarce, but streamed events wait for the processor during a garbage
	// collection.
	gcPercent = 100
	// memoryLimitShare is the fraction of the instance's memory that is set as the runtime's soft memory limit.
	memoryLimitShare = 0.7
	// reservedDescriptors is the number of file descriptors that the platform reserves for files.
	reservedDescriptors = 200
	// clientConnShare and serverConnShare are the fractions of the other descriptors for connections from clients and to
	// servers; a request in progress needs one of each. The rest is for the store, other entries, probes and metrics.
	clientConnShare = 0.45
	serverConnShare = 0.45
	// readHeaderTimeout bounds reading the header of a request; the platform holds its clients to a shorter time.
	readHeaderTimeout = 10 * time.Second
	// clientIdleTimeout exceeds the idle timeout of the platform's clients, so that no request is sent on a connection
	// that this side is closing.
	clientIdleTimeout = 60 * time.Second
	// responseMargin is left for the responses to the requests that are open at the end of a graceful stop.
	responseMargin = 300 * time.Millisecond
	// shutdownMargin is the part of the grace period before SIGKILL that is left for the end of the process.
	shutdownMargin = time.Second
	// unreadyDelay is how long the load balancer takes to notice that a process is leaving: two probes a second apart.
	unreadyDelay = 2500 * time.Millisecond
	// retentionFactor times the period for which results must be readable gives how long a job stays in the store after it
	// has ended: a trainer may read its results, or repeat its calls, later than the platform requires.
	retentionFactor = 4
	// handoverTimeout bounds the handover of open jobs at shutdown.
	handoverTimeout = 3500 * time.Millisecond
	// maxRedialPause is the longest pause between two dials of another entry.
	maxRedialPause = time.Second
	// metricsPort is the port of the metrics endpoint, outside the range of ports that the platform assigns.
	metricsPort = 9464
)

// platformEntry holds the components of the program when the platform provides its settings.
type platformEntry struct {
	settings  node.Settings
	secret    []byte // shared by all entries; proved in the link handshake
	inc       string
	logger    *slog.Logger
	logWriter *linelog.Writer
	leaving   atomic.Bool

	store   *platform.Store
	catalog *catalog.Catalog
	peers   *peer.Peers
	batch   *batch.Manager
	ingress *ingress.Ingress
	usage   *duty.Duty // nil if the deployment asks for no usage reports
	server  *http.Server
	memory  *memory
	clients atomic.Pointer[budget.Listener] // of the clients' port; nil before it is open
	metrics fasthttp.RequestHandler
	tree    *suture.Supervisor
}

// preparePlatform loads the settings that the platform provides.
func preparePlatform() (program.Serve, error) {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return nil, err
	}
	var secret []byte
	// An instance that serves no clients has no links to other entries.
	if s.Ingress != "" {
		if secret, err = program.Secret(); err != nil {
			return nil, err
		}
	}
	return func(ctx context.Context, _ io.Writer) error { return servePlatform(ctx, s, secret) }, nil
}

// validateSettings checks the settings that the platform provides now.
func validateSettings() error {
	_, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	return err
}

// servePlatform runs the program with settings of the platform until ctx ends.
func servePlatform(ctx context.Context, s node.Settings, secret []byte) error {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	logWriter, logger := program.NewLogger(s.Name)
	defer logWriter.Close()
	p := &platformEntry{
		settings:  s,
		secret:    secret,
		inc:       ulid.Make().String(),
		logWriter: logWriter,
		logger:    logger,
	}
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.build(lifetime); err != nil {
		return err
	}
	go supervise.Guard(logger, "reload", func() { program.RereadOnHangup(lifetime, validateSettings, logger) })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Serve returns only when lifetime ends.
		_ = p.tree.Serve(lifetime)
	}()
	event.Started.Log(p.logger, "inc", p.inc, "role", s.Role, "domain", s.Domain, "ingress", s.Ingress, "memory", s.MemoryBytes)
	<-ctx.Done()
	event.Stopping.Log(p.logger)
	p.stop()
	cancel()
	select {
	case <-ended:
	case <-time.After(shutdownMargin):
	}
	event.Stopped.Log(p.logger, "dropped", logWriter.Dropped())
	return nil
}

// build creates the components for the role of the instance.
func (p *platformEntry) build(lifetime context.Context) error {
	s := p.settings
	p.tree = supervise.New("entry", p.logger)
	m, text, err := meter.New("entry")
	if err != nil {
		return err
	}
	connections := m.Counter("connections", "Requests to servers, by the connection that they were sent on.", "service", "use")
	pool := upstream.New(upstream.Limits{
		Dial: dialTimeout, Idle: maxIdleConns, Open: connectionLimit(s.MaxDescriptors, serverConnShare),
		Observe: func(service string, reused bool) {
			use := "opened"
			if reused {
				use = "reused"
			}
			connections.Add(1, service, use)
		},
	})
	// Store calls have a connection pool of their own, so that requests cannot exhaust it.
	storePool := upstream.New(upstream.Limits{Dial: dialTimeout, Idle: maxIdleStoreConns})
	p.store = platform.NewStore(s.Store.Address, program.StoreTimeout, storePool, p.logger)
	p.metrics = text
	p.memory = newMemory(s.MemoryBytes)
	p.memory.register(m)
	p.registerMetrics(m, pool, storePool)
	p.serveFast("metrics", net.JoinHostPort(s.IP, strconv.Itoa(metricsPort)), metricsConns, probeTime, p.metrics)
	if s.Ingress == "" {
		p.task("retirement", func(ctx context.Context) error {
			return retire.Run(ctx, s.Name, p.store, p.logger)
		})
		p.task("sweep", sweep.New(p.store, retentionFactor*s.Bounds.ResultRetention, p.logger).Run)
		return nil
	}
	return p.buildEntry(lifetime, pool, storePool, m)
}

// buildEntry creates the components that serve clients.
func (p *platformEntry) buildEntry(lifetime context.Context, pool, storePool *upstream.Pool, m *meter.Meter) error {
	s := p.settings
	p.catalog = catalog.New(p.logger)
	m.Gauge("limited_servers", "Servers that state a limit of their request rate.",
		func() float64 { return float64(p.catalog.Limits().Limited()) })
	source := newSeedSource(0)
	tracker := place.New(place.Home{Domain: s.Domain, Region: s.Region, Regions: s.Regions},
		p.catalog.Limits(), rand.New(rand.NewChaCha8(nextSeed(source))))
	tracker.SetConnections(pool)
	m.Gauge("waiting_prefill_tokens", "Prompt tokens of this entry's requests that wait at engines, as far as their sizes are stated.",
		func() float64 { return float64(tracker.WaitingTokens()) })
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.Ports.First))
	self := wire.Member{Address: address, Inc: p.inc, Domain: s.Domain, Region: s.Region}
	hello := func() wire.Hello {
		return wire.Hello{
			Name: s.Name, Role: "entry", Inc: p.inc, Domain: s.Domain, Region: s.Region, Leaving: p.leaving.Load(),
			Cores: s.Cores, Rate: s.Bandwidth,
		}
	}
	identity := link.NewIdentity(s.Name, p.secret, hello)
	jitter := &lockedRand{r: rand.New(rand.NewChaCha8(nextSeed(source)))}
	p.peers = peer.New(s.Name, identity, func() wire.Config { return wire.Config{} }, func(wire.Notice) {}, peer.Options{
		AckTimeout: time.Second, LinkTimeout: time.Second, MaxRedialDelay: maxRedialPause,
	}, jitter, p.logger)
	objects := relay.New(p.store, p.peers, p.logger)
	objects.Register(p.peers)
	turns := turn.New(turn.Options{
		Name: s.Name, Catalog: p.catalog, Tracker: tracker, Peers: p.peers, Logger: p.logger,
		Waits:   m.Histogram("turn_wait", "s", "Time that requests waited for a slot, by service and outcome."),
		Refused: m.Counter("turn_refused", "Requests refused because slots were short.", "service", "cause"),
	})
	m.Gauge("turn_waiting", "Requests that wait for a slot.", func() float64 { return float64(turns.Waiting()) })
	turns.Register()
	p.task("shares", turns.Run)
	feeder := platform.NewCatalogUpdater(p.catalog, p.logger)
	p.batch = batch.New(lifetime, batch.Options{
		Self: self, Name: s.Name, Cores: s.Cores, Store: objects, Peers: p.peers, Catalog: p.catalog, Pool: pool, Tracker: tracker, Turns: turns,
		Retention: s.Bounds.ResultRetention, MaxObjectBytes: s.Store.MaxValueBytes, Memory: p.memory.jobs, Logger: p.logger, LinkRate: s.Bandwidth,
		Outage: objects.Outage, Random: jitter, ReadConfig: func(ctx context.Context) error { return feeder.RefreshConfig(ctx, objects) },
		Steps:     m.Histogram("step_part", "s", "Parts of the time until a step has what its trainer waits for, of its last item."),
		LogFaults: m.Counter("job_log_faults", "Inconsistencies found in the logs of batch jobs.", "kind"),
	})
	p.batch.Register(p.peers)
	shared := occupancy.New(s.Name, tracker, p.peers)
	shared.Register()
	p.task("occupancy", shared.Run)
	limits := usage.New(p.catalog, p.peers)
	limits.Register()
	p.catalog.Limits().SetShare(p.peers.Share)
	p.task("limits", limits.Run)
	p.buildUsage(objects, storePool, m)
	suspects := p.suspects()
	p.peers.OnConnect(func(name string) {
		limits.SendSnapshot(time.Now())
		suspects.SendSnapshot(time.Now())
		p.batch.PeerConnected(name)
		if p.usage != nil {
			p.usage.PeerConnected(name)
		}
	})
	requestTime := m.Histogram("request", "s", "Time from arrival to the answer.")
	p.ingress = ingress.New(ingress.Options{
		Catalog: p.catalog, Pool: pool, Tracker: tracker, Jobs: p.batch,
		Random:        jitter,
		Bodies:        p.memory.bodies,
		Answers:       p.memory.answers,
		OnAnswersFull: p.closeStalled,
		Suspects:      suspects,
		Trials:        p.trials(suspects),
		Turns:         turns,
		ReadConfig:    func(ctx context.Context) error { return feeder.RefreshConfig(ctx, objects) },
		ConfigDelay:   s.Bounds.ConfigDelay,
		Logger:        p.logger,
		Observe: func(route string, status int, took time.Duration) {
			requestTime.Record(route, strconv.Itoa(status/100*100), took.Seconds())
		},
	})
	if p.usage != nil {
		p.ingress.Usage = p.usage
	}
	p.server = &http.Server{
		Handler:           p.ingress,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       clientIdleTimeout,
		ConnState:         budget.StateChanged,
		ConnContext:       budget.ConnContext,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	p.serveFast("links", address, linkConns, 0, acceptLinks(p.peers))
	p.serveFast("readiness", s.Readiness, readinessConns, probeTime, p.answerReady)
	p.listen("ingress", s.Ingress, func(l net.Listener) error {
		clients := p.clientListener(l)
		p.clients.Store(clients)
		err := p.server.Serve(clients)
		if errors.Is(err, http.ErrServerClosed) {
			<-lifetime.Done()
		}
		return err
	})
	p.task("hosts of jobs", p.ingress.FollowJobHosts)
	p.task("entries", p.peers.Serve)
	p.task("membership", member.New(s.Name, self, p.store, p.peers, p.logger).Run)
	now := time.Now()
	for kind, bound := range map[string]time.Duration{
		platform.KindConfig: s.Bounds.ConfigDelay, platform.KindServers: s.Bounds.DrainDelay,
	} {
		p.follow(objects, relay.ShareFeed(feeder.SetCallbacks(catalog.Feed{Kind: kind}), s.Name, bound, p.peers, now))
	}
	return nil
}

// buildUsage creates the component that reports usage, if the deployment asks for it. Calls of the platform's API use the
// connection pool of the store, so that requests cannot exhaust it.
func (p *platformEntry) buildUsage(objects *relay.Relay, pool *upstream.Pool, m *meter.Meter) {
	s := p.settings
	if !s.CloudAPI.Metering() {
		return
	}
	if missing := s.MissingForMetering(); missing != "" {
		event.UsageOff.Log(p.logger, "missing", missing)
		return
	}
	p.usage = duty.New(duty.Options{
		Name: s.Name, Inc: p.inc, Store: objects, Peers: p.peers, API: platform.NewCloudAPI(s.CloudAPI.Address, pool),
		Encode: platform.EncodeUsage, Enabled: p.hasWorkspaces, Changed: p.catalog.Changed, Bounds: s.Bounds, Rate: s.CloudAPI.Rate,
		MaxObject: s.Store.MaxValueBytes, Wall: time.Now, Boot: duty.BootTime, Logger: p.logger, Meter: m,
	})
	p.usage.Register()
	p.task("usage reports", p.usage.Run)
}

// hasWorkspaces reports whether the configuration names workspaces, whose requests are to be reported.
func (p *platformEntry) hasWorkspaces() bool {
	c := p.catalog.Config()
	return c != nil && c.Workspaces != nil
}

// suspects returns the set of requests suspected of crashing servers, which entries share with each other.
func (p *platformEntry) suspects() *ingress.Suspects {
	s := ingress.NewSuspects(func(c wire.Crash) { p.peers.Broadcast(link.Crash, c) })
	p.peers.Handle(link.Crash, func(_ context.Context, f link.Frame) (string, any, error) {
		var c wire.Crash
		if err := f.Decode(&c); err != nil {
			return "", nil, err
		}
		s.ApplyRemote(c, time.Now())
		return "", nil, nil
	})
	return s
}

// trials returns the trials of suspected requests, of which entries permit each other one at a time.
func (p *platformEntry) trials(s *ingress.Suspects) *ingress.Trials {
	t := ingress.NewTrials(p.settings.Name, p.peers, s, p.logger)
	p.peers.Handle(link.Trial, func(_ context.Context, f link.Frame) (string, any, error) {
		var q wire.Trial
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		r := t.Handle(q, time.Now())
		if q.Done {
			return "", nil, nil
		}
		return link.Granted, r, nil
	})
	return t
}

// connectionLimit returns how many descriptors a share allows, or 0 for no limit if the platform sets none.
func connectionLimit(descriptors int, share float64) int {
	return int(share * float64(max(descriptors-reservedDescriptors, 0)))
}

func (p *platformEntry) follow(s catalog.Source, f catalog.Feed) {
	p.task("news of "+f.Kind, func(ctx context.Context) error { return catalog.Follow(ctx, s, f, p.logger) })
}

func (p *platformEntry) task(name string, f func(context.Context) error) {
	p.tree.Add(supervise.Task(name, f))
}

// listen adds a task that serves an address; after a failure the supervisor restarts it with a new listener.
func (p *platformEntry) listen(name, address string, serve func(net.Listener) error) {
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

func (p *platformEntry) newFastServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               supervise.Handler(p.logger, h),
		NoDefaultServerHeader: true,
		ReadTimeout:           readHeaderTimeout,
		WriteTimeout:          fastWriteTimeout,
		IdleTimeout:           clientIdleTimeout,
		MaxRequestBodySize:    1,
		Logger:                slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

// answerReady answers the readiness probe of the load balancer. The process is ready once it knows routes and servers,
// and until it is leaving.
func (p *platformEntry) answerReady(ctx *fasthttp.RequestCtx) {
	if p.leaving.Load() || p.catalog.Config() == nil || !p.catalog.Synced() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// stop reports the process as unready, hands over the jobs and finishes the requests in flight. The listener closes as
// soon as the load balancer has noticed, however long the handover takes.
func (p *platformEntry) stop() {
	p.leaving.Store(true)
	if p.server == nil {
		return
	}
	now := time.Now()
	end := now.Add(p.settings.Bounds.Grace - shutdownMargin)
	p.ingress.Drain(end.Add(-responseMargin), now)
	if p.usage != nil {
		p.usage.Release()
	}
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		supervise.Guard(p.logger, "handover", func() {
			ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
			defer cancel()
			p.batch.Handover(ctx)
		})
	}()
	time.Sleep(unreadyDelay)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		event.ShutdownTimedOut.Log(p.logger, "cause", err.Error())
	}
	if p.usage != nil {
		p.usage.Close(context.Background())
	}
	<-handedOver
}

// registerMetrics exports gauges of the process.
func (p *platformEntry) registerMetrics(m *meter.Meter, pool, storePool *upstream.Pool) {
	m.Gauge("store_calls", "Calls of the object store, waiting watches included.",
		func() float64 { return float64(p.store.Calls()) })
	m.Gauge("server_connections", "Connections opened to servers and the store.",
		func() float64 { return float64(pool.DialAttempts() + storePool.DialAttempts()) })
	m.Gauge("log_lines_dropped", "Log lines that found no room.",
		func() float64 { return float64(p.logWriter.Dropped()) })
}
