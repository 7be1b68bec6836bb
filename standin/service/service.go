// Package service is the stand-in of a plain service such as a ledger or a store of recipe cards.
//
// # Usage
//
//	err := web.Serve(ctx, "127.0.0.1:7100", service.New(10*time.Millisecond))
//
// Every GET and POST on any path but /control and /counts is a run. It answers with the path, the idempotency key of
// the request and the number of runs of that key.
package service

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"bulrushspoke/standin/internal/web"
	"bulrushspoke/standin/report"
)

// KeyHeader carries the idempotency key.
const KeyHeader = "Idempotency-Key"

// Service counts its runs.
type Service struct {
	mu      sync.Mutex
	delay   time.Duration
	lose    int
	loseKey string
	counts  report.ServiceCounts
}

// New returns a service whose runs take delay.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, counts: report.ServiceCounts{Keys: map[string]int{}, Paths: map[string]int{}}}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/control":
		s.control(w, r)
	case "/counts":
		web.WriteJSON(w, http.StatusOK, s.Counts())
	default:
		s.run(w, r)
	}
}

// Counts returns the runs so far.
func (s *Service) Counts() report.ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Keys = maps.Clone(c.Keys)
	c.Paths = maps.Clone(c.Paths)
	c.Runs = slices.Clone(c.Runs)
	return c
}

func (s *Service) control(w http.ResponseWriter, r *http.Request) {
	var c report.ServiceControl
	if !web.ReadJSON(w, r, &c) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Delay != nil {
		s.delay = time.Duration(*c.Delay) * time.Millisecond
	}
	if c.Lose != nil {
		s.lose = *c.Lose
		s.loseKey = ""
	}
	if c.LoseKey != nil {
		s.loseKey = *c.LoseKey
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		web.Abort()
	}
	key := r.Header.Get(KeyHeader)
	runs, delay, lost := s.count(r.URL.Path, key)
	// A run that has begun goes to its end even if its caller has gone.
	time.Sleep(delay)
	if lost {
		web.Abort()
	}
	web.WriteJSON(w, http.StatusOK, report.ServiceAnswer{Path: r.URL.Path, Key: key, Runs: runs})
}

func (s *Service) count(path, key string) (int, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Total++
	s.counts.Paths[path]++
	s.counts.Runs = append(s.counts.Runs, report.ServiceRun{Key: key, Path: path, At: time.Now().UnixMilli()})
	if key != "" {
		s.counts.Keys[key]++
	}
	lost := s.lose > 0 && (s.loseKey == "" || s.loseKey == key)
	if lost {
		s.lose--
		s.counts.Lost++
	}
	return s.counts.Keys[key], s.delay, lost
}
