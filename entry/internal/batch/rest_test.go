package batch

import (
	"testing"
	"time"
)

// Guards against items that move back and forth between engines in quick succession. Each move delays the events of the
// other items at the new engine, which must not make them move as well.
func TestMinMoveInterval(t *testing.T) {
	t.Parallel()
	a, b := newEngine(t, 5), newEngine(t, 5)
	r := newRig(t, a, b)
	m, stop := r.manager("one", "1")
	t.Cleanup(stop)
	// The engines take turns in being slow, each for less than minMoveInterval.
	const turn = minMoveInterval / 4
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for i := 0; ; i++ {
			slow, fast := a, b
			if i%2 == 1 {
				slow, fast = b, a
			}
			slow.set(func(e *engine) { e.gap = 60 * time.Millisecond })
			fast.set(func(e *engine) { e.gap = 3 * time.Millisecond })
			select {
			case <-time.After(turn):
			case <-done:
				return
			}
		}
	}()
	began := time.Now()
	r.submit(m, "job", payload(5, "a-200", "b-200"))
	checkTexts(t, r.collect(m, "job", 2), "a-200", "b-200")
	took := time.Since(began)
	for _, id := range []string{"a-200", "b-200"} {
		runs := len(starts(a, id)) + len(starts(b, id))
		if most := int(took/minMoveInterval) + 2; runs > most {
			t.Errorf("%s ran %d times in %s, want at most %d", id, runs, took, most)
		}
	}
}
