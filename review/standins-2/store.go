package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The platform's metadata store, as PROTOCOL.md describes it: linearizable, one revision counter, conditional writes,
// lists, watches. Each answer takes storeDelay.
const storeDelay = 4 * time.Millisecond

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind     string
	revision int64
	object   object
	deleted  bool
}

type store struct {
	mu       sync.Mutex
	kinds    map[string]map[string]object
	revision int64
	history  []change
	changed  chan struct{}
	// refuse reports whether a call of the process with this address is turned away with 503; nil for never.
	refuse func(ip, method, kind string) bool
}

func newStore() *store {
	return &store{kinds: map[string]map[string]object{}, revision: 10, changed: make(chan struct{})}
}

// put writes a spec without a condition, as the operator, servers and trainers do, and returns the revision.
func (s *store) put(kind, name string, spec any) int64 {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if string(o.Spec) == string(b) {
		return o.Metadata.Revision
	}
	o.Metadata.Name, o.Spec = name, b
	return s.write(kind, o).Metadata.Revision
}

func (s *store) spec(kind, name string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o.Spec, ok
}

func (s *store) write(kind string, o object) object {
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
	s.note(change{kind: kind, revision: s.revision, object: o})
	return o
}

func (s *store) drop(kind, name string) {
	o := s.kinds[kind][name]
	delete(s.kinds[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.note(change{kind: kind, revision: s.revision, object: o, deleted: true})
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.EscapedPath(), "/objects/"), "/")
	for i := range parts {
		parts[i], _ = url.PathUnescape(parts[i])
	}
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	ip, _, _ := strings.Cut(r.RemoteAddr, ":")
	if s.refuse != nil && s.refuse(ip, r.Method, kind) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, q.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodPost:
		var o object
		if json.Unmarshal(body, &o) != nil || o.Metadata.Name == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		held, ok := s.kinds[kind][o.Metadata.Name]
		if !ok {
			held = s.write(kind, object{Metadata: metadata{Name: o.Metadata.Name}, Spec: o.Spec})
		}
		s.mu.Unlock()
		if ok {
			answer(w, http.StatusConflict, held)
			return
		}
		answer(w, http.StatusCreated, held)
	case r.Method == http.MethodPut:
		var o object
		if json.Unmarshal(body, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		held, ok := s.kinds[kind][name]
		conflict := ok && o.Metadata.Revision != 0 && o.Metadata.Revision != held.Metadata.Revision
		if ok && !conflict {
			if len(parts) > 2 {
				held.Status = o.Status
			} else {
				held.Spec = o.Spec
			}
			held = s.write(kind, held)
		}
		s.mu.Unlock()
		switch {
		case !ok:
			w.WriteHeader(http.StatusNotFound)
		case conflict:
			answer(w, http.StatusConflict, held)
		default:
			answer(w, http.StatusOK, held)
		}
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		held, ok := s.kinds[kind][name]
		if rev := q.Get("revision"); ok && rev != "" && rev != strconv.FormatInt(held.Metadata.Revision, 10) {
			s.mu.Unlock()
			answer(w, http.StatusConflict, held)
			return
		}
		if ok {
			s.drop(kind, name)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusOK)
	}
}

// listPage is the number of objects in one answer.
const listPage = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.kinds[kind]))
	for n := range s.kinds[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	more := false
	items := []object{}
	size := 0
	for _, n := range names {
		o := s.kinds[kind][n]
		if len(items) > 0 && (len(items) == listPage || size+len(o.Spec) > 1<<20) {
			more = true
			break
		}
		size += len(o.Spec)
		items = append(items, o)
	}
	rev := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	over := false
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
