package main

import (
	"time"

	"bulrushspoke/bench/internal/fleet"
	"bulrushspoke/bench/internal/sim"
)

const (
	overloadDuration = 2 * time.Minute
	overloadFactor   = 3.0
	// overloadWaitLimit is the bound on the time to the first token of accepted live requests: a tenth of their deadline.
	overloadWaitLimit = liveDeadline / 10
	// overloadWarmup is excluded from the useful work, because the fleet is still filling up.
	overloadWarmup = 10 * time.Second
)

type overloadRun struct {
	live        *liveLoad
	usefulShare float64 // slot time of finished requests / total slot time
}

func runOverload(seed uint64, p fleet.Policies) overloadRun {
	l := sim.NewLoop(seed)
	d := sim.Hearth(l)
	f := fleet.New(l, d, p)
	r := overloadRun{live: &liveLoad{loop: l, fleet: f, until: overloadDuration}}
	r.live.start(d.Capacity(), overloadFactor)
	l.Run(overloadWarmup)
	before := f.Work()
	l.Run(overloadDuration)
	slots := len(d.Sites) * d.Sites[0].Engine.Slots()
	r.usefulShare = (f.Work() - before).Seconds() / (overloadDuration - overloadWarmup).Seconds() / float64(slots)
	return r
}

// overload measures the fleet at three times its capacity.
func overload(t *table, seed uint64) {
	a, b := runOverload(seed, productionPolicies()), runOverload(seed, firstComePolicies())
	t.atLeast("overload: useful work / capacity", "ratio", a.usefulShare, b.usefulShare, 0.95)
	t.atMost("overload: live wait p99", "s",
		a.live.waits.Quantile(0.99).Seconds(), b.live.waits.Quantile(0.99).Seconds(), overloadWaitLimit.Seconds())
	t.add("overload: short wait p99", "s",
		a.live.shortWaits.Quantile(0.99).Seconds(), b.live.shortWaits.Quantile(0.99).Seconds())
	t.add("overload: requests refused / offered", "ratio",
		float64(a.live.refused)/float64(a.live.offered), float64(b.live.refused)/float64(b.live.offered))
	t.atMost("overload: answers after their deadline", "count",
		float64(a.live.missedDeadlines), float64(b.live.missedDeadlines), 0.5)
}
