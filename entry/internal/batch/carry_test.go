package batch

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"bulrushspoke/internal/job"
	"bulrushspoke/platform/platformtest"
)

// Guards against a long item with a low length estimate that starts last in two steps in a row. The item is part of a
// group carried over from an earlier job, and its earlier text is of weights that are too old. The step has more items
// than there are slots.
func TestLongCarriedItemsStartFirst(t *testing.T) {
	const tokens = 50 // per event
	e := newEngine(t, 1)
	e.gap = time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	group := []job.Item{
		{ID: "g-900", Header: platformtest.Hint(10)},
		{ID: "g-6", Header: platformtest.Hint(6 * tokens)},
		{ID: "g-7", Header: platformtest.Hint(7 * tokens)},
	}
	r.submit(m, "j1", submission(1, group))
	deadline := time.Now().Add(10 * time.Second)
	for length := 0; length < 200; {
		if time.Now().After(deadline) {
			t.Fatal("the long item gets no events")
		}
		time.Sleep(time.Millisecond)
		j := m.local("j1")
		j.mu.Lock()
		length = len(j.items["g-900"].data)
		j.mu.Unlock()
	}
	if reply := m.End(t.Context(), nobody, "j1"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	e.set(func(e *engine) { e.version, e.gap = 2, 20*time.Millisecond })
	m.Catalog.ApplyServer(r.server(0, 99))
	before := len(e.started())
	items := group
	for i := range 16 { // long enough to keep all slots occupied
		items = append(items, job.Item{ID: fmt.Sprintf("h%d-80", i), Header: platformtest.Hint(80 * tokens)})
	}
	r.submit(m, "j2", submission(2, items))
	for len(e.started()) < before+8 {
		if time.Now().After(deadline) {
			t.Fatal("the items of the second job do not start")
		}
		time.Sleep(time.Millisecond)
	}
	found := false
	for _, s := range e.started()[before : before+8] {
		found = found || s == "g-900@1"
	}
	if !found {
		t.Errorf("the long item is not among the first eight started: %q", e.started()[before:])
	}
}

// submission returns a job with the given items. The group of an item is the first character of its id.
func submission(minVersion int, items []job.Item) []byte {
	j := job.Job{Step: 1, Model: "m", MinVersion: minVersion, Groups: 1}
	for _, it := range items {
		it.Path, it.Body, it.Tokens, it.Group = "/p/"+it.ID, []byte("body"), 10, it.ID[:1]
		j.Items = append(j.Items, it)
	}
	b, err := platformtest.EncodeJob(j)
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	return b
}
