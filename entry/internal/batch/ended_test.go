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

// endBound is how long after the acknowledgement of an end the platform tolerates items that reach a server.
const endBound = 3 * time.Second

// awaitEnd waits until an entry knows that a job has ended or does not run it any more, and fails the test if that takes
// longer than endBound from since on, or if a server gets an item later than that.
func awaitEnd(t *testing.T, m *Manager, id string, e *engine, since time.Time) {
	t.Helper()
	for {
		j := m.local(id)
		if j == nil || j.hasEnded() {
			break
		}
		if time.Since(since) > endBound {
			t.Errorf("entry %s does not know of the end of job %s after %s", m.Name, id, time.Since(since))
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Until(since.Add(endBound)))
	before := len(e.started())
	time.Sleep(300 * time.Millisecond)
	if after := len(e.started()); after > before {
		t.Errorf("%d items of job %s reached a server more than %s after its end", after-before, id, endBound)
	}
}

// manyItems returns the ids of more items than the servers finish within endBound.
func manyItems() []string {
	var ids []string
	for n := range 400 {
		ids = append(ids, fmt.Sprintf("g%d-20", n))
	}
	return ids
}

// slowEngine returns an engine that takes a quarter of a second for each item of manyItems.
func slowEngine(t *testing.T) *engine {
	t.Helper()
	e := newEngine(t, 1)
	e.gap = 12 * time.Millisecond
	return e
}

// Guards against an owner that runs all items of an ended job: the entry that acknowledged the end had no link to the
// owner, and stayed away after that.
func TestEndReachesOwnerWithoutLink(t *testing.T) {
	t.Parallel()
	e := slowEngine(t)
	r := newRig(t, e)
	owner, _ := r.manager("a", "a1")
	other, crash := r.manager("b", "b1")
	r.submit(owner, "j", payload(1, manyItems()...))
	await(t, "items start", func() bool { return len(e.started()) > 0 })
	r.cut("b", true)
	if reply := other.End(t.Context(), "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	acknowledged := time.Now()
	crash()
	awaitEnd(t, owner, "j", e, acknowledged)
}

// Guards against a former owner that runs on: the message of the entry that took its job over did not reach it, and it
// has no results to list, which would show it the records of the new owner.
func TestFormerOwnerWithoutLinkStops(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 1)
	e.gap = time.Hour
	r := newRig(t, e)
	former, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(former, "j", payload(1, "g-2"))
	r.cut("a", true)
	if reply := other.Results(t.Context(), "j", 0, 0); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	await(t, "the former owner drops the job", func() bool { return former.local("j") == nil })
	if j := other.local("j"); j == nil || j.hasEnded() {
		t.Error("the new owner does not run the job")
	}
}
