package main

import (
	"time"

	"bulrushspoke/bench/internal/fleet"
	"bulrushspoke/bench/internal/sim"
	"bulrushspoke/internal/schedule"
)

const (
	// urgencyDuration is the virtual time of a run, and urgencyLoadShare the live load as a share of the fleet's capacity.
	urgencyDuration  = 5 * time.Minute
	urgencyLoadShare = 0.3
	// maxWait is the bound on the wait of all classes: the ageing limit of a daemon's queue plus the longest sample ahead.
	maxWait = 3 * time.Minute
)

type urgencyRun struct {
	live  *liveLoad
	train *training
}

func runUrgency(seed uint64, p fleet.Policies, withTraining bool) urgencyRun {
	l := sim.NewLoop(seed)
	d := sim.Hearth(l)
	f := fleet.New(l, d, p)
	r := urgencyRun{
		live:  &liveLoad{loop: l, fleet: f, until: urgencyDuration},
		train: &training{loop: l, fleet: f, window: int(schedule.InflightPerSlot * float64(len(d.Sites)*d.Sites[0].Engine.Slots()))},
	}
	r.live.start(d.Capacity(), urgencyLoadShare)
	if withTraining {
		r.train.start(l.Now())
	}
	l.Run(urgencyDuration)
	return r
}

// urgency compares the wait of live requests with and without concurrent long training samples.
func urgency(t *table, seed uint64) {
	alone, beside := runUrgency(seed, productionPolicies(), false), runUrgency(seed, productionPolicies(), true)
	baseAlone, baseBeside := runUrgency(seed, firstComePolicies(), false), runUrgency(seed, firstComePolicies(), true)
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(b) }
	t.atMost("urgency: live wait p99 beside training / alone", "ratio",
		ratio(beside.live.waits.Quantile(0.99), alone.live.waits.Quantile(0.99)),
		ratio(baseBeside.live.waits.Quantile(0.99), baseAlone.live.waits.Quantile(0.99)), 1.2)
	t.atMost("urgency: short wait p99 beside training / alone", "ratio",
		ratio(beside.live.shortWaits.Quantile(0.99), alone.live.shortWaits.Quantile(0.99)),
		ratio(baseBeside.live.shortWaits.Quantile(0.99), baseAlone.live.shortWaits.Quantile(0.99)), 1.2)
	t.add("urgency: short wait p99 beside training", "ms",
		millis(beside.live.shortWaits.Quantile(0.99)), millis(baseBeside.live.shortWaits.Quantile(0.99)))
	t.atLeast("urgency: training tokens / those of the baseline", "ratio",
		float64(beside.train.tokens)/float64(baseBeside.train.tokens), 1, 0.95)
	t.atMost("urgency: longest wait of a live request", "s",
		beside.live.waits.Max().Seconds(), baseBeside.live.waits.Max().Seconds(), maxWait.Seconds())
	t.atMost("urgency: longest wait of a sample", "s",
		beside.train.waits.Max().Seconds(), baseBeside.train.waits.Max().Seconds(), maxWait.Seconds())
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
