package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. Everything is served by one lock, so answers are linearizable.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object // by kind and name
	history  map[string][]change           // by kind
	changed  chan struct{}
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
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]*object{}, history: map[string][]change{}, changed: make(chan struct{})}
}

// note records a change; the caller holds mu.
func (s *store) note(kind string, o object, deleted bool) {
	s.history[kind] = append(s.history[kind], change{Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator, a trainer or a server does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		if string(o.Spec) == string(raw) {
			return
		}
		s.revision++
		o.Spec, o.Metadata.Revision = raw, s.revision
		s.note(kind, *o, false)
		return
	}
	s.create(kind, name, raw)
}

// create adds an object; the caller holds mu.
func (s *store) create(kind, name string, spec json.RawMessage) *object {
	s.revision++
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][name] = o
	s.note(kind, *o, false)
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// drop deletes an object; the caller holds mu.
func (s *store) drop(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.note(kind, *o, true)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

const pageSize = 500

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if !strings.HasPrefix(r.URL.Path, "/objects/") || parts[0] == "" || len(parts) > 3 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	kind := parts[0]
	q := r.URL.Query()
	switch {
	case len(parts) == 1 && r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
	case len(parts) == 1 && r.Method == http.MethodGet:
		s.list(w, kind, q.Get("after"))
	default:
		s.single(w, r, kind, parts[1:], body)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	items, size, more := []object{}, 0, false
	for _, n := range names {
		o := *s.objects[kind][n]
		if len(items) > 0 && (len(items) >= pageSize || size+len(o.Spec) > 1<<20) {
			more = true
			break
		}
		size += len(o.Spec)
		items = append(items, o)
	}
	out := map[string]any{"items": items, "has_more": more, "as_of": s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history[kind] {
			if c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// single serves the calls on one object.
func (s *store) single(w http.ResponseWriter, r *http.Request, kind string, rest []string, body []byte) {
	var in object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(rest) == 0 {
		if r.Method != http.MethodPost || in.Metadata.Name == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if o := s.objects[kind][in.Metadata.Name]; o != nil {
			reply(w, http.StatusConflict, *o)
			return
		}
		if len(in.Spec) > 1<<20 {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		reply(w, http.StatusOK, *s.create(kind, in.Metadata.Name, in.Spec))
		return
	}
	o := s.objects[kind][rest[0]]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	condition := in.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		condition, _ = strconv.ParseInt(v, 10, 64)
	}
	if r.Method != http.MethodGet && condition != 0 && condition != o.Metadata.Revision {
		reply(w, http.StatusConflict, *o)
		return
	}
	switch {
	case r.Method == http.MethodGet && len(rest) == 1:
	case r.Method == http.MethodPut && len(rest) == 1:
		if string(o.Spec) != string(in.Spec) {
			s.revision++
			o.Spec, o.Metadata.Revision = in.Spec, s.revision
			s.note(kind, *o, false)
		}
	case r.Method == http.MethodPut && rest[1] == "status":
		if string(o.Status) != string(in.Status) {
			s.revision++
			o.Status, o.Metadata.Revision = in.Status, s.revision
			s.note(kind, *o, false)
		}
	case r.Method == http.MethodDelete && len(rest) == 1:
		s.drop(kind, rest[0])
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	reply(w, http.StatusOK, *o)
}

// owner returns the entry that runs a job, empty if the store does not tell. Only the choice of the process to be killed
// depends on it.
func (l *lab) owner(id string) string {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	var state struct {
		Owner string `json:"owner"`
	}
	if o := l.store.objects["jobs"][id]; o != nil {
		_ = json.Unmarshal(o.Spec, &state)
	}
	return state.Owner
}
