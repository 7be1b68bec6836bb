// Package cli parses the command line of bulrush-daemon, loads its settings and runs it.
//
// # Usage
//
//	bulrush-daemon --config daemon.json
//	bulrush-daemon --config daemon.json --check
//	bulrush-daemon --platform
//
// Exit status: 0 after a graceful shutdown, 1 on failure, 2 for an invalid command line, 78 for invalid settings.
package cli

import (
	"context"
	"io"

	"bulrushspoke/internal/program"
)

const name = "bulrush-daemon"

// Run runs the program with the given arguments and returns its exit status.
func Run(args []string) int {
	return program.Main(name, args, program.Loaders{File: loadFile, Platform: loadPlatform})
}

// loadFile loads the settings file and returns the function that runs the daemon with it.
func loadFile(path string) (program.Serve, error) {
	c, err := load(path)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, errs io.Writer) error { return run(ctx, c, c.Log.Logger(errs)) }, nil
}
