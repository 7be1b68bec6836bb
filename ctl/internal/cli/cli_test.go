package cli

import (
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/settings"
)

const (
	currentConfig   = `{"revision": 4, "document": {"change": "c4", "profiles": [{"name": "a", "class": "live", "deadline": "30s", "tokens": 4096, "concurrency": 64}]}}`
	equalProfiles   = `{"profiles": [{"name": "a", "class": "live"}]}`
	changedProfiles = `{"profiles": [{"name": "a", "class": "live", "tokens": 9}, {"name": "b", "class": "train"}]}`
)

// fakeEntry serves the HTTP interface of an entry, records the headers of changes and lets a test respond to them.
type fakeEntry struct {
	mu      sync.Mutex
	changes []string
	respond func(n int, ctx *fasthttp.RequestCtx) // n is the number of the change, starting at 1
}

func (e *fakeEntry) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Request.Header.Peek("Authorization")) != "Bearer t" {
		ctx.SetStatusCode(401)
		ctx.SetBodyString(`{"error": {"code": "unauthorized", "message": "m", "ran": "no"}}`)
		return
	}
	if ctx.IsGet() {
		ctx.SetBodyString(currentConfig)
		return
	}
	e.mu.Lock()
	h := &ctx.Request.Header
	e.changes = append(e.changes, string(h.Peek("If-Match"))+" "+string(h.Peek("Change-Id")))
	n := len(e.changes)
	e.mu.Unlock()
	e.respond(n, ctx)
}

// start serves the entry on a local port and returns its URL.
func (e *fakeEntry) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = fasthttp.Serve(l, e.serve) }()
	t.Cleanup(func() { _ = l.Close() })
	return "http://" + l.Addr().String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), "f.json")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// expectRun runs a command and checks its exit status and that its output contains want, ignoring white space.
func expectRun(t *testing.T, status int, want string, args ...string) {
	t.Helper()
	var out, errs strings.Builder
	got := run(args, &out, &errs)
	all := strings.Join(strings.Fields(out.String()+errs.String()), " ")
	if got != status || !strings.Contains(all, want) {
		t.Fatalf("%v: exit status %d, want %d with %q in %q", args, got, status, want, all)
	}
}

// Guards against reporting success after a conflict, and against not printing the configuration that won.
func TestApplyLostRace(t *testing.T) {
	e := &fakeEntry{respond: func(_ int, ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(409)
		ctx.SetBodyString(`{"error": {"code": "conflict", "message": "m", "ran": "no"}, "winner": {"revision": 5,
			"document": {"change": "c5", "profiles": [{"name": "won", "class": "live", "deadline": "1s", "tokens": 1, "concurrency": 1}]}}}`)
	}}
	expectRun(t, exitConflict, "won live", "--url", e.start(t), "--token", "t", "apply", writeFile(t, changedProfiles))
	if len(e.changes) != 1 || !strings.HasPrefix(e.changes[0], "4 ") {
		t.Fatalf("changes %v", e.changes)
	}
}

// Guards against a change that is applied twice, or abandoned, because its response was lost.
func TestApplyLostAnswer(t *testing.T) {
	e := &fakeEntry{respond: func(n int, ctx *fasthttp.RequestCtx) {
		if n == 1 {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
			return
		}
		ctx.SetBodyString(currentConfig)
	}}
	expectRun(t, 0, "revision 4", "--url", e.start(t), "--token", "t", "apply", "--revision", "3", writeFile(t, changedProfiles))
	if len(e.changes) != 2 || e.changes[0] != e.changes[1] {
		t.Fatalf("changes %v", e.changes)
	}
	f := &fakeEntry{respond: func(_ int, ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(502)
		ctx.SetBodyString(`{"error": {"code": "outcome_unknown", "message": "m", "ran": "unknown"}}`)
	}}
	expectRun(t, exitUnknown, "--revision 3 --change x1",
		"--url", f.start(t), "--token", "t", "apply", "--revision", "3", "--change", "x1", writeFile(t, changedProfiles))
}

// Guards against commands that exit with another status than the documented one, on which scripts rely.
func TestExitStatuses(t *testing.T) {
	e := &fakeEntry{}
	u := e.start(t)
	expectRun(t, 0, "no difference", "--url", u, "--token", "t", "diff", writeFile(t, equalProfiles))
	expectRun(t, exitDiffers, "a tokens=4096 tokens=9 b absent present", "--url", u, "--token", "t", "diff", writeFile(t, changedProfiles))
	expectRun(t, exitDenied, "unauthorized", "--url", u, "--token", "x", "list")
	expectRun(t, exitNotFound, "no profile z", "--url", u, "--token", "t", "show", "z")
	expectRun(t, exitUnreachable, "no response from http://127.0.0.1:1", "--url", "http://127.0.0.1:1", "apply", "--revision", "0", writeFile(t, changedProfiles))
	expectRun(t, exitUsage, "", "prune")
	expectRun(t, settings.ExitCode, "/profiles/0/class", "check", writeFile(t, `{"profiles": [{"name": "a", "class": "b"}]}`))
	expectRun(t, settings.ExitCode, "daemon", "check", writeFile(t, `{"servers": []}`))
	expectRun(t, 0, "valid", "check", "../../../examples/granite/entry.json", "../../../examples/granite/profiles.json")
}

// Guards against commands or exit statuses missing from docs/ctl.md.
func TestDocumentedCommandsAndStatuses(t *testing.T) {
	page, err := os.ReadFile("../../../docs/ctl.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range commands(&app{}) {
		if !strings.Contains(string(page), "| `"+c.name) {
			t.Fatalf("docs/ctl.md lacks the command %s", c.name)
		}
	}
	listed := regexp.MustCompile(`(?m)^\| \d+ \|`).FindAllString(string(page), -1)
	if want := exitNotFound + 2; len(listed) != want {
		t.Fatalf("docs/ctl.md lists %d exit statuses, want %d", len(listed), want)
	}
}
