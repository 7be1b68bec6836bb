package ingress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/workspace"
)

// knownJob implements Jobs with one job and records the calls.
type knownJob struct {
	mu    sync.Mutex
	id    string
	owner string // name of its workspace
	calls []string
	body  string // of the last submission
	host  string // that the job was submitted to
	open  bool   // the route that accepted it needed no key
	err   error  // of the store
	lists int    // number of calls of Hosts
}

func (k *knownJob) set(f func(*knownJob)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k)
}

func (k *knownJob) setError(err error) { k.set(func(k *knownJob) { k.err = err }) }

func (k *knownJob) listCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lists
}

func (k *knownJob) answer(call string, w workspace.Workspace, id string) Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.err != nil {
		return Reply{Status: http.StatusServiceUnavailable}
	}
	if id != k.id || w.Name != k.owner {
		return Reply{Status: http.StatusNotFound}
	}
	k.calls = append(k.calls, call)
	return Reply{Status: http.StatusOK}
}

// Submit implements Jobs.
func (k *knownJob) Submit(_ context.Context, w workspace.Workspace, _ *catalog.Route, id string, body []byte, _ time.Time) Reply {
	k.id, k.owner, k.body = id, w.Name, string(body)
	return Reply{Status: http.StatusAccepted}
}

// Results implements Jobs.
func (k *knownJob) Results(_ context.Context, w workspace.Workspace, id string, _ int, _ time.Duration) Reply {
	return k.answer("results", w, id)
}

// Body implements Jobs.
func (k *knownJob) Body(_ context.Context, w workspace.Workspace, id, _ string) Reply {
	return k.answer("body", w, id)
}

// End implements Jobs.
func (k *knownJob) End(_ context.Context, w workspace.Workspace, id string) Reply {
	return k.answer("end", w, id)
}

// Hosts implements Jobs.
func (k *knownJob) Hosts(context.Context) (map[string]bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lists++
	return map[string]bool{k.host: k.open}, k.err
}

// Guards against jobs that cannot be read or ended once the configuration has no route of batch jobs for their host,
// and against requests for another service whose paths look like calls for jobs.
func TestJobOutlivesItsRoute(t *testing.T) {
	type request struct{ method, path string }
	known := []request{{"GET", "/lots/j1?after=0"}, {"GET", "/items/j1?id=a"}, {"DELETE", "/lots/j1"}}
	unknown := []request{{"GET", "/lots/j2?after=0"}, {"GET", "/items/j2?id=a"}, {"DELETE", "/lots/j2"}}
	for _, c := range []struct {
		name          string
		prefix        string // of a route to a plain service, which replaces the route of batch jobs
		unknownStatus int
	}{
		{"other routes elsewhere", "/x/", http.StatusNotFound},
		{"other route covers the path", "/", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, respondOK)
			r := newRig(t, catalog.Route{Kind: catalog.Batch}, s)
			jobs := &knownJob{id: "j1"}
			r.ingress.Jobs = jobs
			n := *r.catalog.Config()
			n.Revision = 2
			n.Routes = []catalog.Route{{
				Host: "h.example", Prefix: c.prefix, Kind: catalog.Safe, Timeout: time.Second, MaxAttempts: 1,
				Shares: []catalog.Share{{Service: "v", Weight: 1}},
			}}
			r.catalog.ApplyConfig(n)
			for _, q := range known {
				resp, _, err := r.send(t, q.method, q.path, "", nil)
				if err != nil {
					t.Fatal(err)
				}
				if resp.StatusCode != http.StatusOK {
					t.Errorf("%s %s is answered %d", q.method, q.path, resp.StatusCode)
				}
			}
			if d := cmp.Diff([]string{"results", "body", "end"}, jobs.calls); d != "" {
				t.Errorf("calls for the job (-want +got):\n%s", d)
			}
			if l := s.requests(); len(l) > 0 {
				t.Errorf("%d calls for the job were passed on", len(l))
			}
			for _, q := range unknown {
				resp, _, err := r.send(t, q.method, q.path, "", nil)
				if err != nil {
					t.Fatal(err)
				}
				if resp.StatusCode != c.unknownStatus {
					t.Errorf("%s %s is answered %d, want %d", q.method, q.path, resp.StatusCode, c.unknownStatus)
				}
			}
		})
	}
}

// plainRoute returns a route of h.example to a plain service that covers the paths of all calls for jobs.
func plainRoute() catalog.Route {
	return catalog.Route{
		Host: "h.example", Prefix: "/", Kind: catalog.Safe, Timeout: time.Second, MaxAttempts: 1,
		Shares: []catalog.Share{{Service: "v", Weight: 1}},
	}
}

// apply replaces the routes of the configuration.
func (r *rig) apply(routes ...catalog.Route) {
	n := *r.catalog.Config()
	n.Revision, n.Routes = n.Revision+1, routes
	r.catalog.ApplyConfig(n)
}

// follow lists the jobs for each configuration as a process does, and returns once it has for the present one.
func (r *rig) follow(t *testing.T) {
	t.Helper()
	go func() { _ = r.ingress.FollowJobHosts(t.Context()) }()
	r.awaitJobHosts(t)
}

func (r *rig) awaitJobHosts(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !r.ingress.jobHosts.lookup("h.example", r.catalog.Config()).known {
		if time.Now().After(deadline) {
			t.Fatal("the jobs are not listed")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against requests for a plain service that depend on the store because their paths look like calls for jobs.
func TestPlainRouteNeedsNoJobs(t *testing.T) {
	s := newServer(t, respondOK)
	r := newRig(t, catalog.Route{Kind: catalog.Safe}, s)
	jobs := &knownJob{id: "j1", host: "other.example"}
	r.ingress.Jobs = jobs
	r.apply(plainRoute())
	ask := func(when, path string, want int) {
		t.Helper()
		resp, body, err := r.send(t, "GET", path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != want || want == http.StatusOK && !strings.Contains(body, "fine") {
			t.Errorf("%s: the client got %d %q, want %d", when, resp.StatusCode, body, want)
		}
	}
	ask("not listed yet", "/items/j2?id=a", http.StatusOK)
	jobs.setError(errors.New("no answer"))
	ask("not listed yet, store away", "/items/j1?id=a", http.StatusServiceUnavailable)
	ask("not listed yet, store away, no call for a job", "/items/", http.StatusOK)
	jobs.setError(nil)
	r.follow(t)
	ask("listed", "/items/j1?id=a", http.StatusOK)
	jobs.setError(errors.New("no answer"))
	ask("listed, store away", "/items/j1?id=a", http.StatusOK)
	if len(jobs.calls) > 0 {
		t.Errorf("calls for jobs: %v", jobs.calls)
	}
	if jobs.listCount() != 1 {
		t.Errorf("the jobs were listed %d times for one configuration", jobs.listCount())
	}
}

// Guards against calls for a job that are passed on to another service, or refused, by an entry that has started after the
// removal of the job's route.
func TestJobOutlivesItsRouteAtNewEntry(t *testing.T) {
	for _, listed := range []bool{false, true} {
		for _, keys := range []bool{false, true} {
			t.Run(fmt.Sprintf("listed %t, keys %t", listed, keys), func(t *testing.T) {
				s := newServer(t, respondOK)
				r := newRig(t, catalog.Route{Kind: catalog.Safe}, s)
				jobs := &knownJob{id: "j1", host: "h.example", open: true}
				r.ingress.Jobs = jobs
				unknown := http.StatusOK // of the service
				if keys {
					r.catalog.ApplyConfig(configFor(t, 2, testKey))
					unknown = http.StatusUnauthorized
				}
				r.apply(plainRoute())
				if listed {
					r.follow(t)
				}
				status := func(method, path string) int {
					resp, _, err := r.send(t, method, path, "", nil)
					if err != nil {
						t.Fatal(err)
					}
					return resp.StatusCode
				}
				var want []string
				for _, c := range []struct{ method, path, call string }{
					{"GET", "/lots/j1?after=0", "results"}, {"GET", "/items/j1?id=a", "body"}, {"DELETE", "/lots/j1", "end"},
				} {
					got := status(c.method, c.path)
					if keys && !listed {
						// Whether the job needs a key is not known yet.
						if got != http.StatusServiceUnavailable {
							t.Errorf("%s %s is answered %d before the jobs are listed", c.method, c.path, got)
						}
						continue
					}
					want = append(want, c.call)
					if got != http.StatusOK {
						t.Errorf("%s %s is answered %d", c.method, c.path, got)
					}
				}
				if d := cmp.Diff(want, jobs.calls); d != "" {
					t.Errorf("calls for the job (-want +got):\n%s", d)
				}
				if l := s.requests(); len(l) > 0 {
					t.Errorf("%d calls for the job were passed on", len(l))
				}
				if keys && !listed {
					return
				}
				if got := status("GET", "/lots/j2?after=0"); got != unknown {
					t.Errorf("a request that is no call for a job is answered %d, want %d", got, unknown)
				}
			})
		}
	}
}

// Guards against jobs that are taken for unknown because they were accepted after the jobs had been listed: under a
// configuration that this entry has missed, or by an entry that had an older one.
func TestJobsAreListedForEachConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 4 * time.Second
		c := catalog.New(slog.New(slog.DiscardHandler))
		jobs := &knownJob{}
		h := newJobHosts(c, delay, slog.New(slog.DiscardHandler))
		h.list = jobs.Hosts
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = h.run(ctx) }()
		check := func(when string, want hostState, lists int) {
			t.Helper()
			synctest.Wait()
			if got := h.lookup("h.example", c.Config()); got.known != want.known || got.known && got != want {
				t.Errorf("%s: %+v, want %+v", when, got, want)
			}
			if n := jobs.listCount(); n != lists {
				t.Errorf("%s: the jobs were listed %d times, want %d", when, n, lists)
			}
		}
		c.ApplyConfig(catalog.Config{Revision: 1, Routes: []catalog.Route{plainRoute()}})
		check("at the start", hostState{}, 0)
		jobs.set(func(k *knownJob) { k.host = "h.example" }) // accepted by an entry with an older configuration
		time.Sleep(delay)
		check("after the delay", hostState{known: true, jobs: true}, 1)
		time.Sleep(time.Hour)
		check("an hour later", hostState{known: true, jobs: true}, 1)
		c.ApplyConfig(catalog.Config{Revision: 2, Routes: []catalog.Route{plainRoute()}})
		check("another configuration", hostState{}, 1)
		jobs.setError(errors.New("no answer"))
		time.Sleep(2*delay + jobHostsRetryPause/2)
		failed := jobs.listCount()
		check("store away", hostState{}, failed)
		if failed < 2 || failed > 6 {
			t.Errorf("%d lists while the store is away for %v", failed-1, delay)
		}
		jobs.setError(nil)
		time.Sleep(jobHostsRetryPause)
		check("store back", hostState{known: true, jobs: true}, failed+1)
		batch := catalog.Route{Host: "h.example", Prefix: "/pufi/", Kind: catalog.Batch}
		c.ApplyConfig(catalog.Config{Revision: 3, Routes: []catalog.Route{plainRoute(), batch}})
		time.Sleep(2 * delay)
		if n := jobs.listCount() - failed - 1; n != 0 {
			t.Errorf("the jobs were listed %d times although no route covers their paths", n)
		}
		check("asked for", hostState{}, failed+1)
		check("asked for before", hostState{known: true, jobs: true}, failed+2)
	})
}
