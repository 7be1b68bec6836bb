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

// fakeStore is an in-memory object store that keeps objects by path.
type fakeStore struct {
	*httptest.Server
	mu          sync.Mutex
	values      map[string]string
	versions    map[string]int
	lastVersion int
	down        bool
	calls       int
}

func newFakeStore(t *testing.T) *fakeStore {
	t.Helper()
	s := &fakeStore{values: make(map[string]string), versions: make(map[string]int)}
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
	current, status := s.versions[r.URL.Path], http.StatusOK
	if r.Method == http.MethodPut {
		match := r.Header.Get("If-Match")
		if r.Header.Get("If-None-Match") == "*" && current != 0 || match != "" && match != strconv.Itoa(current) {
			status = http.StatusPreconditionFailed
		} else {
			b, _ := io.ReadAll(r.Body)
			s.write(r.URL.Path, string(b))
		}
	} else if current == 0 {
		status = http.StatusNotFound
	}
	w.Header().Set("Version", strconv.Itoa(s.versions[r.URL.Path]))
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, s.values[r.URL.Path])
}

func (s *fakeStore) write(path, value string) {
	s.lastVersion++
	s.values[path] = value
	s.versions[path] = s.lastVersion
}

func (s *fakeStore) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
