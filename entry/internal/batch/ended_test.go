package batch

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// await polls until the condition holds, and fails the test after 10 s.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// received returns the number of events of an item that are in memory, and whether an attempt is in flight.
func received(j *Job, id string) (events int, running bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.items[id].data), j.items[id].running
}

// Guards against texts that begin in the middle of the output: attempts of an ended job that still had events in their
// buffers added them to texts that had been dropped, and a repeated end request put these texts into the cache for the
// next job.
func TestRepeatedEndKeepsTexts(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	owner, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	for n := range 8 {
		id := fmt.Sprintf("g%d-4000", n)
		first, second := fmt.Sprintf("j%d", n), fmt.Sprintf("k%d", n)
		r.submit(owner, first, payload(1, id))
		j := owner.local(first)
		await(t, "the item has events", func() bool { events, _ := received(j, id); return events > 100 })
		if reply := other.End(t.Context(), first); reply.Status != http.StatusOK {
			t.Fatal(reply)
		}
		await(t, "the attempt ends", func() bool { _, running := received(j, id); return !running })
		if events, _ := received(j, id); events > 0 {
			t.Errorf("%d events were added to the text of %s after its job had ended", events, id)
		}
		// An entry that was restarted does not know that the job has ended.
		restarted, _ := r.manager("c", fmt.Sprintf("c%d", n))
		if reply := restarted.End(t.Context(), first); reply.Status != http.StatusOK {
			t.Fatal(reply)
		}
		r.submit(owner, second, payload(1, id))
		checkTexts(t, r.collect(owner, second, 1), id)
	}
}
