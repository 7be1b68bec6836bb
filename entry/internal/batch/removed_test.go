package batch

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// markRemoved marks the state of a job as the sweeper does before it deletes the other objects.
func (r *rig) markRemoved(m *Manager, id string) {
	r.t.Helper()
	s, _, err := m.readState(r.t.Context(), id)
	if err != nil {
		r.t.Fatal(err)
	}
	s.Removed = true
	value, err := json.Marshal(s)
	if err != nil {
		r.t.Fatal(err)
	}
	r.store.Put(KindState, id, value)
}

// beforeCall calls a function before the calls of a store.
type beforeCall struct {
	Store
	f func(method, kind, name string)
}

func (s beforeCall) Create(ctx context.Context, kind, name string, spec []byte) (int64, error) {
	s.f("create", kind, name)
	return s.Store.Create(ctx, kind, name, spec)
}

func (s beforeCall) List(ctx context.Context, kind string) ([]store.Record, int64, error) {
	s.f("list", kind, "")
	return s.Store.List(ctx, kind)
}

// Guards against an entry that serves a part of a job whose removal is going on or was interrupted, whatever the entry knows
// of the job, and against a submission that is accepted and then removed with it.
func TestJobBeingRemovedIsAbsent(t *testing.T) {
	for name, known := range map[string]bool{"unknown state": false, "known state": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, newEngine(t, 1))
			owner, crash := r.manager("a", "a1")
			other, _ := r.manager("b", "b1")
			body := payload(1, "g-1", "h-1")
			r.submit(owner, "j", body)
			r.collect(owner, "j", 2)
			if reply := owner.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
				t.Fatal(reply)
			}
			if known {
				s, _, err := other.readState(t.Context(), "j")
				if err != nil {
					t.Fatal(err)
				}
				other.cacheState("j", s)
			} else {
				other.evictState("j")
			}
			crash()
			r.cut("a", true)
			r.markRemoved(other, "j")
			r.store.Remove(KindRecords+"j", r.store.Names(KindRecords + "j")[0])
			if reply := other.Results(t.Context(), nobody, "j", 0, 0); reply.Status != http.StatusNotFound {
				t.Errorf("the results are answered with %d", reply.Status)
			}
			if other.local("j") != nil {
				t.Error("the entry holds the job")
			}
			reply := other.Submit(t.Context(), nobody, &r.route, "j", body, time.Now())
			if reply.Status != http.StatusServiceUnavailable || reply.RetryAfter <= 0 {
				t.Errorf("a submission with the id is answered with %+v", reply)
			}
			r.store.Remove(KindState, "j")
			r.submit(other, "j", body)
		})
	}
}

// Guards against a job of which a part is loaded because its removal begins between the reads of its state and of its log.
func TestRemovalDuringLoad(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	owner, crash := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	r.submit(owner, "j", payload(1, "g-1", "h-1"))
	r.collect(owner, "j", 2)
	if reply := owner.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	crash()
	r.cut("a", true)
	other.evictState("j")
	other.Store = beforeCall{Store: other.Store, f: func(method, kind, _ string) {
		if method == "list" && kind == KindRecords+"j" {
			r.markRemoved(owner, "j")
			for _, name := range r.store.Names(kind) {
				r.store.Remove(kind, name)
			}
		}
	}}
	if reply := other.Results(t.Context(), nobody, "j", 0, 0); reply.Status != http.StatusNotFound {
		t.Errorf("the results are answered with %d %s", reply.Status, reply.Body)
	}
}

// Guards against a job that is accepted without its payload: a submission found that of an earlier job with the id, which was
// removed before the state of the new job was written.
func TestPayloadRemovedDuringSubmission(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, crash := r.manager("a", "a1")
	body := payload(1, "g-2")
	if _, err := m.putPayload(t.Context(), "j", body); err != nil {
		t.Fatal(err)
	}
	m.Store = beforeCall{Store: m.Store, f: func(_, kind, _ string) {
		if kind == KindState {
			r.store.Remove(KindPayload, "j")
		}
	}}
	r.submit(m, "j", body)
	crash()
	r.cut("a", true)
	other, _ := r.manager("b", "b1")
	checkTexts(t, r.collect(other, "j", 1), "g-2")
}

// Guards against an owner that runs items of a job for good after a pause in which the job was ended and removed.
func TestOwnerOfRemovedJobStops(t *testing.T) {
	for name, remove := range map[string]func(r *rig){
		"marked": func(r *rig) {
			s := wire.JobState{Owner: "a", Inc: "a1", Epoch: 1, Ended: true, Removed: true}
			value, err := json.Marshal(s)
			if err != nil {
				r.t.Fatal(err)
			}
			r.store.Put(KindState, "j", value)
		},
		"gone": func(r *rig) { r.store.Remove(KindState, "j") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, 1)
			e.gap = time.Hour
			r := newRig(t, e)
			m, _ := r.manager("a", "a1")
			r.submit(m, "j", payload(1, "g-2"))
			remove(r)
			await(t, "the owner stops the job", m.local("j").hasEnded)
		})
	}
}
