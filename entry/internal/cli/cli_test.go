package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bulrushspoke/internal/profile"
	"bulrushspoke/internal/program"
	"bulrushspoke/internal/settings"
)

const minimal = `{"name": "e", "domain": "d", "region": "r", "listen": "127.0.0.1:0", "link": {"listen": "127.0.0.1:0"},
	"secret": "0123456789abcdef", "store": {"url": "http://127.0.0.1:1"},
	"tokens": [{"token": "0123456789abcdef", "workspace": "t", "role": "operator"}]`

// Guards against example settings and defaults that the program itself rejects.
func TestSamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/entry.json")
	if err != nil || len(files) != 2 {
		t.Fatalf("samples %v, %v", files, err)
	}
	for _, f := range files {
		c, err := load(f)
		if err != nil {
			t.Fatalf("%s: %v", f, err)
		}
		text, err := os.ReadFile(filepath.Join(filepath.Dir(f), "profiles.json"))
		if err != nil {
			t.Fatal(err)
		}
		d, err := profile.Parse(text)
		if err != nil {
			t.Fatalf("profiles beside %s: %v", f, err)
		}
		known := make(map[string]bool)
		for _, p := range d.Profiles {
			known[p.Name] = true
		}
		for _, k := range c.Tokens {
			if k.Profile != "" && !known[k.Profile] {
				t.Fatalf("%s: a token has the unknown profile %s", f, k.Profile)
			}
		}
	}
}

// Guards against invalid settings that are accepted, or rejected without the path of the invalid setting.
func TestInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.json")
	for extra, want := range map[string]string{
		`, "colour": 1}`:                                                      "/colour",
		`, "timeouts": {"ack": "1"}}`:                                         "/timeouts/ack",
		`, "timeouts": {"ack": "0s"}}`:                                        "/timeouts/ack",
		`, "timeouts": {"resume": "1ms"}}`:                                    "/timeouts/resume",
		`, "limits": {"body": 1}}`:                                            "/limits/body",
		`, "peers": [{"name": "d", "role": "db", "address": "h:1"}]}`:         "/peers/0/role",
		`, "peers": [{"name": "d", "role": "daemon", "address": "h"}]}`:       "/peers/0/address",
		`, "tokens": [{"token": "short", "workspace": "t", "role": "caller"}`: "/",
	} {
		if err := os.WriteFile(path, []byte(minimal+extra), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errs strings.Builder
		if code := program.Run(t.Context(), name, []string{"--config", path}, &out, &errs, program.Loaders{File: prepare}); code != settings.ExitCode {
			t.Fatalf("%s: exit status %d", extra, code)
		}
		if !strings.HasPrefix(errs.String(), "settings: "+want+" is ") {
			t.Fatalf("%s: %s", extra, errs.String())
		}
	}
	if err := os.WriteFile(path, []byte(minimal+"}"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs strings.Builder
	if code := program.Run(t.Context(), name, []string{"--config", path, "--check"}, &out, &errs, program.Loaders{File: prepare}); code != 0 {
		t.Fatalf("minimal settings: %d %s", code, errs.String())
	}
}
