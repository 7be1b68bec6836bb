// Package cli reads the command line and runs the program.
//
// # Usage
//
//	bulrush-daemon --config daemon.json
//	bulrush-daemon --config daemon.json --check
//	bulrush-daemon --platform
//
// Exit status: 0 after a graceful stop, 1 on a failure, 2 on a wrong command line, 78 if the settings are invalid.
package cli

import (
	"context"
	"io"

	"bulrushspoke/internal/program"
)

const name = "bulrush-daemon"

// Run runs the program with the given arguments and returns its exit status.
func Run(args []string) int {
	return program.Main(name, args, program.Loads{File: prepare, Platform: preparePlatform})
}

// prepare loads the settings.
func prepare(path string) (program.Serve, error) {
	c, err := load(path)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, errs io.Writer) error { return run(ctx, c, c.Log.Logger(errs)) }, nil
}
