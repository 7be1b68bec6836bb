package place

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/ratelimit"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func noLimits() *ratelimit.Limiter { return ratelimit.New(slog.New(slog.DiscardHandler)) }

func tracker() *Tracker {
	return New(Home{Domain: "a", Region: "east", Regions: map[string]string{"a": "east", "b": "east", "c": "west"}},
		noLimits(), rand.New(rand.NewPCG(1, 2)))
}

func servers(n, slots int, domain string) []catalog.Server {
	var l []catalog.Server
	for i := range n {
		l = append(l, catalog.Server{
			ID: fmt.Sprintf("%s%d", domain, i), Domain: domain, Slots: slots, Versions: map[string]int{"m": i},
		})
	}
	return l
}

// Guards against a server that cannot run the work, was tried already, or has no free slot.
func TestPickEligibleServer(t *testing.T) {
	tr := tracker()
	l := servers(3, 1, "a")
	for range 20 {
		if s, ok := tr.Pick(start, l, Need{Model: "m", MinVersion: 2}); !ok || s.ID != "a2" {
			t.Fatalf("picked %q for version 2, want a2", s.ID)
		}
		if s, ok := tr.Pick(start, l, Need{Tried: map[string]bool{"a0": true, "a2": true}}); !ok || s.ID != "a1" {
			t.Fatalf("picked %q with a0 and a2 tried, want a1", s.ID)
		}
	}
	if s, ok := tr.Pick(start, l, Need{Model: "other"}); ok {
		t.Errorf("picked %q for a model it does not run", s.ID)
	}
	for _, s := range l {
		tr.Began(s.ID, start)
	}
	if s, ok := tr.Pick(start, l, Need{RequireSlot: true}); ok {
		t.Errorf("picked %q, which has no free slot", s.ID)
	}
	if _, ok := tr.Pick(start, l, Need{}); !ok {
		t.Error("no server for a request that may be queued")
	}
}

// Guards against short requests that cross regions while servers of their own region have capacity.
func TestPickPrefersOwnRegion(t *testing.T) {
	tr := tracker()
	l := append(servers(2, 6, "c"), servers(2, 6, "a")...)
	for range 50 {
		s, _ := tr.Pick(start, l, Need{})
		if s.Domain != "a" {
			t.Fatalf("picked %q in another region", s.ID)
		}
		tr.Began(s.ID, start)
		tr.Ended(s.ID, "", Answered, 30*time.Millisecond, start)
	}
}

// Simulates a full server: refusals start a back-off that grows with each, for the refused model only, and a success
// resets it.
func TestRefusalBackoff(t *testing.T) {
	tr := tracker()
	l := []catalog.Server{{ID: "s", Domain: "a", Slots: 4, Versions: map[string]int{"m": 1, "n": 1}}}
	need := Need{Model: "m", RequireSlot: true}
	now := start
	var backoffs []time.Duration
	for range 4 {
		tr.Began("s", now)
		tr.Ended("s", "m", Refused, 0, now)
		if _, ok := tr.Pick(now, l, Need{Model: "n", RequireSlot: true}); !ok {
			t.Fatal("a refusal for one model blocks work for another")
		}
		began := now
		for {
			if _, ok := tr.Pick(now, l, need); ok {
				break
			}
			now = now.Add(10 * time.Millisecond)
		}
		backoffs = append(backoffs, now.Sub(began))
	}
	for i, r := range backoffs {
		if want := min(refusalBackoff<<i, maxRefusalBackoff); r != want {
			t.Errorf("back-off after refusal %d is %s, want %s", i+1, r, want)
		}
	}
	tr.Began("s", now)
	tr.Ended("s", "m", Answered, time.Millisecond, now)
	tr.Began("s", now)
	tr.Ended("s", "m", Refused, 0, now)
	if _, ok := tr.Pick(now.Add(refusalBackoff), l, need); !ok {
		t.Error("a success does not reset the back-off")
	}
}

// Guards against a burst of refusals of concurrent requests, each of which would extend the back-off.
func TestConcurrentRefusalsCountOnce(t *testing.T) {
	tr := tracker()
	l := []catalog.Server{{ID: "s", Domain: "a", Slots: 40}}
	for range 30 {
		tr.Began("s", start)
	}
	for range 30 {
		tr.Ended("s", "", Refused, 0, start)
	}
	if _, ok := tr.Pick(start.Add(refusalBackoff), l, Need{RequireSlot: true}); !ok {
		t.Error("30 concurrent refusals count as 30 consecutive ones")
	}
}

// Simulates a few slowed engines: they count as slow and others do not, expired intervals are ignored, and no server
// is slow while there are too few to compare.
func TestPickExcludesSlowServers(t *testing.T) {
	tr := tracker()
	observe := func(id string, gap time.Duration, at time.Time) {
		tr.Began(id, at)
		for range 20 {
			tr.ObserveInterval(id, gap, at)
		}
	}
	slow := func(id string, at time.Time) bool {
		_, ok := tr.Pick(at, []catalog.Server{{ID: id, Domain: "a", Slots: 8}}, Need{ExcludeSlow: true})
		return !ok
	}
	observe("a0", 40*time.Millisecond, start)
	observe("a1", 140*time.Millisecond, start)
	if slow("a1", start) {
		t.Error("a server counts as slow among only two")
	}
	observe("a2", 42*time.Millisecond, start)
	observe("a3", 45*time.Millisecond, start)
	if !slow("a1", start) {
		t.Error("an interval 3.5 times that of the others does not count as slow")
	}
	if slow("a3", start) || slow("unknown", start) {
		t.Error("a server with a normal or unknown interval counts as slow")
	}
	l := servers(2, 8, "a")
	if s, ok := tr.Pick(start, l, Need{ExcludeSlow: true}); !ok || s.ID != "a0" {
		t.Errorf("picked %q, want the fast a0", s.ID)
	}
	if slow("a1", start.Add(validFor+time.Second)) {
		t.Error("an expired interval counts")
	}
}

// Simulates a step of long items with one slowed engine. The baseline selects the least filled server, which gives
// each engine an equal share; the slowed engine must get less.
func TestSlowEngineGetsLessWork(t *testing.T) {
	tr := tracker()
	l := servers(6, 8, "a")
	for i, s := range l {
		gap := 40 * time.Millisecond
		if i == 0 {
			gap = 140 * time.Millisecond
		}
		tr.Began(s.ID, start)
		tr.ObserveInterval(s.ID, gap, start)
		tr.Ended(s.ID, "m", Abandoned, 0, start)
	}
	placed := make(map[string]int)
	for range 30 {
		s, ok := tr.Pick(start, l, Need{Model: "m", RequireSlot: true})
		if !ok {
			t.Fatal("no free slot for 30 items on 48 slots")
		}
		tr.Began(s.ID, start)
		placed[s.ID]++
	}
	const even = 30 / 6
	if placed["a0"] >= even {
		t.Errorf("the slowed engine got %d of 30 items, want less than an equal share of %d", placed["a0"], even)
	}
}
