package ingress

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashLimit is how many servers may break off the same request before it is given up: a request that crashes its
	// servers takes each of them out for seconds.
	crashLimit = 3
	// suspectTime is how long a request is remembered after its last broken attempt.
	suspectTime = 30 * time.Second
	// suspectMost bounds the requests remembered.
	suspectMost = 4096
)

// Suspects remembers requests at which servers broke off, here or at other entries. It answers a caller that sends a
// request which crashes every server again and again, each time through another entry.
type Suspects struct {
	tell func(fingerprint uint64, answered bool)
	mu   sync.Mutex
	seen map[uint64]suspect
}

type suspect struct {
	crashes int
	last    time.Time
}

// NewSuspects returns an empty set; tell passes on to other entries what this one has seen, and must not wait.
func NewSuspects(tell func(fingerprint uint64, answered bool)) *Suspects {
	return &Suspects{tell: tell, seen: make(map[uint64]suspect)}
}

// Fingerprint identifies a request by what its server sees.
func Fingerprint(path string, body []byte) uint64 {
	d := xxhash.New()
	// Writing to a digest never fails.
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Crashed counts a broken attempt.
func (s *Suspects) Crashed(fingerprint uint64, now time.Time) {
	s.count(fingerprint, now)
	s.tell(fingerprint, false)
}

// Answered notes that a server has answered: the broken attempts had another cause, such as a server that breaks off part
// of all requests.
func (s *Suspects) Answered(fingerprint uint64) {
	if s.clear(fingerprint) {
		s.tell(fingerprint, true)
	}
}

// Heard takes what another entry has seen.
func (s *Suspects) Heard(fingerprint uint64, answered bool, now time.Time) {
	if answered {
		s.clear(fingerprint)
		return
	}
	s.count(fingerprint, now)
}

// clear forgets a request and reports whether it was suspect.
func (s *Suspects) clear(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.seen[fingerprint]
	delete(s.seen, fingerprint)
	return ok
}

func (s *Suspects) count(fingerprint uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.seen) >= suspectMost {
		for f, v := range s.seen {
			if now.Sub(v.last) > suspectTime {
				delete(s.seen, f)
			}
		}
		if len(s.seen) >= suspectMost {
			return
		}
	}
	v := s.seen[fingerprint]
	if now.Sub(v.last) > suspectTime {
		v.crashes = 0
	}
	s.seen[fingerprint] = suspect{crashes: v.crashes + 1, last: now}
}

// Blocked reports whether a request is to be given up.
func (s *Suspects) Blocked(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.seen[fingerprint]
	return v.crashes >= crashLimit && now.Sub(v.last) <= suspectTime
}
