// Command soak runs the programs as processes on the users' platform, injects random faults from outside and checks what
// clients, trainers and servers see.
//
// # Usage
//
//	make soak                      # fifty fresh seeds
//	go run ./scenario/soak -bin bin -seed 17 -runs 1
//	go run ./scenario/soak -bin bin -runs 2 -entries 20 -engines 100
//
// A run starts entries, daemons and a keeper, each with a loopback address of its own, and plays the platform around
// them: its store, the plain services and engines, clients that keep their connections, and trainers. Relays stand in
// front of the store, of the entries' links and of their clients. Two series of faults overlap at random: processes are
// killed, stopped, paused and restarted; connections are reset, delayed, or silent one way or both; the store refuses,
// loses answers, writes late and forgets; servers crash, leave and misbehave; the configuration changes. What clients and
// servers see is judged at once (ledger.go). A seed fixes the choice of the faults, not the timing of the processes. The
// programs' clocks are real: none of their decisions compares the time of day of two instances, and pauses show what a
// clock that stands still does.
//
// The exit status is 0 if no rule was broken. Logs of a run that broke one are kept.
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

// networks are the second numbers of the loopback addresses that runs use.
const (
	firstNetwork = 64
	lastNetwork  = 254
)

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	seed := flag.Uint64("seed", 0, "first seed; 0 for one from the clock")
	runs := flag.Int("runs", 1, "number of seeds")
	parallel := flag.Int("parallel", 3, "runs at a time")
	keep := flag.Bool("keep", false, "keep the logs of all runs")
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
	os.Exit(soak(ctx, *bin, *seed, *runs, *parallel, *keep, z))
}

// soak plays the runs of consecutive seeds and returns the exit status.
func soak(ctx context.Context, bin string, seed uint64, runs, parallel int, keep bool, z size) int {
	var g sync.WaitGroup
	var mu sync.Mutex
	status := 0
	next := make(chan uint64)
	for range parallel {
		g.Go(func() {
			for n := range next {
				// Sockets of the run before may linger in its network.
				network := firstNetwork + (os.Getpid()+int(n-seed))%(lastNetwork-firstNetwork+1)
				text, ok := one(ctx, bin, network, n, keep, z)
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

// one plays one seed and reports whether no rule was broken; it removes the logs then.
func one(ctx context.Context, bin string, network int, seed uint64, keep bool, z size) (string, bool) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return err.Error(), false
	}
	o, err := play(ctx, bin, filepath.Clean(dir), network, seed, z)
	if err != nil {
		return fmt.Sprintf("seed %d: %v\n  logs: %s", seed, err, dir), false
	}
	if len(o.verdicts) == 0 && !keep {
		if err := os.RemoveAll(dir); err != nil {
			return err.Error(), false
		}
	}
	return o.String(), len(o.verdicts) == 0
}
