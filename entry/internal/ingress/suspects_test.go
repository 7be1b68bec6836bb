package ingress

import (
	"testing"
	"time"
)

// Guards against a request that crashes three servers through each of many entries, and against one that is blocked
// everywhere since a server here and there breaks off part of all requests.
func TestSuspectsOfSeveralEntries(t *testing.T) {
	now := time.Now()
	var all []*Suspects
	for i := range 4 {
		all = append(all, NewSuspects(func(fingerprint uint64, answered bool) {
			for j, s := range all {
				if j != i {
					s.Heard(fingerprint, answered, now)
				}
			}
		}))
	}
	const poison, common = 1, 2
	for i := range crashLimit {
		if all[i].Blocked(poison, now) {
			t.Fatalf("blocked after %d crashes", i)
		}
		all[i].Crashed(poison, now)
	}
	for i, s := range all {
		if !s.Blocked(poison, now) {
			t.Errorf("entry %d sends the request to a server once more", i)
		}
		if s.Blocked(poison, now.Add(suspectTime+time.Second)) {
			t.Errorf("entry %d remembers it for ever", i)
		}
	}
	for i := range 20 {
		all[i%4].Crashed(common, now)
		all[(i+1)%4].Answered(common)
		for _, s := range all {
			if s.Blocked(common, now) {
				t.Fatal("a request that servers answer is blocked")
			}
		}
	}
}
