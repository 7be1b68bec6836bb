package batch

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/store"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/wire"
)

// configStore is a store whose configuration a manager reads; the first reads may fail.
type configStore struct {
	mu    sync.Mutex
	held  catalog.Config
	fails int
	reads int
}

func (s *configStore) read() (catalog.Config, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reads++; s.reads <= s.fails {
		return catalog.Config{}, store.NewUnavailableError(false, "no answer")
	}
	return s.held, nil
}

func (s *configStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Guards against items of an accepted job that are given up for good because their owner holds a configuration that is older
// than the one that allows them.
func TestOlderConfigurationGivesNothingUp(t *testing.T) {
	const id = "g-3"
	for _, c := range []struct {
		name     string
		older    func(r *catalog.Route) bool // the route in the older configuration; false if there is none
		failures int                         // answers of 500 to each run of the item and to each of its reward calls
		accepted int64                       // revision under which the job was accepted
		fails    int                         // reads of the configuration that fail at first
	}{
		{name: "adds the route", older: func(*catalog.Route) bool { return false }, accepted: 2},
		{name: "adds the route to a job of an earlier program", older: func(*catalog.Route) bool { return false }},
		{name: "adds the route, store away", older: func(*catalog.Route) bool { return false }, accepted: 2, fails: 2},
		{name: "extends the time", older: func(r *catalog.Route) bool {
			r.MaxQueueTime = time.Nanosecond
			return true
		}, accepted: 1},
		{name: "extends the time, accepted under it", older: func(r *catalog.Route) bool {
			r.MaxQueueTime = time.Nanosecond
			return true
		}, accepted: 2},
		{name: "allows more failures", older: func(r *catalog.Route) bool {
			r.MaxAttempts = 1
			return true
		}, failures: 2, accepted: 1, fails: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, 1)
			e.answer = func(_ string, run int) int {
				if run <= c.failures {
					return http.StatusInternalServerError
				}
				return 0
			}
			s := newScorer(t, e)
			s.set(func(w http.ResponseWriter, _ *http.Request, id string, run int) bool {
				if run > c.failures {
					return false
				}
				platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id, Signature: "failed"})
				w.WriteHeader(http.StatusInternalServerError)
				return true
			})
			r := newRig(t, e)
			r.addScorer(s)
			newer := catalog.Config{Revision: 2, Routes: append([]catalog.Route{r.route}, r.routes...)}
			older := catalog.Config{Revision: 1}
			for _, route := range newer.Routes {
				if c.older(&route) {
					older.Routes = append(older.Routes, route)
				}
			}
			newest := &configStore{held: newer, fails: c.fails}
			r.newest = newest.read
			r.held = &older
			owner, _ := r.manager("a", "a1")
			state := wire.JobState{
				Owner: "gone", Inc: "gone1", Epoch: 1, Host: "h", Path: "/p/", Total: 1, At: time.Now().UnixMilli(), Model: "m",
				Config: c.accepted,
			}
			if _, err := owner.putPayload(t.Context(), "j", scoredPayload(id)); err != nil {
				t.Fatal(err)
			}
			if _, err := owner.createState(t.Context(), "j", state); err != nil {
				t.Fatal(err)
			}
			checkTexts(t, r.collect(owner, "j", 1), id)
			if newest.count() <= c.fails {
				t.Errorf("the configuration was read %d times", newest.count())
			}
		})
	}
}

// Guards against jobs that stay open because the removal of their route, or the end of their time, is never confirmed, against
// items that run meanwhile, and against reads of the configuration for jobs that nothing speaks against.
func TestNewestConfigurationGivesUp(t *testing.T) {
	for _, c := range []struct {
		name  string
		route func(r *catalog.Route) bool // the route in the newest configuration; false if there is none
		reads int                         // most reads of the configuration
		state job.State
	}{
		{"removes the route", func(*catalog.Route) bool { return false }, 2, job.Terminated},
		{"ends the time", func(r *catalog.Route) bool {
			r.MaxQueueTime = time.Nanosecond
			return true
		}, 2, job.Terminated},
		{"changes nothing", func(*catalog.Route) bool { return true }, 0, job.Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, newEngine(t, 1))
			newer := catalog.Config{Revision: 2}
			if route := r.route; c.route(&route) {
				newer.Routes = append(newer.Routes, route)
			}
			newest := &configStore{held: newer}
			r.newest = newest.read
			m, _ := r.manager("a", "a1")
			r.engines[0].set(func(e *engine) { e.gap = time.Hour })
			r.submit(m, "j", payload(1, "g-2", "h-2"))
			await(t, "the items start", func() bool { return len(r.engines[0].started()) == 2 })
			m.Catalog.ApplyConfig(newer)
			r.engines[0].set(func(e *engine) { e.gap = 0 })
			m.Catalog.RemoveServer("i0", 1000, time.Now())
			r.engines[0].CloseClientConnections()
			if c.state == job.Completed {
				m.Catalog.ApplyServer(r.server(0, 1001))
			}
			for _, result := range r.collect(m, "j", 2) {
				if result.State != c.state {
					t.Errorf("item %s has state %d, want %d", result.Item, result.State, c.state)
				}
			}
			if n := newest.count(); n > c.reads {
				t.Errorf("the configuration was read %d times, want at most %d", n, c.reads)
			}
		})
	}
}
