package main

import (
	"fmt"
	"sync"
	"time"
)

// failedItem hands in one batch job with an item that can never be done: each server answers it with 422. With trouble,
// three fronts are stopped and started in turn, each of them once, first the one that last wrote the job's object to the
// store under a condition.
func failedItem(e *env) error {
	if err := e.start(4); err != nil {
		return err
	}
	items := e.newGroups(6, 4, func() int { return 200 }) // 12 s each
	bad := items[0]
	bad.last, bad.events = "reject", 0
	items[0] = bad
	id := e.newID()
	var mu sync.Mutex
	writers := []string{} // of the job's object, in order
	e.store.mu.Lock()
	e.store.onWrite = func(process, kind, name string, _ []byte) {
		if kind == "jobs" && name == id {
			e.note("%s writes the object of the job", process)
			mu.Lock()
			defer mu.Unlock()
			writers = append(writers, process)
		}
	}
	e.store.mu.Unlock()
	if s := e.submit(frontA, id, models[0], 0, 1, 6, items); s != 202 {
		return fmt.Errorf("%w: submit answered %d", errSetup, s)
	}
	accepted := time.Now()
	runs := func() []arrival {
		e.mu.Lock()
		defer e.mu.Unlock()
		var l []arrival
		for _, a := range e.arrivals {
			if a.item == bad.id {
				l = append(l, a)
			}
		}
		return l
	}
	disturbed := map[string]bool{}
	seen, after := 0, 0
	for time.Since(accepted) < 10*time.Second {
		_, results := e.readPage(frontD, id, after)
		after += len(results)
		l := runs()
		mu.Lock()
		last := writers[len(writers)-1]
		mu.Unlock()
		if e.trouble && len(l) > seen && len(disturbed) < 3 && !disturbed[last] {
			seen = len(l)
			disturbed[last] = true
			for i := range fronts {
				if frontName(i) == last {
					go func() { _ = e.restart(i) }()
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	l := runs()
	for i, a := range l {
		e.note("run %d of the item at server %s, %.3f s after the 202", i+1, a.engine, a.at.Sub(accepted).Seconds())
	}
	mu.Lock()
	defer mu.Unlock()
	// The front that ran the job at the fourth run is in touch if it was neither stopped nor started.
	if len(l) >= 4 && len(writers) >= 4 && !disturbed[writers[3]] {
		e.breaks("BUDGET: item %s of job %s, answered 422 three times, reached a server again; the job was then with %s, which was never stopped", bad.id, id, writers[3])
	}
	return nil
}
