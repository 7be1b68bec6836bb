package ingress

import (
	"testing"
	"time"
)

// Guards against a request that crashes three servers through each of several entries, and against a request that is blocked
// at all entries because some servers reset part of all connections.
func TestSuspectsOfSeveralEntries(t *testing.T) {
	now := time.Now()
	var all []*Suspects
	for i := range 4 {
		all = append(all, NewSuspects(func(fingerprint uint64, answered bool) {
			for j, s := range all {
				if j != i {
					s.ApplyRemote(fingerprint, answered, now)
				}
			}
		}))
	}
	const poison, common = 1, 2
	for i := range crashLimit {
		if all[i].Blocked(poison, now) {
			t.Fatalf("blocked after %d crashes", i)
		}
		all[i].RecordCrash(poison, now)
	}
	for i, s := range all {
		if !s.Blocked(poison, now) {
			t.Errorf("entry %d does not block the request", i)
		}
		if s.Blocked(poison, now.Add(suspectRetention+time.Second)) {
			t.Errorf("entry %d still blocks the request after the retention period", i)
		}
	}
	for i := range 20 {
		all[i%4].RecordCrash(common, now)
		all[(i+1)%4].RecordResponse(common)
		for _, s := range all {
			if s.Blocked(common, now) {
				t.Fatal("a request to which servers respond is blocked")
			}
		}
	}
}
