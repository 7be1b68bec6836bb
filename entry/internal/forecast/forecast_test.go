package forecast

import "testing"

// Guards against hints in tokens that are taken for events, and against outliers that distort the estimate of other
// items.
func TestEvents(t *testing.T) {
	f := New()
	if got := f.EstimateEvents("m", 600, 0); got != 600 {
		t.Errorf("an item of 600 tokens makes %d events before any was observed", got)
	}
	for range 40 {
		f.RecordCompleted("m", 600, 10)
	}
	for range 15 {
		f.RecordCompleted("m", 600, 100)
	}
	if got := f.EstimateEvents("m", 1200, 0); got != 20 {
		t.Errorf("an item of 1200 tokens makes %d events, want 20", got)
	}
	if got := f.EstimateEvents("m", 60_000, 1200); got != 20 {
		t.Errorf("an item of at most 1200 tokens makes %d events", got)
	}
	if got := f.EstimateEvents("other", 600, 0); got != 600 {
		t.Errorf("the items of another model count: %d events", got)
	}
	f.RecordCompleted("m", 0, 5)
	f.RecordCompleted("m", 5, 0)
	if got := f.EstimateEvents("m", 600, 0); got != 10 {
		t.Errorf("items without an estimate or events count: %d", got)
	}
}

// Guards against old ratios that outweigh recent ones.
func TestWindow(t *testing.T) {
	f := New()
	for range 10 * window {
		f.RecordCompleted("m", 100, 1)
	}
	for range window/2 + 1 {
		f.RecordCompleted("m", 100, 10)
	}
	if got := f.EstimateEvents("m", 100, 0); got != 10 {
		t.Errorf("%d events after more than half of the window had 10", got)
	}
}

// Guards against an item that exceeds its estimate and counts as finished.
func TestRest(t *testing.T) {
	for _, tc := range []struct{ total, made, want int }{
		{100, 0, 100}, {100, 40, 60}, {100, 99, 99}, {20, 90, 90}, {0, 0, minRest},
	} {
		if got := Remaining(tc.total, tc.made); got != tc.want {
			t.Errorf("Rest(%d, %d) = %d, want %d", tc.total, tc.made, got, tc.want)
		}
	}
}
