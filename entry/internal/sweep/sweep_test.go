package sweep

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http/httptest"
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
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, store: objects.New(), now: time.Now()}
	server := httptest.NewServer(r.store)
	t.Cleanup(server.CloseClientConnections)
	logger := slog.New(slog.DiscardHandler)
	pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 4})
	client := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Second, pool, logger)
	r.Sweeper = New(client, retention, logger)
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

// jobObjects is the number of objects of a job.
const jobObjects = 7

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
