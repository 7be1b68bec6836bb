package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"time"
)

// world is a small deployment: the platform's store, eleven model servers, three plain servers and four fronts.
type world struct {
	rec     *record
	st      *store
	n       network
	models  []string
	engines []*engine
	fronts  []*process
	version int
	items   *itemLog
}

var frontNames = []struct{ name, zone string }{
	{"front-grand-port-1", "grand-port"}, {"front-pamplemousses-1", "pamplemousses"}, {"front-pamplemousses-2", "pamplemousses"},
	{"front-riviere-rempart-1", "riviere-rempart"},
}

func newWorld(rec *record, dir string) *world {
	w := &world{rec: rec, st: newStore(), n: newNetwork(), models: []string{"daka510000", "rada7437b5"}, version: 1, items: newItemLog()}
	serveOn(w.n.ip(250)+":8169", w.st)
	var publish []func()
	for i := range 11 {
		e := newEngine("i-"+newID()[:8], w.n.ip(101+i)+":8165", zones[i%3], w.st, rec, w.models...)
		e.items = w.items
		serveOn(e.address, e)
		w.engines = append(w.engines, e)
		publish = append(publish, e.publish)
	}
	for i := range 3 {
		p := newPlain("i-"+newID()[:8], w.n.ip(151+i)+":8080", zones[i], w.st, rec)
		serveOn(p.address, p)
		publish = append(publish, p.publish)
	}
	beat := func() {
		for _, f := range publish {
			f()
		}
	}
	beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			beat()
		}
	}()
	for i, f := range frontNames {
		w.fronts = append(w.fronts, newProcess(dir, f.name, filepath.Join(root(), "target/entry"), settings(w.n, "front", f.name, f.zone, 1+i)))
	}
	return w
}

var zones = []string{"pamplemousses", "grand-port", "riviere-rempart"}

// configure writes the next configuration.
func (w *world) configure(routes ...map[string]any) {
	rev := w.st.put("config", "main", config(w.version, w.models, routes...))
	w.rec.line("the store acknowledges configuration %d at revision %d with %d routes", w.version, rev, len(routes))
	w.version += 3
}

func (w *world) front(i int) string { return w.n.ip(1+i) + ":8161" }

// submit hands a job in at a front, as a trainer does, and returns whether it was accepted.
func (w *world) submit(j *job, step, minVersion, groups int, prefix string, front int) bool {
	for attempt := range 2 {
		at := w.front((front + attempt) % len(w.fronts))
		status, _, _, err := call(at, http.MethodPost, prefix+j.id, map[string]string{
			"X-Request-Id": j.id, "X-Deadline-Ms": "12000", "Content-Type": "application/json",
		}, j.body(step, minVersion, groups), 6*time.Second)
		w.rec.line("job %s of %s handed in at %s: %d %v", j.id, j.model, at, status, err)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// read reads results of a job at a front; the status is 0 if there was no answer.
func (w *world) read(j *job, after, front int) (int, page, []byte) {
	status, _, body, err := call(w.front(front), http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", j.id, after),
		map[string]string{"X-Request-Id": newID(), "X-Wait-Ms": "1000", "X-Deadline-Ms": "2500"}, nil, 2500*time.Millisecond)
	var p page
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, &p)
	}
	first := ""
	if len(p.Results) > 0 {
		first = p.Results[0].ID + " " + p.Results[0].State
	}
	w.rec.line("job %s read after %d at %s: %d, total %d, next %d, %d results, first %s %v", j.id, after, w.fronts[front].name, status, p.Total, p.Next, len(p.Results), first, err)
	return status, p, body
}

// readAll reads a job to its end, or until the time is up, at a front.
func (w *world) readAll(j *job, front int, limit time.Duration) []result {
	var l []result
	for began := time.Now(); time.Since(began) < limit && len(l) < len(j.items); {
		status, p, _ := w.read(j, len(l), front)
		if status == http.StatusOK {
			l = append(l, p.Results...)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return l
}

func (w *world) end(j *job, front int) int {
	status, _, _, err := call(w.front(front), http.MethodDelete, "/lots/"+j.id, map[string]string{"X-Request-Id": newID()}, nil, 3*time.Second)
	w.rec.line("end of job %s at %s: %d %v", j.id, w.fronts[front].name, status, err)
	return status
}
