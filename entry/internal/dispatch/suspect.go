package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/wire"
)

// crashLimit is the number of crashes after which a fingerprint is refused.
const crashLimit = 2

// maxSuspects bounds the table; the suspicion closest to its end gives way.
const maxSuspects = 4096

// Print returns the content fingerprint of work.
func Print(w *wire.Work) uint64 {
	h := xxhash.New()
	write := func(s string) {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	write(w.Workspace)
	write(w.Model)
	write(w.Prompt)
	if w.Call != nil {
		write(w.Call.Method)
		write(w.Call.Path)
		_, _ = h.Write(w.Call.Body)
	}
	return h.Sum64()
}

type suspect struct {
	crashes int
	expires time.Time
	trial   bool
	changed chan struct{}
}

// suspects remembers which fingerprints may crash servers. A suspect runs alone on its server, one run at a time, so
// that a crash can be blamed on it.
type suspects struct {
	mu      sync.Mutex
	span    time.Duration
	entries map[uint64]*suspect
}

func newSuspects(span time.Duration) *suspects {
	return &suspects{span: span, entries: make(map[uint64]*suspect)}
}

// standing tells how a fingerprint is to be treated.
type standing struct {
	solo      bool            // run alone; the caller must call settle, crash or release afterwards
	condemned time.Duration   // refuse for this time
	wait      <-chan struct{} // another run of it is on trial; ask again afterwards
}

func (s *suspects) admit(now time.Time, print uint64) standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(now, print)
	switch {
	case e == nil:
		return standing{}
	case e.crashes >= crashLimit:
		return standing{condemned: e.expires.Sub(now)}
	case e.trial:
		return standing{wait: e.changed}
	default:
		e.trial = true
		return standing{solo: true}
	}
}

// crash records a crash with the fingerprint in flight. Only a crash that happened alone counts against a suspect;
// any number of others leave it a suspect. It returns what to share, and whether the fingerprint is condemned.
func (s *suspects) crash(now time.Time, print uint64, sole bool) (wire.Suspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(now, print)
	if e == nil {
		e = s.add(print)
		e.crashes = 1
	} else if sole {
		e.crashes++
	}
	e.expires = now.Add(s.span)
	s.change(e)
	return wire.Suspect{Print: print, Crashes: e.crashes, Left: s.span.Milliseconds()}, e.crashes >= crashLimit
}

// settle clears a suspect whose solo run finished.
func (s *suspects) settle(print uint64) wire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(print)
	return wire.Suspect{Print: print}
}

// release ends a solo run that proved nothing.
func (s *suspects) release(print uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[print]; e != nil {
		s.change(e)
	}
}

// merge takes a suspicion from another entry.
func (s *suspects) merge(now time.Time, m wire.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Crashes == 0 {
		s.remove(m.Print)
		return
	}
	e := s.find(now, m.Print)
	if e == nil {
		e = s.add(m.Print)
	}
	e.crashes = max(e.crashes, m.Crashes)
	left := min(time.Duration(m.Left)*time.Millisecond, s.span)
	if t := now.Add(left); t.After(e.expires) {
		e.expires = t
	}
	if e.crashes >= crashLimit {
		s.change(e)
	}
}

func (s *suspects) find(now time.Time, print uint64) *suspect {
	e := s.entries[print]
	if e != nil && !now.Before(e.expires) {
		s.remove(print)
		return nil
	}
	return e
}

func (s *suspects) add(print uint64) *suspect {
	if len(s.entries) >= maxSuspects {
		s.evict()
	}
	e := &suspect{changed: make(chan struct{})}
	s.entries[print] = e
	return e
}

func (s *suspects) evict() {
	var first uint64
	var end time.Time
	for p, e := range s.entries {
		if end.IsZero() || e.expires.Before(end) {
			first, end = p, e.expires
		}
	}
	s.remove(first)
}

func (s *suspects) remove(print uint64) {
	if e := s.entries[print]; e != nil {
		delete(s.entries, print)
		s.change(e)
	}
}

func (s *suspects) change(e *suspect) {
	e.trial = false
	close(e.changed)
	e.changed = make(chan struct{})
}
