package reward

import (
	"testing"
	"time"
)

// Guards against second attempts before the usual time is known, at a time that single slow calls decide, of other routes,
// and without end while all servers are slow.
func TestTimes(t *testing.T) {
	const most = time.Second
	c := NewTimes()
	for i := range timesLeast {
		if got := c.Late("r", most); got != most {
			t.Fatalf("after %d calls a call is late after %s", i, got)
		}
		c.Note("r", 100*time.Millisecond)
	}
	c.Note("r", 30*time.Second)
	if got := c.Late("r", most); got != lateFactor*100*time.Millisecond {
		t.Errorf("a call is late after %s", got)
	}
	if got := c.Late("other", most); got != most {
		t.Errorf("a call of another route is late after %s", got)
	}
	if got := c.Late("r", 150*time.Millisecond); got != 150*time.Millisecond {
		t.Errorf("a call that may take 150 ms is late after %s", got)
	}
	if c.Second("r") {
		t.Error("a second attempt after six successes")
	}
	for range 1000 {
		c.Note("r", 100*time.Millisecond)
	}
	seconds := 0
	for c.Second("r") {
		seconds++
	}
	if seconds != secondMost {
		t.Errorf("%d second attempts in a row, want %d", seconds, secondMost)
	}
}
