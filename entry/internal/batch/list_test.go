package batch

import (
	"fmt"
	"testing"
	"time"
)

// Guards against holding back results that complete the step. The second group completes well within gatherDelay, and
// would otherwise be listed in the same record.
func TestCompletedStepIsListedAtOnce(t *testing.T) {
	e := newEngine(t, 3)
	e.gap = gatherDelay / 6
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	first, second := "a-4", "b-7"
	r.submit(m, "j", payloadFor(1, 2, first, second))
	results := r.collect(m, "j", 1)
	if len(results) != 1 {
		t.Errorf("%d results in the first page, want 1", len(results))
	}
	checkTexts(t, results, first)
	checkTexts(t, r.collect(m, "j", 2), first, second)
}

// Guards against one write per result.
func TestResultsShareRecords(t *testing.T) {
	e := newEngine(t, 3)
	e.gap = time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	var ids []string
	for g := range 8 {
		ids = append(ids, fmt.Sprintf("g%d-%d", g, g+1))
	}
	r.submit(m, "j", payloadFor(8, 2, ids...))
	checkTexts(t, r.collect(m, "j", 8), ids...)
	if n := len(r.store.Names(KindRecords + "j")); n > 2 {
		t.Errorf("%d records for results that are ready together, want at most 2", n)
	}
}
