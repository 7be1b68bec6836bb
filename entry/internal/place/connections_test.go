package place

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
)

// idlePool holds the idle connections of one entry in virtual time: for each server, when they expire.
type idlePool map[string][]time.Time

func (p idlePool) Idle(_, id string, now time.Time) int {
	p[id] = slices.DeleteFunc(p[id], func(t time.Time) bool { return !now.Before(t) })
	return len(p[id])
}

func (p idlePool) AtLeastTwoIdle(now time.Time) bool {
	n := 0
	for id := range p {
		n += p.Idle("", id, now)
	}
	return n > 1
}

// lookupLoad simulates requests of 25 ms that arrive at 23 entries in six failure domains of two regions, for six servers.
// The last server is five times slower in the middle third of the time.
type lookupLoad struct {
	domains []string      // of the servers
	prefer  bool          // by idle connections
	usable  time.Duration // of an idle connection
}

// lookupResult holds what a simulation observed.
type lookupResult struct {
	opened   int
	byServer map[string]int
	slowed   int // requests that began at the slowed server while it was slowed
	crossed  int // requests sent to another region
	times    []time.Duration
}

func (l lookupLoad) run(seed uint64) lookupResult {
	const (
		entries  = 23
		duration = 5 * time.Minute
		mean     = time.Second / 12
		work     = 25 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 1))
	regions := map[string]string{"a": "east", "b": "east", "c": "east", "d": "west", "e": "west", "f": "west"}
	domains := []string{"a", "b", "c", "d", "e", "f"}
	var list []catalog.Server
	for i, d := range l.domains {
		list = append(list, catalog.Server{ID: fmt.Sprint(d, i), Domain: d, Slots: 6})
	}
	trackers, pools := make([]*Tracker, entries), make([]idlePool, entries)
	for i := range trackers {
		home := Home{Domain: domains[i%6], Region: regions[domains[i%6]], Regions: regions}
		trackers[i], pools[i] = New(home, noLimits(), rand.New(rand.NewPCG(seed, uint64(i)+2))), make(idlePool)
		if l.prefer {
			trackers[i].SetConnections(pools[i])
		}
	}
	ends := make(map[time.Time]func())
	r := lookupResult{byServer: make(map[string]int)}
	for now := start; now.Sub(start) < duration; now = now.Add(time.Duration(random.ExpFloat64() * float64(mean))) {
		for _, at := range slices.SortedFunc(maps.Keys(ends), time.Time.Compare) {
			if !at.After(now) {
				ends[at]()
				delete(ends, at)
			}
		}
		i := random.IntN(entries)
		s, _ := trackers[i].Start(now, list, Need{})
		oneWay := 100 * time.Microsecond
		home := domains[i%6]
		switch {
		case regions[s.Domain] != regions[home]:
			oneWay = 12 * time.Millisecond
			r.crossed++
		case s.Domain != home:
			oneWay = 900 * time.Microsecond
		}
		arrives := now.Add(oneWay)
		if n := pools[i].Idle("", s.ID, now); n > 0 {
			pools[i][s.ID] = pools[i][s.ID][:n-1]
		} else {
			r.opened++
			arrives = arrives.Add(2 * oneWay)
		}
		service := time.Duration(float64(work) * (0.9 + 0.2*random.Float64()))
		if t := now.Sub(start); s.ID == list[5].ID && t > duration/3 && t < 2*duration/3 {
			r.slowed++
			service *= 5
		}
		took := arrives.Add(service + oneWay).Sub(now)
		at := now.Add(took)
		ends[at] = func() {
			trackers[i].Ended(s.ID, "", Answered, took, at)
			pools[i][s.ID] = append(pools[i][s.ID], at.Add(l.usable))
		}
		r.byServer[s.ID]++
		r.times = append(r.times, took)
	}
	return r
}

// Simulates lookups of many entries at few servers that close idle connections after two to five seconds. The baseline chooses
// by cost alone and uses connections until 0.7 s before that. Connections must be reused more often, at no cost to the times,
// to the spread over the servers, or to what a slowed server gets.
func TestLookupsReuseConnections(t *testing.T) {
	const seeds = 5
	for name, domains := range map[string][]string{
		"a domain each": {"a", "b", "c", "d", "e", "e"}, "two domains": {"a", "a", "a", "d", "d", "d"},
	} {
		for _, timeout := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
			early, late := timeout-700*time.Millisecond, timeout-200*time.Millisecond
			var opened, requests, slowed, crossed, most [3]int
			var p99 [3]time.Duration
			for seed := range uint64(seeds) {
				for i, l := range []lookupLoad{{usable: early}, {usable: late}, {usable: late, prefer: true}} {
					l.domains = domains
					r := l.run(seed)
					opened[i], requests[i] = opened[i]+r.opened, requests[i]+len(r.times)
					slowed[i], crossed[i] = slowed[i]+r.slowed, crossed[i]+r.crossed
					p99[i] += quantile(r.times, 0.99) / seeds
					most[i] = max(most[i], slices.Max(slices.Collect(maps.Values(r.byServer))))
				}
			}
			t.Logf("%s, timeout %s: baseline, used for longer, and preferred: opened %d of %d; p99 %s; at the slowed server %d, "+
				"across regions %d, most at one server %d", name, timeout, opened, requests, p99, slowed, crossed, most)
			if opened[2] > opened[0]*85/100 || opened[2] > opened[1] {
				t.Errorf("%s, timeout %s: connections opened %d", name, timeout, opened)
			}
			if p99[2] > p99[0]*105/100 || crossed[2] > crossed[0] {
				t.Errorf("%s, timeout %s: p99 %s, requests across regions %d", name, timeout, p99, crossed)
			}
			if slowed[2] > slowed[0]*11/10+10*seeds || most[2] > most[0]*13/10 {
				t.Errorf("%s, timeout %s: at the slowed server %d, most at one server %d", name, timeout, slowed, most)
			}
		}
	}
}

// Guards against a preference for idle connections that draws requests to servers that are farther away or slower, that applies
// to requests which open a connection in any case, and that changes the choice of a process with one connection.
func TestPreferenceIsBounded(t *testing.T) {
	answer := func(tr *Tracker, took time.Duration, ids ...string) {
		for _, id := range ids {
			tr.Began(id, start)
			tr.Ended(id, "", Answered, took, start)
		}
	}
	until := start.Add(time.Second)
	for name, tc := range map[string]struct {
		idle idlePool
		took time.Duration // at b0, which has the connection
		need Need
		want bool
	}{
		"two connections":   {idlePool{"b0": {until, until}}, 25 * time.Millisecond, Need{}, true},
		"another elsewhere": {idlePool{"b0": {until}, "x": {until}}, 25 * time.Millisecond, Need{}, true},
		"one connection":    {idlePool{"b0": {until}}, 25 * time.Millisecond, Need{}, false},
		"expired":           {idlePool{"b0": {start, start}}, 25 * time.Millisecond, Need{}, false},
		"slower server":     {idlePool{"b0": {until, until}}, 40 * time.Millisecond, Need{}, false},
		"new connection":    {idlePool{"b0": {until, until}}, 25 * time.Millisecond, Need{NewConn: true}, false},
		"other region":      {idlePool{"c0": {until, until}}, 25 * time.Millisecond, Need{}, false},
	} {
		tr := tracker()
		tr.SetConnections(tc.idle)
		l := slices.Concat(servers(1, 6, "a"), servers(1, 6, "b"), servers(1, 6, "c"))
		answer(tr, 25*time.Millisecond, "a0", "c0")
		answer(tr, tc.took, "b0")
		for range 50 {
			if s, _ := tr.Pick(start, l, tc.need); s.ID != "a0" != tc.want || s.ID == "c0" {
				t.Errorf("%s: picked %s", name, s.ID)
				break
			}
		}
	}
}

// scannedPool counts how often all idle connections are looked through.
type scannedPool struct {
	idlePool
	scans *int
}

func (p scannedPool) AtLeastTwoIdle(now time.Time) bool {
	*p.scans++
	return p.idlePool.AtLeastTwoIdle(now)
}

// Guards against looking through all idle connections for choices that do not depend on it.
func TestPoolIsNotScannedInVain(t *testing.T) {
	until := start.Add(time.Second)
	for name, tc := range map[string]struct {
		idle idlePool
		want int
	}{
		"none": {idlePool{}, 0}, "at the cheapest": {idlePool{"a0": {until}, "b0": {until}}, 0},
		"two at the chosen": {idlePool{"b0": {until, until}}, 0}, "one at the chosen": {idlePool{"b0": {until}}, 1},
	} {
		tr, scans := tracker(), 0
		tr.SetConnections(scannedPool{tc.idle, &scans})
		tr.pickConnected(start, slices.Concat(servers(1, 6, "a"), servers(1, 6, "b")), []float64{0.025, 0.026}, 0)
		if scans != tc.want {
			t.Errorf("%s: %d scans, want %d", name, scans, tc.want)
		}
	}
}
