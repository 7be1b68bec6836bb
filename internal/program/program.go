// Package program is the command line and the log that the servers share.
//
// # Usage
//
//	func Run(args []string) int {
//		return program.Main("bulrush-entry", args, program.Loads{File: func(path string) (program.Serve, error) { … }})
//	}
//
// The exit status is 0 after a graceful stop, 1 if the program cannot run, 2 for a wrong command line and 78 for invalid
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

// Exit statuses beside settings.ExitCode.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Serve runs a program whose settings are loaded until ctx ends, and stops it gracefully. Its log goes to errs.
type Serve func(ctx context.Context, errs io.Writer) error

// Load reads the settings file at path.
type Load func(path string) (Serve, error)

// Log says what is logged and how.
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

// Loads are the ways to get the settings.
type Loads struct {
	File     Load                  // from our own settings file
	Platform func() (Serve, error) // from the platform that the process runs on; nil if the program has no such mode
}

type options struct {
	Config   string `long:"config" short:"c" value-name:"FILE" description:"settings file"`
	Platform bool   `long:"platform" description:"take the settings from the platform in place of a file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// load reads the settings from where the options say.
func (o options) load(l Loads) (Serve, error) {
	if o.Platform {
		return l.Platform()
	}
	return l.File(o.Config)
}

// validate checks that exactly one source of settings is named.
func (o options) validate(l Loads) error {
	switch {
	case o.Platform && o.Config != "":
		return errors.New("--config and --platform exclude each other")
	case o.Platform && l.Platform == nil:
		return errors.New("this program has no --platform mode")
	case !o.Platform && o.Config == "":
		return errors.New("the required flag `-c, --config' was not specified")
	}
	return nil
}

// Main runs the program of the given name until SIGTERM or an interrupt and returns its exit status.
func Main(name string, args []string, loads Loads) int {
	// Signals that come during the start must not kill the process before it can stop gracefully.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return Run(ctx, name, args, os.Stdout, os.Stderr, loads)
}

// Run runs the program of the given name until ctx ends and returns its exit status.
func Run(ctx context.Context, name string, args []string, out, errs io.Writer, loads Loads) int {
	var o options
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err) // only a wrong struct tag gets here
	}
	rest, err := p.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err == nil {
		err = o.validate(loads)
	}
	if err != nil {
		return usage(err, out, errs)
	}
	serve, err := o.load(loads)
	if err != nil {
		return fail(err, errs)
	}
	if o.Check {
		_, _ = fmt.Fprintln(out, "the settings are valid")
		return exitOK
	}
	if err := serve(ctx, errs); err != nil {
		return fail(err, errs)
	}
	return exitOK
}

// usage prints the help that was asked for, or what is wrong with the command line.
func usage(err error, out, errs io.Writer) int {
	var u *flags.Error
	if errors.As(err, &u) && u.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, err)
		return exitOK
	}
	_, _ = fmt.Fprintln(errs, err)
	return exitUsage
}

func fail(err error, errs io.Writer) int {
	_, _ = fmt.Fprintln(errs, err)
	var invalid *settings.Error
	var malformed *node.Error
	if errors.As(err, &invalid) || errors.As(err, &malformed) {
		return settings.ExitCode
	}
	return exitFailed
}
