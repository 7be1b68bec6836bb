package batch

import (
	"testing"
	"time"
)

// Guards against items that follow each other from engine to engine, each of which they slow down by reading their texts:
// between two moves of an item the events of its new engine may come late.
func TestMovesRest(t *testing.T) {
	t.Parallel()
	a, b := newEngine(t, 5), newEngine(t, 5)
	r := newRig(t, a, b)
	m, stop := r.manager("one", "1")
	t.Cleanup(stop)
	// Each engine is slow whenever the other one is not, in turns shorter than the rest.
	const turn = moveRest / 4
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
	check(t, r.collect(m, "job", 2), "a-200", "b-200")
	took := time.Since(began)
	for _, id := range []string{"a-200", "b-200"} {
		runs := len(starts(a, id)) + len(starts(b, id))
		if most := int(took/moveRest) + 2; runs > most {
			t.Errorf("%s ran %d times in %s, want %d at most", id, runs, took, most)
		}
	}
}
