package main

import (
	"fmt"
	"time"
)

// removedRoute plays one step of a trainer. Then the operator writes a configuration, with trouble without the route of
// batch jobs, and the results that the trainer has read are read again at each front.
func removedRoute(e *env) error {
	if err := e.start(4); err != nil {
		return err
	}
	const groups, size = 8, 4
	items := e.newGroups(groups, size, func() int { return 15 + e.random.IntN(20) })
	id := e.newID()
	if s := e.submit(frontA, id, models[0], 0, 1, groups, items); s != 202 {
		return fmt.Errorf("%w: submit answered %d", errSetup, s)
	}
	limit := time.Now().Add(10 * time.Second)
	read := 0
	for read < len(items) && time.Now().Before(limit) {
		_, results := e.readPage(frontB, id, read)
		read += len(results)
		time.Sleep(300 * time.Millisecond)
	}
	if read < len(items) {
		return fmt.Errorf("%w: %d of %d results", errSetup, read, len(items))
	}
	for i := range fronts {
		if status, results := e.readPage(i, id, 0); status != 200 || len(results) == 0 {
			return fmt.Errorf("%w: %s answered %d before the change", errSetup, frontName(i), status)
		}
	}
	e.config(11, !e.trouble)
	time.Sleep(contact + 3*time.Second) // longer than config_ms and contact_ms
	for i := range fronts {
		for range 3 {
			if status, _ := e.readPage(i, id, 0); status == 404 || status == 410 {
				e.breaks("LOST: %s answers %d for batch job %s, of which %d results had been read", frontName(i), status, id, read)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	e.end(frontA, id, "the trainer")
	return nil
}
