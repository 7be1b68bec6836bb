package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/catalog"
)

// Guards against work that goes to a service whose servers are full or in back-off while those of another one are free, and
// against a change of the order in which services were drawn if they are equally available.
func TestWorkGoesToAvailableService(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	began := func(n int) func(*Tracker) {
		return func(tr *Tracker) {
			for range n {
				tr.Began("a", now)
			}
		}
	}
	failed := func(tr *Tracker) {
		tr.Began("a", now)
		tr.Ended("a", "", Failed, 0, now)
	}
	for _, c := range []struct {
		name    string
		prepare func(*Tracker) // of server a, the only one of the first service; servers b and c are those of the second
		need    Need
		none    bool // the first service has no server
		sorted  []string
		slot    string // server of work that requires a slot; empty for none
	}{
		{name: "free", prepare: began(0), sorted: []string{"a", "b"}, slot: "a"},
		{name: "one slot left", prepare: began(1), sorted: []string{"a", "b"}, slot: "a"},
		{name: "full", prepare: began(2), sorted: []string{"b", "a"}, slot: "b"},
		{name: "in back-off", prepare: failed, sorted: []string{"b", "a"}, slot: "b"},
		{name: "without servers", prepare: began(0), none: true, sorted: []string{"b"}, slot: "b"},
		{name: "tried", prepare: began(0), need: Need{Tried: map[string]bool{"a": true}}, sorted: []string{"b"}, slot: "b"},
		{name: "the other one tried", prepare: began(2), need: Need{Tried: map[string]bool{"b": true, "c": true}}, sorted: []string{"a"}},
		{name: "without the model", prepare: began(0), need: Need{Model: "m"}, sorted: []string{}},
	} {
		tr := New(Home{Domain: "d", Region: "r", Regions: map[string]string{"d": "r"}}, noLimits(), rand.New(rand.NewPCG(1, 2)))
		c.prepare(tr)
		pools := Pools{
			{{ID: "a", Service: "new", Domain: "d", Slots: 2}},
			{{ID: "b", Service: "v", Domain: "d", Slots: 2}, {ID: "c", Service: "v", Domain: "d", Slots: 2}},
		}
		if c.none {
			pools[0] = nil
		}
		sorted := []string{}
		for _, servers := range tr.Sort(now, pools, c.need) {
			sorted = append(sorted, servers[0].ID)
		}
		if diff := cmp.Diff(c.sorted, sorted); diff != "" {
			t.Errorf("%s: sorted (-want +got):\n%s", c.name, diff)
		}
		c.need.RequireSlot = true
		tr.Began("c", now) // server b has the lower cost
		s, ok := tr.StartAmong(now, pools, c.need)
		if ok != (c.slot != "") || s.ID != c.slot {
			t.Errorf("%s: work that requires a slot goes to %q, want %q", c.name, s.ID, c.slot)
		}
	}
}

// Guards against a service that is passed over because one of its servers is full, and against requests that queue at full
// servers while those of another service are free.
func TestAvailabilityOfSeveralServers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tr := New(Home{Domain: "d", Region: "r", Regions: map[string]string{"d": "r"}}, noLimits(), rand.New(rand.NewPCG(1, 2)))
	a := []catalog.Server{{ID: "a1", Service: "a", Slots: 1}, {ID: "a2", Service: "a", Slots: 1}}
	b := []catalog.Server{{ID: "b", Service: "b", Slots: 1}}
	for i, want := range []string{"a", "a", "b", "a"} {
		s, ok := tr.StartAmong(now, Pools{a, b}, Need{})
		if !ok || s.Service != want {
			t.Errorf("request %d goes to service %q, want %q", i, s.Service, want)
		}
	}
}
