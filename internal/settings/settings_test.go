package settings

import (
	"errors"
	"testing"
	"time"
)

const testSchema = `{
	"type": "object",
	"additionalProperties": false,
	"required": ["secret", "wait"],
	"properties": {
		"secret": {"type": "string"},
		"wait": {"type": "string", "pattern": "^[0-9]+(ms|s)$"},
		"servers": {"type": "array", "items": {"type": "object", "properties": {"slots": {"type": "integer", "minimum": 1}}}}
	}
}`

type target struct {
	Secret string   `json:"secret"`
	Wait   Duration `json:"wait"`
}

// Guards against errors that do not tell which setting is wrong, and against secrets in them.
func TestErrorNamesTheSetting(t *testing.T) {
	for _, c := range []struct{ text, path, value string }{
		{`{"secret": "hidden", "wait": "1s", "wiat": 3}`, "/wiat", "3"},
		{`{"secret": "hidden", "wait": "1s", "other": {"secret": "hidden"}}`, "/other", "an object"},
		{`{"secret": "hidden", "wait": "5"}`, "/wait", `"5"`},
		{`{"secret": "hidden"}`, "/wait", "absent"},
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

// Guards against defaults that a file without the setting overwrites.
func TestDefaultsStay(t *testing.T) {
	got := target{Wait: Duration(time.Minute)}
	if err := Parse([]byte(`{"secret": "s", "wait": "250ms"}`), []byte(testSchema), &got); err != nil {
		t.Fatalf("parse: %v", err)
	}
	if got.Wait.Std() != 250*time.Millisecond {
		t.Fatalf("wait is %s", got.Wait.Std())
	}
}
