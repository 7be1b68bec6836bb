package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model server.
type engine struct {
	env     *env
	id      string
	address string
	zone    string
	slots   int
	born    int64

	mu       sync.Mutex
	versions map[string]int
	accepted int64
	loading  string
	running  int
	step     chan struct{} // closed at the end of the present step
}

// steps runs the steps of the engine: each of them makes one event of each running request.
func (g *engine) steps() {
	for range time.Tick(g.env.eventInterval) {
		g.mu.Lock()
		close(g.step)
		g.step = make(chan struct{})
		g.mu.Unlock()
	}
}

func (g *engine) nextStep() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// loadTime is how long a change of weights takes (data sheet: 0.9 s).
const loadTime = 900 * time.Millisecond

func (g *engine) publish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.env.store.put("servers", g.id, map[string]any{
		"service": service, "address": g.address, "zone": g.zone, "version": "v1", "slots": g.slots, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": g.models(), "born": g.born,
	})
}

// models returns the versions as the pages spell them; the caller holds mu.
func (g *engine) models() []map[string]any {
	l := []map[string]any{}
	for _, m := range models {
		l = append(l, map[string]any{"name": m, "version": g.versions[m], "adapters": []string{}})
	}
	return l
}

func (g *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Instance-Id", g.id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != g.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		g.mu.Lock()
		out := map[string]any{
			"stage": "both", "models": g.models(), "busy": g.loading != "", "seq_no": g.accepted, "waiting": 0,
			"running": g.running, "kv_used": 0, "kv_total": 95878, "handles": 0, "born": g.born,
		}
		g.mu.Unlock()
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		w.WriteHeader(g.order(body))
	case r.Method == http.MethodPost:
		g.item(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (g *engine) order(body []byte) int {
	var o struct {
		Op, Model, Holder string
		Version           int
		Fence             int64 `json:"fence_token"`
		Precondition      *int64
	}
	if json.Unmarshal(body, &o) != nil || o.Op != "version" || o.Holder == "" || o.Fence == 0 {
		return http.StatusBadRequest
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	have, ok := g.versions[o.Model]
	switch {
	case !ok:
		return http.StatusBadRequest
	case have == o.Version:
		return http.StatusOK
	case g.loading != "" || o.Precondition != nil && *o.Precondition != g.accepted:
		return http.StatusConflict
	}
	g.accepted++
	g.loading = o.Model
	time.AfterFunc(loadTime, func() {
		g.mu.Lock()
		g.versions = maps.Clone(g.versions)
		g.versions[o.Model], g.loading = o.Version, ""
		g.mu.Unlock()
		g.publish()
	})
	return http.StatusAccepted
}

// item runs an item. Its path ends with the number of its events; "reject" in place of that is an item that can never be
// done, and "hang" one that gets no event.
func (g *engine) item(w http.ResponseWriter, r *http.Request) {
	h, id := w.Header(), r.Header.Get("X-Request-Id")
	model := r.Header.Get("X-Model")
	h.Set("X-Request-Id", id)
	g.mu.Lock()
	full := g.running >= g.slots || g.loading == model
	if !full {
		g.running++
	}
	version := g.versions[model]
	g.mu.Unlock()
	if full {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		g.mu.Lock()
		g.running--
		g.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	g.env.arrived(id, g.id, after, time.Now())
	h.Set("X-Server-Stamp", "s."+g.id)
	last := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	if last == "reject" {
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	length, _ := strconv.Atoi(last)
	h.Set("Content-Type", "text/event-stream")
	if after < length {
		h.Set("X-Weight-Versions", strconv.Itoa(version))
	}
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	for n := after + 1; n <= length; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-g.nextStep():
		}
		line := ""
		g.mu.Lock()
		if v := g.versions[model]; v != version {
			version, line = v, fmt.Sprintf("x-weight-versions: %d\n", v)
		}
		g.mu.Unlock()
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", line, n, eventData(id, n)); err != nil {
			return
		}
		if out.Flush() != nil {
			return
		}
	}
	g.env.finished(id)
}

// eventData is the data of event n of an item, the same at every server.
func eventData(id string, n int) string { return fmt.Sprintf("%s.%d", id[:4], n) }
