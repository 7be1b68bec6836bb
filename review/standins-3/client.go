package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const host = "ficu95.example"

// answer is what a client got; the status is 0 if the connection brought no complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call makes one call on a new connection.
func call(ctx context.Context, method, address, uri string, header map[string]string, body []byte) answer {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+uri, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	for k, v := range header {
		r.Header.Set(k, v)
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: b}
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

type job struct {
	Step       int    `json:"step"`
	Model      string `json:"model"`
	MinVersion int    `json:"min_version"`
	GroupCount int    `json:"group_count"`
	Items      []item `json:"items"`
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

// submit hands a job in until it is accepted.
func (l *lab) submit(addrs []string, prefix, id string, j job) error {
	body, err := json.Marshal(j)
	if err != nil {
		return err
	}
	for n := 0; n < 20; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		a := call(ctx, http.MethodPost, addrs[n%len(addrs)], prefix+id, map[string]string{
			"X-Request-Id": id, "X-Deadline-Ms": "5000", "Content-Type": "application/json"}, body)
		cancel()
		l.note("job %s handed in at %s: %d", id, addrs[n%len(addrs)], a.status)
		if a.status == http.StatusAccepted {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// read reads the results of a job from a position on; the answer is 0 without a page.
func (l *lab) read(address, id string, after, waitMs int) (page, int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(waitMs)*time.Millisecond+1500*time.Millisecond)
	defer cancel()
	header := map[string]string{}
	if waitMs > 0 {
		header["X-Wait-Ms"] = fmt.Sprint(waitMs)
	}
	a := call(ctx, http.MethodGet, address, fmt.Sprintf("/lots/%s?after=%d", id, after), header, nil)
	var p page
	if a.status == http.StatusOK {
		if err := json.Unmarshal(a.body, &p); err != nil {
			return p, 0
		}
	}
	return p, a.status
}

// readAll reads the results of a job in turn at the entries, about twice a second, until there are total or the time is up.
func (l *lab) readAll(addrs []string, id string, limit time.Duration) []result {
	var all []result
	for until, n := time.Now().Add(limit), 0; time.Now().Before(until); n++ {
		p, status := l.read(addrs[n%len(addrs)], id, len(all), 1000)
		if status != http.StatusOK {
			l.note("job %s read from %d at %s: %d", id, len(all), addrs[n%len(addrs)], status)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		all = append(all, p.Results...)
		if len(all) >= p.Total {
			break
		}
		if len(p.Results) > 0 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	return all
}

func (l *lab) endJob(addrs []string, id string) {
	for n := 0; n < 20; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		a := call(ctx, http.MethodDelete, addrs[n%len(addrs)], "/lots/"+id, nil, nil)
		cancel()
		if a.status == http.StatusOK {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// config returns a configuration with a route of batch jobs, and further routes and services.
func config(version int, batch map[string]any, routes []any, services []any) map[string]any {
	b := map[string]any{
		"name": "r-x73d3zj", "hostname": host, "path_prefix": "/pufi791/", "kind": "rollout", "timeout_ms": 10000, "slo_ms": 400, "priority": 0,
		"service": "huvo11a", "max_attempts": 3, "max_queue_s": 40.0, "due_ms": 7500, "single_version": false, "sticky": true, "resumable": true,
	}
	for k, v := range batch {
		b[k] = v
	}
	engines := map[string]any{
		"name": "huvo11a", "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 12, "kv_capacity": 95878, "kv_token_bytes": 163840, "link_mbps": 4400000.0, "moves": true, "backups": true, "stride": 56,
			"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "daka510000"}},
		},
	}
	return map[string]any{
		"version": version, "routes": append([]any{b}, routes...), "services": append([]any{engines}, services...),
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
