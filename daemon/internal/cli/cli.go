// Package cli reads the command line and runs the program.
//
// # Usage
//
//	bulrush-daemon --config daemon.json
//	bulrush-daemon --config daemon.json --check
//
// Exit status: 0 after a graceful stop, 1 on a failure, 78 if the settings are invalid.
package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/settings"
)

const (
	exitOK      = 0
	exitFailure = 1
)

type options struct {
	Config string `long:"config" value-name:"FILE" required:"true" description:"Settings file"`
	Check  bool   `long:"check" description:"Only validate the settings"`
}

// Run runs the program with the given arguments and returns its exit status.
func Run(args []string) int {
	var o options
	p := flags.NewNamedParser("bulrush-daemon", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err)
	}
	if _, err := p.ParseArgs(args); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			fmt.Println(f.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	c, err := load(o.Config)
	if err != nil {
		event.SettingsInvalid.Log(defaults().Log.logger(), "file", o.Config, "cause", err.Error())
		return settings.ExitCode
	}
	if o.Check {
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, c, c.Log.logger()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}
