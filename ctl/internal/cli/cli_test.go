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
	inForce  = `{"revision": 4, "document": {"change": "c4", "profiles": [{"name": "a", "class": "live", "deadline": "30s", "tokens": 4096, "concurrency": 64}]}}`
	sameFile = `{"profiles": [{"name": "a", "class": "live"}]}`
	newFile  = `{"profiles": [{"name": "a", "class": "live", "tokens": 9}, {"name": "b", "class": "train"}]}`
)

// entry is an entry whose answers to changes a test gives; it keeps their headers.
type entry struct {
	mu      sync.Mutex
	changes []string
	answer  func(n int, ctx *fasthttp.RequestCtx) // n counts the changes from 1
}

func (e *entry) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Request.Header.Peek("Authorization")) != "Bearer t" {
		ctx.SetStatusCode(401)
		ctx.SetBodyString(`{"error": {"code": "unauthorized", "message": "m", "ran": "no"}}`)
		return
	}
	if ctx.IsGet() {
		ctx.SetBodyString(inForce)
		return
	}
	e.mu.Lock()
	h := &ctx.Request.Header
	e.changes = append(e.changes, string(h.Peek("If-Match"))+" "+string(h.Peek("Change-Id")))
	n := len(e.changes)
	e.mu.Unlock()
	e.answer(n, ctx)
}

// start runs the entry and returns its URL.
func (e *entry) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = fasthttp.Serve(l, e.serve) }()
	t.Cleanup(func() { _ = l.Close() })
	return "http://" + l.Addr().String()
}

func write(t *testing.T, text string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), "f.json")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// expect runs a command and checks its exit status and that its output holds some words.
func expect(t *testing.T, status int, words string, args ...string) {
	t.Helper()
	var out, errs strings.Builder
	got := run(args, &out, &errs)
	all := strings.Join(strings.Fields(out.String()+errs.String()), " ")
	if got != status || !strings.Contains(all, words) {
		t.Fatalf("%v: exit status %d, want %d with %q in %q", args, got, status, words, all)
	}
}

// Guards against a lost race that looks like success or hides the winner.
func TestApplyLostRace(t *testing.T) {
	e := &entry{answer: func(_ int, ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(409)
		ctx.SetBodyString(`{"error": {"code": "conflict", "message": "m", "ran": "no"}, "winner": {"revision": 5,
			"document": {"change": "c5", "profiles": [{"name": "won", "class": "live", "deadline": "1s", "tokens": 1, "concurrency": 1}]}}}`)
	}}
	expect(t, exitConflict, "won live", "--url", e.start(t), "--token", "t", "apply", write(t, newFile))
	if len(e.changes) != 1 || !strings.HasPrefix(e.changes[0], "4 ") {
		t.Fatalf("changes %v", e.changes)
	}
}

// Guards against a change that is made twice, or given up, because its answer was lost.
func TestApplyLostAnswer(t *testing.T) {
	e := &entry{answer: func(n int, ctx *fasthttp.RequestCtx) {
		if n == 1 {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
			return
		}
		ctx.SetBodyString(inForce)
	}}
	expect(t, 0, "revision 4", "--url", e.start(t), "--token", "t", "apply", "--revision", "3", write(t, newFile))
	if len(e.changes) != 2 || e.changes[0] != e.changes[1] {
		t.Fatalf("changes %v", e.changes)
	}
	f := &entry{answer: func(_ int, ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(502)
		ctx.SetBodyString(`{"error": {"code": "outcome_unknown", "message": "m", "ran": "unknown"}}`)
	}}
	expect(t, exitUnknown, "--revision 3 --change x1",
		"--url", f.start(t), "--token", "t", "apply", "--revision", "3", "--change", "x1", write(t, newFile))
}

// Guards against exit statuses that scripts cannot rely on.
func TestExitStatuses(t *testing.T) {
	e := &entry{}
	u := e.start(t)
	expect(t, 0, "no difference", "--url", u, "--token", "t", "diff", write(t, sameFile))
	expect(t, exitDifferent, "a tokens=4096 tokens=9 b absent present", "--url", u, "--token", "t", "diff", write(t, newFile))
	expect(t, exitDenied, "unauthorized", "--url", u, "--token", "x", "list")
	expect(t, exitAbsent, "no profile z", "--url", u, "--token", "t", "show", "z")
	expect(t, exitUnreachable, "does not answer", "--url", "http://127.0.0.1:1", "apply", "--revision", "0", write(t, newFile))
	expect(t, exitUsage, "", "prune")
	expect(t, settings.ExitCode, "/profiles/0/class", "check", write(t, `{"profiles": [{"name": "a", "class": "b"}]}`))
	expect(t, settings.ExitCode, "daemon", "check", write(t, `{"servers": []}`))
	expect(t, 0, "valid", "check", "../../../examples/granite/entry.json", "../../../examples/granite/profiles.json")
}

// Guards against a page for operators that lacks a command or an exit status.
func TestPage(t *testing.T) {
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
	if want := exitAbsent + 2; len(listed) != want {
		t.Fatalf("docs/ctl.md lists %d exit statuses, want %d", len(listed), want)
	}
}
