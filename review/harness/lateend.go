package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

// lateEnd plays one step of a trainer. With trouble, the platform's store is slow for some seconds, front A, which runs the
// job, is killed meanwhile, and the trainer's end request reaches front D while another front takes the job over.
func lateEnd(e *env) error {
	if err := e.start(4); err != nil {
		return err
	}
	const (
		groups, size, want = 100, 6, 6
		slowAnswer         = 60 * storeAnswer
		slowFor            = 4500 * time.Millisecond
	)
	items := e.newGroups(want+2, size, func() int { return 40 })
	items = append(items, e.newGroups(groups-want-2, size, func() int { return 20 + e.random.IntN(10) })...)
	id := e.newID()
	if s := e.submit(frontA, id, models[0], 0, 1, want, items); s != 202 {
		return fmt.Errorf("%w: submit answered %d", errSetup, s)
	}
	taken := make(chan string, 1)
	e.store.mu.Lock()
	e.store.onWrite = func(process, kind, name string, spec []byte) {
		var s struct{ Epoch int }
		if kind == "jobs" && name == id && json.Unmarshal(spec, &s) == nil && s.Epoch == 2 {
			select {
			case taken <- process:
			default:
			}
		}
	}
	e.store.mu.Unlock()
	time.Sleep(2500 * time.Millisecond)
	calm := time.Now()
	if e.trouble {
		e.note("the store takes %s for an answer", slowAnswer)
		e.store.delay.Store(int64(slowAnswer))
		calm = time.Now().Add(slowFor)
		time.AfterFunc(slowFor, func() {
			e.note("the store is as before")
			e.store.delay.Store(int64(storeAnswer))
		})
		p := e.procs[frontName(frontA)]
		e.signal(p.name, syscall.SIGKILL)
		<-p.exited
	}
	go func() {
		for range 12 { // the trainer reads on
			e.readPage(frontB, id, 0)
			time.Sleep(300 * time.Millisecond)
		}
	}()
	if e.trouble {
		select {
		case process := <-taken:
			e.note("%s has taken the job over", process)
		case <-time.After(4 * time.Second):
			return fmt.Errorf("%w: no front takes the job over", errSetup)
		}
	} else {
		time.Sleep(time.Second)
	}
	if s := e.end(frontD, id, "the trainer"); s != 200 {
		return fmt.Errorf("%w: the end was answered %d", errSetup, s)
	}
	ended := time.Now()
	if e.trouble {
		e.note("%s starts again", frontName(frontA))
		if err := e.launch(e.procs[frontName(frontA)]); err != nil {
			return err
		}
	}
	back := time.Now()
	time.Sleep(17 * time.Second)
	from := ended.Add(cancelMS)
	for _, t := range []time.Time{calm.Add(contact), back.Add(contact)} {
		if t.After(from) {
			from = t
		}
	}
	late, latest := 0, time.Duration(0)
	e.mu.Lock()
	for _, a := range e.arrivals {
		if a.at.After(from) {
			late, latest = late+1, a.at.Sub(ended)
		}
	}
	e.mu.Unlock()
	if late > 0 {
		e.breaks("UNASKED: %d items of job %s reached a server, and ran, later than cancel_ms (3 s) after the acknowledgement of its end and later than contact_ms (4 s) after all disruption, the last one %.1f s after the acknowledgement", late, id, latest.Seconds())
	}
	return nil
}
