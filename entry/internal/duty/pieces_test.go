package duty

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/internal/metering"
	"bulrushspoke/wire"
)

// Guards against messages that exceed the limit of a frame between entries, which closes the link, and against pieces that mark
// windows as complete before all counts have arrived.
func TestPieces(t *testing.T) {
	const frame = 4 << 20
	m := wire.UsageCounts{Entry: "a", Inc: "i", Through: 3, Bye: true}
	for w := range int64(3) {
		counts := make(wire.UsageWindowCounts)
		for i := range 60_000 {
			counts[fmt.Sprintf("workspace-with-a-long-name-%d", i)] = i + 1
		}
		m.Windows = append(m.Windows, wire.UsageWindow{Window: w + 1, Counts: counts})
	}
	c := metering.NewCollector()
	l := pieces(m)
	for i, p := range l {
		b, err := cbor.Marshal(p)
		if err != nil || len(b) > frame {
			t.Fatalf("piece of %d bytes, %v", len(b), err)
		}
		if missing := c.Missing(1, []string{"a"}); len(missing) != 1 {
			t.Fatalf("windows are complete before piece %d of %d", i+1, len(l))
		}
		c.Merge(fromWire(p))
	}
	if len(l) < 2 || len(c.Missing(3, []string{"a"})) > 0 || !c.Ended("a") {
		t.Errorf("%d pieces, not complete", len(l))
	}
	for _, w := range m.Windows {
		if got := c.Total(w.Window); len(got) != len(w.Counts) {
			t.Errorf("window %d: %d counts, want %d", w.Window, len(got), len(w.Counts))
		}
	}
}
