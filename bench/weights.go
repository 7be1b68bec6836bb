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
	// weightsWindow is the default of the daemons' setting stagger.
	weightsWindow = 10 * time.Second
	weightsLimit  = 18 * time.Second
	weightsStay   = 0.5
	// weightsRate is the assumed rate of the weight store in copies of the weights a second; weightsCopy is the least
	// time of one copy, bound by the link of the server, and weightsSwap the time to take it into use. A server counts
	// as out of service from its order to the end of the load, which is worse than an engine that serves while it copies.
	weightsRate = 150.0
	weightsCopy = time.Second
	weightsSwap = 1500 * time.Millisecond
	// weightsFail is the share of loads that fail partway; weightsPause and weightsRead are those of the daemon.
	weightsFail   = 0.01
	weightsPause  = 250 * time.Millisecond
	weightsRead   = 200 * time.Millisecond
	weightsNotice = 100 * time.Millisecond // until the last daemon has heard of the version
)

// weightsServer is a server of the fleet whose weights change.
type weightsServer struct {
	name   string
	domain int
	place  stagger.Place
}

// weightsFleet spreads n servers over failure domains.
func weightsFleet(n, domains int, r *rand.Rand) []weightsServer {
	size := make([]int, domains)
	list := make([]weightsServer, n)
	for i := range list {
		d := i % domains
		list[i] = weightsServer{name: fmt.Sprintf("engine-%d-%08x", d, r.Uint32()), domain: d}
		size[d]++
	}
	slices.SortFunc(list, func(a, b weightsServer) int { return cmp.Compare(a.name, b.name) })
	rank := make([]int, domains)
	for i := range list {
		d := list[i].domain
		list[i].place = stagger.Place{Rank: rank[d], Servers: size[d]}
		rank[d]++
	}
	return list
}

// weightsOrder is a load that begins.
type weightsOrder struct {
	at     time.Duration
	server int
}

type weightsQueue []weightsOrder

func (q weightsQueue) Len() int           { return len(q) }
func (q weightsQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q weightsQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *weightsQueue) Push(x any)        { *q = append(*q, x.(weightsOrder)) }

func (q *weightsQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// weightsOutage is a change of the number of servers in service.
type weightsOutage struct {
	at     time.Duration
	domain int
	change int
}

// changeWeights returns the time until all servers run the new version, and the least share of a domain's servers that
// is in service meanwhile. The store serves in the order of the requests.
func changeWeights(
	fleet []weightsServer, rate float64, seed uint64, delay func(weightsServer) time.Duration,
) (end time.Duration, stay float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	q := &weightsQueue{}
	for i, s := range fleet {
		heap.Push(q, weightsOrder{at: delay(s) + time.Duration(r.Int64N(int64(weightsNotice))), server: i})
	}
	each := time.Duration(float64(time.Second) / rate)
	var free time.Duration
	var outages []weightsOutage
	for q.Len() > 0 {
		o := heap.Pop(q).(weightsOrder)
		free = max(free, o.at) + each
		ready := max(free, o.at+weightsCopy) + weightsSwap
		domain := fleet[o.server].domain
		outages = append(outages, weightsOutage{o.at, domain, -1}, weightsOutage{ready, domain, 1})
		if r.Float64() < weightsFail {
			pause := weightsRead + weightsPause/2 + time.Duration(r.Int64N(int64(weightsPause)))
			heap.Push(q, weightsOrder{at: ready + pause, server: o.server})
			continue
		}
		end = max(end, ready)
	}
	return end, leastShare(fleet, outages)
}

func leastShare(fleet []weightsServer, outages []weightsOutage) float64 {
	slices.SortFunc(outages, func(a, b weightsOutage) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(b.change, a.change))
	})
	size, out := map[int]int{}, map[int]int{}
	for _, s := range fleet {
		size[s.domain]++
	}
	least := 1.0
	for _, o := range outages {
		out[o.domain] -= o.change
		least = min(least, 1-float64(out[o.domain])/float64(size[o.domain]))
	}
	return least
}

// weightsNeeded returns the least rate of the store with which both bounds hold, to 1%, or 0 if none does.
func weightsNeeded(fleet []weightsServer, seed uint64, delay func(weightsServer) time.Duration) float64 {
	holds := func(rate float64) bool {
		end, stay := changeWeights(fleet, rate, seed, delay)
		return end <= weightsLimit && stay >= weightsStay
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

// weights compares the daemons' staggering with servers that all swap at once, and with a hash of the name alone.
func weights(t *table, seed uint64) {
	placed := func(s weightsServer) time.Duration { return stagger.Delay(s.name, s.place, weightsWindow) }
	hashed := func(s weightsServer) time.Duration { return stagger.Delay(s.name, stagger.Place{}, weightsWindow) }
	atOnce := func(weightsServer) time.Duration { return 0 }
	for _, f := range []struct{ servers, domains int }{{11, 3}, {100, 3}, {400, 7}, {1500, 7}} {
		fleet := weightsFleet(f.servers, f.domains, rand.New(rand.NewPCG(seed, 0)))
		name := fmt.Sprintf("weights, %d servers: ", f.servers)
		end, stay := changeWeights(fleet, weightsRate, seed, placed)
		baseEnd, baseStay := changeWeights(fleet, weightsRate, seed, atOnce)
		hashEnd, hashStay := changeWeights(fleet, weightsRate, seed, hashed)
		t.most(name+"until all run the version", "s", end.Seconds(), baseEnd.Seconds(), weightsLimit.Seconds())
		t.least(name+"least share of a domain in service", "", stay, baseStay, weightsStay)
		t.add(name+"until all run it, vs. hash only", "s", end.Seconds(), hashEnd.Seconds())
		t.add(name+"least share, vs. hash only", "", stay, hashStay)
		t.add(name+"store rate needed, vs. hash only", "copies/s", weightsNeeded(fleet, seed, placed),
			weightsNeeded(fleet, seed, hashed))
	}
}
