package batch

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/job"
	"bulrushspoke/internal/store"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/wire"
)

// state returns the state of job j in the store.
func (r *rig) state() wire.JobState {
	r.t.Helper()
	var s wire.JobState
	if err := json.Unmarshal(r.store.Spec(KindState, "j"), &s); err != nil {
		r.t.Fatal(err)
	}
	return s
}

// takeOverSilently has a manager take job j over while it is cut off from the given one.
func (r *rig) takeOverSilently(m *Manager, from string) {
	r.t.Helper()
	r.cut(from, true)
	if reply := m.takeOver(r.t.Context(), "j", nil, anyEpoch); reply.Status != 0 {
		r.t.Fatalf("takeover by %s: %d %s", m.Name, reply.Status, reply.Cause)
	}
	r.cut(from, false)
}

// Guards against a job that nobody runs after a handover: the adopting entry held an outdated former self of the job.
func TestAdoptReplacesFormerSelf(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = time.Hour
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(m, "j", payload(1, "g-2"))
	r.takeOverSilently(other, "a")
	other.Handover(t.Context())
	if s := r.state(); s.Owner != "a" || s.Epoch != 3 {
		t.Errorf("the job has owner %s at epoch %d, want a at 3", s.Owner, s.Epoch)
	}
	if j := m.local("j"); j == nil || j.epoch != 3 {
		t.Error("the adopting entry does not run the job")
	}
}

// Guards against a job that nobody runs because a delegated start of its first epoch arrives while a later owner loads it.
func TestLateStartDuringLoad(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = time.Hour
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	body := payload(1, "g-2")
	state := wire.JobState{Owner: "a", Inc: "a1", Epoch: 1, Host: "h", Path: "/p/", Total: 1, At: time.Now().UnixMilli(), Model: "m"}
	if _, err := m.putPayload(t.Context(), "j", body); err != nil {
		t.Fatal(err)
	}
	if _, err := m.createState(t.Context(), "j", state); err != nil {
		t.Fatal(err)
	}
	r.takeOverSilently(other, "a")
	gated := newGatedStore(m.Store, KindTexts)
	m.Store = gated
	taken := make(chan int)
	go func() { taken <- m.takeOver(t.Context(), "j", nil, anyEpoch).Status }()
	<-gated.reached
	m.startDelegated(wire.JobStart{Job: "j", State: state, Payload: body})
	close(gated.gate)
	if status := <-taken; status != 0 {
		t.Fatalf("takeover: %d", status)
	}
	if j := m.local("j"); j == nil || j.epoch != 3 {
		t.Error("the owner does not run the job at epoch 3")
	}
}

// Guards against a client that waits in vain for results that another read has brought.
func TestReadAheadWakesWaitingReader(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = time.Hour
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-2", "h-3"))
	r.putRecord(0, wire.JobRecord{Writer: "a1", Epoch: 1}, "g-2")
	time.AfterFunc(100*time.Millisecond, func() { m.Results(t.Context(), nobody, "j", 1, 0) })
	began := time.Now()
	reply := m.Results(t.Context(), nobody, "j", 0, 5*time.Second)
	if p, err := platformtest.DecodePage(reply.Body); err != nil || len(p.Results) != 1 {
		t.Errorf("the waiting client gets %+v, %v", p, err)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the waiting client gets its results after %s", took)
	}
}

// Guards against a complete group that is not listed because a late record, read for a client, listed its last open item.
func TestReadAheadWakesLister(t *testing.T) {
	e := newEngine(t, 1)
	e.hijack = func(_ http.ResponseWriter, id string, _ int) bool {
		if id != "g-1" {
			<-t.Context().Done()
		}
		return false
	}
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-1", "g-2", "h-3"))
	await(t, "one item is done", func() bool { return itemDone(m.local("j"), "g-1") })
	r.putRecord(0, wire.JobRecord{Writer: "a1", Epoch: 1}, "g-2")
	if reply := m.Results(t.Context(), nobody, "j", 1, 0); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	began := time.Now()
	await(t, "the group is listed", func() bool { return slices.Equal(r.storedItems(), []string{"g-2", "g-1"}) })
	if took := time.Since(began); took > time.Second {
		t.Errorf("the complete group is listed after %s", took)
	}
}

// Guards against an entry that takes a job from an owner that runs it, because a former owner does not.
func TestOutdatedOwnerDoesNotForceTakeover(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = time.Hour
	r := newRig(t, e)
	former, _ := r.manager("a", "a1")
	owner, _ := r.manager("b", "b1")
	reader, _ := r.manager("c", "c1")
	r.submit(former, "j", payload(1, "g-2"))
	r.collect(reader, "j", 0)
	reader.Results(t.Context(), nobody, "j", 0, 0)
	r.takeOverSilently(owner, "c")
	if former.local("j") != nil {
		t.Fatal("the former owner does not know of the new one")
	}
	if reply := reader.Results(t.Context(), nobody, "j", 0, 0); reply.Status != http.StatusOK {
		t.Errorf("read: %d %s", reply.Status, reply.Cause)
	}
	if s := r.state(); s.Owner != "b" || s.Epoch != 2 {
		t.Errorf("the job has owner %s at epoch %d, want b at 2", s.Owner, s.Epoch)
	}
}

// Guards against positions that differ between entries: a skipped record of an ended job was restored in memory only, and
// a late write took its place in the store.
func TestLateRecordDoesNotReplaceRestoredOne(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.putJob(m, true, "g-1", "h-2", "i-3")
	r.putRecord(0, wire.JobRecord{Writer: "gone1"}, "g-1")
	r.putRecord(2, wire.JobRecord{Writer: "gone1", First: 2}, "h-2")
	read := r.collect(m, "j", 3)
	late := wire.JobRecord{Writer: "gone2", Epoch: 2, First: 1, Results: []wire.JobResult{{Item: "i-3", Text: text("i-3"), Versions: []int{1}}}}
	value, err := json.Marshal(late)
	if err != nil {
		t.Fatal(err)
	}
	var conflict *store.ConflictError
	if _, err := m.Store.Create(t.Context(), KindRecords+"j", recordName(1), value); err != nil && !errors.As(err, &conflict) {
		t.Fatal(err)
	}
	if d := cmp.Diff(read, r.collect(other, "j", 3)); d != "" {
		t.Errorf("results at the next entry (-first +next):\n%s", d)
	}
}

// Guards against texts that a later owner has checkpointed and a former owner, which does not know of it, replaces by fewer.
func TestFormerOwnerKeepsLaterCheckpoint(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	spec := job.Job{ID: "j", Model: "m", Items: []job.Item{{ID: "g-9", Group: "g"}}}
	part := func(n int) []wire.JobPart {
		return []wire.JobPart{{Item: "g-9", Data: slices.Repeat([]string{"x"}, n), Versions: []int{1}}}
	}
	keeper := func(epoch int) *checkpointer {
		return &checkpointer{job: newJob(m, spec, wire.JobState{Epoch: epoch, Total: 1}, nil, time.Now())}
	}
	former, later := keeper(1), keeper(2)
	for _, write := range []struct {
		keeper *checkpointer
		events int
	}{{former, 1}, {later, 4}, {later, 5}, {former, 2}, {former, 3}} {
		var conflict *store.ConflictError
		if err := write.keeper.write(t.Context(), part(write.events)); err != nil && !errors.As(err, &conflict) {
			t.Fatal(err)
		}
	}
	if parts := m.loadCheckpoint(t.Context(), "j"); len(parts) != 1 || len(parts[0].Data) != 5 {
		t.Errorf("the checkpoint has %+v, want five events", parts)
	}
}
