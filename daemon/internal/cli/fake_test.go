package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"bulrushspoke/wire"
)

// fakeEngine streams one token for each value in permits, or without limit once permits is closed.
type fakeEngine struct {
	*httptest.Server
	mu          sync.Mutex
	version     int64
	fence       int64
	cancelChans map[string]chan struct{}
	started     []string
	orders      []wire.EngineLoadRequest
	refuseLoads bool
	permits     chan struct{}
	starts      chan string
}

func newFakeEngine(t *testing.T) *fakeEngine {
	t.Helper()
	e := &fakeEngine{
		version: 7, cancelChans: make(map[string]chan struct{}), permits: make(chan struct{}, 1024),
		starts: make(chan string, 1024),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("DELETE /v1/completions/{id}", e.cancel)
	mux.HandleFunc("GET /version", e.serveVersion)
	mux.HandleFunc("POST /load", e.load)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(func() {
		e.CloseClientConnections()
		close(e.permits)
		e.Close()
	})
	return e
}

// allowTokens lets the engine stream n more tokens.
func (e *fakeEngine) allowTokens(n int) {
	for range n {
		e.permits <- struct{}{}
	}
}

func (e *fakeEngine) setVersion(v int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = v
}

func (e *fakeEngine) startedIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.started...)
}

func (e *fakeEngine) complete(w http.ResponseWriter, r *http.Request) {
	var q wire.EngineRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stop := make(chan struct{})
	e.mu.Lock()
	e.cancelChans[q.ID] = stop
	e.started = append(e.started, q.ID)
	e.mu.Unlock()
	e.starts <- q.ID
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	emit := func(ev wire.EngineEvent) {
		b, _ := json.Marshal(ev)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
		w.(http.Flusher).Flush()
	}
	for n := len(q.Tokens); n < q.Max; n++ {
		select {
		case <-e.permits:
		case <-stop:
			emit(wire.EngineEvent{Done: true, Reason: "cancelled"})
			return
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
		v := e.version
		e.mu.Unlock()
		emit(wire.EngineEvent{First: n, Tokens: []string{fmt.Sprintf("t%d ", n)}, Version: v})
	}
	emit(wire.EngineEvent{Done: true, Reason: "length"})
}

func (e *fakeEngine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	if c := e.cancelChans[id]; c != nil {
		close(c)
		delete(e.cancelChans, id)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (e *fakeEngine) serveVersion(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(wire.EngineVersion{Model: "plan", Version: e.version, Fence: e.fence, Slots: 4})
}

func (e *fakeEngine) load(w http.ResponseWriter, r *http.Request) {
	var o wire.EngineLoadRequest
	_ = json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if e.refuseLoads || o.Fence < e.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = o.Fence
	e.version = o.Version
}

// fakeService counts its calls and responds to one call for each value in permits.
type fakeService struct {
	*httptest.Server
	mu      sync.Mutex
	calls   int
	padding int // extra bytes in each response
	permits chan struct{}
}

func newFakeService(t *testing.T) *fakeService {
	t.Helper()
	s := &fakeService{permits: make(chan struct{}, 64)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http detects a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.calls++
		n := s.calls
		s.mu.Unlock()
		select {
		case <-s.permits:
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Ledger", "yes")
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, strings.TrimPrefix(r.URL.String(), "/"), n)
		_, _ = w.Write(make([]byte, s.padding))
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		close(s.permits)
		s.Close()
	})
	return s
}

func (s *fakeService) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
