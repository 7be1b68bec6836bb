package trainer

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/entry/internal/cursor"
	"bulrushspoke/wire"
)

// Guards against a pause of this process that counts as an outage of the store: samples would be delivered that another
// owner may have replaced in the meantime.
func TestOutageClock(t *testing.T) {
	type call struct {
		took, at time.Duration
		want     bool
	}
	for name, calls := range map[string][]call{
		"outage":       {{10 * time.Millisecond, 0, false}, {10 * time.Millisecond, 500 * time.Millisecond, false}, {10 * time.Millisecond, 1100 * time.Millisecond, true}},
		"silent store": {{storeCallTimeout, storeCallTimeout, false}, {storeCallTimeout, 1100 * time.Millisecond, true}},
		"pause":        {{5 * time.Second, 5 * time.Second, false}, {5 * time.Second, 10 * time.Second, false}},
		"short pause":  {{10 * time.Millisecond, 0, false}, {5 * time.Second, 5 * time.Second, false}, {10 * time.Millisecond, 5100 * time.Millisecond, false}},
	} {
		detector := outageDetector{threshold: outageThreshold}
		start := time.Unix(0, 0)
		for i, c := range calls {
			if got := detector.recordFailure(c.took, start.Add(c.at)); got != c.want {
				t.Errorf("%s: call %d gives %t, want %t", name, i, got, c.want)
			}
		}
	}
}

// Guards against attempts past the staleness bound that run for more than a second after the entry knows the new weight
// version, and against slots that are not attempted again.
func TestStaleAttemptsAreCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(5, 1)
		defer cl.close()
		cl.tokenTime = func() time.Duration { return 200 * time.Millisecond }
		tr := cl.entries[0].trainer
		if _, err := tr.Open(context.Background(), testIdentity, testRequest(4, 4)); err != nil {
			t.Fatalf("open: %v", err)
		}
		time.Sleep(2500 * time.Millisecond)
		for range testStaleness + 1 {
			cl.publish()
		}
		// Entries in this test learn of a version within a second.
		time.Sleep(2 * time.Second)
		s := tr.ownedStep(stepKey{run: "r", step: 1})
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.staleCount < 8 || s.runningAttempts < 8 {
			t.Fatalf("%d attempts were cancelled and %d run, want at least 8 of each", s.staleCount, s.runningAttempts)
		}
		for i := range s.slots {
			for _, a := range s.slots[i].attempts {
				if a != nil && a.oldest != 0 && a.oldest < s.minVersion() {
					t.Fatalf("slot %d still runs at version %d, below the minimum of %d", i, a.oldest, s.minVersion())
				}
			}
		}
	})
}

// Guards against one store write per sample while a trainer pulls continuously.
func TestLinger(t *testing.T) {
	if linger(true, 0) != minLinger || linger(true, 1000) != maxLinger || linger(false, 0) != idleLinger {
		t.Fatalf("linger is %v, %v and %v", linger(true, 0), linger(true, 1000), linger(false, 0))
	}
	for n := range 1000 {
		if linger(true, n) > linger(true, n+1) {
			t.Fatalf("linger decreases at record %d", n)
		}
	}
}

// Guards against a repeated answer that reaches further because samples of it became stale in between.
func TestRepeatedAnswerKeepsItsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 4
		cl := newCluster(7, 1)
		defer cl.close()
		spec := wire.Spec{Run: "r", Step: 1, Model: testModel, Version: 1, Staleness: testStaleness, Slots: 9, Digest: 1}
		s := cl.entries[0].trainer.newStep(stepKey{run: "r", step: 1}, spec, []wire.Group{{Name: "g", Samples: 9}}, nil)
		b := &batch{visible: true}
		for i, version := range []int64{1, 4, 1, 4, 4, 1, 1, 1, 4} {
			sample := &wire.Sample{
				Group: "g", Index: i, ID: strconv.Itoa(i), Spans: []wire.Span{{Version: version}},
			}
			s.slots[i].sample = sample
			b.items = append(b.items, batchItem{slot: i, sample: sample})
		}
		s.batches = []*batch{b}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range []struct {
			name    string
			version int64
			held    []int
			want    []string
		}{
			{name: "first", version: 1, want: []string{"0", "1", "2", "3"}},
			{name: "two have gone stale", version: 4, want: []string{"1", "3"}},
			{name: "again", version: 4, want: []string{"1", "3"}},
			{name: "next, of which three have gone stale", version: 4, held: []int{0, 1, 2, 3}, want: []string{"4"}},
			{name: "only stale ones before the cut", version: 4, held: []int{0, 1, 3, 4}, want: []string{"8"}},
		} {
			set := cursor.New(spec.Digest, spec.Slots)
			for _, i := range c.held {
				set.Add(i)
			}
			s.currentVersion.Store(c.version)
			if got := freshIDs(s.selectAnswer(set, most).Samples, c.version); !slices.Equal(got, c.want) {
				t.Errorf("%s: answer holds %v, want %v", c.name, got, c.want)
			}
		}
	})
}
