package main

import (
	"time"

	"bulrushspoke/bench/internal/fleet"
	"bulrushspoke/bench/internal/sim"
)

const (
	overloadTime  = 2 * time.Minute
	overloadTimes = 3.0
	// overloadWait bounds the time to the first token of live work that is not refused: a tenth of its deadline.
	overloadWait = liveDeadline / 10
	// overloadWarm is left out of the figures: the fleet is still filling up.
	overloadWarm = 10 * time.Second
)

type overloadRun struct {
	live   *load
	useful float64 // slot time of finished requests over all slot time
}

func runOverload(seed uint64, p fleet.Policies) overloadRun {
	l := sim.NewLoop(seed)
	d := sim.Hearth(l)
	f := fleet.New(l, d, p)
	r := overloadRun{live: &load{loop: l, fleet: f, until: overloadTime}}
	r.live.start(d.Capacity(), overloadTimes)
	l.Run(overloadWarm)
	before := f.Work()
	l.Run(overloadTime)
	slots := len(d.Sites) * d.Sites[0].Engine.Slots()
	r.useful = (f.Work() - before).Seconds() / (overloadTime - overloadWarm).Seconds() / float64(slots)
	return r
}

// overload offers three times what the fleet can do.
func overload(t *table, seed uint64) {
	a, b := runOverload(seed, production()), runOverload(seed, firstCome())
	t.least("overload: useful work / capacity", "ratio", a.useful, b.useful, 0.95)
	t.most("overload: live wait p99", "s",
		a.live.waits.Quantile(0.99).Seconds(), b.live.waits.Quantile(0.99).Seconds(), overloadWait.Seconds())
	t.add("overload: short wait p99", "s",
		a.live.shorts.Quantile(0.99).Seconds(), b.live.shorts.Quantile(0.99).Seconds())
	t.add("overload: requests refused / offered", "ratio",
		float64(a.live.refused)/float64(a.live.offered), float64(b.live.refused)/float64(b.live.offered))
	t.most("overload: answers after their deadline", "count", float64(a.live.late), float64(b.live.late), 0.5)
}
