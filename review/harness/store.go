package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in of the platform's metadata store as PROTOCOL.md describes it. It loses nothing and answers after
// storeAnswer.
type store struct {
	mu       sync.Mutex
	kinds    map[string]map[string]object
	revision int64
	history  []change
	changed  chan struct{}
	delay    atomic.Int64 // time of an answer in nanoseconds
	// onWrite, if set, is called with each applied write and the process that made it, without mu.
	onWrite func(process, kind, name string, spec []byte)
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// storeAnswer is the time that the store takes for an answer (data sheet: 4 ms).
const storeAnswer = 4 * time.Millisecond

func newStore() *store {
	s := &store{kinds: map[string]map[string]object{}, revision: 1, changed: make(chan struct{})}
	s.delay.Store(int64(storeAnswer))
	return s
}

// put writes an object unconditionally, as the operator, a server or a trainer does. Nothing changes if the spec is the same.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if ok && bytes.Equal(o.Spec, b) {
		return
	}
	o.Metadata.Name, o.Spec = name, b
	s.save(kind, o)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

func (s *store) save(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.note(change{kind: kind, Object: o})
	return o
}

func (s *store) drop(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.note(change{kind: kind, Object: o, Deleted: true})
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// endpoint serves the store to one process. If from is set, addresses in the list of members are replaced, so that the
// process reaches the other fronts through the proxies of this test.
type endpoint struct {
	store    *store
	process  string
	from, to string
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := e.store
	parts := strings.Split(strings.TrimPrefix(r.URL.EscapedPath(), "/objects/"), "/")
	for i, p := range parts {
		if u, err := url.PathUnescape(p); err == nil {
			parts[i] = u
		}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(s.delay.Load()))
	var status int
	var v any
	if r.Method == http.MethodGet {
		status, v = s.read(r, parts[0], parts[1:])
	} else {
		status, v = s.write(e.process, r, parts[0], parts[1:], body)
	}
	if status == 0 {
		return
	}
	out, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	if e.from != "" && r.Method == http.MethodGet && parts[0] == "members" {
		out = bytes.ReplaceAll(out, []byte(e.from), []byte(e.to))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(out)
}

func (s *store) read(r *http.Request, kind string, path []string) (int, any) {
	q := r.URL.Query()
	if len(path) > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		o, ok := s.kinds[kind][path[0]]
		if !ok {
			return http.StatusNotFound, map[string]any{}
		}
		return http.StatusOK, o
	}
	if q.Get("watch") != "" {
		return s.watch(r, kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.kinds[kind] {
		if n > q.Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	items, size, more := []object{}, 0, false
	for _, n := range names {
		if len(items) == 500 || size > 1<<20 {
			more = true
			break
		}
		o := s.kinds[kind][n]
		size += len(o.Spec)
		items = append(items, o)
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": s.revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			return http.StatusOK, map[string]any{"events": events, "as_of": revision}
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return 0, nil
		}
	}
}

func (s *store) write(process string, r *http.Request, kind string, path []string, body []byte) (int, any) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &in); err != nil {
			return http.StatusBadRequest, map[string]any{}
		}
	}
	s.mu.Lock()
	status, o := s.apply(r, kind, path, in)
	f := s.onWrite
	s.mu.Unlock()
	if f != nil && status == http.StatusOK {
		f(process, kind, o.Metadata.Name, o.Spec)
	}
	return status, o
}

func (s *store) apply(r *http.Request, kind string, path []string, in object) (int, object) {
	if r.Method == http.MethodPost {
		if o, ok := s.kinds[kind][in.Metadata.Name]; ok {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.save(kind, object{Metadata: metadata{Name: in.Metadata.Name}, Spec: in.Spec})
	}
	if len(path) == 0 {
		return http.StatusBadRequest, object{}
	}
	o, ok := s.kinds[kind][path[0]]
	if !ok {
		return http.StatusNotFound, object{}
	}
	want := in.Metadata.Revision
	if n, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		want = n
	}
	if want != 0 && want != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	switch {
	case r.Method == http.MethodDelete:
		s.drop(kind, path[0])
		return http.StatusOK, o
	case len(path) > 1 && path[1] == "status":
		if bytes.Equal(o.Status, in.Status) {
			return http.StatusOK, o
		}
		o.Status = in.Status
	default:
		if bytes.Equal(o.Spec, in.Spec) {
			return http.StatusOK, o
		}
		o.Spec = in.Spec
	}
	return http.StatusOK, s.save(kind, o)
}
