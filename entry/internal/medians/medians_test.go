package medians

import (
	"strconv"
	"testing"
	"time"
)

// Guards against a median of too few values, one that a single outlier, another name or outdated values decide, and
// against unlimited values and names.
func TestValues(t *testing.T) {
	d := New[time.Duration](5, 3)
	for i, v := range []time.Duration{2, 1, 900} {
		if got := d.Median("a"); got != 0 {
			t.Errorf("median %d after %d values, want none", got, i)
		}
		d.Add("a", v)
	}
	if a, b := d.Median("a"), d.Median("b"); a != 2 || b != 0 {
		t.Errorf("medians %d and %d, want 2 and none", a, b)
	}
	for range 3 {
		d.Add("a", 50)
	}
	if got := d.Median("a"); got != 50 {
		t.Errorf("median %d after three newer values of 50", got)
	}
	for range 100 {
		d.Add("a", 50)
	}
	if n := len(d.byName["a"].values); n > 5 {
		t.Errorf("%d values kept, want at most 5", n)
	}
	for i := range 2 * maxNames {
		d.Add(strconv.Itoa(i), 1)
	}
	if len(d.byName) > maxNames {
		t.Errorf("%d names kept, want at most %d", len(d.byName), maxNames)
	}
}
