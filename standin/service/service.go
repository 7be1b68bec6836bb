// Package service simulates a plain service, such as a ledger or a store of recipe cards.
//
// # Usage
//
//	err := web.Serve(ctx, "127.0.0.1:7100", service.New(10*time.Millisecond))
//
// Each GET or POST request to a path other than /control and /counts is one run. The response contains the path, the
// idempotency key of the request and the number of runs with that key so far.
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

// IdempotencyKeyHeader carries the idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// Service counts the requests that it executes. It is an http.Handler.
type Service struct {
	mu            sync.Mutex
	delay         time.Duration
	lostAnswers   int
	lostAnswerKey string
	counts        report.ServiceCounts
}

// New returns a service whose runs take the given time.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, counts: report.ServiceCounts{Keys: map[string]int{}, Paths: map[string]int{}}}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/control":
		s.handleControl(w, r)
	case "/counts":
		web.WriteJSON(w, http.StatusOK, s.Counts())
	default:
		s.handleRun(w, r)
	}
}

// Counts returns the counters and the runs so far.
func (s *Service) Counts() report.ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Keys = maps.Clone(c.Keys)
	c.Paths = maps.Clone(c.Paths)
	c.Runs = slices.Clone(c.Runs)
	return c
}

func (s *Service) handleControl(w http.ResponseWriter, r *http.Request) {
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
		s.lostAnswers = *c.Lose
		s.lostAnswerKey = ""
	}
	if c.LoseKey != nil {
		s.lostAnswerKey = *c.LoseKey
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) handleRun(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		web.Abort()
	}
	key := r.Header.Get(IdempotencyKeyHeader)
	runs, delay, lost := s.countRun(r.URL.Path, key)
	// A run that has begun completes even if its client has disconnected.
	time.Sleep(delay)
	if lost {
		web.Abort()
	}
	web.WriteJSON(w, http.StatusOK, report.ServiceAnswer{Path: r.URL.Path, Key: key, Runs: runs})
}

func (s *Service) countRun(path, key string) (int, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Total++
	s.counts.Paths[path]++
	s.counts.Runs = append(s.counts.Runs, report.ServiceRun{Key: key, Path: path, At: time.Now().UnixMilli()})
	if key != "" {
		s.counts.Keys[key]++
	}
	lost := s.lostAnswers > 0 && (s.lostAnswerKey == "" || s.lostAnswerKey == key)
	if lost {
		s.lostAnswers--
		s.counts.Lost++
	}
	return s.counts.Keys[key], s.delay, lost
}
