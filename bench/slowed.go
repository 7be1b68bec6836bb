package main

import (
	"time"

	"bulrushspoke/bench/internal/fleet"
	"bulrushspoke/bench/internal/sim"
)

const (
	slowedDuration  = 5 * time.Minute
	slowedLoadShare = 0.4
	slowedFraction  = 4 // one engine in four
	slowedFactor    = 10
	slowedMinTime   = 5 * time.Second
	slowedMaxTime   = 30 * time.Second
)

func runSlowed(seed uint64, p fleet.Policies, share int) *liveLoad {
	l := sim.NewLoop(seed)
	d := sim.Hearth(l)
	f := fleet.New(l, d, p)
	live := &liveLoad{loop: l, fleet: f, until: slowedDuration}
	live.start(d.Capacity(), slowedLoadShare)
	if share > 0 {
		slowDown(l, d, len(d.Sites)/share)
	}
	l.Run(slowedDuration)
	return live
}

// slowDown keeps count engines slowed down. Each stays slow for a random time, after which another engine replaces it.
func slowDown(l *sim.Loop, d *sim.Deployment, count int) {
	slow := make(map[int]bool)
	var begin func()
	begin = func() {
		i := l.Random().IntN(len(d.Sites))
		for slow[i] {
			i = l.Random().IntN(len(d.Sites))
		}
		slow[i] = true
		d.Sites[i].Engine.SetSlowdown(slowedFactor)
		duration := slowedMinTime + time.Duration(l.Random().Int64N(int64(slowedMaxTime-slowedMinTime)))
		l.After(duration, func(time.Time) {
			d.Sites[i].Engine.SetSlowdown(1)
			begin()
			slow[i] = false
		})
	}
	for range count {
		begin()
	}
}

// slowed compares the tail latency of live requests while a quarter of the engines is ten times slower with that of a
// healthy fleet.
func slowed(t *table, seed uint64) {
	a, healthy := runSlowed(seed, productionPolicies(), slowedFraction), runSlowed(seed, productionPolicies(), 0)
	b, baseHealthy := runSlowed(seed, leastReportedPolicies(), slowedFraction), runSlowed(seed, leastReportedPolicies(), 0)
	ratio := func(x, y *liveLoad) float64 {
		return float64(x.totals.Quantile(0.99)) / float64(y.totals.Quantile(0.99))
	}
	// The simulation has no hedges. They are part of the dispatcher, whose test TestSlowed checks the bound of 1.5.
	t.add("slowed: live p99 with slowed upstreams / without, choice only", "ratio", ratio(a, healthy), ratio(b, baseHealthy))
	t.add("slowed: live p99 with slowed upstreams", "s",
		a.totals.Quantile(0.99).Seconds(), b.totals.Quantile(0.99).Seconds())
	t.add("slowed: short wait p99 with slowed upstreams", "ms",
		millis(a.shortWaits.Quantile(0.99)), millis(b.shortWaits.Quantile(0.99)))
}
