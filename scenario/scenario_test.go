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
	maxParallel   = 4                // scripts at a time; each starts about 12 processes
	scriptTimeout = 90 * time.Second // per script
)

// raceEnabled is true if the test binary has the race detector; the programs are then built with it too.
var raceEnabled bool

// binDir is the directory of the programs.
var binDir string

// scriptSlots limits the number of scripts that run at a time.
var scriptSlots = make(chan struct{}, maxParallel)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	rig.SeedPorts(uint64(os.Getpid()) * 97)
	if binDir = os.Getenv("SCENARIO_BIN"); binDir != "" {
		return m.Run()
	}
	var err error
	if binDir, err = os.MkdirTemp("", "scenario"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(binDir) }()
	if err := buildPrograms(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// buildPrograms compiles the programs that the scripts start.
func buildPrograms() error {
	var flags []string
	if raceEnabled {
		flags = append(flags, "-race")
	}
	return rig.Build("..", binDir, map[string]string{
		"bulrush-entry": "entry", "bulrush-daemon": "daemon", "bulrush-standin": "standin",
	}, flags...)
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			scriptSlots <- struct{}{}
			ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
			w := newScript(ctx, rig.New(binDir, e.WorkDir))
			e.Values[scriptKey{}] = w
			e.Defer(func() {
				cancel()
				w.callers.Wait()
				w.rig.Close()
				<-scriptSlots
			})
			return nil
		},
		Cmds:                commands(),
		RequireExplicitExec: true,
	})
}

var errDataRace = errors.New("data race detected, see the logs of the programs")
