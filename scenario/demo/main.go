// Command demo starts the programs and stand-ins and runs one training step concurrently with live traffic.
//
// # Usage
//
//	go run ./scenario/demo -bin bin
//
// It prints the results of the trainer and the callers. It exits with status 1 if a check of package history fails, a
// call is not served or the weight change does not reach the samples.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"bulrushspoke/scenario/history"
	"bulrushspoke/scenario/rig"
	"bulrushspoke/standin/report"
	"bulrushspoke/standin/token"
	"bulrushspoke/wire"
)

const (
	runTimeout          = 55 * time.Second // for the complete run
	groupCount          = 12
	groupSize           = 8
	sampleTokens        = 160
	publishAfterSamples = 32 // accepted samples after which new weights are published
	calls               = 60
	writes              = 30
	callInterval        = 100 * time.Millisecond // between the starts of calls
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func layout() rig.Layout {
	nord1, nord2 := rig.Site{Region: "nord", Domain: "nord-1"}, rig.Site{Region: "nord", Domain: "nord-2"}
	sud := rig.Site{Region: "sud", Domain: "sud-1"}
	return rig.Layout{
		Entries: []rig.Instance{{Name: "entry-nord", Site: nord1}, {Name: "entry-sud", Site: sud}},
		Daemons: []rig.Instance{
			{Name: "daemon-n1", Site: nord1, Engines: []string{"engine-n1a", "engine-n1b"}, Services: []string{"ledger-n1"}},
			{Name: "daemon-n2", Site: nord2, Engines: []string{"engine-n2"}},
			{Name: "daemon-s1", Site: sud, Engines: []string{"engine-s1a", "engine-s1b"}, Services: []string{"ledger-s1"}},
		},
		Slots: 8, TokenRate: 120, LoadTime: 300 * time.Millisecond, ServiceDelay: 20 * time.Millisecond,
		StaggerWindow: time.Second, ListLag: 500 * time.Millisecond, Staleness: 1, WeightBandwidth: 2 << 30,
	}
}

func run(ctx context.Context, bin string) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "bulrush-demo")
	if err != nil {
		return err
	}
	rig.SeedPorts(uint64(os.Getpid()) * 97)
	f := rig.NewFleet(rig.New(bin, dir), layout())
	defer f.Close()
	start := time.Now()
	if err := f.Start(ctx); err != nil {
		return fmt.Errorf("%w\n%s", err, f.Logs())
	}
	fmt.Printf("%d processes in 2 regions are up after %s\n\n", f.CountRunning(), time.Since(start).Round(time.Millisecond))
	h, err := runTraffic(ctx, f)
	if err != nil {
		return fmt.Errorf("%w\n%s", err, f.Logs())
	}
	if err := f.Collect(ctx, h); err != nil {
		return err
	}
	printSummary(h)
	if p := problems(h); len(p) > 0 {
		for _, line := range p {
			fmt.Println("PROBLEM:", line)
		}
		return fmt.Errorf("%d problems; logs are in %s", len(p), dir)
	}
	fmt.Println("\nno problem found")
	return os.RemoveAll(dir)
}

// runTraffic runs the step and the callers concurrently and returns their outcomes.
func runTraffic(ctx context.Context, f *rig.Fleet) (*history.History, error) {
	flags := []string{
		"trainer", "--token", rig.TrainerToken, "--run", "demo", "--model", rig.Model, "--staleness", "1",
		"--groups", strconv.Itoa(groupCount), "--samples", strconv.Itoa(groupSize), "--tokens", strconv.Itoa(sampleTokens),
		"--long", "1", "--stretch", "3", "--publish", strconv.Itoa(publishAfterSamples), "--compute", "10ms",
		"--timeout", "45s",
	}
	entries := f.Entries()
	for _, e := range entries {
		flags = append(flags, "--entry", e)
	}
	p, err := f.Rig.Start("trainer", "bulrush-standin", flags...)
	if err != nil {
		return nil, err
	}
	h := &history.History{}
	var mu sync.Mutex
	var g sync.WaitGroup
	for i := range max(calls, writes) {
		if i < calls {
			g.Go(func() {
				c := rig.Complete(ctx, entries[i%len(entries)], rig.LiveToken, wire.CompletionRequest{
					Model: rig.Model, Prompt: fmt.Sprintf("short plan %d", i), MaxTokens: 40, Stream: i%2 == 0,
				})
				mu.Lock()
				defer mu.Unlock()
				h.Completions = append(h.Completions, c)
			})
		}
		// Each key is sent through both entries concurrently.
		for j := range entries {
			if i >= writes {
				break
			}
			g.Go(func() {
				w := rig.Write(ctx, entries[j], rig.LedgerToken, rig.Service, "cutting-"+strconv.Itoa(i), "/cuttings")
				mu.Lock()
				defer mu.Unlock()
				h.Writes = append(h.Writes, w)
			})
		}
		time.Sleep(callInterval)
	}
	g.Wait()
	if _, err := p.Wait(ctx); err != nil {
		return nil, err
	}
	text, err := p.Output()
	if err != nil {
		return nil, err
	}
	var s report.Step
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("decode trainer summary: %w", err)
	}
	h.Steps = append(h.Steps, s)
	return h, nil
}

// problems returns the violations and, because the demo injects no faults, each call that was not served.
func problems(h *history.History) []string {
	out := h.Check()
	for _, c := range h.Completions {
		if c.Status != 200 {
			out = append(out, fmt.Sprintf("completion %q: status %d %s %s%s", c.Prompt, c.Status, c.Code, c.Message, c.Error))
		}
	}
	for _, w := range h.Writes {
		if w.Status != 200 {
			out = append(out, fmt.Sprintf("write %s: status %d %s %s%s", w.Key, w.Status, w.Code, w.Message, w.Error))
		}
	}
	for _, s := range h.Steps {
		if len(s.Versions) < 2 {
			out = append(out, "the weight change did not reach the samples")
		}
	}
	return out
}

func printSummary(h *history.History) {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("trainer\tsamples\ttokens\ttotal ms\tidle ms\ttokens by version\toldest\tpulls")
	for _, s := range h.Steps {
		line("%s.%d\t%d\t%d\t%d\t%d\t%v\t%d\t%d", s.Run, s.Step, s.Samples, s.Tokens, s.Total, s.Idle, s.Versions, s.Oldest, s.Pulls)
	}
	line("\t\t\t\t\t\t\t")
	line("callers\tcalls\tserved\tp50 ms\tp99 ms\tfirst token p50, p99 ms\ttokens by version\t")
	var firstTokens, totals, writeTimes []int64
	versions, served, written := map[int64]int{}, 0, 0
	for _, c := range h.Completions {
		tokens, _ := token.Split(c.Text)
		for _, u := range tokens {
			versions[u.Version]++
		}
		if c.Status == 200 {
			served++
			firstTokens, totals = append(firstTokens, c.FirstToken), append(totals, c.Total)
		}
	}
	for _, w := range h.Writes {
		if w.Status == 200 {
			written++
			writeTimes = append(writeTimes, w.End-w.Start)
		}
	}
	line("live\t%d\t%d\t%d\t%d\t%d, %d\t%v\t", len(h.Completions), served, percentile(totals, 50), percentile(totals, 99),
		percentile(firstTokens, 50), percentile(firstTokens, 99), versions)
	line("ledger\t%d\t%d\t%d\t%d\t\t\t", len(h.Writes), written, percentile(writeTimes, 50), percentile(writeTimes, 99))
	line("\t\t\t\t\t\t\t")
	line("upstreams\truns\ttokens\tversions loaded\t\t\t\t")
	for _, name := range sortedKeys(h.Engines) {
		e := h.Engines[name]
		loaded := 0
		for _, l := range e.Loads {
			if l.Outcome == "loaded" {
				loaded++
			}
		}
		line("%s\t%d\t%d\t%d\t\t\t\t", name, len(e.Runs), e.Tokens, loaded)
	}
	for _, name := range sortedKeys(h.Services) {
		s := h.Services[name]
		line("%s\t%d\t\t%d keys\t\t\t\t", name, s.Total, len(s.Keys))
	}
	_ = t.Flush()
}

func sortedKeys[V any](m map[string]V) []string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// percentile returns the smallest value that at least q percent of the values do not exceed, 0 if there are none.
func percentile(values []int64, q int) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)*q+99)/100-1]
}
