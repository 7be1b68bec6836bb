// Package cli reads the command line and runs the program.
//
// # Usage
//
//	bulrush-daemon --config daemon.json
//	bulrush-daemon --config daemon.json --check
//
// Exit status: 0 after a graceful stop, 1 on a failure, 2 on a wrong command line, 78 if the settings are invalid.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"bulrushspoke/internal/settings"
)

// Exit statuses beside settings.ExitCode.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Config string `long:"config" value-name:"FILE" required:"true" description:"Settings file"`
	Check  bool   `long:"check" description:"Only check the settings"`
}

// Run runs the program with the given arguments and returns its exit status.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return start(ctx, args, os.Stdout, os.Stderr)
}

func start(ctx context.Context, args []string, out, errs io.Writer) int {
	var o options
	p := flags.NewNamedParser("bulrush-daemon", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err)
	}
	rest, err := p.ParseArgs(args)
	if err != nil || len(rest) > 0 {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, err)
			return exitOK
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
		return exitOK
	}
	if err := run(ctx, c, c.Log.logger(errs)); err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return exitFailed
	}
	return exitOK
}
