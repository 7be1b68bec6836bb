package typical

import (
	"strconv"
	"testing"
	"time"
)

// Guards against a usual value from too few values, one that a single value decides, one of another name, one that old
// values decide, and against values and names without end.
func TestValues(t *testing.T) {
	d := New[time.Duration](5, 3)
	for i, v := range []time.Duration{2, 1, 900} {
		if got := d.Of("a"); got != 0 {
			t.Errorf("usual value %d after %d", got, i)
		}
		d.Note("a", v)
	}
	if a, b := d.Of("a"), d.Of("b"); a != 2 || b != 0 {
		t.Errorf("usual values %d and %d, want 2 and none", a, b)
	}
	for range 3 {
		d.Note("a", 50)
	}
	if got := d.Of("a"); got != 50 {
		t.Errorf("usual value %d after three newer ones of 50", got)
	}
	for range 100 {
		d.Note("a", 50)
	}
	if n := len(d.names["a"].last); n > 5 {
		t.Errorf("%d values are kept, want 5 at most", n)
	}
	for i := range 2 * namesMost {
		d.Note(strconv.Itoa(i), 1)
	}
	if len(d.names) > namesMost {
		t.Errorf("%d names are remembered, want %d at most", len(d.names), namesMost)
	}
}
