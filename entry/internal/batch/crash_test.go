package batch

import "testing"

// Guards against a sound item that is given up, or not placed again, because several servers crashed while they ran it.
func TestItemOutlivesCrashesOfItsServers(t *testing.T) {
	const crashes = 4 // of each server
	cut := func(_ string, run int) int {
		if run <= crashes {
			return 1
		}
		return 0
	}
	first, second := newEngine(t, 1), newEngine(t, 1)
	first.cut, second.cut = cut, cut
	r := newRig(t, first, second)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-5"))
	checkTexts(t, r.collect(m, "j", 1), "g-5")
	first.mu.Lock()
	defer first.mu.Unlock()
	second.mu.Lock()
	defer second.mu.Unlock()
	if runs := first.runs["g-5"] + second.runs["g-5"]; runs <= crashes {
		t.Errorf("the item ran %d times, want more than %d crashes", runs, crashes)
	}
}
