package event

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a reference page that lacks an event, keeps a removed one or shows another level or text, and against
// two events with the same number.
func TestCataloguePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatalf("read docs/events.md: %v", err)
	}
	var documented []string
	for _, m := range regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (.+?) \| \S.* \|$`).FindAllSubmatch(page, -1) {
		documented = append(documented, fmt.Sprintf("%s %s %s", m[1], m[2], m[3]))
	}
	var defined []string
	for i, e := range Catalogue() {
		if i > 0 && Catalogue()[i-1].Number() == e.Number() {
			t.Fatalf("two events have number %d", e.Number())
		}
		defined = append(defined, fmt.Sprintf("%d %s %s", e.Number(), e.Level(), e.Text()))
	}
	if d := cmp.Diff(defined, documented); d != "" {
		t.Fatalf("docs/events.md differs from the code (-code +page):\n%s", d)
	}
}
