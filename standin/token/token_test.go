package token_test

import (
	"strings"
	"testing"

	"bulrushspoke/standin/token"
	"bulrushspoke/wire"
)

// Guards against a Check that accepts an answer that is truncated, reordered, partly from another prompt, or attributed
// to the wrong weight version.
func TestCheck(t *testing.T) {
	a, b, c := token.Make("p", 0, 1), token.Make("p", 1, 1), token.Make("p", 2, 2)
	spans := []wire.Span{{First: 0, Last: 1, Version: 1}, {First: 2, Last: 2, Version: 2}}
	if err := token.Check("p", a+b+c, spans); err != nil {
		t.Fatalf("good answer: %v", err)
	}
	for name, bad := range map[string]struct {
		text  string
		spans []wire.Span
	}{
		"cut":         {strings.TrimSuffix(a+b+c, " "), spans},
		"missing":     {a + c, spans},
		"reordered":   {b + a + c, spans},
		"repeated":    {a + b + b, spans},
		"other":       {a + token.Make("q", 1, 1) + c, spans},
		"version":     {a + token.Make("p", 1, 2) + c, spans},
		"short spans": {a + b + c, spans[:1]},
		"gap":         {a + b + c, spans[1:]},
		"long spans":  {a + b, spans},
	} {
		if token.Check("p", bad.text, bad.spans) == nil {
			t.Fatalf("%s: passed", name)
		}
	}
}
