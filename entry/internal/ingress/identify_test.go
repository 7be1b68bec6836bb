package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/platform/platformtest"
)

const testKey = "key-of-alder"

// withKeys gives the rig's configuration the workspace "alder" with testKey and an open route under /open/.
func (r *rig) withKeys(t *testing.T) {
	t.Helper()
	n := *r.catalog.Config()
	d, err := workspace.NewDirectory([]workspace.Entry{
		{Workspace: workspace.Workspace{Name: "alder", Priority: 2, Ranked: true}, Keys: []string{testKey}},
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

// Guards against service without a valid key, against a key or a forged workspace that reaches a server or the log, and
// against open routes that need a key or lose the workspace of a known one.
func TestKeys(t *testing.T) {
	s := newServer(t, respondOK)
	r := newRig(t, catalog.Route{Kind: catalog.Safe}, s)
	var log bytes.Buffer
	var mu sync.Mutex
	r.ingress.Logger = slog.New(slog.NewTextHandler(writerFunc(func(b []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return log.Write(b)
	}), nil))
	r.withKeys(t)
	for _, c := range []struct {
		name, path, key string
		status          int
		want            platformtest.Sender
	}{
		{"known key", "/p/x", testKey, 200, platformtest.Sender{Workspace: "alder", Priority: "2"}},
		{"unknown key", "/p/x", "nobody's key", 401, platformtest.Sender{}},
		{"no key", "/p/x", "", 401, platformtest.Sender{}},
		{"no route, no key", "/x", "", 401, platformtest.Sender{}},
		{"no route", "/x", testKey, 404, platformtest.Sender{}},
		{"open route, known key", "/open/" + testKey, testKey, 200, platformtest.Sender{Workspace: "alder", Priority: "2"}},
		{"open route, unknown key", "/open/x", "nobody's key", 200, platformtest.Sender{Priority: "5"}},
		{"open route, no key", "/open/x", "", 200, platformtest.Sender{Priority: "5"}},
	} {
		before := len(s.requests())
		h := http.Header{"X-Copy": {"<" + c.key + ">"}, "X-Custom": {"kept"}}
		platformtest.SetWorkspace(h, "forged")
		if c.key != "" {
			platformtest.SetKey(h, c.key)
		} else {
			h.Del("X-Copy")
		}
		header := make(map[string]string)
		for name := range h {
			header[name] = h.Get(name)
		}
		resp, _, err := r.send(t, "GET", c.path, "", header)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != c.status || (resp.Header.Get("Www-Authenticate") != "") != (c.status == 401) {
			t.Errorf("%s: answered %d, want %d", c.name, resp.StatusCode, c.status)
		}
		received := s.requests()[before:]
		if (len(received) == 1) != (c.status == 200) {
			t.Errorf("%s: %d requests reached the server", c.name, len(received))
		}
		for _, q := range received {
			if d := cmp.Diff(c.want, platformtest.DecodeSender(q.Header)); d != "" {
				t.Errorf("%s: the server saw (-want +got):\n%s", c.name, d)
			}
			if q.Header.Get("X-Custom") != "kept" || c.key != "" && strings.Contains(fmt.Sprint(q.Header), c.key) {
				t.Errorf("%s: the server got the headers %v", c.name, q.Header)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if strings.Contains(log.String(), testKey) || strings.Contains(log.String(), "nobody's key") {
		t.Errorf("the log contains a key:\n%s", log.String())
	}
}

// writerFunc is an io.Writer.
type writerFunc func(b []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// Guards against a process that refuses valid keys because it knows none yet.
func TestNoConfigurationIsNoDenial(t *testing.T) {
	r := newRig(t, catalog.Route{Kind: catalog.Safe})
	r.ingress.Catalog = catalog.New(slog.New(slog.DiscardHandler))
	resp, _, err := r.send(t, "GET", "/p/x", "", nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("answered %v, %v; want 503 with a retry time", resp, err)
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
	// Without a body the connection stays.
	c, err := net.Dial("tcp4", r.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for range 2 {
		if _, err := io.WriteString(c, "GET /p/x HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusUnauthorized {
			t.Fatalf("answered %v, %v; want 401", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

// Guards against jobs that are read without a key because some other route is open, and against the rejection of a job by an
// entry that has the first configuration with workspaces later than the one that accepted it.
func TestJobCallsNeedKeys(t *testing.T) {
	r := newRig(t, catalog.Route{Kind: catalog.Batch})
	jobs := &knownJob{id: "j1", owner: "alder"}
	r.ingress.Jobs = jobs
	reads := 0
	r.ingress.identifier.refresh = newRefresher(func(context.Context) error {
		reads++
		r.withKeys(t)
		return nil
	}, slog.New(slog.DiscardHandler))
	get := func(key string, want int) {
		t.Helper()
		header := make(map[string]string)
		if key != "" {
			h := make(http.Header)
			platformtest.SetKey(h, key)
			for name := range h {
				header[name] = h.Get(name)
			}
		}
		resp, _, err := r.send(t, "GET", "/lots/j1?after=0", "", header)
		if err != nil || resp.StatusCode != want {
			t.Errorf("with the key %q the answer is %v, %v; want %d", key, resp, err, want)
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

// Guards against a key in the stored payload of a job, and against a job that is accepted for another workspace.
func TestSubmissionKeepsNoKey(t *testing.T) {
	r := newRig(t, catalog.Route{Kind: catalog.Batch})
	jobs := &knownJob{}
	r.ingress.Jobs = jobs
	r.withKeys(t)
	h := make(http.Header)
	platformtest.SetKey(h, testKey)
	body := `{"items":[{"id":"a","headers":{"X-Copy":"<` + testKey + `>"}}]}`
	for name := range h {
		resp, _, err := r.send(t, "POST", "/p/", body, map[string]string{name: h.Get(name)})
		if err != nil || resp.StatusCode != http.StatusAccepted {
			t.Fatalf("answered %v, %v", resp, err)
		}
	}
	if jobs.owner != "alder" || jobs.body != `{"items":[{"headers":{},"id":"a"}]}` {
		t.Errorf("submitted for %q: %s", jobs.owner, jobs.body)
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
	s := NewSuspects(func(uint64, bool) {})
	now := time.Now()
	for range crashLimit {
		s.RecordCrash(Fingerprint("a", "/x", nil), now)
	}
	if !s.Blocked(Fingerprint("a", "/x", nil), now) || s.Blocked(Fingerprint("b", "/x", nil), now) {
		t.Error("the request is blocked for the wrong workspace")
	}
}
