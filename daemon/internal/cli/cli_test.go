package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/program"
	"bulrushspoke/internal/settings"
)

const minimalSettings = `{"name": "d", "domain": "a", "region": "r", "listen": "127.0.0.1:0", "secret": "0123456789abcdef",
	"store": {"url": "http://127.0.0.1:1"},
	"servers": [{"name": "e", "kind": "engine", "model": "m", "url": "http://127.0.0.1:1", "slots": 1}]`

// Guards against example settings that the program rejects.
func TestExampleSettings(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/daemon.json")
	if err != nil || len(files) != 2 {
		t.Fatalf("example settings %v, %v; want 2 files", files, err)
	}
	for _, f := range files {
		if _, err := load(f); err != nil {
			t.Fatalf("%s: %v", f, err)
		}
	}
}

// Guards against starting with invalid settings, and against errors that do not name the setting.
func TestInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "daemon.json")
	for extra, want := range map[string]string{
		`, "colour": 1}`:                             "/colour",
		`, "poll": "5"}`:                             "/poll",
		`, "poll": "0s"}`:                            "/poll",
		`, "queue": {"live": 0}}`:                    "/queue/live",
		`, "log": {"level": "loud"}}`:                "/log/level",
		`, "listen": "nowhere"}`:                     "/listen",
		`, "secretfile": "absent"}`:                  "/",
		`, "servers": [{"name": "e", "kind": "db"}]`: "/",
	} {
		if err := os.WriteFile(path, []byte(minimalSettings+extra), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errs strings.Builder
		if code := program.Run(t.Context(), name, []string{"--config", path}, &out, &errs, program.Loaders{File: loadFile}); code != settings.ExitCode {
			t.Fatalf("%s: exit status %d", extra, code)
		}
		if !strings.HasPrefix(errs.String(), "settings: "+want) {
			t.Fatalf("%s: %s", extra, errs.String())
		}
	}
	if err := os.WriteFile(path, []byte(minimalSettings+"}"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs strings.Builder
	if code := program.Run(t.Context(), name, []string{"--config", path, "--check"}, &out, &errs, program.Loaders{File: loadFile}); code != 0 {
		t.Fatalf("minimal settings: %d %s", code, errs.String())
	}
}

// Guards against a daemon that reports ready while it drains, and against missing metrics.
func TestHealthAndMetrics(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", nil)
	c := dialDaemon(t, d)
	c.submit(completionWork("a", 1))
	e.allowTokens(1)
	c.readResult("a", 0)
	get := func(path string) (int, string) {
		status, body, err := fasthttp.Get(nil, "http://"+d.address+path)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		return status, string(body)
	}
	for _, path := range []string{"/health/live", "/health/ready"} {
		if status, _ := get(path); status != fasthttp.StatusOK {
			t.Fatalf("%s returned status %d, want 200", path, status)
		}
	}
	_, text := get("/metrics")
	for _, want := range []string{"queue_wait", "first_token", "total"} {
		if !strings.Contains(text, `bulrush_daemon_`+want+`_seconds_count{class="live",workspace="t"} 1`) {
			t.Fatalf("no %s in:\n%s", want, text)
		}
	}
	c.submit(completionWork("b", 1))
	d.stop()
	eventually(t, "not ready", func() bool { status, _ := get("/health/ready"); return status == fasthttp.StatusServiceUnavailable })
	e.allowTokens(1)
}
