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

// Guards against a setting that the page for operators lacks, and a page that describes a removed one.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatalf("settings page: %v", err)
	}
	for program, text := range map[string][]byte{"bulrush-entry": schema.Entry, "bulrush-daemon": schema.Daemon} {
		_, section, _ := strings.Cut(string(page), "## "+program+"\n")
		section, _, _ = strings.Cut(section, "\n## ")
		written := make(map[string]bool)
		for _, m := range row.FindAllStringSubmatch(section, -1) {
			written[m[1]] = true
		}
		defined, err := settings.Names(text)
		if err != nil {
			t.Fatalf("%s: %v", program, err)
		}
		for _, n := range defined {
			if !written[n] {
				t.Fatalf("%s: docs/settings.md lacks %s", program, n)
			}
			delete(written, n)
		}
		if len(written) > 0 {
			t.Fatalf("%s: docs/settings.md describes %v, which the schema lacks", program, written)
		}
	}
}
