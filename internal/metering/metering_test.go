package metering

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against counts that are lost or added twice when messages are lost, repeated, reordered, or sent by a process that has
// been restarted under the same name.
func TestCountsSurviveMessageFaults(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 5))
	for range 200 {
		l, want := NewCollector(), make(Counts)
		for _, inc := range []string{"i1", "i2"} {
			c := NewCounter(10)
			var held []map[int64]Counts
			for range 40 {
				workspace := string(rune('a' + r.IntN(3)))
				c.Add(10, workspace)
				want[workspace]++
				changed, _, _ := c.Changes()
				held = append(held, changed)
			}
			r.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
			for _, m := range held {
				for range r.IntN(3) {
					l.Merge(Message{Name: "a", Incarnation: inc, Through: 9, Windows: m})
				}
			}
			c.Complete(10)
			last, marked, _ := c.Changes()
			if !marked {
				t.Fatal("a newly complete window is not reported")
			}
			l.Merge(Message{Name: "a", Incarnation: inc, Through: 10, Windows: last})
		}
		if diff := cmp.Diff(want, l.Total(10)); diff != "" {
			t.Fatalf("counts (-want +got):\n%s", diff)
		}
	}
}

// Guards against messages that grow with the number of workspaces instead of the number of requests.
func TestChangesAreSmall(t *testing.T) {
	c := NewCounter(10)
	for _, workspace := range []string{"a", "b", "a"} {
		c.Add(10, workspace)
	}
	c.Changes()
	c.Add(10, "a")
	changed, _, _ := c.Changes()
	if diff := cmp.Diff(map[int64]Counts{10: {"a": 3}}, changed); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	c.Complete(10)
	changed, _, _ = c.Changes()
	if diff := cmp.Diff(map[int64]Counts{10: {"a": 3, "b": 1}}, changed); diff != "" {
		t.Errorf("complete window (-want +got):\n%s", diff)
	}
}

// Guards against windows that are closed before all processes have sent their counts, out of order, twice, or never.
func TestClosing(t *testing.T) {
	l := NewCollector()
	l.Merge(Message{Name: "a", Incarnation: "i", Through: 12, Windows: map[int64]Counts{11: {"w": 2}}})
	l.Merge(Message{Name: "b", Incarnation: "i", Through: 11, Windows: map[int64]Counts{12: {"w": 1}}})
	at := func(s float64, mayOmitMissing bool) []int64 {
		var windows []int64
		for _, r := range l.Closed(10, Closing{
			Now: time.Duration(s * float64(time.Second)), Length: 5 * time.Second, Settle: 2 * time.Second, Deadline: 4 * time.Second,
			Expected: []string{"a", "b"}, MayOmitMissing: mayOmitMissing,
		}) {
			windows = append(windows, r.Window)
		}
		return windows
	}
	for _, c := range []struct {
		second         float64
		mayOmitMissing bool
		want           []int64
	}{{61, true, nil}, {62, true, []int64{11}}, {68, true, []int64{11}}, {69, false, []int64{11}}, {69, true, []int64{11, 12}}} {
		if got := at(c.second, c.mayOmitMissing); !slices.Equal(got, c.want) {
			t.Errorf("at second %v closed %v, want %v", c.second, got, c.want)
		}
	}
	// An entry that ends, or is replaced by a new process, is not waited for.
	l.Merge(Message{Name: "b", Incarnation: "i2", Through: 12, Windows: nil})
	if got := at(68, true); !slices.Equal(got, []int64{11, 12}) {
		t.Errorf("after the restart of b closed %v", got)
	}
	// The store or another entry may still hold a message of its earlier process.
	l.Merge(Message{Name: "b", Incarnation: "i0", Through: 10})
	if got := at(68, true); !slices.Equal(got, []int64{11, 12}) {
		t.Errorf("after a message of an earlier process closed %v", got)
	}
	l.Written(12)
	l.Merge(Message{Name: "a", Incarnation: "i", Through: 13, Windows: map[int64]Counts{12: {"w": 9}}})
	if n := l.Total(12); len(n) != 0 {
		t.Errorf("counts of a written window are kept: %v", n)
	}
}
