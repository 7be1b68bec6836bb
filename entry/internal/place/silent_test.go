package place

import (
	"testing"
	"time"
)

// Guards against an engine that hangs and is selected again at once, and against a busy engine that is skipped as if
// it hung.
func TestSilentOutcome(t *testing.T) {
	tr := tracker()
	l := servers(2, 8, "a")
	for _, s := range l {
		tr.Began(s.ID, start)
	}
	tr.ObserveInterval("a1", 40*time.Millisecond, start)
	for _, s := range l {
		tr.Ended(s.ID, "m", Silent, 0, start)
	}
	if s, ok := tr.Pick(start.Add(failureBackoff/2), l, Need{RequireSlot: true}); !ok || s.ID != "a1" {
		t.Errorf("picked %q, want a1, which emits events", s.ID)
	}
	if got := tr.StallTimeout(time.Minute, start); got != minStallTimeout {
		t.Errorf("timeout without intervals is %s", got)
	}
	for _, id := range []string{"a0", "a2", "a3"} {
		tr.Began(id, start)
		tr.ObserveInterval(id, 100*time.Millisecond, start)
	}
	if got := tr.StallTimeout(time.Minute, start); got != stallTimeoutFactor*100*time.Millisecond {
		t.Errorf("timeout with intervals of 100 ms is %s", got)
	}
	if got := tr.StallTimeout(time.Second, start); got != time.Second {
		t.Errorf("timeout is %s, want the limit of 1 s", got)
	}
}
