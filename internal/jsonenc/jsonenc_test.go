package jsonenc

import (
	"encoding/json"
	"strings"
	"testing"
)

// Guards against texts that are larger than their stated size, in which the store refuses their record each time.
func TestStringSize(t *testing.T) {
	var all strings.Builder
	for r := range rune(0x3000) {
		all.WriteRune(r)
	}
	for _, s := range []string{"", "plain", "<td>a & b</td>", "\"\\\n\r\t\b\f\x00\x1f\x7f", "\u2028\u2029", "\xff\xc0", "\xe2\x80", "é世😀", all.String()} {
		b, err := Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if got := StringSize(s); got != len(b) {
			t.Errorf("size of %.20q is %d, want %d", s, got, len(b))
		}
	}
}

// Guards against raw messages that are escaped when they become a part of another value.
func TestMarshalKeepsMarkup(t *testing.T) {
	b, err := Marshal(map[string]any{"spec": json.RawMessage(`{"text": "<b>&"}`)})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"spec":{"text":"<b>&"}}`; string(b) != want {
		t.Errorf("got %s, want %s", b, want)
	}
}
