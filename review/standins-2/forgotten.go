package main

import (
	"net/http"
	"time"
)

// runForgotten reads the results of a job whose route the operator has removed, at a front that was restarted since. The
// host has another route, whose prefix is "/".
func runForgotten(rec *record, dir string, trouble bool) {
	w := newWorld(rec, dir)
	rest := route("r-plain", "/", "safe", "field-ledger")
	w.configure(rest, route("r-drafts", "/pufi791/", "rollout", "plan-models"))
	for _, p := range w.fronts {
		p.start()
	}
	for i := range w.fronts {
		awaitReady(w.n, 1+i)
	}
	time.Sleep(4 * time.Second)
	j := newJob(w.models[0], "/pufi791/", 0, 24, 4, 25)
	if !w.submit(j, 0, 1, 24, "/pufi791/", 0) {
		cannot("the job was not accepted")
	}
	read := w.readAll(j, 1, 12*time.Second)
	if len(read) != len(j.items) {
		cannot("the step did not complete in calm: %d results", len(read))
	}
	if w.end(j, 2) != http.StatusOK {
		cannot("the job was not ended")
	}
	time.Sleep(2 * time.Second)
	w.configure(rest)
	time.Sleep(5 * time.Second)
	const restarted = 3
	if trouble {
		rec.line("%s is killed", w.fronts[restarted].name)
		w.fronts[restarted].kill()
		time.Sleep(500 * time.Millisecond)
		w.fronts[restarted].start()
		awaitReady(w.n, 1+restarted)
		rec.line("%s is ready", w.fronts[restarted].name)
	}
	time.Sleep(6 * time.Second) // contact_ms and more
	for range 3 {
		for i := range w.fronts {
			status, p, body := w.read(j, 0, i)
			switch {
			case status == http.StatusNotFound || status == http.StatusGone:
				rec.broken("LOST: %s answers %d (%q) for batch job %s, which was accepted and whose %d results were read %s ago; status_s is 120",
					w.fronts[i].name, status, body, j.id, len(read), time.Since(rec.start).Round(time.Second))
			case status == http.StatusOK && (len(p.Results) == 0 || p.Results[0].ID != read[0].ID || p.Results[0].Text != read[0].Text):
				rec.broken("LOST: %s has another result at position 0 of job %s", w.fronts[i].name, j.id)
			}
		}
		time.Sleep(time.Second)
	}
}
