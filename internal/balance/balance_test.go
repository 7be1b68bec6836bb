package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func newTestFleet(n int) *Fleet {
	f := NewFleet("nord", Defaults())
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{Name: fmt.Sprintf("s%d", i), Region: "nord", Slots: 8, Version: 7, Usable: true}
	}
	f.Sync(start, servers)
	return f
}

func newPaced(f *Fleet) *PowerOfTwo { return NewPowerOfTwo(f, rand.New(rand.NewPCG(1, 2))) }

// simulateProgress makes every server produce tokens for the duration d, with ten times the usual time per token on the
// first slow servers. It returns the time at the end.
func simulateProgress(f *Fleet, now time.Time, slow int, d time.Duration) time.Time {
	end := now.Add(d)
	for ; now.Before(end); now = now.Add(10 * time.Millisecond) {
		for id := range f.states {
			gap := 10 * time.Millisecond
			if id < slow {
				gap *= 10
			}
			f.Progress(now, ID(id), 1, gap, false)
		}
	}
	return now
}

// Guards against requests that are sent to slow servers, and against servers that stay unused after they recovered.
func TestOutliers(t *testing.T) {
	f := newTestFleet(14)
	p := newPaced(f)
	now := simulateProgress(f, start, 4, 2*time.Second)
	for range 1000 {
		if id, _ := p.Pick(now, Request{Tokens: 10}); id < 4 {
			t.Fatalf("slow server %d was selected", id)
		}
	}
	now = simulateProgress(f, now, 0, 10*time.Second)
	seen := map[ID]bool{}
	for range 300 {
		id, _ := p.Pick(now, Request{Tokens: 10})
		f.Start(now, id, 10, false)
		seen[id] = true
	}
	if len(seen) != 14 {
		t.Fatalf("only %d of 14 servers are selected after all have recovered", len(seen))
	}
}

// Guards against a server whose streams hang: it reports no progress, so that its average time per token does not change.
func TestMissingProgressEjects(t *testing.T) {
	f := newTestFleet(4)
	p := newPaced(f)
	f.Start(start, 0, 100, false)
	now := start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		for id := ID(1); id < 4; id++ {
			f.Progress(now, id, 1, 10*time.Millisecond, false)
		}
	}
	if !f.Ejected(now, 0) {
		t.Fatalf("server without progress is not ejected")
	}
	if id, _ := p.Pick(now, Request{Tokens: 10}); id == 0 {
		t.Fatalf("server without progress was selected")
	}
}

// Guards against ejecting so many servers that the remaining ones are overloaded.
func TestEjectionKeepsMinimumShare(t *testing.T) {
	f := newTestFleet(10)
	now := simulateProgress(f, start, 4, time.Second)
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		for id := range f.states {
			f.Progress(now, ID(id), 1, time.Duration(id*id+1)*10*time.Millisecond, false)
		}
		out := 0
		for id := range f.states {
			if f.states[id].ejectedUntil != 0 {
				out++
			}
		}
		if out > 5 {
			t.Fatalf("%d of 10 servers are ejected", out)
		}
	}
}

// Guards against a request that gets no server although an ejected one could run it.
func TestEjectedServerIsUsedAsFallback(t *testing.T) {
	f := newTestFleet(2)
	now := simulateProgress(f, start, 1, time.Second)
	if !f.Ejected(now, 0) {
		t.Fatalf("slow server is not ejected")
	}
	if id, v := newPaced(f).Pick(now, Request{Tokens: 1, Exclude: []ID{1}}); id != 0 || v != Found {
		t.Fatalf("got server %d with verdict %d, want the ejected server 0", id, v)
	}
}

// Guards against requests to servers that are unusable, too old, full or excluded.
func TestLimits(t *testing.T) {
	f := NewFleet("nord", Defaults())
	f.Sync(start, []Server{
		{Name: "gone", Region: "nord", Slots: 8, Version: 9},
		{Name: "old", Region: "nord", Slots: 8, Version: 6, Usable: true},
		{Name: "full", Region: "nord", Slots: 1, Version: 9, Usable: true},
	})
	p := newPaced(f)
	for range 2 {
		id, v := p.Pick(start, Request{Tokens: 1, MinVersion: 7, Train: true})
		if v != Found || f.Server(id).Name != "full" {
			t.Fatalf("got server %d with verdict %d, want the server named full", id, v)
		}
		f.Start(start, id, 1, false)
	}
	if _, v := p.Pick(start, Request{MinVersion: 7, Train: true}); v != Full {
		t.Fatalf("training request beyond TrainCap: got verdict %d, want Full", v)
	}
	if _, v := p.Pick(start, Request{MinVersion: 7}); v != Found {
		t.Fatalf("live request beside training requests: got verdict %d, want Found", v)
	}
	if _, v := p.Pick(start, Request{MinVersion: 10}); v != Stale {
		t.Fatalf("got verdict %d, want Stale", v)
	}
	if _, v := p.Pick(start, Request{Exclude: []ID{1, 2}}); v != NoServer {
		t.Fatalf("got verdict %d, want Absent", v)
	}
}

// Guards against billed traffic to another region while local servers are free, and against waiting in a long local queue
// while servers of the other region are free.
func TestRegions(t *testing.T) {
	f := NewFleet("nord", Defaults())
	f.Sync(start, []Server{
		{Name: "here", Region: "nord", Slots: 8, Usable: true},
		{Name: "there", Region: "sud", Slots: 8, Usable: true},
	})
	p := newPaced(f)
	for range 5 {
		id, _ := p.Pick(start, Request{Tokens: 10})
		if f.Server(id).Name != "here" {
			t.Fatalf("server of the other region was selected although the local one is free")
		}
		f.Start(start, id, 10, false)
	}
	f.Start(start, f.Find("here"), 1000, false)
	if id, _ := p.Pick(start, Request{Tokens: 10}); f.Server(id).Name != "there" {
		t.Fatalf("local server with a long queue was selected")
	}
}

// Guards against a group that is spread over all servers without need, and against one that stays on an overloaded server.
func TestAffinity(t *testing.T) {
	f := newTestFleet(14)
	p := newPaced(f)
	a := Request{Tokens: 10, PrefixTokens: 2000, Group: 99}
	first, _ := p.Pick(start, a)
	for range 20 {
		if id, _ := p.Pick(start, a); id != first {
			t.Fatalf("group moved from %d to %d without need", first, id)
		}
	}
	f.Start(start, first, 10_000, false)
	if id, _ := p.Pick(start, a); id == first {
		t.Fatalf("group stays on a server with a long queue")
	}
}

// Guards against solo requests that are spread over servers, each of which must be emptied for them, and against other
// requests that wait behind a solo request.
func TestSolo(t *testing.T) {
	f := newTestFleet(14)
	p := newPaced(f)
	first, _ := p.Pick(start, Request{Tokens: 10, Solo: true})
	f.Start(start, first, 10, false)
	f.Solo(first, true)
	if id, _ := newPaced(newTestFleet(14)).Pick(start, Request{Tokens: 10, Solo: true}); id != first {
		t.Fatalf("solo requests of two processes are sent to different servers, %d and %d", first, id)
	}
	for range 200 {
		if id, _ := p.Pick(start, Request{Tokens: 10}); id == first {
			t.Fatalf("server with a solo request was selected for another request")
		}
	}
	if id, _ := p.Pick(start, Request{Tokens: 10, Solo: true, Exclude: []ID{first}}); id == first || id == None {
		t.Fatalf("excluded server or none was selected: %d", id)
	}
	f.Solo(first, false)
	seen := false
	for range 200 {
		id, _ := p.Pick(start, Request{Tokens: 10})
		f.Start(start, id, 10, false)
		seen = seen || id == first
	}
	if !seen {
		t.Fatalf("server is not selected after its solo request has ended")
	}
}

// Guards against selections that differ between runs with the same seed.
func TestDeterministic(t *testing.T) {
	run := func() []ID {
		f := newTestFleet(50)
		p := newPaced(f)
		var ids []ID
		for i := range 500 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			id, _ := p.Pick(now, Request{Tokens: 1 + i%40, Group: uint64(i % 7), PrefixTokens: 100})
			f.Start(now, id, 1+i%40, false)
			f.Progress(now, id, 1, time.Duration(1+id)*time.Millisecond, false)
			ids = append(ids, id)
		}
		return ids
	}
	a, b := run(), run()
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("selection %d differs between the runs", i)
		}
	}
}

// Guards against an ID that is reused while requests to the removed server are still in flight: their end would be
// recorded for the new server.
func TestIDIsNotReusedWithRequestsInFlight(t *testing.T) {
	f := newTestFleet(2)
	f.Start(start, 0, 5, false)
	f.Sync(start, []Server{{Name: "new", Region: "nord", Slots: 1, Usable: true}})
	if f.Find("new") == 0 {
		t.Fatalf("ID of a server with requests in flight was reused")
	}
	f.End(start, 0, 5, false)
	f.Sync(start, nil)
	if f.Find("s0") != None {
		t.Fatalf("removed server without requests in flight is kept")
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{14, 100, 375, 1500} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			f := newTestFleet(n)
			p := newPaced(f)
			now := simulateProgress(f, start, n/4, time.Second)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				id, _ := p.Pick(now, Request{Tokens: 100, PrefixTokens: 50, Group: uint64(i % 100)})
				f.Start(now, id, 100, false)
				f.Progress(now, id, 8, 80*time.Millisecond, false)
				f.End(now, id, 92, false)
				i++
			}
		})
	}
}
