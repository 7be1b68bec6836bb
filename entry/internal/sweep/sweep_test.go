package sweep

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/entry/internal/batch"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
	"bulrushspoke/standin/objects"
	"bulrushspoke/wire"
)

const retention = 10 * time.Minute

// rig holds a store with jobs and a sweeper.
type rig struct {
	*Sweeper
	t     *testing.T
	store *objects.Store
	now   time.Time
	// before is called before each list of records and each write of the sweeper, which fails with the error that it returns.
	before func(method, kind, name string) error
}

// watched calls rig.before for the calls of a sweeper.
type watched struct {
	Store
	rig *rig
}

func (w watched) Visit(ctx context.Context, kind string, f func(store.Record)) error {
	if err := w.rig.before("visit", kind, ""); err != nil {
		return err
	}
	return w.Store.Visit(ctx, kind, f)
}

func (w watched) Create(ctx context.Context, kind, name string, spec []byte) (int64, error) {
	if err := w.rig.before("create", kind, name); err != nil {
		return 0, err
	}
	return w.Store.Create(ctx, kind, name, spec)
}

func (w watched) Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error) {
	if err := w.rig.before("update", kind, name); err != nil {
		return 0, err
	}
	return w.Store.Update(ctx, kind, name, spec, revision)
}

func (w watched) Delete(ctx context.Context, kind, name string, revision int64) error {
	if err := w.rig.before("delete", kind, name); err != nil {
		return err
	}
	return w.Store.Delete(ctx, kind, name, revision)
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, store: objects.New(), now: time.Now(), before: func(string, string, string) error { return nil }}
	server := httptest.NewServer(r.store)
	t.Cleanup(server.CloseClientConnections)
	logger := slog.New(slog.DiscardHandler)
	pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 4})
	client := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Second, pool, logger)
	r.Sweeper = New(watched{Store: client, rig: r}, retention, logger)
	return r
}

// put stores a job with a payload of two parts, a checkpoint and two records.
func (r *rig) put(id string, s wire.JobState) {
	r.t.Helper()
	r.store.Put(batch.KindPayload, id+".0", []byte(`"x"`))
	r.store.Put(batch.KindPayload, id+".1", []byte(`"y"`))
	r.store.Put(batch.KindPayload, id, []byte(`{"parts":2}`))
	r.putState(id, s)
	r.store.Put(batch.KindTexts, id, []byte(`{}`))
	r.store.Put(batch.KindRecords+id, "000000", []byte(`{}`))
	r.store.Put(batch.KindRecords+id, "000001", []byte(`{}`))
}

func (r *rig) putState(id string, s wire.JobState) {
	r.t.Helper()
	value, err := json.Marshal(s)
	if err != nil {
		r.t.Fatal(err)
	}
	r.store.Put(batch.KindState, id, value)
}

// sweep sweeps after the given time.
func (r *rig) sweep(after time.Duration) error {
	r.t.Helper()
	r.now = r.now.Add(after)
	return r.Sweep(r.t.Context(), r.now)
}

func (r *rig) mustSweep(after time.Duration) {
	r.t.Helper()
	if err := r.sweep(after); err != nil {
		r.t.Fatal(err)
	}
}

// count returns the number of objects of a job.
func (r *rig) count(id string) int {
	n := len(r.store.Names(batch.KindRecords + id))
	for _, kind := range []string{batch.KindState, batch.KindTexts, batch.KindPayload} {
		for _, name := range r.store.Names(kind) {
			if name == id || kind == batch.KindPayload && (name == id+".0" || name == id+".1") {
				n++
			}
		}
	}
	return n
}

const (
	// jobObjects is the number of objects of a job.
	jobObjects = 7
	// removalCalls is the number of calls of a removal that rig.before sees: a mark, a list and a delete for each object.
	removalCalls = jobObjects + 2
)

// Guards against the removal of an open job (review/12), or of one whose results must still be readable, by the times of day
// of two instances, and against jobs that are never removed.
func TestSweepRemovesEndedJobs(t *testing.T) {
	r := newRig(t)
	long := time.Now().Add(-100 * retention).UnixMilli()
	ahead := time.Now().Add(100 * retention).UnixMilli()
	r.put("open", wire.JobState{Owner: "a", At: long})
	r.put("open-zero", wire.JobState{Owner: "a"})
	r.put("ended", wire.JobState{Owner: "a", Ended: true, At: long})
	r.put("ended-ahead", wire.JobState{Owner: "a", Ended: true, At: ahead})
	r.put("ws.a.c", wire.JobState{Owner: "a", Ended: true, At: long})
	r.put("ends", wire.JobState{Owner: "a", At: long})
	r.store.Put(batch.KindState, "broken", []byte(`7`))
	want := func(moment string, counts map[string]int) {
		t.Helper()
		for id, n := range counts {
			if got := r.count(id); got != n {
				t.Errorf("%s: %d objects of job %s, want %d", moment, got, id, n)
			}
		}
	}
	all := map[string]int{
		"open": jobObjects, "open-zero": jobObjects, "ended": jobObjects, "ended-ahead": jobObjects, "ws.a.c": jobObjects,
		"ends": jobObjects, "broken": 1,
	}
	r.mustSweep(0)
	r.putState("ends", wire.JobState{Owner: "a", Ended: true, At: long})
	r.mustSweep(retention - time.Second)
	want("before the retention period is over", all)
	r.mustSweep(time.Second)
	all["ended"], all["ended-ahead"], all["ws.a.c"] = 0, 0, 0
	want("once it is over", all)
	r.mustSweep(retention - 2*time.Second)
	want("shortly after a job has ended", all)
	r.mustSweep(time.Second)
	all["ends"] = 0
	want("long after a job has ended", all)
	r.mustSweep(100 * retention)
	want("at last", all)
}

// Guards against leftovers of a sweep that was interrupted at any of its calls.
func TestInterruptedSweepIsCompleted(t *testing.T) {
	failed := errors.New("interrupted")
	for calls := range removalCalls {
		r := newRig(t)
		r.put("j", wire.JobState{Owner: "a", Ended: true})
		r.mustSweep(0)
		done := 0
		r.before = func(string, string, string) error {
			if done++; done > calls {
				return failed
			}
			return nil
		}
		if err := r.sweep(retention); !errors.Is(err, failed) {
			t.Errorf("after %d calls: the sweep ended with %v", calls, err)
		}
		r.before = func(string, string, string) error { return nil }
		other := New(r.Sweeper.store, retention, r.logger)
		if calls > 0 {
			if s := r.state("j"); !s.Removed {
				t.Errorf("after %d calls: the job is not marked as removed", calls)
			}
			if err := other.Sweep(t.Context(), r.now); err != nil {
				t.Fatal(err)
			}
			if n := r.count("j"); n != 0 {
				t.Errorf("after %d calls: another sweeper leaves %d objects", calls, n)
			}
		} else if n := r.count("j"); n != jobObjects {
			t.Errorf("%d objects of a job without a mark", n)
		}
	}
}

func (r *rig) state(id string) wire.JobState {
	r.t.Helper()
	var s wire.JobState
	rec, err := r.Sweeper.store.Get(r.t.Context(), batch.KindState, id)
	if err == nil {
		err = json.Unmarshal(rec.Spec, &s)
	}
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

// Guards against a sweep that deletes what was written after it had listed a job: a state that has changed, or a later job
// with the same id that was accepted after another sweeper had completed the removal.
func TestSweepBesideChanges(t *testing.T) {
	ended := wire.JobState{Owner: "a", Ended: true}
	t.Run("changed state", func(t *testing.T) {
		r := newRig(t)
		r.put("j", ended)
		r.mustSweep(0)
		r.before = func(method, _, _ string) error {
			if method == "update" {
				r.putState("j", wire.JobState{Owner: "b", Ended: true, Epoch: 2})
			}
			return nil
		}
		r.mustSweep(retention)
		if n := r.count("j"); n != jobObjects {
			t.Errorf("%d objects are left, want %d", n, jobObjects)
		}
	})
	for calls := 1; calls < removalCalls; calls++ {
		r := newRig(t)
		r.put("j", ended)
		r.mustSweep(0)
		done := 0
		r.before = func(string, string, string) error {
			if done++; done != calls+1 {
				return nil
			}
			other := New(r.Sweeper.store, retention, r.logger)
			if err := other.Sweep(t.Context(), r.now); err != nil {
				t.Error(err)
			}
			r.put("j", wire.JobState{Owner: "a"})
			return nil
		}
		r.mustSweep(retention)
		if n := r.count("j"); n != jobObjects {
			t.Errorf("other sweeper after %d calls: %d objects of the later job are left, want %d", calls, n, jobObjects)
		}
	}
}

// Guards against objects of jobs that were never accepted and stay for good, and against the removal of what belongs to a job
// or to a submission that is still going on.
func TestSweepRemovesOrphans(t *testing.T) {
	r := newRig(t)
	r.put("j", wire.JobState{Owner: "a"})
	r.put("j.1", wire.JobState{Owner: "a"}) // named like a part of the payload of "j"
	for _, name := range []string{"refused", "split.0", "split.1", "later", "written"} {
		r.store.Put(batch.KindPayload, name, []byte(`"x"`))
	}
	r.store.Put(batch.KindTexts, "gone", []byte(`{}`))
	r.mustSweep(0)
	r.store.Put(batch.KindPayload, "new", []byte(`"x"`))
	r.store.Put(batch.KindPayload, "written", []byte(`"y"`))
	r.before = func(method, kind, name string) error {
		if method == "create" && name == "later" {
			r.putState("later", wire.JobState{Owner: "a"}) // accepted right before it is marked
		}
		return nil
	}
	r.mustSweep(retention)
	got := map[string][]string{}
	for _, kind := range []string{batch.KindState, batch.KindPayload, batch.KindTexts} {
		got[kind] = r.store.Names(kind)
	}
	want := map[string][]string{
		batch.KindState:   {"j", "j.1", "later"},
		batch.KindPayload: {"j", "j.0", "j.1", "j.1.0", "j.1.1", "later", "new", "written"},
		batch.KindTexts:   {"j", "j.1"},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("objects (-want +got):\n%s", d)
	}
	r.mustSweep(retention)
	if left := r.store.Names(batch.KindPayload); slices.Contains(left, "new") || slices.Contains(left, "written") {
		t.Errorf("payloads are left: %v", left)
	}
}

// Guards against marks of orphans that stay, or take a payload with them, if the sweep is interrupted.
func TestInterruptedSweepOfOrphans(t *testing.T) {
	failed := errors.New("interrupted")
	for writes := range 5 {
		r := newRig(t)
		r.put("j", wire.JobState{Owner: "a"})
		r.store.Put(batch.KindPayload, "split.0", []byte(`"x"`))
		r.mustSweep(0)
		done := 0
		r.before = func(string, string, string) error {
			if done++; done > writes {
				return failed
			}
			return nil
		}
		if err := r.sweep(retention); !errors.Is(err, failed) {
			t.Errorf("after %d writes: the sweep ended with %v", writes, err)
		}
		r.before = func(string, string, string) error { return nil }
		r.mustSweep(retention)
		got := [][]string{r.store.Names(batch.KindState), r.store.Names(batch.KindPayload)}
		if d := cmp.Diff([][]string{{"j"}, {"j", "j.0", "j.1"}}, got); d != "" {
			t.Errorf("after %d writes (-want +got):\n%s", writes, d)
		}
	}
}

// Guards against the removal of a job whose id looks like the name of a part of the payload of another one.
func TestSweepKeepsJobNamedLikePart(t *testing.T) {
	r := newRig(t)
	r.put("j", wire.JobState{Owner: "a", Ended: true})
	r.put("j.1", wire.JobState{Owner: "a"})
	r.mustSweep(0)
	r.mustSweep(retention)
	if d := cmp.Diff([]string{"j.1", "j.1.0", "j.1.1"}, r.store.Names(batch.KindPayload)); d != "" {
		t.Errorf("payloads (-want +got):\n%s", d)
	}
	if n := r.count("j.1"); n != jobObjects {
		t.Errorf("%d objects of the job are left, want %d", n, jobObjects)
	}
}

// Guards against a sweep that reports success although the store is unavailable.
func TestSweepInOutage(t *testing.T) {
	r := newRig(t)
	r.store.SetFault(objects.Fault{Unavailable: true})
	var down *store.UnavailableError
	if err := r.sweep(0); !errors.As(err, &down) {
		t.Errorf("the sweep ended with %v", err)
	}
}
