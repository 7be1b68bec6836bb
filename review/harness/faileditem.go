package main

import (
	"fmt"
	"time"
)

// failedItem hands in one batch job with an item that can never be done: each server answers it with 422. With trouble,
// fronts are stopped and started in turn, first the one that sent the item last, each of them once.
func failedItem(e *env) error {
	if err := e.start(4); err != nil {
		return err
	}
	items := e.newGroups(6, 4, func() int { return 200 }) // 12 s each
	bad := items[0]
	bad.last, bad.events = "reject", 0
	items[0] = bad
	id := e.newID()
	if s := e.submit(frontA, id, models[0], 0, 1, 6, items); s != 202 {
		return fmt.Errorf("%w: submit answered %d", errSetup, s)
	}
	accepted := time.Now()
	stopped := map[int]bool{}
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
	seen := 0
	after := 0
	for time.Since(accepted) < 10*time.Second {
		_, results := e.readPage(frontD, id, after)
		after += len(results)
		l := runs()
		if e.trouble && len(l) > seen && len(stopped) < 3 {
			seen = len(l)
			if i := l[len(l)-1].from; !stopped[i] {
				stopped[i] = true
				go func() { _ = e.restart(i) }()
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	l := runs()
	for i, a := range l {
		e.note("run %d of the item: from %s at server %s, %.3f s after the 202", i+1, frontName(a.from), a.engine, a.at.Sub(accepted).Seconds())
	}
	// A machine is in touch if it had no SIGTERM and no start for contact_ms; the fourth front had neither.
	late := 0
	for i, a := range l {
		if i >= 3 && !stopped[a.from] {
			late++
		}
	}
	if late > 0 {
		e.breaks("BUDGET: item %s of job %s, answered 422 three times, reached a server again %d times from a front that was never stopped", bad.id, id, late)
	}
	return nil
}
