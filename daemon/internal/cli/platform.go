package cli

import (
	"context"
	"io"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"

	"bulrushspoke/daemon/internal/naming"
	"bulrushspoke/daemon/internal/rollout"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/node"
	"bulrushspoke/internal/program"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
)

const (
	// engineTimeout bounds a call to the engine on this instance.
	engineTimeout = time.Second
	// maxIdleConns bounds idle connections; the daemon needs one to the engine and a few to the store.
	maxIdleConns = 8
	// memoryLimitRatio is the Go runtime's memory limit as a fraction of the instance's memory.
	memoryLimitRatio = 0.5
	// gcPercent is below Go's default: the process allocates little, so frequent collections are cheap and save memory.
	gcPercent = 25
)

// loadPlatform loads the settings provided by the platform and returns the function that runs the daemon with them.
func loadPlatform() (program.Serve, error) {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return nil, err
	}
	if s.Engine == "" {
		return nil, node.NewError("engine", "no upstream is configured for this instance")
	}
	secret, err := program.Secret()
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, _ io.Writer) error { return runPlatform(ctx, s, secret) }, nil
}

// runPlatform keeps the engine on this instance at the weight versions announced by trainers until ctx ends.
func runPlatform(ctx context.Context, s node.Settings, secret []byte) error {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	logWriter, logger := program.NewLogger(s.Name)
	defer logWriter.Close()
	pool := upstream.New(upstream.Limits{Dial: engineTimeout, Idle: maxIdleConns})
	objects := platform.NewStore(s.Store.Address, program.StoreTimeout, pool, logger)
	cat := catalog.New(logger)
	feed := platform.NewCatalogUpdater(cat, logger).SetCallbacks(catalog.Feed{Kind: platform.KindVersions})
	servers := func(ctx context.Context) ([]catalog.Server, error) { return objects.Servers(ctx, logger) }
	r := rollout.New(rollout.Options{
		Name: s.Name, Address: s.Engine, Service: s.Service, Catalog: cat, Logger: logger,
		Engine:  platform.NewEngine(s.Engine, engineTimeout, pool),
		Servers: servers,
	})
	supervisor := supervise.New("daemon", logger)
	n := naming.New(naming.Options{
		Address: s.Engine, Service: s.Service, Port: s.Ports.First, Secret: secret,
		Listen: net.JoinHostPort(s.IP, strconv.Itoa(s.Ports.First)),
		Feed:   feed, Source: objects, Catalog: cat, Servers: servers, Logger: logger,
	})
	supervisor.Add(supervise.Task("naming", n.Run))
	supervisor.Add(supervise.Task("rollout", r.Run))
	// The daemon has no settings that can change while it runs.
	go program.RereadOnHangup(ctx, func() error { return nil }, logger)
	event.Started.Log(logger, "inc", ulid.Make().String(), "role", s.Role, "engine", s.Engine)
	// The supervisor only returns when ctx ends.
	_ = supervisor.Serve(ctx)
	event.Stopped.Log(logger, "dropped", logWriter.Dropped())
	return nil
}
