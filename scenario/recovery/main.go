// Command recovery measures how a training step recovers from the crash of a process and from an outage of the store.
//
// # Usage
//
//	go run ./scenario/recovery -bin bin
//
// Each run executes one step through two entries on real processes and injects one fault once faultAfterSamples samples
// have been accepted. It prints the time from the fault until the trainer receives samples again, the longest time
// without samples before and after the fault, and the share of the generated tokens that are in no accepted sample. It
// exits with status 1 if a run fails or misses a target.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"bulrushspoke/scenario/history"
	"bulrushspoke/scenario/rig"
	"bulrushspoke/standin/engine"
	"bulrushspoke/standin/report"
	"bulrushspoke/wire"
)

const (
	runTimeout   = 90 * time.Second // per run
	groupCount   = 48
	groupSize    = 8
	sampleTokens = 120
	tokenRate    = 100 // tokens per second of a stream
	engineSlots  = 8
	// faultAfterSamples is the number of accepted samples after which the fault is injected.
	faultAfterSamples = 96
	// pauseWindow is the time after a fault within which a pause must begin to be attributed to it.
	pauseWindow = 15 * time.Second
	// inFlightWindow is the time after a fault within which responses sent before it may still arrive.
	inFlightWindow = time.Second
	// pollInterval is the interval at which the trainer's progress is read, and so the precision of all times.
	pollInterval = 10 * time.Millisecond

	// recoveryTarget and lostShareTarget are the design targets for the crash of a process.
	recoveryTarget  = 5 * time.Second
	lostShareTarget = 0.02
)

// fault is a fault that is injected into the fleet during the step.
type fault struct {
	name      string
	hasTarget bool
	inject    func(ctx context.Context, f *rig.Fleet) error
}

func faults() []fault {
	return []fault{
		{"none", false, func(context.Context, *rig.Fleet) error { return nil }},
		{"owner killed", true, killOwner},
		{"daemon killed", true, func(_ context.Context, f *rig.Fleet) error { return kill(f, "daemon-n2") }},
		{"store down 10 s", false, func(ctx context.Context, f *rig.Fleet) error {
			address, err := f.Address("store")
			if err != nil {
				return err
			}
			mode := "refuse"
			return rig.Control(ctx, address, report.StoreControl{Outage: &mode, For: (10 * time.Second).Milliseconds()})
		}},
	}
}

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	runs := flag.Int("runs", 3, "runs of each fault")
	only := flag.String("only", "", "run only the fault of this name")
	flag.Parse()
	rig.SeedPorts(uint64(os.Getpid()) * 83)
	missed := 0
	for _, f := range faults() {
		if *only != "" && f.name != *only {
			continue
		}
		for n := range *runs {
			m, err := measure(*bin, f)
			if err != nil {
				fmt.Fprintf(os.Stderr, "recovery: %s, run %d: %v\n", f.name, n+1, err)
				os.Exit(1)
			}
			verdict := ""
			if f.hasTarget {
				verdict = "ok"
				if max(m.recovery, m.pauseAfter) > recoveryTarget || m.lostShare > lostShareTarget {
					verdict = "MISSED"
					missed++
				}
			}
			fmt.Printf("%-16s run %d: samples again after %v, longest pause before %v, after %v; lost tokens %.2f%% "+
				"(cancelled reruns %.2f%%, %d samples begun twice, %d runs cut off); step %v, trainer idle %v %s\n",
				f.name, n+1, m.recovery, m.pauseBefore, m.pauseAfter, 100*m.lostShare, 100*m.cancelledShare, m.extraStarts,
				m.incompleteRuns, m.total, m.idle, verdict)
		}
	}
	if missed > 0 {
		os.Exit(1)
	}
}

// figures are the results of one run.
type figures struct {
	recovery       time.Duration // from the fault to the end of the longest pause that begins within inFlightWindow of it
	pauseBefore    time.Duration // longest time between two samples before the fault
	pauseAfter     time.Duration // longest time without samples that begins within pauseWindow of the fault
	lostShare      float64       // of the generated tokens, the share that is in no accepted sample
	total          time.Duration
	idle           time.Duration
	cancelledShare float64 // of the generated tokens, the share of cancelled runs: the cost of rerunning stragglers
	extraStarts    int     // runs started from the first token, less one per slot
	incompleteRuns int     // runs that ended before their last token
}

func layout() rig.Layout {
	nord1, nord2 := rig.Site{Region: "nord", Domain: "nord-1"}, rig.Site{Region: "nord", Domain: "nord-2"}
	return rig.Layout{
		Entries: []rig.Instance{{Name: "entry1", Site: nord1}, {Name: "entry2", Site: nord2}},
		Daemons: []rig.Instance{
			{Name: "daemon-n1", Site: nord1, Engines: []string{"engine-n1a", "engine-n1b"}},
			{Name: "daemon-n2", Site: nord2, Engines: []string{"engine-n2"}},
			{Name: "daemon-n3", Site: nord2, Engines: []string{"engine-n3"}},
		},
		Slots: engineSlots, TokenRate: tokenRate, LoadTime: 300 * time.Millisecond, ListLag: 500 * time.Millisecond,
		Staleness: 1,
	}
}

func measure(bin string, injected fault) (figures, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "bulrush-recovery")
	if err != nil {
		return figures{}, err
	}
	f := rig.NewFleet(rig.New(bin, dir), layout())
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return figures{}, fmt.Errorf("%w\n%s", err, f.Logs())
	}
	m, err := runStep(ctx, f, injected)
	if err != nil {
		return figures{}, fmt.Errorf("%w; logs are in %s", err, dir)
	}
	return m, os.RemoveAll(dir)
}

// runStep executes the step and injects the fault.
func runStep(ctx context.Context, f *rig.Fleet, injected fault) (figures, error) {
	args := []string{
		"trainer", "--token", rig.TrainerToken, "--run", "run", "--step", "1", "--model", rig.Model, "--staleness", "1",
		"--groups", strconv.Itoa(groupCount), "--samples", strconv.Itoa(groupSize), "--tokens", strconv.Itoa(sampleTokens),
		"--timeout", "75s",
	}
	for _, e := range f.Entries() {
		args = append(args, "--entry", e)
	}
	p, err := f.Rig.Start("trainer", "bulrush-standin", args...)
	if err != nil {
		return figures{}, err
	}
	acceptedAt, faultAt, err := followStep(ctx, f, p, injected)
	if err != nil {
		return figures{}, err
	}
	h := &history.History{}
	s, err := readSummary(p)
	if err != nil {
		return figures{}, err
	}
	h.Steps = append(h.Steps, s)
	if err := f.Collect(ctx, h); err != nil {
		return figures{}, err
	}
	if violations := h.Check(); len(violations) > 0 {
		return figures{}, errors.New(strings.Join(violations, "; "))
	}
	generated, cancelled := int64(0), 0
	m := measurePauses(acceptedAt, faultAt)
	m.extraStarts = -s.Slots
	for _, e := range h.Engines {
		generated += e.Tokens
		for _, r := range e.Runs {
			if r.Held == 0 && r.Made > 0 {
				m.extraStarts++
			}
			if r.Held+r.Made < sampleTokens {
				m.incompleteRuns++
			}
			if r.Outcome == engine.Cancelled {
				cancelled += r.Made
			}
		}
	}
	m.lostShare = float64(generated-s.Tokens) / float64(generated)
	m.cancelledShare = float64(cancelled) / float64(generated)
	m.total, m.idle = time.Duration(s.Total)*time.Millisecond, time.Duration(s.Idle)*time.Millisecond
	return m, nil
}

// followStep injects the fault and waits until the trainer exits. It returns the times at which the trainer accepted
// samples and the time of the fault.
func followStep(ctx context.Context, f *rig.Fleet, p *rig.Process, flt fault) (times []time.Time, at time.Time, err error) {
	accepted := 0
	for {
		running := p.Running()
		text, err := p.Log()
		if err != nil {
			return nil, at, err
		}
		n := accepted
		for line := range strings.Lines(string(text)) {
			_, _ = fmt.Sscanf(line, "held %d", &n)
		}
		if n > accepted {
			accepted = n
			times = append(times, time.Now())
		}
		if at.IsZero() && accepted >= faultAfterSamples {
			if err := flt.inject(ctx, f); err != nil {
				return nil, at, err
			}
			at = time.Now()
		}
		if !running {
			return times, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, at, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// measurePauses returns the times without samples. Samples that arrive within inFlightWindow of the fault may have been
// sent before it and do not count as recovery.
func measurePauses(acceptedAt []time.Time, faultAt time.Time) figures {
	var m figures
	var first time.Duration // longest pause that begins within inFlightWindow of the fault
	last := faultAt
	for i, t := range acceptedAt {
		if !t.After(faultAt) {
			if i > 0 {
				m.pauseBefore = max(m.pauseBefore, t.Sub(acceptedAt[i-1]))
			}
			continue
		}
		pause, begun := t.Sub(last), last.Sub(faultAt)
		if begun < inFlightWindow && pause > first {
			first, m.recovery = pause, t.Sub(faultAt)
		}
		if begun < pauseWindow {
			m.pauseAfter = max(m.pauseAfter, pause)
		}
		last = t
	}
	m.recovery = m.recovery.Round(pollInterval)
	m.pauseBefore, m.pauseAfter = m.pauseBefore.Round(pollInterval), m.pauseAfter.Round(pollInterval)
	return m
}

func readSummary(p *rig.Process) (report.Step, error) {
	var s report.Step
	text, err := p.Output()
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("decode trainer summary: %w", err)
	}
	return s, nil
}

func killOwner(ctx context.Context, f *rig.Fleet) error {
	var s wire.StepStatus
	header := map[string]string{"Authorization": "Bearer " + rig.TrainerToken}
	if err := rig.Get(ctx, f.Entries()[0]+"/v1/steps/run/1", &s, header); err != nil {
		return err
	}
	if s.Owner == "" {
		return errors.New("the step has no owner")
	}
	return kill(f, s.Owner)
}

func kill(f *rig.Fleet, name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	return p.Signal(syscall.SIGKILL)
}
