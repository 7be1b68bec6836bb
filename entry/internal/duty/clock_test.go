package duty

import (
	"testing"
	"time"
)

// Guards against requests that are counted in the wrong window after a suspension: those sent before it must not move with it,
// and those sent after it must.
func TestClockMapAfterSuspension(t *testing.T) {
	var m clockMap
	start := time.Now()
	m.update(start, time.Minute)
	m.update(start.Add(10*time.Second), 73*time.Second) // suspended for 3 s
	for at, want := range map[time.Duration]time.Duration{
		2 * time.Second:  62 * time.Second,
		10 * time.Second: 73 * time.Second,
		12 * time.Second: 75 * time.Second,
	} {
		if got := m.convert(start.Add(at)); got != want {
			t.Errorf("%v after the start is converted to %v, want %v", at, got, want)
		}
	}
	if a, b := BootTime(), BootTime(); a <= 0 || b < a {
		t.Errorf("boot times %v and %v", a, b)
	}
}
