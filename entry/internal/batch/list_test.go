package batch

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a write that waits for more results although it completes what the trainer waits for. The second group
// ends well within the time for which results gather, and would come in the same write.
func TestListsWhatIsWantedAtOnce(t *testing.T) {
	e := newEngine(t, 3)
	e.gap = gather / 6
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	first, second := "a-4", "b-7"
	r.submit(m, "j", payloadFor(1, 2, first, second))
	results := r.collect(m, "j", 1)
	if len(results) != 1 {
		t.Errorf("%d results came together, one is wanted", len(results))
	}
	check(t, results, first)
	check(t, r.collect(m, "j", 2), first, second)
}

// Guards against a write for each result.
func TestGathers(t *testing.T) {
	e := newEngine(t, 3)
	e.gap = time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	var ids []string
	for g := range 8 {
		ids = append(ids, fmt.Sprintf("g%d-%d", g, g+1))
	}
	r.submit(m, "j", payloadFor(8, 2, ids...))
	check(t, r.collect(m, "j", 8), ids...)
	if n := len(r.store.Names(KindRecords + "j")); n > 2 {
		t.Errorf("%d records for results that came together", n)
	}
}
