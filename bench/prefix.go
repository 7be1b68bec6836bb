package main

import (
	"time"

	"bulrushspoke/bench/internal/fleet"
	"bulrushspoke/bench/internal/sim"
	"bulrushspoke/internal/schedule"
)

const prefixDuration = 5 * time.Minute

func runPrefix(seed uint64, p fleet.Policies) (hits, tokens float64) {
	l := sim.NewLoop(seed)
	d := sim.Berges(l)
	f := fleet.New(l, d, p)
	train := &training{loop: l, fleet: f, window: int(schedule.InflightPerSlot * float64(len(d.Sites)*d.Sites[0].Engine.Slots()))}
	train.start(l.Now())
	l.Run(prefixDuration)
	return float64(f.CacheHits) / float64(f.CacheHits+f.CacheMisses), float64(train.tokens) / prefixDuration.Seconds()
}

// prefix compares the hit rate of the prefix caches with and without affinity of groups to servers.
func prefix(t *table, seed uint64) {
	none := productionPolicies()
	none.Affinity = false
	hits, tokens := runPrefix(seed, productionPolicies())
	baseHits, baseTokens := runPrefix(seed, none)
	t.atLeast("prefix: samples that found their prompt cached / without affinity", "ratio", hits/baseHits, 1, 1)
	t.add("prefix: samples that found their prompt cached", "share", hits, baseHits)
	t.atLeast("prefix: training tokens a second / without affinity", "ratio", tokens/baseTokens, 1, 1)
}
