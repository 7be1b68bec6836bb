// Package program holds the command line, logging and process setup that the servers have in common.
//
// # Usage
//
//	func Run(args []string) int {
//		return program.Main("bulrush-entry", args, program.Loaders{File: func(path string) (program.Serve, error) { … }})
//	}
//
// The exit status is 0 after a graceful shutdown, 1 if the program fails, 2 for a command-line error and 78 for invalid
// settings.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"bulrushspoke/internal/node"
	"bulrushspoke/internal/settings"
)

// Exit statuses besides settings.ExitCode.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Serve runs a program with loaded settings until ctx ends and shuts it down gracefully. It logs to stderr.
type Serve func(ctx context.Context, stderr io.Writer) error

// Loader reads the settings file at path and returns the program to run with them.
type Loader func(path string) (Serve, error)

// Log is the logging section of the settings.
type Log struct {
	Level  slog.Level `json:"level"`
	Format string     `json:"format"` // json or text
}

// Logger returns a logger that writes to w.
func (l Log) Logger(w io.Writer) *slog.Logger {
	o := &slog.HandlerOptions{Level: l.Level}
	if l.Format == "text" {
		return slog.New(slog.NewTextHandler(w, o))
	}
	return slog.New(slog.NewJSONHandler(w, o))
}

// Loaders holds the loaders for the sources that settings may come from.
type Loaders struct {
	File     Loader                // from a settings file
	Platform func() (Serve, error) // from the platform that the process runs on; nil if the program does not support it
}

type options struct {
	Config   string `long:"config" short:"c" value-name:"FILE" description:"settings file"`
	Platform bool   `long:"platform" description:"take the settings from the platform in place of a file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// load reads the settings from the source that the options select.
func (o options) load(l Loaders) (Serve, error) {
	if o.Platform {
		return l.Platform()
	}
	return l.File(o.Config)
}

// validate checks that exactly one source of settings is selected.
func (o options) validate(l Loaders) error {
	switch {
	case o.Platform && o.Config != "":
		return errors.New("--config and --platform are mutually exclusive")
	case o.Platform && l.Platform == nil:
		return errors.New("this program does not support --platform")
	case !o.Platform && o.Config == "":
		return errors.New("the required flag `-c, --config' was not specified")
	}
	return nil
}

// Main runs the program of the given name until SIGTERM or an interrupt and returns its exit status.
func Main(name string, args []string, loads Loaders) int {
	// The handler is installed first, so that a signal during startup does not kill the process but stops it gracefully.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return Run(ctx, name, args, os.Stdout, os.Stderr, loads)
}

// Run runs the program of the given name until ctx ends and returns its exit status.
func Run(ctx context.Context, name string, args []string, stdout, stderr io.Writer, loads Loaders) int {
	var o options
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err) // only an invalid struct tag in options causes an error
	}
	rest, err := p.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err == nil {
		err = o.validate(loads)
	}
	if err != nil {
		return usage(err, stdout, stderr)
	}
	if o.Platform {
		ignoreHangup()
	}
	serve, err := o.load(loads)
	if err != nil {
		return fail(err, stderr)
	}
	if o.Check {
		_, _ = fmt.Fprintln(stdout, "the settings are valid")
		return exitOK
	}
	if err := serve(ctx, stderr); err != nil {
		return fail(err, stderr)
	}
	return exitOK
}

// usage prints the requested help or the command-line error, and returns the exit status.
func usage(err error, stdout, stderr io.Writer) int {
	var u *flags.Error
	if errors.As(err, &u) && u.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, err)
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
	return exitUsage
}

func fail(err error, stderr io.Writer) int {
	_, _ = fmt.Fprintln(stderr, err)
	var invalid *settings.Error
	var malformed *node.Error
	if errors.As(err, &invalid) || errors.As(err, &malformed) {
		return settings.ExitCode
	}
	return exitFailed
}
