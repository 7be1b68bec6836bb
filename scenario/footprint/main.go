// Command footprint measures the memory and processor time of real entries and daemons at several sizes.
//
// # Usage
//
//	go run ./scenario/footprint -bin bin
//
// docs/CAPACITY.md is derived from its results. It prints the memory and processor time of one idle daemon for several
// numbers of entries, the cost per request of daemon and entry for several numbers of requests, and the latency through
// both compared with a direct call to the engine. All processes run on loopback and end with the command.
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
	runTimeout = 4 * time.Minute
	idlePeriod = 10 * time.Second
	// clockTick is the unit of processor times in /proc; Linux has 100 ticks per second.
	clockTick   = 10 * time.Millisecond
	concurrency = 16
	shortTokens = 16
	longTokens  = 256
)

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := run(ctx, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "footprint:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, bin string) error {
	rig.SeedPorts(uint64(os.Getpid()) * 89)
	for _, n := range []int{1, 4, 8, 16} {
		if err := measureIdle(ctx, bin, n); err != nil {
			return err
		}
	}
	return measureLoad(ctx, bin)
}

// startFleet starts entries and one daemon with one fast engine, and returns the fleet and a function that stops it.
func startFleet(ctx context.Context, bin string, entries int) (*rig.Fleet, func(), error) {
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
	stop := func() {
		f.Close()
		_ = os.RemoveAll(dir)
	}
	if err := f.Start(ctx); err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}

// usage holds the resident memory of a process and its processor time so far.
type usage struct {
	residentBytes int64
	cpuTime       time.Duration
}

func measure(f *rig.Fleet, name string) (usage, error) {
	p, err := f.Process(name)
	if err != nil {
		return usage{}, err
	}
	proc := "/proc/" + strconv.Itoa(p.PID())
	stat, err := os.ReadFile(proc + "/stat")
	if err != nil {
		return usage{}, err
	}
	// The name in parentheses may contain spaces; user and system time are fields 14 and 15 of the line.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{residentBytes: pages * int64(os.Getpagesize()), cpuTime: time.Duration(user+system) * clockTick}, nil
}

// measureIdle prints the memory and processor time of an idle daemon with links from the given number of entries.
func measureIdle(ctx context.Context, bin string, entries int) error {
	f, stop, err := startFleet(ctx, bin, entries)
	if err != nil {
		return err
	}
	defer stop()
	before, err := measure(f, "daemon")
	if err != nil {
		return err
	}
	time.Sleep(idlePeriod)
	after, err := measure(f, "daemon")
	if err != nil {
		return err
	}
	entry, err := measure(f, "entry-0")
	if err != nil {
		return err
	}
	fmt.Printf("at rest, %2d entries: daemon %.1f MiB, %.2f%% of a core; an entry %.1f MiB\n", entries,
		float64(after.residentBytes)/(1<<20), 100*float64(after.cpuTime-before.cpuTime)/float64(idlePeriod),
		float64(entry.residentBytes)/(1<<20))
	return nil
}

// measureLoad prints the cost of requests and the latency that entry and daemon add.
func measureLoad(ctx context.Context, bin string) error {
	f, stop, err := startFleet(ctx, bin, 1)
	if err != nil {
		return err
	}
	defer stop()
	sendRequests(ctx, f, 200, shortTokens)
	for _, tokens := range []int{shortTokens, longTokens} {
		for _, n := range []int{1000, 2000, 4000} {
			if err := measureCost(ctx, f, n, tokens); err != nil {
				return err
			}
		}
	}
	proxied, direct := measureLatency(ctx, f)
	fmt.Printf("one request of %d tokens, median of 200: direct %v, through entry and daemon %v, added %v\n", shortTokens, direct,
		proxied, proxied-direct)
	return nil
}

func measureCost(ctx context.Context, f *rig.Fleet, n, tokens int) error {
	names := []string{"daemon", "entry-0"}
	var before, after [2]usage
	var err error
	for i, name := range names {
		if before[i], err = measure(f, name); err != nil {
			return err
		}
	}
	served := sendRequests(ctx, f, n, tokens)
	for i, name := range names {
		if after[i], err = measure(f, name); err != nil {
			return err
		}
	}
	each := func(i int) time.Duration {
		return ((after[i].cpuTime - before[i].cpuTime) / time.Duration(n)).Round(time.Microsecond)
	}
	fmt.Printf("%d requests of %d tokens, %d served: daemon %v each, %.1f MiB; entry %v each, %.1f MiB\n", n, tokens, served,
		each(0), float64(after[0].residentBytes)/(1<<20), each(1), float64(after[1].residentBytes)/(1<<20))
	return nil
}

// sendRequests sends n requests with the given concurrency and returns the number that were served.
func sendRequests(ctx context.Context, f *rig.Fleet, n, tokens int) int {
	var g sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for w := range concurrency {
		g.Go(func() {
			for i := w; i < n; i += concurrency {
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

// measureLatency returns the median time of requests through entry and daemon, and of the same requests sent directly
// to the engine.
func measureLatency(ctx context.Context, f *rig.Fleet) (proxied, direct time.Duration) {
	var proxiedTimes, directTimes []time.Duration
	for i := range 200 {
		start := time.Now()
		_ = rig.Complete(ctx, f.Entries()[0], rig.LiveToken, request(i, shortTokens))
		proxiedTimes = append(proxiedTimes, time.Since(start))
		q := wire.EngineRequest{ID: "direct-" + strconv.Itoa(i), Prompt: "plan " + strconv.Itoa(i), Max: shortTokens}
		start = time.Now()
		_, _ = rig.Do(ctx, "POST", f.URL("engine")+"/v1/completions", q, nil)
		directTimes = append(directTimes, time.Since(start))
	}
	slices.Sort(proxiedTimes)
	slices.Sort(directTimes)
	return proxiedTimes[len(proxiedTimes)/2].Round(time.Microsecond),
		directTimes[len(directTimes)/2].Round(time.Microsecond)
}
