package batch

import (
	"fmt"
	"testing"
	"time"
)

// candidates returns the entries of a failure domain: a few with much CPU and more with little.
func candidates() []candidate {
	var l []candidate
	for i := range 3 {
		l = append(l, candidate{name: fmt.Sprintf("strong-%d", i), cores: 0.8})
	}
	for i := range 6 {
		l = append(l, candidate{name: fmt.Sprintf("weak-%d", i), cores: 0.144})
	}
	return l
}

// Simulates the events of a step at the entry that runs it, for fifty models: 150 streams with one event in 40 ms each.
// An event must not wait for the CPU for as long as an engine takes to generate one. The baseline chooses the owner by
// hash alone.
func TestStepsRunWhereThereIsProcessorTime(t *testing.T) {
	const (
		models  = 50
		streams = 150
		event   = 40 * time.Millisecond
		work    = 50 * time.Microsecond // CPU time per event
		step    = 200                   // events per stream
	)
	// waits returns how long the last event of a step waits at an entry with the given cores.
	waits := func(cores float64) time.Duration {
		free := time.Duration(0)
		last := time.Duration(0)
		for i := range step {
			for n := range streams {
				at := time.Duration(i)*event + time.Duration(n)*event/streams
				free = max(free, at) + time.Duration(float64(work)/cores)
				last = free - at
			}
		}
		return last
	}
	late, baseline := 0, 0
	for i := range models {
		model := fmt.Sprintf("m%d", i)
		if waits(chooseOwner(model, candidates()).cores) > event {
			late++
		}
		var first candidate
		for _, c := range candidates() {
			if first.name == "" || rank(model, c.name) > rank(model, first.name) {
				first = c
			}
		}
		if waits(first.cores) > event {
			baseline++
		}
	}
	t.Logf("%d of %d models have late events, %d with the baseline", late, models, baseline)
	if late > 0 || baseline == 0 {
		t.Errorf("%d of %d models have late events, %d with the baseline; want 0 and more", late, models, baseline)
	}
}

// Guards against steps of one model that run on different entries, against one entry that runs all models, and against
// candidates of unknown CPU that are never chosen.
func TestChoose(t *testing.T) {
	seen := make(map[string]int)
	for i := range 60 {
		model := fmt.Sprintf("m%d", i)
		first := chooseOwner(model, candidates())
		reversed := candidates()
		for a, b := 0, len(reversed)-1; a < b; a, b = a+1, b-1 {
			reversed[a], reversed[b] = reversed[b], reversed[a]
		}
		if again := chooseOwner(model, reversed); again != first {
			t.Fatalf("model %s is run by %s and by %s", model, first.name, again.name)
		}
		seen[first.name]++
	}
	if len(seen) != 3 {
		t.Errorf("sixty models are run by %v, want 3 entries", seen)
	}
	if c := chooseOwner("m", []candidate{{name: "a"}, {name: "b"}}); c.name == "" {
		t.Error("no candidate of unknown CPU is chosen")
	}
	if c := chooseOwner("m", nil); c.name != "" {
		t.Errorf("without candidates %q is chosen", c.name)
	}
}

// Guards against a job whose owner has crashed and that is then run by the entry that received the next read, although
// that has little CPU.
func TestOrphanGoesToStrongest(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 20 * time.Millisecond
	r := newRig(t, e)
	m, crash := r.manager("a", "a1")
	strong, _ := r.manager("s", "s1")
	weak, _ := r.manager("w", "w1")
	r.submit(m, "j", payload(1, "g-1", "h-60"))
	r.collect(m, "j", 1)
	crash()
	r.cut("a", true)
	r.mesh.mu.Lock()
	r.mesh.delegation = true
	r.mesh.cores = map[string]float64{"s": 0.8, "w": 0.1}
	r.mesh.mu.Unlock()
	strong.Cores, weak.Cores = 0.8, 0.1
	checkTexts(t, r.collect(weak, "j", 2), "g-1", "h-60")
	if strong.local("j") == nil || weak.local("j") != nil {
		t.Error("the job is not run by the entry with the most CPU")
	}
}
