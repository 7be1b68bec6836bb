// Package store simulates the object store of our own protocol, in memory.
//
// # Usage
//
//	s := store.New()
//	err := web.Serve(ctx, "127.0.0.1:7000", s)
//
// It serves the protocol of section 10 of docs/design.md, counts every call, records the first 200,000 writes that were
// applied, and injects outages, delays and lost responses through POST /control.
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
	maxValueBytes    = 1 << 20 // bytes
	maxWait          = 10 * time.Minute
	maxHistoryWrites = 200_000 // writes
)

// Kinds of outage.
const (
	OutageRefuse = "refuse" // calls are answered with 503
	OutageHang   = "hang"   // calls get no response
)

type object struct {
	value   []byte
	version int64
	deleted bool
}

// Store is an object store in memory. It is an http.Handler.
type Store struct {
	mu      sync.Mutex
	version int64
	kinds   map[string]map[string]*object
	changed chan struct{} // closed and replaced at each write and each change of the outage
	history []report.StoreWrite
	counts  report.StoreCounts

	outage         string
	outageEnd      time.Time
	callDelay      time.Duration
	lostAnswers    int
	lostAnswerKind string
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
		web.WriteJSON(w, http.StatusOK, s.writeHistory())
	case "o", "w":
		s.handleCall(w, r, part, rest)
	default:
		http.NotFound(w, r)
	}
}

// Counts returns the counters of the calls so far.
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

func (s *Store) writeHistory() []report.StoreWrite {
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
		s.outageEnd = time.Time{}
		if c.For > 0 {
			s.outageEnd = time.Now().Add(time.Duration(c.For) * time.Millisecond)
		}
		s.notifyWatches()
	}
	if c.Slow != nil {
		s.callDelay = time.Duration(*c.Slow) * time.Millisecond
	}
	if c.Lose != nil {
		s.lostAnswers = *c.Lose
		s.lostAnswerKind = ""
	}
	if c.LoseKind != nil {
		s.lostAnswerKind = *c.LoseKind
	}
}

// notifyWatches wakes all waiting watches and hanging calls; the caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// currentOutage returns the kind of the current outage, empty if there is none; the caller holds the lock.
func (s *Store) currentOutage(now time.Time) string {
	if s.outage != "" && !s.outageEnd.IsZero() && !now.Before(s.outageEnd) {
		s.outage = ""
	}
	return s.outage
}

func (s *Store) handleCall(w http.ResponseWriter, r *http.Request, part, rest string) {
	kind, name, hasName := strings.Cut(rest, "/")
	kind, err := url.PathUnescape(kind)
	if err == nil {
		name, err = url.PathUnescape(name)
	}
	if err != nil || kind == "" {
		http.Error(w, "no kind", http.StatusBadRequest)
		return
	}
	// The body is read first, so that a write is applied even if its client gives up during an injected delay.
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	delay := s.countCall(callType(r.Method, part, hasName), kind)
	if delay > 0 {
		time.Sleep(delay)
	}
	if s.serveOutage(w, r) {
		return
	}
	switch {
	case part == "w":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !hasName:
		s.list(w, kind, r.URL.Query().Get("prefix"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPut || r.Method == http.MethodDelete:
		s.write(w, r, kind, name, value)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func callType(method, part string, hasName bool) string {
	switch {
	case part == "w":
		return "watch"
	case method == http.MethodGet && !hasName:
		return "list"
	default:
		return strings.ToLower(method)
	}
}

func (s *Store) countCall(call, kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls[call]++
	s.counts.Kinds[call+" "+kind]++
	return s.callDelay
}

// serveOutage handles a call during an outage and reports whether there was one. A hanging call never gets a response:
// its connection is closed once the outage ends, as a proxy in front of a restarted store does.
func (s *Store) serveOutage(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	mode, until, changed := s.currentOutage(time.Now()), s.outageEnd, s.changed
	if mode != "" {
		s.counts.Refused++
	}
	s.mu.Unlock()
	switch mode {
	case "":
		return false
	case OutageRefuse:
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return true
	}
	for mode != "" {
		if !waitForChange(r, changed, remaining(until)) {
			return true
		}
		s.mu.Lock()
		mode, until, changed = s.currentOutage(time.Now()), s.outageEnd, s.changed
		s.mu.Unlock()
	}
	web.Abort()
	return true
}

// remaining returns the time until t, or maxWait if t is zero.
func remaining(t time.Time) time.Duration {
	if t.IsZero() {
		return maxWait
	}
	return max(time.Until(t), time.Millisecond)
}

// waitForChange waits for a change or until d has passed. It returns false if the client disconnects first.
func waitForChange(r *http.Request, changed <-chan struct{}, d time.Duration) bool {
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
	o := s.lookup(kind, name)
	s.mu.Unlock()
	writeObject(w, http.StatusOK, http.StatusNotFound, o)
}

// lookup returns a copy of the object, with version 0 if it is absent; the caller holds the lock.
func (s *Store) lookup(kind, name string) object {
	if o := s.kinds[kind][name]; o != nil && !o.deleted {
		return *o
	}
	return object{}
}

// writeObject responds with the object and its version, with the status absent if its version is 0.
func writeObject(w http.ResponseWriter, found, absent int, o object) {
	w.Header().Set("Version", strconv.FormatInt(o.version, 10))
	status := found
	if o.version == 0 {
		status = absent
	}
	w.WriteHeader(status)
	_, _ = w.Write(o.value)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, value []byte) {
	ifMatch, ifNoneMatch := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	remove := r.Method == http.MethodDelete
	if len(value) > maxValueBytes {
		http.Error(w, "value over 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := strconv.ParseInt(ifMatch, 10, 64)
	if (err != nil || expected <= 0) && (ifNoneMatch != "*" || remove) {
		http.Error(w, "If-Match: <version> or If-None-Match: * is required", http.StatusPreconditionRequired)
		return
	}
	s.mu.Lock()
	if mode := s.currentOutage(time.Now()); mode != "" {
		s.mu.Unlock()
		if !s.serveOutage(w, r) {
			s.write(w, r, kind, name, value)
		}
		return
	}
	o := s.lookup(kind, name)
	if remove && o.version == 0 {
		s.mu.Unlock()
		http.NotFound(w, r)
		return
	}
	if o.version != expected {
		s.mu.Unlock()
		writeObject(w, http.StatusPreconditionFailed, http.StatusPreconditionFailed, o)
		return
	}
	version := s.put(kind, name, value, remove)
	lost := s.lostAnswers > 0 && (s.lostAnswerKind == "" || s.lostAnswerKind == kind)
	if lost {
		s.lostAnswers--
		s.counts.Lost++
	}
	s.mu.Unlock()
	if lost {
		web.Abort()
	}
	w.Header().Set("Version", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
}

// put writes or deletes an object and returns the new version; the caller holds the lock.
func (s *Store) put(kind, name string, value []byte, remove bool) int64 {
	s.version++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	s.kinds[kind][name] = &object{value: value, version: s.version, deleted: remove}
	if len(s.history) < maxHistoryWrites {
		s.history = append(s.history, report.StoreWrite{
			Version: s.version, Kind: kind, Name: name, Gone: remove, At: time.Now().UnixMilli(), Bytes: len(value),
		})
	}
	s.notifyWatches()
	return s.version
}

func (s *Store) list(w http.ResponseWriter, kind, prefix string) {
	s.mu.Lock()
	l := s.collect(kind, func(name string, o *object) bool { return !o.deleted && strings.HasPrefix(name, prefix) }, false)
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
		e := wire.Entry{Name: name, Version: o.version, Gone: o.deleted, Value: []byte{}}
		if values && !o.deleted {
			e.Value = o.value
		}
		l.Objects = append(l.Objects, e)
	}
	slices.SortFunc(l.Objects, func(a, b wire.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// watch responds with all changes after a version, and waits for the first one if there is none yet. After version 0 it
// responds with all objects except deleted ones.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(cmp.Or(q.Get("after"), "0"), 10, 64)
	ms, waitErr := strconv.ParseInt(cmp.Or(q.Get("wait"), "0"), 10, 64)
	if err != nil || waitErr != nil {
		http.Error(w, "after and wait are numbers", http.StatusBadRequest)
		return
	}
	prefix, end := q.Get("prefix"), time.Now().Add(min(time.Duration(ms)*time.Millisecond, maxWait))
	match := func(name string, o *object) bool {
		return o.version > after && strings.HasPrefix(name, prefix) && (after > 0 || !o.deleted)
	}
	for {
		s.mu.Lock()
		mode, changed := s.currentOutage(time.Now()), s.changed
		l := s.collect(kind, match, true)
		s.mu.Unlock()
		if mode != "" {
			if s.serveOutage(w, r) {
				return
			}
			continue
		}
		if len(l.Objects) > 0 || !time.Now().Before(end) {
			web.WriteJSON(w, http.StatusOK, l)
			return
		}
		if !waitForChange(r, changed, time.Until(end)) {
			return
		}
	}
}
