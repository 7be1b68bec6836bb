// Command soak runs the programs as processes on the users' platform, injects random faults from outside and checks what
// clients, trainers and servers see.
//
// # Usage
//
//	make soak                      # 50 new seeds
//	go run ./scenario/soak -bin bin -seed 17 -runs 1
//	go run ./scenario/soak -bin bin -runs 2 -entries 20 -engines 100
//
// Each run starts entries, daemons and a keeper, each process with its own loopback address, and provides the rest of the
// platform in this process: the store, plain services and engines, clients with persistent connections, and trainers.
// Relays stand in front of the store, of the entries' links and of the entries' client ports.
//
// A run has two series of randomly overlapping faults:
//   - processes are killed, stopped, paused and restarted;
//   - connections are reset, delayed, or go silent in one or both directions;
//   - the store returns errors, loses responses, applies writes late and drops its history;
//   - servers crash, drain and misbehave;
//   - the configuration changes.
//
// In a third series, the store applies creations of records and leaves them unanswered while the links of the entry that
// wrote the record are cut or flap. Readers at every entry read each job from the positions that other clients have reached,
// without a wait. At the end, all entries are killed and started again before each job is read for the last time, so that
// the results come from the store.
//
// What clients and servers see is checked during the run (checker.go). A seed fixes the choice of the faults, not the
// timing of the processes. The programs use the real clock: none of their decisions compares the time of day of two
// instances, and pauses cover a clock that stands still.
//
// The exit status is 0 if no rule was violated and every run could be set up, otherwise 1. The logs of a failed run are
// kept.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"time"
)

// Range of the second octet of the loopback addresses; each run takes one.
const (
	firstNetwork = 64
	lastNetwork  = 254
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	seed := flag.Uint64("seed", 0, "first seed; 0 takes it from the clock")
	runs := flag.Int("runs", 1, "number of seeds")
	parallel := flag.Int("parallel", 3, "number of concurrent runs")
	keepLogs := flag.Bool("keep", false, "keep the logs of all runs")
	z := size{}
	flag.IntVar(&z.entries, "entries", 3, "number of entries")
	flag.IntVar(&z.engines, "engines", 4, "number of engines, each with a daemon")
	flag.IntVar(&z.plain, "plain", 2, "servers of each plain service")
	flag.IntVar(&z.models, "models", 2, "number of models, each with a trainer")
	flag.Parse()
	if *seed == 0 {
		*seed = uint64(time.Now().Unix())
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	os.Exit(runSeeds(ctx, *bin, *seed, *runs, *parallel, *keepLogs, z))
}

// runSeeds executes one run for each of the consecutive seeds and returns the exit status.
func runSeeds(ctx context.Context, bin string, seed uint64, runs, parallel int, keepLogs bool, z size) int {
	var g sync.WaitGroup
	var mu sync.Mutex
	status := 0
	next := make(chan uint64)
	for range parallel {
		g.Go(func() {
			for n := range next {
				// Sockets of the previous run may linger in its network.
				network := firstNetwork + (os.Getpid()+int(n-seed))%(lastNetwork-firstNetwork+1)
				text, ok := runSeed(ctx, bin, network, n, keepLogs, z)
				mu.Lock()
				fmt.Println(text)
				if !ok {
					status = 1
				}
				mu.Unlock()
			}
		})
	}
	for i := range runs {
		select {
		case next <- seed + uint64(i):
		case <-ctx.Done():
		}
	}
	close(next)
	g.Wait()
	return status
}

// runSeed executes the run of one seed. It returns a report, and false if the run failed or violated a rule. Otherwise it
// removes the logs, unless keepLogs is set.
func runSeed(ctx context.Context, bin string, network int, seed uint64, keepLogs bool, z size) (string, bool) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return err.Error(), false
	}
	o, err := execute(ctx, bin, filepath.Clean(dir), network, seed, z)
	if err != nil {
		return fmt.Sprintf("seed %d: %v\n  logs: %s", seed, err, dir), false
	}
	if len(o.violations) == 0 && !keepLogs {
		if err := os.RemoveAll(dir); err != nil {
			return err.Error(), false
		}
	}
	return o.String(), len(o.violations) == 0
}
