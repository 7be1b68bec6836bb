package main

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushspoke/internal/stagger"
)

const (
	// weightsWindow is the default of the setting stagger of daemons.
	weightsWindow    = 10 * time.Second
	weightsTimeLimit = 18 * time.Second
	minInService     = 0.5
	// storeCopyRate is the assumed rate of the weight store in copies of the weights per second, minCopyTime the shortest
	// time for one copy, limited by the network link of the server, and activateTime the time to activate it. A server
	// counts as out of service from the order to the end of the load, a pessimistic model of an engine that serves while
	// it copies.
	storeCopyRate = 150.0
	minCopyTime   = time.Second
	activateTime  = 1500 * time.Millisecond
	// loadFailureRate is the share of loads that fail partway. retryDelay and statusInterval have the values of the
	// daemon.
	loadFailureRate = 0.01
	retryDelay      = 250 * time.Millisecond
	statusInterval  = 200 * time.Millisecond
	noticeDelay     = 100 * time.Millisecond // until the last daemon knows the new version
)

// weightServer is a server that loads the new weights.
type weightServer struct {
	name   string
	domain int
	place  stagger.Position
}

// newWeightFleet returns n servers spread over failure domains.
func newWeightFleet(n, domains int, r *rand.Rand) []weightServer {
	size := make([]int, domains)
	list := make([]weightServer, n)
	for i := range list {
		d := i % domains
		list[i] = weightServer{name: fmt.Sprintf("engine-%d-%08x", d, r.Uint32()), domain: d}
		size[d]++
	}
	slices.SortFunc(list, func(a, b weightServer) int { return cmp.Compare(a.name, b.name) })
	rank := make([]int, domains)
	for i := range list {
		d := list[i].domain
		list[i].place = stagger.Position{Rank: rank[d], Servers: size[d]}
		rank[d]++
	}
	return list
}

// weightLoad is the start of a load.
type weightLoad struct {
	at     time.Duration
	server int
}

type loadQueue []weightLoad

func (q loadQueue) Len() int           { return len(q) }
func (q loadQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q loadQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *loadQueue) Push(x any)        { *q = append(*q, x.(weightLoad)) }

func (q *loadQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// serviceChange is a change in the number of servers in service.
type serviceChange struct {
	at     time.Duration
	domain int
	delta  int
}

// changeWeights returns the time until all servers run the new version, and the smallest share of a domain's servers in
// service until then. The store serves requests in order of arrival.
func changeWeights(
	fleet []weightServer, rate float64, seed uint64, delay func(weightServer) time.Duration,
) (end time.Duration, inService float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	q := &loadQueue{}
	for i, s := range fleet {
		heap.Push(q, weightLoad{at: delay(s) + time.Duration(r.Int64N(int64(noticeDelay))), server: i})
	}
	each := time.Duration(float64(time.Second) / rate)
	var free time.Duration
	var outages []serviceChange
	for q.Len() > 0 {
		o := heap.Pop(q).(weightLoad)
		free = max(free, o.at) + each
		ready := max(free, o.at+minCopyTime) + activateTime
		domain := fleet[o.server].domain
		outages = append(outages, serviceChange{o.at, domain, -1}, serviceChange{ready, domain, 1})
		if r.Float64() < loadFailureRate {
			pause := statusInterval + retryDelay/2 + time.Duration(r.Int64N(int64(retryDelay)))
			heap.Push(q, weightLoad{at: ready + pause, server: o.server})
			continue
		}
		end = max(end, ready)
	}
	return end, leastShare(fleet, outages)
}

func leastShare(fleet []weightServer, outages []serviceChange) float64 {
	slices.SortFunc(outages, func(a, b serviceChange) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(b.delta, a.delta))
	})
	size, out := map[int]int{}, map[int]int{}
	for _, s := range fleet {
		size[s.domain]++
	}
	least := 1.0
	for _, o := range outages {
		out[o.domain] -= o.delta
		least = min(least, 1-float64(out[o.domain])/float64(size[o.domain]))
	}
	return least
}

// minStoreRate returns the lowest rate of the store at which both bounds hold, to within 1%, or 0 if they hold at no
// rate.
func minStoreRate(fleet []weightServer, seed uint64, delay func(weightServer) time.Duration) float64 {
	holds := func(rate float64) bool {
		end, inService := changeWeights(fleet, rate, seed, delay)
		return end <= weightsTimeLimit && inService >= minInService
	}
	low, high := 0.01, 1e5
	if !holds(high) {
		return 0
	}
	for high/low > 1.01 {
		if mid := (low + high) / 2; holds(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

// weights compares the staggered loads of the daemons with simultaneous loads and with delays by a hash of the name
// alone.
func weights(t *table, seed uint64) {
	placed := func(s weightServer) time.Duration { return stagger.Delay(s.name, s.place, weightsWindow) }
	hashed := func(s weightServer) time.Duration { return stagger.Delay(s.name, stagger.Position{}, weightsWindow) }
	atOnce := func(weightServer) time.Duration { return 0 }
	for _, f := range []struct{ servers, domains int }{{11, 3}, {100, 3}, {400, 7}, {1500, 7}} {
		fleet := newWeightFleet(f.servers, f.domains, rand.New(rand.NewPCG(seed, 0)))
		name := fmt.Sprintf("weights, %d servers: ", f.servers)
		end, inService := changeWeights(fleet, storeCopyRate, seed, placed)
		baseEnd, baseInService := changeWeights(fleet, storeCopyRate, seed, atOnce)
		hashEnd, hashInService := changeWeights(fleet, storeCopyRate, seed, hashed)
		t.atMost(name+"until all run the version", "s", end.Seconds(), baseEnd.Seconds(), weightsTimeLimit.Seconds())
		t.atLeast(name+"least share of a domain in service", "", inService, baseInService, minInService)
		t.add(name+"until all run it, vs. hash only", "s", end.Seconds(), hashEnd.Seconds())
		t.add(name+"least share, vs. hash only", "", inService, hashInService)
		t.add(name+"store rate needed, vs. hash only", "copies/s", minStoreRate(fleet, seed, placed),
			minStoreRate(fleet, seed, hashed))
	}
}
