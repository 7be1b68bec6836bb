package batch

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"bulrushspoke/internal/store"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
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
		if reply := other.End(t.Context(), nobody, first); reply.Status != http.StatusOK {
			t.Fatal(reply)
		}
		await(t, "the attempt ends", func() bool { _, running := received(j, id); return !running })
		if events, _ := received(j, id); events > 0 {
			t.Errorf("%d events were added to the text of %s after its job had ended", events, id)
		}
		// An entry that was restarted does not know that the job has ended.
		restarted, _ := r.manager("c", fmt.Sprintf("c%d", n))
		if reply := restarted.End(t.Context(), nobody, first); reply.Status != http.StatusOK {
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
	if reply := other.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	acknowledged := time.Now()
	crash()
	awaitEnd(t, owner, "j", e, acknowledged)
}

// gatedStore delays the reads of objects of one kind until the gate opens.
type gatedStore struct {
	Store
	kind    string
	reached chan struct{} // receives a value for each read that waits
	gate    chan struct{} // closed to let the reads pass
}

func newGatedStore(s Store, kind string) *gatedStore {
	return &gatedStore{Store: s, kind: kind, reached: make(chan struct{}, 16), gate: make(chan struct{})}
}

// Get implements Store.
func (s *gatedStore) Get(ctx context.Context, kind, name string) (store.Record, error) {
	if kind == s.kind {
		s.reached <- struct{}{}
		select {
		case <-s.gate:
		case <-ctx.Done():
			return store.Record{}, store.NewUnavailableError(false, ctx.Err().Error())
		}
	}
	return s.Store.Get(ctx, kind, name)
}

// Guards against a new owner that runs all items of a job that was ended while it loaded the job, although it received
// the message of the end.
func TestEndDuringTakeover(t *testing.T) {
	t.Parallel()
	e := slowEngine(t)
	r := newRig(t, e)
	owner, crash := r.manager("a", "a1")
	next, _ := r.manager("c", "c1")
	other, _ := r.manager("d", "d1")
	gated := newGatedStore(next.Store, KindPayload)
	next.Store = gated
	r.submit(owner, "j", payload(1, manyItems()...))
	await(t, "items start", func() bool { return len(e.started()) > 0 })
	crash()
	r.cut("a", true)
	taken := make(chan int)
	go func() { taken <- next.Results(t.Context(), nobody, "j", 0, 0).Status }()
	<-gated.reached
	if reply := other.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	acknowledged := time.Now()
	close(gated.gate)
	if status := <-taken; status != http.StatusOK {
		t.Fatalf("the new owner replies with %d", status)
	}
	awaitEnd(t, next, "j", e, acknowledged)
}

// Guards against an ended job that is run because the message that passes it to its owner arrives after the end.
func TestEndBeforeDelegation(t *testing.T) {
	t.Parallel()
	e := slowEngine(t)
	r := newRig(t, e)
	owner, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	var ids []string
	for n := range 100 {
		ids = append(ids, fmt.Sprintf("g%d-500", n))
	}
	body := payload(1, ids...)
	s := wire.JobState{
		Owner: "a", Inc: "a1", Epoch: 1, Host: "h", Path: "/p/", Total: len(ids), At: time.Now().UnixMilli(), Model: "m",
	}
	if _, err := other.putPayload(t.Context(), "j", body); err != nil {
		t.Fatal(err)
	}
	if _, err := other.createState(t.Context(), "j", s); err != nil {
		t.Fatal(err)
	}
	if reply := other.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	if !owner.startDelegated(wire.JobStart{Job: "j", State: s, Payload: body}) {
		t.Fatal("the owner refuses the job")
	}
	// The delegation may arrive long after the end, so that the owner has to find out soon after it has started.
	await(t, "the owner learns of the end", owner.local("j").hasEnded)
	started := len(e.started())
	if most := 8; started > most {
		t.Errorf("%d items of an ended job reached a server, want at most one for each of its %d slots", started, most)
	}
}

// Guards against an owner that starts items after a pause, during which its job may have ended, before it has read the
// state of the job.
func TestNoItemStartsOnOutdatedState(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 1)
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	spec, err := platform.DecodeJob("j", payload(1, "g-1", "h-1"))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	s := wire.JobState{Host: "h", Path: "/p/", Total: 2, At: now.UnixMilli()}
	j := newJob(m, spec, s, nil, now.Add(-2*maxStateAge))
	if waiting := j.schedule(t.Context()); waiting != 2 {
		t.Errorf("%d items wait, want 2", waiting)
	}
	select {
	case <-j.stateWake:
	default:
		t.Error("no read of the state was requested")
	}
	time.Sleep(50 * time.Millisecond)
	if l := e.started(); len(l) > 0 {
		t.Errorf("items %q have started", l)
	}
	j.noteStateRead(time.Now())
	j.schedule(t.Context())
	await(t, "items start once the state has been read", func() bool { return len(e.started()) == 2 })
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
	if reply := other.Results(t.Context(), nobody, "j", 0, 0); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	await(t, "the former owner drops the job", func() bool { return former.local("j") == nil })
	if j := other.local("j"); j == nil || j.hasEnded() {
		t.Error("the new owner does not run the job")
	}
}

// Guards against mixed texts of two jobs that resume the same item from the cache at the same time: the first one may
// still run here when the second one is submitted.
func TestJobsDoNotShareCachedTexts(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	data := append(make([]string, 0, 8), "one", "two")
	m.texts.put("", wire.JobPart{Item: "g-9", Data: data, Versions: append(make([]int, 0, 8), 1)}, time.Now())
	spec, err := platform.DecodeJob("j", payload(1, "g-9"))
	if err != nil {
		t.Fatal(err)
	}
	jobs := []*Job{newJob(m, spec, wire.JobState{}, nil, time.Now()), newJob(m, spec, wire.JobState{}, nil, time.Now())}
	for n, j := range jobs {
		j.resume(nil, time.Now())
		if !j.appendEvent(j.items["g-9"], 2, fmt.Sprintf("three of job %d", n), 2+n) {
			t.Fatal("the text cannot be extended")
		}
	}
	for n, j := range jobs {
		it := j.items["g-9"]
		if want := fmt.Sprintf("three of job %d", n); it.data[2] != want {
			t.Errorf("job %d has the event %q, want %q", n, it.data[2], want)
		}
		if it.versions[1] != 2+n {
			t.Errorf("job %d has the versions %v", n, it.versions)
		}
	}
}
