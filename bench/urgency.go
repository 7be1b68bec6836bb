package main

import (
	"time"

	"bulrushspoke/bench/internal/fleet"
	"bulrushspoke/bench/internal/sim"
	"bulrushspoke/internal/schedule"
)

const (
	// urgencyTime is the virtual time of a run, and urgencyLoad the live load as a part of the fleet's capacity.
	urgencyTime = 5 * time.Minute
	urgencyLoad = 0.3
	// longestWait bounds the wait of every class: the ageing bound of a daemon's queue and the longest sample before it.
	longestWait = 3 * time.Minute
)

type urgencyRun struct {
	live  *load
	train *training
}

func runUrgency(seed uint64, p fleet.Policies, withTraining bool) urgencyRun {
	l := sim.NewLoop(seed)
	d := sim.Hearth(l)
	f := fleet.New(l, d, p)
	r := urgencyRun{
		live:  &load{loop: l, fleet: f, until: urgencyTime},
		train: &training{loop: l, fleet: f, window: int(schedule.Window * float64(len(d.Sites)*d.Sites[0].Engine.Slots()))},
	}
	r.live.start(d.Capacity(), urgencyLoad)
	if withTraining {
		r.train.start(l.Now())
	}
	l.Run(urgencyTime)
	return r
}

// urgency compares the wait of live work with and without long training work beside it.
func urgency(t *table, seed uint64) {
	alone, beside := runUrgency(seed, production(), false), runUrgency(seed, production(), true)
	baseAlone, baseBeside := runUrgency(seed, firstCome(), false), runUrgency(seed, firstCome(), true)
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(b) }
	t.most("urgency: live wait p99 beside training / alone", "ratio",
		ratio(beside.live.waits.Quantile(0.99), alone.live.waits.Quantile(0.99)),
		ratio(baseBeside.live.waits.Quantile(0.99), baseAlone.live.waits.Quantile(0.99)), 1.2)
	t.most("urgency: short wait p99 beside training / alone", "ratio",
		ratio(beside.live.shorts.Quantile(0.99), alone.live.shorts.Quantile(0.99)),
		ratio(baseBeside.live.shorts.Quantile(0.99), baseAlone.live.shorts.Quantile(0.99)), 1.2)
	t.add("urgency: short wait p99 beside training", "ms",
		millis(beside.live.shorts.Quantile(0.99)), millis(baseBeside.live.shorts.Quantile(0.99)))
	t.least("urgency: training tokens / those of the baseline", "ratio",
		float64(beside.train.tokens)/float64(baseBeside.train.tokens), 1, 0.95)
	t.most("urgency: longest wait of a live request", "s",
		beside.live.waits.Max().Seconds(), baseBeside.live.waits.Max().Seconds(), longestWait.Seconds())
	t.most("urgency: longest wait of a sample", "s",
		beside.train.waits.Max().Seconds(), baseBeside.train.waits.Max().Seconds(), longestWait.Seconds())
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
