package ingress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/wire"
)

const testKey = "key-of-alder"

// withKeys gives the rig's configuration the workspace "alder" with testKey and an open route under /open/.
func (r *rig) withKeys(t *testing.T) {
	t.Helper()
	n := *r.catalog.Config()
	d, err := workspace.NewDirectory([]workspace.Entry{
		{Workspace: workspace.Workspace{Name: "alder", Priority: 2, HasPriority: true}, Keys: []string{testKey}},
	})
	if err != nil {
		t.Fatal(err)
	}
	open := n.Routes[0]
	open.Prefix, open.Open = "/open/", true
	n.Revision, n.Workspaces, n.Routes = n.Revision+1, d, append(n.Routes[:1:1], open)
	n.Services = map[string]catalog.Service{"v": {Name: "v", MaxConns: 10, Slots: 4}}
	r.catalog.ApplyConfig(n)
}

// sendAs sends a request with a key, empty for none, and returns the status.
func (r *rig) sendAs(t *testing.T, key, method, path, body string) *http.Response {
	t.Helper()
	header := map[string]string{"X-Custom": "kept"}
	if key != "" {
		header = platformtest.SenderHeaders(platformtest.Sender{Credentials: platformtest.KeyCredentials(key), Workspace: "forged"})
		header["X-Custom"], header["X-Copy"] = "kept", "<"+key+">"
	}
	resp, _, err := r.send(t, method, path, body, header)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against service without a valid key, against a key or a forged workspace that reaches a server or the log, and
// against open routes that need a key or lose the workspace of a known one.
func TestKeys(t *testing.T) {
	s := newServer(t, respondOK)
	r := newRig(t, catalog.Route{Kind: catalog.Safe}, s)
	var log bytes.Buffer
	r.ingress.Logger = slog.New(slog.NewTextHandler(&log, nil))
	r.withKeys(t)
	alder, none := platformtest.Sender{Workspace: "alder", Priority: "2"}, platformtest.Sender{Priority: "5"}
	for _, c := range []struct {
		path, key string
		status    int
		want      platformtest.Sender
	}{
		{"/p/x", testKey, 200, alder},
		{"/p/x", "nobodys-key", 401, none},
		{"/p/x", "", 401, none},
		{"/unrouted", "", 401, none},
		{"/unrouted", testKey, 404, none},
		{"/open/" + testKey, testKey, 200, alder},
		{"/open/x", "nobodys-key", 200, none},
		{"/open/x", "", 200, none},
		{"/open/x", "1", 200, none}, // occurs in other headers
	} {
		before := len(s.requests())
		resp := r.sendAs(t, c.key, "GET", c.path, "")
		if resp.StatusCode != c.status || (resp.Header.Get("Www-Authenticate") != "") != (c.status == 401) {
			t.Errorf("%s with %q is answered %d, want %d", c.path, c.key, resp.StatusCode, c.status)
		}
		received := s.requests()[before:]
		if (len(received) == 1) != (c.status == 200) {
			t.Errorf("%s with %q: %d requests reached the server", c.path, c.key, len(received))
		}
		for _, q := range received {
			leaked := len(c.key) > 1 && strings.Contains(fmt.Sprint(q.Header), c.key)
			if got := platformtest.DecodeSender(q.Header); got != c.want || leaked || q.Header.Get("X-Custom") != "kept" {
				t.Errorf("%s with %q: the server got the headers %v", c.path, c.key, q.Header)
			}
		}
	}
	r.Close() // waits for the last line
	if text := log.String(); strings.Contains(text, testKey) || strings.Contains(text, "nobodys-key") {
		t.Errorf("the log contains a key:\n%s", text)
	}
}

// Guards against a process that refuses valid keys because it knows none yet.
func TestNoConfigurationIsNoDenial(t *testing.T) {
	r := newRig(t, catalog.Route{Kind: catalog.Safe})
	r.ingress.Catalog = catalog.New(slog.New(slog.DiscardHandler))
	if resp := r.sendAs(t, testKey, "GET", "/p/x", ""); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("answered %d, want 503 with a retry time", resp.StatusCode)
	}
}

// Guards against a refusal that waits for the rest of a body, and against the use of a connection whose client still sends
// it.
func TestRefusalBeforeBody(t *testing.T) {
	r := newRig(t, catalog.Route{Kind: catalog.Safe})
	r.withKeys(t)
	c := r.startRequest(t, "Content-Length: 1000\r\n", "begin")
	if resp := readResponse(t, c); resp.StatusCode != http.StatusUnauthorized || !resp.Close {
		t.Errorf("answered %d, closing %t; want 401 on a closing connection", resp.StatusCode, resp.Close)
	}
	if resp := r.sendAs(t, "", "GET", "/p/x", ""); resp.StatusCode != http.StatusUnauthorized || resp.Close {
		t.Errorf("without a body: answered %d, closing %t; want 401 on a connection that stays", resp.StatusCode, resp.Close)
	}
}

// Guards against jobs that are read without a key because some other route is open, and against the rejection of a job by an
// entry that has the first configuration with workspaces later than the one that accepted it.
func TestJobCallsNeedKeys(t *testing.T) {
	r := newRig(t, catalog.Route{Kind: catalog.Batch})
	jobs := &knownJob{id: "j1", owner: "alder"}
	r.ingress.Jobs = jobs
	reads := 0
	r.ingress.authenticator.refresh = newRefresher(func(context.Context) error {
		reads++
		r.withKeys(t)
		return nil
	}, slog.New(slog.DiscardHandler))
	get := func(key string, want int) {
		t.Helper()
		if resp := r.sendAs(t, key, "GET", "/lots/j1?after=0", ""); resp.StatusCode != want {
			t.Errorf("with the key %q the answer is %d, want %d", key, resp.StatusCode, want)
		}
	}
	get("", 404)
	get(testKey, 200)
	if reads != 1 {
		t.Errorf("%d reads of the configuration, want 1", reads)
	}
	n := *r.catalog.Config()
	n.Revision, n.Routes[1].Prefix, n.Routes[1].Kind = n.Revision+1, "/", catalog.Safe
	r.catalog.ApplyConfig(n)
	get("", 401)
	get(testKey, 200)
	n.Revision, n.Routes = n.Revision+1, []catalog.Route{{Host: "h.example", Prefix: "/p/", Kind: catalog.Batch, Open: true}}
	r.catalog.ApplyConfig(n)
	get("", 404) // a job without a workspace may exist, that of a workspace does not
}

// withOpenBatchRoute makes the rig's only route one of batch jobs that needs no key, and gives the workspace "alder" the key.
func (r *rig) withOpenBatchRoute(t *testing.T, key string) {
	t.Helper()
	n := configFor(t, r.catalog.Config().Revision+1, key)
	n.Routes = []catalog.Route{r.catalog.Config().Routes[0]}
	n.Routes[0].Open = true
	r.catalog.ApplyConfig(n)
}

// Guards against jobs without a key that can no longer be read or ended once their open route has been removed, and against
// service without a key that the memory of such a route gives to other requests.
func TestJobOutlivesItsOpenRoute(t *testing.T) {
	s := newServer(t, respondOK)
	r := newRig(t, catalog.Route{Kind: catalog.Batch}, s)
	jobs := &knownJob{id: "j1"}
	r.ingress.Jobs = jobs
	r.withOpenBatchRoute(t, testKey)
	next := func(routes ...catalog.Route) {
		n := *r.catalog.Config()
		n.Revision, n.Routes = n.Revision+1, routes
		r.catalog.ApplyConfig(n)
	}
	check := func(when, method, path string, want int) {
		t.Helper()
		if resp := r.sendAs(t, "", method, path, ""); resp.StatusCode != want {
			t.Errorf("%s: %s %s is answered %d, want %d", when, method, path, resp.StatusCode, want)
		}
	}
	plain := catalog.Route{
		Host: "h.example", Prefix: "/", Kind: catalog.Safe, Timeout: time.Second, MaxAttempts: 1,
		Shares: []catalog.Share{{Service: "v", Weight: 1}},
	}
	batch := r.catalog.Config().Routes[0]
	for when, routes := range map[string][]catalog.Route{"no routes": nil, "a closed route": {plain}} {
		next(batch)
		next(routes...)
		unknown := map[bool]int{true: 404, false: 401}[routes == nil]
		check(when, "GET", "/lots/j1?after=0", 200)
		check(when, "GET", "/items/j1?id=a", 200)
		check(when, "DELETE", "/lots/j1", 200)
		check(when, "GET", "/lots/j2?after=0", unknown)
		check(when, "GET", "/other", 401)
		jobs.owner = "alder"
		check(when+", job of a workspace", "GET", "/lots/j1?after=0", unknown)
		jobs.owner = ""
	}
	if l := s.requests(); len(l) > 0 {
		t.Errorf("%d requests without a key reached a server", len(l))
	}
	next(batch)
	batch.Open = false
	next(batch)
	check("closed", "GET", "/lots/j1?after=0", 401)
	next()
	check("closed and removed", "GET", "/lots/j1?after=0", 401)
}

// Guards against clients with a new key that an entry takes for clients without one where batch jobs need none: it would not
// find their jobs, and would accept others without a workspace.
func TestNewKeyOnOpenBatchRoute(t *testing.T) {
	r := newRig(t, catalog.Route{Kind: catalog.Batch})
	jobs := &knownJob{id: "j1", owner: testKey}
	r.ingress.Jobs = jobs
	reads := 0
	key := testKey
	r.ingress.authenticator.refresh = newRefresher(func(context.Context) error {
		reads++
		r.withOpenBatchRoute(t, key)
		return nil
	}, slog.New(slog.DiscardHandler))
	r.withOpenBatchRoute(t, "older-key")
	if resp := r.sendAs(t, testKey, "GET", "/lots/j1?after=0", ""); resp.StatusCode != 200 || reads != 1 {
		t.Errorf("a call with a new key is answered %d after %d reads, want 200 after 1", resp.StatusCode, reads)
	}
	key = "newest-key"
	if resp := r.sendAs(t, key, "POST", "/p/", "{}"); resp.StatusCode != 202 || jobs.owner != key || reads != 2 {
		t.Errorf("a submission with a new key is answered %d for %q after %d reads", resp.StatusCode, jobs.owner, reads)
	}
	if resp := r.sendAs(t, "nobodys-key", "POST", "/p/", "{}"); resp.StatusCode != 202 || jobs.owner != "" || reads != 3 {
		t.Errorf("a submission with an unknown key is answered %d for %q after %d reads", resp.StatusCode, jobs.owner, reads)
	}
	if resp := r.sendAs(t, "", "POST", "/p/", "{}"); resp.StatusCode != 202 || reads != 3 {
		t.Errorf("a submission without a key is answered %d after %d reads", resp.StatusCode, reads)
	}
}

// Guards against deployments without workspaces whose clients wait for the store at each call for an unknown job, and
// against the memory of such a read beyond the configuration that it was made for, or of one that failed.
func TestNoWorkspacesReadOnce(t *testing.T) {
	r := newRig(t, catalog.Route{Kind: catalog.Batch})
	r.ingress.Jobs = &knownJob{id: "j1"}
	reads := 0
	err := errors.New("no answer")
	r.ingress.authenticator.refresh = newRefresher(func(context.Context) error {
		reads++
		return err
	}, slog.New(slog.DiscardHandler))
	ask := func(want int) {
		t.Helper()
		if resp := r.sendAs(t, testKey, "GET", "/lots/j2?after=0", ""); resp.StatusCode != 404 || reads != want {
			t.Errorf("answered %d after %d reads, want 404 after %d", resp.StatusCode, reads, want)
		}
	}
	ask(1)
	err = nil
	ask(2)
	ask(2)
	n := *r.catalog.Config()
	n.Revision++
	r.catalog.ApplyConfig(n)
	ask(3)
	ask(3)
}

// Guards against the routes of a former configuration for a request that is served under a newer one.
func TestRouteOfNewerConfig(t *testing.T) {
	s := newServer(t, respondOK)
	plain := catalog.Route{
		Host: "h.example", Prefix: "/", Kind: catalog.Safe, Timeout: time.Second, MaxAttempts: 1,
		Shares: []catalog.Share{{Service: "v", Weight: 1}},
	}
	for _, c := range []struct {
		name          string
		before, after []catalog.Route
		want          int
	}{
		{"route added", nil, []catalog.Route{plain}, 200},
		{"route removed", []catalog.Route{plain}, nil, 404},
		{"reserved", []catalog.Route{plain}, []catalog.Route{plain, {Host: "h.example", Prefix: "/p/", Kind: catalog.Batch}}, 404},
	} {
		r := newRig(t, catalog.Route{Kind: catalog.Batch}, s)
		r.ingress.Jobs = &knownJob{id: "j1"}
		n := *r.catalog.Config()
		n.Revision, n.Routes = n.Revision+1, c.before
		r.catalog.ApplyConfig(n)
		r.ingress.authenticator.refresh = newRefresher(func(context.Context) error {
			newer := configFor(t, n.Revision+1, testKey)
			newer.Routes, newer.Services = c.after, map[string]catalog.Service{"v": {Name: "v", MaxConns: 10}}
			r.catalog.ApplyConfig(newer)
			return nil
		}, slog.New(slog.DiscardHandler))
		if resp := r.sendAs(t, testKey, "GET", "/lots/j2?after=0", ""); resp.StatusCode != c.want {
			t.Errorf("%s: answered %d, want %d", c.name, resp.StatusCode, c.want)
		}
	}
}

// Guards against short credentials that blot out the log, and against longer ones or keys in it.
func TestRedact(t *testing.T) {
	alder := workspace.Workspace{Name: "alder"}
	for _, c := range []struct {
		key       string
		workspace workspace.Workspace
		want      string
	}{
		{"e", workspace.Workspace{}, "the secret-token"},
		{"", workspace.Workspace{}, "the secret-token"},
		{"secret-token", workspace.Workspace{}, "the [key]"},
		{"the", alder, "[key] secret-token"},
	} {
		q := &request{key: c.key, workspace: c.workspace}
		if got := q.redact("the secret-token"); got != c.want {
			t.Errorf("with the key %q of %q: %q, want %q", c.key, c.workspace.Name, got, c.want)
		}
	}
}

// Guards against a key in the stored payload of a job, also on an open route, and against a job that is accepted for another
// workspace.
func TestSubmissionKeepsNoKey(t *testing.T) {
	for _, c := range []struct {
		key, owner, path string
	}{{testKey, "alder", "/p/"}, {"nobodys-key", "", "/open/"}, {"", "", "/open/"}} {
		r := newRig(t, catalog.Route{Kind: catalog.Batch})
		jobs := &knownJob{}
		r.ingress.Jobs = jobs
		r.withKeys(t)
		const body = `{"items":[{"id":"a","headers":{"X-Copy":"<%[1]s>","X-Two":"%[1]s%[1]s","authorization":"bEARER  %[2]s","X-N":"{\"a\":\"Bearer %[2]s\"}"},"path":"/p"}]}`
		const other, masked = `ot\/her-\u0061key`, `[masked][masked][m`
		if resp := r.sendAs(t, c.key, "POST", c.path, fmt.Sprintf(body, c.key, other)); resp.StatusCode != http.StatusAccepted {
			t.Fatalf("answered %d", resp.StatusCode)
		}
		want := fmt.Sprintf(body, strings.Repeat("[masked]", 3)[:len(c.key)], masked[:len(other)])
		if jobs.owner != c.owner || jobs.body != want {
			t.Errorf("submitted for %q:\n%s\nwant\n%s", jobs.owner, jobs.body, want)
		}
	}
	r := newRig(t, catalog.Route{Kind: catalog.Batch})
	jobs := &knownJob{}
	r.ingress.Jobs = jobs
	if r.sendAs(t, testKey, "POST", "/p/", "Bearer "+testKey); jobs.body != "Bearer "+testKey {
		t.Errorf("without workspaces the job is changed to %q", jobs.body)
	}
}

// Guards against one workspace that has the requests of another blocked, and against fingerprints that entries of an
// earlier version do not share.
func TestFingerprintOfWorkspace(t *testing.T) {
	seen := make(map[uint64]string)
	for _, c := range [][2]string{{"", "/a"}, {"a", "/a"}, {"b", "/a"}, {"", "/a/a"}, {"a/", "a"}, {"", "/"}} {
		f := Fingerprint(c[0], c[1], []byte("body"))
		if other, ok := seen[f]; ok {
			t.Errorf("%q has the fingerprint of %s", c, other)
		}
		seen[f] = fmt.Sprint(c)
	}
	if f := Fingerprint("", "/a", []byte("b")); f != 0xcddcd8c2e842ed86 {
		t.Errorf("fingerprint without a workspace is %#x", f)
	}
	s := NewSuspects(func(wire.Crash) {})
	now := time.Now()
	for i := range crashLimit {
		s.RecordCrash(Fingerprint("a", "/x", nil), crashedRun(i, now), now)
	}
	if !s.Blocked(Fingerprint("a", "/x", nil), now) || s.Blocked(Fingerprint("b", "/x", nil), now) {
		t.Error("the request is blocked for the wrong workspace")
	}
}
