package schema_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"bulrushspoke/internal/schema"
	"bulrushspoke/internal/settings"
)

var row = regexp.MustCompile("(?m)^\\| `([a-z.]+)` \\|")

// Guards against settings that docs/settings.md lacks, and against removed ones that it still describes.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatalf("read docs/settings.md: %v", err)
	}
	for program, text := range map[string][]byte{"bulrush-entry": schema.Entry, "bulrush-daemon": schema.Daemon} {
		_, section, _ := strings.Cut(string(page), "## "+program+"\n")
		section, _, _ = strings.Cut(section, "\n## ")
		documented := make(map[string]bool)
		for _, m := range row.FindAllStringSubmatch(section, -1) {
			documented[m[1]] = true
		}
		defined, err := settings.Names(text)
		if err != nil {
			t.Fatalf("%s: %v", program, err)
		}
		for _, n := range defined {
			if !documented[n] {
				t.Fatalf("%s: docs/settings.md does not describe %s", program, n)
			}
			delete(documented, n)
		}
		if len(documented) > 0 {
			t.Fatalf("%s: docs/settings.md describes settings that are not in the schema: %v", program, documented)
		}
	}
}
