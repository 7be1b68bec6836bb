// Command recovery measures how a training step recovers from the death of a process and from an outage of the store.
//
// # Usage
//
//	go run ./scenario/recovery -bin bin
//
// Each run makes one step through two entries on real processes and injects one fault when a part of the samples has
// been accepted. It prints the time from the fault until the trainer gets samples again, the longest time without
// samples before and after the fault, and the share of the generated tokens that no accepted sample holds.
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
	limit   = 90 * time.Second // of one run
	groups  = 48
	samples = 8
	tokens  = 120
	rate    = 100 // tokens a second of each stream
	slots   = 8
	// faultAt is the number of accepted samples after which the fault is injected.
	faultAt = 96
	// window is the time after a fault in which the longest time without samples is attributed to it.
	window = 15 * time.Second
	// underway is the time in which an answer sent before the fault may still arrive.
	underway = time.Second
	// sampling is the time between two reads of the trainer's progress, the precision of all times.
	sampling = 10 * time.Millisecond

	// againTarget and lostTarget are the bounds of the design for the death of a process.
	againTarget = 5 * time.Second
	lostTarget  = 0.02
)

// fault is what is done to the fleet in mid-step.
type fault struct {
	name   string
	bound  bool
	inject func(ctx context.Context, f *rig.Fleet) error
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
	bin := flag.String("bin", "bin", "folder of the programs")
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
			if f.bound {
				verdict = "ok"
				if max(m.again, m.after) > againTarget || m.lost > lostTarget {
					verdict = "MISSED"
					missed++
				}
			}
			fmt.Printf("%-16s run %d: samples again after %v, longest pause before %v, after %v; lost tokens %.2f%% "+
				"(cancelled reruns %.2f%%, %d samples begun twice, %d runs cut off); step %v, trainer idle %v %s\n",
				f.name, n+1, m.again, m.before, m.after, 100*m.lost, 100*m.rerun, m.spare, m.gone, m.total, m.idle, verdict)
		}
	}
	if missed > 0 {
		os.Exit(1)
	}
}

// figures are those of one run.
type figures struct {
	again  time.Duration // from the fault to the end of the longest pause that begins within underway of it
	before time.Duration // longest time without samples before the fault, the first samples left out
	after  time.Duration // longest time without samples that begins within window of it
	lost   float64       // share of the generated tokens
	total  time.Duration
	idle   time.Duration
	rerun  float64 // share of the generated tokens that cancelled runs made: the waste of second runs of stragglers
	spare  int     // runs from the first token on beyond one for each sample
	gone   int     // runs that ended without all their tokens
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
		Slots: slots, TokenRate: rate, LoadTime: 300 * time.Millisecond, ListLag: 500 * time.Millisecond, Staleness: 1,
	}
}

func measure(bin string, what fault) (figures, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
	m, err := step(ctx, f, what)
	if err != nil {
		return figures{}, fmt.Errorf("%w; logs are in %s", err, dir)
	}
	return m, os.RemoveAll(dir)
}

// step runs the step with its fault.
func step(ctx context.Context, f *rig.Fleet, what fault) (figures, error) {
	args := []string{
		"trainer", "--token", rig.TrainerToken, "--run", "run", "--step", "1", "--model", rig.Model, "--staleness", "1",
		"--groups", strconv.Itoa(groups), "--samples", strconv.Itoa(samples), "--tokens", strconv.Itoa(tokens),
		"--timeout", "75s",
	}
	for _, e := range f.Entries() {
		args = append(args, "--entry", e)
	}
	p, err := f.Rig.Start("trainer", "bulrush-standin", args...)
	if err != nil {
		return figures{}, err
	}
	times, at, err := follow(ctx, f, p, what)
	if err != nil {
		return figures{}, err
	}
	h := &history.History{}
	s, err := summary(p)
	if err != nil {
		return figures{}, err
	}
	h.Steps = append(h.Steps, s)
	if err := f.Collect(ctx, h); err != nil {
		return figures{}, err
	}
	if wrong := h.Check(); len(wrong) > 0 {
		return figures{}, errors.New(strings.Join(wrong, "; "))
	}
	made, rerun := int64(0), 0
	m := pauses(times, at)
	m.spare = -s.Slots
	for _, e := range h.Engines {
		made += e.Tokens
		for _, r := range e.Runs {
			if r.Held == 0 && r.Made > 0 {
				m.spare++
			}
			if r.Held+r.Made < tokens {
				m.gone++
			}
			if r.Outcome == engine.Cancelled {
				rerun += r.Made
			}
		}
	}
	m.lost = float64(made-s.Tokens) / float64(made)
	m.rerun = float64(rerun) / float64(made)
	m.total, m.idle = time.Duration(s.Total)*time.Millisecond, time.Duration(s.Idle)*time.Millisecond
	return m, nil
}

// follow notes when the trainer accepted samples, injects the fault, and returns both once the trainer has ended.
func follow(ctx context.Context, f *rig.Fleet, p *rig.Process, what fault) (times []time.Time, at time.Time, err error) {
	held := 0
	for {
		running := p.Running()
		text, err := p.Log()
		if err != nil {
			return nil, at, err
		}
		n := held
		for line := range strings.Lines(string(text)) {
			_, _ = fmt.Sscanf(line, "held %d", &n)
		}
		if n > held {
			held = n
			times = append(times, time.Now())
		}
		if at.IsZero() && held >= faultAt {
			if err := what.inject(ctx, f); err != nil {
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
		case <-time.After(sampling):
		}
	}
}

// pauses works out the times without samples. An answer that was under way when the fault began does not count as the
// return of the samples.
func pauses(times []time.Time, at time.Time) figures {
	var m figures
	var first time.Duration // longest pause that begins within underway of the fault
	last := at
	for i, t := range times {
		if !t.After(at) {
			if i > 0 {
				m.before = max(m.before, t.Sub(times[i-1]))
			}
			continue
		}
		pause, begun := t.Sub(last), last.Sub(at)
		if begun < underway && pause > first {
			first, m.again = pause, t.Sub(at)
		}
		if begun < window {
			m.after = max(m.after, pause)
		}
		last = t
	}
	m.again = m.again.Round(sampling)
	m.before, m.after = m.before.Round(sampling), m.after.Round(sampling)
	return m
}

func summary(p *rig.Process) (report.Step, error) {
	var s report.Step
	text, err := p.Output()
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("summary of the trainer: %w", err)
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
