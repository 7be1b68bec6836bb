package main

import (
	"time"

	"bulrushspoke/bench/internal/fleet"
	"bulrushspoke/bench/internal/sim"
)

const (
	slowedTime   = 5 * time.Minute
	slowedLoad   = 0.4
	slowedShare  = 4 // one upstream in four
	slowedFactor = 10
	slowedLeast  = 5 * time.Second
	slowedMost   = 30 * time.Second
)

func runSlowed(seed uint64, p fleet.Policies, share int) *load {
	l := sim.NewLoop(seed)
	d := sim.Hearth(l)
	f := fleet.New(l, d, p)
	live := &load{loop: l, fleet: f, until: slowedTime}
	live.start(d.Capacity(), slowedLoad)
	if share > 0 {
		spells(l, d, len(d.Sites)/share)
	}
	l.Run(slowedTime)
	return live
}

// spells keeps count engines slow, each for a random spell, after which another one takes its place.
func spells(l *sim.Loop, d *sim.Deployment, count int) {
	slow := make(map[int]bool)
	var begin func()
	begin = func() {
		i := l.Random().IntN(len(d.Sites))
		for slow[i] {
			i = l.Random().IntN(len(d.Sites))
		}
		slow[i] = true
		d.Sites[i].Engine.SetSlowdown(slowedFactor)
		spell := slowedLeast + time.Duration(l.Random().Int64N(int64(slowedMost-slowedLeast)))
		l.After(spell, func(time.Time) {
			d.Sites[i].Engine.SetSlowdown(1)
			begin()
			slow[i] = false
		})
	}
	for range count {
		begin()
	}
}

// slowed compares the tail of live work while a quarter of the upstreams is ten times slower with that of a healthy
// fleet.
func slowed(t *table, seed uint64) {
	a, healthy := runSlowed(seed, production(), slowedShare), runSlowed(seed, production(), 0)
	b, baseHealthy := runSlowed(seed, leastReported(), slowedShare), runSlowed(seed, leastReported(), 0)
	ratio := func(x, y *load) float64 {
		return float64(x.wholes.Quantile(0.99)) / float64(y.wholes.Quantile(0.99))
	}
	// Hedges are part of the dispatcher; its test TestSlowed has the bound of 1.5.
	t.add("slowed: live p99 with slowed upstreams / without, choice only", "ratio", ratio(a, healthy), ratio(b, baseHealthy))
	t.add("slowed: live p99 with slowed upstreams", "s",
		a.wholes.Quantile(0.99).Seconds(), b.wholes.Quantile(0.99).Seconds())
	t.add("slowed: short wait p99 with slowed upstreams", "ms",
		millis(a.shorts.Quantile(0.99)), millis(b.shorts.Quantile(0.99)))
}
