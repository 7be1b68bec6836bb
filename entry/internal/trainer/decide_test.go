package trainer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a pause of this process that is taken for an outage of the store: samples would be shown that another
// owner may have replaced meanwhile.
func TestOutageClock(t *testing.T) {
	type call struct {
		took, at time.Duration
		want     bool
	}
	for name, calls := range map[string][]call{
		"outage":       {{10 * time.Millisecond, 0, false}, {10 * time.Millisecond, 500 * time.Millisecond, false}, {10 * time.Millisecond, 1100 * time.Millisecond, true}},
		"silent store": {{callTimeout, callTimeout, false}, {callTimeout, 1100 * time.Millisecond, true}},
		"pause":        {{5 * time.Second, 5 * time.Second, false}, {5 * time.Second, 10 * time.Second, false}},
		"short pause":  {{10 * time.Millisecond, 0, false}, {5 * time.Second, 5 * time.Second, false}, {10 * time.Millisecond, 5100 * time.Millisecond, false}},
	} {
		clock := outageClock{after: outageAfter}
		start := time.Unix(0, 0)
		for i, c := range calls {
			if got := clock.fail(c.took, start.Add(c.at)); got != c.want {
				t.Errorf("%s: call %d gives %t, want %t", name, i, got, c.want)
			}
		}
	}
}

// Guards against work that can no longer meet the bound and goes on for more than a second after the entry knows the
// new weight version, and against slots that are not made again.
func TestHopelessWorkIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, 1)
		defer w.close()
		w.pace = func() time.Duration { return 200 * time.Millisecond }
		n := w.nodes[0].trainer
		if _, err := n.Open(context.Background(), testIdentity, testRequest(4, 4)); err != nil {
			t.Fatalf("open: %v", err)
		}
		time.Sleep(2500 * time.Millisecond)
		for range testBound + 1 {
			w.publish()
		}
		// Entries of the test learn of a version within a second.
		time.Sleep(2 * time.Second)
		s := n.local(key{run: "r", step: 1})
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.stale < 8 || s.running < 8 {
			t.Fatalf("%d attempts were cancelled and %d run, want at least 8 of each", s.stale, s.running)
		}
		for i := range s.cells {
			for _, a := range s.cells[i].attempts {
				if a != nil && a.oldest != 0 && a.oldest < s.floor() {
					t.Fatalf("slot %d goes on at version %d below the floor %d", i, a.oldest, s.floor())
				}
			}
		}
	})
}

// Guards against a store that is written for every sample while a trainer pulls all the time.
func TestLinger(t *testing.T) {
	if linger(true, 0) != lingerWaiting || linger(true, 1000) != lingerMost || linger(false, 0) != lingerIdle {
		t.Fatalf("linger is %v, %v and %v", linger(true, 0), linger(true, 1000), linger(false, 0))
	}
	for n := range 1000 {
		if linger(true, n) > linger(true, n+1) {
			t.Fatalf("linger falls at record %d", n)
		}
	}
}
