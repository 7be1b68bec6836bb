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
	// engineTimeout bounds a call to the engine on the same instance.
	engineTimeout = time.Second
	// idleMost bounds idle connections: one to the engine and few to the store.
	idleMost = 8
	// memoryShare is the part of the instance's memory that the garbage collector keeps the process within.
	memoryShare = 0.5
	// collectPercent makes the collector run early: the process allocates little, and memory is dear.
	collectPercent = 25
)

// preparePlatform loads the settings that the platform gives.
func preparePlatform() (program.Serve, error) {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return nil, err
	}
	if s.Engine == "" {
		return nil, node.NewError("engine", "there is no upstream on this instance")
	}
	secret, err := program.Secret()
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, _ io.Writer) error { return runPlatform(ctx, s, secret) }, nil
}

// runPlatform brings the engine on this instance to the weight versions that trainers name, until ctx ends.
func runPlatform(ctx context.Context, s node.Settings, secret []byte) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	debug.SetGCPercent(collectPercent)
	lines, logger := program.Lines(s.Name)
	defer lines.Close()
	pool := upstream.New(upstream.Limits{Dial: engineTimeout, Idle: idleMost})
	objects := platform.NewStore(s.Store.Address, program.StoreTimeout, pool, logger)
	known := catalog.New(logger)
	feed := platform.NewFeeder(known, logger).Fill(catalog.Feed{Kind: platform.KindVersions})
	servers := func(ctx context.Context) ([]catalog.Server, error) { return objects.Servers(ctx, logger) }
	r := rollout.New(rollout.Options{
		Name: s.Name, Address: s.Engine, Service: s.Service, Catalog: known, Logger: logger,
		Engine:  platform.NewEngine(s.Engine, engineTimeout, pool),
		Servers: servers,
	})
	tree := supervise.New("daemon", logger)
	n := naming.New(naming.Options{
		Address: s.Engine, Service: s.Service, Port: s.Ports.First, Secret: secret,
		Listen: net.JoinHostPort(s.IP, strconv.Itoa(s.Ports.First)),
		Feed:   feed, Source: objects, Catalog: known, Servers: servers, Logger: logger,
	})
	tree.Add(supervise.Task("naming", n.Run))
	tree.Add(supervise.Task("rollout", r.Run))
	// No setting of the daemon can change while it runs.
	go program.OnHangup(ctx, func() error { return nil }, logger)
	event.Started.Log(logger, "inc", ulid.Make().String(), "role", s.Role, "engine", s.Engine)
	// The tree ends with ctx only.
	_ = tree.Serve(ctx)
	event.Stopped.Log(logger, "dropped", lines.Dropped())
	return nil
}
