package place

import (
	"testing"
	"time"
)

// Guards against an engine that hangs and is asked again at once, and against one that is merely busy and is left alone
// for as long.
func TestSilent(t *testing.T) {
	tr := tracker()
	l := servers(2, 8, "a")
	for _, s := range l {
		tr.Began(s.ID, start)
	}
	tr.Paced("a1", 40*time.Millisecond, start)
	for _, s := range l {
		tr.Ended(s.ID, "m", Silent, 0, start)
	}
	if s, ok := tr.Pick(start.Add(failing/2), l, Need{Room: true}); !ok || s.ID != "a1" {
		t.Errorf("picked %q in place of the engine that makes events", s.ID)
	}
	if got := tr.Patience(time.Minute, start); got != silentLeast {
		t.Errorf("without paces the patience is %s", got)
	}
	for _, id := range []string{"a0", "a2", "a3"} {
		tr.Began(id, start)
		tr.Paced(id, 100*time.Millisecond, start)
	}
	if got := tr.Patience(time.Minute, start); got != silentFactor*100*time.Millisecond {
		t.Errorf("with paces of 100 ms the patience is %s", got)
	}
	if got := tr.Patience(time.Second, start); got != time.Second {
		t.Errorf("the patience exceeds its bound: %s", got)
	}
}
