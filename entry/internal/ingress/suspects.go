package ingress

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashLimit is the number of connection resets after which a request is blocked: a request that crashes its server
	// makes the server unavailable for seconds.
	crashLimit = 3
	// suspectRetention is the retention of a request after its last connection reset.
	suspectRetention = 30 * time.Second
	// maxSuspects is the maximum number of requests tracked.
	maxSuspects = 4096
)

// Suspects tracks requests on which servers reset the connection, at this entry or others. It blocks a request that crashes
// its servers, even if the client repeats it through different entries.
type Suspects struct {
	broadcast func(fingerprint uint64, answered bool)
	mu        sync.Mutex
	seen      map[uint64]suspect
}

type suspect struct {
	crashes int
	last    time.Time
}

// NewSuspects returns an empty set. It calls broadcast to report local results to other entries; broadcast must not
// block.
func NewSuspects(broadcast func(fingerprint uint64, answered bool)) *Suspects {
	return &Suspects{broadcast: broadcast, seen: make(map[uint64]suspect)}
}

// Fingerprint returns a hash of the workspace, empty for none, the request URI and the body, which identifies a request at
// every entry. A workspace cannot have the requests of another one blocked.
func Fingerprint(workspace, uri string, body []byte) uint64 {
	d := xxhash.New()
	// Writes to a digest never fail.
	if workspace != "" {
		// A URI does not begin with a zero byte.
		_, _ = d.WriteString("\x00" + workspace + "\x00")
	}
	_, _ = d.WriteString(uri)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// RecordCrash counts a connection reset and reports it to other entries.
func (s *Suspects) RecordCrash(fingerprint uint64, now time.Time) {
	s.addCrash(fingerprint, now)
	s.broadcast(fingerprint, false)
}

// RecordResponse clears a request to which a server has responded: its resets had another cause, such as a server that
// resets some of all connections.
func (s *Suspects) RecordResponse(fingerprint uint64) {
	if s.remove(fingerprint) {
		s.broadcast(fingerprint, true)
	}
}

// ApplyRemote applies a result reported by another entry.
func (s *Suspects) ApplyRemote(fingerprint uint64, answered bool, now time.Time) {
	if answered {
		s.remove(fingerprint)
		return
	}
	s.addCrash(fingerprint, now)
}

// remove removes a request and reports whether it was tracked.
func (s *Suspects) remove(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.seen[fingerprint]
	delete(s.seen, fingerprint)
	return ok
}

func (s *Suspects) addCrash(fingerprint uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.seen) >= maxSuspects {
		for f, v := range s.seen {
			if now.Sub(v.last) > suspectRetention {
				delete(s.seen, f)
			}
		}
		if len(s.seen) >= maxSuspects {
			return
		}
	}
	v := s.seen[fingerprint]
	if now.Sub(v.last) > suspectRetention {
		v.crashes = 0
	}
	s.seen[fingerprint] = suspect{crashes: v.crashes + 1, last: now}
}

// Blocked reports whether a request must not be sent to another server.
func (s *Suspects) Blocked(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.seen[fingerprint]
	return v.crashes >= crashLimit && now.Sub(v.last) <= suspectRetention
}
