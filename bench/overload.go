package main

import (
	"time"

	"bulrushspoke/bench/internal/fleet"
	"bulrushspoke/bench/internal/sim"
)

const (
	overloadTime  = 2 * time.Minute
	overloadTimes = 3.0
	// overloadWarm is left out of the figures: the fleet is still filling up.
	overloadWarm = 10 * time.Second
)

type overloadRun struct {
	live   *load
	useful float64 // tokens of finished requests a second over capacity
}

func runOverload(seed uint64, p fleet.Policies) overloadRun {
	l := sim.NewLoop(seed)
	d := sim.Hearth(l)
	f := fleet.New(l, d, p)
	r := overloadRun{live: &load{loop: l, fleet: f, until: overloadTime}}
	r.live.start(d.Capacity(), overloadTimes)
	l.Run(overloadWarm)
	before := f.Useful
	l.Run(overloadTime)
	r.useful = float64(f.Useful-before) / (overloadTime - overloadWarm).Seconds() / d.Capacity()
	return r
}

// overload offers three times what the fleet can do.
func overload(t *table, seed uint64) {
	a, b := runOverload(seed, production()), runOverload(seed, firstCome())
	t.least("overload: useful tokens / capacity", "ratio", a.useful, b.useful, 0.95)
	t.most("overload: live wait p99", "s",
		a.live.waits.Quantile(0.99).Seconds(), b.live.waits.Quantile(0.99).Seconds(), liveDeadline.Seconds())
	t.add("overload: short wait p99", "s",
		a.live.shorts.Quantile(0.99).Seconds(), b.live.shorts.Quantile(0.99).Seconds())
	t.add("overload: requests refused / offered", "ratio",
		float64(a.live.refused)/float64(a.live.offered), float64(b.live.refused)/float64(b.live.offered))
	t.most("overload: answers after their deadline", "count", float64(a.live.late), float64(b.live.late), 0.5)
}
