package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// loadTime is the time that a change of version takes.
const loadTime = 900 * time.Millisecond

// engine is a model server beside a daemon.
type engine struct {
	id, address, zone string
	service           string
	rec               *record
	st                *store
	items             *itemLog // nil to keep none

	mu       sync.Mutex
	born     int64
	versions map[string]int
	busy     bool
	seq      int64
	running  int
	top      int64 // highest fencing token of an order
	topOrder string
}

func newEngine(id, address, zone string, st *store, rec *record, models ...string) *engine {
	e := &engine{id: id, address: address, zone: zone, service: "plan-models", st: st, rec: rec, born: time.Now().UnixMilli(), versions: map[string]int{}}
	for _, m := range models {
		e.versions[m] = 1
	}
	return e
}

func (e *engine) models() []map[string]any {
	var names []string
	for m := range e.versions {
		names = append(names, m)
	}
	slices.Sort(names)
	l := []map[string]any{}
	for _, m := range names {
		l = append(l, map[string]any{"name": m, "version": e.versions[m], "adapters": []string{}})
	}
	return l
}

// publish writes the server's entry into the store.
func (e *engine) publish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.st.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 12, "state": "ready", "cold_left_ms": 0,
		"stage": "both", "models": e.models(), "seq_no": e.seq, "born": e.born,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o struct {
		Op, Model, Mode, Holder string
		Version                 int
		Fence                   *int64 `json:"fence_token"`
		Precondition            *int64 `json:"precondition"`
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	what := fmt.Sprintf("order to %s by %s: %s version %d with fencing token %d", e.id, o.Holder, o.Model, o.Version, *o.Fence)
	e.rec.line("%s", what)
	if *o.Fence < e.top {
		e.rec.broken("ONE: %s, after: %s", what, e.topOrder)
	} else {
		e.top, e.topOrder = *o.Fence, what
	}
	status := http.StatusAccepted
	switch {
	case e.versions[o.Model] == o.Version:
		status = http.StatusOK
	case e.busy, o.Precondition != nil && *o.Precondition != e.seq:
		status = http.StatusConflict
	default:
		e.seq++
		e.busy = true
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			e.busy = false
			e.versions[o.Model] = o.Version
			e.mu.Unlock()
			e.publish()
		})
	}
	e.rec.line("answer of %s: %d", e.id, status)
	w.WriteHeader(status)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		e.mu.Lock()
		v := map[string]any{
			"stage": "both", "models": e.models(), "busy": e.busy, "seq_no": e.seq, "waiting": 0, "running": e.running, "kv_used": 0,
			"kv_total": 95878, "handles": 0, "born": e.born,
		}
		e.mu.Unlock()
		answer(w, http.StatusOK, v)
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		e.order(w, r)
	case r.Method == http.MethodPost:
		e.runItem(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
