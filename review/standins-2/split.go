package main

import (
	"net/http"
	"time"
)

// runSplit plays steps of one trainer, on a route that the operator splits: a new service with one model server gets a tenth
// of it, the service with eleven servers the rest.
func runSplit(rec *record, dir string, trouble bool) {
	w := newWorld(rec, dir)
	w.models = w.models[:1] // one model is trained
	canary := newEngine("i-"+newID()[:8], w.n.ip(120)+":8165", zones[0], w.st, rec, w.models...)
	canary.service, canary.items = "plan-models-new", w.items
	serveOn(canary.address, canary)
	go func() {
		for ; ; time.Sleep(1200 * time.Millisecond) {
			canary.publish()
		}
	}()
	r := route("r-drafts", "/pufi791/", "rollout", "plan-models")
	w.configure(route("r-plain", "/lohu930/", "safe", "field-ledger"), r)
	for _, p := range w.fronts {
		p.start()
	}
	for i := range w.fronts {
		awaitReady(w.n, 1+i)
	}
	time.Sleep(4 * time.Second)
	w.step(rec, 0)
	if trouble {
		split := map[string]any{}
		for k, v := range r {
			split[k] = v
		}
		delete(split, "service")
		split["backends"] = []map[string]any{{"service": "plan-models-new", "weight": 10}, {"service": "plan-models", "weight": 90}}
		w.configure(route("r-plain", "/lohu930/", "safe", "field-ledger"), split)
	}
	time.Sleep(7 * time.Second) // config_ms and contact_ms are over
	w.step(rec, 1)
}

// step plays one step of a trainer, which waits for nine tenths of its groups for up to 12 s, and judges it.
func (w *world) step(rec *record, n int) {
	const groups, size, events = 24, 4, 90
	j := newJob(w.models[0], "/pufi791/", n, groups, size, events)
	handedIn := time.Now()
	if !w.submit(j, n, 1, groups, "/pufi791/", n) {
		cannot("the job was not accepted")
	}
	read := 0
	for time.Since(handedIn) < 12*time.Second && read < groups*size*9/10 {
		status, p, _ := w.read(j, read, n)
		if status == http.StatusOK {
			read = p.Next
		}
		time.Sleep(300 * time.Millisecond)
	}
	if read < groups*size*9/10 {
		w.items.mu.Lock()
		waiting, begun, running := 0, 0, 0
		for id := range j.length {
			last, ran := w.items.last[id]
			if !ran {
				last = handedIn
			}
			switch {
			case w.items.at[id] > 0:
				running++
				begun++
			case w.items.finished[id]:
				begun++
			case time.Since(last) > 5*time.Second:
				waiting++
			}
		}
		w.items.mu.Unlock()
		slots := 12 * (len(w.engines) + 1)
		rec.line("step %d: %d of %d results read, %d items begun, %d running of %d slots, %d at no server for 5 s", n, read, len(j.items), begun, running, slots, waiting)
		if waiting > 0 && begun > 0 && running < slots/2 {
			rec.broken("LOST: step %d runs out of time; %d of its %d items have been at no server for 5 s, %d had begun, %d of %d slots of the route's servers are in use",
				n, waiting, len(j.items), begun, running, slots)
		}
	}
	w.end(j, n)
}
