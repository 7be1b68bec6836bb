// Package scorer simulates a plain service that scores texts.
//
// # Usage
//
//	err := web.Serve(ctx, "127.0.0.1:7200", scorer.New(10*time.Millisecond))
//
// POST /score {id, text} returns {id, value}. The value depends on the text alone and is in the range [0, 1).
package scorer

import (
	"hash/fnv"
	"maps"
	"net/http"
	"sync"
	"time"

	"bulrushspoke/standin/internal/web"
	"bulrushspoke/standin/report"
)

const distinctScores = 1000

// Request is the body of a scoring request.
type Request struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// Answer is the body of the response.
type Answer struct {
	ID    string  `json:"id"`
	Value float64 `json:"value"`
}

// Scorer scores texts and counts the requests by identifier. It is an http.Handler.
type Scorer struct {
	delay  time.Duration
	mu     sync.Mutex
	counts map[string]int
}

// New returns a scorer that delays each response.
func New(delay time.Duration) *Scorer {
	return &Scorer{delay: delay, counts: map[string]int{}}
}

// Value returns the score of a text.
func Value(text string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return float64(h.Sum32()%distinctScores) / distinctScores
}

// ServeHTTP implements http.Handler.
func (s *Scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/counts":
		s.mu.Lock()
		c := report.ScorerCounts{Score: maps.Clone(s.counts)}
		s.mu.Unlock()
		web.WriteJSON(w, http.StatusOK, c)
	case r.URL.Path == "/score" && r.Method == http.MethodPost:
		var q Request
		if !web.ReadJSON(w, r, &q) {
			return
		}
		s.mu.Lock()
		s.counts[q.ID]++
		s.mu.Unlock()
		time.Sleep(s.delay)
		web.WriteJSON(w, http.StatusOK, Answer{ID: q.ID, Value: Value(q.Text)})
	default:
		http.NotFound(w, r)
	}
}
