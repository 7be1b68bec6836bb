// Package cli reads the command line and runs the program.
//
// # Usage
//
//	bulrush-entry --config entry.json
//	bulrush-entry --config entry.json --check
//	bulrush-entry --platform
//
// The exit status is 0 after a graceful stop, 1 if the program cannot run, 2 for a wrong command line and 78 for
// invalid settings.
package cli

import (
	"context"
	"io"
	"log/slog"
	"net"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/program"
	"bulrushspoke/internal/sleep"
)

// shutdownTimeout bounds how long tasks and links may take to stop after the last request.
const shutdownTimeout = 10 * time.Second

// Run runs the program with the given arguments and returns its exit status.
func Run(args []string) int {
	return program.Main(name, args, program.Loaders{File: prepare, Platform: preparePlatform})
}

const name = "bulrush-entry"

// prepare loads the settings.
func prepare(path string) (program.Serve, error) {
	c, err := load(path)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, errs io.Writer) error {
		return serve(ctx, c, c.Log.Logger(errs).With("name", c.Name))
	}, nil
}

// serve runs the entry until ctx ends and stops it gracefully.
func serve(ctx context.Context, c config, logger *slog.Logger) error {
	public, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	links, err := net.Listen("tcp", c.Link.Listen)
	if err != nil {
		_ = public.Close()
		return err
	}
	e, err := build(c, logger)
	if err != nil {
		return err
	}
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := e.start(lifetime, public, links)
	event.Started.Log(logger, "listen", public.Addr().String(), "link", links.Addr().String(),
		"advertise", c.Link.Advertise, "inc", e.inc)
	<-ctx.Done()
	event.Stopping.Log(logger)
	e.stop(c)
	cancel()
	select {
	case <-ended:
	case <-time.After(shutdownTimeout):
	}
	event.Stopped.Log(logger)
	return nil
}

// stop reports the entry as unready, waits for the load balancer to notice, finishes the requests in flight and hands
// over the steps.
func (e *entry) stop(c config) {
	e.leaving.Store(true)
	sleep.For(context.Background(), c.Timeouts.Unready.Std())
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeouts.Drain.Std())
	defer cancel()
	if err := e.gate.Shutdown(ctx); err != nil {
		event.ShutdownTimedOut.Log(e.logger, "cause", err.Error())
	}
	e.close()
}
