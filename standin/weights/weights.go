// Package weights simulates a rate-limited weight store.
//
// # Usage
//
//	err := web.Serve(ctx, "127.0.0.1:7400", weights.New(400<<20, 1<<30))
//
// GET /weights/{model}/{version} responds once the download would be complete, with all downloads one after another at
// the byte rate. The weights themselves are not sent.
package weights

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"bulrushspoke/standin/internal/web"
)

// Store simulates downloads, one after another. It is an http.Handler.
type Store struct {
	sizeBytes      int64 // size of one weight version
	bytesPerSecond int64 // of all downloads together, 0 for no limit

	mu        sync.Mutex
	busyUntil time.Time // end of the last download that was reserved
	counts    map[string]int
}

// New returns a weight store for weights of size bytes and a rate in bytes per second, 0 for no limit.
func New(size, rate int64) *Store {
	return &Store{sizeBytes: size, bytesPerSecond: rate, counts: map[string]int{}}
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
		web.WriteJSON(w, http.StatusOK, map[string]any{"name": name, "size": s.sizeBytes})
	}
}

// reserve queues a download and returns the time until it is complete.
func (s *Store) reserve(name string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
	if s.bytesPerSecond <= 0 {
		return 0
	}
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(s.sizeBytes) / float64(s.bytesPerSecond) * float64(time.Second)))
	return s.busyUntil.Sub(now)
}
