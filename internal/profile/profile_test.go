package profile

import (
	"errors"
	"testing"
	"time"

	"bulrushspoke/internal/settings"
)

// Guards against accepting invalid documents, and against errors that do not name the path of the invalid field.
func TestParse(t *testing.T) {
	d, err := Parse([]byte(`{"profiles": [{"name": "live", "class": "live", "deadline": "1m30s"}, {"name": "b", "class": "train"}]}`))
	if err != nil || Deadline(d.Profiles[0]) != 90*time.Second || d.Profiles[1].Concurrency != DefaultConcurrency {
		t.Fatalf("parsed %+v, %v", d, err)
	}
	for text, path := range map[string]string{
		`{"profiles": [{"name": "a", "class": "fast"}]}`:                                          "/profiles/0/class",
		`{"profiles": [{"name": "a", "class": "live", "deadline": "0s"}]}`:                        "/profiles/0/deadline",
		`{"profiles": [{"name": "a", "class": "live", "deadline": "10"}]}`:                        "/profiles/0/deadline",
		`{"profiles": [{"name": "a", "class": "live"}, {"name": "a", "class": "live"}]}`:          "/profiles/1/name",
		`{"profiles": [{"name": "a", "class": "live", "once": true, "hedge": true}]}`:             "/profiles/0/hedge",
		`{"profiles": [{"name": "a", "class": "live", "tokens": 0}]}`:                             "/profiles/0/tokens",
		`{"profiles": [{"name": "a", "class": "live", "concurency": 3}]}`:                         "/profiles/0/concurency",
		`{"profiles": [{"name": "a", "class": "live", "concurrency": 3, "deadline": "24h"}, {}]}`: "/profiles/1/name",
	} {
		var e *settings.Error
		if _, err := Parse([]byte(text)); !errors.As(err, &e) || e.Path() != path {
			t.Fatalf("%s: %v, want an error at %s", text, err, path)
		}
	}
}
