// Package store is the stand-in of the platform's object store.
//
// # Usage
//
//	s := store.New()
//	err := web.Serve(ctx, "127.0.0.1:7000", s)
//
// It serves the protocol of section 10 of docs/design.md, counts every call, keeps the history of all writes that
// took effect, and injects outages, slowness and lost answers through POST /control.
package store

import (
	"cmp"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushspoke/standin/internal/web"
	"bulrushspoke/standin/report"
	"bulrushspoke/wire"
)

const (
	maxValue   = 1 << 20 // bytes
	maxWait    = 10 * time.Minute
	maxHistory = 200_000 // writes
)

// Kinds of outage.
const (
	Refuse = "refuse"
	Hang   = "hang"
)

type object struct {
	value   []byte
	version int64
	gone    bool
}

// Store is an object store in memory.
type Store struct {
	mu      sync.Mutex
	version int64
	kinds   map[string]map[string]*object
	changed chan struct{} // closed and replaced at each write and each change of the outage
	history []report.StoreWrite
	counts  report.StoreCounts

	outage   string
	until    time.Time
	slow     time.Duration
	lose     int
	loseKind string
}

// New returns an empty store.
func New() *Store {
	return &Store{
		kinds:   map[string]map[string]*object{},
		changed: make(chan struct{}),
		counts:  report.StoreCounts{Calls: map[string]int64{}, Kinds: map[string]int64{}},
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	part, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	switch part {
	case "control":
		s.control(w, r)
	case "counts":
		web.WriteJSON(w, http.StatusOK, s.Counts())
	case "history":
		web.WriteJSON(w, http.StatusOK, s.writes())
	case "o", "w":
		s.call(w, r, part, rest)
	default:
		http.NotFound(w, r)
	}
}

// Counts returns the calls so far.
func (s *Store) Counts() report.StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Version = s.version
	c.Calls = clone(c.Calls)
	c.Kinds = clone(c.Kinds)
	return c
}

func clone(m map[string]int64) map[string]int64 {
	c := make(map[string]int64, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (s *Store) writes() []report.StoreWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

func (s *Store) control(w http.ResponseWriter, r *http.Request) {
	var c report.StoreControl
	if !web.ReadJSON(w, r, &c) {
		return
	}
	s.Control(c)
	w.WriteHeader(http.StatusNoContent)
}

// Control injects or ends faults.
func (s *Store) Control(c report.StoreControl) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Outage != nil {
		s.outage = *c.Outage
		s.until = time.Time{}
		if c.For > 0 {
			s.until = time.Now().Add(time.Duration(c.For) * time.Millisecond)
		}
		s.signal()
	}
	if c.Slow != nil {
		s.slow = time.Duration(*c.Slow) * time.Millisecond
	}
	if c.Lose != nil {
		s.lose = *c.Lose
		s.loseKind = ""
	}
	if c.LoseKind != nil {
		s.loseKind = *c.LoseKind
	}
}

// signal wakes all waiting watches; the caller holds the lock.
func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// down returns the kind of the present outage, empty if there is none; the caller holds the lock.
func (s *Store) down(now time.Time) string {
	if s.outage != "" && !s.until.IsZero() && !now.Before(s.until) {
		s.outage = ""
	}
	return s.outage
}

func (s *Store) call(w http.ResponseWriter, r *http.Request, part, rest string) {
	kind, name, named := strings.Cut(rest, "/")
	kind, err := url.PathUnescape(kind)
	if err == nil {
		name, err = url.PathUnescape(name)
	}
	if err != nil || kind == "" {
		http.Error(w, "no kind", http.StatusBadRequest)
		return
	}
	// The body is read first, so that a write takes effect even if its client gives up during a slow spell.
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	slow := s.count(typeOf(r.Method, part, named), kind)
	if slow > 0 {
		time.Sleep(slow)
	}
	if s.fail(w, r) {
		return
	}
	switch {
	case part == "w":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, r.URL.Query().Get("prefix"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPut || r.Method == http.MethodDelete:
		s.write(w, r, kind, name, value)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func typeOf(method, part string, named bool) string {
	switch {
	case part == "w":
		return "watch"
	case method == http.MethodGet && !named:
		return "list"
	default:
		return strings.ToLower(method)
	}
}

func (s *Store) count(call, kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls[call]++
	s.counts.Kinds[call+" "+kind]++
	return s.slow
}

// fail answers a call during an outage and reports whether it did. A hanging call never gets an answer: its connection
// is closed once the outage ends, as a proxy in front of a restarted store does.
func (s *Store) fail(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	mode, until, changed := s.down(time.Now()), s.until, s.changed
	if mode != "" {
		s.counts.Refused++
	}
	s.mu.Unlock()
	switch mode {
	case "":
		return false
	case Refuse:
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return true
	}
	for mode != "" {
		if !wait(r, changed, left(until)) {
			return true
		}
		s.mu.Lock()
		mode, until, changed = s.down(time.Now()), s.until, s.changed
		s.mu.Unlock()
	}
	web.Abort()
	return true
}

// left returns the time until t, or a long time if t is zero.
func left(t time.Time) time.Duration {
	if t.IsZero() {
		return maxWait
	}
	return max(time.Until(t), time.Millisecond)
}

// wait returns at a change, after d, or false once the client has gone.
func wait(r *http.Request, changed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.find(kind, name)
	s.mu.Unlock()
	answer(w, http.StatusOK, http.StatusNotFound, o)
}

// find returns a copy of the object, with version 0 if it is absent; the caller holds the lock.
func (s *Store) find(kind, name string) object {
	if o := s.kinds[kind][name]; o != nil && !o.gone {
		return *o
	}
	return object{}
}

// answer writes the object with its version.
func answer(w http.ResponseWriter, found, absent int, o object) {
	w.Header().Set("Version", strconv.FormatInt(o.version, 10))
	status := found
	if o.version == 0 {
		status = absent
	}
	w.WriteHeader(status)
	_, _ = w.Write(o.value)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, value []byte) {
	match, fresh := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	remove := r.Method == http.MethodDelete
	if len(value) > maxValue {
		http.Error(w, "value over 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	wanted, err := strconv.ParseInt(match, 10, 64)
	if (err != nil || wanted <= 0) && (fresh != "*" || remove) {
		http.Error(w, "If-Match: <version> or If-None-Match: * is required", http.StatusPreconditionRequired)
		return
	}
	s.mu.Lock()
	if mode := s.down(time.Now()); mode != "" {
		s.mu.Unlock()
		if !s.fail(w, r) {
			s.write(w, r, kind, name, value)
		}
		return
	}
	o := s.find(kind, name)
	if remove && o.version == 0 {
		s.mu.Unlock()
		http.NotFound(w, r)
		return
	}
	if o.version != wanted {
		s.mu.Unlock()
		answer(w, http.StatusPreconditionFailed, http.StatusPreconditionFailed, o)
		return
	}
	version := s.put(kind, name, value, remove)
	lost := s.lose > 0 && (s.loseKind == "" || s.loseKind == kind)
	if lost {
		s.lose--
		s.counts.Lost++
	}
	s.mu.Unlock()
	if lost {
		web.Abort()
	}
	w.Header().Set("Version", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
}

// put writes or removes an object; the caller holds the lock.
func (s *Store) put(kind, name string, value []byte, remove bool) int64 {
	s.version++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	s.kinds[kind][name] = &object{value: value, version: s.version, gone: remove}
	if len(s.history) < maxHistory {
		s.history = append(s.history, report.StoreWrite{
			Version: s.version, Kind: kind, Name: name, Gone: remove, At: time.Now().UnixMilli(), Bytes: len(value),
		})
	}
	s.signal()
	return s.version
}

func (s *Store) list(w http.ResponseWriter, kind, prefix string) {
	s.mu.Lock()
	l := s.collect(kind, func(name string, o *object) bool { return !o.gone && strings.HasPrefix(name, prefix) }, false)
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, l)
}

// collect returns the objects of a kind that match; the caller holds the lock.
func (s *Store) collect(kind string, match func(string, *object) bool, values bool) wire.Listing {
	l := wire.Listing{Objects: []wire.Entry{}, Version: s.version}
	for name, o := range s.kinds[kind] {
		if !match(name, o) {
			continue
		}
		e := wire.Entry{Name: name, Version: o.version, Gone: o.gone, Value: []byte{}}
		if values && !o.gone {
			e.Value = o.value
		}
		l.Objects = append(l.Objects, e)
	}
	slices.SortFunc(l.Objects, func(a, b wire.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// watch answers with all changes after a version, or waits for the first one. After version 0 it answers with all
// objects, deleted ones left out.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(cmp.Or(q.Get("after"), "0"), 10, 64)
	ms, err2 := strconv.ParseInt(cmp.Or(q.Get("wait"), "0"), 10, 64)
	if err != nil || err2 != nil {
		http.Error(w, "after and wait are numbers", http.StatusBadRequest)
		return
	}
	prefix, end := q.Get("prefix"), time.Now().Add(min(time.Duration(ms)*time.Millisecond, maxWait))
	match := func(name string, o *object) bool {
		return o.version > after && strings.HasPrefix(name, prefix) && (after > 0 || !o.gone)
	}
	for {
		s.mu.Lock()
		mode, changed := s.down(time.Now()), s.changed
		l := s.collect(kind, match, true)
		s.mu.Unlock()
		if mode != "" {
			if s.fail(w, r) {
				return
			}
			continue
		}
		if len(l.Objects) > 0 || !time.Now().Before(end) {
			web.WriteJSON(w, http.StatusOK, l)
			return
		}
		if !wait(r, changed, time.Until(end)) {
			return
		}
	}
}
