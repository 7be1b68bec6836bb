package reward

import (
	"testing"
	"time"
)

// Guards against hedges before the median time is known, against a hedge delay set by single slow calls or by another
// route, and against unlimited hedges while all servers are slow.
func TestHedgeDelayAndBudget(t *testing.T) {
	const limit = time.Second
	c := NewHedgePolicy()
	for i := range minTimes {
		if got := c.HedgeDelay("r", limit); got != limit {
			t.Fatalf("hedge delay after %d calls is %s, want the limit", i, got)
		}
		c.Observe("r", 100*time.Millisecond)
	}
	c.Observe("r", 30*time.Second)
	if got := c.HedgeDelay("r", limit); got != hedgeDelayFactor*100*time.Millisecond {
		t.Errorf("hedge delay is %s, want a multiple of the median", got)
	}
	if got := c.HedgeDelay("other", limit); got != limit {
		t.Errorf("hedge delay of an unknown route is %s, want the limit", got)
	}
	if got := c.HedgeDelay("r", 150*time.Millisecond); got != 150*time.Millisecond {
		t.Errorf("hedge delay with a limit of 150 ms is %s", got)
	}
	if c.TakeHedge("r") {
		t.Error("hedge allowed after six successes")
	}
	for range 1000 {
		c.Observe("r", 100*time.Millisecond)
	}
	hedges := 0
	for c.TakeHedge("r") {
		hedges++
	}
	if hedges != maxHedgeBudget {
		t.Errorf("%d hedges in a row, want %d", hedges, maxHedgeBudget)
	}
}
