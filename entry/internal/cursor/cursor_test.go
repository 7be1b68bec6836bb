package cursor

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Guards against slots that are lost or added by the encoding, and against a cursor of another step that is accepted.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5000).Draw(t, "slots")
		digest := rapid.Uint64().Draw(t, "digest")
		s := New(digest, slots)
		held := make(map[int]bool)
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, slots-1), 0, 50).Draw(t, "held") {
			s.Add(i)
			held[i] = true
		}
		got, err := Parse(s.String(), digest, slots)
		if err != nil {
			t.Fatalf("parse: %v", err)
		}
		for i := range slots {
			if got.Has(i) != held[i] {
				t.Fatalf("slot %d: %t, want %t", i, got.Has(i), held[i])
			}
		}
		if got.Count() != len(held) || got.Full() != (len(held) == slots) {
			t.Fatalf("count %d, full %t with %d of %d slots", got.Count(), got.Full(), len(held), slots)
		}
		var f *FormatError
		if _, err := Parse(s.String(), digest+1, slots); !errors.As(err, &f) {
			t.Fatalf("cursor of another step gives %v", err)
		}
		if _, err := Parse(s.String(), digest, slots+8); !errors.As(err, &f) {
			t.Fatalf("cursor of another size gives %v", err)
		}
	})
}

// Guards against a client that sends a cursor with slots that do not exist.
func TestSpareBits(t *testing.T) {
	s := New(1, 8)
	s.Add(7)
	var f *FormatError
	if _, err := Parse(s.String(), 1, 7); !errors.As(err, &f) {
		t.Fatalf("spare bit gives %v, want a FormatError", err)
	}
	if _, err := Parse("%%", 1, 7); !errors.As(err, &f) {
		t.Fatalf("other text gives %v, want a FormatError", err)
	}
}
