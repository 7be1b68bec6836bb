package ingress

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/workspace"
)

// knownJob implements Jobs with one job and records the calls.
type knownJob struct {
	id    string
	owner string // name of its workspace
	calls []string
	body  string // of the last submission
}

func (k *knownJob) answer(call string, w workspace.Workspace, id string) Reply {
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

// Guards against requests for a plain service that depend on the store because their paths look like calls for jobs.
func TestPlainRouteNeedsNoJobs(t *testing.T) {
	s := newServer(t, respondOK)
	r := newRig(t, catalog.Route{Kind: catalog.Safe}, s)
	r.ingress.Jobs = &knownJob{id: "j1"}
	n := *r.catalog.Config()
	n.Revision, n.Routes[0].Prefix = 2, "/"
	r.catalog.ApplyConfig(n)
	resp, body, err := r.send(t, "GET", "/items/j1?id=a", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(body, "fine") {
		t.Errorf("the client got %d %q, want the answer of the service", resp.StatusCode, body)
	}
}
