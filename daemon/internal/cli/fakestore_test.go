package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
)

// fakeStore holds objects under their paths.
type fakeStore struct {
	*httptest.Server
	mu      sync.Mutex
	values  map[string]string
	at      map[string]int
	version int
	down    bool
	calls   int
}

func newFakeStore(t *testing.T) *fakeStore {
	t.Helper()
	s := &fakeStore{values: make(map[string]string), at: make(map[string]int)}
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	return s
}

// ServeHTTP implements http.Handler.
func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	have, status := s.at[r.URL.Path], http.StatusOK
	if r.Method == http.MethodPut {
		match := r.Header.Get("If-Match")
		if r.Header.Get("If-None-Match") == "*" && have != 0 || match != "" && match != strconv.Itoa(have) {
			status = http.StatusPreconditionFailed
		} else {
			b, _ := io.ReadAll(r.Body)
			s.write(r.URL.Path, string(b))
		}
	} else if have == 0 {
		status = http.StatusNotFound
	}
	w.Header().Set("Version", strconv.Itoa(s.at[r.URL.Path]))
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, s.values[r.URL.Path])
}

func (s *fakeStore) write(path, value string) {
	s.version++
	s.values[path] = value
	s.at[path] = s.version
}

func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
