package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"time"
)

// runRoute plays the fronts of a small deployment. The operator adds a route for batch jobs; right after the store has
// acknowledged that, two trainers hand in a step each on the new route, at a front that has the new configuration. The
// disruption is the kill of one other front shortly before.
func runRoute(rec *record, dir string, trouble bool) {
	st := newStore()
	n := newNetwork()
	serveOn(n.ip(250)+":8169", st)
	models := []string{"daka510000", "rada7437b5"}
	var engines []*engine
	for i := range 11 {
		zone := []string{"pamplemousses", "grand-port", "riviere-rempart"}[i%3]
		e := newEngine("i-"+newID()[:8], n.ip(101+i)+":8165", zone, st, rec, models...)
		serveOn(e.address, e)
		e.publish()
		engines = append(engines, e)
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			for _, e := range engines {
				e.publish()
			}
		}
	}()
	version := 1
	routes := []map[string]any{route("r-plain", "/lohu930/", "safe", "field-ledger"), route("r-0", "/pufi0/", "rollout", "plan-models")}
	put := func() {
		rev := st.put("config", "main", config(version, models, routes...))
		rec.line("the store acknowledges configuration %d at revision %d with %d routes", version, rev, len(routes))
		version += 3
	}
	put()
	fronts := []struct{ name, zone string }{
		{"front-grand-port-1", "grand-port"}, {"front-pamplemousses-1", "pamplemousses"}, {"front-pamplemousses-2", "pamplemousses"},
		{"front-riviere-rempart-1", "riviere-rempart"},
	}
	var procs []*process
	for i, f := range fronts {
		procs = append(procs, newProcess(dir, f.name, filepath.Join(root(), "target/entry"), settings(n, "front", f.name, f.zone, 1+i)))
	}
	const leader, added, receiver = 0, 1, 2
	for i, p := range procs {
		if i != added {
			p.start()
		}
	}
	for i := range procs {
		if i != added {
			awaitReady(n, 1+i)
		}
	}
	// The fourth front is added later, as after an extension or a restart.
	for round := 1; round <= 1 && len(rec.bad) == 0; round++ {
		time.Sleep(13 * time.Second)
		if round > 1 {
			rec.line("%s is stopped and started (planned)", procs[added].name)
			procs[added].signal(15)
			procs[added].wait()
		}
		procs[added].start()
		awaitReady(n, 1+added)
		rec.line("%s is ready", procs[added].name)
		time.Sleep(29 * time.Second)
		if trouble {
			rec.line("%s is killed", procs[leader].name)
			procs[leader].kill()
		}
		name := fmt.Sprintf("/pufi%d/", round)
		routes = append(routes, route(fmt.Sprintf("r-%d", round), name, "rollout", "plan-models"))
		put()
		time.Sleep(200 * time.Millisecond)
		var steps sync.WaitGroup
		for _, m := range models {
			steps.Go(func() { playStep(rec, newJob(m, name, 0, 24, 4, 25), 24, n.ip(1+receiver)+":8161", name) })
		}
		steps.Wait()
		if trouble {
			procs[leader].start()
			awaitReady(n, 1+leader)
		}
	}
}

// playStep hands a job in at a front, reads its results until all are there or its time is up, ends it, and judges what it
// has read.
func playStep(rec *record, j *job, groups int, front, prefix string) {
	handedIn := time.Now()
	accepted := false
	for range 2 {
		status, _, _, err := call(front, http.MethodPost, prefix+j.id, map[string]string{
			"X-Request-Id": j.id, "X-Deadline-Ms": "12000", "Content-Type": "application/json",
		}, j.body(0, 1, groups), 3*time.Second)
		rec.line("job %s of %s at %s: %d %v", j.id, j.model, front, status, err)
		if status == http.StatusAccepted {
			accepted = true
			break
		}
		if status == http.StatusNotFound {
			return // the front does not have the new configuration yet; clients do not repeat this
		}
		time.Sleep(300 * time.Millisecond)
	}
	if !accepted {
		return
	}
	after, terminated := 0, 0
	for time.Since(handedIn) < 12*time.Second {
		status, _, body, err := call(front, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", j.id, after),
			map[string]string{"X-Request-Id": newID(), "X-Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
		var p page
		if err != nil || status != http.StatusOK || json.Unmarshal(body, &p) != nil {
			rec.line("read of job %s after %d: %d %v", j.id, after, status, err)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		if len(p.Results) > 0 {
			rec.line("read of job %s after %d: total %d, next %d, first result %s %s", j.id, after, p.Total, p.Next, p.Results[0].ID, p.Results[0].State)
		}
		for _, r := range p.Results {
			if r.State == "terminated" {
				terminated++
			}
		}
		after = p.Next
		if after >= p.Total {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	rec.line("job %s of %s: %d of %d results after %.1f s, %d of them terminated", j.id, j.model, after, len(j.items), time.Since(handedIn).Seconds(), terminated)
	if terminated > 0 {
		rec.broken("MIXED: %d of %d items of job %s are terminated %.1f s after its 202, with no answer of 422 or 500, its route in force, its max_queue_s of 40 s not over and no end",
			terminated, len(j.items), j.id, time.Since(handedIn).Seconds())
	}
	status, _, _, err := call(front, http.MethodDelete, "/lots/"+j.id, map[string]string{"X-Request-Id": newID()}, nil, 3*time.Second)
	rec.line("end of job %s: %d %v", j.id, status, err)
}
