package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const testSchema = `{
	"type": "object",
	"additionalProperties": false,
	"required": ["secret", "wait"],
	"properties": {
		"secret": {"type": "string", "minLength": 4},
		"wait": {"type": "string", "pattern": "^[0-9]+(ms|s)$"},
		"servers": {"type": "array", "items": {"type": "object", "properties": {"slots": {"type": "integer", "minimum": 1}}}}
	}
}`

type target struct {
	Secret string   `json:"secret"`
	Wait   Duration `json:"wait"`
}

// Guards against errors that do not name the invalid setting, and against secrets in their text.
func TestErrorNamesTheSetting(t *testing.T) {
	for _, c := range []struct{ text, path, value string }{
		{`{"secret": "hidden", "wait": "1s", "wiat": 3}`, "/wiat", "3"},
		{`{"secret": "hidden", "wait": "1s", "other": {"secret": "hidden"}}`, "/other", "an object"},
		{`{"secret": "hidden", "wait": "5"}`, "/wait", `"5"`},
		{`{"secret": "hidden"}`, "/wait", "absent"},
		{`{"secret": "abc", "wait": "1s"}`, "/secret", "hidden"},
		{`{"secret": "hidden", "wait": "1s", "servers": [{"slots": 0}]}`, "/servers/0/slots", "0"},
	} {
		var got target
		var e *Error
		if err := Parse([]byte(c.text), []byte(testSchema), &got); !errors.As(err, &e) {
			t.Fatalf("%s: %v, want *Error", c.text, err)
		}
		if e.Path() != c.path || e.Value() != c.value || e.Allowed() == "" {
			t.Fatalf("%s: path %s, value %s, allowed %q", c.text, e.Path(), e.Value(), e.Allowed())
		}
	}
}

// Guards against defaults being overwritten by a file that omits the setting.
func TestDefaultsPreserved(t *testing.T) {
	got := target{Wait: Duration(time.Minute)}
	if err := Parse([]byte(`{"secret": "hidden", "wait": "250ms"}`), []byte(testSchema), &got); err != nil {
		t.Fatalf("parse: %v", err)
	}
	if got.Wait.Std() != 250*time.Millisecond {
		t.Fatalf("wait is %s", got.Wait.Std())
	}
}

// Guards against a secret that includes the line end of its file, and against accepting one that is too short.
func TestSecretFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "secret")
	for text, want := range map[string]string{"0123456789abcdef\n": "0123456789abcdef", "short\n": ""} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatalf("write: %v", err)
		}
		got, err := Secret("", file)
		if got != want || (err == nil) != (want != "") {
			t.Fatalf("%q: secret %q, %v", text, got, err)
		}
	}
}
