package main

import (
	"fmt"
	"time"
)

// lostEnd plays one step of a trainer. Front A runs the job. With trouble, front B is cut off from the other fronts for
// some seconds, and the trainer's end request reaches B meanwhile, which acknowledges it.
func lostEnd(e *env) error {
	if err := e.start(4); err != nil {
		return err
	}
	const (
		groups, size, want = 100, 6, 6
		cutFor             = 8 * time.Second
		endAfter           = 4 * time.Second
	)
	// The groups that the trainer waits for are those with the longest items, which start first.
	items := e.newGroups(want+2, size, func() int { return 40 })
	items = append(items, e.newGroups(groups-want-2, size, func() int { return 20 + e.random.IntN(10) })...)
	id := e.newID()
	if s := e.submit(frontA, id, models[0], 0, 1, want, items); s != 202 {
		return fmt.Errorf("%w: submit answered %d", errSetup, s)
	}
	if e.trouble {
		e.cutOff(frontB, true)
	}
	cutAt := time.Now()
	listed := map[string]bool{}
	for after := 0; time.Since(cutAt) < endAfter || len(completeGroups(items, listed)) < want; {
		if time.Since(cutAt) > 12*time.Second {
			break // the trainer's deadline
		}
		_, results := e.readPage(frontA, id, after)
		for _, r := range results {
			listed[r.ID] = true
			after++
		}
		time.Sleep(300 * time.Millisecond)
	}
	e.note("%d of %d items are listed", len(listed), len(items))
	if s := e.end(frontB, id, "the trainer"); s != 200 {
		return fmt.Errorf("%w: the end was answered %d", errSetup, s)
	}
	ended := time.Now()
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	if e.trouble {
		e.cutOff(frontB, false)
	}
	healed := time.Now()
	time.Sleep(contact + 12*time.Second)
	// Machines in touch: A has not been disturbed at all. To be safe, only what reaches a server later than contact_ms
	// after the end of the cut counts.
	from := ended.Add(cancelMS)
	if t := healed.Add(contact); t.After(from) {
		from = t
	}
	late, latest := 0, time.Duration(0)
	early := 0
	e.mu.Lock()
	for _, a := range e.arrivals {
		if a.at.After(ended.Add(cancelMS)) {
			early++
		}
		if a.at.After(from) {
			late++
			latest = a.at.Sub(ended)
		}
	}
	e.mu.Unlock()
	e.note("%d runs began later than cancel_ms after the acknowledged end, %d of them later than contact_ms after the cut", early, late)
	if late > 0 {
		e.breaks("UNASKED: %d items of job %s reached a server, and ran, later than cancel_ms (3 s) after the acknowledgement of its end and later than contact_ms (4 s) after the cut, the last one %.1f s after the acknowledgement", late, id, latest.Seconds())
	}
	return nil
}
