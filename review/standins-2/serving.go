package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

const hostname = "ficu95.example"

// route is a route of the configuration.
func route(name, prefix, kind, service string) map[string]any {
	r := map[string]any{
		"name": name, "hostname": hostname, "path_prefix": prefix, "kind": kind, "timeout_ms": 3000, "slo_ms": 200, "priority": 2,
		"service": service, "max_attempts": 2,
	}
	if kind == "rollout" {
		r["timeout_ms"], r["slo_ms"], r["priority"], r["max_attempts"], r["max_queue_s"] = 10000, 400, 0, 3, 40.0
		r["due_ms"], r["single_version"], r["sticky"], r["resumable"] = 7500, false, true, true
	}
	return r
}

// config is a configuration with two models.
func config(version int, models []string, routes ...map[string]any) map[string]any {
	var l []map[string]any
	for _, m := range models {
		l = append(l, map[string]any{"name": m})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "plan-models", "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 12, "kv_capacity": 95878, "kv_token_bytes": 163840, "link_mbps": 4400000.0, "moves": true, "backups": true, "stride": 56,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": l,
			}},
			{"name": "field-ledger", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// eventTime is the time between two events of an item.
const eventTime = 20 * time.Millisecond

// runItem runs an item: its path ends with the number of its events.
func (e *engine) runItem(w http.ResponseWriter, r *http.Request) {
	id, model := r.Header.Get("X-Request-Id"), r.Header.Get("X-Model")
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	e.mu.Lock()
	full := e.running >= 12
	if !full {
		e.running++
	}
	version := e.versions[model]
	e.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	parts := strings.Split(r.URL.Path, "/")
	length, _ := strconv.Atoi(parts[len(parts)-1])
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.rec.line("%s runs item %s after event %d", e.id, id, after)
	e.items.begin(id)
	finished := false
	defer func() { e.items.end(id, finished) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Stamp", "stamp."+id)
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	for n := after + 1; n <= length; n++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			e.rec.line("%s drops item %s before event %d", e.id, id, n)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", n, id, n); err != nil {
			return
		}
		_ = out.Flush()
	}
	finished = true
	e.rec.line("%s has finished item %s", e.id, id)
}

// itemLog holds at how many servers each item is, when it last was at one, and whether one has finished it.
type itemLog struct {
	mu       sync.Mutex
	at       map[string]int
	last     map[string]time.Time
	finished map[string]bool
}

func newItemLog() *itemLog {
	return &itemLog{at: map[string]int{}, last: map[string]time.Time{}, finished: map[string]bool{}}
}

func (l *itemLog) begin(id string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at[id]++
}

func (l *itemLog) end(id string, finished bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at[id]--
	l.last[id] = time.Now()
	l.finished[id] = l.finished[id] || finished
}

// call makes one call of a client on a new connection.
func call(front, method, path string, header map[string]string, body []byte, timeout time.Duration) (int, http.Header, []byte, error) {
	t := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	q.Host = hostname
	for k, v := range header {
		q.Header.Set(k, v)
	}
	r, err := t.RoundTrip(q)
	if err != nil {
		return 0, nil, nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header, b, err
}

// job is a batch job of a trainer.
type job struct {
	id     string
	model  string
	items  []map[string]any
	length map[string]int
}

func newJob(model, prefix string, step, groups, size, events int) *job {
	j := &job{id: newID(), model: model, length: map[string]int{}}
	for g := range groups {
		for range size {
			id := newID()
			j.length[id] = events
			j.items = append(j.items, map[string]any{
				"id": id, "path": fmt.Sprintf("%s%d/%s/%d", prefix, step, id[:4], events),
				"headers": map[string]string{"X-Model": model, "X-Token-Count": fmt.Sprintf("1016,%d", events*56), "X-Prompt-Prefix": fmt.Sprintf("%08x:1000,%s:16", g+1, id), "X-Length-Hint": strconv.Itoa(events * 56)},
				"body":    base64.StdEncoding.EncodeToString([]byte("prompt " + id)), "tokens": 1016 + events*56, "group": fmt.Sprintf("g%d-%s", g, j.id),
			})
		}
	}
	return j
}

func (j *job) body(step, minVersion, groups int) []byte {
	b, err := json.Marshal(map[string]any{"step": step, "model": j.model, "min_version": minVersion, "group_count": groups, "items": j.items})
	if err != nil {
		panic(err)
	}
	return b
}

type result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// awaitReady waits until a front answers 200 at its ready address.
func awaitReady(n network, host int) {
	for range 200 {
		c := http.Client{Timeout: time.Second}
		r, err := c.Get("http://" + n.ip(host) + ":8167/ready")
		if err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannot("front %d does not get ready", host)
}
