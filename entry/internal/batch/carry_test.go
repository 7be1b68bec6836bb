package batch

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"bulrushspoke/internal/job"
	"bulrushspoke/platform/platformtest"
)

// Plays a step with more items than slots after one that has left a group incomplete. One item of the group is long
// although its estimate is low. It has run before, under weights that do not count any more: it is started among the
// first, where the estimates alone would start it last.
func TestLongItemsThatComeAgainStartFirst(t *testing.T) {
	const tokens = 50 // of an event
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
			t.Fatal("the long item makes no events")
		}
		time.Sleep(time.Millisecond)
		j := m.local("j1")
		j.mu.Lock()
		length = len(j.items["g-900"].data)
		j.mu.Unlock()
	}
	if reply := m.End(t.Context(), "j1"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	e.set(func(e *engine) { e.version, e.gap = 2, 20*time.Millisecond })
	m.Catalog.ApplyServer(r.entry(0, 99))
	before := len(e.started())
	items := group
	for i := range 16 { // none ends before all slots are taken
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
		t.Errorf("the long item is not among the first eight: %q", e.started()[before:])
	}
}

// submission returns a job of items, each in the group before the dash of its id.
func submission(minVersion int, items []job.Item) []byte {
	j := job.Job{Step: 1, Model: "m", MinVersion: minVersion, Groups: 1}
	for _, it := range items {
		it.Path, it.Body, it.Tokens, it.Group = "/p/"+it.ID, []byte("body"), 10, it.ID[:1]
		j.Items = append(j.Items, it)
	}
	b, err := platformtest.EncodeJob(j)
	if err != nil {
		panic(err) // strings and numbers encode
	}
	return b
}
