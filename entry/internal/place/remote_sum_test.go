package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bulrushspoke/entry/internal/prefill"
	"bulrushspoke/internal/call"
)

// Guards against sums of the loads of other entries that keep what has expired or was replaced, or lose what has not.
func TestSumsOfRemoteLoads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	tr := tracker()
	type report struct {
		load Load
		at   time.Time
	}
	reports := make(map[string]report)
	now := start
	for range 3000 {
		now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
		if random.IntN(8) == 0 {
			now = now.Add(remoteCountTTL)
		}
		if random.IntN(3) > 0 {
			l := Load{Counts: make(map[string]int), Waiting: make(map[string]int)}
			for range random.IntN(4) {
				l.Counts[fmt.Sprint("a", random.IntN(4))] = random.IntN(5)
				l.Waiting[fmt.Sprint("a", random.IntN(4))] = random.IntN(5000)
			}
			name := fmt.Sprint("e", random.IntN(5))
			reports[name] = report{l, now}
			tr.SetRemoteLoad(name, l, now)
		}
		for i := range 4 {
			id := fmt.Sprint("a", i)
			var want remoteSum
			for _, r := range reports {
				if now.Sub(r.at) <= remoteCountTTL {
					want.requests += r.load.Counts[id]
				}
				if now.Sub(r.at) < remoteIntervalTTL {
					want.waiting += r.load.Waiting[id]
				}
			}
			if got := tr.remoteAt(id, now); got != want {
				t.Fatalf("after %s the load of %s is %+v, want %+v", now.Sub(start), id, got, want)
			}
		}
	}
	if now = now.Add(time.Minute); tr.remoteAt("a0", now) != (remoteSum{}) || len(tr.remoteSums) > 0 || len(tr.remote) > 0 {
		t.Errorf("%d sums of %d entries are kept", len(tr.remoteSums), len(tr.remote))
	}
}

// BenchmarkChoice measures a choice among the engines of a deployment, whose load 23 entries report, for requests with and
// without a ticket.
func BenchmarkChoice(b *testing.B) {
	const engines, entries = 55, 23
	for name, p := range map[string]call.Prompt{"plain": {}, "ticket": {Tokens: 300, Output: 10}} {
		b.Run(name, func(b *testing.B) {
			tr, l := tracker(), servers(engines, 8, "a")
			for i := range entries {
				o := Load{Counts: make(map[string]int), Waiting: make(map[string]int)}
				for _, s := range l {
					o.Counts[s.ID], o.Waiting[s.ID] = 2, 2000
				}
				tr.SetRemoteLoad(fmt.Sprint(i), o, start)
			}
			for b.Loop() {
				k := prefill.NewTicket(p, "")
				s, _ := tr.Start(start, l, Need{Ticket: k})
				tr.Release(k, false, start)
				tr.Ended(s.ID, "", Answered, time.Millisecond, start)
			}
		})
	}
}
