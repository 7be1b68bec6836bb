package scenario_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bulrushspoke/scenario/rig"
)

const (
	parallel    = 4                // scripts at a time; each starts some 12 processes
	scriptLimit = 90 * time.Second // of one script
)

// race tells that the test binary has the race detector; the programs are then built with it too.
var race bool

// bin is the folder of the programs.
var bin string

// places bounds the scripts that run at a time.
var places = make(chan struct{}, parallel)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	rig.SeedPorts(uint64(os.Getpid()) * 97)
	if bin = os.Getenv("SCENARIO_BIN"); bin != "" {
		return m.Run()
	}
	var err error
	if bin, err = os.MkdirTemp("", "scenario"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(bin) }()
	if err := build(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// build compiles the programs that the scripts start.
func build() error {
	var flags []string
	if race {
		flags = append(flags, "-race")
	}
	return rig.Build("..", bin, map[string]string{
		"bulrush-entry": "entry", "bulrush-daemon": "daemon", "bulrush-standin": "standin",
	}, flags...)
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			places <- struct{}{}
			ctx, cancel := context.WithTimeout(context.Background(), scriptLimit)
			w := newWorld(ctx, rig.New(bin, e.WorkDir))
			e.Values[worldKey{}] = w
			e.Defer(func() {
				cancel()
				w.work.Wait()
				w.rig.Close()
				<-places
			})
			return nil
		},
		Cmds:                commands(),
		RequireExplicitExec: true,
	})
}

var errRace = errors.New("a program has a data race, see the logs")
