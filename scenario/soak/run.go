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
	clientsPerEntry = 3
	// recoveryLimit is the time after the last fault within which all entries must be ready again.
	recoveryLimit = 12 * time.Second
	// After the recovery, clients are observed for observationTime, in which at least the fraction minServedShare of their
	// requests must be served.
	observationTime = 2 * time.Second
	minServedShare  = 0.9
	// allDown is how long all entries are down before the last read of all jobs, and loadLimit the time within which an
	// entry must have loaded a job then.
	allDown   = 500 * time.Millisecond
	loadLimit = 10 * time.Second
)

// outcome is the result of one run.
type outcome struct {
	seed       uint64
	dir        string
	faults     []string
	counts     map[string]int
	violations []string
	peakMB     int // memory of the largest process, in megabytes
}

// String returns a summary line, one line for each violation and, if there are any, the faults and the log directory.
func (o outcome) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults,", o.seed, len(o.faults))
	for _, name := range slices.Sorted(maps.Keys(o.counts)) {
		fmt.Fprintf(&b, " %s %d,", name, o.counts[name])
	}
	fmt.Fprintf(&b, " peak %d MB, %d violations", o.peakMB, len(o.violations))
	for _, v := range o.violations {
		fmt.Fprintf(&b, "\n  %s", v)
	}
	if len(o.violations) > 0 {
		fmt.Fprintf(&b, "\n  faults: %s\n  logs: %s", strings.Join(o.faults, "; "), o.dir)
	}
	return b.String()
}

// execute executes the run of a seed in its own loopback network. It returns an error if the run could not be set up.
func execute(ctx context.Context, bin, dir string, network int, seed uint64, z size) (outcome, error) {
	o := outcome{seed: seed, dir: dir}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e, err := newEnv(ctx, bin, dir, network, seed, z)
	defer e.close()
	if err != nil {
		return o, err
	}
	if err := e.waitReady(ctx, startTimeout); err != nil {
		return o, fmt.Errorf("%w\n%s", err, e.rig.Logs())
	}
	var mu sync.Mutex
	recordFault := func(name string) {
		mu.Lock()
		defer mu.Unlock()
		o.faults = append(o.faults, fmt.Sprintf("%.1f %s", time.Since(e.checker.start).Seconds(), name))
	}
	var g sync.WaitGroup
	workloadCtx, stopWorkload := context.WithCancel(ctx)
	defer stopWorkload()
	for i := range z.entries {
		for n := range clientsPerEntry {
			c := newClient(e, i, n)
			g.Go(func() { c.run(workloadCtx) })
		}
	}
	var trainers []*trainer
	for m := range z.models {
		t := newTrainer(e, m)
		trainers = append(trainers, t)
		g.Go(func() { t.run(workloadCtx) })
	}
	for i := range z.entries {
		for n := range readersPerEntry {
			r := newReader(e, seed, i, n)
			g.Go(func() { r.run(workloadCtx) })
		}
	}
	g.Go(func() { e.limitServers(workloadCtx, seed) })
	g.Go(func() { e.changeKeys(workloadCtx, seed) })
	firstWindow := windowOf(time.Now()) + 1
	for series := range faultSeries {
		if series > 0 {
			pause(ctx, quietTime)
		}
		var duty sync.WaitGroup
		duty.Go(func() { e.disturbDuty(ctx, seed, series, recordFault) })
		e.injectFaults(ctx, faultSeriesTime, recordFault)
		duty.Wait()
	}
	e.isolateOwners(ctx, seed, recordFault)
	lastFault := time.Now()
	e.checkRecovery(ctx, trainers)
	e.awaitReports(ctx, firstWindow, lastFault)
	stopWorkload()
	g.Wait()
	trainers[0].rereadJobs(ctx, e.checker.acceptedJobs(), 0)
	o.peakMB = e.peakMemory()
	e.killEntries(ctx)
	trainers[0].rereadJobs(ctx, e.checker.acceptedJobs(), loadLimit)
	o.peakMB = max(o.peakMB, e.peakMemory())
	e.stopAll(ctx)
	o.violations = e.checker.finish()
	e.checker.mu.Lock()
	defer e.checker.mu.Unlock()
	o.counts = e.checker.counts
	return o, nil
}

// close ends all processes and servers of the run.
func (e *env) close() {
	e.rig.Close()
	for _, s := range e.servers {
		s.crash()
	}
}

// checkRecovery checks that entries are ready, trainers complete steps and requests are served after the last fault.
func (e *env) checkRecovery(ctx context.Context, trainers []*trainer) {
	began := time.Now()
	if err := e.waitReady(ctx, recoveryLimit); err != nil {
		e.checker.report("RECOVER", "%v", err)
	}
	before := make([]int, len(trainers))
	for i, t := range trainers {
		before[i] = t.completed()
	}
	// A trainer may still be in a step that failed because of the faults, so it gets the time of another step.
	for i, t := range trainers {
		for t.completed() == before[i] && time.Since(began) < recoveryLimit+stepTimeout && pause(ctx, watchInterval) {
		}
		if t.completed() == before[i] {
			e.checker.report("RECOVER", "no step of %s completed within %s after the last fault", t.model, time.Since(began))
		}
	}
	sent, served := e.checker.servedCounts()
	pause(ctx, observationTime)
	sentAfter, servedAfter := e.checker.servedCounts()
	if n := sentAfter - sent; float64(servedAfter-served) < minServedShare*float64(n) {
		e.checker.report("RECOVER", "%d of %d requests served after recovery", servedAfter-served, n)
	}
}

// killEntries kills all entries and starts them again, so that none of them has a job in memory.
func (e *env) killEntries(ctx context.Context) {
	var g sync.WaitGroup
	for i := range e.size.entries {
		g.Go(func() { e.restart(ctx, entryName(i), syscall.SIGKILL, allDown) })
	}
	g.Wait()
	if err := e.waitReady(ctx, recoveryLimit); err != nil {
		e.checker.report("RECOVER", "%v", err)
	}
}

// stopAll stops all processes with SIGTERM, as the platform does, and checks that each exits in time with status 0.
func (e *env) stopAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, gracePeriod)
	defer cancel()
	e.mu.Lock()
	for name := range e.processes() {
		e.stopping[name] = true
	}
	e.mu.Unlock()
	for name := range e.processes() {
		if p, err := e.rig.Process(name); err == nil {
			_ = p.Signal(syscall.SIGTERM) // its exit is checked below
		}
	}
	for name := range e.processes() {
		p, err := e.rig.Process(name)
		if err != nil {
			continue
		}
		if status, err := p.Wait(ctx); err != nil || status != 0 {
			e.checker.report("FAULT", "%s exited with status %d after SIGTERM: %v\n%s", name, status, err, p.Tail())
		}
	}
}

// peakMemory returns the largest peak resident memory of the running processes, in megabytes, and checks each process
// against memoryLimit.
func (e *env) peakMemory() int {
	peakMB := 0
	for name := range e.processes() {
		p, err := e.rig.Process(name)
		if err != nil {
			continue
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
		if err != nil {
			continue // it has exited, which is reported elsewhere
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
		peakMB = max(peakMB, n>>10)
		if n>>10 > memoryLimit>>20 {
			e.checker.report("FAULT", "%s used %d MB of memory, limit %d MB", name, n>>10, memoryLimit>>20)
		}
	}
	return peakMB
}
