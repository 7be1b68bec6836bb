// Package cli reads the command line and runs the program.
//
// # Usage
//
//	bulrush-entry --config entry.json
//	bulrush-entry --config entry.json --check
//
// The exit status is 0 after a graceful stop, 1 if the program cannot run, 2 for a wrong command line and 78 for invalid
// settings.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"bulrushspoke/entry/internal/redial"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/settings"
)

// Exit statuses beside settings.ExitCode.
const (
	exitFailed = 1
	exitUsage  = 2
)

// closeLimit bounds the end of the tasks and links after the last request.
const closeLimit = 10 * time.Second

type options struct {
	Config string `long:"config" short:"c" required:"true" value-name:"FILE" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings and exit"`
}

// Run runs the program with the given arguments and returns its exit status.
func Run(args []string) int {
	// Signals that come during the start must not kill the process before it can stop gracefully.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, out, errs io.Writer) int {
	var o options
	p := flags.NewNamedParser("bulrush-entry", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err) // only a wrong struct tag gets here
	}
	if rest, err := p.ParseArgs(args); err != nil || len(rest) > 0 {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, err)
			return 0
		}
		if err == nil {
			err = fmt.Errorf("unexpected argument %q", rest[0])
		}
		_, _ = fmt.Fprintln(errs, err)
		return exitUsage
	}
	c, err := load(o.Config)
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		var invalid *settings.Error
		if errors.As(err, &invalid) {
			return settings.ExitCode
		}
		return exitFailed
	}
	if o.Check {
		_, _ = fmt.Fprintln(out, "the settings are valid")
		return 0
	}
	if err := serve(ctx, c, newLogger(c, errs)); err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return exitFailed
	}
	return 0
}

func newLogger(c config, w io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(c.Log.Level)) // the schema allows only known levels
	o := &slog.HandlerOptions{Level: level}
	if c.Log.Format == "text" {
		return slog.New(slog.NewTextHandler(w, o)).With("name", c.Name)
	}
	return slog.New(slog.NewJSONHandler(w, o)).With("name", c.Name)
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
	life, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := e.start(life, public, links)
	event.Started.Log(logger, "listen", public.Addr().String(), "link", links.Addr().String(),
		"advertise", c.Link.Advertise, "inc", e.inc)
	<-ctx.Done()
	event.Stopping.Log(logger)
	e.stop(c)
	cancel()
	select {
	case <-ended:
	case <-time.After(closeLimit):
	}
	event.Stopped.Log(logger)
	return nil
}

// stop lets the load balancer turn away, finishes what is in flight and hands over the steps.
func (e *entry) stop(c config) {
	e.leaving.Store(true)
	redial.Sleep(context.Background(), c.Timeouts.Unready.Std())
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeouts.Drain.Std())
	defer cancel()
	if err := e.gate.Shutdown(ctx); err != nil {
		event.StopCut.Log(e.logger, "cause", err.Error())
	}
	e.close()
}
