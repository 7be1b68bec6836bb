package batch

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/job"
	"bulrushspoke/internal/store"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/wire"
)

// recordStore lets tests delay or fail the creation of a record after the store has applied it.
type recordStore struct {
	Store
	created func(name string) error
}

// Create implements Store.
func (s recordStore) Create(ctx context.Context, kind, name string, spec []byte) (int64, error) {
	revision, err := s.Store.Create(ctx, kind, name, spec)
	if err == nil && kind == KindRecords+"j" {
		err = s.created(name)
	}
	return revision, err
}

// listStore calls listed after each list call.
// List implements Store.
// blockItem returns an engine that does not answer the given item until release is called.
func blockItem(t *testing.T, item string) (e *engine, release func()) {
	t.Helper()
	released := make(chan struct{})
	e = newEngine(t, 1)
	e.hijack = func(_ http.ResponseWriter, id string, _ int) bool {
		if id == item {
			<-released
		}
		return false
	}
	return e, func() { close(released) }
}

func listedItems(results []job.Result) []string {
	l := []string{}
	for _, r := range results {
		l = append(l, r.Item)
	}
	return l
}

// storedItems returns the items of the records of job j in the store, and fails the test if a record is missing.
func (r *rig) storedItems() []string {
	r.t.Helper()
	l := []string{}
	for n, name := range r.store.Names(KindRecords + "j") {
		if name != recordName(n) {
			r.t.Errorf("record %d of the log is %s", n, name)
		}
		var rec wire.JobRecord
		if err := json.Unmarshal(r.store.Spec(KindRecords+"j", name), &rec); err != nil {
			r.t.Fatal(err)
		}
		for _, w := range rec.Results {
			l = append(l, w.Item)
		}
	}
	return l
}

// putRecord writes a record of job j with completed items to the store.
func (r *rig) putRecord(n int, rec wire.JobRecord, items ...string) {
	r.t.Helper()
	for _, id := range items {
		rec.Results = append(rec.Results, wire.JobResult{Item: id, Text: text(id), Versions: []int{1}})
	}
	value, err := json.Marshal(rec)
	if err != nil {
		r.t.Fatal(err)
	}
	r.store.Put(KindRecords+"j", recordName(n), value)
}

// Guards against a record that is applied twice: by the write that created it, and by a read of the log for a client while
// that write has no answer.
func TestRecordReadDuringItsWriteIsAppliedOnce(t *testing.T) {
	for name, ambiguous := range map[string]bool{"answer late": false, "answer lost": true} {
		t.Run(name, func(t *testing.T) {
			e, release := blockItem(t, "h-2")
			r := newRig(t, e)
			m, crash := r.manager("a", "a1")
			other, _ := r.manager("b", "b1")
			written, answer := make(chan struct{}), make(chan struct{})
			m.Store = recordStore{Store: m.Store, created: func(name string) error {
				if name != recordName(0) {
					return nil
				}
				close(written)
				<-answer
				if ambiguous {
					return store.NewUnavailableError(true, "no answer")
				}
				return nil
			}}
			r.submit(m, "j", payload(1, "g-1", "h-2"))
			<-written
			if reply := m.Results(t.Context(), nobody, "j", 1, 0); reply.Status != http.StatusOK {
				t.Fatalf("read ahead: %d %s", reply.Status, reply.Cause)
			}
			close(answer)
			release()
			results := r.collect(m, "j", 2)
			checkTexts(t, results, "g-1", "h-2")
			if d := cmp.Diff([]string{"g-1", "h-2"}, r.storedItems()); d != "" {
				t.Errorf("items in the log (-want +got):\n%s", d)
			}
			crash()
			r.cut("a", true)
			if d := cmp.Diff(results, r.collect(other, "j", 2)); d != "" {
				t.Errorf("results after a crash of the owner (-before +after):\n%s", d)
			}
		})
	}
}

// Guards against a record that an entry shows twice after the end of its job: the read of the log and the answer to the
// write both brought it.
func TestRecordReadAfterEndIsAppliedOnce(t *testing.T) {
	e, release := blockItem(t, "h-2")
	defer release()
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	written, answer, applied := make(chan struct{}), make(chan struct{}), make(chan struct{})
	m.Store = recordStore{Store: m.Store, created: func(string) error {
		close(written)
		<-answer
		time.AfterFunc(100*time.Millisecond, func() { close(applied) })
		return nil
	}}
	r.submit(m, "j", payload(1, "g-1", "h-2"))
	<-written
	if reply := m.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	r.collect(m, "j", 1)
	close(answer)
	<-applied
	if d := cmp.Diff([]string{"g-1"}, listedItems(m.local("j").results)); d != "" {
		t.Errorf("results of the ended job (-want +got):\n%s", d)
	}
}

// Guards against an item that is listed again by a writer that chose its results before another record listed them.
func TestWriterSkipsItemsListedMeanwhile(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	spec := job.Job{ID: "j", Model: "m", Items: []job.Item{{ID: "g-1", Group: "g"}, {ID: "h-2", Group: "h"}}}
	j := newJob(m, spec, wire.JobState{Epoch: 1, Total: 2}, nil, time.Now())
	j.queueResult(j.items["g-1"], "", time.Now())
	j.queueResult(j.items["h-2"], "", time.Now())
	l := &lister{job: j}
	n, record := j.nextRecord()
	r.putRecord(0, wire.JobRecord{Writer: "b1"}, "g-1")
	if !m.ensureCurrent(t.Context(), j, 1, time.Now()) {
		t.Fatal("the log cannot be read")
	}
	l.write(t.Context(), n, record)
	for n, record = j.nextRecord(); len(record.Results) > 0; n, record = j.nextRecord() {
		l.write(t.Context(), n, record)
	}
	if d := cmp.Diff([]string{"g-1", "h-2"}, r.storedItems()); d != "" {
		t.Errorf("items in the log (-want +got):\n%s", d)
	}
}

// Guards against an item that is given up and listed a second time although a record written late has listed it while
// its attempt was in flight.
func TestListedItemIsNotGivenUp(t *testing.T) {
	for name, status := range map[string]int{
		"rejected": http.StatusUnprocessableEntity, "failing": http.StatusInternalServerError,
	} {
		t.Run(name, func(t *testing.T) {
			e, release := blockItem(t, "g-1")
			e.answer = func(id string, _ int) int {
				if id == "g-1" {
					return status
				}
				return 0
			}
			r := newRig(t, e)
			r.route.MaxAttempts = 1
			m, _ := r.manager("a", "a1")
			r.submit(m, "j", payload(1, "g-1", "h-2"))
			r.collect(m, "j", 1)
			j := m.local("j")
			await(t, "the item runs", func() bool { _, running := received(j, "g-1"); return running })
			r.putRecord(1, wire.JobRecord{Writer: "a1", First: 1}, "g-1")
			if reply := m.Results(t.Context(), nobody, "j", 2, 0); reply.Status != http.StatusOK {
				t.Fatalf("read ahead: %d %s", reply.Status, reply.Cause)
			}
			release()
			await(t, "the attempt ends", func() bool { _, running := received(j, "g-1"); return !running })
			time.Sleep(4 * gatherDelay)
			if d := cmp.Diff([]string{"h-2", "g-1"}, r.storedItems()); d != "" {
				t.Errorf("items in the log (-want +got):\n%s", d)
			}
		})
	}
}

// Guards against an item that is given up with its route although a record has listed it since it was found pending.
func TestListedItemIsNotGivenUpWithItsRoute(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	spec := job.Job{ID: "j", Model: "m", Items: []job.Item{{ID: "g-1", Group: "g"}}}
	j := newJob(m, spec, wire.JobState{Epoch: 1, Total: 1}, nil, time.Now())
	pending := j.pending()
	r.putRecord(0, wire.JobRecord{Writer: "a1"}, "g-1")
	if !m.ensureCurrent(t.Context(), j, 1, time.Now()) {
		t.Fatal("the log cannot be read")
	}
	j.giveUp(pending, causeNoRoute, time.Now())
	if _, record := j.nextRecord(); len(record.Results) > 0 {
		t.Errorf("the listed item is to be listed again: %v", record.Results)
	}
}

// putJob writes the state and the payload of job j, whose owner is gone, to the store.
func (r *rig) putJob(m *Manager, ended bool, ids ...string) {
	r.t.Helper()
	state := wire.JobState{
		Owner: "gone", Inc: "gone1", Epoch: 1, Host: "h", Path: "/p/", Total: len(ids), At: time.Now().UnixMilli(),
		Model: "m", Ended: ended,
	}
	if _, err := m.putPayload(r.t.Context(), "j", payload(1, ids...)); err != nil {
		r.t.Fatal(err)
	}
	if _, err := m.createState(r.t.Context(), "j", state); err != nil {
		r.t.Fatal(err)
	}
}

// Guards against a job that no entry can load, or whose positions change, because an owner of an earlier version applied
// a record twice and skipped the number of the next one.
func TestLogWithSkippedRecordKeepsItsPositions(t *testing.T) {
	for name, ended := range map[string]bool{"open": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, newEngine(t, 1))
			m, crash := r.manager("a", "a1")
			r.putJob(m, ended, "g-1", "h-2", "i-3")
			r.putRecord(0, wire.JobRecord{Writer: "gone1"}, "g-1")
			r.putRecord(2, wire.JobRecord{Writer: "gone1", First: 2}, "h-2")
			want := []string{"g-1", "g-1", "h-2"}
			if !ended {
				want = append(want, "i-3")
			}
			if d := cmp.Diff(want, listedItems(r.collect(m, "j", len(want)))); d != "" {
				t.Errorf("results (-want +got):\n%s", d)
			}
			crash()
			r.cut("a", true)
			other, _ := r.manager("b", "b1")
			if d := cmp.Diff(want, listedItems(r.collect(other, "j", len(want)))); d != "" {
				t.Errorf("results at the next entry (-want +got):\n%s", d)
			}
			if d := cmp.Diff(want, r.storedItems()); d != "" {
				t.Errorf("items in the log (-want +got):\n%s", d)
			}
		})
	}
}

// Guards against positions that move because a log of an earlier version lists an item in two records, and against a client
// that is not told to wait for the results beyond the repeated one.
func TestLogWithRepeatedItemKeepsItsPositions(t *testing.T) {
	e, release := blockItem(t, "i-3")
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	r.putJob(m, false, "g-1", "h-2", "i-3")
	r.putRecord(0, wire.JobRecord{Writer: "gone1"}, "g-1")
	r.putRecord(1, wire.JobRecord{Writer: "gone2", First: 2}, "g-1", "h-2")
	want := []string{"g-1", "g-1", "h-2"}
	if d := cmp.Diff(want, listedItems(r.collect(m, "j", len(want)))); d != "" {
		t.Errorf("results (-want +got):\n%s", d)
	}
	time.AfterFunc(100*time.Millisecond, release)
	reply := m.Results(t.Context(), nobody, "j", len(want), 5*time.Second)
	page, err := platformtest.DecodePage(reply.Body)
	if err != nil || len(page.Results) != 1 || page.Results[0].Item != "i-3" {
		t.Errorf("the read of the last result returns %+v, %v", page, err)
	}
	if got := r.faults.kinds[faultRepeated]; got != 1 {
		t.Errorf("%d repeated items are reported, want 1", got)
	}
}

// Guards against an owner that drops its job, whose items nobody runs then, because a write of a former owner arrives late.
func TestOwnerKeepsItsJobAfterLateRecord(t *testing.T) {
	e, release := blockItem(t, "g-2")
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	r.putJob(m, false, "g-1", "g-2")
	if reply := m.Results(t.Context(), nobody, "j", 0, 0); reply.Status != http.StatusOK {
		t.Fatalf("takeover: %d %s", reply.Status, reply.Cause)
	}
	j := m.local("j")
	await(t, "one item is done", func() bool { return itemDone(j, "g-1") })
	r.putRecord(0, wire.JobRecord{Writer: "gone1", Epoch: 1}, "g-1")
	release()
	await(t, "the owner lists the rest", func() bool { return len(r.store.Names(KindRecords+"j")) > 1 })
	if m.local("j") != j {
		t.Error("the owner has dropped the job")
	}
	if d := cmp.Diff([]string{"g-1", "g-2"}, r.storedItems()); d != "" {
		t.Errorf("items in the log (-want +got):\n%s", d)
	}
}

// Guards against a former owner that goes on with its job after a later owner has written to the log.
func TestFormerOwnerStopsAtLaterRecord(t *testing.T) {
	for name, later := range map[string]wire.JobRecord{
		"other process": {Writer: "b1", Epoch: 2}, "same process": {Writer: "a1", Epoch: 2}, "earlier version": {Writer: "b1"},
	} {
		t.Run(name, func(t *testing.T) {
			e, release := blockItem(t, "h-2")
			defer release()
			r := newRig(t, e)
			m, _ := r.manager("a", "a1")
			r.submit(m, "j", payload(1, "g-1", "h-2"))
			r.collect(m, "j", 1)
			j := m.local("j")
			later.First = 1
			r.putRecord(1, later, "h-2")
			if reply := m.Results(t.Context(), nobody, "j", 2, 0); reply.Status != http.StatusOK {
				t.Fatalf("read ahead: %d %s", reply.Status, reply.Cause)
			}
			if m.local("j") == j {
				t.Error("the former owner keeps the job")
			}
		})
	}
}

// Guards against a job that nobody runs after a handover: the entry that was to adopt it still held it as a former owner.
// Guards against a job that stays at the epoch of a delegation that arrives late, while a takeover of this entry loads it.
