// Package objects simulates the object store of the users' platform, with specs, statuses, revisions and watches.
//
// # Usage
//
//	s := objects.New()
//	server := httptest.NewServer(s)
//	s.Put("config", "main", spec)	// as the operator does
//	s.Fault(objects.Fault{Lose: 1})	// the next write is applied, but its response is lost
//
// It serves the calls of platform/store.go and injects outages, lost responses, delayed writes and a compacted history.
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

// defaultWriteDelay is the delay of a late write if Fault.LateBy is 0.
const defaultWriteDelay = 100 * time.Millisecond

// Fault describes how the store fails; the zero value is no fault.
type Fault struct {
	Unavailable   bool          // calls are answered with 503
	NoResponse    bool          // calls get no response
	SilentWatches bool          // watches get no response
	LostResponses int           // number of writes that are applied but get no response
	DelayedWrites int           // number of writes that get no response and are applied later
	WriteDelay    time.Duration // delay of those writes, 0 for 100 ms
	CallDelay     time.Duration // delay of each call
	MaxBytes      int           // larger specs are refused; 0 for no limit
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
	kind    string
	object  object
	deleted bool
}

// Store is an object store in memory. It is an http.Handler.
type Store struct {
	mu             sync.Mutex
	kinds          map[string]map[string]object // by kind, then name
	revision       int64                        // of the last change
	history        []change                     // since the last Compact
	oldestRevision int64                        // revision from which a watch may start
	changed        chan struct{}                // closed and replaced at each change
	fault          Fault
	calls          map[string]int // by "method kind"
}

// New returns an empty store.
func New() *Store {
	return &Store{
		kinds: make(map[string]map[string]object), revision: 1, changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// SetFault replaces the current fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls with an HTTP method for a kind.
func (s *Store) Calls(method, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method+" "+kind]
}

// Names returns the sorted names of the objects of a kind.
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

// Put creates or replaces the spec of an object unconditionally, as an operator or another system does.
func (s *Store) Put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, spec
	s.put(kind, o)
}

// Remove removes an object unconditionally, as an operator or another system does.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Compact discards the history of all changes so far, so that a watch that starts before it gets 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestRevision = s.revision
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
	s.recordChange(change{kind: kind, object: o})
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
	s.recordChange(change{kind: kind, object: o, deleted: true})
}

func (s *Store) recordChange(c change) {
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
	case f.Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case f.NoResponse:
		<-r.Context().Done()
		return
	}
	time.Sleep(f.CallDelay)
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

func (s *Store) read(w http.ResponseWriter, r *http.Request, kind string, path []string) {
	if len(path) > 0 {
		s.mu.Lock()
		o, ok := s.kinds[kind][path[0]]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
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
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, from string) {
	after, err := strconv.ParseInt(from, 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	silent := s.fault.SilentWatches
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
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
				events = append(events, item{Object: c.object, Deleted: c.deleted})
			}
		}
		compacted, revision, changed := after < s.oldestRevision, s.revision, s.changed
		s.mu.Unlock()
		switch {
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || done:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
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

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind string, path []string, in object) {
	s.mu.Lock()
	lose, late, delay := s.fault.LostResponses > 0, s.fault.DelayedWrites > 0, s.fault.WriteDelay
	if delay == 0 {
		delay = defaultWriteDelay
	}
	if lose {
		s.fault.LostResponses--
	}
	if late {
		s.fault.DelayedWrites--
	}
	s.mu.Unlock()
	if late {
		time.AfterFunc(delay, func() { s.apply(r, kind, path, in) })
		<-r.Context().Done()
		return
	}
	if most := s.maxBytes(); most > 0 && len(in.Spec) > most {
		writeJSON(w, http.StatusRequestEntityTooLarge, object{})
		return
	}
	status, o := s.apply(r, kind, path, in)
	if lose {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, o)
}

func (s *Store) maxBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.MaxBytes
}

// apply applies a write and returns the status and body of its response.
func (s *Store) apply(r *http.Request, kind string, path []string, in object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if o, ok := s.kinds[kind][in.Metadata.Name]; ok {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.put(kind, object{Metadata: metadata{Name: in.Metadata.Name}, Spec: in.Spec})
	}
	if len(path) == 0 {
		return http.StatusBadRequest, object{}
	}
	o, ok := s.kinds[kind][path[0]]
	if !ok {
		return http.StatusNotFound, object{}
	}
	want := in.Metadata.Revision
	if r.Method == http.MethodDelete {
		// A missing or malformed revision is parsed as 0, which sets no condition.
		want, _ = strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	}
	if want != 0 && want != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	switch {
	case r.Method == http.MethodDelete:
		s.remove(kind, path[0])
		return http.StatusOK, o
	case len(path) > 1 && path[1] == "status":
		o.Status = in.Status
	default:
		o.Spec = in.Spec
	}
	return http.StatusOK, s.put(kind, o)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// This fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
