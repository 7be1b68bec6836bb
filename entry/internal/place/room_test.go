package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
)

// Guards against a service that counts as full although servers have free slots, because one of them has refused a request,
// and against one that never counts as full because a failing server gets no requests.
func TestFullComparesWithSlots(t *testing.T) {
	servers := []catalog.Server{
		{ID: "a", Revision: 1, Service: "v", Slots: 2}, {ID: "b", Revision: 1, Service: "v", Slots: 2},
	}
	now := time.Unix(1_800_000_000, 0)
	tracker := func() *Tracker {
		return New(Home{Domain: "a", Region: "east", Regions: map[string]string{"a": "east"}}, noLimits(), rand.New(rand.NewPCG(1, 2)))
	}
	begin := func(tr *Tracker, id string, n int) {
		for range n {
			tr.Began(id, now)
		}
	}

	narrowed := tracker()
	begin(narrowed, "a", 1)
	narrowed.Ended("a", "", Refused, 0, now)
	begin(narrowed, "a", 1) // the window is 1 now, the server has 2 slots
	if later := now.Add(time.Minute); narrowed.Full(later, servers[:1], 0) {
		t.Error("a server with a free slot counts as full a minute after it has refused a request")
	}

	failing := tracker()
	begin(failing, "b", 1)
	failing.Ended("b", "", Failed, 0, now)
	begin(failing, "a", 1)
	if failing.Full(now, servers, 0) {
		t.Error("a server with a free slot counts as full beside one in back-off")
	}
	begin(failing, "a", 2)
	if !failing.Full(now, servers, 1) {
		t.Error("a full server counts as free because of another one in back-off")
	}

	all := tracker()
	for _, s := range servers {
		begin(all, s.ID, 1)
		all.Ended(s.ID, "", Failed, 0, now)
	}
	if all.Full(now, servers, 0) {
		t.Error("two idle servers in back-off count as full")
	}
	begin(all, "a", 2)
	begin(all, "b", 2)
	if !all.Full(now, servers, 0) || all.Full(now, nil, 0) {
		t.Error("two full servers in back-off count as free, or no server as full")
	}
}
