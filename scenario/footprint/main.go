// Command footprint measures the memory and processor time of real entries and daemons at several sizes.
//
// # Usage
//
//	go run ./scenario/footprint -bin bin
//
// docs/CAPACITY.md is worked out from its slopes. It prints, for several numbers of entries, what one daemon needs at
// rest; for several numbers of requests, what daemon and entry spend on them; and the latency through both beside that
// of a direct call to the engine. All processes run on loopback and end with the command.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushspoke/scenario/rig"
	"bulrushspoke/wire"
)

const (
	limit = 4 * time.Minute
	rest  = 10 * time.Second
	// tick is the unit of processor times in /proc, 100 a second on Linux.
	tick     = 10 * time.Millisecond
	parallel = 16
	short    = 16
	long     = 256
)

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := run(ctx, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "footprint:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, bin string) error {
	rig.SeedPorts(uint64(os.Getpid()) * 89)
	for _, n := range []int{1, 4, 8, 16} {
		if err := idle(ctx, bin, n); err != nil {
			return err
		}
	}
	return busy(ctx, bin)
}

// start runs a fleet of entries in front of one daemon with one fast engine.
func start(ctx context.Context, bin string, entries int) (*rig.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "bulrush-footprint")
	if err != nil {
		return nil, nil, err
	}
	site := rig.Site{Region: "nord", Domain: "nord-1"}
	l := rig.Layout{
		Daemons: []rig.Instance{{Name: "daemon", Site: site, Engines: []string{"engine"}}},
		Slots:   64, TokenRate: 5000, ListLag: time.Millisecond, Staleness: 1,
	}
	for i := range entries {
		l.Entries = append(l.Entries, rig.Instance{Name: "entry-" + strconv.Itoa(i), Site: site})
	}
	f := rig.NewFleet(rig.New(bin, dir), l)
	end := func() {
		f.Close()
		_ = os.RemoveAll(dir)
	}
	if err := f.Start(ctx); err != nil {
		end()
		return nil, nil, err
	}
	return f, end, nil
}

// use is what a process has used so far.
type use struct {
	memory int64 // resident bytes
	time   time.Duration
}

func measure(f *rig.Fleet, name string) (use, error) {
	p, err := f.Process(name)
	if err != nil {
		return use{}, err
	}
	proc := "/proc/" + strconv.Itoa(p.PID())
	stat, err := os.ReadFile(proc + "/stat")
	if err != nil {
		return use{}, err
	}
	// The name in parentheses may hold spaces; user and system time are fields 14 and 15 of the line.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return use{memory: pages * int64(os.Getpagesize()), time: time.Duration(user+system) * tick}, nil
}

// idle prints what a daemon needs at rest with links from the given number of entries.
func idle(ctx context.Context, bin string, entries int) error {
	f, end, err := start(ctx, bin, entries)
	if err != nil {
		return err
	}
	defer end()
	before, err := measure(f, "daemon")
	if err != nil {
		return err
	}
	time.Sleep(rest)
	after, err := measure(f, "daemon")
	if err != nil {
		return err
	}
	entry, err := measure(f, "entry-0")
	if err != nil {
		return err
	}
	fmt.Printf("at rest, %2d entries: daemon %.1f MiB, %.2f%% of a core; an entry %.1f MiB\n", entries,
		float64(after.memory)/(1<<20), 100*float64(after.time-before.time)/float64(rest), float64(entry.memory)/(1<<20))
	return nil
}

// busy prints what requests cost, and the latency that entry and daemon add.
func busy(ctx context.Context, bin string) error {
	f, end, err := start(ctx, bin, 1)
	if err != nil {
		return err
	}
	defer end()
	load(ctx, f, 200, short)
	for _, tokens := range []int{short, long} {
		for _, n := range []int{1000, 2000, 4000} {
			if err := cost(ctx, f, n, tokens); err != nil {
				return err
			}
		}
	}
	through, direct := latency(ctx, f)
	fmt.Printf("one request of %d tokens, median of 200: direct %v, through entry and daemon %v, added %v\n", short, direct,
		through, through-direct)
	return nil
}

func cost(ctx context.Context, f *rig.Fleet, n, tokens int) error {
	names := []string{"daemon", "entry-0"}
	var before, after [2]use
	var err error
	for i, name := range names {
		if before[i], err = measure(f, name); err != nil {
			return err
		}
	}
	served := load(ctx, f, n, tokens)
	for i, name := range names {
		if after[i], err = measure(f, name); err != nil {
			return err
		}
	}
	each := func(i int) time.Duration {
		return ((after[i].time - before[i].time) / time.Duration(n)).Round(time.Microsecond)
	}
	fmt.Printf("%d requests of %d tokens, %d served: daemon %v each, %.1f MiB; entry %v each, %.1f MiB\n", n, tokens, served,
		each(0), float64(after[0].memory)/(1<<20), each(1), float64(after[1].memory)/(1<<20))
	return nil
}

// load sends n requests, some at a time, and returns how many were served.
func load(ctx context.Context, f *rig.Fleet, n, tokens int) int {
	var g sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for w := range parallel {
		g.Go(func() {
			for i := w; i < n; i += parallel {
				c := rig.Complete(ctx, f.Entries()[0], rig.LiveToken, request(i, tokens))
				if c.Status == 200 && c.Error == "" {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		})
	}
	g.Wait()
	return served
}

func request(i, tokens int) wire.CompletionRequest {
	return wire.CompletionRequest{Model: rig.Model, Prompt: "plan " + strconv.Itoa(i), MaxTokens: tokens}
}

// latency returns the median time of a request through entry and daemon, and of the same one sent to the engine.
func latency(ctx context.Context, f *rig.Fleet) (through, direct time.Duration) {
	var a, b []time.Duration
	for i := range 200 {
		start := time.Now()
		_ = rig.Complete(ctx, f.Entries()[0], rig.LiveToken, request(i, short))
		a = append(a, time.Since(start))
		q := wire.EngineRequest{ID: "direct-" + strconv.Itoa(i), Prompt: "plan " + strconv.Itoa(i), Max: short}
		start = time.Now()
		_, _ = rig.Do(ctx, "POST", f.URL("engine")+"/v1/completions", q, nil)
		b = append(b, time.Since(start))
	}
	slices.Sort(a)
	slices.Sort(b)
	return a[len(a)/2].Round(time.Microsecond), b[len(b)/2].Round(time.Microsecond)
}
