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
		s := n.local(stepKey{run: "r", step: 1})
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

// Guards against an answer that reaches further when it is repeated, since samples of it have gone stale in between.
func TestRepeatedAnswerKeepsItsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 4
		w := newWorld(7, 1)
		defer w.close()
		spec := wire.Spec{Run: "r", Step: 1, Model: testModel, Version: 1, Staleness: testBound, Slots: 9, Digest: 1}
		s := w.nodes[0].trainer.newStep(stepKey{run: "r", step: 1}, spec, []wire.Group{{Name: "g", Samples: 9}}, nil)
		b := &batch{shown: true}
		for i, version := range []int64{1, 4, 1, 4, 4, 1, 1, 1, 4} {
			sample := &wire.Sample{
				Group: "g", Index: i, ID: strconv.Itoa(i), Spans: []wire.Span{{Version: version}},
			}
			s.cells[i].sample = sample
			b.items = append(b.items, item{slot: i, sample: sample})
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
			s.current.Store(c.version)
			if got := ids(s.choose(set, most).Samples, c.version); !slices.Equal(got, c.want) {
				t.Errorf("%s: answer holds %v, want %v", c.name, got, c.want)
			}
		}
	})
}
