// Package weights is the stand-in of the rate-limited weight store.
//
// # Usage
//
//	err := web.Serve(ctx, "127.0.0.1:7400", weights.New(400<<20, 1<<30))
//
// GET /weights/{model}/{version} answers after the time that keeps all answers together under the byte rate. The
// bytes themselves are not sent.
package weights

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"bulrushspoke/standin/internal/web"
)

// Store hands out weights one after another.
type Store struct {
	size int64 // bytes of one set of weights
	rate int64 // bytes a second of all answers together

	mu     sync.Mutex
	free   time.Time // when the last answer so far is complete
	counts map[string]int
}

// New returns a weight store; a rate of 0 is unlimited.
func New(size, rate int64) *Store {
	return &Store{size: size, rate: rate, counts: map[string]int{}}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/counts" {
		s.mu.Lock()
		defer s.mu.Unlock()
		web.WriteJSON(w, http.StatusOK, s.counts)
		return
	}
	name, ok := strings.CutPrefix(r.URL.Path, "/weights/")
	if !ok || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	if web.Sleep(r.Context(), s.reserve(name, time.Now())) {
		web.WriteJSON(w, http.StatusOK, map[string]any{"name": name, "size": s.size})
	}
}

// reserve returns the time until the answer that starts now is complete.
func (s *Store) reserve(name string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
	if s.rate <= 0 {
		return 0
	}
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(s.size) / float64(s.rate) * float64(time.Second)))
	return s.free.Sub(now)
}
