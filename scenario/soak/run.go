package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	clientsOfEntry = 3
	// recovery is the time after the last fault in which everything must serve again.
	recovery = 12 * time.Second
	// finalTime is how long clients are watched after the recovery, and servedShare the part of their requests that must
	// be served then.
	finalTime   = 2 * time.Second
	servedShare = 0.9
)

// outcome is the result of one run.
type outcome struct {
	seed     uint64
	dir      string
	faults   []string
	counts   map[string]int
	verdicts []string
	peak     int // megabytes of the largest process
}

// String returns one line on the run, and one on each broken rule.
func (o outcome) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults,", o.seed, len(o.faults))
	for _, name := range slices.Sorted(maps.Keys(o.counts)) {
		fmt.Fprintf(&b, " %s %d,", name, o.counts[name])
	}
	fmt.Fprintf(&b, " peak %d MB, %d broken", o.peak, len(o.verdicts))
	for _, v := range o.verdicts {
		fmt.Fprintf(&b, "\n  %s", v)
	}
	if len(o.verdicts) > 0 {
		fmt.Fprintf(&b, "\n  faults: %s\n  logs: %s", strings.Join(o.faults, "; "), o.dir)
	}
	return b.String()
}

// play plays the run of a seed in a loopback network of its own.
func play(ctx context.Context, bin, dir string, network int, seed uint64, z size) (outcome, error) {
	o := outcome{seed: seed, dir: dir}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newWorld(ctx, bin, dir, network, seed, z)
	defer w.close()
	if err != nil {
		return o, err
	}
	if err := w.ready(ctx, startLimit); err != nil {
		return o, fmt.Errorf("%w\n%s", err, w.rig.Logs())
	}
	note := func(name string) {
		o.faults = append(o.faults, fmt.Sprintf("%.1f %s", time.Since(w.ledger.start).Seconds(), name))
	}
	var g sync.WaitGroup
	working, stop := context.WithCancel(ctx)
	defer stop()
	for e := range z.entries {
		for n := range clientsOfEntry {
			c := newClient(w, e, n)
			g.Go(func() { c.run(working) })
		}
	}
	var trainers []*trainer
	for m := range z.models {
		t := newTrainer(w, modelName(m))
		trainers = append(trainers, t)
		g.Go(func() { t.run(working) })
	}
	w.storm(ctx, stormTime, note)
	pause(ctx, quietTime)
	w.storm(ctx, stormTime, note)
	w.recovers(ctx, trainers)
	stop()
	g.Wait()
	trainers[0].recheck(ctx, w.ledger.taken())
	o.peak = w.peak()
	w.stopAll(ctx)
	o.verdicts = w.ledger.finish()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	o.counts = w.ledger.counts
	return o, nil
}

// close ends everything that the run has started.
func (w *world) close() {
	w.rig.Close()
	for _, s := range w.servers {
		s.crash()
	}
}

// recovers checks that all is served again after the last fault.
func (w *world) recovers(ctx context.Context, trainers []*trainer) {
	began := time.Now()
	if err := w.ready(ctx, recovery); err != nil {
		w.ledger.broken("RECOVER", "%v", err)
	}
	before := make([]int, len(trainers))
	for i, t := range trainers {
		before[i] = t.completed()
	}
	// A trainer may be in the middle of a step that the faults have spoilt.
	for i, t := range trainers {
		for t.completed() == before[i] && time.Since(began) < recovery+stepLimit && pause(ctx, watchEvery) {
		}
		if t.completed() == before[i] {
			w.ledger.broken("RECOVER", "no step of %s was completed within %s after the faults", t.model, time.Since(began))
		}
	}
	sent, served := w.ledger.rate()
	pause(ctx, finalTime)
	sentAfter, servedAfter := w.ledger.rate()
	if n := sentAfter - sent; float64(servedAfter-served) < servedShare*float64(n) {
		w.ledger.broken("RECOVER", "%d of %d requests are served after the faults", servedAfter-served, n)
	}
}

// stopAll stops all processes as the platform does and checks their ends.
func (w *world) stopAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	w.mu.Lock()
	for name := range w.processes() {
		w.ending[name] = true
	}
	w.mu.Unlock()
	for name := range w.processes() {
		if p, err := w.rig.Process(name); err == nil {
			_ = p.Signal(syscall.SIGTERM) // its end is checked below
		}
	}
	for name := range w.processes() {
		p, err := w.rig.Process(name)
		if err != nil {
			continue
		}
		if status, err := p.Wait(ctx); err != nil || status != 0 {
			w.ledger.broken("FAULT", "%s ends with status %d after SIGTERM: %v\n%s", name, status, err, p.Tail())
		}
	}
}

// peak returns the largest memory that any running process has taken, in megabytes, and checks it against the limit.
func (w *world) peak() int {
	most := 0
	for name := range w.processes() {
		p, err := w.rig.Process(name)
		if err != nil {
			continue
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
		if err != nil {
			continue // it has ended, which is reported elsewhere
		}
		_, rest, _ := strings.Cut(string(text), "VmHWM:")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		n, err := strconv.Atoi(fields[0])
		if err != nil {
			continue
		}
		most = max(most, n>>10)
		if n>>10 > memory>>20 {
			w.ledger.broken("FAULT", "%s has taken %d MB of %d", name, n>>10, memory>>20)
		}
	}
	return most
}
