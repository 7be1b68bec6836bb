// Package objects is the stand-in of the users' platform's store, with specs, statuses, revisions and watches.
//
// # Usage
//
//	s := objects.New()
//	server := httptest.NewServer(s)
//	s.Put("config", "main", spec)	// as the operator does
//	s.Fault(objects.Fault{Lose: 1})	// the next write takes effect without an answer
//
// It speaks the calls of platform/store.go and injects outages, lost answers, late writes and a lost history.
package objects

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lateBy is how long after its call a late write is carried out unless the fault says otherwise.
const lateBy = 100 * time.Millisecond

// Fault says how the store misbehaves.
type Fault struct {
	Refuse bool // every call gets 503
	Silent bool // every call gets no answer
	Lose   int  // so many writes take effect without an answer
	Late   int  // so many writes get no answer and are carried out later
	LateBy time.Duration
	Slow   time.Duration // every call waits so long first
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Deleting bool   `json:"deleting"`
}

type change struct {
	kind   string
	object object
	gone   bool
}

// Store is the stand-in. It is an http.Handler.
type Store struct {
	mu       sync.Mutex
	kinds    map[string]map[string]object
	revision int64
	history  []change
	oldest   int64 // revision from which a watch may start
	changed  chan struct{}
	fault    Fault
	calls    map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		kinds: make(map[string]map[string]object), revision: 1, changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// Fault replaces the present fault.
func (s *Store) Fault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how many calls of a method came for a kind.
func (s *Store) Calls(method, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method+" "+kind]
}

// Names returns the names of the objects of a kind in order.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind)
}

func (s *Store) names(kind string) []string {
	var l []string
	for n := range s.kinds[kind] {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// Spec returns the spec of an object, nil if it is absent.
func (s *Store) Spec(kind, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}

// Status returns the status of an object, nil if it is absent.
func (s *Store) Status(kind, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Status
}

// Put writes an object without a condition, as others than the system do.
func (s *Store) Put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, spec
	s.put(kind, o)
}

// Remove removes an object, as others than the system do.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Compact drops the history of all changes so far.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
	s.history = nil
}

func (s *Store) put(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.note(change{kind: kind, object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.note(change{kind: kind, object: o, gone: true})
}

func (s *Store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.EscapedPath(), "/objects/"), "/")
	for i, part := range parts {
		name, err := url.PathUnescape(part)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		parts[i] = name
	}
	kind := parts[0]
	s.mu.Lock()
	s.calls[r.Method+" "+kind]++
	f := s.fault
	s.mu.Unlock()
	switch {
	case f.Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case f.Silent:
		<-r.Context().Done()
		return
	}
	time.Sleep(f.Slow)
	if r.Method == http.MethodGet {
		s.read(w, r, kind, parts[1:])
		return
	}
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.write(w, r, kind, parts[1:], in)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, kind string, rest []string) {
	if len(rest) > 0 {
		s.mu.Lock()
		o, ok := s.kinds[kind][rest[0]]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
		return
	}
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(w, r, kind, after)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	const page = 500
	items, more := []object{}, false
	for _, n := range s.names(kind) {
		if n <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == page {
			more = true
			break
		}
		items = append(items, s.kinds[kind][n])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, from string) {
	after, err := strconv.ParseInt(from, 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	type item struct {
		Object  object `json:"object"`
		Deleted bool   `json:"deleted"`
	}
	for done := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, c := range s.history {
			if c.kind == kind && c.object.Metadata.Revision > after {
				events = append(events, item{Object: c.object, Deleted: c.gone})
			}
		}
		gone, revision, changed := after < s.oldest, s.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || done:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind string, rest []string, in object) {
	s.mu.Lock()
	lose, late, by := s.fault.Lose > 0, s.fault.Late > 0, s.fault.LateBy
	if by == 0 {
		by = lateBy
	}
	if lose {
		s.fault.Lose--
	}
	if late {
		s.fault.Late--
	}
	s.mu.Unlock()
	if late {
		time.AfterFunc(by, func() { s.apply(r, kind, rest, in) })
		<-r.Context().Done()
		return
	}
	status, o := s.apply(r, kind, rest, in)
	if lose {
		<-r.Context().Done()
		return
	}
	reply(w, status, o)
}

// apply carries a write out and returns its answer.
func (s *Store) apply(r *http.Request, kind string, rest []string, in object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if o, ok := s.kinds[kind][in.Metadata.Name]; ok {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.put(kind, object{Metadata: metadata{Name: in.Metadata.Name}, Spec: in.Spec})
	}
	if len(rest) == 0 {
		return http.StatusBadRequest, object{}
	}
	o, ok := s.kinds[kind][rest[0]]
	if !ok {
		return http.StatusNotFound, object{}
	}
	want := in.Metadata.Revision
	if r.Method == http.MethodDelete {
		// An absent revision reads as 0, which sets no condition.
		want, _ = strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	}
	if want != 0 && want != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	switch {
	case r.Method == http.MethodDelete:
		s.remove(kind, rest[0])
		return http.StatusOK, o
	case len(rest) > 1 && rest[1] == "status":
		o.Status = in.Status
	default:
		o.Spec = in.Spec
	}
	return http.StatusOK, s.put(kind, o)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client has left if this fails.
	_ = json.NewEncoder(w).Encode(v)
}
