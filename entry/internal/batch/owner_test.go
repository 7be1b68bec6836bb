package batch

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/platform/platformtest"
	"bulrushspoke/standin/objects"
	"bulrushspoke/wire"
)

// Guards against a job that stalls after its owner crashed or was restarted, and against contradictory results of two
// owners.
func TestTakeover(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted %t", restarted), func(t *testing.T) {
			e := newEngine(t, 1)
			e.gap = 5 * time.Millisecond
			r := newRig(t, e)
			m, crash := r.manager("a", "a1")
			other, _ := r.manager("b", "b1")
			ids := []string{"g-1", "h-50", "i-100"}
			r.submit(m, "j", payload(1, ids...))
			first := r.collect(other, "j", 1)
			crash()
			r.cut("a", true)
			if restarted {
				r.manager("a", "a2")
			}
			results := r.collect(other, "j", len(ids))
			checkTexts(t, results, ids...)
			if d := cmp.Diff(first, results[:1]); d != "" {
				t.Errorf("the first position changed (-before +after):\n%s", d)
			}
		})
	}
}

// Guards against contradictory results while two entries act as the owner: the former one is partitioned from its peers
// and continues.
func TestTwoOwners(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 5 * time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprintf("g%d-%d", i, 8*i+1))
	}
	r.submit(m, "j", payload(1, ids...))
	r.cut("a", true)
	results := r.collect(other, "j", len(ids))
	checkTexts(t, results, ids...)
	if d := cmp.Diff(results, r.collect(m, "j", len(ids))); d != "" {
		t.Errorf("results of the two owners differ (-new +former):\n%s", d)
	}
	var first []string
	for _, name := range r.store.Names(KindRecords + "j") {
		var rec wire.JobRecord
		if err := json.Unmarshal(r.store.Spec(KindRecords+"j", name), &rec); err != nil {
			t.Fatal(err)
		}
		for _, res := range rec.Results {
			first = append(first, res.Item)
		}
	}
	slices.Sort(first)
	if n := len(slices.Compact(first)); n != len(ids) {
		t.Errorf("%d different items are listed, want %d", n, len(ids))
	}
}

// Guards against generating texts again after a graceful shutdown of their owner.
func TestHandover(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 10 * time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(m, "j", payload(1, "g-100"))
	time.Sleep(300 * time.Millisecond)
	m.Handover(t.Context())
	checkTexts(t, r.collect(other, "j", 1), "g-100")
	starts := e.started()
	if len(starts) != 2 || strings.HasSuffix(starts[1], "@1") {
		t.Errorf("runs started at %v, want the second one to resume the first", starts)
	}
	if reply := m.Results(t.Context(), nobody, "j", 0, 0); reply.Status != http.StatusOK {
		t.Errorf("the former owner replies with %d", reply.Status)
	}
}

// Guards against a former owner that serves outdated results. It was partitioned from the other entries while its items
// stalled, and learns of the new owner when the entries connect again.
func TestFormerOwnerLearns(t *testing.T) {
	e := newEngine(t, 1)
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	e.set(func(e *engine) { e.gap = time.Hour })
	r.submit(m, "j", payload(1, "g-1", "h-3"))
	r.collect(m, "j", 0)
	deadline := time.Now().Add(5 * time.Second)
	for len(e.started()) < 2 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	e.set(func(e *engine) { e.gap = 0 })
	r.cut("a", true)
	m.Catalog.RemoveServer("i0", 1000, time.Now())
	results := r.collect(other, "j", 2)
	r.cut("a", false)
	other.PeerConnected("a")
	m.PeerConnected("b")
	if d := cmp.Diff(results, r.collect(m, "j", 2)); d != "" {
		t.Errorf("results of the former owner differ (-owner +former):\n%s", d)
	}
}

// Guards against entries that serve different results of an ended job, because a record was written to the store after
// the end.
func TestRecordLandsAfterEnd(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(m, "j", payload(1, "g-1", "h-1000000"))
	r.store.SetFault(objects.Fault{DelayedWrites: 1})
	deadline := time.Now().Add(5 * time.Second)
	for r.store.Calls("POST", KindRecords+"j") == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if reply := m.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	r.cut("a", true) // so that the other entry reads the store
	for _, reader := range []*Manager{m, other} {
		if reply := reader.Results(t.Context(), nobody, "j", 0, 0); reply.Status != http.StatusOK {
			t.Fatal(reply)
		}
	}
	time.Sleep(300 * time.Millisecond)
	for name, reader := range map[string]*Manager{"former owner": m, "other entry": other} {
		var got []string
		for _, res := range r.collect(reader, "j", 1) {
			got = append(got, res.Item)
		}
		if d := cmp.Diff([]string{"g-1"}, got); d != "" {
			t.Errorf("results of the %s (-want +got):\n%s", name, d)
		}
	}
}

// Guards against an entry that passes on fewer results of an ended job than its log holds, because a record was written to
// the store after the end and the owner does not read its log again.
func TestForwardedReadSeesRecordAfterEnd(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(m, "j", payload(1, "g-1", "h-1000000"))
	r.store.SetFault(objects.Fault{DelayedWrites: 1})
	deadline := time.Now().Add(5 * time.Second)
	for r.store.Calls("POST", KindRecords+"j") == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if reply := m.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	if reply := other.Results(t.Context(), nobody, "j", 0, 0); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	if got := r.collect(other, "j", 1); got[0].Item != "g-1" {
		t.Errorf("the first result is that of %s, want g-1", got[0].Item)
	}
}

// Guards against a delegated job that nobody runs: without faults, if the owner is shutting down, if it has crashed,
// and if the receiver crashes before it has delegated the job.
func TestDelegates(t *testing.T) {
	for _, name := range []string{"no fault", "owner leaves", "owner dies", "receiver dies"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, newEngine(t, 1))
			r.mesh.delegation = true
			a, stopA := r.manager("a", "a1")
			b, stopB := r.manager("b", "b1")
			receiver, owner, stopReceiver, stopOwner := a, b, stopA, stopB
			if a.preferredOwner("m", 2, time.Now()).name == "a" {
				receiver, owner, stopReceiver, stopOwner = b, a, stopB, stopA
			}
			if got := receiver.preferredOwner("m", 2, time.Now()).name; got != owner.Name {
				t.Fatalf("%s delegates the job to %s", receiver.Name, got)
			}
			reader := receiver
			switch name {
			case "owner leaves":
				owner.Handover(t.Context())
			case "owner dies":
				stopOwner()
			}
			if name == "receiver dies" {
				// It crashes after writing the job to the store.
				s := wire.JobState{
					Owner: owner.Name, Inc: owner.Self.Inc, Epoch: 1, Host: "h", Path: "/p/", Total: 2,
					At: time.Now().UnixMilli(),
				}
				if _, err := receiver.putPayload(t.Context(), "j", payload(1, "g-2", "h-9")); err != nil {
					t.Fatal(err)
				}
				if _, err := receiver.createState(t.Context(), "j", s); err != nil {
					t.Fatal(err)
				}
				stopReceiver()
				r.cut(receiver.Name, true)
				reader, _ = r.manager("c", "c1")
			} else {
				r.submit(receiver, "j", payload(1, "g-2", "h-9"))
			}
			if name == "owner dies" {
				r.cut(owner.Name, true)
			}
			checkTexts(t, r.collect(reader, "j", 2), "g-2", "h-9")
			// An owner that crashes may have started the job before.
			runs, want := owner.local("j") != nil, name != "owner leaves"
			if name != "owner dies" && runs != want {
				t.Errorf("job at the owner: %t, want %t", runs, want)
			}
		})
	}
}

// Guards against long items that start again when all entries crash at once: they resume from the checkpoint in the
// store.
func TestTextsOutliveOwner(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 10 * time.Millisecond
	r := newRig(t, e)
	m, crash := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-300", "h-2"))
	deadline := time.Now().Add(10 * time.Second)
	for r.store.Spec(KindTexts, "j") == nil {
		if time.Now().After(deadline) {
			t.Fatal("the owner writes no checkpoint")
		}
		time.Sleep(10 * time.Millisecond)
	}
	crash()
	r.cut("a", true)
	other, _ := r.manager("b", "b1")
	checkTexts(t, r.collect(other, "j", 2), "g-300", "h-2")
	starts := e.started()
	if last := starts[len(starts)-1]; !strings.HasPrefix(last, "g-300@") || last == "g-300@1" {
		t.Errorf("runs started at %v, want the last one to resume the long item", starts)
	}
}

// Guards against repeated takeovers of one job: several clients read it at once after its owner crashed, while the
// store is slow.
func TestTakesOverOnce(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, crash := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(m, "j", payload(1, "g-3"))
	crash()
	r.cut("a", true)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { other.Results(t.Context(), nobody, "j", 0, 10*time.Millisecond) })
	}
	wg.Wait()
	checkTexts(t, r.collect(other, "j", 1), "g-3")
	var s wire.JobState
	if err := json.Unmarshal(r.store.Spec(KindState, "j"), &s); err != nil {
		t.Fatal(err)
	}
	if s.Epoch != 2 {
		t.Errorf("the job has epoch %d after one takeover, want 2", s.Epoch)
	}
}

// Guards against a job that waits until an entry has shut down: one submitted to the entry, one taken over just before,
// and one whose state names the entry as the owner.
func TestLeavingEntryRunsNothing(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	leaving, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.mesh.delegation = true
	leaving.Handover(t.Context())
	r.submit(leaving, "j1", payload(1, "g-2"))
	checkTexts(t, r.collect(other, "j1", 1), "g-2")
	if reply := leaving.takeOver(t.Context(), "j1", nil, anyEpoch); reply.Status != http.StatusServiceUnavailable {
		t.Errorf("takeover by a leaving entry: got status %d, want 503", reply.Status)
	}
	s := wire.JobState{Owner: "a", Inc: "a1", Epoch: 1, Host: "h", Path: "/p/", Total: 1, At: time.Now().UnixMilli()}
	if _, err := other.putPayload(t.Context(), "j2", payload(1, "g-3")); err != nil {
		t.Fatal(err)
	}
	if _, err := other.createState(t.Context(), "j2", s); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	checkTexts(t, r.collect(other, "j2", 1), "g-3")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the job waited %s for the leaving entry", took)
	}
	alone := newRig(t, newEngine(t, 1))
	last, _ := alone.manager("a", "a1")
	last.Handover(t.Context())
	if reply := last.Submit(t.Context(), nobody, &alone.route, "j", payload(1, "g-1"), time.Now()); reply.Status != 503 || reply.RetryAfter <= 0 {
		t.Errorf("a leaving entry without peers replies with %d", reply.Status)
	}
	if got := alone.store.Names(KindState); got != nil {
		t.Errorf("the refused job is in the store: %v", got)
	}
}

// Guards against an entry that serves fewer results than a client has read: it was paused when the job was delegated to
// it, another entry took the job over and listed results, and the paused entry then resumes and starts the job.
func TestLateStartKnowsItsPlace(t *testing.T) {
	e := newEngine(t, 1)
	r := newRig(t, e)
	paused, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	body := payload(1, "g-1", "h-2", "i-900")
	state := wire.JobState{
		Owner: "a", Inc: "a1", Epoch: 1, Host: "h", Path: "/p/", Total: 3, At: time.Now().UnixMilli(), Model: "m",
	}
	if _, err := other.putPayload(t.Context(), "j", body); err != nil {
		t.Fatal(err)
	}
	if _, err := other.createState(t.Context(), "j", state); err != nil {
		t.Fatal(err)
	}
	e.set(func(e *engine) { e.gap = 5 * time.Millisecond })
	r.cut("a", true)
	read := r.collect(other, "j", 2)
	e.set(func(e *engine) { e.gap = time.Hour })
	if !paused.startDelegated(wire.JobStart{Job: "j", State: state, Payload: body}) {
		t.Fatal("the partitioned entry knows of the new owner")
	}
	if got := r.collect(paused, "j", 0); len(got) > 0 {
		t.Fatalf("the paused entry has %d results, want 0", len(got))
	}
	reply := paused.Results(t.Context(), nobody, "j", 2, 0)
	if reply.Status == http.StatusOK {
		page, err := platformtest.DecodePage(reply.Body)
		if err != nil || page.Next < 2 {
			t.Errorf("next position for a client that holds 2 results is %d, %v", page.Next, err)
		}
	}
	r.cut("a", false)
	if d := cmp.Diff(read, r.collect(paused, "j", 2)); d != "" {
		t.Errorf("results of the former owner differ (-read +former):\n%s", d)
	}
}

// Guards against moving a client back to an earlier position when it reads beyond the listed results.
func TestReadAhead(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = time.Hour
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(m, "j", payload(1, "g-5", "h-9"))
	for _, reader := range []*Manager{m, other} {
		reply := reader.Results(t.Context(), nobody, "j", 1, 0)
		page, err := platformtest.DecodePage(reply.Body)
		if err != nil || page.Next != 1 || len(page.Results) > 0 {
			t.Errorf("%s returns page %+v, %v", reader.Name, page, err)
		}
	}
	if m.local("j") == nil {
		t.Error("the owner has dropped the job")
	}
	r.store.SetFault(objects.Fault{Unavailable: true})
	time.Sleep(logCheckInterval)
	if reply := m.Results(t.Context(), nobody, "j", 2, 0); reply.Status != http.StatusServiceUnavailable {
		t.Errorf("owner that cannot read the log: got status %d, want 503", reply.Status)
	}
	if reply := other.Results(t.Context(), nobody, "j", 2, 0); reply.Status != http.StatusServiceUnavailable {
		t.Errorf("entry whose owner cannot read the log: got status %d, want 503", reply.Status)
	}
}
