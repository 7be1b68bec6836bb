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

	"bulrushspoke/standin/objects"
	"bulrushspoke/wire"
)

// Guards against lost, doubled or joined results on a calm day, and against a body that is not the item's.
func TestCalm(t *testing.T) {
	r := newRig(t, newEngine(t, 3), newEngine(t, 3))
	m, _ := r.manager("a", "a1")
	var ids []string
	for g := range 4 {
		for i := range 4 {
			ids = append(ids, fmt.Sprintf("g%d-%d", g, g*4+i+1))
		}
	}
	body := payload(2, ids...)
	r.submit(m, "j", body)
	r.submit(m, "j", body) // the client has lost the answer
	results := r.collect(m, "j", len(ids))
	check(t, results, ids...)
	for _, res := range results {
		if d := cmp.Diff([]int{3}, res.Versions); d != "" {
			t.Errorf("versions of %s (-want +got):\n%s", res.ID, d)
		}
	}
	if reply := m.Body(t.Context(), "j", "g1-5"); string(reply.Body) != "body of g1-5" {
		t.Errorf("body is %d %q", reply.Status, reply.Body)
	}
	if reply := m.Body(t.Context(), "j", "g9-1"); reply.Status != http.StatusNotFound {
		t.Errorf("the body of an unknown item: %d", reply.Status)
	}
	if reply := m.Results(t.Context(), "other", 0, 0); reply.Status != http.StatusNotFound {
		t.Errorf("an unknown job: %d", reply.Status)
	}
	if n := len(r.store.Names(kindRecords + "j")); n > len(ids)/2 {
		t.Errorf("%d records for %d results", n, len(ids))
	}
}

// Guards against texts in which events are missing or stand twice after runs broke off, and against an item that never
// ends because its last event came just before the break.
func TestResumes(t *testing.T) {
	a, b := newEngine(t, 1), newEngine(t, 1)
	for _, e := range []*engine{a, b} {
		e.cut = func(id string, run int) int {
			if run > 2 {
				return 0
			}
			return min(3*run, length(id))
		}
	}
	r := newRig(t, a, b)
	m, _ := r.manager("a", "a1")
	ids := []string{"g-1", "g-5", "g-9", "h-12"}
	r.submit(m, "j", payload(1, ids...))
	check(t, r.collect(m, "j", len(ids)), ids...)
	resumed := false
	for _, s := range append(a.started(), b.started()...) {
		resumed = resumed || !strings.HasSuffix(s, "@1")
	}
	if !resumed {
		t.Error("no run went on where the one before it broke off")
	}
}

// Guards against an item that is given up too early or never: refusals do not count, three failures do, 422 is final.
func TestFailures(t *testing.T) {
	e := newEngine(t, 1)
	e.answer = func(id string, run int) int {
		switch {
		case strings.HasPrefix(id, "bad"):
			return http.StatusUnprocessableEntity
		case strings.HasPrefix(id, "fails"):
			return http.StatusInternalServerError
		case strings.HasPrefix(id, "late") && run <= 2:
			return http.StatusInternalServerError
		case strings.HasPrefix(id, "full") && run <= 4:
			return http.StatusServiceUnavailable
		}
		return 0
	}
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "bad-1", "fails-1", "late-2", "full-3"))
	got := make(map[string]string)
	for _, res := range r.collect(m, "j", 4) {
		got[res.ID] = res.State
	}
	want := map[string]string{"bad-1": "terminated", "fails-1": "terminated", "late-2": "completed", "full-3": "completed"}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("states (-want +got):\n%s", d)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs["bad-1"] != 1 || e.runs["fails-1"] != 3 {
		t.Errorf("runs: %v", e.runs)
	}
}

// Guards against samples of weights that are too old, and against results that do not name the versions they come from.
func TestVersions(t *testing.T) {
	stale, fresh := newEngine(t, 1), newEngine(t, 2)
	fresh.gap = 20 * time.Millisecond
	r := newRig(t, stale, fresh)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(2, "g-40"))
	time.Sleep(200 * time.Millisecond)
	fresh.set(func(e *engine) { e.version = 3 })
	results := r.collect(m, "j", 1)
	check(t, results, "g-40")
	if d := cmp.Diff([]int{2, 3}, results[0].Versions); d != "" {
		t.Errorf("versions (-want +got):\n%s", d)
	}
	if got := stale.started(); len(got) > 0 {
		t.Errorf("items ran on old weights: %v", got)
	}
}

// Guards against a text of two versions on a route that allows one.
func TestSingleVersion(t *testing.T) {
	e := newEngine(t, 2)
	e.gap = 20 * time.Millisecond
	r := newRig(t, e)
	r.route.SingleVersion = true
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(2, "g-30"))
	time.Sleep(200 * time.Millisecond)
	e.set(func(e *engine) { e.version = 3 })
	results := r.collect(m, "j", 1)
	check(t, results, "g-30")
	if d := cmp.Diff([]int{3}, results[0].Versions); d != "" {
		t.Errorf("versions (-want +got):\n%s", d)
	}
}

// Guards against work for a job that has ended, and against listed results that vanish.
func TestEnd(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 10 * time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(m, "j", payload(1, "g-1", "h-2000"))
	before := r.collect(m, "j", 1)
	for range 2 {
		if reply := other.End(t.Context(), "j"); reply.Status != http.StatusOK {
			t.Fatalf("end: %d %s", reply.Status, reply.Cause)
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for running := 1; running > 0; {
		if time.Now().After(deadline) {
			t.Fatal("an item of the ended job still runs")
		}
		time.Sleep(5 * time.Millisecond)
		e.set(func(e *engine) { running = e.running })
	}
	for _, reader := range []*Manager{m, other} {
		if d := cmp.Diff(before, r.collect(reader, "j", 1)[:1]); d != "" {
			t.Errorf("results after the end (-want +got):\n%s", d)
		}
	}
	if reply := m.End(t.Context(), "unknown"); reply.Status != http.StatusNotFound {
		t.Errorf("the end of an unknown job: %d", reply.Status)
	}
}

// Guards against a refusal of a job that runs, and against an acceptance that does not last: what is answered to a
// submission must be true whatever the store does.
func TestSubmitInOutage(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  objects.Fault
		status int
	}{
		{"refuses", objects.Fault{Refuse: true}, http.StatusServiceUnavailable},
		{"silent", objects.Fault{Silent: true}, http.StatusServiceUnavailable},
		{"loses one answer", objects.Fault{Lose: 1}, http.StatusAccepted},
		{"loses both answers", objects.Fault{Lose: 2}, http.StatusAccepted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, newEngine(t, 1))
			m, _ := r.manager("a", "a1")
			r.store.Fault(tc.fault)
			reply := m.Submit(t.Context(), &r.route, "j", payload(1, "g-2"), time.Now())
			if reply.Status != tc.status {
				t.Fatalf("answered %d %s, want %d", reply.Status, reply.Cause, tc.status)
			}
			r.store.Fault(objects.Fault{})
			switch reply.Status {
			case http.StatusAccepted:
				check(t, r.collect(m, "j", 1), "g-2")
			case http.StatusServiceUnavailable:
				if reply.Retry <= 0 {
					t.Error("the refusal does not say when to come back")
				}
				if got := r.store.Names(kindState); got != nil {
					t.Errorf("a refused job stands in the store: %v", got)
				}
			}
		})
	}
}

// Plays a trainer with three tries against outages of each usual length that begin just before its first one: it waits as
// told and must get through by the third. The baseline is a fixed time to come back of two seconds.
func TestRetryAfterOutlastsOutage(t *testing.T) {
	const deadline, tries = 12 * time.Second, 3
	through := func(outage time.Duration, retry func(age time.Duration) time.Duration) bool {
		at := time.Duration(0)
		for range tries {
			if at >= outage {
				return true
			}
			at += min(retry(at), (deadline-at)/3)
		}
		return false
	}
	baseline, got := 0, 0
	const shortest, longest = 3, 9 // seconds
	for s := shortest; s <= longest; s++ {
		if through(time.Duration(s)*time.Second, func(time.Duration) time.Duration { return 2 * time.Second }) {
			baseline++
		}
		if through(time.Duration(s)*time.Second, retryAfter) {
			got++
		}
	}
	t.Logf("%d of %d outages are outlasted, %d by the baseline", got, longest-shortest+1, baseline)
	if got <= baseline {
		t.Errorf("%d outages are outlasted, %d by the baseline", got, baseline)
	}
}

// Guards against a promise that nothing runs while the state object may still be written.
func TestSubmitLateWrite(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	body := payload(1, "g-2")
	if err := m.putPayload(t.Context(), "j", body); err != nil {
		t.Fatal(err)
	}
	r.store.Fault(objects.Fault{Late: 1})
	reply := m.Submit(t.Context(), &r.route, "j", body, time.Now())
	if reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests {
		t.Errorf("answered %d although the write is still to come", reply.Status)
	}
	r.store.Fault(objects.Fault{})
	r.submit(m, "j", body)
	check(t, r.collect(m, "j", 1), "g-2")
}

// Guards against results that change or stand twice after their write got no answer, late writes included.
func TestListingWithLostAnswers(t *testing.T) {
	for name, f := range map[string]objects.Fault{
		"lost": {Lose: 3}, "late": {Late: 2}, "both": {Lose: 1, Late: 1}, "silent": {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, 1)
			e.gap = 5 * time.Millisecond
			r := newRig(t, e)
			m, _ := r.manager("a", "a1")
			ids := []string{"g-1", "h-30", "i-60", "k-90"}
			r.submit(m, "j", payload(1, ids...))
			r.store.Fault(f)
			time.AfterFunc(700*time.Millisecond, func() { r.store.Fault(objects.Fault{}) })
			results := r.collect(m, "j", len(ids))
			check(t, results, ids...)
			other, _ := r.manager("b", "b1")
			if d := cmp.Diff(results, r.collect(other, "j", len(ids))); d != "" {
				t.Errorf("another entry shows other results (-owner +other):\n%s", d)
			}
		})
	}
}

// Guards against a job that stands still after its owner died or was restarted, and against results of two owners that
// contradict each other.
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
			check(t, results, ids...)
			if d := cmp.Diff(first, results[:1]); d != "" {
				t.Errorf("the first position changed (-before +after):\n%s", d)
			}
		})
	}
}

// Guards against two owners that both believe to own a job: the former one is cut off from its peers and goes on.
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
	check(t, results, ids...)
	if d := cmp.Diff(results, r.collect(m, "j", len(ids))); d != "" {
		t.Errorf("the two owners show different results (-new +former):\n%s", d)
	}
	var first []string
	for _, name := range r.store.Names(kindRecords + "j") {
		var rec wire.JobRecord
		if err := json.Unmarshal(r.store.Spec(kindRecords+"j", name), &rec); err != nil {
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

// Guards against texts that are made again although their owner stopped in good order.
func TestHandover(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 10 * time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(m, "j", payload(1, "g-100"))
	time.Sleep(300 * time.Millisecond)
	m.Handover(t.Context())
	check(t, r.collect(other, "j", 1), "g-100")
	starts := e.started()
	if len(starts) != 2 || strings.HasSuffix(starts[1], "@1") {
		t.Errorf("runs began at %v, want the second one to go on with the first", starts)
	}
	if reply := m.Results(t.Context(), "j", 0, 0); reply.Status != http.StatusOK {
		t.Errorf("the former owner answers %d", reply.Status)
	}
}

// Guards against an item of a group that comes again in a later job and is made again, or taken although its versions do
// not fit.
func TestCarriedGroups(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 5 * time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j1", payload(1, "g-2", "g-500"))
	deadline := time.Now().Add(5 * time.Second)
	for !itemDone(m.local("j1"), "g-2") {
		if time.Now().After(deadline) {
			t.Fatal("the short item does not end")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if reply := m.End(t.Context(), "j1"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	r.submit(m, "j2", payload(1, "g-2", "g-500", "h-1"))
	check(t, r.collect(m, "j2", 3), "g-2", "g-500", "h-1")
	runs := 0
	for _, s := range e.started() {
		if s == "g-2@1" {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("the finished item was started %d times", runs)
	}
	e.set(func(e *engine) { e.version = 2 })
	m.Catalog.ApplyServer(r.entry(0, 99))
	r.submit(m, "j3", payload(2, "g-2"))
	res := r.collect(m, "j3", 1)
	if d := cmp.Diff([]int{2}, res[0].Versions); d != "" {
		t.Errorf("a text of old weights was used (-want +got):\n%s", d)
	}
}

// Guards against a payload that does not fit one object of the store.
func TestLargePayload(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	m.Value = 8 << 10
	var ids []string
	for i := range 200 {
		ids = append(ids, fmt.Sprintf("g%d-1", i))
	}
	body := payload(1, ids...)
	if len(body) <= m.Value {
		t.Fatalf("the payload has only %d bytes", len(body))
	}
	if err := m.putPayload(t.Context(), "j", body); err != nil {
		t.Fatal(err)
	}
	for _, name := range r.store.Names(kindPayload) {
		if n := len(r.store.Spec(kindPayload, name)); n > m.Value {
			t.Errorf("object %s has %d bytes, at most %d fit", name, n, m.Value)
		}
	}
	got, err := m.payload(t.Context(), "j")
	if err != nil || string(got) != string(body) {
		t.Errorf("read back %d bytes of %d, %v", len(got), len(body), err)
	}
}

// Guards against a former owner that goes on showing what it knew: it was cut off from the other entries, its items stand
// still, and it learns of the new owner when the link between them opens again.
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
	other.Joined("a")
	m.Joined("b")
	if d := cmp.Diff(results, r.collect(m, "j", 2)); d != "" {
		t.Errorf("the former owner shows other results (-owner +former):\n%s", d)
	}
}

// Guards against readers that disagree on a job that has ended while a record was on its way to the store.
func TestRecordLandsAfterEnd(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(m, "j", payload(1, "g-1", "h-1000000"))
	r.store.Fault(objects.Fault{Late: 1})
	deadline := time.Now().Add(5 * time.Second)
	for r.store.Calls("POST", kindRecords+"j") == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if reply := m.End(t.Context(), "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	r.cut("a", true) // the other entry reads the store itself
	for _, reader := range []*Manager{m, other} {
		if reply := reader.Results(t.Context(), "j", 0, 0); reply.Status != http.StatusOK {
			t.Fatal(reply)
		}
	}
	time.Sleep(300 * time.Millisecond)
	for name, reader := range map[string]*Manager{"former owner": m, "other entry": other} {
		var got []string
		for _, res := range r.collect(reader, "j", 1) {
			got = append(got, res.ID)
		}
		if d := cmp.Diff([]string{"g-1"}, got); d != "" {
			t.Errorf("the %s shows (-want +got):\n%s", name, d)
		}
	}
}

// Guards against a job that nobody runs because its receiver gave it to another entry: in good order, to one that is
// about to leave, to one that has died, and if the receiver dies before it could.
func TestDelegates(t *testing.T) {
	for _, name := range []string{"calm", "owner leaves", "owner dies", "receiver dies"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, newEngine(t, 1))
			r.mesh.delegates = true
			a, stopA := r.manager("a", "a1")
			b, stopB := r.manager("b", "b1")
			receiver, owner, stopReceiver, stopOwner := a, b, stopA, stopB
			if got, _ := a.owner("m", 1); got == "a" {
				receiver, owner, stopReceiver, stopOwner = b, a, stopB, stopA
			}
			if got, _ := receiver.owner("m", 1); got != owner.Name {
				t.Fatalf("%s gives the job to %s", receiver.Name, got)
			}
			reader := receiver
			switch name {
			case "owner leaves":
				owner.Handover(t.Context())
			case "owner dies":
				stopOwner()
			}
			if name == "receiver dies" {
				// It has written the job and got no further.
				s := wire.JobState{Owner: owner.Name, Inc: owner.Self.Inc, Epoch: 1, Host: "h", Path: "/p/", Total: 2,
					At: time.Now().UnixMilli()}
				if err := receiver.putPayload(t.Context(), "j", payload(1, "g-2", "h-9")); err != nil {
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
			check(t, r.collect(reader, "j", 2), "g-2", "h-9")
			// An owner that dies may have begun before.
			runs, want := owner.local("j") != nil, name != "owner leaves"
			if name != "owner dies" && runs != want {
				t.Errorf("the owner has the job: %t, want %t", runs, want)
			}
		})
	}
}

// Guards against long items that begin anew when all entries die at once: what their owner kept in the store goes on.
func TestTextsOutliveOwner(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 10 * time.Millisecond
	r := newRig(t, e)
	m, crash := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-300", "h-2"))
	deadline := time.Now().Add(10 * time.Second)
	for r.store.Spec(kindTexts, "j") == nil {
		if time.Now().After(deadline) {
			t.Fatal("the owner keeps no texts")
		}
		time.Sleep(10 * time.Millisecond)
	}
	crash()
	r.cut("a", true)
	other, _ := r.manager("b", "b1")
	check(t, r.collect(other, "j", 2), "g-300", "h-2")
	starts := e.started()
	if last := starts[len(starts)-1]; !strings.HasPrefix(last, "g-300@") || last == "g-300@1" {
		t.Errorf("runs began at %v, want the last one to go on with the long item", starts)
	}
}

// Guards against an entry that takes one job over again and again: several clients read it at once after its owner died,
// and the store is slow.
func TestTakesOverOnce(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, crash := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(m, "j", payload(1, "g-3"))
	crash()
	r.cut("a", true)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { other.Results(t.Context(), "j", 0, 10*time.Millisecond) })
	}
	wg.Wait()
	check(t, r.collect(other, "j", 1), "g-3")
	var s wire.JobState
	if err := json.Unmarshal(r.store.Spec(kindState, "j"), &s); err != nil {
		t.Fatal(err)
	}
	if s.Epoch != 2 {
		t.Errorf("the job has epoch %d after one takeover, want 2", s.Epoch)
	}
}

// Guards against a job that waits for the end of an entry that is about to leave: one submitted to it, one that it took
// over just before, and one that it is named the owner of.
func TestLeavingEntryRunsNothing(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	leaving, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.mesh.delegates = true
	leaving.Handover(t.Context())
	r.submit(leaving, "j1", payload(1, "g-2"))
	check(t, r.collect(other, "j1", 1), "g-2")
	if reply := leaving.take(t.Context(), "j1", nil, true); reply.Status != http.StatusServiceUnavailable {
		t.Errorf("the leaving entry takes a job over: %d", reply.Status)
	}
	s := wire.JobState{Owner: "a", Inc: "a1", Epoch: 1, Host: "h", Path: "/p/", Total: 1, At: time.Now().UnixMilli()}
	if err := other.putPayload(t.Context(), "j2", payload(1, "g-3")); err != nil {
		t.Fatal(err)
	}
	if _, err := other.createState(t.Context(), "j2", s); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	check(t, r.collect(other, "j2", 1), "g-3")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the job waited %s for an entry that does not run it", took)
	}
	alone := newRig(t, newEngine(t, 1))
	last, _ := alone.manager("a", "a1")
	last.Handover(t.Context())
	if reply := last.Submit(t.Context(), &alone.route, "j", payload(1, "g-1"), time.Now()); reply.Status != 503 || reply.Retry <= 0 {
		t.Errorf("a leaving entry without others answers %d", reply.Status)
	}
	if got := alone.store.Names(kindState); got != nil {
		t.Errorf("the refused job stands in the store: %v", got)
	}
}
